"""Messages between the query cores of entry hosts about usage and crashes.

The query core is ``coordination.core``. A message is the payload of a
``membership.Notice``, which is broadcast to all entry hosts.
"""

import msgspec


class SubscriberUsage(msgspec.Struct, frozen=True, array_like=True):
    """Decayed upstream time used by one subscriber, in seconds, as of sending."""

    subscriber_id: str
    seconds: float


class UsageReport(msgspec.Struct, frozen=True, kw_only=True, tag="usage"):
    """Recent usage of subscribers through one host; replaces its last report.

    :param usages: the subscribers with the highest usage, limited in number.
    """

    usages: tuple[SubscriberUsage, ...]


class LossReport(msgspec.Struct, frozen=True, kw_only=True, tag="loss"):
    """A connection was lost during a request, which may have crashed the upstream.

    :param fingerprint: fingerprint of the request, independent of its sender.
    :param group: shared by the attempts that were sent in parallel for one query;
        their losses count as one.
    """

    fingerprint: str
    upstream_id: str
    incarnation: int
    service: str
    shard: int
    group: str


class InFlightReport(msgspec.Struct, frozen=True, kw_only=True, tag="in_flight"):
    """A suspected request is in flight from this host; others await its outcome."""

    fingerprint: str


class LossCleared(msgspec.Struct, frozen=True, kw_only=True, tag="cleared"):
    """A suspected request was answered on a shard that had lost it before.

    :param bans: number of times the request had been quarantined; hosts on which
        the last quarantine is still active lift it.
    """

    fingerprint: str
    service: str
    shard: int
    bans: int = 0


class QuarantineReport(msgspec.Struct, frozen=True, kw_only=True, tag="quarantine"):
    """A request is quarantined: hosts refuse it from now on.

    :param bans: number of times it has been quarantined, including this one.
    """

    fingerprint: str
    bans: int
    upstream_ids: tuple[str, ...]


NoticePayload = (
    UsageReport | LossReport | InFlightReport | LossCleared | QuarantineReport
)
