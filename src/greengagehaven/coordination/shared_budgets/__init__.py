"""Limits on sums over all hosts, kept without waiting for messages."""
