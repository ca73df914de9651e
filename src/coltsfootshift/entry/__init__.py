"""The entry: the process that callers connect to and that routes their requests to agents."""
