"""Reconstructs from hosts' logs how requests ended, and why."""
