"""How the platform speaks: its names, formats and calls, and no decision.

Nothing outside this package knows a name of the platform's.
"""
