"""HTTP/3 client based on aioquic, for tests and the quickstart."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections import deque
from collections.abc import AsyncIterator

from aioquic.asyncio.client import connect
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated, QuicEvent, StreamReset
from attrs import define, field

from shedsill._addresses import Address


@define
class Response:
    """A response, updated as its parts arrive.

    Attributes
    ----------
    is_complete : bool
        Whether the end of the response arrived.
    is_interrupted : bool
        Whether the stream was reset or the connection ended before its end.
    """

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    is_complete: bool = False
    is_interrupted: bool = False
    lines: deque[bytes] = field(factory=deque)
    changed: asyncio.Event = field(factory=asyncio.Event)

    @property
    def ticket(self) -> str:
        """Ticket to send as the idempotency key of a later request."""
        return self.headers.get("shedsill-ticket", "")

    @property
    def outcome(self) -> str:
        """Outcome that the agent reports for the request."""
        return self.headers.get("shedsill-outcome", "")


class HttpClient(QuicConnectionProtocol):
    """Client side of one HTTP/3 connection."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.http = H3Connection(self._quic)
        self.responses: dict[int, Response] = {}

    def quic_event_received(self, event: QuicEvent) -> None:
        """Update the responses that an event concerns."""
        if isinstance(event, ConnectionTerminated):
            for response in self.responses.values():
                response.is_interrupted = not response.is_complete
                response.changed.set()
        if isinstance(event, StreamReset) and event.stream_id in self.responses:
            self.responses[event.stream_id].is_interrupted = True
            self.responses[event.stream_id].changed.set()
        for http_event in self.http.handle_event(event):
            self._handle_http_event(http_event)

    def _handle_http_event(self, event: H3Event) -> None:
        response = self.responses.get(getattr(event, "stream_id", -1))
        if response is None:
            return
        match event:
            case HeadersReceived(headers=headers, stream_ended=ended):
                for name, value in headers:
                    response.headers[name.decode()] = value.decode()
                response.status = int(response.headers.get(":status", "0"))
                response.is_complete = ended
            case DataReceived(data=data, stream_ended=ended):
                response.body += data
                response.is_complete = ended
        response.changed.set()

    def send_request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        end_stream: bool = True,
    ) -> tuple[int, Response]:
        """Send a request; return its stream id and its response."""
        stream_id = self._quic.get_next_available_stream_id()
        response = self.responses[stream_id] = Response()
        header_fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"service.example"),
            (b":path", path.encode()),
        ]
        for name, value in (headers or {}).items():
            header_fields.append((name.encode(), value.encode()))
        self.http.send_headers(
            stream_id, header_fields, end_stream=end_stream and not body
        )
        if body:
            self.http.send_data(stream_id, body, end_stream=end_stream)
        self.transmit()
        return stream_id, response

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 20.0,
    ) -> Response:
        """Send a request and wait until its response is complete or interrupted."""
        _stream, response = self.send_request(method, path, body=body, headers=headers)
        async with asyncio.timeout(timeout):
            while not (response.is_complete or response.is_interrupted):
                response.changed.clear()
                await response.changed.wait()
        return response

    def cancel(self, stream_id: int) -> None:
        """Reset the stream of a request."""
        with contextlib.suppress(Exception):
            self._quic.reset_stream(stream_id, 0x10C)
        self._quic.stop_stream(stream_id, 0x10C)
        self.transmit()


async def wait_for_body(
    response: Response, min_bytes: int, timeout: float = 20.0
) -> None:
    """Wait until a body has at least this many bytes or the response has ended."""
    async with asyncio.timeout(timeout):
        while len(response.body) < min_bytes and not (
            response.is_complete or response.is_interrupted
        ):
            response.changed.clear()
            await response.changed.wait()


@contextlib.asynccontextmanager
async def open_client(
    address: Address, *, idle_timeout: float = 60.0
) -> AsyncIterator[HttpClient]:
    """Connect to a service address without checking its certificate."""
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        verify_mode=ssl.CERT_NONE,
        server_name="service.example",
        idle_timeout=idle_timeout,
    )
    async with connect(
        address.host,
        address.port,
        configuration=configuration,
        create_protocol=HttpClient,
    ) as client:
        yield client  # type: ignore[misc]
