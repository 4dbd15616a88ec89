"""How long the HTTP client of nodes waits for an answer."""

from __future__ import annotations

import asyncio

import pytest

from shedsill._addresses import Address
from shedsill.datagram._runtime.http import HttpClient, Response

TIMEOUT = 0.4
PARTS = 6
BODY = b"0123456789"


async def fetch(pause: float, *, parts: int = PARTS) -> Response:
    """Read an answer whose parts come with pauses between them.

    Of `PARTS` parts that the head announces, only `parts` are sent.
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        length = PARTS * len(BODY)
        writer.write(f"HTTP/1.1 200 -\r\nContent-Length: {length}\r\n\r\n".encode())
        for _ in range(parts):
            await asyncio.sleep(pause)
            writer.write(BODY)
            await writer.drain()
        await ended.wait()
        writer.close()

    ended = asyncio.Event()
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(Address("127.0.0.1", port))
    try:
        return await client.request("GET", "/", None, timeout=TIMEOUT)
    finally:
        ended.set()
        client.close()
        server.close()


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
