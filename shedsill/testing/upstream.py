"""Stand-in for an upstream, with claims, streams, uploads and a journal.

Run it with ``python -m shedsill.testing.upstream --name NAME --port PORT``.

``POST /claim`` takes ``--work`` seconds; its body names the claim.  ``GET
/stream`` sends a line every ``interval`` seconds, ``count`` of them or without
end.  ``POST /upload`` answers with the number of bytes received.  ``GET
/journal`` lists the requests that ran, ``GET /load`` returns the number of
running requests, and ``POST /faults`` sets the fields of `UpstreamFaults`.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import click
from aiohttp import web
from attrs import asdict, define, field

SHED_STATUS = 503
COLD_SLOWDOWN = 4.0


@define
class UpstreamFaults:
    """Faults that ``POST /faults`` injects.

    Attributes
    ----------
    shed : bool
        Whether claims and uploads are answered with 503 and not run.
    lie_idle : bool
        Whether ``GET /load`` returns 0 while requests run.
    slow : float
        Seconds added to each claim.
    cut : bool
        Whether the connection is aborted halfway through a claim's response.
    fail : bool
        Whether claims are answered with 500 after they ran.
    odd : bool
        Whether claims are answered with a header beyond ASCII.
    cold : float
        Seconds from now during which claims take `COLD_SLOWDOWN` times as long.
    """

    shed: bool = False
    lie_idle: bool = False
    slow: float = 0.0
    cut: bool = False
    fail: bool = False
    odd: bool = False
    cold: float = 0.0


@define
class JournalEntry:
    """A request that ran or is running."""

    path: str
    body: str
    finished: bool = False
    cancelled: bool = False


@define
class UpstreamStandIn:
    """State and request handlers of the stand-in."""

    name: str
    work_seconds: float = 0.02
    faults: UpstreamFaults = field(factory=UpstreamFaults)
    journal: list[JournalEntry] = field(factory=list)
    busy: int = 0
    most_busy: int = 0
    streams: int = 0
    draining: bool = False
    cold_until: float = 0.0

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=1 << 30)
        app.router.add_post("/claim", self._handle_claim)
        app.router.add_post("/alarm", self._handle_claim)
        app.router.add_get("/stream", self._handle_stream)
        app.router.add_post("/upload", self._handle_upload)
        app.router.add_get("/journal", self._show_journal)
        app.router.add_get("/load", self._show_load)
        app.router.add_get("/health", self._show_health)
        app.router.add_post("/drain", self._start_drain)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_route("*", "/{rest:.*}", self._handle_claim)
        return app

    async def _handle_claim(self, request: web.Request) -> web.StreamResponse:
        if self.faults.shed:
            return web.Response(status=SHED_STATUS, text="shed")
        body = (await request.text())[:200]
        entry = JournalEntry(path=request.path, body=body)
        return await self._run_request(request, entry, f"{self.name} ran {body}\n")

    async def _handle_upload(self, request: web.Request) -> web.StreamResponse:
        if self.faults.shed:
            return web.Response(status=SHED_STATUS, text="shed")
        entry = JournalEntry(path=request.path, body="")
        size = 0
        with self._track_request(entry):
            async for part in request.content.iter_any():
                size += len(part)
            entry.body = str(size)
            entry.finished = True
        return web.Response(text=f"{self.name} took {size}\n")

    async def _run_request(
        self, request: web.Request, entry: JournalEntry, text: str
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        seconds = self.work_seconds + self.faults.slow
        if loop.time() < self.cold_until:
            seconds *= COLD_SLOWDOWN
        with self._track_request(entry):
            await asyncio.sleep(seconds)
            entry.finished = True
        if self.faults.fail:
            return web.Response(status=500, text="failed")
        if self.faults.cut:
            return await self._abort_response(request, text)
        if self.faults.odd:
            return web.Response(text=text, headers={"X-Odd": "naïve ✓"})
        return web.Response(text=text)

    @contextlib.contextmanager
    def _track_request(self, entry: JournalEntry) -> Any:
        self.journal.append(entry)
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        try:
            yield
        except asyncio.CancelledError:
            entry.cancelled = True
            raise
        finally:
            self.busy -= 1

    async def _abort_response(
        self, request: web.Request, text: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(text))})
        await response.prepare(request)
        await response.write(text[: len(text) // 2].encode())
        assert request.transport is not None
        request.transport.abort()
        return response

    async def _handle_stream(self, request: web.Request) -> web.StreamResponse:
        interval = float(request.query.get("interval", "0.1"))
        count = int(request.query.get("count", "-1"))
        response = web.StreamResponse(headers={"Content-Type": "text/plain"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        self.streams += 1
        number = 0
        try:
            while number != count:
                await response.write(f"{self.name} {number}\n".encode())
                number += 1
                await asyncio.sleep(interval)
            await response.write_eof()
        finally:
            self.streams -= 1
        return response

    async def _show_journal(self, _request: web.Request) -> web.Response:
        entries = [asdict(entry) for entry in self.journal]
        shown = {"entries": entries, "most_busy": self.most_busy}
        return web.json_response(shown)

    async def _show_load(self, _request: web.Request) -> web.Response:
        busy = 0 if self.faults.lie_idle else self.busy
        return web.json_response({"busy": busy})

    async def _show_health(self, _request: web.Request) -> web.Response:
        return web.json_response({"healthy": True, "draining": self.draining})

    async def _start_drain(self, _request: web.Request) -> web.Response:
        self.draining = True
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        if self.faults.cold:
            now = asyncio.get_running_loop().time()
            self.cold_until = now + self.faults.cold
        return web.json_response({})


async def serve_upstream(stand_in: UpstreamStandIn, port: int) -> web.AppRunner:
    """Serve a stand-in on loopback; a closed connection cancels its request."""
    runner = web.AppRunner(
        stand_in.make_app(),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0.5,
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


async def _run(name: str, port: int, work: float) -> None:
    await serve_upstream(UpstreamStandIn(name=name, work_seconds=work), port)
    await asyncio.Event().wait()


@click.command()
@click.option("--name", required=True)
@click.option("--port", type=int, required=True)
@click.option("--work", type=float, default=0.02, show_default=True)
def main(name: str, port: int, work: float) -> None:
    """Run a stand-in for an upstream."""
    asyncio.run(_run(name, port, work))


if __name__ == "__main__":
    main()
