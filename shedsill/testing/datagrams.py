"""A world of opaque flows in memory: callers, balancers, agents and upstreams.

The nodes are the real reducers and the packets are real ones.  Time moves only
by `World.run`.  Callers and upstreams behave as the platform's do and check,
while the world runs, what they are promised: packets arrive unchanged, flows
reach the service that they are meant for, and no living flow is reset.
"""

from __future__ import annotations

import heapq
import itertools
import struct
import zlib
from collections.abc import Callable

from attrs import define, field

from shedsill._shared_effects import Note
from shedsill.datagram import _agent, _balancer
from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._balancer_state import BalancerState
from shedsill.datagram._effects import (
    CheckUpstream,
    Effect,
    ForgetReport,
    ForwardPacket,
    PullTable,
    RemoveReport,
    ResetFlow,
    SendMessage,
    SendToCaller,
    SendToUpstream,
    StoreReport,
)
from shedsill.datagram._events import (
    CallerPacket,
    Event,
    ForwardedPacket,
    Heartbeat,
    HeartbeatReceived,
    MessageReceived,
    PacketsDrained,
    ReportsListed,
    StopRequested,
    TableOffered,
    Tick,
    UpstreamChecked,
    UpstreamLeft,
    UpstreamPacket,
)
from shedsill.datagram._forwarding import ForwardingTable, Route, ServiceShare
from shedsill.datagram._messages import (
    NodeReport,
    PacketReturned,
    Role,
    UpstreamState,
    decode_message,
    encode_message,
)
from shedsill.datagram._packet import ACK, BOUNCED, RST, SYN
from shedsill.datagram._reducer import reduce
from shedsill.platform.packets import HeadCodec
from shedsill.testing.parts import OracleError

CODEC = HeadCodec()
LATENCY = 0.001
TICK = 0.04
BEAT = 1.2
COPY_TIMES = (0.2, 0.6)
OPENING_LIMIT = 1.4
RETRANSMIT = 0.2
WORK = 0.05
SERVICE_HOST = 0xC6120001
BITS = {SYN: 4, ACK: 128, RST: 32, BOUNCED: 2}


def make_packet(
    source: tuple[int, int],
    target: tuple[int, int],
    bits: int,
    *,
    seq: int = 0,
    ack: int = 0,
    content: bytes = b"",
) -> bytes:
    """Return a packet between two (IP number, port) pairs, with a true sum."""
    head = struct.pack(
        ">B5xHHIHIIII",
        bits,
        len(content),
        source[1],
        target[0],
        target[1],
        source[0],
        0,
        seq,
        ack,
    )
    return head + struct.pack(">I", sum_packet(head + bytes(4) + content)) + content


def sum_packet(data: bytes) -> int:
    """Return the sum over all that a node may not change."""
    flags = bytes([data[0] & ~BITS[BOUNCED]])
    return zlib.crc32(flags + data[6:20] + data[24:32] + data[36:])


def check_packet(data: bytes) -> None:
    """Raise `OracleError` if a packet is not as its sender wrote it."""
    if sum_packet(data) != struct.unpack_from(">I", data, 32)[0]:
        raise OracleError("a packet was changed on its way")


@define(eq=False)
class Upstream:
    """A back end: takes openings, answers each request after `WORK` seconds."""

    host: str
    service: str
    boot: str
    state: UpstreamState = UpstreamState.READY
    alive: bool = True
    refusing: bool = False
    beats: int = 0
    flows: dict[bytes, int] = field(factory=dict)
    offered: dict[bytes, int] = field(factory=dict)
    runs: list[bytes] = field(factory=list)


@define(eq=False)
class Caller:
    """A caller with one flow and one request on it."""

    number: int
    service: str
    balancer: str
    outcome: str = ""
    open: bool = False
    held_by: str = ""
    upstream_seq: int = 0
    begun: float = 0.0

    @property
    def address(self) -> tuple[int, int]:
        """IP number and port of the caller."""
        return (0x64400000 + self.number, 40_000)


@define(eq=False)
class World:
    """Everything, and the queue of what is under way."""

    services: tuple[str, ...]
    now: float = 1000.0
    nodes: dict[str, BalancerState | AgentState] = field(factory=dict)
    upstreams: dict[str, Upstream] = field(factory=dict)
    callers: dict[bytes, Caller] = field(factory=dict)
    stored: dict[str, NodeReport] = field(factory=dict)
    store_up: bool = True
    cut: set[str] = field(factory=set)
    table: ForwardingTable = field(factory=ForwardingTable)
    notes: list[tuple[str, Note]] = field(factory=list)
    resets: list[Caller] = field(factory=list)
    _queue: list = field(factory=list)
    _numbers: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.table = self.make_table(1)

    # Building

    def make_table(self, version: int, without: str = "") -> ForwardingTable:
        """Return a table with one route for each service."""
        routes = {
            self._get_endpoint(service): Route(
                name=service, shares=(ServiceShare(service=service),)
            )
            for service in self.services
            if service != without
        }
        return ForwardingTable(version=version, routes=routes, idle_timeout=15.0)

    def _get_port(self, service: str) -> int:
        return 443 + self.services.index(service)

    def _get_endpoint(self, service: str) -> bytes:
        return struct.pack(">IH", SERVICE_HOST, self._get_port(service))

    def add_balancer(self, host: str, *, zone: str = "z1") -> BalancerState:
        """Start a balancer; it reads what the store holds."""
        state = BalancerState(
            report=self._make_report(host, Role.BALANCER, zone),
            seeds=(),
            flow_lifetime=60.0,
            stop_limit=5.0,
        )
        self.nodes[host] = state
        self._carry_out(host, _balancer.start(state, self.now))
        self._dispatch(
            host, TableOffered(table=self.table, source="store", now=self.now)
        )
        self._schedule(TICK, lambda: self._tick(host, state))
        self.list_reports(host)
        return state

    def add_agent(
        self, host: str, service: str, *, zone: str = "z1", first: bool = False
    ) -> AgentState:
        """Start an agent, and its upstream if there is none on that VM."""
        state = AgentState(
            report=self._make_report(host, Role.AGENT, zone, service),
            seeds=(),
            flow_lifetime=60.0,
            stop_limit=5.0,
            complete=first,
        )
        self.nodes[host] = state
        if host not in self.upstreams:
            self.start_upstream(host, service)
        _agent.start(state, self.now)
        self._schedule(TICK, lambda: self._tick(host, state))
        self._schedule(LATENCY, lambda: self._beat(host))
        return state

    def start_upstream(self, host: str, service: str) -> Upstream:
        """Start a new run of an upstream."""
        boot = f"i-{next(self._numbers)}"
        upstream = Upstream(host=host, service=service, boot=boot)
        self.upstreams[host] = upstream
        return upstream

    def _make_report(
        self, host: str, role: Role, zone: str, service: str = ""
    ) -> NodeReport:
        incarnation = next(self._numbers) + 1
        return NodeReport(
            host=host, role=role, zone=zone, service=service, incarnation=incarnation
        )

    # Faults and planned steps

    def kill(self, host: str) -> None:
        """End a node at once; what it knew is gone."""
        self.nodes.pop(host, None)

    def crash_upstream(self, host: str) -> None:
        """End an upstream's run; its port refuses connections."""
        self.upstreams[host].alive = False
        self.upstreams[host].flows.clear()

    def stop(self, host: str) -> None:
        """Ask a node to stop."""
        self._dispatch(host, StopRequested(now=self.now))

    def drain_upstream(self, host: str) -> None:
        """Have an upstream say that it drains."""
        self.upstreams[host].state = UpstreamState.DRAINING
        self._send_beat(host)

    def leave(self, host: str) -> None:
        """Have an upstream say that it ends, and end."""
        boot = self.upstreams[host].boot
        self._dispatch(host, UpstreamLeft(boot=boot, now=self.now))
        self.crash_upstream(host)

    def list_reports(self, host: str) -> None:
        """Have a balancer read the store."""
        if self.store_up and host in self.nodes:
            reports = tuple(self.stored.values())
            self._dispatch(
                host, ReportsListed(reports=reports, whole=True, now=self.now)
            )

    def change_table(self, table: ForwardingTable, hosts: tuple[str, ...]) -> None:
        """Have some balancers read a new table from the store."""
        self.table = table
        for host in hosts:
            event = TableOffered(table=table, source="store", now=self.now)
            self._dispatch(host, event)

    # Callers

    def call(self, service: str, balancer: str) -> Caller:
        """Have a new caller open a flow and send one request."""
        number = len(self.callers)
        caller = Caller(
            number=number, service=service, balancer=balancer, begun=self.now
        )
        self.callers[self.get_flow(caller)] = caller
        self._send_opening(caller, 0)
        for copy, after in enumerate(COPY_TIMES, 1):
            self._schedule(after, lambda c=copy: self._send_opening(caller, c))
        self._schedule(OPENING_LIMIT, lambda: self._give_up(caller))
        return caller

    def get_flow(self, caller: Caller) -> bytes:
        """Return the key of a caller's flow."""
        packet = CODEC.decode_caller(self._write(caller, BITS[SYN]))
        assert packet is not None
        return packet.flow

    def _write(self, caller: Caller, bits: int, **parts) -> bytes:
        service = (SERVICE_HOST, self._get_port(caller.service))
        return make_packet(caller.address, service, bits, **parts)

    def _send_opening(self, caller: Caller, copy: int) -> None:
        if not caller.open and not caller.outcome:
            self._send_in(caller, self._write(caller, BITS[SYN], ack=copy))

    def _give_up(self, caller: Caller) -> None:
        if not caller.open and not caller.outcome:
            caller.outcome = "timeout"

    def send_request(self, caller: Caller) -> None:
        """Send (again) the request of an open flow, until it is answered."""
        if caller.outcome:
            return
        data = self._write(
            caller,
            BITS[ACK],
            seq=1,
            ack=caller.upstream_seq + 1,
            content=b"request",
        )
        self._send_in(caller, data)
        self._schedule(RETRANSMIT, lambda: self.send_request(caller))

    def _send_in(self, caller: Caller, data: bytes) -> None:
        packet = CODEC.decode_caller(data)
        assert packet is not None
        balancer = caller.balancer
        self._deliver(
            "caller", balancer, lambda: CallerPacket(packet=packet, now=self.now)
        )

    def _reach_caller(self, data: bytes) -> None:
        packet = CODEC.decode_upstream(data)
        assert packet is not None
        caller = self.callers[packet.flow]
        if caller.outcome:
            return
        if packet.flags & RST:
            self._take_reset(caller)
            return
        check_packet(data)
        if packet.flags & SYN and not caller.open:
            caller.open = True
            caller.upstream_seq = packet.seq
            self.send_request(caller)
        elif packet.length:
            caller.outcome = "answered"

    def _take_reset(self, caller: Caller) -> None:
        holder = self.upstreams.get(caller.held_by)
        flow = self.get_flow(caller)
        if caller.open and holder and holder.alive and flow in holder.flows:
            raise OracleError(f"a flow that {holder.host} holds was reset")
        caller.outcome = "reset"
        self.resets.append(caller)

    # Upstreams

    def _reach_upstream(self, host: str, data: bytes) -> None:
        check_packet(data)
        upstream = self.upstreams[host]
        packet = CODEC.decode_caller(data)
        assert packet is not None
        if not upstream.alive:
            return
        if packet.flags == SYN and not upstream.refusing:
            self._take_opening(upstream, packet.flow, data)
            return
        if packet.flow in upstream.offered:
            expected = upstream.offered.pop(packet.flow)
            if packet.ack == expected + 1:
                upstream.flows[packet.flow] = expected
                self.callers[packet.flow].held_by = host
        if packet.flow not in upstream.flows:
            bounced = bytes([data[0] | BITS[BOUNCED]]) + data[1:]
            self._reach_agent(host, bounced)
            return
        if packet.length:
            self._schedule(WORK, lambda: self._answer(upstream, packet.flow))

    def _take_opening(self, upstream: Upstream, flow: bytes, data: bytes) -> None:
        caller = self.callers[flow]
        if caller.service != upstream.service:
            raise OracleError(f"a flow to {caller.service} reached {upstream.service}")
        seq = zlib.crc32(upstream.boot.encode() + flow)
        upstream.offered[flow] = seq
        bits = BITS[SYN] | BITS[ACK]
        self._write_from(upstream, caller, bits, seq=seq)

    def _answer(self, upstream: Upstream, flow: bytes) -> None:
        if upstream.alive and flow in upstream.flows:
            upstream.runs.append(flow)
            caller = self.callers[flow]
            seq = upstream.flows[flow] + 1
            self._write_from(upstream, caller, BITS[ACK], seq=seq, content=b"answer")

    def _write_from(
        self, upstream: Upstream, caller: Caller, bits: int, **parts
    ) -> None:
        service = (SERVICE_HOST, self._get_port(caller.service))
        data = make_packet(service, caller.address, bits, **parts)
        self._reach_agent(upstream.host, data)

    def _reach_agent(self, host: str, data: bytes) -> None:
        packet = CODEC.decode_upstream(data)
        assert packet is not None
        event = UpstreamPacket(packet=packet, now=self.now)
        self._deliver(host, host, lambda: event)

    def _beat(self, host: str) -> None:
        if host not in self.nodes or not isinstance(self.nodes[host], AgentState):
            return
        self._send_beat(host)
        state = self.nodes[host]
        self._schedule(BEAT, lambda: self.nodes.get(host) is state and self._beat(host))

    def _send_beat(self, host: str) -> None:
        upstream = self.upstreams[host]
        if not upstream.alive:
            return
        upstream.beats += 1
        beat = Heartbeat(
            boot=upstream.boot, serial=upstream.beats, state=upstream.state, slots=3
        )
        self._dispatch(host, HeartbeatReceived(heartbeat=beat, now=self.now))

    # Time and effects

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _number, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def _schedule(self, after: float, action: Callable[[], object]) -> None:
        entry = (self.now + after, next(self._numbers), action)
        heapq.heappush(self._queue, entry)

    def _deliver(self, source: str, host: str, make: Callable[[], Event]) -> None:
        """Deliver an event over the network, where nothing is cut."""
        if host in self.cut or (source in self.cut and source != host):
            return
        self._schedule(LATENCY, lambda: self._dispatch(host, make()))

    def _tick(self, host: str, state: BalancerState | AgentState) -> None:
        if self.nodes.get(host) is state:
            self._dispatch(host, Tick(now=self.now))
            self._schedule(TICK, lambda: self._tick(host, state))

    def _dispatch(self, host: str, event: Event) -> None:
        state = self.nodes.get(host)
        if state is None:
            return
        returned = None
        message = event.message if isinstance(event, MessageReceived) else None
        if isinstance(message, PacketReturned):
            returned = CODEC.decode_caller(message.packet)
        self._carry_out(host, reduce(state, event, returned))
        if isinstance(event, CallerPacket | MessageReceived):
            self._carry_out(host, reduce(state, PacketsDrained(now=self.now)))

    def _carry_out(self, host: str, effects: list[Effect]) -> None:
        for effect in effects:
            self._carry_out_one(host, effect)

    def _carry_out_one(self, host: str, effect: Effect) -> None:
        match effect:
            case ForwardPacket(host=agent, packet=packet, service=service):
                data = CODEC.encode_forwarded(packet, service, effect.route)
                self._deliver(host, agent, lambda: self._forwarded(data, host))
            case SendMessage(host=other, message=message):
                octets = encode_message(message)
                self._deliver(host, other, lambda: self._message(octets, host))
            case SendToUpstream(packet=packet, balancer=balancer):
                data = CODEC.encode_for_upstream(packet, balancer)
                self._schedule(LATENCY, lambda: self._reach_upstream(host, data))
            case SendToCaller(packet=packet):
                self._send_out(host, packet.data)
            case ResetFlow(flow=flow, seq=seq):
                self._send_out(host, CODEC.encode_reset(flow, seq))
            case StoreReport(report=report) if self.store_up:
                self.stored[report.host] = report
                self._tell_watchers(report, removed=False)
            case RemoveReport(report=report) | ForgetReport(report=report) if (
                self.store_up
            ):
                self.stored.pop(report.host, None)
                self._tell_watchers(report, removed=True)
            case CheckUpstream():
                alive = self.upstreams[host].alive
                checked = UpstreamChecked(open=alive, refused=not alive, now=self.now)
                self._schedule(LATENCY, lambda: self._dispatch(host, checked))
            case PullTable():
                offered = TableOffered(table=self.table, source="peer", now=self.now)
                self._schedule(LATENCY, lambda: self._dispatch(host, offered))
            case Note():
                self.notes.append((host, effect))

    def _send_out(self, host: str, data: bytes) -> None:
        if host not in self.cut:
            self._schedule(LATENCY, lambda: self._reach_caller(data))

    def _tell_watchers(self, report: NodeReport, *, removed: bool) -> None:
        """Tell the balancers of a change in the store."""
        for host, state in self.nodes.items():
            if isinstance(state, BalancerState):
                reports = () if removed else (report,)
                gone = (report.host,) if removed else ()
                self._deliver(
                    "store",
                    host,
                    lambda r=reports, g=gone: ReportsListed(
                        reports=r, removed=g, now=self.now
                    ),
                )

    def _forwarded(self, data: bytes, balancer: str) -> ForwardedPacket:
        decoded = CODEC.decode_forwarded(data)
        assert decoded is not None
        packet, service = decoded
        return ForwardedPacket(
            packet=packet, service=service, balancer=balancer, now=self.now
        )

    def _message(self, octets: bytes, source: str) -> MessageReceived:
        message = decode_message(octets)
        return MessageReceived(message=message, source=source, now=self.now)
