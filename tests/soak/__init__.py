"""A randomized soak: the adapter's programs as processes, faults from outside, promises checked."""
