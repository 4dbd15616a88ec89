"""Timeouts and keep-alive of the HTTP client and server of nodes."""

from __future__ import annotations

import asyncio
import socket

import pytest

from shedsill._addresses import Address
from shedsill.datagram._runtime.http import HttpClient, Response, _ServerProtocol
from shedsill.testing.slow_server import serve_slow_response

TIMEOUT_SECONDS = 0.4
PART_COUNT = 6
BODY = b"0123456789"


async def fetch(pause: float, *, parts: int = PART_COUNT) -> Response:
    """Request a response whose parts are sent with pauses between them.

    The header announces `PARTS` parts, of which `parts` are sent.
    """

    async with serve_slow_response(
        [BODY] * PART_COUNT, pause=pause, sent_count=parts
    ) as port:
        client = HttpClient(Address("127.0.0.1", port))
        try:
            return await client.request("GET", "/", None, timeout=TIMEOUT_SECONDS)
        finally:
            client.close()


def test_slow_response_is_read_completely() -> None:
    """Balancers on slow links could not read a large configuration in one timeout."""
    response = asyncio.run(fetch(TIMEOUT_SECONDS / 4))
    assert response.body == BODY * PART_COUNT


def test_stalled_response_times_out() -> None:
    with pytest.raises(TimeoutError):
        asyncio.run(fetch(0.0, parts=2))


def test_response_that_does_not_start_times_out() -> None:
    with pytest.raises(TimeoutError):
        asyncio.run(fetch(3 * TIMEOUT_SECONDS))


KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
)
MAX_DETECTION_SECONDS = 4.0
"""Time after which a node must have detected a silent connection."""


async def read_keepalive() -> list[list[int]]:
    """Return the keep-alive options at both ends of a connection."""
    loop = asyncio.get_running_loop()
    response = Response(status=200, body=b"")
    protocol = _ServerProtocol(lambda method, path, body: response)
    server = await loop.create_server(lambda: protocol, "127.0.0.1", 0)
    client = HttpClient(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    try:
        await client.request("GET", "/", None, timeout=TIMEOUT_SECONDS)
        ends = [protocol._transport, client._idle[0].transport]
        sockets = [end.get_extra_info("socket") for end in ends if end is not None]
        return [[sock.getsockopt(*option) for option in KEEPALIVE] for sock in sockets]
    finally:
        client.close()
        server.close()


def test_both_ends_detect_silent_connection() -> None:
    options = asyncio.run(read_keepalive())
    assert len(options) == 2
    for enabled, idle, interval, probes in options:
        assert enabled
        assert idle + interval * probes < MAX_DETECTION_SECONDS
