"""Direct routing: an entry that sends callers' requests to endpoints without agents between."""
