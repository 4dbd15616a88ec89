"""A node's own object in the platform, written when its status changes."""

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
    """What a node says of itself."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPED = "stopped"


@frozen(kw_only=True)
class StatusWriter:
    """What is known of the object.

    Attributes
    ----------
    version : int
        As last seen.
    written : NodeStatus or None
        The status that the platform holds, as far as known.
    due : float
        Local time of the next attempt.
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
    """Write the status if it is not what the platform holds."""
    if status == writer.written or now < writer.due:
        return writer, []
    value = {"status": status.value, **details}
    call = Put(kind=NODE_KIND, name=name, value=value, expected=writer.version)
    effect = CallPlatform(purpose=Purpose.NODE, call=call, name=status.value)
    return evolve(writer, due=now + STATUS_WRITE_INTERVAL_SECONDS), [effect]


def record_status_outcome(
    writer: StatusWriter, event: PlatformAnswered
) -> StatusWriter:
    """Note what became of a write."""
    match event.outcome:
        case Stored(version=version):
            return evolve(writer, version=version, written=NodeStatus(event.name))
        case Conflict(current=current):
            version = current.version if current else 0
            return evolve(writer, version=version, due=event.now)
        case _:
            return writer
