"""Steps about recording the events of a host's core, on a manual clock."""

import json
import pathlib
import tempfile

import behave

from fakes import core as fake_core
from greengagehaven.coordination import events
from greengagehaven.protocol import trace, upstream
from greengagehaven.replay import expectations, player, reader, recording

SERVICE = "credits-0"


class RecordedTier(fake_core.CoreHarness):
    """A tier whose steps are recorded as in the daemon."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__()
        self.written: list[bytes] = []
        self.recorder = recording.TraceRecorder(
            host=trace.HostDefinition(id="h-1", zone="a"),
            document=fake_core.DOCUMENT,
            directory_view=self.directory,
            clock=self.clock,
            sink=self.written.append,
            max_bytes=max_bytes,
        )

    def step(self, event: events.Event) -> list[events.Action]:
        actions = super().step(event)
        if hasattr(self, "recorder"):
            self.recorder.record_step(event, actions)
        return actions

    def reply_to_all(self) -> None:
        while self.in_flight:
            self.advance(0.004)
            self.reply(next(iter(self.in_flight.values())))


def start_recording(context, max_bytes):
    context.tier = RecordedTier(max_bytes)
    context.max_bytes = max_bytes
    context.tier.apply_announcements(
        fake_core.announce("u-0", shards=((SERVICE, 0, 2),)),
        fake_core.announce("u-1", shards=((SERVICE, 1, 2),)),
    )
    context.tier.advance(0.5)


@behave.given("an entry host that records, with a service of two shards")
def given_recording(context):
    start_recording(context, recording.DEFAULT_MAX_BYTES)


@behave.given("an entry host that records at most {count:d} bytes")
def given_bounded(context, count):
    start_recording(context, count)


@behave.when(
    "30 lookups, a scan with a lost shard, and a sweep that is refused are sent"
)
def when_load(context):
    tier = context.tier
    for number in range(30):
        tier.submit(f"r-{number}", kind="lookup", query=b'{"key":"debtor-%d"}' % number)
        tier.reply_to_all()
        tier.advance(0.05)
    tier.submit("lost", kind="sweep")
    tier.fail(next(iter(tier.in_flight.values())), upstream.FailureReason.RESET)
    tier.reply_to_all()
    tier.advance(0.5)
    tier.withdraw("u-1")
    tier.advance(0.5)
    tier.submit("scan", kind="scan")
    tier.reply_to_all()
    tier.submit("sweep", kind="sweep")
    tier.reply_to_all()


def read_trace(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "recorded.jsonl"
        path.write_bytes(b"".join(context.tier.written))
        return reader.read(path)


@behave.then("the recorded trace replays with every expected outcome")
def then_replays(context):
    recorded = read_trace(context)
    assert len(recorded.expectations) == 33, len(recorded.expectations)
    played = player.Player(recorded=recorded)
    played.run()
    missed = expectations.find_unmet(recorded, played)
    assert missed == [], missed


@behave.then("it contains none of the keys that were looked up")
def then_no_keys(context):
    data = b"".join(context.tier.written)
    assert b"debtor" not in data
    searches = [json.loads(line) for line in data.splitlines() if b'"search"' in line]
    assert len(searches) == 33, len(searches)


@behave.then("the trace is within the limit and every line of it can be parsed")
def then_bounded(context):
    size = sum(len(line) for line in context.tier.written)
    assert 1000 < size <= context.max_bytes, size
    assert read_trace(context).events
