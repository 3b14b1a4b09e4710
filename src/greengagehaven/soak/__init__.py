"""Soak test: injects faults into real processes and checks invariants."""
