"""Calls over connections that are slow or go silent, in the HTTP/3 product.

Seen on opaque flows: a configuration was not in force on two balancers 5.8 s after it
had been confirmed.  Their watches waited on connections that had gone silent without a
reset, which nothing noticed for 26 s, and a large configuration could not be read over
a slow link at all, since its whole answer had to come within one limit.  What proved
it: the same series of faults played on the code before and after each was mended.
The daemons for HTTP/3 requests make the same calls with another library.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from shedsill.coordination.platform import List, Listing, Unavailable
from shedsill.http3._runtime.platform import HttpPlatform
from shedsill.http3._runtime.upstream import UpstreamClient
from shedsill.testing.slow_server import serve_parts

TIMEOUT = 0.4
CONTENT = json.dumps({"items": [], "revision": 7, "padding": "x" * 60}).encode()
PARTS = 6
NOTICE_LIMIT = 4.0
"""Seconds within which a connection that went silent has to be noticed."""


async def serve_slowly(
    pause: float, use: Callable[[str], Awaitable[object]], *, parts: int = PARTS
) -> object:
    """Answer each call in parts with pauses between them, the last ones never."""

    step = len(CONTENT) // PARTS + 1
    content = [CONTENT[start : start + step] for start in range(0, len(CONTENT), step)]
    head = "Connection: close\r\nContent-Type: application/json\r\n"
    async with serve_parts(content, pause=pause, sent=parts, head=head) as port:
        return await use(f"http://127.0.0.1:{port}")


async def list_resources(url: str) -> object:
    platform = HttpPlatform(url, timeout=TIMEOUT)
    try:
        return await platform.call(List(kinds=("service",)))
    finally:
        await platform.close()


def test_a_list_that_keeps_coming_is_waited_for() -> None:
    outcome = asyncio.run(serve_slowly(TIMEOUT / 3, list_resources))
    assert isinstance(outcome, Listing)
    assert outcome.revision == 7


def test_a_list_that_stops_is_given_up() -> None:
    outcome = asyncio.run(serve_slowly(0.0, list_resources, parts=2))
    assert isinstance(outcome, Unavailable)


def read_notice_time(sock: socket.socket) -> float:
    """Return the seconds after which the kernel gives a silent connection up."""
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return float("inf")
    idle, interval, probes = (
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
    )
    return idle + interval * probes


async def find_notice_time(session: aiohttp.ClientSession, url: str) -> float:
    """Return the same for a connection of a session, while an answer comes on it."""
    async with session.get(url) as response:
        assert response.connection is not None
        transport = response.connection.transport
        assert transport is not None
        return read_notice_time(transport.get_extra_info("socket"))


async def open_platform(url: str) -> float:
    platform = HttpPlatform(url)
    await platform.call(List(kinds=("service",)))
    assert platform._session is not None
    try:
        return await find_notice_time(platform._session, url)
    finally:
        await platform.close()


async def open_upstream(url: str) -> float:
    client = UpstreamClient(url, shed_statuses=frozenset(), load_path="/load")
    await client.start()
    assert client._session is not None
    try:
        return await find_notice_time(client._session, url)
    finally:
        await client.close()


@pytest.mark.parametrize("use", [open_platform, open_upstream])
def test_a_connection_that_goes_silent_is_noticed(
    use: Callable[[str], Awaitable[object]],
) -> None:
    """A watch waits long with nothing to send; a stream of an upstream has no end."""
    seconds = asyncio.run(serve_slowly(0.0, use))
    assert isinstance(seconds, float | int)
    assert seconds < NOTICE_LIMIT
