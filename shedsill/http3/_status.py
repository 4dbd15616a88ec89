"""The status object of a node, written to the platform when it changes."""

from __future__ import annotations

import enum
from typing import Any

from attrs import evolve, frozen

from shedsill.coordination.platform import Conflict, Put, Stored
from shedsill.http3._effects import CallPlatform, Effect
from shedsill.http3._events import PlatformAnswered
from shedsill.http3._platform_purposes import Purpose

NODE_KIND = "node"
STATUS_WRITE_INTERVAL_SECONDS = 1.0


class NodeStatus(enum.Enum):
    """Status that a node reports."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPED = "stopped"


@frozen(kw_only=True)
class StatusWriter:
    """Last known state of the stored status object.

    Attributes
    ----------
    version : int
        Version of the object.
    written : NodeStatus or None
        Status in the object, if known.
    due : float
        Local time of the next attempt to write.
    """

    version: int = 0
    written: NodeStatus | None = None
    due: float = 0.0


def write_status(
    writer: StatusWriter,
    name: str,
    status: NodeStatus,
    details: dict[str, Any],
    now: float,
) -> tuple[StatusWriter, list[Effect]]:
    """Write the status if it differs from the stored one and a write is due."""
    if status == writer.written or now < writer.due:
        return writer, []
    value = {"status": status.value, **details}
    call = Put(kind=NODE_KIND, name=name, value=value, expected=writer.version)
    effect = CallPlatform(purpose=Purpose.NODE, call=call, name=status.value)
    return evolve(writer, due=now + STATUS_WRITE_INTERVAL_SECONDS), [effect]


def record_status_outcome(
    writer: StatusWriter, event: PlatformAnswered
) -> StatusWriter:
    """Record the outcome of a write."""
    match event.outcome:
        case Stored(version=version):
            return evolve(writer, version=version, written=NodeStatus(event.name))
        case Conflict(current=current):
            version = current.version if current else 0
            return evolve(writer, version=version, due=event.now)
        case _:
            return writer
