"""Bounded loads on loopback that print the users' measures.

A scenario is data in ``scenarios.py``: loads, faults and the mechanism that it
is about. The same load runs twice against the real daemons' objects, first
without the mechanism (``baseline``), then with it (``run``).

To add one, put a ``Scenario`` into ``SCENARIOS``: ``off`` names the switches of
``coordination.options.Options`` that the baseline turns off, ``loads`` say who
asks for what, ``faults`` what happens when; the actions of faults are the
functions in ``faults.py``, by name.
"""
