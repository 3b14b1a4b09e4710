"""Thin wiring of the core to the transport, one module for each role."""
