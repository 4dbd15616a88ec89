"""HTTP client for the platform's object API."""

from __future__ import annotations

from typing import Any

import aiohttp

from shedsill.coordination.platform import (
    Call,
    Changed,
    Conflict,
    Delete,
    Found,
    Get,
    List,
    Listing,
    ListMachines,
    Machine,
    Machines,
    Outcome,
    Put,
    Stored,
    StoredObject,
    Unavailable,
    Watch,
)
from shedsill.http3._runtime.connections import make_connector, make_timeout

CALL_TIMEOUT_SECONDS = 2.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


class HttpPlatform:
    """Client for the platform's object API.

    Parameters
    ----------
    url : str
        Base URL of the API.
    timeout : float
        Timeout in seconds for connecting and for each read; a watch adds its own.
    """

    def __init__(self, url: str, *, timeout: float = CALL_TIMEOUT_SECONDS) -> None:
        self.url = url.rstrip("/")
        self.timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, call: Call) -> Outcome:
        """Execute a call; failures are returned as `Unavailable`."""
        is_write = isinstance(call, (Put, Delete))
        try:
            return await self._send(call)
        except aiohttp.ClientConnectorError as error:
            return Unavailable(reason=str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reason = f"{type(error).__name__} {error}"
            return Unavailable(reason=reason, perhaps_applied=is_write)
        except (ValueError, KeyError, TypeError) as error:
            reason = f"invalid response: {error}"
            return Unavailable(reason=reason, perhaps_applied=is_write)

    async def _send(self, call: Call) -> Outcome:
        match call:
            case Get():
                return await self._get(call)
            case List():
                kinds = {"kinds": ",".join(call.kinds)}
                answer = await self._request("GET", "/objects", params=kinds)
                return Listing(
                    objects=tuple(_read_object(item) for item in answer["items"]),
                    revision=answer["revision"],
                )
            case Put() | Delete():
                return await self._write(call)
            case Watch():
                return await self._watch(call)
            case ListMachines():
                answer = await self._request("GET", "/vms")
                return Machines(
                    machines=tuple(
                        Machine(name=item["name"], leaving=item["leaving"])
                        for item in answer["items"]
                    )
                )

    async def _get(self, call: Get) -> Outcome:
        answer = await self._request("GET", f"/objects/{call.kind}/{call.name}")
        item = answer["object"]
        return Found(object=_read_object(item) if item else None)

    async def _write(self, call: Put | Delete) -> Outcome:
        value = call.value if isinstance(call, Put) else None
        answer = await self._request(
            "PUT" if isinstance(call, Put) else "DELETE",
            f"/objects/{call.kind}/{call.name}",
            headers={"If-Match": str(call.expected)},
            json=value,
        )
        if "version" in answer:
            return Stored(version=answer["version"])
        item = answer["current"]
        return Conflict(current=_read_object(item) if item else None)

    async def _watch(self, call: Watch) -> Outcome:
        params = {
            "kinds": ",".join(call.kinds),
            "revision": str(call.revision),
            "patience": str(call.patience),
        }
        answer = await self._request(
            "GET", "/watch", params=params, timeout=self.timeout + call.patience
        )
        return Changed(names=tuple(answer["names"]), revision=answer["revision"])

    async def _request(
        self, method: str, path: str, *, timeout: float | None = None, **options: Any
    ) -> dict[str, Any]:
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=make_connector())
        limit = make_timeout(timeout or self.timeout)
        async with self._session.request(
            method, self.url + path, timeout=limit, **options
        ) as response:
            if response.status not in (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT):
                raise aiohttp.ClientPayloadError(f"status {response.status}")
            return await response.json()


def _read_object(item: dict[str, Any]) -> StoredObject:
    return StoredObject(
        kind=item["kind"],
        name=item["name"],
        version=int(item["version"]),
        value=item["value"],
    )
