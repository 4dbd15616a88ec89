"""A stand-in for the hosting platform's object store, over HTTP.

Objects are stored by kind and name with a revision, lists are paginated, watches
return events, and the history can be dropped.  `StoreFaults` makes the store slow or
unavailable, or loses the answers to writes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from attrs import define, field

PAGE_SIZE = 500
WATCH_POLL_SECONDS = 0.01
HTTP_CONFLICT = 409
HTTP_GONE = 410


@define
class StoreFaults:
    """Faults to inject.

    Attributes
    ----------
    delay : float
        Delay of each answer in seconds.
    failure_mode : str
        Empty, ``busy`` (503), ``reset`` or ``silent``.
    lose_answers : int
        Number of writes that are applied but whose answer is lost.
    """

    delay: float = 0.0
    failure_mode: str = ""
    lose_answers: int = 0


@define
class ObjectStoreStandIn:
    """Objects, history and HTTP handlers of the store.

    Attributes
    ----------
    calls : int
        Number of calls received.
    dropped_revision : int
        Watches from before this revision are answered with 410.
    after_list : callable
        Called after each page of a list was read.
    """

    faults: StoreFaults = field(factory=StoreFaults)
    page_size: int = PAGE_SIZE
    revision: int = 0
    calls: int = 0
    objects: dict[tuple[str, str], dict[str, Any]] = field(factory=dict)
    history: list[tuple[int, str, dict[str, Any]]] = field(factory=list)
    dropped_revision: int = 0
    after_list: Callable[[], object] = field(default=lambda: None)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._apply_faults])
        app.router.add_get("/-/objects/{kind}", self._list_or_watch)
        app.router.add_post("/-/objects/{kind}", self._create)
        app.router.add_get("/-/objects/{kind}/{name}", self._get)
        app.router.add_put("/-/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/-/objects/{kind}/{name}", self._delete)
        return app

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as an operator would; return its revision."""
        self.revision += 1
        meta = {"name": name, "rev": self.revision, "finalizers": []}
        self._record_object(kind, {"meta": meta, "spec": spec, "status": None})
        return self.revision

    def drop_history(self) -> None:
        """Drop all recorded changes; watches from before now get 410."""
        self.history.clear()
        self.dropped_revision = self.revision

    def _record_object(self, kind: str, item: dict[str, Any]) -> None:
        self.objects[kind, item["meta"]["name"]] = item
        self.history.append((self.revision, kind, {"object": item, "deleted": False}))

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> Any:
        self.calls += 1
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        match self.faults.failure_mode:
            case "busy":
                raise web.HTTPServiceUnavailable
            case "reset":
                _abort(request)
            case "silent":
                await asyncio.sleep(60)
        response = await handler(request)
        if request.method != "GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            _abort(request)
        return response

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(kind, request)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[: self.page_size]]
        body = {
            "items": items,
            "truncated": len(names) > self.page_size,
            "current_rev": self.revision,
        }
        self.after_list()
        return web.json_response(body)

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        since = int(request.query["watch"])
        end = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1000
        while True:
            if since < self.dropped_revision:
                return web.json_response({}, status=HTTP_GONE)
            events = [e for rev, k, e in self.history if k == kind and rev > since]
            if events or asyncio.get_running_loop().time() >= end:
                break
            await asyncio.sleep(WATCH_POLL_SECONDS)
        return web.json_response({"events": events, "current_rev": self.revision})

    async def _get(self, request: web.Request) -> web.Response:
        item = self._find(request)
        return web.json_response(item) if item else web.json_response({}, status=404)

    def _find(self, request: web.Request) -> dict[str, Any] | None:
        return self.objects.get(
            (request.match_info["kind"], request.match_info["name"])
        )

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        body = await request.json()
        known = self.objects.get((kind, body["meta"]["name"]))
        if known is not None:
            return web.json_response(known, status=HTTP_CONFLICT)
        return self._store(kind, body)

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        known = self._find(request)
        if known is None:
            return web.json_response({}, status=404)
        expected = body["meta"].get("rev")
        if expected is not None and expected != known["meta"]["rev"]:
            return web.json_response(known, status=HTTP_CONFLICT)
        if body["spec"] == known["spec"]:
            return web.json_response(known)
        return self._store(request.match_info["kind"], body)

    def _store(self, kind: str, body: dict[str, Any]) -> web.Response:
        self.write(kind, body["meta"]["name"], body["spec"])
        return web.json_response(self.objects[kind, body["meta"]["name"]])

    async def _delete(self, request: web.Request) -> web.Response:
        known = self._find(request)
        if known is None:
            return web.json_response({}, status=404)
        expected = request.query.get("rev")
        if expected is not None and int(expected) != known["meta"]["rev"]:
            return web.json_response(known, status=HTTP_CONFLICT)
        kind = request.match_info["kind"]
        self.revision += 1
        del self.objects[kind, known["meta"]["name"]]
        event = {"object": known, "deleted": True}
        self.history.append((self.revision, kind, event))
        return web.json_response({})


def _abort(request: web.Request) -> None:
    assert request.transport is not None
    request.transport.abort()
    raise web.HTTPServiceUnavailable
