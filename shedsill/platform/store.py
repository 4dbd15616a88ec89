"""Client of the platform's object store.

Its objects have `meta`, with the revision `rev`, `spec` and `status`.  The value of a
`StoredObject` is the `spec`, its version the revision.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from msgspec import Struct

from shedsill._addresses import Address
from shedsill.coordination.platform import (
    Call,
    Changed,
    Conflict,
    Delete,
    Found,
    Get,
    HistoryGone,
    List,
    Listing,
    ListMachines,
    Outcome,
    Put,
    Stored,
    StoredObject,
    Unavailable,
    Watch,
)
from shedsill.datagram._runtime.http import HttpClient, Response

__all__ = ["ObjectStore"]

CALL_TIMEOUT_SECONDS = 0.8
"""Timeout of a call.  The store responds in 4 ms, a slow one in 0.3 s; a longer timeout
delays retries after an outage."""

WATCH_MARGIN_SECONDS = 0.8
"""Time beyond its own timeout in which a watch has to respond."""

T = TypeVar("T")

OBJECTS_PATH = "/-/objects"
SUCCESS_STATUSES = (200, 201)
NOT_FOUND = 404
CONFLICT = 409
GONE = 410


class UnusableAnswerError(Exception):
    """The store returned a status that the call does not expect."""


class _Meta(Struct, frozen=True, kw_only=True):
    """Metadata of an object.

    Attributes
    ----------
    rev : int
        Revision of the store at the object's last change.
    """

    name: str
    rev: int


class _Object(Struct, frozen=True, kw_only=True):
    """One object; `spec` holds the value."""

    meta: _Meta
    spec: Any = None


class _Page(Struct, frozen=True, kw_only=True):
    """A page of a list.

    Attributes
    ----------
    current_rev : int
        Revision of the store, from which a watch continues.
    truncated : bool
        Whether the list continues after the last name.
    """

    items: list[_Object]
    current_rev: int
    truncated: bool = False


class _Event(Struct, frozen=True, kw_only=True):
    """A change of one object."""

    object: _Object
    deleted: bool = False


class _Events(Struct, frozen=True, kw_only=True):
    """Response to a watch; the next one continues from `current_rev`."""

    events: list[_Event]
    current_rev: int


class ObjectStore:
    """Implements `shedsill.coordination.platform.Platform`."""

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address)

    async def call(self, call: Call) -> Outcome:
        """Execute a call; failures are returned as `Unavailable`."""
        writes = isinstance(call, (Put, Delete))
        try:
            return await self._send(call)
        except ConnectionRefusedError as error:
            return Unavailable(reason=str(error))
        except (TimeoutError, OSError) as error:
            reason = f"{type(error).__name__} {error}"
            return Unavailable(reason=reason, perhaps_applied=writes)
        except (UnusableAnswerError, msgspec.DecodeError) as error:
            return Unavailable(reason=str(error), perhaps_applied=writes)

    async def _send(self, call: Call) -> Outcome:
        match call:
            case Get(kind=kind, name=name):
                return await self._get(kind, name)
            case List(kinds=(kind,)):
                return await self._list(kind)
            case Watch(kinds=(kind,)):
                return await self._watch(kind, call)
            case Put():
                return await self._put(call)
            case Delete():
                return await self._delete(call)
            case List() | Watch():
                return Unavailable(reason="this platform allows one kind for each call")
            case ListMachines():
                return Unavailable(reason="this platform has no list of VMs")

    async def _get(self, kind: str, name: str) -> Outcome:
        response = await self._request("GET", f"{OBJECTS_PATH}/{kind}/{name}")
        if response.status == NOT_FOUND:
            return Found(object=None)
        return Found(object=_build_object(kind, _decode_body(response, _Object)))

    async def _list(self, kind: str) -> Outcome:
        """List all objects of a kind, at the revision of the first page.

        A watch from there returns what changed in a page after it was read.
        """
        target = f"{OBJECTS_PATH}/{kind}"
        first = page = _decode_body(await self._request("GET", target), _Page)
        objects = [_build_object(kind, item) for item in page.items]
        while page.truncated and page.items:
            target = f"{OBJECTS_PATH}/{kind}?after={objects[-1].name}"
            page = _decode_body(await self._request("GET", target), _Page)
            objects += [_build_object(kind, item) for item in page.items]
        return Listing(objects=tuple(objects), revision=first.current_rev)

    async def _watch(self, kind: str, call: Watch) -> Outcome:
        wait = int(call.patience * 1000)
        target = f"{OBJECTS_PATH}/{kind}?watch={call.revision}&wait_ms={wait}"
        timeout = call.patience + WATCH_MARGIN_SECONDS
        response = await self._request("GET", target, timeout=timeout)
        if response.status == GONE:
            return HistoryGone()
        body = _decode_body(response, _Events)
        latest = {event.object.meta.name: event for event in body.events}
        present = [e.object for e in latest.values() if not e.deleted]
        deleted = [name for name, event in latest.items() if event.deleted]
        return Changed(
            names=tuple(f"{kind}/{name}" for name in latest),
            revision=body.current_rev,
            objects=tuple(_build_object(kind, item) for item in present),
            deleted=tuple(deleted),
        )

    async def _put(self, call: Put) -> Outcome:
        meta: dict[str, Any] = {"name": call.name, "finalizers": []}
        target = f"{OBJECTS_PATH}/{call.kind}"
        method = "POST"
        if call.expected:
            meta["rev"] = call.expected
            target = f"{target}/{call.name}"
            method = "PUT"
        body = msgspec.json.encode({"meta": meta, "spec": call.value, "status": None})
        return _decode_write_outcome(
            call.kind, await self._request(method, target, body)
        )

    async def _delete(self, call: Delete) -> Outcome:
        target = f"{OBJECTS_PATH}/{call.kind}/{call.name}?rev={call.expected}"
        response = await self._request("DELETE", target)
        if response.status in SUCCESS_STATUSES:
            # The object no longer exists, whatever the response contains.
            return Stored(version=0)
        return _decode_write_outcome(call.kind, response)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        *,
        timeout: float | None = None,
    ) -> Response:
        if timeout is None:
            timeout = CALL_TIMEOUT_SECONDS
        return await self._client.request(method, target, body, timeout=timeout)


def _decode_body(response: Response, body_type: type[T]) -> T:
    if response.status not in SUCCESS_STATUSES:
        raise UnusableAnswerError(f"unexpected status {response.status}")
    return msgspec.json.decode(response.body, type=body_type)


def _decode_write_outcome(kind: str, response: Response) -> Outcome:
    if response.status == NOT_FOUND:
        return Conflict(current=None)
    if response.status == CONFLICT:
        current = msgspec.json.decode(response.body, type=_Object)
        return Conflict(current=_build_object(kind, current))
    return Stored(version=_decode_body(response, _Object).meta.rev)


def _build_object(kind: str, item: _Object) -> StoredObject:
    return StoredObject(
        kind=kind, name=item.meta.name, version=item.meta.rev, value=item.spec
    )
