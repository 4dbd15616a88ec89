"""Requests in progress, and the conversion of their headers and bodies."""

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
    """A request body that is being received; flow control bounds its size.

    Attributes
    ----------
    on_read : callable
        Called when a part has been read, so that the flow control window can move.
    ended, aborted : bool
        Whether the whole body has arrived, and whether the rest will never arrive.
    """

    on_read: Callable[[], None] = field(default=lambda: None)
    buffered_bytes: int = 0
    ended: bool = False
    aborted: bool = False
    _parts: deque[bytes] = field(factory=deque)
    _more: asyncio.Event = field(factory=asyncio.Event)

    def append(self, data: bytes, *, ended: bool) -> None:
        """Append a received part."""
        if data:
            self._parts.append(data)
            self.buffered_bytes += len(data)
        self.ended = self.ended or ended
        self._more.set()

    def abort(self) -> None:
        """Mark the body as incomplete: its rest is never received."""
        self.aborted = True
        self._more.set()

    def get_buffered(self) -> bytes:
        """Return the buffered bytes, without removing them."""
        return b"".join(self._parts)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield parts as they arrive; raises ConnectionResetError if aborted."""
        while True:
            while self._parts:
                part = self._parts.popleft()
                self.buffered_bytes -= len(part)
                self.on_read()
                yield part
            if self.aborted:
                raise ConnectionResetError("the request body is incomplete")
            if self.ended:
                return
            self._more.clear()
            await self._more.wait()


@define(eq=False)
class Exchange:
    """A request and its runtime state.

    Attributes
    ----------
    number : int
        As in `shedsill.http3._events.RequestArrived`.
    flow, stream : int
        Origin of the request; -1 if another agent forwarded it.
    dispatched : bool
        Whether the request has been dispatched to the reducer.
    reply_future : asyncio.Future or None
        Receives the answer to a request that another agent forwarded.
    task : asyncio.Task or None
        Sends the request to the upstream or to another agent.
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
        """Value of ``Idempotency-Key``, without the quotes of a structured string."""
        for header in self.headers:
            if header.name == "idempotency-key":
                return header.value.strip().strip('"')
        return ""

    def can_be_dispatched(self) -> bool:
        """Whether the body is complete or exceeds the buffer limit."""
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
    """Split an HTTP/3 header list into pseudo-headers and other fields."""
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
    """Encode a header name or value that was decoded as Latin-1."""
    return text.encode("latin-1")


def decode_aiohttp_text(text: str) -> str:
    """Convert header text from aiohttp into text decoded as Latin-1."""
    return text.encode("utf-8", "surrogateescape").decode("latin-1")


def encode_aiohttp_text(text: str) -> str:
    """Convert text decoded as Latin-1 into header text for aiohttp."""
    return encode_latin1(text).decode("utf-8", "replace")
