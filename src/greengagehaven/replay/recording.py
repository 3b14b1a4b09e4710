"""Records the inputs and actions of one entry host's core as a replayable trace.

Idempotency keys and query bodies are hashed, because traces are sent off site. The
hashed key of a query is chosen to map to the same shard as the real key.
"""

import collections
import typing

import msgspec
import xxhash

from greengagehaven import clock as clocks
from greengagehaven.coordination import events
from greengagehaven.protocol import trace, upstream
from greengagehaven.state import directory

DEFAULT_MAX_BYTES = 50_000_000
ANSWER_SLACK_S = 0.5
"""Seconds by which a replay may answer or refuse a request later than recorded."""

_MAX_IN_FLIGHT = 10_000
_MAX_KEY_TRIES = 10_000

Sink = typing.Callable[[bytes], None]


class TraceRecorder:
    """Writes one line of the trace for each event or action that a replay needs.

    It stops writing at ``max_bytes``, after a whole line. In memory it keeps only the
    current announcements and the sub-requests in flight.

    :param host: the entry host.
    :param document: TOML document in force at the start.
    :param directory_view: the host's directory of upstreams.
    :param sink: called with the bytes of each line.
    :param max_bytes: maximum size of the whole trace.
    """

    def __init__(
        self,
        *,
        host: trace.HostDefinition,
        document: str,
        directory_view: directory.DirectoryView,
        clock: clocks.Clock,
        sink: Sink,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        self._view = directory_view
        self._clock = clock
        self._sink = sink
        self._bytes_left = max_bytes
        self._started_at = clock.monotonic()
        self._announcements_by_id: dict[str, upstream.Announcement] = {}
        self._in_flight: collections.OrderedDict[
            tuple[str, int], tuple[upstream.SubRequest, float]
        ] = collections.OrderedDict()
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = {
            events.QuerySubmitted: self._on_submitted,
            events.OutcomeReceived: self._on_outcome,
            events.DirectoryChanged: self._on_directory,
            events.ZonesDrained: self._on_drained,
            events.Dispatch: self._on_dispatch,
            events.AnswerQuery: self._on_answer,
            events.RefuseQuery: self._on_refusal,
        }
        self._write(
            trace.Header(
                version=trace.VERSION,
                seed=1,
                story=f"Recorded on entry host {host.id}.",
                entry_hosts=(host,),
                document=document,
            )
        )
        self._announce_all(self._view.upstreams_by_id)

    def record_document(self, revision: int, document: str) -> None:
        """Record that another document came into force."""
        self._write(trace.Document(at=self._now, revision=revision, document=document))

    def record_step(self, event: events.Event, actions: list[events.Action]) -> None:
        """Record one step of the core: its event and the resulting actions."""
        for each in (event, *actions):
            handler = self._handlers.get(type(each))
            if handler is not None:
                handler(each)

    @property
    def _now(self) -> float:
        return round(self._clock.monotonic() - self._started_at, 6)

    def _write(self, line: msgspec.Struct) -> None:
        data = msgspec.json.encode(line) + b"\n"
        if len(data) > self._bytes_left:
            self._bytes_left = 0
            return
        self._bytes_left -= len(data)
        self._sink(data)

    def _on_submitted(self, submitted: events.QuerySubmitted) -> None:
        timeout_ms = None
        if submitted.deadline is not None:
            left = submitted.deadline - self._clock.monotonic()
            timeout_ms = max(0.0, left * 1000)
        self._write(
            trace.Search(
                at=self._now,
                request=submitted.request_id,
                subscriber=submitted.subscriber_id,
                kind=submitted.kind,
                services=submitted.services,
                query=self._hash_query(submitted),
                idempotency_key=_hash_text(submitted.idempotency_key),
                timeout_ms=timeout_ms,
            )
        )

    def _hash_query(self, submitted: events.QuerySubmitted) -> msgspec.Raw:
        digest = xxhash.xxh3_128_hexdigest(bytes(submitted.query))
        fields: dict[str, str] = {"hashed": digest}
        key = _read_key(submitted.query)
        if key is not None:
            fields["key"] = self._substitute_key(key, submitted.services)
        return msgspec.Raw(msgspec.json.encode(fields))

    def _substitute_key(self, key: str, services: tuple[str, ...]) -> str:
        """Return a hashed key that maps to the same shard of each service.

        The hash gets a suffix that makes it map to the shard of ``key`` for every
        shard count, and none if no suffix up to ``_MAX_KEY_TRIES`` does.
        """
        counts = {
            hosted.shard_count
            for announcement in self._view.upstreams_by_id.values()
            for hosted in announcement.shards
            if hosted.service in services
        }
        shards_by_count = {
            count: xxhash.xxh64_intdigest(key.encode()) % count for count in counts
        }
        digest = xxhash.xxh3_64_hexdigest(key.encode())
        for number in range(_MAX_KEY_TRIES):
            candidate = f"{digest}-{number}"
            hashed = xxhash.xxh64_intdigest(candidate.encode())
            if all(hashed % count == shard for count, shard in shards_by_count.items()):
                return candidate
        return digest

    def _on_dispatch(self, dispatch: events.Dispatch) -> None:
        now = self._clock.monotonic()
        for sub_request in dispatch.batch:
            self._in_flight[sub_request.id] = (sub_request, now)
        while len(self._in_flight) > _MAX_IN_FLIGHT:
            self._in_flight.popitem(last=False)

    def _on_outcome(self, received: events.OutcomeReceived) -> None:
        outcome = received.outcome
        in_flight = self._in_flight.pop((outcome.request_id, outcome.attempt), None)
        if in_flight is None:
            return
        sub_request, sent_at = in_flight
        failed = isinstance(outcome, upstream.Failed)
        if failed and outcome.reason is upstream.FailureReason.CANCELLED:
            return
        self._write(
            trace.Outcome(
                at=self._now,
                request=sub_request.request_id,
                service=sub_request.shard_ref.service,
                shard=sub_request.shard_ref.shard,
                upstream=sub_request.upstream_id,
                result=str(outcome.reason) if failed else trace.REPLIED,
                latency_ms=round((self._clock.monotonic() - sent_at) * 1000, 3),
                not_run=outcome.not_run if failed else False,
            )
        )

    def _on_directory(self, changed: events.DirectoryChanged) -> None:
        live = self._view.upstreams_by_id
        for upstream_id in sorted(changed.upstream_ids):
            if upstream_id not in live and upstream_id in self._announcements_by_id:
                del self._announcements_by_id[upstream_id]
                self._write(trace.Withdraw(at=self._now, upstream=upstream_id))
        self._announce_all(
            {key: live[key] for key in sorted(changed.upstream_ids) if key in live}
        )

    def _announce_all(
        self, announcements_by_id: typing.Mapping[str, upstream.Announcement]
    ) -> None:
        for upstream_id, announcement in announcements_by_id.items():
            if self._announcements_by_id.get(upstream_id) != announcement:
                self._announcements_by_id[upstream_id] = announcement
                self._write(trace.Announce(at=self._now, announcement=announcement))

    def _on_drained(self, drained: events.ZonesDrained) -> None:
        self._write(trace.Drain(at=self._now, zones=tuple(sorted(drained.zones))))

    def _on_answer(self, action: events.AnswerQuery) -> None:
        answer = action.answer
        self._write(
            trace.ExpectAnswer(
                at=self._now + ANSWER_SLACK_S,
                request=answer.request_id,
                complete=answer.coverage.complete,
                total=answer.coverage.total,
                snapshot=answer.snapshot,
            )
        )

    def _on_refusal(self, action: events.RefuseQuery) -> None:
        self._write(
            trace.ExpectRefusal(
                at=self._now + ANSWER_SLACK_S,
                request=action.request_id,
                code=action.error.code,
                ran=str(action.error.ran),
            )
        )


class _KeyedQuery(msgspec.Struct, frozen=True):
    key: str | None = None


def _read_key(query: msgspec.Raw) -> str | None:
    try:
        return msgspec.json.decode(query, type=_KeyedQuery).key
    except msgspec.DecodeError:
        return None


def _hash_text(text: str | None) -> str | None:
    return None if text is None else xxhash.xxh3_64_hexdigest(text.encode())
