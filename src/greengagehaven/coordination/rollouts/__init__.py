"""Rollouts of upstream software versions: evaluation and phase transitions."""
