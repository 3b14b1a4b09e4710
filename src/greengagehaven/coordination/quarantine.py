"""Stops requests that crash the upstreams that run them.

The caller of such a request sends it again, through any host, and each time
another upstream dies. After the first loss a request is suspected on all hosts:
it is held until the hosts have told each other whether it is in flight
elsewhere, then sent once at a time, apart from other suspects. A reply from the
shard where it was lost clears it; a second loss convicts it. A convicted request
is refused everywhere for a time that doubles with each conviction. When the time
is over one host tries it first, so that it is not banned for good if it was a
coincidence, and costs one upstream at most if it was none.
"""

import collections
import dataclasses
import typing

import msgspec
import xxhash

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven.coordination import evidence
from greengagehaven.protocol import notices, upstream

FIRST_BAN_S = 300.0
MAX_BAN_S = 3600.0
CANARY_STEP_S = 10.0
HOLD_STEP_S = 0.1
SETTLE_S = 0.02
PEER_HOLD_S = 1.0
SUSPECT_TTL_S = 60.0
MAX_SUSPECTS = 2000
MAX_BANS = 2000
NOTICES_PER_S = 50

_MAX_DOUBLINGS = 12


@dataclasses.dataclass(kw_only=True, slots=True)
class _Suspect:
    """A request under suspicion.

    :param held_until: moment before which this host does not send it.
    :param groups_by_attempt: attempts sent since it is suspected.
    :param upstreams_by_attempt: where they are in flight.
    """

    evidence: evidence.Evidence
    held_until: float
    expires: float
    groups_by_attempt: dict[tuple[str, int], str]
    upstreams_by_attempt: dict[tuple[str, int], str]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Ban:
    """A convicted request; it is refused until ``ends``."""

    count: int
    ends: float
    upstream_ids: tuple[str, ...]


class Quarantine:
    """Suspicions and bans as one host sees them.

    :param clock: time; only ``monotonic`` is read.
    :param host_id: this host's name.
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
        """Return how many requests are under suspicion."""
        return len(self._suspects)

    @property
    def ban_count(self) -> int:
        """Return how many requests are or were lately convicted."""
        return len(self._bans)

    def set_hosts(self, host_ids: typing.Iterable[str]) -> None:
        """Take in the live entry hosts, this one included."""
        self._host_ids = tuple(sorted({*host_ids, self._host_id}))

    def take_notices(self) -> list[msgspec.Struct]:
        """Return what the other hosts are to be told, once."""
        waiting, self.notices = self.notices, []
        return waiting

    def ban_error(
        self, fingerprint: str, *, ran: exceptions.Ran = exceptions.Ran.NO
    ) -> exceptions.QuarantinedError | None:
        """Return why a request is refused, ``None`` where it is not."""
        ban = self._bans.get(fingerprint)
        if ban is None:
            return None
        left = ban.ends - self._clock.monotonic()
        if left <= 0.0:
            return None
        lost = len(ban.upstream_ids)
        return exceptions.QuarantinedError(
            f"{lost} upstreams were lost while they ran this query",
            ran=ran,
            retry_after=round(left, 3),
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request is under suspicion, or on trial after a ban."""
        self._put_on_trial(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if suspect.expires <= self._clock.monotonic():
            del self._suspects[fingerprint]
            return False
        return True

    def held_until(self, fingerprint: str) -> float | None:
        """Return until when a suspect is held, ``None`` to send it now.

        A moment in the past means until the attempt in flight has ended.
        """
        if not self.is_suspect(fingerprint):
            return None
        suspect = self._suspects[fingerprint]
        if suspect.held_until > self._clock.monotonic():
            return suspect.held_until
        return 0.0 if suspect.upstreams_by_attempt else None

    def crowded(self, fingerprint: str) -> frozenset[str]:
        """Return upstreams that a suspect must keep off: another one is there.

        Were both lost in one crash, nobody could tell which of them it was.
        """
        return frozenset(
            upstream_id
            for other, suspect in self._suspects.items()
            if other != fingerprint
            for upstream_id in suspect.upstreams_by_attempt.values()
        )

    def note_sent(
        self, fingerprint: str, attempt: tuple[str, int], upstream_id: str
    ) -> None:
        """Count an attempt of a suspect; the other hosts wait for its end."""
        suspect = self._suspects[fingerprint]
        self._tell(notices.InFlightReport(fingerprint=fingerprint))
        suspect.upstreams_by_attempt[attempt] = upstream_id
        suspect.groups_by_attempt[attempt] = f"{attempt[0]}/{suspect.evidence.count}"

    def note_ended(self, fingerprint: str, attempt: tuple[str, int]) -> None:
        """Count an attempt that ended, however it did."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.upstreams_by_attempt.pop(attempt, None)

    def note_loss(
        self,
        fingerprint: str,
        attempt: tuple[str, int],
        *,
        upstream_id: str,
        incarnation: int,
        shard_ref: upstream.ShardRef,
    ) -> bool:
        """Take in a connection lost in mid-request; return whether it convicts."""
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
        convicted = self._add_loss(fingerprint, loss, hold=SETTLE_S)
        report = notices.LossReport(
            fingerprint=fingerprint,
            upstream_id=upstream_id,
            incarnation=incarnation,
            service=shard_ref.service,
            shard=shard_ref.shard,
            group=group,
        )
        self._tell(report)
        if convicted:
            self._tell_ban(fingerprint)
        return convicted

    def note_reply(self, fingerprint: str, shard_ref: upstream.ShardRef) -> bool:
        """Take in a reply; return whether it cleared a suspect."""
        ban = self._bans.get(fingerprint)
        cleared = self._clear(fingerprint, shard_ref)
        if cleared:
            self._tell(
                notices.LossCleared(
                    fingerprint=fingerprint,
                    service=shard_ref.service,
                    shard=shard_ref.shard,
                    bans=0 if ban is None else ban.count,
                )
            )
        return cleared

    def take_loss(self, report: notices.LossReport, *, in_flight: bool) -> bool:
        """Take in another host's loss; return whether it convicts.

        :param in_flight: whether the same request is in flight from here.
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
            self._tell(notices.InFlightReport(fingerprint=report.fingerprint))
        return convicted

    def take_in_flight(self, report: notices.InFlightReport) -> None:
        """Hold a suspect until the other host knows how its attempt ended."""
        suspect = self._suspects.get(report.fingerprint)
        if suspect is not None:
            hold = self._peer_hold(report.fingerprint)
            hold_end = self._clock.monotonic() + hold
            suspect.held_until = max(suspect.held_until, hold_end)

    def take_cleared(self, report: notices.LossCleared) -> bool:
        """Take in that another host got a reply; return whether it cleared."""
        ban = self._bans.get(report.fingerprint)
        if ban is not None and ban.count == report.bans:
            del self._bans[report.fingerprint]
            self._suspects.pop(report.fingerprint, None)
            return True
        shard_ref = upstream.ShardRef(report.service, report.shard)
        return self._clear(report.fingerprint, shard_ref)

    def take_ban(self, report: notices.QuarantineReport) -> None:
        """Refuse what another host has convicted."""
        known = self._bans.get(report.fingerprint)
        if known is None or known.count < report.bans:
            self._ban(report.fingerprint, report.bans, report.upstream_ids)

    def _add_loss(self, fingerprint: str, loss: evidence.Loss, *, hold: float) -> bool:
        now = self._clock.monotonic()
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires <= now:
            suspect = self._suspect(fingerprint)
        if not suspect.evidence.add(loss):
            return False
        suspect.expires = now + SUSPECT_TTL_S
        suspect.held_until = max(suspect.held_until, now + hold)
        on_trial = fingerprint in self._bans
        needed = 1 if on_trial else evidence.CONVICTING_SIGNS
        if suspect.evidence.signs() < needed:
            return False
        count = self._bans[fingerprint].count + 1 if on_trial else 1
        self._ban(fingerprint, count, suspect.evidence.upstream_ids)
        return True

    def _suspect(self, fingerprint: str) -> _Suspect:
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
        seconds = min(MAX_BAN_S, FIRST_BAN_S * 2**doublings)
        ends = self._clock.monotonic() + seconds + self._canary_delay(fingerprint)
        self._bans[fingerprint] = _Ban(
            count=count, ends=ends, upstream_ids=upstream_ids
        )
        self._bans.move_to_end(fingerprint)
        if len(self._bans) > MAX_BANS:
            self._bans.popitem(last=False)

    def _canary_delay(self, fingerprint: str) -> float:
        """Return how long after the first host this one may try a request."""
        return CANARY_STEP_S * self._rank(fingerprint)

    def _peer_hold(self, fingerprint: str) -> float:
        """Return how long to wait for another host's verdict.

        Hosts that all wait for one that is gone must not all try at once.
        """
        return PEER_HOLD_S + HOLD_STEP_S * self._rank(fingerprint)

    def _rank(self, fingerprint: str) -> int:
        """Return this host's place in an order that all hosts agree on."""

        def weigh(host_id: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{fingerprint}/{host_id}".encode())

        ranked = sorted(self._host_ids, key=weigh)
        return ranked.index(self._host_id)

    def _put_on_trial(self, fingerprint: str) -> None:
        """Suspect a request whose ban is over: one loss convicts it again."""
        if fingerprint in self._suspects or fingerprint not in self._bans:
            return
        if self.ban_error(fingerprint) is not None:
            return
        ban = self._bans[fingerprint]
        if self._clock.monotonic() - ban.ends > MAX_BAN_S:
            del self._bans[fingerprint]
            return
        self._suspect(fingerprint)

    def _tell_ban(self, fingerprint: str) -> None:
        ban = self._bans[fingerprint]
        report = notices.QuarantineReport(
            fingerprint=fingerprint, bans=ban.count, upstream_ids=ban.upstream_ids
        )
        self.notices.append(report)

    def _tell(self, notice: msgspec.Struct) -> None:
        """Tell the others, unless a mass failure already fills the line."""
        now = self._clock.monotonic()
        earned = NOTICES_PER_S * (now - self._tokens_at)
        self._tokens = min(float(NOTICES_PER_S), self._tokens + earned)
        self._tokens_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            self.notices.append(notice)
