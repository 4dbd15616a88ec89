"""Guards the HTTP/3 daemons against slow responses and connections that go silent."""

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
from shedsill.testing.slow_server import serve_slow_response

TIMEOUT_SECONDS = 0.4
CONTENT = json.dumps({"items": [], "revision": 7, "padding": "x" * 60}).encode()
PART_COUNT = 6
MAX_DETECTION_SECONDS = 4.0
"""Time within which a silent connection has to be detected."""


async def run_with_slow_server(
    pause: float, use: Callable[[str], Awaitable[object]], *, parts: int = PART_COUNT
) -> object:
    """Respond in parts with pauses, and never send the last ones."""

    step = len(CONTENT) // PART_COUNT + 1
    content = [CONTENT[start : start + step] for start in range(0, len(CONTENT), step)]
    head = "Connection: close\r\nContent-Type: application/json\r\n"
    async with serve_slow_response(
        content, pause=pause, sent_count=parts, extra_headers=head
    ) as port:
        return await use(f"http://127.0.0.1:{port}")


async def list_resources(url: str) -> object:
    platform = HttpPlatform(url, timeout=TIMEOUT_SECONDS)
    try:
        return await platform.call(List(kinds=("service",)))
    finally:
        await platform.close()


def test_slow_list_is_read_completely() -> None:
    outcome = asyncio.run(run_with_slow_server(TIMEOUT_SECONDS / 3, list_resources))
    assert isinstance(outcome, Listing)
    assert outcome.revision == 7


def test_stalled_list_is_unavailable() -> None:
    outcome = asyncio.run(run_with_slow_server(0.0, list_resources, parts=2))
    assert isinstance(outcome, Unavailable)


def read_detection_time(sock: socket.socket) -> float:
    """Return the seconds after which the kernel closes a silent connection."""
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return float("inf")
    idle, interval, probes = (
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
    )
    return idle + interval * probes


async def read_session_detection_time(
    session: aiohttp.ClientSession, url: str
) -> float:
    """Return the same for a connection of a session during a response."""
    async with session.get(url) as response:
        assert response.connection is not None
        transport = response.connection.transport
        assert transport is not None
        return read_detection_time(transport.get_extra_info("socket"))


async def read_platform_detection_time(url: str) -> float:
    platform = HttpPlatform(url)
    await platform.call(List(kinds=("service",)))
    assert platform._session is not None
    try:
        return await read_session_detection_time(platform._session, url)
    finally:
        await platform.close()


async def read_upstream_detection_time(url: str) -> float:
    client = UpstreamClient(url, shed_statuses=frozenset(), load_path="/load")
    await client.start()
    assert client._session is not None
    try:
        return await read_session_detection_time(client._session, url)
    finally:
        await client.close()


@pytest.mark.parametrize(
    "use", [read_platform_detection_time, read_upstream_detection_time]
)
def test_silent_connection_is_detected(
    use: Callable[[str], Awaitable[object]],
) -> None:
    """A watch or a stream of an upstream sends nothing while it waits."""
    seconds = asyncio.run(run_with_slow_server(0.0, use))
    assert isinstance(seconds, float | int)
    assert seconds < MAX_DETECTION_SECONDS
