"""HTTP server of a node: health, metrics, status and requests of peers."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import mode
from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from shedsill._addresses import Address
from shedsill.http3._configuration import Configuration, encode_configuration_text
from shedsill.http3._keys import KeyRing, sign_message

MAX_PEER_MESSAGE_BYTES = 64 * 1024 * 1024
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ControlServer(mode.Service):
    """Serves ``/healthz``, ``/readyz``, ``/metrics``, ``/status`` and peers.

    Parameters
    ----------
    address : Address
        Address to listen on (TCP); the same as that of the node's frames (UDP).
    get_status : callable
        Returns the content of ``/status``; its ``ready`` is the result of ``/readyz``.
    routes : tuple of (str, callable)
        Further paths and their POST handlers.
    """

    def __init__(
        self,
        address: Address,
        *,
        keys: KeyRing,
        registry: CollectorRegistry,
        get_configuration: Callable[[], Configuration],
        get_status: Callable[[], dict[str, Any]],
        routes: tuple[tuple[str, Handler], ...] = (),
    ) -> None:
        super().__init__()
        self.address = address
        self._keys = keys
        self._registry = registry
        self._get_configuration = get_configuration
        self._get_status = get_status
        self._routes = routes
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Start listening."""
        app = web.Application(client_max_size=MAX_PEER_MESSAGE_BYTES)
        app.router.add_get("/healthz", self._answer_health)
        app.router.add_get("/readyz", self._answer_ready)
        app.router.add_get("/metrics", self._answer_metrics)
        app.router.add_get("/status", self._answer_status)
        app.router.add_get("/peer/configuration", self._answer_configuration)
        for path, handler in self._routes:
            app.router.add_post(path, handler)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.address.host, self.address.port)
        await site.start()

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer_health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _answer_ready(self, _request: web.Request) -> web.Response:
        ready = bool(self._get_status().get("ready"))
        return web.Response(status=200 if ready else 503, text=f"{ready}\n".lower())

    async def _answer_metrics(self, _request: web.Request) -> web.Response:
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": "text/plain"})

    async def _answer_status(self, _request: web.Request) -> web.Response:
        return web.json_response(text=json.dumps(self._get_status()))

    async def _answer_configuration(self, _request: web.Request) -> web.Response:
        text = encode_configuration_text(self._get_configuration())
        return web.Response(body=sign_message(self._keys, text))
