"""Log lines to a file descriptor, bounded and never waiting for a reader."""

import asyncio
import collections
import os
import typing

from greengagehaven import clock as clocks
from greengagehaven import log

LINES_PER_S = 1000.0
BYTES_PER_S = 300_000.0
BURST_S = 2.0
RESERVED_PART = 0.3
MAX_BUFFERED_BYTES = 512 * 1024
FLUSH_PERIOD_S = 0.05
REPORT_PERIOD_S = 1.0
URGENT_LEVELS = frozenset({"WARNING", "ERROR", "CRITICAL"})


class LogOutput:
    """Sink of log lines with a ceiling of lines and bytes a second.

    A reader that stops reading would block the loop at the first full pipe, and
    with it every request. Lines beyond the ceiling, or beyond what is buffered
    for a slow reader, are dropped and counted by event; a part of the ceiling is
    kept for failures and slow requests.

    :param descriptor: where lines go; it is made non-blocking.
    :param clock: monotonic time.
    """

    def __init__(self, *, descriptor: int, clock: clocks.Clock) -> None:
        self.dropped_by_event: collections.Counter[str] = collections.Counter()
        self.lines = 0
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._unreported: collections.Counter[str] = collections.Counter()
        self._lines_left = LINES_PER_S * BURST_S
        self._bytes_left = BYTES_PER_S * BURST_S
        self._filled_at = clock.monotonic()
        self._reported_at = clock.monotonic()
        self._flush_handle: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, message: typing.Any) -> None:
        """Take a line; loguru calls this with its message."""
        record = message.record
        fields = record["extra"].get("fields", {})
        is_urgent = record["level"].name in URGENT_LEVELS or fields.get("is_urgent")
        data = str(message).encode()
        if not self._has_room(len(data), is_urgent=bool(is_urgent)):
            self._unreported[record["message"]] += 1
            self.dropped_by_event[record["message"]] += 1
            return
        self.lines += 1
        self._buffer += data
        if not self._flush_later():
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._flush_handle = None
        self._report()
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                self._flush_later()
                return
            except OSError:
                # Nobody will read it any more.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _has_room(self, size: int, *, is_urgent: bool) -> bool:
        now = self._clock.monotonic()
        passed = now - self._filled_at
        self._filled_at = now
        lines, most_bytes = LINES_PER_S * BURST_S, BYTES_PER_S * BURST_S
        self._lines_left = min(lines, self._lines_left + passed * LINES_PER_S)
        self._bytes_left = min(most_bytes, self._bytes_left + passed * BYTES_PER_S)
        reserved = 0.0 if is_urgent else RESERVED_PART
        has_tokens = (
            self._lines_left - 1 >= reserved * lines
            and self._bytes_left - size >= reserved * most_bytes
        )
        most_buffered = MAX_BUFFERED_BYTES * (1.0 - reserved)
        if not has_tokens or len(self._buffer) + size > most_buffered:
            return False
        self._lines_left -= 1
        self._bytes_left -= size
        return True

    def _flush_later(self) -> bool:
        """Flush on the loop a little later; return whether there is a loop."""
        if self._flush_handle is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flush_handle = loop.call_later(FLUSH_PERIOD_S, self.flush)
        return True

    def _report(self) -> None:
        now = self._clock.monotonic()
        if not self._unreported or now - self._reported_at < REPORT_PERIOD_S:
            return
        self._reported_at = now
        counts = " ".join(
            f"{event}={count}" for event, count in sorted(self._unreported.items())
        )
        self._unreported.clear()
        self._buffer += log.format_line(
            self._clock.now(), "warning", "lines_dropped", {"counts": counts}
        ).encode()
