"""Messages between the decision cores of entry hosts, about load and faults."""

import msgspec


class SubscriberUsage(msgspec.Struct, frozen=True, array_like=True):
    """Decayed upstream time of one subscriber, in seconds, as of sending."""

    subscriber_id: str
    seconds: float


class UsageReport(msgspec.Struct, frozen=True, kw_only=True, tag="usage"):
    """What subscribers lately used through one host; it replaces the last one.

    :param usages: the heaviest subscribers of that host, bounded in number.
    """

    usages: tuple[SubscriberUsage, ...]


class LossReport(msgspec.Struct, frozen=True, kw_only=True, tag="loss"):
    """A connection was lost in mid-request: a sign of a request that crashes.

    :param fingerprint: which request it was, whoever sent it.
    :param group: attempts that were sent side by side for one query carry the
        same group and count as one sign.
    """

    fingerprint: str
    upstream_id: str
    incarnation: int
    service: str
    shard: int
    group: str


class InFlightReport(msgspec.Struct, frozen=True, kw_only=True, tag="in_flight"):
    """A suspected request is in flight from this host: wait for how it ends."""

    fingerprint: str


class LossCleared(msgspec.Struct, frozen=True, kw_only=True, tag="cleared"):
    """A suspected request was answered where it had been lost before.

    :param bans: how often it had been quarantined; hosts on which its last ban
        has not ended yet lift it.
    """

    fingerprint: str
    service: str
    shard: int
    bans: int = 0


class QuarantineReport(msgspec.Struct, frozen=True, kw_only=True, tag="quarantine"):
    """A request is refused from now on.

    :param bans: how often it has been quarantined, this time included.
    """

    fingerprint: str
    bans: int
    upstream_ids: tuple[str, ...]


Notice = UsageReport | LossReport | InFlightReport | LossCleared | QuarantineReport
