"""A randomized soak test of entry and agent processes with injected faults."""
