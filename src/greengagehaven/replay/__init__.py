"""Replay of recorded traces through the decision core on a simulated clock."""
