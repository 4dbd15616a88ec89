"""Log lines and event counters of `WriteLog` effects.

Every event is counted.  Lines below the configured level are not written; of the
TRACE and DEBUG lines of an event, one in `sample` is written.  Each event
writes at most `MAX_LINES_PER_SECOND` lines, so that invalid packets cannot flood the
log.
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
SAMPLED_LEVELS = (Level.TRACE, Level.DEBUG)


def configure_logging(*, level: str, as_json: bool) -> None:
    """Write log lines to standard error, as text or as JSON lines."""
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
class _RateLimit:
    """Counters for sampling one event and limiting its lines per second."""

    window_second: int = 0
    lines_written: int = 0
    events_seen: int = 0


@define
class EventLog:
    """Writes and counts the log events of a node."""

    node: str
    level: str = "INFO"
    sample: int = 1
    registry: CollectorRegistry = field(factory=CollectorRegistry)
    _limits: dict[LogEvent, _RateLimit] = field(factory=dict)
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

    def write(self, entry: WriteLog, now: float) -> None:
        """Count an event and write its line, if its level and rate allow it."""
        self._counters[entry.event].inc()
        if entry.event not in self._written:
            return
        definition = entry.event.value
        if not self._is_within_limit(entry.event, now):
            return
        bound = logger.bind(
            event=definition.number, node=self.node, fields=entry.fields
        )
        bound.log(definition.level.value, definition.text)

    def count(self, event: LogEvent) -> int:
        """Return how often an event has occurred."""
        return int(self._counters[event]._value.get())

    def _is_within_limit(self, event: LogEvent, now: float) -> bool:
        limit = self._limits.setdefault(event, _RateLimit())
        limit.events_seen += 1
        if event.value.level in SAMPLED_LEVELS and limit.events_seen % max(
            self.sample, 1
        ):
            return False
        if int(now) != limit.window_second:
            limit.window_second = int(now)
            limit.lines_written = 0
        limit.lines_written += 1
        return limit.lines_written <= MAX_LINES_PER_SECOND
