"""Effects that reducers of every kind of traffic return."""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

from shedsill._catalogue import LogEvent


@frozen(kw_only=True)
class Note:
    """Write a log line and count it.

    Attributes
    ----------
    event : LogEvent
    fields : dict
        What decided it; short values only.
    """

    event: LogEvent
    fields: dict[str, Any] = field(factory=dict)


@frozen(kw_only=True)
class Exit:
    """End the process: the planned stop is complete."""
