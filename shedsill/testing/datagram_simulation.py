"""A simulation of opaque flows in memory: callers, balancers, agents and upstreams.

The nodes are the real reducers and the packets are real ones.  Time moves only
by `Simulation.run`.  Callers and upstreams behave as the platform's do and check,
while the simulation runs, what they are promised: packets arrive unchanged, flows
reach the service that they are meant for, and no living flow is reset.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import struct
from collections.abc import Callable

from attrs import define, field

from shedsill._common_effects import WriteLog
from shedsill.datagram import _agent, _balancer
from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._balancer_state import BalancerState
from shedsill.datagram._effects import (
    CheckUpstream,
    Effect,
    ForwardPacket,
    PullTable,
    ReadCheckpoint,
    ReadReports,
    RemovePeerReport,
    RemoveReport,
    ResetFlow,
    SendMessage,
    SendToCaller,
    SendToUpstream,
    StoreCheckpoint,
    StoreReport,
)
from shedsill.datagram._events import (
    CallerPacket,
    CheckpointRead,
    EarlierReportRead,
    Event,
    ForwardedPacket,
    Heartbeat,
    HeartbeatReceived,
    MessageReceived,
    PacketsDrained,
    ReportsListed,
    StopRequested,
    TableReceived,
    Tick,
    UpstreamChecked,
    UpstreamLeaving,
    UpstreamPacket,
)
from shedsill.datagram._forwarding_table import ForwardingTable, Route, ServiceShare
from shedsill.datagram._messages import (
    NodeReport,
    OpenFlow,
    PacketReturned,
    Role,
    UpstreamState,
    decode_message,
    encode_message,
)
from shedsill.datagram._reducer import reduce
from shedsill.testing.flow_endpoints import (
    CODEC,
    FIRST_PORT,
    SERVICE_HOST,
    Caller,
    Upstream,
)

LATENCY_SECONDS = 0.001
TICK_SECONDS = 0.04
HEARTBEAT_SECONDS = 1.2
WRITE_RETRY_SECONDS = 1.0
"""Longest pause between tries of a write, as in `_runtime.reports`."""


@define(eq=False)
class PacketLoss:
    """A share of the datagrams to and from one node that are lost.

    Each pair of nodes has draws of its own, so that what is lost does not hang on the
    order in which messages to several nodes leave.

    Attributes
    ----------
    loss_share : float
        May be changed while the simulation runs.
    """

    host: str
    loss_share: float
    seed: int
    _generators: dict[tuple[str, str], random.Random] = field(factory=dict)

    def __call__(self, source: str, host: str) -> bool:
        """Whether the next datagram from a node to another one is lost."""
        if self.host not in (source, host) or source == "caller":
            return False
        pair = (source, host)
        if pair not in self._generators:
            self._generators[pair] = random.Random(f"{self.seed} {source} {host}")
        return self._generators[pair].random() < self.loss_share


@define(eq=False)
class Simulation:
    """Everything, and the queue of what is under way.

    Attributes
    ----------
    partitioned_hosts : set of str
        Hosts that nothing reaches and that reach nothing.
    unwatched_hosts : set of str
        Balancers whose watch of the store rests, so that they hear of its changes only
        when they ask.
    is_lost : callable
        Whether the next datagram from a source to a host is lost.
    """

    services: tuple[str, ...]
    now: float = 1000.0
    nodes: dict[str, BalancerState | AgentState] = field(factory=dict)
    upstreams: dict[str, Upstream] = field(factory=dict)
    callers: dict[bytes, Caller] = field(factory=dict)
    balancer_by_flow: dict[bytes, str] = field(factory=dict)
    stored_reports: dict[str, NodeReport] = field(factory=dict)
    checkpoint: dict[str, list[OpenFlow]] = field(factory=dict)
    checkpoint_at: float = 0.0
    store_available: bool = True
    first_heartbeat_delay: float = LATENCY_SECONDS
    partitioned_hosts: set[str] = field(factory=set)
    unwatched_hosts: set[str] = field(factory=set)
    seeds: tuple[str, ...] = ()
    is_lost: Callable[[str, str], bool] = field(default=lambda source, host: False)
    table: ForwardingTable = field(factory=ForwardingTable)
    log_entries: list[tuple[str, WriteLog]] = field(factory=list)
    message_counts: collections.Counter = field(factory=collections.Counter)
    _queue: list = field(factory=list)
    _sequence: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.table = self.make_table(1)

    @property
    def reset_callers(self) -> list[Caller]:
        """The callers whose flow was reset."""
        return [c for c in self.callers.values() if c.outcome == "reset"]

    def count_messages(self, kind: type) -> int:
        """Return how many messages of a class nodes have sent."""
        return self.message_counts[kind]

    # Building

    def make_table(self, version: int, excluded: str = "") -> ForwardingTable:
        """Return a table with one route for each service."""
        routes = {
            self._get_endpoint(service): Route(
                name=service, shares=(ServiceShare(service=service),)
            )
            for service in self.services
            if service != excluded
        }
        return ForwardingTable(version=version, routes=routes, idle_timeout=15.0)

    def _get_port(self, service: str) -> int:
        return FIRST_PORT + self.services.index(service)

    def _get_endpoint(self, service: str) -> bytes:
        return struct.pack(">IH", SERVICE_HOST, self._get_port(service))

    def add_balancer(self, host: str, *, zone: str = "z1") -> BalancerState:
        """Start a balancer; it reads what the store holds."""
        state = BalancerState(
            report=self._make_report(host, Role.BALANCER, zone),
            seeds=self.seeds,
            flow_lifetime=60.0,
            stop_limit=5.0,
        )
        self.nodes[host] = state
        self._execute(host, _balancer.start(state, self.now))
        self._dispatch(
            host, TableReceived(table=self.table, source="store", now=self.now)
        )
        self._schedule(TICK_SECONDS, lambda: self._tick(host, state))
        self.read_reports(host)
        return state

    def add_agent(
        self,
        host: str,
        service: str,
        *,
        zone: str = "z1",
        knows_all_flows: bool = False,
    ) -> AgentState:
        """Start an agent, and its upstream if there is none on that VM."""
        state = AgentState(
            report=self._make_report(host, Role.AGENT, zone, service),
            seeds=self.seeds,
            flow_lifetime=60.0,
            stop_limit=5.0,
            knows_all_flows=knows_all_flows,
        )
        self.nodes[host] = state
        if host not in self.upstreams:
            self.start_upstream(host, service)
        _agent.start_agent(state, self.now)
        if self.store_available:
            self._report_earlier_incarnation(host, state.report, at_start=True)
        self._schedule(TICK_SECONDS, lambda: self._tick(host, state))
        self._schedule(self.first_heartbeat_delay, lambda: self._repeat_heartbeat(host))
        return state

    def start_upstream(self, host: str, service: str) -> Upstream:
        """Start a new run of an upstream."""
        boot = f"i-{next(self._sequence)}"
        upstream = Upstream(
            host=host,
            port=self._get_port(service),
            boot=boot,
            send=lambda data: self._deliver_to_agent(host, data),
            schedule=self._schedule,
        )
        self.upstreams[host] = upstream
        return upstream

    def _make_report(
        self, host: str, role: Role, zone: str, service: str = ""
    ) -> NodeReport:
        incarnation = next(self._sequence) + 1
        return NodeReport(
            host=host, role=role, zone=zone, service=service, incarnation=incarnation
        )

    # Faults and planned steps

    def kill(self, host: str) -> None:
        """End a node at once; what it knew is gone."""
        self.nodes.pop(host, None)

    def crash_upstream(self, host: str) -> None:
        """End an upstream's run; its port refuses connections."""
        self.upstreams[host].crash()

    def stop(self, host: str) -> None:
        """Ask a node to stop."""
        self._dispatch(host, StopRequested(now=self.now))

    def drain_upstream(self, host: str) -> None:
        """Have an upstream say that it drains."""
        self.upstreams[host].state = UpstreamState.DRAINING
        self.send_heartbeat(host)

    def withdraw_upstream(self, host: str) -> None:
        """Have an upstream say that it ends, and end."""
        boot = self.upstreams[host].boot
        self._dispatch(host, UpstreamLeaving(boot=boot, now=self.now))
        self.crash_upstream(host)

    def read_reports(self, host: str) -> None:
        """Have a balancer read the store."""
        if self.store_available and host in self.nodes:
            reports = tuple(self.stored_reports.values())
            self._dispatch(
                host, ReportsListed(reports=reports, complete=True, now=self.now)
            )

    def _read_changes(self, host: str) -> None:
        """Have a balancer read what the store holds, as changes."""
        reports = tuple(self.stored_reports.values())
        self._dispatch(host, ReportsListed(reports=reports, now=self.now))

    def restore_store(self) -> None:
        """Have the store back for as long as writes take to be tried again."""
        self.store_available = True
        self.run(WRITE_RETRY_SECONDS)
        for host, state in list(self.nodes.items()):
            if isinstance(state, BalancerState):
                self.read_reports(host)
            elif state.report.boot:
                self.stored_reports[host] = state.report
                self._notify_watchers(state.report, removed=False)

    def publish_table(self, table: ForwardingTable, hosts: tuple[str, ...]) -> None:
        """Have some balancers read a new table from the store."""
        self.table = table
        for host in hosts:
            event = TableReceived(table=table, source="store", now=self.now)
            self._dispatch(host, event)

    # Callers

    def add_caller(self, service: str, balancer: str, *, requests: int = 1) -> Caller:
        """Have a new caller open a flow and send requests on it."""
        caller = Caller(
            address=(0x64400000 + len(self.callers), 40_000),
            service=(SERVICE_HOST, self._get_port(service)),
            send=lambda data: self._send_to_balancer(caller, data),
            schedule=self._schedule,
            is_flow_held=lambda flow: bool(self.find_upstream_host(caller)),
            requests=requests,
        )
        self.callers[caller.flow] = caller
        self.balancer_by_flow[caller.flow] = balancer
        caller.open_flow()
        return caller

    def find_upstream_host(self, caller: Caller) -> str:
        """Return the host whose living upstream holds a caller's flow."""
        for host, upstream in self.upstreams.items():
            if upstream.alive and caller.flow in upstream.flows:
                return host
        return ""

    def _send_to_balancer(self, caller: Caller, data: bytes) -> None:
        packet = CODEC.decode_caller(data)
        assert packet is not None
        self._deliver_event(
            "caller",
            self.balancer_by_flow[caller.flow],
            lambda: CallerPacket(packet=packet, now=self.now),
        )

    def _deliver_to_caller(self, data: bytes) -> None:
        packet = CODEC.decode_upstream(data)
        assert packet is not None
        self.callers[packet.flow].receive(data)

    # Upstreams

    def _deliver_to_agent(self, host: str, data: bytes) -> None:
        packet = CODEC.decode_upstream(data)
        assert packet is not None
        event = UpstreamPacket(packet=packet, now=self.now)
        self._deliver_event(host, host, lambda: event)

    def _repeat_heartbeat(self, host: str) -> None:
        if host not in self.nodes or not isinstance(self.nodes[host], AgentState):
            return
        self.send_heartbeat(host)
        state = self.nodes[host]
        self._schedule(
            HEARTBEAT_SECONDS,
            lambda: self.nodes.get(host) is state and self._repeat_heartbeat(host),
        )

    def send_heartbeat(self, host: str) -> None:
        upstream = self.upstreams[host]
        if not upstream.alive:
            return
        upstream.heartbeat_serial += 1
        beat = Heartbeat(
            boot=upstream.boot,
            serial=upstream.heartbeat_serial,
            state=upstream.state,
            slots=3,
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
        entry = (self.now + after, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def _deliver_event(self, source: str, host: str, make: Callable[[], Event]) -> None:
        """Deliver an event over the network, where nothing is cut."""
        if host in self.partitioned_hosts or (
            source in self.partitioned_hosts and source != host
        ):
            return
        if self.is_lost(source, host):
            return
        self._schedule(LATENCY_SECONDS, lambda: self._dispatch(host, make()))

    def _tick(self, host: str, state: BalancerState | AgentState) -> None:
        if self.nodes.get(host) is state:
            self._dispatch(host, Tick(now=self.now))
            self._schedule(TICK_SECONDS, lambda: self._tick(host, state))

    def _dispatch(self, host: str, event: Event) -> None:
        state = self.nodes.get(host)
        if state is None:
            return
        returned = None
        message = event.message if isinstance(event, MessageReceived) else None
        if isinstance(message, PacketReturned):
            returned = CODEC.decode_caller(message.packet)
        self._execute(host, reduce(state, event, returned))
        if isinstance(event, CallerPacket | MessageReceived):
            self._execute(host, reduce(state, PacketsDrained(now=self.now)))

    def _execute(self, host: str, effects: list[Effect]) -> None:
        for effect in effects:
            self._execute_effect(host, effect)

    def _execute_effect(self, host: str, effect: Effect) -> None:
        match effect:
            case ForwardPacket(host=agent, packet=packet, service=service):
                data = CODEC.encode_forwarded(packet, service, effect.route)
                self._deliver_event(
                    host, agent, lambda: self._decode_forwarded(data, host)
                )
            case SendMessage(host=other, message=message):
                octets = encode_message(message)
                self.message_counts[type(message)] += 1
                self._deliver_event(
                    host, other, lambda: self._decode_message(octets, host)
                )
            case SendToUpstream(packet=packet, balancer=balancer):
                data = CODEC.encode_for_upstream(packet, balancer)
                upstream = self.upstreams[host]
                self._schedule(LATENCY_SECONDS, lambda: upstream.receive(data))
            case SendToCaller(packet=packet):
                self._send_to_caller(host, packet.data)
            case ResetFlow(flow=flow, seq=seq):
                self._send_to_caller(host, CODEC.encode_reset(flow, seq))
            case StoreReport(report=report) if self.store_available:
                self._report_earlier_incarnation(host, report, at_start=False)
                self.stored_reports[report.host] = report
                self._notify_watchers(report, removed=False)
            case RemoveReport(report=report) | RemovePeerReport(report=report) if (
                self.store_available
            ):
                self.stored_reports.pop(report.host, None)
                self._notify_watchers(report, removed=True)
            case StoreCheckpoint(parts=parts) if self.store_available:
                self.checkpoint, self.checkpoint_at = parts, self.now
            case ReadCheckpoint() if self.store_available and self.checkpoint_at:
                read = CheckpointRead(
                    parts=self.checkpoint,
                    age=self.now - self.checkpoint_at,
                    at_start=True,
                    now=self.now,
                )
                self._schedule(LATENCY_SECONDS, lambda: self._dispatch(host, read))
            case ReadReports() if self.store_available:
                self._schedule(LATENCY_SECONDS, lambda: self._read_changes(host))
            case CheckUpstream():
                alive = self.upstreams[host].alive
                checked = UpstreamChecked(open=alive, refused=not alive, now=self.now)
                self._schedule(LATENCY_SECONDS, lambda: self._dispatch(host, checked))
            case PullTable():
                offered = TableReceived(table=self.table, source="peer", now=self.now)
                self._schedule(LATENCY_SECONDS, lambda: self._dispatch(host, offered))
            case WriteLog():
                self.log_entries.append((host, effect))

    def _report_earlier_incarnation(
        self, host: str, report: NodeReport, *, at_start: bool
    ) -> None:
        """Tell a node what an earlier run of it has left in the store."""
        earlier = self.stored_reports.get(host)
        if earlier is not None and earlier.incarnation != report.incarnation:
            read = EarlierReportRead(report=earlier, at_start=at_start, now=self.now)
            self._schedule(LATENCY_SECONDS, lambda: self._dispatch(host, read))

    def _send_to_caller(self, host: str, data: bytes) -> None:
        if host not in self.partitioned_hosts:
            self._schedule(LATENCY_SECONDS, lambda: self._deliver_to_caller(data))

    def _notify_watchers(self, report: NodeReport, *, removed: bool) -> None:
        """Tell the balancers of a change in the store."""
        for host, state in self.nodes.items():
            if isinstance(state, BalancerState) and host not in self.unwatched_hosts:
                reports = () if removed else (report,)
                gone = (report.host,) if removed else ()
                self._deliver_event(
                    "store",
                    host,
                    lambda r=reports, g=gone: ReportsListed(
                        reports=r, removed=g, now=self.now
                    ),
                )

    def _decode_forwarded(self, data: bytes, balancer: str) -> ForwardedPacket:
        decoded = CODEC.decode_forwarded(data)
        assert decoded is not None
        packet, service = decoded
        return ForwardedPacket(
            packet=packet, service=service, balancer=balancer, now=self.now
        )

    def _decode_message(self, octets: bytes, source: str) -> MessageReceived:
        message = decode_message(octets)
        return MessageReceived(message=message, source=source, now=self.now)
