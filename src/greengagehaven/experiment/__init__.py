"""Experiments that compare router policies in simulated time over many seeds."""
