"""Decision logic without I/O; callers pass in the time and random generators."""
