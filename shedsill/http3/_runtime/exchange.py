"""One request between its arrival and its final answer, as the runtime sees it."""

from __future__ import annotations

import asyncio
import hashlib
from collections import deque
from collections.abc import AsyncIterator, Callable

from attrs import define, field

from shedsill.http3._answers import Header

MAX_BUFFERED_BODY_BYTES = 262_144
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


@define(eq=False)
class Body:
    """A request body on its way to the upstream, bounded by flow control.

    Attributes
    ----------
    on_read : callable
        Called when the reader has taken a part, so that the window can move.
    """

    on_read: Callable[[], None] = field(default=lambda: None)
    buffered_bytes: int = 0
    ended: bool = False
    aborted: bool = False
    _parts: deque[bytes] = field(factory=deque)
    _more: asyncio.Event = field(factory=asyncio.Event)

    def append(self, data: bytes, *, ended: bool) -> None:
        """Take in a part."""
        if data:
            self._parts.append(data)
            self.buffered_bytes += len(data)
        self.ended = self.ended or ended
        self._more.set()

    def abort(self) -> None:
        """Note that the rest will not come."""
        self.aborted = True
        self._more.set()

    def get_buffered(self) -> bytes:
        """Return what is held, without taking it."""
        return b"".join(self._parts)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield parts as they come; ends with the body, or raises if cut."""
        while True:
            while self._parts:
                part = self._parts.popleft()
                self.buffered_bytes -= len(part)
                self.on_read()
                yield part
            if self.aborted:
                raise ConnectionResetError("the caller's body was cut")
            if self.ended:
                return
            self._more.clear()
            await self._more.wait()


@define(eq=False)
class Exchange:
    """A request and what the runtime keeps for it.

    Attributes
    ----------
    number : int
        As in `shedsill.http3._events.RequestArrived`.
    flow, stream : int
        Where it came from; -1 where another agent passed it on.
    dispatched : bool
        Whether the reducer knows of it.
    reply_future : asyncio.Future or None
        Where a passed request's answer goes.
    """

    number: int
    flow: int
    stream: int
    method: str
    path: str
    authority: str
    headers: tuple[Header, ...]
    body: Body = field(factory=Body)
    dispatched: bool = False
    reply_future: asyncio.Future | None = None
    task: asyncio.Task | None = None

    @property
    def idempotency_key(self) -> str:
        """Text of ``Idempotency-Key``; a structured string loses its quotes."""
        for header in self.headers:
            if header.name == "idempotency-key":
                return header.value.strip().strip('"')
        return ""

    def can_be_dispatched(self) -> bool:
        """Whether the body is whole, or longer than what is held back."""
        return self.body.ended or self.body.buffered_bytes >= MAX_BUFFERED_BODY_BYTES

    def make_fingerprint(self) -> bytes:
        """Return a digest of method, path and body."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (
            self.method.encode(),
            self.path.encode(),
            self.body.get_buffered(),
        ):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()


def split_headers(
    pairs: list[tuple[bytes, bytes]],
) -> tuple[dict[str, str], tuple[Header, ...]]:
    """Split an HTTP/3 header list into pseudo-headers and fields."""
    pseudo: dict[str, str] = {}
    fields: list[Header] = []
    for raw_name, raw_value in pairs:
        name = raw_name.decode("latin-1")
        value = raw_value.decode("latin-1")
        if name.startswith(":"):
            pseudo[name] = value
        elif name not in HOP_BY_HOP_HEADERS:
            fields.append(Header(name=name, value=value))
    return pseudo, tuple(fields)


def encode_latin1(text: str) -> bytes:
    """Encode a header's name or value, held as one character an octet."""
    return text.encode("latin-1")


def decode_aiohttp_text(text: str) -> str:
    """Turn text that aiohttp has read into one character an octet."""
    return text.encode("utf-8", "surrogateescape").decode("latin-1")


def encode_aiohttp_text(text: str) -> str:
    """Turn one character an octet into text that aiohttp can write."""
    return encode_latin1(text).decode("utf-8", "replace")
