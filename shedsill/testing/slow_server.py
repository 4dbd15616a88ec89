"""An HTTP server whose answers come in parts with pauses between them."""

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
    """Answer each connection's one call with some parts; yield the port.

    Parameters
    ----------
    pause : float
        Seconds before each part.
    sent_count : int or None
        How many of the parts that the head announces are sent; None for all.
    extra_headers : str
        Further lines of the answer's head, each with its line end.
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
