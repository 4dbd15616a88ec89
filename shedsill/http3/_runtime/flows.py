"""QUIC connections of an agent, and the requests on them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
from collections.abc import Callable, Iterator

from aioquic.buffer import Buffer
from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic import events as quic_events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import (
    QuicPacketType,
    QuicProtocolVersion,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.retry import QuicRetryTokenHandler
from attrs import define, field

from shedsill._addresses import Address
from shedsill.http3._answers import Header
from shedsill.http3._effects import Deliver, RequireRetry
from shedsill.http3._keys import CONNECTION_ID_LENGTH
from shedsill.http3._packets import MIN_INITIAL_BYTES
from shedsill.http3._runtime.exchange import (
    Body,
    Exchange,
    encode_latin1,
    split_headers,
)
from shedsill.http3._runtime.quic import (
    ConnectionIdGenerator,
    RoutedConnection,
    make_refusal_packet,
    make_stateless_reset,
    send_goaway,
)

KEEPALIVE_INTERVAL_SECONDS = 20.0
MAX_UNSENT_BYTES = 262_144  # per stream
SEND_BUFFER_POLL_SECONDS = 0.01


@define(eq=False)
class Flow:
    """A QUIC connection.

    Attributes
    ----------
    reply_to : Address
        Balancer that delivered the latest datagram of the connection.
    cids : set of bytes
        Connection IDs that callers may use to address the connection.
    exchanges : dict of int to Exchange
        Unanswered requests, by stream.
    timer_at : float or None
        Time for which `timer` is set.
    """

    number: int
    quic: RoutedConnection
    reply_to: Address
    http: H3Connection | None = None
    cids: set[bytes] = field(factory=set)
    exchanges: dict[int, Exchange] = field(factory=dict)
    timer: asyncio.TimerHandle | None = None
    timer_at: float | None = None


@define(eq=False)
class FlowCallbacks:
    """Callbacks of a flow table.

    Attributes
    ----------
    send_datagram : callable
        Sends a datagram to a caller through a balancer.
    on_opened, on_closed : callable
        Called with a flow's number.
    on_request : callable
        Called with an exchange that is ready to be dispatched.
    on_cancelled : callable
        Called with an exchange, and whether its caller cancelled it rather than the
        connection ending.
    on_unknown_flow : callable
        Called with the caller, datagram and balancer of a packet that belongs to no
        flow.
    on_failed : callable
        Called with a flow's number and the exception raised while processing it.
    """

    send_datagram: Callable[[Address, bytes, Address], None]
    on_opened: Callable[[int], None]
    on_closed: Callable[[int], None]
    on_request: Callable[[Exchange], None]
    on_cancelled: Callable[[Exchange, bool], None]
    on_unknown_flow: Callable[[Address, bytes, Address], None]
    on_failed: Callable[[int, Exception], None]


class FlowTable:
    """All QUIC connections of an agent."""

    def __init__(
        self, id_generator: ConnectionIdGenerator, callbacks: FlowCallbacks
    ) -> None:
        self._id_generator = id_generator
        self._callbacks = callbacks
        self._loop = asyncio.get_running_loop()
        self._by_cid: dict[bytes, Flow] = {}
        self.flows: dict[int, Flow] = {}
        self._flow_numbers = itertools.count()
        self.exchange_numbers = itertools.count()
        self._retry = QuicRetryTokenHandler()
        self.configuration: QuicConfiguration | None = None

    def deliver_datagram(self, effect: Deliver) -> None:
        """Pass a datagram to its connection, which is opened if necessary."""
        header = pull_quic_header(
            Buffer(data=effect.datagram), host_cid_length=CONNECTION_ID_LENGTH
        )
        flow = self._by_cid.get(header.destination_cid)
        if flow is None:
            flow = self._open_flow(effect, header)
        if flow is None:
            return
        flow.reply_to = effect.reply_to
        with self._close_on_error(flow):
            flow.quic.receive_datagram(
                effect.datagram, effect.caller.pair, now=self._loop.time()
            )
            self._process_flow(flow)

    @contextlib.contextmanager
    def _close_on_error(self, flow: Flow) -> Iterator[None]:
        """Close the flow on any exception, so that the agent goes on."""
        try:
            yield
        except Exception as error:
            self._callbacks.on_failed(flow.number, error)
            self._close_flow(flow)

    def _open_flow(self, effect: Deliver, header) -> Flow | None:
        configuration = self.configuration
        if configuration is None:
            return None
        if header.packet_type != QuicPacketType.INITIAL:
            self._callbacks.on_unknown_flow(
                effect.caller, effect.datagram, effect.reply_to
            )
            return None
        if header.version not in (
            QuicProtocolVersion.VERSION_1,
            QuicProtocolVersion.VERSION_2,
        ):
            self._negotiate_version(effect, header)
            return None
        if len(effect.datagram) < MIN_INITIAL_BYTES:
            return None
        original_cid, retry_cid = header.destination_cid, None
        if header.token:
            try:
                original_cid = self._retry.validate_token(
                    address=effect.caller.pair,
                    destination_cid=header.destination_cid,
                    token=header.token,
                    now=self._loop.time(),
                )
                retry_cid = header.destination_cid
            except ValueError:
                if not effect.can_open_connection:
                    return None
        elif not effect.can_open_connection:
            return None
        return self._add_flow(effect, configuration, original_cid, retry_cid)

    def _add_flow(
        self,
        effect: Deliver,
        configuration: QuicConfiguration,
        original_cid: bytes,
        retry_cid: bytes | None,
    ) -> Flow:
        quic = RoutedConnection(
            id_generator=self._id_generator,
            configuration=configuration,
            original_destination_connection_id=original_cid,
            retry_source_connection_id=retry_cid,
        )
        flow = Flow(
            number=next(self._flow_numbers), quic=quic, reply_to=effect.reply_to
        )
        for cid in (retry_cid or original_cid, quic.host_cid):
            flow.cids.add(cid)
            self._by_cid[cid] = flow
        self.flows[flow.number] = flow
        self._callbacks.on_opened(flow.number)
        return flow

    def _negotiate_version(self, effect: Deliver, header) -> None:
        packet = encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=[
                QuicProtocolVersion.VERSION_1,
                QuicProtocolVersion.VERSION_2,
            ],
        )
        self._callbacks.send_datagram(effect.caller, packet, effect.reply_to)

    def require_retry(self, effect: RequireRetry) -> None:
        """Answer an Initial with a Retry packet whose ID routes to this agent."""
        header = pull_quic_header(
            Buffer(data=effect.datagram), host_cid_length=CONNECTION_ID_LENGTH
        )
        cid = self._id_generator.generate()
        token = self._retry.create_token(
            address=effect.caller.pair,
            original_destination_connection_id=header.destination_cid,
            retry_source_connection_id=cid,
            now=self._loop.time(),
        )
        packet = encode_quic_retry(
            version=header.version,
            source_cid=cid,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=token,
        )
        self._callbacks.send_datagram(effect.caller, packet, effect.reply_to)

    def refuse_flow(self, caller: Address, datagram: bytes, reply_to: Address) -> None:
        """Answer an Initial by refusing the connection."""
        self._callbacks.send_datagram(caller, make_refusal_packet(datagram), reply_to)

    def send_stateless_reset(
        self, caller: Address, cid: bytes, size: int, reply_to: Address
    ) -> None:
        """Answer a packet of an ended flow with a stateless reset."""
        token = self._id_generator.make_reset_token(cid)
        packet = make_stateless_reset(token, size=size, random_bytes=os.urandom)
        if packet is not None:
            self._callbacks.send_datagram(caller, packet, reply_to)

    def move_reply_path(self, old: Address, new: Address) -> None:
        """Send replies through another balancer, starting with a ping."""
        for flow in list(self.flows.values()):
            if flow.reply_to == old:
                flow.reply_to = new
                flow.quic.send_ping(0)
                self.transmit_flow(flow)

    def announce_drain(self) -> None:
        """Send GOAWAY on every connection."""
        for flow in list(self.flows.values()):
            if flow.http is not None and not flow.quic.is_ended():
                send_goaway(flow.http, flow.quic)
                self.transmit_flow(flow)

    def send_keepalives(self) -> None:
        """Ping callers with open requests, so that idle streams are not timed out."""
        for flow in list(self.flows.values()):
            if flow.exchanges and not flow.quic.is_ended():
                flow.quic.send_ping(0)
                self.transmit_flow(flow)

    def _process_flow(self, flow: Flow) -> None:
        while (event := flow.quic.next_event()) is not None:
            self._handle_quic_event(flow, event)
        self.transmit_flow(flow)

    def _handle_quic_event(self, flow: Flow, event: quic_events.QuicEvent) -> None:
        match event:
            case quic_events.ProtocolNegotiated():
                flow.http = H3Connection(flow.quic)
            case quic_events.ConnectionIdIssued(connection_id=cid):
                flow.cids.add(cid)
                self._by_cid[cid] = flow
            case quic_events.ConnectionIdRetired(connection_id=cid):
                flow.cids.discard(cid)
                self._by_cid.pop(cid, None)
            case quic_events.ConnectionTerminated():
                self._close_flow(flow)
                return
            case quic_events.StreamReset(stream_id=stream_id):
                self._cancel_exchange(flow, stream_id)
            case quic_events.StopSendingReceived(stream_id=stream_id):
                self._cancel_exchange(flow, stream_id)
        if flow.http is not None:
            for http_event in flow.http.handle_event(event):
                self._handle_http_event(flow, http_event)

    def _handle_http_event(self, flow: Flow, event: H3Event) -> None:
        match event:
            case HeadersReceived(stream_id=stream_id) if (
                stream_id not in flow.exchanges
            ):
                self._open_exchange(flow, event)
            case HeadersReceived(stream_id=stream_id, stream_ended=ended):
                self._receive_body(flow, stream_id, b"", ended)
            case DataReceived(stream_id=stream_id, data=data, stream_ended=ended):
                self._receive_body(flow, stream_id, data, ended)

    def _open_exchange(self, flow: Flow, event: HeadersReceived) -> None:
        pseudo, headers = split_headers(event.headers)
        stream_id = event.stream_id
        exchange = Exchange(
            number=next(self.exchange_numbers),
            flow=flow.number,
            stream=stream_id,
            method=pseudo.get(":method", "GET"),
            path=pseudo.get(":path", "/"),
            authority=pseudo.get(":authority", ""),
            headers=headers,
        )
        exchange.body = Body(on_read=lambda: self._extend_window(flow, exchange))
        flow.exchanges[stream_id] = exchange
        flow.quic.unread_bytes[stream_id] = 0
        self._receive_body(flow, stream_id, b"", event.stream_ended)

    def _receive_body(
        self, flow: Flow, stream_id: int, data: bytes, ended: bool
    ) -> None:
        exchange = flow.exchanges.get(stream_id)
        if exchange is None:
            return
        exchange.body.append(data, ended=ended)
        if stream_id in flow.quic.unread_bytes:
            flow.quic.unread_bytes[stream_id] = exchange.body.buffered_bytes
        if not exchange.dispatched and exchange.can_be_dispatched():
            exchange.dispatched = True
            self._callbacks.on_request(exchange)

    def _extend_window(self, flow: Flow, exchange: Exchange) -> None:
        if exchange.stream in flow.quic.unread_bytes:
            flow.quic.unread_bytes[exchange.stream] = exchange.body.buffered_bytes
            self.transmit_flow(flow)

    def _cancel_exchange(self, flow: Flow, stream_id: int) -> None:
        exchange = flow.exchanges.get(stream_id)
        if exchange is None:
            return
        exchange.body.abort()
        self._callbacks.on_cancelled(exchange, True)
        self.drop_exchange(exchange)

    def _close_flow(self, flow: Flow) -> None:
        if self.flows.pop(flow.number, None) is None:
            return
        for cid in flow.cids:
            self._by_cid.pop(cid, None)
        if flow.timer is not None:
            flow.timer.cancel()
        for exchange in list(flow.exchanges.values()):
            exchange.body.abort()
            self._callbacks.on_cancelled(exchange, False)
        flow.exchanges.clear()
        self._callbacks.on_closed(flow.number)

    def transmit_flow(self, flow: Flow) -> None:
        """Send a connection's pending datagrams and set its timer."""
        now = self._loop.time()
        for data, address in flow.quic.datagrams_to_send(now=now):
            caller = Address(address[0], address[1])
            self._callbacks.send_datagram(caller, data, flow.reply_to)
        if flow.number not in self.flows:
            return
        timer_at = flow.quic.get_timer()
        if timer_at == flow.timer_at:
            return
        if flow.timer is not None:
            flow.timer.cancel()
        flow.timer = None
        flow.timer_at = timer_at
        if timer_at is not None:
            flow.timer = self._loop.call_at(timer_at, self._handle_timer, flow)

    def _handle_timer(self, flow: Flow) -> None:
        flow.timer = None
        flow.timer_at = None
        with self._close_on_error(flow):
            flow.quic.handle_timer(now=self._loop.time())
            self._process_flow(flow)

    def send_head(
        self,
        exchange: Exchange,
        status: int,
        headers: tuple[Header, ...],
        *,
        ended: bool = False,
    ) -> None:
        """Send the status and headers of an answer."""
        flow = self._find_open_flow(exchange)
        if flow is None or flow.http is None:
            return
        pairs = [(b":status", str(status).encode())]
        pairs += [
            (encode_latin1(header.name), encode_latin1(header.value))
            for header in headers
        ]
        with self._close_on_error(flow):
            flow.http.send_headers(exchange.stream, pairs, end_stream=ended)
            self.transmit_flow(flow)

    def send_body(self, exchange: Exchange, data: bytes, *, ended: bool) -> None:
        """Send a part of an answer's body."""
        flow = self._find_open_flow(exchange)
        if flow is None or flow.http is None:
            return
        with self._close_on_error(flow):
            flow.http.send_data(exchange.stream, data, end_stream=ended)
            self.transmit_flow(flow)

    async def wait_for_send_buffer(self, exchange: Exchange) -> None:
        """Wait until a stream's send buffer is below its limit."""
        while (flow := self._find_open_flow(exchange)) is not None:
            if flow.quic.count_unsent_bytes(exchange.stream) < MAX_UNSENT_BYTES:
                return
            await asyncio.sleep(SEND_BUFFER_POLL_SECONDS)
        raise ConnectionResetError("the caller's connection has ended")

    def reset_stream(self, exchange: Exchange) -> None:
        """Reset a stream whose answer cannot be completed."""
        flow = self._find_open_flow(exchange)
        if flow is None:
            return
        with self._close_on_error(flow):
            flow.quic.reset_stream(exchange.stream, ErrorCode.H3_INTERNAL_ERROR)
            self.transmit_flow(flow)
        self.drop_exchange(exchange)

    def drop_exchange(self, exchange: Exchange) -> None:
        """Remove a completed exchange."""
        flow = self.flows.get(exchange.flow)
        if flow is not None:
            flow.exchanges.pop(exchange.stream, None)
            flow.quic.unread_bytes.pop(exchange.stream, None)

    def _find_open_flow(self, exchange: Exchange) -> Flow | None:
        flow = self.flows.get(exchange.flow)
        if flow is None or flow.quic.is_ended():
            return None
        return flow

    def close_all(self) -> None:
        """Close every connection."""
        for flow in list(self.flows.values()):
            flow.quic.close()
            self.transmit_flow(flow)
