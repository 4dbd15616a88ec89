"""A stand-in for the platform's object API.

Run it with ``python -m shedsill.testing.platform --port PORT``.

It serves ``GET /objects?kinds=a,b``, ``GET|PUT|DELETE /objects/KIND/NAME`` (writes
carry ``If-Match: VERSION``), ``GET /watch?kinds=&revision=&patience=``, ``GET /vms``,
``PUT|DELETE /vms/NAME`` and ``GET /calls``.  ``POST /faults`` takes any of ``down``
(bool), ``delay`` (seconds), ``lose_answers`` (number of writes that are applied but
whose answer is lost) and ``stale_reads`` (number of lists answered with the state
before the last write).
"""

from __future__ import annotations

import asyncio
from typing import Any

import click
from aiohttp import web
from attrs import define, field

from shedsill.coordination.platform import (
    Conflict,
    Delete,
    Found,
    Get,
    List,
    Listing,
    Machine,
    MemoryPlatform,
    Put,
    Stored,
    StoredObject,
    Watch,
)

MAX_VALUE_BYTES = 1_048_576
WATCH_POLL_SECONDS = 0.02


@define
class PlatformFaults:
    """Faults to inject; the names are keys of ``POST /faults``."""

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    stale_reads: int = 0


@define
class PlatformStandIn:
    """Store, faults and HTTP handlers of the platform.

    Attributes
    ----------
    calls, writes : int
        Number of calls and of writes received.
    """

    store: MemoryPlatform = field(factory=MemoryPlatform)
    faults: PlatformFaults = field(factory=PlatformFaults)
    calls: int = 0
    writes: int = 0
    _listing_before_write: Listing | None = None

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES, middlewares=[self._apply_faults]
        )
        app.router.add_get("/objects", self._list)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._write)
        app.router.add_delete("/objects/{kind}/{name}", self._write)
        app.router.add_get("/watch", self._watch)
        app.router.add_get("/vms", self._list_machines)
        app.router.add_put("/vms/{name}", self._put_machine)
        app.router.add_delete("/vms/{name}", self._delete_machine)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/calls", self._count_calls)
        return app

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> Any:
        if request.path in ("/faults", "/calls"):
            return await handler(request)
        self.calls += 1
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="down")
        return await handler(request)

    async def _list(self, request: web.Request) -> web.Response:
        kinds = tuple(request.query["kinds"].split(","))
        listing = self.store.apply(List(kinds=kinds))
        assert isinstance(listing, Listing)
        if self.faults.stale_reads > 0 and self._listing_before_write is not None:
            self.faults.stale_reads -= 1
            listing = self._listing_before_write
        items = [_encode_object(item) for item in listing.objects if item.kind in kinds]
        return web.json_response({"items": items, "revision": listing.revision})

    async def _get(self, request: web.Request) -> web.Response:
        found = self.store.apply(Get(**request.match_info))
        assert isinstance(found, Found)
        shown = _encode_object(found.object) if found.object else None
        return web.json_response({"object": shown})

    async def _write(self, request: web.Request) -> web.Response:
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(body))
        expected = int(request.headers.get("If-Match", "0"))
        target = dict(request.match_info)
        self.writes += 1
        self._listing_before_write = self._snapshot()
        if request.method == "PUT":
            value = await request.json()
            outcome = self.store.apply(Put(**target, value=value, expected=expected))
        else:
            outcome = self.store.apply(Delete(**target, expected=expected))
        if isinstance(outcome, Stored) and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        match outcome:
            case Stored(version=version):
                return web.json_response({"version": version})
            case Conflict(current=current):
                shown = _encode_object(current) if current else None
                return web.json_response({"current": shown}, status=409)
        raise web.HTTPInternalServerError

    def _snapshot(self) -> Listing:
        objects = tuple(self.store.objects.values())
        return Listing(objects=objects, revision=self.store.revision)

    async def _watch(self, request: web.Request) -> web.Response:
        call = Watch(
            kinds=tuple(request.query["kinds"].split(",")),
            revision=int(request.query["revision"]),
            patience=float(request.query["patience"]),
        )
        loop = asyncio.get_running_loop()
        end = loop.time() + call.patience
        changed = self.store.apply(call)
        while not changed.names and loop.time() < end and not self.faults.down:
            await asyncio.sleep(WATCH_POLL_SECONDS)
            changed = self.store.apply(call)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="down")
        return web.json_response(
            {"names": list(changed.names), "revision": changed.revision}
        )

    async def _list_machines(self, _request: web.Request) -> web.Response:
        items = [{"name": m.name, "leaving": m.leaving} for m in self.store.machines]
        return web.json_response({"items": items})

    async def _put_machine(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        leaving = bool((await request.json()).get("leaving", False))
        others = [m for m in self.store.machines if m.name != name]
        self.store.machines = (*others, Machine(name=name, leaving=leaving))
        return web.json_response({})

    async def _delete_machine(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        remaining = tuple(m for m in self.store.machines if m.name != name)
        self.store.machines = remaining
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def _count_calls(self, _request: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls, "writes": self.writes})


def _encode_object(item: StoredObject) -> dict[str, Any]:
    return {
        "kind": item.kind,
        "name": item.name,
        "version": item.version,
        "value": item.value,
    }


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
def main(host: str, port: int) -> None:
    """Serve the platform's object API, kept in memory, until interrupted."""
    web.run_app(PlatformStandIn().make_app(), host=host, port=port, print=None)


if __name__ == "__main__":
    main()
