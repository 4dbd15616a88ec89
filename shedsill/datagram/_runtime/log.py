"""JSON log lines on standard output, bounded and never waited for.

loguru costs 0.09 s of CPU and 12 MB to be imported, about what a whole node may
take here, and writes synchronously.  Here lines are collected, and written
together when the node has nothing else to do.  A full pipe drops lines, which
are counted.
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
"""Lines of one event: enough for each decision of a node in ordinary hours;
above it, lines are counted and left out."""

MAX_BUFFER_BYTES = 256 * 1024
"""Octets that wait for a reader of standard output before lines are dropped."""

STDOUT_FILENO = 1


class JsonLog:
    """Writes and counts notes for one node.

    Attributes
    ----------
    describe_flow : callable
        Gives the text form of a flow's key.
    counts : Counter
        How often each event has happened.
    dropped : int
        Lines left out.
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

    def write(self, record: WriteLog, now: float) -> None:
        """Count a note and queue its line."""
        self.counts[record.event] += 1
        bucket, passed = take_token(self._buckets.get(record.event), LINE_RATE, now)
        self._buckets[record.event] = bucket
        if not passed or len(self._buffer) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._append_line(record)

    def _append_line(self, record: WriteLog) -> None:
        entry = record.event.value
        line = {
            "time": round(time.time(), 3),
            "node": self.node,
            "level": entry.level.value,
            "event": entry.number,
            "name": record.event.name.lower(),
            **record.fields,
        }
        flow = record.fields.get("flow")
        if isinstance(flow, bytes):
            line["flow"] = self.describe_flow(flow)
        self._buffer += msgspec.json.encode(line) + b"\n"

    def flush(self) -> None:
        """Write what has been queued, as far as it goes without waiting."""
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
            # Nobody reads any more, and there is nowhere else to say so.
            self.dropped += self._buffer.count(b"\n")
            self._buffer.clear()
            return
        del self._buffer[:written]
