"""Minimal HTTP/1.1 client and server on top of httptools.

Importing aiohttp takes 0.3 s of CPU and 23 MB, which exceeds the budget for the
start of a node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools
from msgspec import Struct

from shedsill._addresses import Address
from shedsill._connections import enable_keepalive

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for opening a connection, as to a VM behind a network partition."""

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Limit of a request or response body; lists of the store take about 1 MB."""


class Response(Struct, frozen=True, kw_only=True):
    """An HTTP response."""

    status: int
    body: bytes


def _ignore_progress() -> None:
    """Ignore data that arrives while no request is running."""


class _ClientProtocol(asyncio.Protocol):
    """Client side of a connection, with one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[Response] | None = None
        self.on_progress: Callable[[], None] = _ignore_progress
        self.closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        self.on_progress()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionError(f"invalid HTTP response: {error}"))

    def on_message_begin(self) -> None:
        self._body.clear()

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._fail(ConnectionError("response body is too long"))

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.closed = True
        if self.response is not None and not self.response.done():
            status = self._parser.get_status_code()
            self.response.set_result(Response(status=status, body=bytes(self._body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionError(f"connection closed: {exc or 'by the peer'}"))

    def _fail(self, error: Exception) -> None:
        self.closed = True
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class HttpClient:
    """Sends requests to one server over persistent connections.

    A connection whose request failed is closed.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._idle: list[_ClientProtocol] = []

    async def request(
        self, method: str, target: str, body: bytes | None, *, timeout: float
    ) -> Response:
        """Send a request and return the response.

        Parameters
        ----------
        timeout : float
            Seconds to wait for the start of the response and for each further part
            of it, so that large responses over slow links can complete.

        Raises
        ------
        TimeoutError, OSError
            If the response is missing or incomplete.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout) as limit:
            connection = await self._acquire_connection()
            connection.on_progress = lambda: limit.reschedule(loop.time() + timeout)
            done = False
            try:
                response = await self._exchange(connection, method, target, body)
                done = True
            finally:
                self._release_connection(connection, usable=done)
            return response

    async def _acquire_connection(self) -> _ClientProtocol:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _transport, connection = await loop.create_connection(
                _ClientProtocol, *self.address.pair
            )
        return connection

    async def _exchange(
        self, connection: _ClientProtocol, method: str, target: str, body: bytes | None
    ) -> Response:
        connection.response = asyncio.get_running_loop().create_future()
        assert connection.transport is not None
        connection.transport.write(_build_request(self.address, method, target, body))
        return await connection.response

    def _release_connection(self, connection: _ClientProtocol, *, usable: bool) -> None:
        connection.response = None
        connection.on_progress = _ignore_progress
        if usable and not connection.closed:
            self._idle.append(connection)
        elif connection.transport is not None:
            connection.transport.abort()

    def close(self) -> None:
        """Close the connections that are not in use."""
        for connection in self._idle:
            if connection.transport is not None:
                connection.transport.abort()
        self._idle.clear()


def _build_request(
    address: Address, method: str, target: str, body: bytes | None
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    if body is not None:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


Handler = Callable[[str, str, bytes], Response]
"""Receives method, path and body, and returns the response."""


class _ServerProtocol(asyncio.Protocol):
    """Server side of a connection; answers each request with the handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = b""
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._abort()

    def on_message_begin(self) -> None:
        self._path = b""
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._abort()

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode()
        path = self._path.decode("latin-1")
        response = self._handler(method, path, bytes(self._body))
        head = (
            f"HTTP/1.1 {response.status} -\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(response.body)}\r\n\r\n"
        )
        if self._transport is None:
            return
        self._transport.write(head.encode() + response.body)
        if not self._parser.should_keep_alive():
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


async def serve_http(address: Address, handler: Handler) -> asyncio.Server:
    """Start an HTTP server."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _ServerProtocol(handler), *address.pair)
