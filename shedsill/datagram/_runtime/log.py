"""Non-blocking JSON log on standard output.

Lines are buffered and written together on each tick.  Lines that exceed the buffer or
their rate limit are dropped and counted.  loguru writes synchronously, and its import
takes 0.09 s of CPU and 12 MB, about the budget for the start of a node.
"""

from __future__ import annotations

import os
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill._limits import Bucket, Rate, take_token

LINE_RATE = Rate(per_second=100.0, burst=400.0)
"""Rate limit for the lines of one event; lines above it are dropped and counted.  It
suffices for each decision of a node under usual load."""

MAX_BUFFER_BYTES = 256 * 1024
"""Size of the buffer above which lines are dropped while standard output blocks."""

STDOUT_FILENO = 1


class JsonLog:
    """Writes and counts the log events of one node.

    Attributes
    ----------
    describe_flow : callable
        Returns the text form of a flow's key.
    counts : Counter
        Number of times that each event has happened.
    dropped : int
        Number of lines dropped.
    """

    def __init__(
        self,
        *,
        node: str,
        describe_flow: Callable[[bytes], str],
        descriptor: int = STDOUT_FILENO,
    ) -> None:
        self.node = node
        self.describe_flow = describe_flow
        self.descriptor = descriptor
        self.counts: Counter[LogEvent] = Counter()
        self.dropped = 0
        self._dropped_reported = 0
        self._buckets: dict[LogEvent, Bucket] = {}
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, log_entry: WriteLog, now: float) -> None:
        """Count an event and queue its line."""
        self.counts[log_entry.event] += 1
        bucket, allowed = take_token(self._buckets.get(log_entry.event), LINE_RATE, now)
        self._buckets[log_entry.event] = bucket
        if not allowed or len(self._buffer) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._append_line(log_entry)

    def _append_line(self, log_entry: WriteLog) -> None:
        entry = log_entry.event.value
        line = {
            "time": round(time.time(), 3),
            "node": self.node,
            "level": entry.level.value,
            "event": entry.number,
            "name": log_entry.event.name.lower(),
            **log_entry.fields,
        }
        flow = log_entry.fields.get("flow")
        if isinstance(flow, bytes):
            line["flow"] = self.describe_flow(flow)
        self._buffer += msgspec.json.encode(line) + b"\n"

    def flush(self) -> None:
        """Write as much of the buffer as standard output accepts without blocking."""
        if (
            self.dropped > self._dropped_reported
            and len(self._buffer) <= MAX_BUFFER_BYTES
        ):
            fields = {"dropped": self.dropped - self._dropped_reported}
            self._dropped_reported = self.dropped
            self._append_line(WriteLog(event=LogEvent.LINES_DROPPED, fields=fields))
        if not self._buffer:
            return
        try:
            written = os.write(self.descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Standard output is closed, and there is no other place to log to.
            self.dropped += self._buffer.count(b"\n")
            self._buffer.clear()
            return
        del self._buffer[:written]
