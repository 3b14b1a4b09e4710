"""Room for extra attempts, borrowed from other hosts of the zone.

The load it answers: upstreams that reject a part of their requests for seconds. Among
200 hosts the part of the burst that each has is two attempts a service, gone with its
second sweep, while hosts without requests at that moment have theirs left; and a
sweep is lost that lacks a few shards of its least coverage.

What a host lends it counts as spent before the borrower uses it, so that the sum over
all hosts stays within the bound, also where a loan is lost on its way.
"""

import collections
import itertools
import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import rng as rngs
from greengagehaven.coordination.routing import events, extra, request

COALESCE_WINDOW_S = 0.001
"""Seconds that a shard waits for others, so that they are asked for together."""

LOAN_TIMEOUT_S = 0.02
"""Seconds that a shard waits for a loan; a call in the zone takes some ms."""

MAX_LENDERS = 3
"""Hosts that are asked in turn for one shard."""

EMPTY_S = 0.3
"""Seconds that a host is not asked after it lent nothing or did not answer."""


class Lending:
    """Asks hosts of the zone for room for retries.

    :param budget: of this host; takes the loans.
    :param clock: monotonic time.
    :param rng: chooses among hosts.
    :param wake_at: asks for a moment at which ``ask`` is due.
    """

    def __init__(
        self,
        *,
        budget: extra.ExtraAttempts,
        clock: clocks.Clock,
        rng: rngs.Rng,
        wake_at: abc.Callable[[float], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._wake_at = wake_at
        self._addresses: tuple[str, ...] = ()
        self._empty_until_by_address: dict[str, float] = {}
        self._wanted: list[request.Attempt] = []
        self._numbers = itertools.count(1)
        self._asked_by_number: dict[int, tuple[str, list[request.Attempt]]] = {}

    def set_hosts(self, addresses: abc.Iterable[str]) -> None:
        """Take where the other hosts of the zone are called."""
        self._addresses = tuple(addresses)
        self._empty_until_by_address = {
            address: until
            for address, until in self._empty_until_by_address.items()
            if address in self._addresses
        }

    def wait(self, attempt: request.Attempt) -> bool:
        """Hold the shard of a failed attempt until a loan; return whether it waits."""
        now, shard = self._clock.monotonic(), attempt.shard
        is_late = now + LOAN_TIMEOUT_S >= attempt.request.deadline
        if shard.lenders >= MAX_LENDERS or is_late or not self._fit_addresses(now):
            return False
        shard.lenders += 1
        shard.hold(attempt, until=now + LOAN_TIMEOUT_S)
        if not self._wanted:
            self._wake_at(now + COALESCE_WINDOW_S)
        self._wanted.append(attempt)
        return True

    def ask(self, actions: list[events.Action]) -> None:
        """Ask a host for what shards wait for."""
        now = self._clock.monotonic()
        wanted = [each for each in self._wanted if each.shard.held is each]
        self._wanted = []
        fit = self._fit_addresses(now)
        if not wanted or not fit:
            return
        address = fit[self._rng.randrange(len(fit))]
        number = next(self._numbers)
        self._asked_by_number[number] = address, wanted
        services = tuple(each.shard.service for each in wanted)
        actions.append(events.Borrow(number=number, address=address, services=services))

    def on_loan(self, came: events.LoanCame) -> list[request.Attempt]:
        """Take a loan; return the attempts whose shards need to wait no more."""
        address, wanted = self._asked_by_number.pop(came.number, ("", []))
        now = self._clock.monotonic()
        if not came.services:
            self._empty_until_by_address[address] = now + EMPTY_S
        counted = collections.Counter(came.services)
        for service, count in counted.items():
            self._budget.borrow(service, count, until=came.until)
        return wanted

    def _fit_addresses(self, now: float) -> list[str]:
        empty_until = self._empty_until_by_address
        return [
            address
            for address in self._addresses
            if empty_until.get(address, -math.inf) <= now
        ]
