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
from shedsill._limits import Bucket, Rate, take_token
from shedsill._shared_effects import Note

LINE_RATE = Rate(per_second=100.0, burst=400.0)
"""Lines of one event: enough for each decision of a node in ordinary hours;
above it, lines are counted and left out."""

MAX_BACKLOG = 256 * 1024
"""Octets that wait for a reader of standard output before lines are dropped."""

STANDARD_OUTPUT = 1


class JsonLog:
    """Writes and counts notes for one node.

    Attributes
    ----------
    describe : callable
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
        describe: Callable[[bytes], str],
        descriptor: int = STANDARD_OUTPUT,
    ) -> None:
        self.node = node
        self.describe = describe
        self.descriptor = descriptor
        self.counts: Counter[LogEvent] = Counter()
        self.dropped = 0
        self._reported = 0
        self._buckets: dict[LogEvent, Bucket] = {}
        self._backlog = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, note: Note, now: float) -> None:
        """Count a note and queue its line."""
        self.counts[note.event] += 1
        bucket, passed = take_token(self._buckets.get(note.event), LINE_RATE, now)
        self._buckets[note.event] = bucket
        if not passed or len(self._backlog) > MAX_BACKLOG:
            self.dropped += 1
            return
        self._append(note)

    def _append(self, note: Note) -> None:
        entry = note.event.value
        line = {
            "time": round(time.time(), 3),
            "node": self.node,
            "level": entry.level.value,
            "event": entry.number,
            "name": note.event.name.lower(),
            **note.fields,
        }
        flow = note.fields.get("flow")
        if isinstance(flow, bytes):
            line["flow"] = self.describe(flow)
        self._backlog += msgspec.json.encode(line) + b"\n"

    def flush(self) -> None:
        """Write what has been queued, as far as it goes without waiting."""
        if self.dropped > self._reported and len(self._backlog) <= MAX_BACKLOG:
            fields = {"dropped": self.dropped - self._reported}
            self._reported = self.dropped
            self._append(Note(event=LogEvent.LINES_DROPPED, fields=fields))
        if not self._backlog:
            return
        try:
            written = os.write(self.descriptor, self._backlog)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is nowhere else to say so.
            self.dropped += self._backlog.count(b"\n")
            self._backlog.clear()
            return
        del self._backlog[:written]
