"""Borrowing of extra attempts from other hosts of the zone.

Upstreams may reject a part of their requests for seconds. With 200 hosts, each has a
share of two attempts per service in the burst, which its second sweep uses up, while
hosts without requests at that moment leave theirs unused; and a sweep fails if it is a
few shards short of its minimum coverage.

A host counts what it lends as spent before the borrower uses it, so the sum over all
hosts stays within the limit even if a loan is lost on its way.
"""

import collections
import itertools
import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import rng as rngs
from greengagehaven.coordination.routing import events, extra_attempt_budget, request

COALESCE_WINDOW_S = 0.001
"""Seconds that a shard waits for others, so that one call borrows for all of them."""

LOAN_TIMEOUT_S = 0.02
"""Seconds that a shard waits for a loan; a call within the zone takes some ms."""

MAX_LENDERS = 3
"""Maximum number of hosts that are asked in turn for one shard."""

EMPTY_LENDER_BACKOFF_S = 0.3
"""Seconds for which a host is not asked again after it lent nothing or failed to
reply."""


class BudgetBorrower:
    """Asks hosts of the zone to lend extra attempts for retries and hedges.

    :param budget: extra-attempt budget of this host, which receives the loans.
    :param clock: monotonic time.
    :param rng: chooses among lenders.
    :param wake_at: schedules :meth:`request_loan` at a moment, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        budget: extra_attempt_budget.ExtraAttemptBudget,
        clock: clocks.Clock,
        rng: rngs.Rng,
        wake_at: abc.Callable[[float], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._wake_at = wake_at
        self._addresses: tuple[str, ...] = ()
        self._backoff_until_by_address: dict[str, float] = {}
        self._queue: list[request.Attempt] = []
        self._numbers = itertools.count(1)
        self._pending_loans_by_number: dict[int, tuple[str, list[request.Attempt]]] = {}

    def set_hosts(self, addresses: abc.Iterable[str]) -> None:
        """Set the peer addresses of the other hosts of the zone."""
        self._addresses = tuple(addresses)
        self._backoff_until_by_address = {
            address: until
            for address, until in self._backoff_until_by_address.items()
            if address in self._addresses
        }

    def wait_for_loan(self, attempt: request.Attempt) -> bool:
        """Hold the shard of a failed attempt until a loan arrives.

        :returns: whether it waits, as for :meth:`queue_loan`.
        """
        if not self.queue_loan(attempt):
            return False
        until = self._clock.monotonic() + LOAN_TIMEOUT_S
        attempt.shard.hold(attempt, until=until)
        return True

    def queue_loan(self, attempt: request.Attempt) -> bool:
        """Queue an attempt whose shard needs an extra attempt for the next request.

        :returns: whether a loan will be requested. It is not if it would miss the
            request's deadline, the shard has had ``MAX_LENDERS`` requests already, or
            no lender is available.
        """
        now, shard = self._clock.monotonic(), attempt.shard
        is_late = now + LOAN_TIMEOUT_S >= attempt.request.deadline
        if (
            shard.loan_requests >= MAX_LENDERS
            or is_late
            or not self._available_addresses(now)
        ):
            return False
        shard.loan_requests += 1
        if not self._queue:
            self._wake_at(now + COALESCE_WINDOW_S)
        self._queue.append(attempt)
        return True

    def request_loan(self, actions: list[events.Action]) -> None:
        """Ask one host for an extra attempt for every waiting shard."""
        now = self._clock.monotonic()
        waiting = [each for each in self._queue if _still_needs_loan(each)]
        self._queue = []
        available = self._available_addresses(now)
        if not waiting or not available:
            return
        address = available[self._rng.randrange(len(available))]
        number = next(self._numbers)
        self._pending_loans_by_number[number] = address, waiting
        services = tuple(each.shard.service for each in waiting)
        actions.append(
            events.RequestLoan(number=number, address=address, services=services)
        )

    def record_loan(self, loan: events.LoanReceived) -> list[request.Attempt]:
        """Add a loan to the budget.

        :returns: the attempts that waited for it, whether or not it covers them.
        """
        address, waiting = self._pending_loans_by_number.pop(loan.number, ("", []))
        now = self._clock.monotonic()
        if not loan.services:
            self._backoff_until_by_address[address] = now + EMPTY_LENDER_BACKOFF_S
        count_by_service = collections.Counter(loan.services)
        for service, count in count_by_service.items():
            self._budget.add_loan(service, count, until=loan.until)
        return waiting

    def _available_addresses(self, now: float) -> list[str]:
        backoff_until = self._backoff_until_by_address
        return [
            address
            for address in self._addresses
            if backoff_until.get(address, -math.inf) <= now
        ]


def _still_needs_loan(attempt: request.Attempt) -> bool:
    """Return whether an attempt is held for its retry or has still not ended."""
    shard = attempt.shard
    return shard.is_pending and (shard.held is attempt or attempt in shard.attempts)
