"""Load tests on loopback that measure the effect of a mechanism.

A scenario is data in ``scenarios.py``: loads, faults and the mechanism under
test. The same load runs twice against the real daemons, in one process, first
without the mechanism (``baseline``), then with it (``run``).

To add one, add a ``Scenario`` to ``SCENARIOS``: ``off_in_baseline`` names the
switches of ``coordination.options.Options`` that the baseline turns off, ``loads``
describes the queries, ``faults`` the faults and their times. The action of a fault
is the name of a function in ``faults.py``.
"""
