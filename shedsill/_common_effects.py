"""Effects that reducers of every kind of traffic return."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from shedsill._catalogue import LogEvent


class WriteLog(Struct, frozen=True, kw_only=True):
    """Write a log line and count it.

    Attributes
    ----------
    event : LogEvent
    fields : dict
        What decided it; short values only.
    """

    event: LogEvent
    fields: dict[str, Any] = field(default_factory=dict)


class Exit(Struct, frozen=True, kw_only=True):
    """End the process: the planned stop is complete."""
