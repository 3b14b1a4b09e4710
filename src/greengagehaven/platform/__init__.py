"""Adapter to the platform: its names, formats and calls, without any decisions.

No module outside this package uses a name of the platform.
"""
