"""Deterministic simulation of opaque flows: callers, balancers, agents, upstreams.

The nodes run their real reducers and exchange real packets.  Time advances only in
`Simulation.run`.  Callers and upstreams raise `ViolationError` if a packet was altered,
if a flow reaches the wrong service or an upstream whose end was confirmed, or if a flow
is reset while its upstream holds it.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import struct
from collections.abc import Callable, Iterator, MutableMapping

from attrs import define, field

from shedsill._common_effects import WriteLog
from shedsill.coordination.platform import (
    Delete,
    Found,
    MemoryPlatform,
    Outcome,
    Put,
    Stored,
    StoredObject,
    Unavailable,
)
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
    dump_report,
    encode_message,
    load_report,
)
from shedsill.datagram._reducer import reduce
from shedsill.datagram._report_writes import (
    REPORT_KIND,
    RETRY_BACKOFF,
    ReportWrites,
    WriteResult,
    plan_call,
    record_outcome,
    record_read,
    record_version,
    request_write,
)
from shedsill.datagram._upstream import is_confirmed
from shedsill.testing.flow_endpoints import (
    CODEC,
    FIRST_PORT,
    REPEATED_CALL_DELAYS_SECONDS,
    SERVICE_HOST,
    Caller,
    Upstream,
)

LATENCY_SECONDS = 0.001
TICK_SECONDS = 0.04
HEARTBEAT_INTERVAL_SECONDS = 1.2


class StoredReports(MutableMapping[str, NodeReport]):
    """Reports of nodes in a store, by host."""

    def __init__(self, store: MemoryPlatform) -> None:
        self._store = store

    def _find(self, host: str) -> StoredObject | None:
        return self._store.objects.get((REPORT_KIND, host))

    def __getitem__(self, host: str) -> NodeReport:
        found = self._find(host)
        if found is None:
            raise KeyError(host)
        return load_report(found.value)

    def __setitem__(self, host: str, report: NodeReport) -> None:
        found = self._find(host)
        version = found.version if found else 0
        value = dump_report(report)
        self._store.apply(
            Put(kind=REPORT_KIND, name=host, value=value, expected=version)
        )

    def __delitem__(self, host: str) -> None:
        found = self._find(host)
        if found is None:
            raise KeyError(host)
        delete = Delete(kind=REPORT_KIND, name=host, expected=found.version)
        self._store.apply(delete)

    def __iter__(self) -> Iterator[str]:
        return iter([name for kind, name in self._store.objects if kind == REPORT_KIND])

    def __len__(self) -> int:
        return len(list(iter(self)))


@define(eq=False)
class SimulatedWriter:
    """Writes the report of one node to the store, by the logic of the programs.

    Attributes
    ----------
    is_running : bool
        Whether a call is under way or will be repeated.
    """

    state: BalancerState | AgentState
    writes: ReportWrites = field(factory=ReportWrites)
    is_running: bool = False


@define(eq=False)
class PacketLoss:
    """Random loss of datagrams to and from one node.

    Each pair of nodes has its own generator, so that the losses do not depend on the
    order in which messages to several nodes are sent.

    Attributes
    ----------
    loss_share : float
        Share of datagrams lost; may be changed while the simulation runs.
    """

    host: str
    loss_share: float
    seed: int
    _generators: dict[tuple[str, str], random.Random] = field(factory=dict)

    def __call__(self, source: str, host: str) -> bool:
        """Return whether the next datagram from one host to another is lost."""
        if self.host not in (source, host) or source == "caller":
            return False
        pair = (source, host)
        if pair not in self._generators:
            self._generators[pair] = random.Random(f"{self.seed} {source} {host}")
        return self._generators[pair].random() < self.loss_share


@define(eq=False)
class Simulation:
    """Nodes, upstreams, callers, the store and the queue of scheduled events.

    Attributes
    ----------
    partitioned_hosts : set of str
        Hosts that can neither send nor receive messages.
    unwatched_hosts : set of str
        Balancers that are not notified of changes in the store and learn of them only
        by reading it.
    hosts_telling_start : set of str
        Hosts whose upstreams tell the start of each boot.
    write_delay : float
        Seconds until a write of a report takes effect.
    lost_answers : int
        Number of next writes of reports that take effect but are not answered.
    vm_starts_ms : dict of str to int
        Unix time of the start of each VM that was restarted; a VM runs from the start.
    clock_offset : float
        Seconds by which the clocks of all VMs are ahead.
    is_lost : callable
        Returns whether the next datagram from a source to a host is lost.
    """

    services: tuple[str, ...]
    now: float = 1000.0
    nodes: dict[str, BalancerState | AgentState] = field(factory=dict)
    upstreams: dict[str, Upstream] = field(factory=dict)
    callers: dict[bytes, Caller] = field(factory=dict)
    balancer_by_flow: dict[bytes, str] = field(factory=dict)
    store: MemoryPlatform = field(factory=MemoryPlatform)
    checkpoint: dict[str, list[OpenFlow]] = field(factory=dict)
    checkpoint_at: float = 0.0
    store_available: bool = True
    write_delay: float = 0.0
    lost_answers: int = 0
    first_heartbeat_delay: float = LATENCY_SECONDS
    partitioned_hosts: set[str] = field(factory=set)
    unwatched_hosts: set[str] = field(factory=set)
    hosts_telling_start: set[str] = field(factory=set)
    vm_starts_ms: dict[str, int] = field(factory=dict)
    clock_offset: float = 0.0
    seeds: tuple[str, ...] = ()
    is_lost: Callable[[str, str], bool] = field(default=lambda source, host: False)
    table: ForwardingTable = field(factory=ForwardingTable)
    log_entries: list[tuple[str, WriteLog]] = field(factory=list)
    message_counts: collections.Counter = field(factory=collections.Counter)
    _writers: dict[str, SimulatedWriter] = field(factory=dict)
    _generator: random.Random = field(factory=lambda: random.Random(0))
    _queue: list = field(factory=list)
    _sequence: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.table = self.make_table(1)

    @property
    def reset_callers(self) -> list[Caller]:
        """Callers whose flow was reset."""
        return [c for c in self.callers.values() if c.outcome == "reset"]

    def count_messages(self, kind: type) -> int:
        """Return the number of messages of a class that nodes have sent."""
        return self.message_counts[kind]

    # Setup

    def make_table(self, version: int, excluded: str = "") -> ForwardingTable:
        """Return a table with one route per service, except an excluded one."""
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
        """Start a balancer and have it read the store."""
        state = BalancerState(
            report=self._make_report(host, Role.BALANCER, zone),
            seeds=self.seeds,
            flow_lifetime=60.0,
            stop_limit=5.0,
        )
        self._add_node(state)
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
        """Start an agent, and its upstream unless the VM has one."""
        state = AgentState(
            report=self._make_report(host, Role.AGENT, zone, service),
            seeds=self.seeds,
            flow_lifetime=60.0,
            stop_limit=5.0,
            knows_all_flows=knows_all_flows,
            started_ms=self._get_unix_ms(),
        )
        writer = self._add_node(state)
        if host not in self.upstreams:
            self.start_upstream(host, service)
        _agent.start_agent(state, self.now)
        if self.store_available:
            self._read_own_report(writer)
        self._schedule(TICK_SECONDS, lambda: self._tick(host, state))
        self._schedule(self.first_heartbeat_delay, lambda: self._repeat_heartbeat(host))
        return state

    def _add_node(self, state: BalancerState | AgentState) -> SimulatedWriter:
        writer = SimulatedWriter(state)
        self.nodes[state.report.host] = state
        self._writers[state.report.host] = writer
        return writer

    def start_upstream(self, host: str, service: str) -> Upstream:
        """Start an upstream with a new boot ID."""
        return self._add_upstream(host, service, f"i-{next(self._sequence)}")

    def restart_upstream(self, host: str, service: str) -> Upstream:
        """Crash an upstream and start it again under its ID."""
        self.crash_upstream(host)
        self.hosts_telling_start.add(host)
        return self._add_upstream(host, service, self.upstreams[host].boot)

    def _add_upstream(self, host: str, service: str, boot: str) -> Upstream:
        tells_start = host in self.hosts_telling_start
        upstream = Upstream(
            host=host,
            port=self._get_port(service),
            boot=boot,
            send=lambda data: self._deliver_to_agent(host, data),
            schedule=self._schedule,
            started_ms=self._get_unix_ms() if tells_start else 0,
        )
        self.upstreams[host] = upstream
        return upstream

    def _get_unix_ms(self) -> int:
        return round((self.now + self.clock_offset) * 1000)

    def _make_report(
        self, host: str, role: Role, zone: str, service: str = ""
    ) -> NodeReport:
        incarnation = next(self._sequence) + 1
        is_agent = role == Role.AGENT
        return NodeReport(
            host=host,
            role=role,
            zone=zone,
            service=service,
            incarnation=incarnation,
            vm_started_ms=self.vm_starts_ms.get(host, 1) if is_agent else 0,
        )

    # Faults and planned operations

    def kill(self, host: str) -> None:
        """Kill a node; its state is lost."""
        self.nodes.pop(host, None)

    def crash_upstream(self, host: str) -> None:
        """Crash an upstream; its port refuses connections."""
        self.upstreams[host].crash()

    def lose_power(self, host: str) -> None:
        """Kill the node on a VM, and the upstream if there is one; the VM restarts."""
        self.kill(host)
        if host in self.upstreams:
            self.crash_upstream(host)
        self.vm_starts_ms[host] = self._get_unix_ms()

    def stop(self, host: str) -> None:
        """Request a graceful stop of a node."""
        self._dispatch(host, StopRequested(now=self.now))

    def drain_upstream(self, host: str) -> bool:
        """Have an upstream say that it is draining; return whether it is confirmed."""
        self.upstreams[host].state = UpstreamState.DRAINING
        return self.send_heartbeat(host)

    def withdraw_upstream(self, host: str) -> None:
        """Have an upstream announce that it is leaving, and end it."""
        self.announce_end(host)
        self.crash_upstream(host)

    def announce_end(self, host: str) -> bool:
        """Have an upstream announce that it ends; return whether that is confirmed."""
        upstream = self.upstreams[host]
        event = UpstreamLeaving(boot=upstream.boot_name, now=self.now)
        self._dispatch(host, event)
        confirmed = self._is_confirmed(host, event)
        if confirmed:
            upstream.handle_confirmation()
        return confirmed

    def _is_confirmed(self, host: str, call: Heartbeat | UpstreamLeaving) -> bool:
        state = self.nodes.get(host)
        return isinstance(state, AgentState) and is_confirmed(state, call)

    def read_reports(self, host: str) -> None:
        """Have a balancer read all reports from the store."""
        if self.store_available and host in self.nodes:
            self._read_changes(host, complete=True)

    def _read_changes(self, host: str, *, complete: bool = False) -> None:
        """Have a balancer read all reports, by default as an incremental update."""
        own = self.store.objects.get((REPORT_KIND, host))
        if own is not None:
            record_version(self._writers[host].writes, own.version)
        reports = tuple(self.stored_reports.values())
        event = ReportsListed(reports=reports, complete=complete, now=self.now)
        self._dispatch(host, event)

    def restore_store(self) -> None:
        """Make the store available and wait until failed writes were retried."""
        self.store_available = True
        self.run(RETRY_BACKOFF.max_delay + LATENCY_SECONDS)
        for host, state in list(self.nodes.items()):
            if isinstance(state, BalancerState):
                self.read_reports(host)

    def publish_table(self, table: ForwardingTable, hosts: tuple[str, ...]) -> None:
        """Store a new table and deliver it to some balancers."""
        self.table = table
        for host in hosts:
            event = TableReceived(table=table, source="store", now=self.now)
            self._dispatch(host, event)

    # Callers

    def add_caller(self, service: str, balancer: str, *, requests: int = 1) -> Caller:
        """Add a caller that opens a flow and sends requests on it."""
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

    def repeat_syn(self, caller: Caller, balancer: str) -> None:
        """Deliver a copy of a caller's SYN through a balancer."""
        own = self.balancer_by_flow[caller.flow]
        self.balancer_by_flow[caller.flow] = balancer
        caller.repeat_syn()
        self.balancer_by_flow[caller.flow] = own

    def find_upstream_host(self, caller: Caller) -> str:
        """Return the host of the live upstream that holds a flow, or ''."""
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
            HEARTBEAT_INTERVAL_SECONDS,
            lambda: self.nodes.get(host) is state and self._repeat_heartbeat(host),
        )

    def send_heartbeat(self, host: str) -> bool:
        """Send an upstream's heartbeat to its agent; return whether it is confirmed."""
        upstream = self.upstreams[host]
        return self._call_agent(upstream, REPEATED_CALL_DELAYS_SECONDS)

    def _call_agent(self, upstream: Upstream, delays: tuple[float, ...]) -> bool:
        if not upstream.alive:
            return False
        upstream.heartbeat_serial += 1
        upstream.told_slots[upstream.heartbeat_serial] = upstream.slots
        confirmed = self.send_heartbeat_of(
            upstream, serial=upstream.heartbeat_serial, state=upstream.state
        )
        if not confirmed and delays:
            delay, *later = delays
            self._schedule(delay, lambda: self._call_agent(upstream, tuple(later)))
        return confirmed

    def send_heartbeat_of(
        self,
        upstream: Upstream,
        *,
        serial: int,
        state: UpstreamState,
        slots: int | None = None,
    ) -> bool:
        """Send a heartbeat of any boot, ended or not, to the agent of its VM.

        Parameters
        ----------
        slots : int, optional
            Number of slots that it tells; that of the upstream by default.
        """
        heartbeat = Heartbeat(
            boot=upstream.boot_name,
            serial=serial,
            state=state,
            slots=slots or upstream.slots,
        )
        received = HeartbeatReceived(
            heartbeat=heartbeat, now=self.now, unix_ms=self._get_unix_ms()
        )
        self._dispatch(upstream.host, received)
        confirmed = self._is_confirmed(upstream.host, heartbeat)
        if confirmed and state == UpstreamState.DRAINING:
            upstream.handle_confirmation()
        if confirmed and serial == upstream.heartbeat_serial:
            upstream.confirmed_slots = heartbeat.slots
        return confirmed

    # Time and effects

    def run(self, seconds: float) -> None:
        """Advance time, running all events scheduled until then."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _number, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def _schedule(self, after: float, action: Callable[[], object]) -> None:
        entry = (self.now + after, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def _deliver_event(self, source: str, host: str, make: Callable[[], Event]) -> None:
        """Deliver an event over the network, unless it is partitioned or lost."""
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
                data = encode_message(message)
                self.message_counts[type(message)] += 1
                self._deliver_event(
                    host, other, lambda: self._decode_message(data, host)
                )
            case SendToUpstream(packet=packet, balancer=balancer):
                data = CODEC.encode_for_upstream(packet, balancer)
                upstream = self.upstreams[host]
                self._schedule(LATENCY_SECONDS, lambda: upstream.receive(data))
            case SendToCaller(packet=packet):
                self._send_to_caller(host, packet.data)
            case ResetFlow(flow=flow, seq=seq):
                self._send_to_caller(host, CODEC.encode_reset(flow, seq))
            case StoreReport(report=report):
                self._request_write(report, removing=False)
            case RemoveReport(report=report):
                self._request_write(report, removing=True)
            case RemovePeerReport(report=report):
                self._remove_peer_report(report)
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

    # The store

    @property
    def stored_reports(self) -> StoredReports:
        """The nodes' reports in the store."""
        return StoredReports(self.store)

    def _request_write(self, report: NodeReport, *, removing: bool) -> None:
        writer = self._writers[report.host]
        request_write(writer.writes, report, removing=removing)
        if not writer.is_running:
            self._write_next(writer)

    def _write_next(self, writer: SimulatedWriter) -> None:
        """Send the next call, which takes effect even if its node is killed."""
        call = plan_call(writer.writes) if self._is_running(writer) else None
        writer.is_running = call is not None
        if call is None:
            return
        if self.write_delay:
            self._schedule(self.write_delay, lambda: self._apply_write(writer, call))
        else:
            self._apply_write(writer, call)

    def _apply_write(self, writer: SimulatedWriter, call: Put | Delete) -> None:
        outcome = self._call_store(call)
        self._schedule(LATENCY_SECONDS, lambda: self._handle_outcome(writer, outcome))

    def _call_store(self, call: Put | Delete) -> Outcome:
        if not self.store_available:
            return Unavailable(reason="down")
        outcome = self.store.apply(call)
        if isinstance(outcome, Stored):
            removed = isinstance(call, Delete)
            self._notify_watchers(call.name, removed=removed)
            if self.lost_answers:
                self.lost_answers -= 1
                return Unavailable(reason="lost", perhaps_applied=True)
        return outcome

    def _handle_outcome(self, writer: SimulatedWriter, outcome: Outcome) -> None:
        if not self._is_running(writer):
            return
        result = record_outcome(writer.writes, outcome, generator=self._generator)
        self._report_earlier_incarnation(writer, result, at_start=False)
        if result.delay:
            self._schedule(result.delay, lambda: self._write_next(writer))
        else:
            self._write_next(writer)

    def _is_running(self, writer: SimulatedWriter) -> bool:
        return self.nodes.get(writer.state.report.host) is writer.state

    def _read_own_report(self, writer: SimulatedWriter) -> None:
        """Read the report of a node's earlier incarnation at its start."""
        key = (REPORT_KIND, writer.state.report.host)
        found = Found(object=self.store.objects.get(key))

        def handle() -> None:
            if self._is_running(writer):
                result = record_read(writer.writes, found)
                self._report_earlier_incarnation(writer, result, at_start=True)

        self._schedule(LATENCY_SECONDS, handle)

    def _report_earlier_incarnation(
        self, writer: SimulatedWriter, result: WriteResult, *, at_start: bool
    ) -> None:
        if result.earlier_value is None:
            return
        report = load_report(result.earlier_value)
        event = EarlierReportRead(report=report, at_start=at_start, now=self.now)
        self._dispatch(writer.state.report.host, event)

    def _remove_peer_report(self, report: NodeReport) -> None:
        """Delete a report unless a newer incarnation of its node has replaced it."""
        stored = self.store.objects.get((REPORT_KIND, report.host))
        if stored and load_report(stored.value).incarnation == report.incarnation:
            version = stored.version
            self._call_store(
                Delete(kind=REPORT_KIND, name=report.host, expected=version)
            )

    def _send_to_caller(self, host: str, data: bytes) -> None:
        if host not in self.partitioned_hosts:
            self._schedule(LATENCY_SECONDS, lambda: self._deliver_to_caller(data))

    def _notify_watchers(self, changed_host: str, *, removed: bool) -> None:
        """Notify the watching balancers of a change of one report in the store."""
        reports = () if removed else (self.stored_reports[changed_host],)
        gone = (changed_host,) if removed else ()
        for host, state in self.nodes.items():
            if isinstance(state, BalancerState) and host not in self.unwatched_hosts:
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

    def _decode_message(self, data: bytes, source: str) -> MessageReceived:
        message = decode_message(data)
        return MessageReceived(message=message, source=source, now=self.now)
