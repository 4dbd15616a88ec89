"""How long the HTTP client of nodes waits for an answer."""

from __future__ import annotations

import asyncio
import socket

import pytest

from shedsill._addresses import Address
from shedsill.datagram._runtime.http import HttpClient, Response, _ServerProtocol
from shedsill.testing.slow_server import serve_parts

TIMEOUT = 0.4
PARTS = 6
BODY = b"0123456789"


async def fetch(pause: float, *, parts: int = PARTS) -> Response:
    """Read an answer whose parts come with pauses between them.

    Of `PARTS` parts that the head announces, only `parts` are sent.
    """

    async with serve_parts([BODY] * PARTS, pause=pause, sent=parts) as port:
        client = HttpClient(Address("127.0.0.1", port))
        try:
            return await client.request("GET", "/", None, timeout=TIMEOUT)
        finally:
            client.close()


def test_an_answer_that_keeps_coming_is_waited_for() -> None:
    """Found after restarts with a large configuration: balancers on slow links gave
    the list up after 0.8 s, again and again, and had no table for seconds."""
    response = asyncio.run(fetch(TIMEOUT / 4))
    assert response.body == BODY * PARTS


def test_an_answer_that_stops_is_given_up() -> None:
    with pytest.raises(TimeoutError):
        asyncio.run(fetch(0.0, parts=2))


def test_an_answer_that_does_not_begin_is_given_up() -> None:
    with pytest.raises(TimeoutError):
        asyncio.run(fetch(3 * TIMEOUT))


KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
)
CONTACT_LIMIT = 4.0
"""Seconds after which a calm node has to be in touch again, on the strictest
deployment."""


async def read_keepalive() -> list[list[int]]:
    """Return the options of both ends of a connection."""
    loop = asyncio.get_running_loop()
    answer = Response(status=200, body=b"")
    protocol = _ServerProtocol(lambda method, path, body: answer)
    server = await loop.create_server(lambda: protocol, "127.0.0.1", 0)
    client = HttpClient(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    try:
        await client.request("GET", "/", None, timeout=TIMEOUT)
        ends = [protocol._transport, client._idle[0].transport]
        sockets = [end.get_extra_info("socket") for end in ends if end is not None]
        return [[sock.getsockopt(*option) for option in KEEPALIVE] for sock in sockets]
    finally:
        client.close()
        server.close()


def test_both_ends_notice_a_connection_that_goes_silent() -> None:
    options = asyncio.run(read_keepalive())
    assert len(options) == 2
    for enabled, idle, interval, probes in options:
        assert enabled
        assert idle + interval * probes < CONTACT_LIMIT
