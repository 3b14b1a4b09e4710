"""Non-blocking, rate-limited output of log lines to a file descriptor."""

import asyncio
import atexit
import collections
import os
import sys
import typing

from greengagehaven import clock as clocks
from greengagehaven import log

MAX_LINES_PER_S = 1000.0
MAX_BYTES_PER_S = 300_000.0
BURST_S = 2.0
RESERVED_FRACTION = 0.3
MAX_BUFFERED_BYTES = 512 * 1024
FLUSH_PERIOD_S = 0.05
REPORT_PERIOD_S = 1.0
URGENT_LEVELS = frozenset({"WARNING", "ERROR", "CRITICAL"})


class LogOutput:
    """Log sink with token buckets for lines and bytes per second.

    With blocking writes, a reader that stops reading would block the event loop, and
    so every request, once the pipe is full. Lines over the rate limit or over the
    buffer limit are dropped and counted by event. A fraction of both limits is
    reserved for failures and slow requests.

    :param descriptor: file descriptor to write to; it is made non-blocking.
    :param clock: clock for the rate limit and the report of dropped lines.
    :ivar dropped_by_event: dropped lines by event.
    :ivar accepted_line_count: lines that were accepted for output.
    """

    def __init__(self, *, descriptor: int, clock: clocks.Clock) -> None:
        self.dropped_by_event: collections.Counter[str] = collections.Counter()
        self.accepted_line_count = 0
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._unreported_by_event: collections.Counter[str] = collections.Counter()
        self._line_tokens = MAX_LINES_PER_S * BURST_S
        self._byte_tokens = MAX_BYTES_PER_S * BURST_S
        self._refilled_at = clock.monotonic()
        self._reported_at = clock.monotonic()
        self._flush_handle: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, message: typing.Any) -> None:
        """Buffer a line or drop it; called by loguru with its message."""
        record = message.record
        fields = record["extra"].get("fields", {})
        is_urgent = record["level"].name in URGENT_LEVELS or fields.get("is_urgent")
        data = str(message).encode()
        if not self._try_admit(len(data), is_urgent=bool(is_urgent)):
            self._unreported_by_event[record["message"]] += 1
            self.dropped_by_event[record["message"]] += 1
            return
        self.accepted_line_count += 1
        self._buffer += data
        if not self._schedule_flush():
            self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        self._flush_handle = None
        self._report_dropped()
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader has closed its end.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _try_admit(self, size: int, *, is_urgent: bool) -> bool:
        now = self._clock.monotonic()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        max_lines, max_bytes = MAX_LINES_PER_S * BURST_S, MAX_BYTES_PER_S * BURST_S
        self._line_tokens = min(
            max_lines, self._line_tokens + elapsed * MAX_LINES_PER_S
        )
        self._byte_tokens = min(
            max_bytes, self._byte_tokens + elapsed * MAX_BYTES_PER_S
        )
        reserved = 0.0 if is_urgent else RESERVED_FRACTION
        has_tokens = (
            self._line_tokens - 1 >= reserved * max_lines
            and self._byte_tokens - size >= reserved * max_bytes
        )
        max_buffered = MAX_BUFFERED_BYTES * (1.0 - reserved)
        if not has_tokens or len(self._buffer) + size > max_buffered:
            return False
        self._line_tokens -= 1
        self._byte_tokens -= size
        return True

    def _schedule_flush(self) -> bool:
        """Schedule a flush; return whether there is a running event loop."""
        if self._flush_handle is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flush_handle = loop.call_later(FLUSH_PERIOD_S, self.flush)
        return True

    def _report_dropped(self) -> None:
        now = self._clock.monotonic()
        if not self._unreported_by_event or now - self._reported_at < REPORT_PERIOD_S:
            return
        self._reported_at = now
        counts = " ".join(
            f"{event}={count}"
            for event, count in sorted(self._unreported_by_event.items())
        )
        self._unreported_by_event.clear()
        self._buffer += log.format_line(
            self._clock.now(), "warning", "lines_dropped", {"counts": counts}
        ).encode()


def configure_standard_error(*, level: str) -> None:
    """Log to standard error; a daemon never waits for who reads it.

    A terminal is written to as usual: it is shared with other processes, which could
    not write to a descriptor that would block.
    """
    try:
        descriptor = sys.stderr.fileno()
    except (OSError, ValueError):
        descriptor = None
    if descriptor is None or os.isatty(descriptor):
        log.configure(level=level)
        return
    output = LogOutput(descriptor=descriptor, clock=clocks.SystemClock())
    atexit.register(output.flush)
    log.configure(level=level, sink=output.write)
