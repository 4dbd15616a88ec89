"""Calls to the upstream over HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import aiohttp
from attrs import frozen
from yarl import URL

from shedsill.http3._answers import Header, RecordedAnswer
from shedsill.http3._outcomes import MAX_RECORDED_BODY
from shedsill.http3._runtime.connections import make_connector
from shedsill.http3._runtime.exchange import (
    HOP_BY_HOP,
    Exchange,
    read_octets,
    write_octets,
)

CONNECT_TIMEOUT = 2.0
LOAD_TIMEOUT = 1.0
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
DROPPED_HEADERS = HOP_BY_HOP | {"idempotency-key", "host"}


@frozen(kw_only=True)
class Whole:
    """The whole answer, held back until it was complete; `shed` if not run."""

    answer: RecordedAnswer
    shed: bool


@frozen(kw_only=True)
class Relayed:
    """The whole answer went to the caller as it came."""


@frozen(kw_only=True)
class Failed:
    """No whole answer came; `sent` if a byte may have reached the upstream."""

    sent: bool
    reason: str


UpstreamResult = Whole | Relayed | Failed


class Relay(Protocol):
    """Where an answer goes that is not held back."""

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of the answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part; waits while the caller is slower than the upstream."""
        ...

    def end(self) -> None:
        """Send the end of the answer."""
        ...


class UpstreamClient:
    """Sends requests to one upstream; never retries by itself.

    Each request has a connection of its own.  A pooled connection that the
    upstream closed just then could not be told from a request that ran.

    Parameters
    ----------
    url : str
        Root of the upstream, without a slash at the end.
    shed_statuses : frozenset of int
        Statuses by which the upstream says that it did not run a request.
    """

    def __init__(
        self, url: str, *, shed_statuses: frozenset[int], load_path: str
    ) -> None:
        self.url = url.rstrip("/")
        self.shed_statuses = shed_statuses
        self.load_path = load_path
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        connector = make_connector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read_load(self) -> int | None:
        """Return how many requests the upstream says it works on."""
        assert self._session is not None
        limit = aiohttp.ClientTimeout(total=LOAD_TIMEOUT)
        try:
            async with self._session.get(
                self.url + self.load_path, timeout=limit
            ) as response:
                return int((await response.json())["busy"])
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None
        except (ValueError, KeyError, TypeError):
            return None

    async def send(
        self, exchange: Exchange, *, hold: bool, make_relay: Callable[[], Relay]
    ) -> UpstreamResult:
        """Send a request and collect or relay its answer."""
        assert self._session is not None
        body = exchange.body
        data = body.read_all() if body.ended else body.iterate()
        headers = [
            (write_octets(header.name), write_octets(header.value))
            for header in exchange.headers
            if header.name not in DROPPED_HEADERS
        ]
        if exchange.authority:
            headers.append(("Host", exchange.authority))
        try:
            async with self._session.request(
                exchange.method,
                URL(self.url + exchange.path, encoded=True),
                headers=headers,
                data=data or None,
                allow_redirects=False,
            ) as response:
                return await self._read(response, hold=hold, make_relay=make_relay)
        except aiohttp.ClientConnectorError as error:
            return Failed(sent=False, reason=str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failed(sent=True, reason=f"{type(error).__name__} {error}")

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        *,
        hold: bool,
        make_relay: Callable[[], Relay],
    ) -> UpstreamResult:
        headers = tuple(
            Header(name=read_octets(name.lower()), value=read_octets(value))
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP
        )
        if not _is_framed(response):
            return Failed(sent=True, reason="the answer's end cannot be told")
        parts: list[bytes] = []
        size = 0
        relay = None
        if not hold and response.status not in self.shed_statuses:
            relay = make_relay()
            relay.begin(response.status, headers)
        async for part in response.content.iter_any():
            if relay is not None:
                await relay.write(part)
                continue
            parts.append(part)
            size += len(part)
            if size > MAX_RECORDED_BODY:
                relay = make_relay()
                relay.begin(response.status, headers)
                await relay.write(b"".join(parts))
                parts.clear()
        if relay is not None:
            relay.end()
            return Relayed()
        answer = RecordedAnswer(
            status=response.status, headers=headers, body=b"".join(parts)
        )
        return Whole(answer=answer, shed=response.status in self.shed_statuses)


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether a cut answer could be told from a whole one."""
    if response.method == "HEAD" or response.status in (204, 304):
        return True
    encoding = response.headers.get("Transfer-Encoding", "").lower()
    return "chunked" in encoding or "Content-Length" in response.headers
