"""Demo, load generators and experiments that run the system on one machine."""
