"""Replay of traces through the decision core on a clock of their own."""
