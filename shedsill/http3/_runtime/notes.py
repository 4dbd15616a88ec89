"""Log lines and event counters, one for each `WriteLog`.

Each event is counted.  Lines below the level that the operator set are not
written; of TRACE and DEBUG lines one in `sample` is; and no event writes more
than `MAX_LINES_PER_SECOND`, so that a flood of bad packets cannot flood the log.
"""

from __future__ import annotations

import json
import sys
from typing import Any

from attrs import define, field
from loguru import logger
from prometheus_client import CollectorRegistry, Counter

from shedsill._catalogue import Level, LogEvent
from shedsill.http3._effects import WriteLog

MAX_LINES_PER_SECOND = 50
SAMPLED = (Level.TRACE, Level.DEBUG)


def configure_logging(*, level: str, as_json: bool) -> None:
    """Send log lines to standard error, as text or as JSON lines."""
    logger.remove()
    if as_json:
        logger.add(_write_json, level=level, format="{message}")
        return
    pattern = "{time:HH:mm:ss.SSS} {level:<7} {extra[event]} {message} {extra[fields]}"
    logger.add(sys.stderr, level=level, format=pattern)


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["extra"].get("event"),
        "text": record["message"],
        "node": record["extra"].get("node"),
        **record["extra"].get("fields", {}),
    }
    print(json.dumps(line, default=str), file=sys.stderr, flush=True)


@define
class _Gate:
    """Lines written and left out for one event in the current second."""

    second: int = 0
    written: int = 0
    seen: int = 0


@define
class Notebook:
    """Writes and counts notes for one node."""

    node: str
    level: str = "INFO"
    sample: int = 1
    registry: CollectorRegistry = field(factory=CollectorRegistry)
    _gates: dict[LogEvent, _Gate] = field(factory=dict)
    _counters: dict[LogEvent, Any] = field(factory=dict)
    _written: set[LogEvent] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        threshold = logger.level(self.level).no
        counter = Counter(
            "shedsill_events",
            "Events by number; see the catalogue",
            ["event"],
            registry=self.registry,
        )
        for event in LogEvent:
            self._counters[event] = counter.labels(event=str(event.value.number))
            if logger.level(event.value.level.value).no >= threshold:
                self._written.add(event)

    def write(self, note: WriteLog, now: float) -> None:
        """Count a note and write its line, where it is wanted."""
        self._counters[note.event].inc()
        if note.event not in self._written:
            return
        entry = note.event.value
        if not self._pass_gate(note.event, now):
            return
        bound = logger.bind(event=entry.number, node=self.node, fields=note.fields)
        bound.log(entry.level.value, entry.text)

    def count(self, event: LogEvent) -> int:
        """Return how often an event has happened."""
        return int(self._counters[event]._value.get())

    def _pass_gate(self, event: LogEvent, now: float) -> bool:
        gate = self._gates.setdefault(event, _Gate())
        gate.seen += 1
        if event.value.level in SAMPLED and gate.seen % max(self.sample, 1):
            return False
        if int(now) != gate.second:
            gate.second = int(now)
            gate.written = 0
        gate.written += 1
        return gate.written <= MAX_LINES_PER_SECOND
