"""Quarantine of requests that crash the upstreams that run them.

The caller of such a request sends it again, through any host, and each time another
upstream crashes. After the first loss the request is a suspect on all hosts: it is held
until the hosts have told each other whether it is in flight elsewhere, then sent once
at a time, and not to an upstream that runs another suspect. A reply from the shard
where it was lost clears it; a second independent loss convicts it. A convicted request
is rejected by all hosts for a ban that doubles with each conviction. After the ban, one
host tries it first, so that a request that was convicted by coincidence is not banned
for good, and one that does crash upstreams costs at most one more. The first ban ends
early for a request that callers keep sending.
"""

import collections
import dataclasses
import math
import typing

import msgspec
import xxhash

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven.coordination import evidence
from greengagehaven.protocol import notices, upstream

INITIAL_BAN_S = 300.0
MAX_BAN_S = 3600.0
# A first ban may end after this time, on a host that has refused so many requests.
EARLY_TRIAL_S = 10.0
MIN_REFUSALS_FOR_EARLY_TRIAL = 5
# Delay between the hosts' first attempts after a ban, in the order of ``_rank``.
CANARY_STAGGER_S = 10.0
HOLD_STAGGER_S = 0.1
# Hold after a loss on this host, until other hosts report attempts in flight.
LOCAL_HOLD_S = 0.02
PEER_HOLD_S = 1.0
SUSPECT_TTL_S = 60.0
MAX_SUSPECTS = 2000
MAX_BANS = 2000
NOTICES_PER_S = 50

_MAX_DOUBLINGS = 12


@dataclasses.dataclass(kw_only=True, slots=True)
class _Suspect:
    """A request under suspicion.

    :param held_until: until when this host does not send it, in monotonic seconds.
    :param groups_by_attempt: loss groups of the attempts sent since it became a
        suspect.
    :param upstreams_by_attempt: upstream ids of the attempts in flight.
    """

    evidence: evidence.Evidence
    held_until: float
    expires: float
    groups_by_attempt: dict[tuple[str, int], str]
    upstreams_by_attempt: dict[tuple[str, int], str]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Ban:
    """A convicted request; it is rejected until ``ends`` (monotonic seconds).

    :param may_end_at: when it may end for a request that callers keep sending.
    :param refusal_count: requests that this host has refused since.
    """

    count: int
    ends: float
    may_end_at: float
    refusal_count: int = 0
    upstream_ids: tuple[str, ...]


class Quarantine:
    """Suspicions and bans as known to this host.

    :param clock: only ``monotonic`` is read.
    :param host_id: id of this host.
    """

    def __init__(self, *, clock: clock_module.Clock, host_id: str) -> None:
        self._clock = clock
        self._host_id = host_id
        self._host_ids: tuple[str, ...] = (host_id,)
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._bans: collections.OrderedDict[str, _Ban] = collections.OrderedDict()
        self._tokens = float(NOTICES_PER_S)
        self._tokens_at = clock.monotonic()
        self.notices: list[msgspec.Struct] = []

    @property
    def suspect_count(self) -> int:
        """Return the number of requests under suspicion."""
        return len(self._suspects)

    @property
    def ban_count(self) -> int:
        """Return the number of bans, including those that ended recently."""
        return len(self._bans)

    def set_hosts(self, host_ids: typing.Iterable[str]) -> None:
        """Update the live entry hosts, this one included."""
        self._host_ids = tuple(sorted({*host_ids, self._host_id}))

    def take_notices(self) -> list[msgspec.Struct]:
        """Remove and return the notices to send to the other hosts."""
        pending, self.notices = self.notices, []
        return pending

    def refuse(self, fingerprint: str) -> exceptions.QuarantinedError | None:
        """Return the error for a new request, ``None`` if it is not banned.

        Enough refusals end a first ban early, and the request is put on trial.
        """
        ban = self._bans.get(fingerprint)
        if ban is None:
            return None
        ban.refusal_count += 1
        now = self._clock.monotonic()
        if ban.refusal_count > MIN_REFUSALS_FOR_EARLY_TRIAL and now >= ban.may_end_at:
            ban.ends = min(ban.ends, now)
        return self.ban_error(fingerprint)

    def ban_error(
        self, fingerprint: str, *, ran: exceptions.Ran = exceptions.Ran.NO
    ) -> exceptions.QuarantinedError | None:
        """Return the error for a banned request, ``None`` if it is not banned."""
        ban = self._bans.get(fingerprint)
        if ban is None:
            return None
        seconds_left = ban.ends - self._clock.monotonic()
        if seconds_left <= 0.0:
            return None
        lost_count = len(ban.upstream_ids)
        return exceptions.QuarantinedError(
            f"connections to {lost_count} upstreams broke while they ran this query",
            ran=ran,
            retry_after=round(seconds_left, 3),
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request is under suspicion, or on trial after a ban."""
        self._put_on_trial(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if suspect.expires <= self._clock.monotonic():
            del self._suspects[fingerprint]
            return False
        return True

    def held_until(self, fingerprint: str) -> float | None:
        """Return until when a suspect is held, ``None`` if it may be sent now.

        A time in the past means until the attempt in flight has ended.
        """
        if not self.is_suspect(fingerprint):
            return None
        suspect = self._suspects[fingerprint]
        if suspect.held_until > self._clock.monotonic():
            return suspect.held_until
        return 0.0 if suspect.upstreams_by_attempt else None

    def upstreams_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the ids of upstreams where another suspect is in flight.

        If both were lost in one crash, it would be unknown which of them caused it.
        """
        return frozenset(
            upstream_id
            for other_fingerprint, suspect in self._suspects.items()
            if other_fingerprint != fingerprint
            for upstream_id in suspect.upstreams_by_attempt.values()
        )

    def record_sent(
        self, fingerprint: str, attempt: tuple[str, int], upstream_id: str
    ) -> None:
        """Record an attempt of a suspect; the other hosts wait until it ends."""
        suspect = self._suspects[fingerprint]
        self._queue_notice(notices.InFlightReport(fingerprint=fingerprint))
        suspect.upstreams_by_attempt[attempt] = upstream_id
        suspect.groups_by_attempt[attempt] = f"{attempt[0]}/{suspect.evidence.count}"

    def record_ended(self, fingerprint: str, attempt: tuple[str, int]) -> None:
        """Record that an attempt ended, whatever its outcome."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.upstreams_by_attempt.pop(attempt, None)

    def record_loss(
        self,
        fingerprint: str,
        attempt: tuple[str, int],
        *,
        upstream_id: str,
        incarnation: int,
        shard_ref: upstream.ShardRef,
    ) -> bool:
        """Record a connection lost in mid-request; return whether it convicts."""
        suspect = self._suspects.get(fingerprint)
        group = f"{attempt[0]}/0"
        if suspect is not None:
            group = suspect.groups_by_attempt.pop(attempt, group)
        loss = evidence.Loss(
            upstream_id=upstream_id,
            incarnation=incarnation,
            shard_ref=shard_ref,
            group=group,
        )
        convicted = self._add_loss(fingerprint, loss, hold=LOCAL_HOLD_S)
        report = notices.LossReport(
            fingerprint=fingerprint,
            upstream_id=upstream_id,
            incarnation=incarnation,
            service=shard_ref.service,
            shard=shard_ref.shard,
            group=group,
        )
        self._queue_notice(report)
        if convicted:
            self._queue_ban_notice(fingerprint)
        return convicted

    def record_reply(self, fingerprint: str, shard_ref: upstream.ShardRef) -> bool:
        """Record a reply; return whether it cleared a suspect."""
        ban = self._bans.get(fingerprint)
        cleared = self._clear(fingerprint, shard_ref)
        if cleared:
            self._queue_notice(
                notices.LossCleared(
                    fingerprint=fingerprint,
                    service=shard_ref.service,
                    shard=shard_ref.shard,
                    bans=0 if ban is None else ban.count,
                )
            )
        return cleared

    def apply_loss(self, report: notices.LossReport, *, in_flight: bool) -> bool:
        """Apply a loss reported by another host; return whether it convicts.

        :param in_flight: whether the same request is in flight from this host.
        """
        if report.fingerprint in self._bans and self.ban_error(report.fingerprint):
            return False
        loss = evidence.Loss(
            upstream_id=report.upstream_id,
            incarnation=report.incarnation,
            shard_ref=upstream.ShardRef(report.service, report.shard),
            group=report.group,
        )
        hold = self._peer_hold(report.fingerprint)
        convicted = self._add_loss(report.fingerprint, loss, hold=hold)
        if in_flight and not convicted:
            self._queue_notice(notices.InFlightReport(fingerprint=report.fingerprint))
        return convicted

    def apply_in_flight(self, report: notices.InFlightReport) -> None:
        """Hold a suspect until the reporting host knows how its attempt ended."""
        suspect = self._suspects.get(report.fingerprint)
        if suspect is not None:
            hold = self._peer_hold(report.fingerprint)
            hold_end = self._clock.monotonic() + hold
            suspect.held_until = max(suspect.held_until, hold_end)

    def apply_cleared(self, report: notices.LossCleared) -> bool:
        """Apply a reply reported by another host; return whether it cleared one."""
        ban = self._bans.get(report.fingerprint)
        if ban is not None and ban.count == report.bans:
            del self._bans[report.fingerprint]
            self._suspects.pop(report.fingerprint, None)
            return True
        shard_ref = upstream.ShardRef(report.service, report.shard)
        return self._clear(report.fingerprint, shard_ref)

    def apply_ban(self, report: notices.QuarantineReport) -> None:
        """Ban a request that another host convicted."""
        known_ban = self._bans.get(report.fingerprint)
        if known_ban is None or known_ban.count < report.bans:
            self._ban(report.fingerprint, report.bans, report.upstream_ids)

    def _add_loss(self, fingerprint: str, loss: evidence.Loss, *, hold: float) -> bool:
        now = self._clock.monotonic()
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires <= now:
            suspect = self._add_suspect(fingerprint)
        if not suspect.evidence.add(loss):
            return False
        suspect.expires = now + SUSPECT_TTL_S
        suspect.held_until = max(suspect.held_until, now + hold)
        on_trial = fingerprint in self._bans
        min_losses = 1 if on_trial else evidence.MIN_LOSSES_TO_CONVICT
        if suspect.evidence.count_independent() < min_losses:
            return False
        count = self._bans[fingerprint].count + 1 if on_trial else 1
        self._ban(fingerprint, count, suspect.evidence.upstream_ids)
        return True

    def _add_suspect(self, fingerprint: str) -> _Suspect:
        now = self._clock.monotonic()
        suspect = _Suspect(
            evidence=evidence.Evidence(),
            held_until=now,
            expires=now + SUSPECT_TTL_S,
            groups_by_attempt={},
            upstreams_by_attempt={},
        )
        self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _clear(self, fingerprint: str, shard_ref: upstream.ShardRef) -> bool:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        on_trial = fingerprint in self._bans
        if on_trial and not self.ban_error(fingerprint):
            del self._bans[fingerprint]
            del self._suspects[fingerprint]
            return True
        if not suspect.evidence.clear(shard_ref) or suspect.evidence:
            return False
        del self._suspects[fingerprint]
        return True

    def _ban(self, fingerprint: str, count: int, upstream_ids: tuple[str, ...]) -> None:
        self._suspects.pop(fingerprint, None)
        doublings = min(count - 1, _MAX_DOUBLINGS)
        seconds = min(MAX_BAN_S, INITIAL_BAN_S * 2**doublings)
        start = self._clock.monotonic() + self._canary_delay(fingerprint)
        self._bans[fingerprint] = _Ban(
            count=count,
            ends=start + seconds,
            may_end_at=start + EARLY_TRIAL_S if count == 1 else math.inf,
            upstream_ids=upstream_ids,
        )
        self._bans.move_to_end(fingerprint)
        if len(self._bans) > MAX_BANS:
            self._bans.popitem(last=False)

    def _canary_delay(self, fingerprint: str) -> float:
        """Return the seconds that this host waits after the first one to retry."""
        return CANARY_STAGGER_S * self._rank(fingerprint)

    def _peer_hold(self, fingerprint: str) -> float:
        """Return the seconds to wait for the outcome at another host.

        The wait differs by host, so that hosts waiting for one that is gone do not all
        try the request at once.
        """
        return PEER_HOLD_S + HOLD_STAGGER_S * self._rank(fingerprint)

    def _rank(self, fingerprint: str) -> int:
        """Return this host's position in an order that is the same on all hosts."""

        def hash_host(host_id: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{fingerprint}/{host_id}".encode())

        ranked = sorted(self._host_ids, key=hash_host)
        return ranked.index(self._host_id)

    def _put_on_trial(self, fingerprint: str) -> None:
        """Suspect a request whose ban has ended; one loss convicts it again."""
        if fingerprint in self._suspects or fingerprint not in self._bans:
            return
        if self.ban_error(fingerprint) is not None:
            return
        ban = self._bans[fingerprint]
        if self._clock.monotonic() - ban.ends > MAX_BAN_S:
            del self._bans[fingerprint]
            return
        self._add_suspect(fingerprint)

    def _queue_ban_notice(self, fingerprint: str) -> None:
        ban = self._bans[fingerprint]
        report = notices.QuarantineReport(
            fingerprint=fingerprint, bans=ban.count, upstream_ids=ban.upstream_ids
        )
        self.notices.append(report)

    def _queue_notice(self, notice: msgspec.Struct) -> None:
        """Queue a notice for the other hosts within the rate ``NOTICES_PER_S``.

        Notices beyond the rate, as in a mass failure, are dropped.
        """
        now = self._clock.monotonic()
        refill = NOTICES_PER_S * (now - self._tokens_at)
        self._tokens = min(float(NOTICES_PER_S), self._tokens + refill)
        self._tokens_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            self.notices.append(notice)
