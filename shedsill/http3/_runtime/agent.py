"""The agent's service: QUIC connections and upstream requests around the reducer."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import mode
from aiohttp import web
from attrs import evolve, frozen
from prometheus_client import Gauge

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill.coordination.platform import Platform
from shedsill.errors import DecodeError
from shedsill.http3._admission import Admission, AdmissionSettings
from shedsill.http3._agent_state import AgentSettings, AgentState, get_load
from shedsill.http3._answers import Header, RecordedAnswer, RequestOutcome
from shedsill.http3._effects import (
    AbortUpstreamRequest,
    AnnounceDrain,
    ApplyConfiguration,
    DeclineForwardedRequest,
    Deliver,
    Effect,
    ForwardRequest,
    MoveReplyPath,
    RefuseFlow,
    RefuseRequest,
    RequireRetry,
    ResetAnswerStream,
    ResetFlow,
    SendAnswer,
    SendHandover,
    SendUpstreamRequest,
    WriteLog,
)
from shedsill.http3._events import (
    FlowClosed,
    FlowOpened,
    HandoverDone,
    HandoverReceived,
    PeerAnswered,
    PeerFailed,
    RequestArrived,
    RequestCancelled,
    UpstreamAnswered,
    UpstreamAnswerStarted,
    UpstreamFailed,
    UpstreamLoadRead,
)
from shedsill.http3._frames import ToCaller, encode_frame
from shedsill.http3._keys import KeyRing, Route
from shedsill.http3._node import Node
from shedsill.http3._packets import read_packet_header
from shedsill.http3._peers import (
    Handover,
    PeerRequest,
    decode_handover,
    decode_peer_request,
    encode_peer_answer,
)
from shedsill.http3._placement import Policy
from shedsill.http3._runtime.certificates import CertificateLoader
from shedsill.http3._runtime.control import ControlServer
from shedsill.http3._runtime.driver import Driver
from shedsill.http3._runtime.exchange import Body, Exchange
from shedsill.http3._runtime.flows import (
    KEEPALIVE_INTERVAL_SECONDS,
    FlowCallbacks,
    FlowTable,
)
from shedsill.http3._runtime.log import EventLog
from shedsill.http3._runtime.peers import (
    HTTP_GONE,
    PEER_HANDOVER_PATH,
    PEER_REQUEST_PATH,
    PeerClient,
)
from shedsill.http3._runtime.quic import ConnectionIdGenerator, make_quic_configuration
from shedsill.http3._runtime.upstream import (
    BufferedAnswer,
    FailedCall,
    RelayedAnswer,
    UpstreamClient,
)

LOAD_POLL_SECONDS = 0.2
NONCE_BYTES = 6
HTTP_FORBIDDEN = 403
OUTCOME_HEADER = "shedsill-outcome"
TICKET_HEADER = "shedsill-ticket"
REASON_HEADER = "shedsill-reason"


@frozen(kw_only=True)
class AgentOptions:
    """Options of an agent, from its settings."""

    name: str
    upstream: str
    service: str
    address: Address
    incarnation: int
    seed_addresses: tuple[Address, ...] = ()
    zone: str = ""
    settings: AgentSettings
    admission: AdmissionSettings
    policy: Policy


def make_agent_state(options: AgentOptions, keys: KeyRing) -> AgentState:
    """Return the initial state of an agent."""
    node = Node(
        name=options.name,
        address=options.address,
        balancer=False,
        incarnation=options.incarnation,
        seed_addresses=options.seed_addresses,
    )
    return AgentState(
        node=node,
        keys=keys,
        upstream_name=options.upstream,
        service_name=options.service,
        settings=options.settings,
        policy=options.policy,
        admission=Admission(settings=options.admission),
    )


class _StreamRelay:
    """Relays an upstream's answer to the caller while it is received."""

    def __init__(self, agent: Agent, exchange: Exchange, ticket: str) -> None:
        self._agent = agent
        self._exchange = exchange
        self._ticket = ticket

    def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the status and headers."""
        agent = self._agent
        agent.dispatch(
            UpstreamAnswerStarted(request=self._exchange.number, now=agent.now)
        )
        extra = make_outcome_headers(RequestOutcome.DONE, self._ticket)
        agent.flow_table.send_head(self._exchange, status, (*headers, *extra))

    async def write(self, data: bytes) -> None:
        """Send a part of the body, once there is room in the send buffer."""
        await self._agent.flow_table.wait_for_send_buffer(self._exchange)
        self._agent.flow_table.send_body(self._exchange, data, ended=False)

    def end(self) -> None:
        """End the answer."""
        self._agent.flow_table.send_body(self._exchange, b"", ended=True)


def make_outcome_headers(
    outcome: RequestOutcome, ticket: str, *, reason: str = "", retry_after: int = 0
) -> tuple[Header, ...]:
    """Return the header fields that are added to every answer."""
    headers = [Header(name=OUTCOME_HEADER, value=outcome.value)]
    if ticket:
        headers.append(Header(name=TICKET_HEADER, value=ticket))
    if reason:
        headers.append(Header(name=REASON_HEADER, value=reason))
    if retry_after:
        headers.append(Header(name="retry-after", value=str(retry_after)))
    return tuple(headers)


class Agent(Driver[AgentState]):
    """The service of an agent process."""

    def __init__(
        self,
        options: AgentOptions,
        *,
        keys: KeyRing,
        platform: Platform,
        event_log: EventLog,
        upstream: UpstreamClient,
        certificates: CertificateLoader,
    ) -> None:
        state = make_agent_state(options, keys)
        super().__init__(state, keys=keys, platform=platform, event_log=event_log)
        self._upstream = upstream
        self._zone = options.zone
        self._certificates = certificates
        self._exchanges: dict[int, Exchange] = {}
        self.flow_table: FlowTable = None  # type: ignore[assignment]
        self._add_gauges()
        self.control = self.add_dependency(
            ControlServer(
                options.address,
                keys=keys,
                registry=event_log.registry,
                get_configuration=lambda: self.node_state.node.configuration,
                get_status=self.get_status,
                routes=(
                    (PEER_REQUEST_PATH, self._answer_peer_request),
                    (PEER_HANDOVER_PATH, self._answer_handover),
                ),
            )
        )

    def _add_gauges(self) -> None:
        registry = self.event_log.registry
        readings = {
            "shedsill_flows": ("Open flows", lambda: self.node_state.flow_count),
            "shedsill_running": (
                "Requests in slots",
                lambda: self.node_state.admission.running,
            ),
            "shedsill_queued": (
                "Requests waiting",
                lambda: len(self.node_state.admission.queue),
            ),
            "shedsill_streams": (
                "Streams open",
                lambda: self.node_state.admission.streams,
            ),
            "shedsill_records": (
                "Outcomes recorded",
                lambda: self.node_state.outcomes.record_count,
            ),
        }
        for name, (text, read) in readings.items():
            Gauge(name, text, registry=registry).set_function(read)

    def get_status(self) -> dict[str, Any]:
        """Return the content of ``/status``."""
        state = self.node_state
        generation = state.node.configuration.generation
        slots_held = self.now < state.admission.slots_available_at
        return {
            "name": state.node.name,
            "role": "agent",
            "zone": self._zone,
            "service": state.service_name,
            "upstream": state.upstream_name,
            "generation": generation,
            "ready": state.upstream != 0 and state.drain is None and not slots_held,
            "leaving": state.drain is not None,
            "drained": state.drain is not None and state.drain.drained,
            "flows": state.flow_count,
            "running": state.admission.running,
            "queued": len(state.admission.queue),
            "streams": state.admission.streams,
        }

    async def on_start(self) -> None:
        """Start QUIC and the upstream client."""
        id_generator = ConnectionIdGenerator(
            generate=self._generate_id, make_reset_token=self.keys.make_reset_token
        )
        callbacks = FlowCallbacks(
            send_datagram=self._send_to_caller,
            on_opened=lambda flow: self.dispatch(FlowOpened(flow=flow, now=self.now)),
            on_closed=lambda flow: self.dispatch(FlowClosed(flow=flow, now=self.now)),
            on_request=self._dispatch_request,
            on_cancelled=self._cancel_request,
            on_unknown_flow=self._reset_unknown_flow,
            on_failed=self._log_flow_failure,
        )
        self.flow_table = FlowTable(id_generator, callbacks)
        await self._upstream.start()
        await self._load_certificate()
        await super().on_start()

    async def on_stop(self) -> None:
        """Close connections and the upstream client."""
        self.flow_table.close_all()
        await super().on_stop()
        await self._upstream.close()

    async def _load_certificate(self) -> None:
        log, loaded = await self._certificates.load(self.platform)
        if loaded is not None:
            configuration = make_quic_configuration()
            configuration.certificate = loaded.certificate
            configuration.certificate_chain = list(loaded.chain)
            configuration.private_key = loaded.private_key
            self.flow_table.configuration = configuration
        if log is not None:
            self.write_log(log)

    @mode.Service.task
    async def _refresh_certificate(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._certificates.get_refresh_delay())
            await self._load_certificate()

    @mode.Service.task
    async def _poll_upstream_load(self) -> None:
        while not self.should_stop:
            if self.now < self.node_state.admission.slots_available_at:
                busy = await self._upstream.fetch_load()
                if busy is not None:
                    self.dispatch(UpstreamLoadRead(busy=busy, now=self.now))
            await asyncio.sleep(LOAD_POLL_SECONDS)

    @mode.Service.task
    async def _keep_alive(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(KEEPALIVE_INTERVAL_SECONDS)
            self.flow_table.send_keepalives()

    def _generate_id(self) -> bytes:
        state = self.node_state
        route = Route(state.upstream, state.service, state.incarnation)
        epoch = state.node.configuration.key_epoch
        return self.keys.make_connection_id(
            route, epoch=epoch, nonce=os.urandom(NONCE_BYTES)
        )

    def _send_to_caller(
        self, caller: Address, datagram: bytes, balancer: Address
    ) -> None:
        state = self.node_state
        frame = ToCaller(
            generation=state.node.configuration.generation,
            service=state.service,
            upstream=state.upstream,
            caller=caller,
            load=get_load(state),
            datagram=datagram,
        )
        self.send_envelope(balancer, encode_frame(self.keys, frame))

    def _reset_unknown_flow(
        self, caller: Address, datagram: bytes, balancer: Address
    ) -> None:
        packet = read_packet_header(datagram)
        if packet is not None:
            self.flow_table.send_stateless_reset(
                caller, packet.cid, len(datagram), balancer
            )

    def _log_flow_failure(self, flow: int, error: Exception) -> None:
        fields = {"flow": flow, "error": f"{type(error).__name__}: {error}"}
        self.write_log(WriteLog(event=LogEvent.FLOW_FAILED, fields=fields))

    def execute(self, effect: Effect) -> None:
        """Execute an effect."""
        match effect:
            case Deliver():
                self.flow_table.deliver_datagram(effect)
            case RefuseFlow(caller=caller, datagram=datagram, reply_to=reply_to):
                self.flow_table.refuse_flow(caller, datagram, reply_to)
            case RequireRetry():
                self.flow_table.require_retry(effect)
            case ResetFlow(caller=caller, cid=cid, size=size, reply_to=reply_to):
                self.flow_table.send_stateless_reset(caller, cid, size, reply_to)
            case MoveReplyPath(old=old, new=new):
                self.flow_table.move_reply_path(old, new)
            case AnnounceDrain():
                self.flow_table.announce_drain()
            case SendHandover():
                self.start_task(self._send_handover(effect))
            case ApplyConfiguration():
                pass
            case _:
                self._execute_for_request(effect)

    def _execute_for_request(self, effect: Effect) -> None:
        number = getattr(effect, "request", None)
        if number is None:
            super().execute(effect)
            return
        exchange = self._exchanges.get(number)
        if exchange is None:
            return
        match effect:
            case SendUpstreamRequest():
                exchange.task = self.start_task(
                    self._send_upstream_request(exchange, effect)
                )
            case AbortUpstreamRequest():
                if exchange.task is not None:
                    exchange.task.cancel()
            case SendAnswer(answer=answer, ticket=ticket, outcome=outcome):
                headers = make_outcome_headers(outcome, ticket)
                self._send_answer(exchange, answer, headers)
            case RefuseRequest():
                self._refuse_request(exchange, effect)
            case ResetAnswerStream():
                self.flow_table.reset_stream(exchange)
                self._drop_exchange(exchange)
            case ForwardRequest():
                exchange.task = self.start_task(self._forward_request(exchange, effect))
            case DeclineForwardedRequest():
                if (
                    exchange.reply_future is not None
                    and not exchange.reply_future.done()
                ):
                    exchange.reply_future.set_result(None)
                self._drop_exchange(exchange)

    def _refuse_request(self, exchange: Exchange, effect: RefuseRequest) -> None:
        answer = RecordedAnswer(
            status=effect.status,
            headers=(Header(name="content-type", value="text/plain"),),
            body=f"{effect.outcome.value}: {effect.reason}\n".encode(),
        )
        headers = make_outcome_headers(
            effect.outcome,
            effect.ticket,
            reason=effect.reason,
            retry_after=effect.retry_after,
        )
        self._send_answer(exchange, answer, headers)

    def _send_answer(
        self, exchange: Exchange, answer: RecordedAnswer, extra: tuple[Header, ...]
    ) -> None:
        """Send a complete answer; the extra fields replace those of the same name."""
        extra_names = {header.name for header in extra}
        kept = tuple(
            header for header in answer.headers if header.name not in extra_names
        )
        if exchange.reply_future is not None:
            if not exchange.reply_future.done():
                exchange.reply_future.set_result(
                    evolve(answer, headers=(*kept, *extra))
                )
        else:
            empty = not answer.body
            self.flow_table.send_head(
                exchange, answer.status, (*kept, *extra), ended=empty
            )
            if not empty:
                self.flow_table.send_body(exchange, answer.body, ended=True)
            self.flow_table.drop_exchange(exchange)
        self._drop_exchange(exchange)

    def _drop_exchange(self, exchange: Exchange) -> None:
        self._exchanges.pop(exchange.number, None)

    def _dispatch_request(self, exchange: Exchange) -> None:
        self._exchanges[exchange.number] = exchange
        self.dispatch(
            RequestArrived(
                request=exchange.number,
                flow=exchange.flow,
                stream=exchange.stream,
                method=exchange.method,
                path=exchange.path,
                key=exchange.idempotency_key,
                fingerprint=exchange.make_fingerprint(),
                body_complete=exchange.body.ended,
                now=self.now,
                seed=self.draw_seed(),
            )
        )

    def _cancel_request(self, exchange: Exchange, deliberate: bool) -> None:
        if exchange.number not in self._exchanges:
            return
        self.dispatch(
            RequestCancelled(
                request=exchange.number, deliberate=deliberate, now=self.now
            )
        )

    async def _send_upstream_request(
        self, exchange: Exchange, effect: SendUpstreamRequest
    ) -> None:
        result = await self._upstream.send(
            exchange,
            buffered=effect.buffer_answer or exchange.reply_future is not None,
            make_relay=lambda: _StreamRelay(self, exchange, effect.ticket),
        )
        now, seed = self.now, self.draw_seed()
        match result:
            case BufferedAnswer(answer=answer, shed=shed):
                self.dispatch(
                    UpstreamAnswered(
                        request=exchange.number,
                        answer=answer,
                        shed=shed,
                        now=now,
                        seed=seed,
                    )
                )
            case RelayedAnswer():
                self.flow_table.drop_exchange(exchange)
                self._drop_exchange(exchange)
                self.dispatch(
                    UpstreamAnswered(
                        request=exchange.number,
                        answer=None,
                        shed=False,
                        now=now,
                        seed=seed,
                    )
                )
            case FailedCall(sent=sent, reason=reason):
                self.dispatch(
                    UpstreamFailed(
                        request=exchange.number,
                        sent=sent,
                        reason=reason,
                        now=now,
                        seed=seed,
                    )
                )

    async def _forward_request(
        self, exchange: Exchange, effect: ForwardRequest
    ) -> None:
        request = PeerRequest(
            service=self.node_state.service,
            upstream=effect.upstream,
            method=exchange.method,
            path=exchange.path,
            headers=exchange.headers,
            body=exchange.body.get_buffered(),
            key=exchange.idempotency_key,
        )
        answer, not_accepted = await self._get_peers().forward_request(
            effect.peer, request
        )
        if answer is not None:
            self._complete_forwarded(exchange, answer)
            return
        self.dispatch(
            PeerFailed(
                request=exchange.number,
                not_accepted=not_accepted,
                now=self.now,
                seed=self.draw_seed(),
            )
        )

    def _complete_forwarded(self, exchange: Exchange, answer: RecordedAnswer) -> None:
        """Complete a forwarded request with the other agent's answer and outcome."""
        outcomes = [h.value for h in answer.headers if h.name == OUTCOME_HEADER]
        outcome = RequestOutcome(outcomes[0]) if outcomes else RequestOutcome.UNKNOWN
        self.dispatch(
            PeerAnswered(
                request=exchange.number, answer=answer, outcome=outcome, now=self.now
            )
        )

    async def _answer_peer_request(self, request: web.Request) -> web.Response:
        try:
            forwarded = decode_peer_request(self.keys, await request.read())
        except DecodeError:
            return web.Response(status=HTTP_FORBIDDEN)
        state = self.node_state
        if forwarded.service != state.service or forwarded.upstream != state.upstream:
            return web.Response(status=HTTP_GONE)
        body = Body()
        body.append(forwarded.body, ended=True)
        exchange = Exchange(
            number=next(self.flow_table.exchange_numbers),
            flow=-1,
            stream=-1,
            method=forwarded.method,
            path=forwarded.path,
            authority="",
            headers=forwarded.headers,
            body=body,
            dispatched=True,
            reply_future=asyncio.get_running_loop().create_future(),
        )
        self._dispatch_request(exchange)
        answer = await exchange.reply_future
        if answer is None:
            return web.Response(status=HTTP_GONE)
        return web.Response(body=encode_peer_answer(self.keys, answer))

    async def _send_handover(self, effect: SendHandover) -> None:
        handover = Handover(upstream=effect.upstream, transfers=effect.transfers)
        accepted = await self._get_peers().send_handover(effect.peer, handover)
        self.dispatch(HandoverDone(accepted=accepted, now=self.now))

    def _get_peers(self) -> PeerClient:
        assert self.http is not None
        return PeerClient(self.http, self.keys)

    async def _answer_handover(self, request: web.Request) -> web.Response:
        try:
            handover = decode_handover(self.keys, await request.read())
        except DecodeError:
            return web.Response(status=HTTP_FORBIDDEN)
        if handover.upstream != self.node_state.upstream:
            return web.Response(status=HTTP_GONE)
        self.dispatch(HandoverReceived(transfers=handover.transfers, now=self.now))
        return web.Response()
