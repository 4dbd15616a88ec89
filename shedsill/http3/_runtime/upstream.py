"""HTTP/1.1 client for the upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import aiohttp
from attrs import frozen
from yarl import URL

from shedsill.http3._answers import Header, RecordedAnswer
from shedsill.http3._outcomes import MAX_RECORDED_BODY_BYTES
from shedsill.http3._runtime.connections import make_connector
from shedsill.http3._runtime.exchange import (
    HOP_BY_HOP_HEADERS,
    Exchange,
    decode_aiohttp_text,
    encode_aiohttp_text,
)

CONNECT_TIMEOUT_SECONDS = 2.0
LOAD_TIMEOUT_SECONDS = 1.0
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"idempotency-key", "host"}


@frozen(kw_only=True)
class BufferedAnswer:
    """A complete answer; `shed` if the upstream did not run the request."""

    answer: RecordedAnswer
    shed: bool


@frozen(kw_only=True)
class RelayedAnswer:
    """The complete answer was relayed to the caller."""


@frozen(kw_only=True)
class FailedCall:
    """No complete answer; `sent` if a byte may have reached the upstream."""

    sent: bool
    reason: str


UpstreamResult = BufferedAnswer | RelayedAnswer | FailedCall


class Relay(Protocol):
    """Receiver of an answer that is not buffered."""

    def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the status and headers of the answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of the body, once there is room in the send buffer."""
        ...

    def end(self) -> None:
        """End the answer."""
        ...


class UpstreamClient:
    """Sends requests to one upstream, without retries.

    Each request has its own connection: if a pooled connection were closed, it would
    be unknown whether the request had run.

    Parameters
    ----------
    url : str
        Base URL of the upstream.
    shed_statuses : frozenset of int
        Response statuses that mean that the upstream did not run the request.
    load_path : str
        Path of the upstream's load endpoint.
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
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def fetch_load(self) -> int | None:
        """Return the number of running requests that the upstream reports, if any."""
        assert self._session is not None
        limit = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_SECONDS)
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
        self, exchange: Exchange, *, buffered: bool, make_relay: Callable[[], Relay]
    ) -> UpstreamResult:
        """Send a request and buffer or relay its answer."""
        assert self._session is not None
        body = exchange.body
        data = body.get_buffered() if body.ended else body.iterate()
        headers = [
            (encode_aiohttp_text(header.name), encode_aiohttp_text(header.value))
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
                return await self._read_response(
                    response, buffered=buffered, make_relay=make_relay
                )
        except aiohttp.ClientConnectorError as error:
            return FailedCall(sent=False, reason=str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return FailedCall(sent=True, reason=f"{type(error).__name__} {error}")

    async def _read_response(
        self,
        response: aiohttp.ClientResponse,
        *,
        buffered: bool,
        make_relay: Callable[[], Relay],
    ) -> UpstreamResult:
        headers = tuple(
            Header(
                name=decode_aiohttp_text(name.lower()), value=decode_aiohttp_text(value)
            )
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        if not _is_framed(response):
            return FailedCall(
                sent=True,
                reason="response has neither Content-Length nor chunked encoding",
            )
        parts: list[bytes] = []
        size = 0
        relay = None
        if not buffered and response.status not in self.shed_statuses:
            relay = make_relay()
            relay.start(response.status, headers)
        async for part in response.content.iter_any():
            if relay is not None:
                await relay.write(part)
                continue
            parts.append(part)
            size += len(part)
            if size > MAX_RECORDED_BODY_BYTES:
                relay = make_relay()
                relay.start(response.status, headers)
                await relay.write(b"".join(parts))
                parts.clear()
        if relay is not None:
            relay.end()
            return RelayedAnswer()
        answer = RecordedAnswer(
            status=response.status, headers=headers, body=b"".join(parts)
        )
        return BufferedAnswer(answer=answer, shed=response.status in self.shed_statuses)


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether a truncated response can be detected."""
    if response.method == "HEAD" or response.status in (204, 304):
        return True
    encoding = response.headers.get("Transfer-Encoding", "").lower()
    return "chunked" in encoding or "Content-Length" in response.headers
