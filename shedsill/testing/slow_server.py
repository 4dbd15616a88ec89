"""HTTP server that sends its responses in parts, with pauses between them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["serve_slow_response"]


@asynccontextmanager
async def serve_slow_response(
    parts: list[bytes],
    *,
    pause: float,
    sent_count: int | None = None,
    extra_headers: str = "",
) -> AsyncIterator[int]:
    """Serve one slow response per connection; yield the port.

    Parameters
    ----------
    pause : float
        Seconds before each part.
    sent_count : int or None
        Number of parts to send; None for all.  ``Content-Length`` counts all.
    extra_headers : str
        Further header lines, each with its line ending.
    """

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        length = sum(map(len, parts))
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{extra_headers}\r\n"
            ).encode()
        )
        for part in parts[:sent_count]:
            await asyncio.sleep(pause)
            writer.write(part)
            await writer.drain()
        await finished.wait()
        writer.close()

    finished = asyncio.Event()
    server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        finished.set()
        server.close()
