"""Runs the decision cores on sockets, disks and timers; one module per role."""
