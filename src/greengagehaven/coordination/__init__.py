"""Decision logic without I/O; the clock and random numbers are passed in."""
