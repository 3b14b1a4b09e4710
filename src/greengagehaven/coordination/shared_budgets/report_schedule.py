"""When an entry host reports its usage, and to which control hosts."""

import dataclasses
import math
from collections import abc

PERIOD_S = 0.2
"""Seconds between reports in general."""

URGENT_PERIOD_S = 0.05
"""Seconds between reports while a team is near its target. With 0.2 s, a team at 200
requests per second exceeds its target by 40 before any host learns of it."""

IDLE_PERIOD_S = 0.5
"""Seconds between reports without requests. Their replies name the teams with many
requests, so that a host that sees the first request of one knows of the others."""

CALL_TIMEOUT_S = 0.3
"""Limit of a call. Later reports do not wait for it: they hold totals, so that the
reply to a later one replaces a lost reply."""

RETRY_AFTER_S = 0.15
"""Seconds without a reply after which the next report is sent early."""

REFRESH_PERIOD_S = 0.01
"""Seconds between reports while a request waits for newer totals."""

SECOND_TARGET_AFTER_S = 0.25
"""Seconds without a usable reply after which reports go to a second control host too.
The followed one may have stopped, restarted or lost contact."""

SUBSTITUTE_AFTER_S = 0.3
"""Seconds without a usable reply of a control host after which reports go to the
substitutes too: the limit of a call."""

SUBSTITUTE_PERIOD_S = 0.1
"""Shortest time in seconds between reports to the substitutes, which serve callers as
well."""

PRIMARY_SUBSTITUTES = 2
"""Substitutes that get the reports of all hosts, so that their sums are complete. With
one, its failure beside the control hosts would leave the others without totals."""

SUBSTITUTE_KNOWN_S = 0.5
"""Seconds for which a substitute that replied is preferred."""

ANSWERING_KNOWN_S = 0.5
"""Seconds after the report to which it replied for which a control host counts as
answering."""

PARTITION_KNOWN_S = 1.0
"""Seconds for which a control host's list of unreachable ones is used."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    """What a control host said of the others.

    :param unreachable: addresses of those that it does not exchange reports with.
    """

    received_at: float
    unreachable: frozenset[str]


class _Unanswered:
    """Tells for how long reports have not been answered."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._sent_at = -math.inf

    @property
    def is_waiting(self) -> bool:
        """Return whether a report has not been answered."""
        return self._since is not None

    def seconds(self, now: float) -> float:
        """Return the seconds since the first report that was not answered."""
        return 0.0 if self._since is None else now - self._since

    def on_sent(self, now: float) -> None:
        """Record a report."""
        self._sent_at = now
        if self._since is None:
            self._since = now

    def on_reply(self, sent_at: float) -> None:
        """Record a usable reply to the report that was sent at a time."""
        if self._since is not None and sent_at >= self._since:
            self._since = None if sent_at >= self._sent_at else self._sent_at


class ReportSchedule:
    """Decides when the next report is sent, and to which control hosts.

    All times are monotonic seconds.

    :ivar substitutes: addresses of the entry hosts that get reports while no control
        host answers.
    """

    def __init__(self) -> None:
        self.sent_at = -math.inf
        self.next_at = -math.inf
        self._unanswered = _Unanswered()
        self._unanswered_by_controls = _Unanswered()
        self.substitutes: tuple[str, ...] = ()
        self._substituted_at = -math.inf
        self._substitute_reply: tuple[str, float] = ("", -math.inf)
        self._answered_at_by_control: dict[str, float] = {}
        self._turn = 0
        self._replies_by_address: dict[str, _Reply] = {}

    @property
    def wake_at(self) -> float:
        """Return when to check again whether a report is due."""
        if not self._unanswered.is_waiting:
            return self.next_at
        return min(self.next_at, self.sent_at + RETRY_AFTER_S)

    def is_due(self, now: float) -> bool:
        """Return whether a report is due."""
        return now >= self.wake_at

    def on_request(self, *, is_near_target: bool) -> None:
        """Let the next report be sent earlier after a request of a limited team."""
        period = URGENT_PERIOD_S if is_near_target else PERIOD_S
        self.next_at = min(self.next_at, self.sent_at + period)

    def on_wait(self, now: float) -> None:
        """Let the next report be sent at once, as a request waits for its reply."""
        self.next_at = min(self.next_at, max(now, self.sent_at + REFRESH_PERIOD_S))

    def on_sent(self, now: float, *, has_usage: bool, is_near_target: bool) -> None:
        """Schedule the report after one that is sent now."""
        period = PERIOD_S if has_usage else IDLE_PERIOD_S
        if is_near_target:
            period = URGENT_PERIOD_S
        self.sent_at, self.next_at = now, now + period
        self._unanswered.on_sent(now)
        self._unanswered_by_controls.on_sent(now)

    def on_reply(
        self, sent_at: float, *, control: str = "", substitute: str = ""
    ) -> None:
        """Record a usable reply to the report that was sent at a time.

        :param control: address of the control host that it came from, if it did.
        :param substitute: address of the entry host that it came from, if it did.
        """
        self._unanswered.on_reply(sent_at)
        if substitute:
            self._substitute_reply = substitute, sent_at
        else:
            self._unanswered_by_controls.on_reply(sent_at)
            self._answered_at_by_control[control] = sent_at

    def is_without_controls(self, now: float) -> bool:
        """Return whether no control host answers."""
        seconds = self._unanswered_by_controls.seconds(now)
        return seconds > SUBSTITUTE_AFTER_S

    def substitutes_due(self, now: float) -> tuple[str, ...]:
        """Return the entry hosts that get the report that is sent now.

        If the first ones reach no control host either, another one may.
        """
        is_due = now - self._substituted_at >= SUBSTITUTE_PERIOD_S
        if not is_due or not self.is_without_controls(now):
            return ()
        self._substituted_at = now
        primary = self.substitutes[:PRIMARY_SUBSTITUTES]
        others = self.substitutes[PRIMARY_SUBSTITUTES:]
        address, replied_at = self._substitute_reply
        is_known = now - replied_at <= SUBSTITUTE_KNOWN_S
        if not others or (is_known and address in primary):
            return primary
        if is_known and address in others:
            return (*primary, address)
        return (*primary, self._next_in_turn(others))

    def record_unreachable(
        self, address: str, unreachable: abc.Iterable[str], now: float
    ) -> None:
        """Record which control hosts the one at an address cannot reach."""
        self._replies_by_address[address] = _Reply(
            received_at=now, unreachable=frozenset(unreachable)
        )

    def targets(
        self, followed: abc.Sequence[str], others: abc.Sequence[str], now: float
    ) -> tuple[str, ...]:
        """Return the control hosts that get the report that is sent now.

        Control hosts forward reports to each other, so one is enough unless some of
        them do not reach each other. Then each part of them gets the report.

        :param followed: the control hosts that are followed, all of them while none is
            known to be in contact with a majority.
        :param others: all other control hosts.
        """
        self._forget_old_replies(now)
        first = self.answering_control(followed, now)
        targets = [first] if first else []
        others = [address for address in (*followed, *others) if address != first]
        unanswered_s = self._unanswered_by_controls.seconds(now)
        is_stale = unanswered_s > SECOND_TARGET_AFTER_S
        if others and (not targets or is_stale):
            targets.append(self._next_in_turn(others))
        known = {*targets, *others}
        missing = self._unreachable_from_all(targets) & known
        while missing:
            address = self._pick(sorted(missing))
            targets.append(address)
            if address not in self._replies_by_address:
                break
            missing &= self._unreachable_from_all([address])
        return tuple(targets)

    def answering_control(self, followed: abc.Sequence[str], now: float) -> str:
        """Return the first control host that is followed, or one that answers instead.

        It is empty if none is followed.
        """
        answered_at = {
            address: self._answered_at_by_control[address]
            for address in followed
            if now - self._answered_at_by_control.get(address, -math.inf)
            <= ANSWERING_KNOWN_S
        }
        if not answered_at or followed[0] in answered_at:
            return followed[0] if followed else ""
        return max(answered_at, key=answered_at.__getitem__)

    def _forget_old_replies(self, now: float) -> None:
        for address, reply in list(self._replies_by_address.items()):
            if now - reply.received_at > PARTITION_KNOWN_S:
                del self._replies_by_address[address]
        for address, answered_at in list(self._answered_at_by_control.items()):
            if now - answered_at > ANSWERING_KNOWN_S:
                del self._answered_at_by_control[address]

    def _unreachable_from_all(self, addresses: abc.Iterable[str]) -> frozenset[str]:
        """Return the control hosts that none of some control hosts reaches."""
        replies = [
            self._replies_by_address[address]
            for address in addresses
            if address in self._replies_by_address
        ]
        if not replies:
            return frozenset()
        unreachable = frozenset.intersection(*(each.unreachable for each in replies))
        return unreachable.difference(addresses)

    def _pick(self, addresses: abc.Sequence[str]) -> str:
        """Return a control host that has replied, or else the next one in turn."""
        for address in addresses:
            if address in self._replies_by_address:
                return address
        return self._next_in_turn(addresses)

    def _next_in_turn(self, addresses: abc.Sequence[str]) -> str:
        self._turn += 1
        return addresses[self._turn % len(addresses)]
