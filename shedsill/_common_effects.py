"""Effects that the reducers of all kinds of traffic return."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from shedsill._catalogue import LogEvent


class WriteLog(Struct, frozen=True, kw_only=True):
    """Count a log event and write its line.

    Attributes
    ----------
    event : LogEvent
    fields : dict
        Values that explain the event; short ones only.
    """

    event: LogEvent
    fields: dict[str, Any] = field(default_factory=dict)


class Exit(Struct, frozen=True, kw_only=True):
    """End the process after a planned stop."""
