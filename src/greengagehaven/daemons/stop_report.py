"""Log lines on the requests that an entry host has not answered when it closes."""

import itertools
from collections import abc

from greengagehaven import log
from greengagehaven.coordination.routing import request as requests
from greengagehaven.transport import connection_report

MAX_UPSTREAMS = 4
_MS = 1000.0


def log_requests_in_flight(
    routed_requests: abc.Collection[requests.RoutedRequest], *, now: float
) -> None:
    """Log each request that was passed on to upstreams, within a limit of lines.

    :param now: monotonic time in seconds.
    """
    logged = itertools.islice(routed_requests, connection_report.MAX_CUT_LINES)
    for request in logged:
        shards = request.shards
        attempts = [attempt for shard in shards for attempt in shard.attempts]
        upstreams = [attempt.upstream.entry.id for attempt in attempts[:MAX_UPSTREAMS]]
        sent_at = min((attempt.sent_at for attempt in attempts), default=now)
        log.warning(
            "request_in_flight",
            request=request.request_id[: connection_report.MAX_ID_CHARACTERS],
            since_arrival_ms=round((now - request.started_at) * _MS),
            time_left_ms=round((request.deadline - now) * _MS),
            shards=len(shards),
            pending=sum(shard.is_pending for shard in shards),
            sends=sum(shard.sends for shard in shards),
            attempts=len(attempts),
            since_send_ms=round((now - sent_at) * _MS),
            upstreams=",".join(upstreams),
        )
    unlogged = len(routed_requests) - connection_report.MAX_CUT_LINES
    if unlogged > 0:
        log.warning("requests_in_flight", unlogged=unlogged)
