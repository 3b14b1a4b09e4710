"""Policies of the router weighed in simulated time, with many seeds."""
