"""Messages by which an entry host lets another one ask some shards of a sweep."""

import msgspec


class Ask(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One shard's attempt, as its host decided it.

    :param attempt: number at the host that decided.
    :param connections: how many connections may be open to the upstream.
    """

    attempt: int
    upstream_id: str
    address: str
    connections: int


class GatherRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask some shards, and report what came.

    :param key: names this request at the asking host, over its restarts.
    :param request_id: the caller's id, which replies have to echo.
    :param headers: of the caller's request, as they go to upstreams.
    :param left_ms: until nobody waits any more.
    :param report_ms: after which what is in is reported, if not all is sooner.
    :param top_records: how many of the greatest records a report holds.
    """

    key: str
    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    asks: tuple[Ask, ...]
    left_ms: int
    report_ms: int
    top_records: int


class RestRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask for what came after the last report."""

    key: str


class ReleaseRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tell that nobody waits for some attempts any more."""

    key: str
    attempts: tuple[int, ...]


class Ended(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How an attempt ended.

    :param took_ms: from its sending to its end, at the host that sent it.
    :param status: of the reply, 0 where none came.
    :param signature: of a part whose records are in the report, else empty.
    :param load: running, waiting and slots as the upstream said, empty for nothing.
    :param fault: why no reply came that counts, empty where one did.
    """

    attempt: int
    took_ms: float
    status: int = 0
    is_success: bool = False
    not_run: bool = False
    signature: str = ""
    load: tuple[int, ...] = ()
    size: int = 0
    fault: str = ""
    detail: str = ""
    is_mute: bool = False
    is_fresh: bool = False


class Report(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What came since the last report.

    :param records: the greatest records of all parts that are signed here.
    :param is_last: whether all attempts have ended.
    :param is_early: whether it tells of failures before a shard is to be hedged.
    """

    ended: tuple[Ended, ...]
    records: bytes = b""
    is_last: bool = False
    is_early: bool = False
