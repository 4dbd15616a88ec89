"""Client of the platform's object store.

An object there has `meta` (with its revision, `rev`), `spec` and `status`.  The
product's value is the `spec`; its version is the revision.
"""

from __future__ import annotations

from typing import Any

import msgspec

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

CALL_TIMEOUT = 0.8
"""Seconds for one call; the store answers in 4 ms, and in 0.3 s when slow.  A call
that fell into an outage must not be waited for long after it."""

WATCH_MARGIN = 1.5
"""Seconds beyond its patience in which a watch has to answer."""

ROOT = "/-/objects"
OK = (200, 201)
NOT_FOUND = 404
CONFLICT = 409
GONE = 410


class UnusableAnswerError(Exception):
    """The store answered something that the call does not expect."""


class ObjectStore:
    """Implements `shedsill.coordination.platform.Platform`."""

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address)

    async def call(self, call: Call) -> Outcome:
        """Carry out one call; failures come back as `Unavailable`."""
        writes = isinstance(call, (Put, Delete))
        try:
            return await self._send(call)
        except ConnectionRefusedError as error:
            return Unavailable(reason=str(error))
        except (TimeoutError, OSError) as error:
            reason = f"{type(error).__name__} {error}"
            return Unavailable(reason=reason, perhaps_applied=writes)
        except (UnusableAnswerError, msgspec.DecodeError, LookupError) as error:
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
                return Unavailable(reason="one kind a call, on this platform")
            case ListMachines():
                return Unavailable(reason="this platform keeps no list of VMs")

    async def _get(self, kind: str, name: str) -> Outcome:
        response = await self._request("GET", f"{ROOT}/{kind}/{name}")
        if response.status == NOT_FOUND:
            return Found(object=None)
        return Found(object=_read_object(kind, _read_body(response)))

    async def _list(self, kind: str) -> Outcome:
        objects: list[StoredObject] = []
        target = f"{ROOT}/{kind}"
        while True:
            body = _read_body(await self._request("GET", target))
            objects += [_read_object(kind, item) for item in body["items"]]
            if not body.get("truncated"):
                break
            target = f"{ROOT}/{kind}?after={objects[-1].name}"
        return Listing(objects=tuple(objects), revision=body["current_rev"])

    async def _watch(self, kind: str, call: Watch) -> Outcome:
        wait = int(call.patience * 1000)
        target = f"{ROOT}/{kind}?watch={call.revision}&wait_ms={wait}"
        timeout = call.patience + WATCH_MARGIN
        response = await self._request("GET", target, timeout=timeout)
        if response.status == GONE:
            return HistoryGone()
        body = _read_body(response)
        latest = {e["object"]["meta"]["name"]: e for e in body["events"]}
        alive = [e["object"] for e in latest.values() if not e.get("deleted")]
        deleted = [name for name, e in latest.items() if e.get("deleted")]
        return Changed(
            names=tuple(f"{kind}/{name}" for name in latest),
            revision=body["current_rev"],
            objects=tuple(_read_object(kind, item) for item in alive),
            deleted=tuple(deleted),
        )

    async def _put(self, call: Put) -> Outcome:
        meta: dict[str, Any] = {"name": call.name, "finalizers": []}
        target = f"{ROOT}/{call.kind}"
        method = "POST"
        if call.expected:
            meta["rev"] = call.expected
            target = f"{target}/{call.name}"
            method = "PUT"
        body = msgspec.json.encode({"meta": meta, "spec": call.value, "status": None})
        return _read_write(call.kind, await self._request(method, target, body))

    async def _delete(self, call: Delete) -> Outcome:
        target = f"{ROOT}/{call.kind}/{call.name}?rev={call.expected}"
        return _read_write(call.kind, await self._request("DELETE", target))

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        *,
        timeout: float = CALL_TIMEOUT,
    ) -> Response:
        return await self._client.request(method, target, body, timeout=timeout)


def _read_body(response: Response) -> Any:
    if response.status not in OK:
        raise UnusableAnswerError(f"status {response.status}")
    return msgspec.json.decode(response.body)


def _read_write(kind: str, response: Response) -> Outcome:
    if response.status == NOT_FOUND:
        return Conflict(current=None)
    if response.status == CONFLICT:
        current = msgspec.json.decode(response.body)
        return Conflict(current=_read_object(kind, current))
    body = _read_body(response)
    version = body["meta"]["rev"] if isinstance(body, dict) and "meta" in body else 0
    return Stored(version=version)


def _read_object(kind: str, item: Any) -> StoredObject:
    meta = item["meta"]
    return StoredObject(
        kind=kind, name=meta["name"], version=meta["rev"], value=item["spec"]
    )
