"""Read-modify-write of an object with recovery from lost responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import frozen

from shedsill.coordination.platform import (
    Conflict,
    Found,
    Get,
    Outcome,
    Platform,
    Put,
    Stored,
    StoredObject,
    Unavailable,
)

CHANGE_ID_KEY = "change_id"
MAX_ATTEMPTS = 8


@frozen(kw_only=True)
class Unchanged:
    """The object already has the requested value."""

    version: int


async def update_object(
    platform: Platform,
    kind: str,
    name: str,
    change: Callable[[dict[str, Any]], dict[str, Any]],
    *,
    change_id: str,
    max_attempts: int = MAX_ATTEMPTS,
) -> Outcome | Unchanged:
    """Read, change and write an object, with retries after conflicts and failures.

    Parameters
    ----------
    change : callable
        Returns the new value for the current one ({} if absent); may be called
        several times.
    change_id : str
        Unique ID of this update, stored with the value, by which a write whose
        response was lost is recognised.
    max_attempts : int
        Limit of attempts, after which the last outcome is returned.

    Returns
    -------
    Stored, Unchanged, Conflict or Unavailable

    Examples
    --------
    >>> import asyncio
    >>> from shedsill.coordination import MemoryPlatform, update_object
    >>> store = MemoryPlatform()
    >>> def add_one(value):
    ...     return {"count": value.get("count", 0) + 1}
    >>> asyncio.run(update_object(store, "counter", "a", add_one, change_id="1"))
    Stored(version=1)
    """
    outcome: Outcome = Unavailable(reason="no attempt was allowed")
    maybe_written = False
    for _ in range(max_attempts):
        read = await platform.call(Get(kind=kind, name=name))
        if not isinstance(read, Found):
            outcome = read
            continue
        current = read.object
        if maybe_written and _has_change_id(current, change_id):
            return Stored(version=current.version)
        value = current.value if current else {}
        new_value = {**change(dict(value)), CHANGE_ID_KEY: change_id}
        if (
            _remove_change_id(new_value) == _remove_change_id(value)
            and current is not None
        ):
            return Unchanged(version=current.version)
        version = current.version if current else 0
        outcome = await platform.call(
            Put(kind=kind, name=name, value=new_value, expected=version)
        )
        match outcome:
            case Stored():
                return outcome
            case Unavailable(perhaps_applied=perhaps_applied):
                maybe_written = maybe_written or perhaps_applied
            case Conflict(current=found) if maybe_written and _has_change_id(
                found, change_id
            ):
                return Stored(version=found.version)
    return outcome


def _has_change_id(current: StoredObject | None, change_id: str) -> bool:
    return current is not None and current.value.get(CHANGE_ID_KEY) == change_id


def _remove_change_id(value: dict[str, Any]) -> dict[str, Any]:
    return {key: item for key, item in value.items() if key != CHANGE_ID_KEY}
