"""Deterministic simulation of HTTP/3 balancers and agents.

The nodes run their real reducers; effects are messages in an in-memory queue.
There are no sockets and no clock: a test or the fuzzer chooses which message is
delivered, dropped or duplicated next, and by how much time advances.  QUIC is
modeled by its guarantees: each request reaches the agent at most once per flow,
and lost data is retransmitted on demand.  The invariants in
`shedsill.testing.invariants` are checked after every step.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

from attrs import define, evolve, field

from shedsill._addresses import Address
from shedsill.coordination.lease import Lease
from shedsill.coordination.platform import (
    Changed,
    Delete,
    Listing,
    Machine,
    MemoryPlatform,
    Put,
    Unavailable,
    Watch,
)
from shedsill.http3 import _effects as effects
from shedsill.http3 import _events as events
from shedsill.http3._acceptor import Acceptor
from shedsill.http3._admission import Admission, AdmissionSettings
from shedsill.http3._agent_state import AgentSettings, AgentState, get_load
from shedsill.http3._answers import Header, RecordedAnswer, RequestOutcome
from shedsill.http3._balancer import BalancerState
from shedsill.http3._configuration import Configuration
from shedsill.http3._effects import Effect
from shedsill.http3._events import Event
from shedsill.http3._frames import ToCaller
from shedsill.http3._keys import CONNECTION_ID_LENGTH, KeyRing, Route
from shedsill.http3._node import Node
from shedsill.http3._packets import MIN_INITIAL_BYTES, read_packet_header
from shedsill.http3._peers import Handover as HandoverMessage
from shedsill.http3._peers import decode_handover, encode_handover
from shedsill.http3._reducer import reduce
from shedsill.http3._resources import (
    RequestClass,
    RequestKind,
    Resource,
    Service,
    Upstream,
    UpstreamSet,
    encode_spec,
    get_kind,
)
from shedsill.testing.invariants import (
    check_claim_runs,
    check_generations,
    check_slot_limits,
)
from shedsill.testing.simulation_parts import (
    DATAGRAM_TYPES,
    AgentFlow,
    Attempt,
    AttemptAnswer,
    CallerDatagram,
    CallerFlow,
    CallerReply,
    Exchange,
    FakeProcess,
    FakeUpstream,
    FlowAccepted,
    FrameMessage,
    HandoverCall,
    Message,
    PeerCall,
    PendingCancel,
    PlatformMessage,
    PullMessage,
    UpstreamRun,
    ViolationError,
)

KEYS = KeyRing((bytes(range(32)),))
TICK_SECONDS = 0.05
MAX_SETTLE_STEPS = 20_000
MAX_DELIVERIES = 20_000
OUTCOME_HEADER = "shedsill-outcome"
REQUEST_CLASSES = (
    RequestClass(name="claim", method="POST", path="/claim", deadline=5.0),
    RequestClass(name="read", method="GET", path="/read", repeatable=True),
    RequestClass(name="stream", method="GET", path="/stream", kind=RequestKind.STREAM),
)
RECOVERY_ROUNDS = 8
RECOVERY_STEP_SECONDS = 0.25
RECOVERY_SECONDS = 32.0


@define(eq=False)
class Simulation:
    """Nodes, upstreams, callers, the platform and the messages in flight.

    Attributes
    ----------
    messages : list of Message
        Messages in flight; any of them may be delivered next.
    platform_down, lost_answer_count, stale_list_count : bool, int, int
        Whether the platform is unavailable, the number of writes whose answer is
        lost, and the number of lists answered from before the last write.
    cancel_delay : float
        Seconds until an upstream notices that a connection was closed.
    partitioned_nodes : set of str
        Nodes that run but can neither send nor receive messages.
    """

    seed: int = 1
    now: float = 100.0
    services: dict[str, int] = field(factory=dict)
    messages: list[Message] = field(factory=list)
    nodes: dict[str, FakeProcess] = field(factory=dict)
    upstreams: dict[str, FakeUpstream] = field(factory=dict)
    platform: MemoryPlatform = field(factory=MemoryPlatform)
    platform_down: bool = False
    lost_answer_count: int = 0
    stale_list_count: int = 0
    cancel_delay: float = 0.1
    partitioned_nodes: set[str] = field(factory=set)
    pending_watches: list[PlatformMessage] = field(factory=list)
    flows: list[CallerFlow] = field(factory=list)
    attempts: list[Attempt] = field(factory=list)
    payloads: list[FlowAccepted | AttemptAnswer] = field(factory=list)
    accepted: dict[int, Configuration] = field(factory=dict)
    generator: random.Random = field(factory=random.Random)
    _stale_listing: Listing | None = None
    _addresses: dict[str, Address] = field(factory=dict)
    _sequence: itertools.count = field(factory=itertools.count)
    _incarnations: itertools.count = field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        self.generator = random.Random(self.seed)

    # Setup

    def add_service(self, name: str, upstreams: Iterable[str], *, slots: int) -> None:
        """Add a service with its upstreams and agents, and store its resources."""
        number = len(self.services) + 1
        self.services[name] = number
        address = f"10.0.0.{number}:443"
        self.apply(
            Service(
                name=name,
                address=address,
                slots=slots,
                queue=6,
                classes=REQUEST_CLASSES,
            )
        )
        members = tuple(
            Upstream(name=upstream, address=str(self._make_address(upstream)))
            for upstream in upstreams
        )
        for member in members:
            self.upstreams[member.name] = FakeUpstream(
                name=member.name, service=name, slots=slots
            )
            self.start_agent(member.name)
        self.apply(UpstreamSet(name=name, service=name, upstreams=members))

    def _make_address(self, name: str) -> Address:
        fresh = Address("10.1.0.1", 1000 + len(self._addresses))
        return self._addresses.setdefault(name, fresh)

    def start_balancer(self, name: str) -> None:
        """Start or restart a balancer."""
        address = self._make_address(name)
        node = Node(
            name=name,
            address=address,
            balancer=True,
            incarnation=next(self._incarnations),
            seed_addresses=self._list_balancer_addresses(),
        )
        lease = Lease(kind="lease", name="acceptor", node=name, time_to_live=3.0)
        state = BalancerState(node=node, keys=KEYS, acceptor=Acceptor(lease=lease))
        self.nodes[name] = FakeProcess(name=name, address=address, state=state)

    def start_agent(self, name: str) -> None:
        """Start or restart the agent of an upstream."""
        upstream = self.upstreams[name]
        node = Node(
            name=name,
            address=self._make_address(name),
            balancer=False,
            incarnation=next(self._incarnations) * 100,
            seed_addresses=self._list_balancer_addresses(),
        )
        state = AgentState(
            node=node,
            keys=KEYS,
            upstream_name=name,
            service_name=upstream.service,
            settings=AgentSettings(slow_start=0.0),
            admission=Admission(settings=AdmissionSettings(idle_span=0.3)),
        )
        self.nodes[name] = FakeProcess(name=name, address=node.address, state=state)

    def take_over_address(self, name: str, service: str, address: Address) -> None:
        """Start an agent of another service at the address of an agent that exited."""
        self._addresses[name] = address
        slots = next(u.slots for u in self.upstreams.values() if u.service == service)
        self.upstreams[name] = FakeUpstream(name=name, service=service, slots=slots)
        self.nodes = {
            known: process
            for known, process in self.nodes.items()
            if process.address != address
        }
        self.start_agent(name)

    def _list_balancer_addresses(self) -> tuple[Address, ...]:
        return tuple(
            process.address
            for process in self.nodes.values()
            if isinstance(process.state, BalancerState)
        )

    def list_balancers(self) -> list[FakeProcess]:
        """Return the running balancers."""
        return [
            process
            for process in self.nodes.values()
            if isinstance(process.state, BalancerState) and not process.has_exited
        ]

    def apply(self, resource: Resource) -> None:
        """Create or overwrite a resource, as an operator would."""
        kind, name = get_kind(resource), resource.name
        current = self.platform.objects.get((kind, name))
        version = current.version if current else 0
        value = {"spec": encode_spec(resource)}
        self.platform.apply(Put(kind=kind, name=name, value=value, expected=version))

    def delete(self, kind: str, name: str) -> None:
        """Delete a resource as an operator would."""
        current = self.platform.objects.get((kind, name))
        if current is not None:
            self.platform.apply(Delete(kind=kind, name=name, expected=current.version))

    def put_machine(self, name: str, *, leaving: bool) -> None:
        """Add or update a VM in the platform's list."""
        others = tuple(m for m in self.platform.machines if m.name != name)
        self.platform.machines = (*others, Machine(name=name, leaving=leaving))

    # Callers

    def open_flow(self, service: str) -> CallerFlow:
        """Open a caller's flow by sending its Initial packet."""
        number = len(self.flows)
        flow = CallerFlow(
            number=number,
            service=service,
            caller=Address("10.9.0.1", number + 1),
            first_cid=self.generator.randbytes(8),
        )
        self.flows.append(flow)
        self._send_initial(flow)
        return flow

    def _send_initial(self, flow: CallerFlow) -> None:
        header = bytes([0xC0, 0, 0, 0, 1, 8]) + flow.first_cid + bytes([0, 0])
        length = MIN_INITIAL_BYTES - len(header) - 2
        datagram = header + (0x4000 | length).to_bytes(2, "big")
        datagram += flow.number.to_bytes(4, "big") + bytes(length - 4)
        self.messages.append(CallerDatagram(flow, datagram))

    def send_request(
        self, flow: CallerFlow, work: str, *, path: str = "/claim", key: str = ""
    ) -> Attempt:
        """Send a request on an open flow."""
        attempt = Attempt(
            number=len(self.attempts),
            flow=flow,
            job=work,
            path=path,
            key=key,
            sent_position=next(self._sequence),
        )
        self.attempts.append(attempt)
        flow.attempts.append(attempt)
        flow.queued_attempts.append(attempt)
        self._send_attempt(attempt)
        return attempt

    def close_flow(self, flow: CallerFlow) -> None:
        """Close a caller's connection and cancel its pending requests."""
        flow.is_broken = True
        flow.queued_attempts.clear()
        for process in self.nodes.values():
            closing = [f for f in process.flows.values() if f.caller_flow is flow]
            for agent_flow in closing:
                self._close_agent_flow(process, agent_flow)

    def _close_agent_flow(self, process: FakeProcess, flow: AgentFlow) -> None:
        del process.flows[flow.number]
        for exchange in list(process.exchanges.values()):
            if exchange.flow is flow:
                cancelled = events.RequestCancelled(
                    request=exchange.number, deliberate=False, now=self.now
                )
                self.dispatch(process.name, cancelled)
        closed = events.FlowClosed(flow=flow.number, now=self.now)
        self.dispatch(process.name, closed)

    def cancel_request(self, attempt: Attempt) -> None:
        """Cancel a request; the agent is notified at once."""
        attempt.cancelled = True
        if attempt in attempt.flow.queued_attempts:
            attempt.flow.queued_attempts.remove(attempt)
            attempt.arrived = True
        for process in self.nodes.values():
            for exchange in list(process.exchanges.values()):
                if exchange.attempt is attempt and exchange.flow is not None:
                    cancelled = events.RequestCancelled(
                        request=exchange.number, deliberate=True, now=self.now
                    )
                    self.dispatch(process.name, cancelled)
                    process.exchanges.pop(exchange.number, None)

    def _send_attempt(self, attempt: Attempt) -> None:
        flow = attempt.flow
        datagram = bytes([0x40]) + flow.cid + attempt.number.to_bytes(4, "big")
        self.messages.append(CallerDatagram(flow, datagram + bytes(16)))

    def retransmit(self) -> None:
        """Retransmit all undelivered data in both directions."""
        for flow in self.flows:
            if not flow.cid and not flow.is_broken:
                self._send_initial(flow)
            for attempt in flow.queued_attempts:
                if flow.cid and not flow.is_broken:
                    self._send_attempt(attempt)
        for process in self.nodes.values():
            if process.is_suspended or process.has_exited:
                continue
            for flow in process.flows.values():
                for payload in flow.unacknowledged:
                    self._send_payload(process, flow, payload)

    # Messages

    def deliver_message(self, index: int = 0) -> None:
        """Deliver one message and check the invariants."""
        if self._is_partitioned(self.messages[index]):
            self.drop_message(index)
            return
        message = self.messages.pop(index)
        match message:
            case CallerDatagram():
                self._deliver_to_balancer(message)
            case FrameMessage(source=source, destination=destination, frame=frame):
                event = events.FrameReceived(frame=frame, source=source, now=self.now)
                self._dispatch_at(destination, event)
            case CallerReply(payload=payload):
                self._deliver_to_caller(self.payloads[payload])
            case PlatformMessage():
                self._call_platform(message)
            case PullMessage():
                self._answer_pull(message)
            case PeerCall():
                self._deliver_peer_call(message)
            case HandoverCall():
                self._deliver_handover(message)
        self.check_invariants()

    def _is_partitioned(self, message: Message) -> bool:
        addresses = {self.nodes[name].address for name in self.partitioned_nodes}
        match message:
            case FrameMessage(source=source, destination=destination):
                return source in addresses or destination in addresses
            case PlatformMessage(node=node):
                return node in self.partitioned_nodes
            case PullMessage() | PeerCall() | HandoverCall():
                return (
                    message.node in self.partitioned_nodes or message.peer in addresses
                )
            case _:
                return False

    def drop_message(self, index: int) -> None:
        """Drop one message and report the failure as its transport would."""
        message = self.messages.pop(index)
        match message:
            case PlatformMessage():
                unavailable = Unavailable(reason="lost", perhaps_applied=True)
                self._answer_platform(message, unavailable)
            case PullMessage(node=node, peer=peer):
                self.dispatch(node, events.PullFailed(peer=peer))
            case PeerCall():
                self._fail_peer_call(message, not_accepted=False)
            case HandoverCall(node=node):
                done = events.HandoverDone(accepted=False, now=self.now)
                self.dispatch(node, done)
        self.check_invariants()

    def duplicate_message(self, index: int) -> None:
        """Duplicate a datagram; other messages use streams, which cannot duplicate."""
        message = self.messages[index]
        if isinstance(message, DATAGRAM_TYPES):
            self.messages.append(message)

    def settle(self, seconds: float = 0.0, *, step: float = TICK_SECONDS) -> None:
        """Deliver all messages while time advances by `seconds` in small steps."""
        end = self.now + seconds
        for _ in range(MAX_SETTLE_STEPS):
            self._deliver_all()
            if self.now >= end:
                return
            self.advance(step)
        raise ViolationError(
            f"time did not reach {end} within {MAX_SETTLE_STEPS} steps"
        )

    def _deliver_all(self) -> None:
        """Deliver until no message is in flight; raise if that never happens."""
        for _ in range(MAX_DELIVERIES):
            if not self.messages:
                return
            self.deliver_message(0)
        kinds = sorted({type(message).__name__ for message in self.messages})
        raise ViolationError(
            f"messages remain after {MAX_DELIVERIES} deliveries: "
            f"{kinds} {self.messages[:4]}"
        )

    def advance(self, seconds: float) -> None:
        """Advance time; upstreams notice closed connections and nodes tick."""
        self.now += seconds
        for upstream in self.upstreams.values():
            due = [c.run for c in upstream.pending_cancels if c.due_at <= self.now]
            upstream.pending_cancels = [
                c for c in upstream.pending_cancels if c.due_at > self.now
            ]
            for run in due:
                run.cancelled = run.is_running
                run.is_running = False
        pending, self.pending_watches = self.pending_watches, []
        self.messages += pending
        for process in list(self.nodes.values()):
            self._read_load(process)
            seed = self.generator.getrandbits(16)
            self._tick(process, events.Tick(now=self.now, seed=seed))
        self.check_invariants()

    def _tick(self, process: FakeProcess, tick: events.Tick) -> None:
        if not process.is_suspended:
            self.dispatch(process.name, tick)

    def _read_load(self, process: FakeProcess) -> None:
        upstream = self.upstreams.get(process.name)
        if upstream is None or process.is_suspended:
            return
        busy = 0 if upstream.reports_idle else len(upstream.list_running())
        self.dispatch(process.name, events.UpstreamLoadRead(busy=busy, now=self.now))

    def dispatch(self, name: str, event: Event) -> None:
        """Deliver an event to a node, or queue it while the node is frozen."""
        process = self.nodes.get(name)
        if process is None or process.has_exited:
            return
        if process.is_suspended:
            process.inbox.append(event)
            return
        process.state, emitted = reduce(process.state, event)
        generation = process.state.node.configuration.generation
        if generation < process.highest_generation:
            raise ViolationError(
                f"{name} went from generation {process.highest_generation} "
                f"back to {generation}"
            )
        process.highest_generation = generation
        for effect in emitted:
            self._execute(process, effect)

    def _dispatch_at(self, address: Address, event: Event) -> None:
        for process in self.nodes.values():
            if process.address == address:
                self.dispatch(process.name, event)
                return

    # Process faults

    def kill(self, name: str) -> None:
        """Kill a process; its connections break."""
        process = self.nodes[name]
        process.has_exited = True
        upstream = self.upstreams.get(name)
        if upstream is not None:
            self._cancel_runs(upstream, [r for r in upstream.journal if r.is_running])
        for flow in process.flows.values():
            flow.caller_flow.is_broken = True
        for exchange in process.exchanges.values():
            if exchange.peer is not None:
                self._fail_peer_call(exchange.peer, not_accepted=False)
        process.exchanges.clear()

    def _cancel_runs(self, upstream: FakeUpstream, runs: list[UpstreamRun]) -> None:
        due = self.now + self.cancel_delay
        upstream.pending_cancels += [PendingCancel(run, due) for run in runs]

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.nodes[name].is_suspended = True

    def thaw(self, name: str) -> None:
        """Resume a process and deliver the events it missed, at the current time."""
        process = self.nodes[name]
        process.is_suspended = False
        inbox, process.inbox = process.inbox, []
        for event in inbox:
            if hasattr(event, "now"):
                event = evolve(event, now=self.now)
            self.dispatch(name, event)

    def stop(self, name: str) -> None:
        """Request a graceful stop of a process."""
        self.dispatch(name, events.StopRequested(now=self.now))

    # Upstreams

    def finish_run(
        self, run: UpstreamRun, *, answered: bool = True, shed: bool = False
    ) -> None:
        """Finish a run, with a complete answer or a failure."""
        run.is_running = False
        run.shed = shed
        process = self.nodes.get(run.agent)
        if process is None or process.state.node.incarnation != run.incarnation:
            return
        seed = self.generator.getrandbits(16)
        if answered:
            body = f"done {run.attempt.job}".encode()
            answer = RecordedAnswer(status=503 if shed else 200, headers=(), body=body)
            event: Event = events.UpstreamAnswered(
                request=run.request, answer=answer, shed=shed, now=self.now, seed=seed
            )
        else:
            event = events.UpstreamFailed(
                request=run.request,
                sent=True,
                reason="connection closed",
                now=self.now,
                seed=seed,
            )
        self.dispatch(run.agent, event)

    def list_running(self) -> list[UpstreamRun]:
        """Return all runs in progress."""
        return [
            run
            for upstream in self.upstreams.values()
            for run in upstream.journal
            if run.is_running
        ]

    # Effects

    def _execute(self, process: FakeProcess, effect: Effect) -> None:
        match effect:
            case effects.Send(destination=destination, frame=frame):
                message = FrameMessage(process.address, destination, frame)
                self.messages.append(message)
            case effects.SendToCaller(datagram=datagram):
                payload = int.from_bytes(datagram[:4], "big")
                self.messages.append(CallerReply(payload))
            case effects.Deliver():
                self._deliver_to_agent(process, effect)
            case effects.MoveReplyPath(old=old, new=new):
                for flow in process.flows.values():
                    if flow.reply_to == old:
                        flow.reply_to = new
            case effects.CallPlatform(purpose=purpose, call=call, name=name):
                self.messages.append(
                    PlatformMessage(
                        process.name,
                        process.state.node.incarnation,
                        purpose,
                        call,
                        name,
                        self.now,
                    )
                )
            case effects.PullConfiguration(peer=peer):
                self.messages.append(PullMessage(process.name, peer))
            case effects.SendHandover(
                peer=peer, upstream=upstream, transfers=transfers
            ):
                call = HandoverCall(process.name, peer, upstream, transfers)
                self.messages.append(call)
            case effects.Exit():
                self._exit_process(process)
            case _:
                self._execute_for_request(process, effect)

    def _exit_process(self, process: FakeProcess) -> None:
        if any(flow.caller_flow.attempts for flow in process.flows.values()):
            raise ViolationError(f"{process.name} exited with open flows")
        process.has_exited = True

    def _execute_for_request(self, process: FakeProcess, effect: Effect) -> None:
        exchange = process.exchanges.get(getattr(effect, "request", -1))
        if exchange is None:
            return
        match effect:
            case effects.SendUpstreamRequest():
                self._start_run(process, exchange)
            case effects.AbortUpstreamRequest(request=request):
                upstream = self.upstreams[process.name]
                incarnation = process.state.node.incarnation
                aborted = [
                    run
                    for run in upstream.journal
                    if (run.request, run.incarnation) == (request, incarnation)
                    and run.is_running
                ]
                self._cancel_runs(upstream, aborted)
            case effects.SendAnswer(answer=answer, ticket=ticket, outcome=outcome):
                self._send_answer(process, exchange, outcome, answer.body, ticket, 0)
            case effects.RefuseRequest(
                outcome=outcome, ticket=ticket, retry_after=pause
            ):
                self._send_answer(process, exchange, outcome, b"", ticket, pause)
            case effects.ResetAnswerStream():
                process.exchanges.pop(exchange.number, None)
            case effects.ForwardRequest(peer=peer):
                call = PeerCall(
                    process.name,
                    exchange.number,
                    process.state.node.incarnation,
                    peer,
                    exchange.attempt,
                )
                self.messages.append(call)
            case effects.DeclineForwardedRequest():
                process.exchanges.pop(exchange.number, None)
                assert exchange.peer is not None
                self._fail_peer_call(exchange.peer, not_accepted=True)

    def _start_run(self, process: FakeProcess, exchange: Exchange) -> None:
        upstream = self.upstreams[process.name]
        attempt = exchange.attempt
        run = UpstreamRun(
            attempt=attempt,
            agent=process.name,
            incarnation=process.state.node.incarnation,
            request=exchange.number,
            started_at=self.now,
        )
        upstream.journal.append(run)
        if attempt.flow.service != upstream.service:
            raise ViolationError(
                f"{attempt.job} for {attempt.flow.service} ran on an upstream of "
                f"{upstream.service}"
            )

    def _send_answer(
        self,
        process: FakeProcess,
        exchange: Exchange,
        outcome: RequestOutcome,
        body: bytes,
        ticket: str,
        retry_after: int,
    ) -> None:
        process.exchanges.pop(exchange.number, None)
        answered = AttemptAnswer(exchange.attempt, outcome, body, ticket, retry_after)
        if exchange.peer is not None:
            exchange.peer.answer = answered
            exchange.peer.is_reply = True
            self.messages.append(exchange.peer)
            return
        assert exchange.flow is not None
        exchange.flow.unacknowledged.append(answered)
        self._send_payload(process, exchange.flow, answered)

    def _send_payload(
        self,
        process: FakeProcess,
        flow: AgentFlow,
        payload: FlowAccepted | AttemptAnswer,
    ) -> None:
        assert isinstance(process.state, AgentState)
        self.payloads.append(payload)
        frame = ToCaller(
            generation=process.state.node.configuration.generation,
            service=process.state.service,
            upstream=process.state.upstream,
            caller=flow.caller_flow.caller,
            load=get_load(process.state),
            datagram=(len(self.payloads) - 1).to_bytes(4, "big"),
        )
        self.messages.append(FrameMessage(process.address, flow.reply_to, frame))

    # Delivery

    def _deliver_to_balancer(self, message: CallerDatagram) -> None:
        live = [process for process in self.list_balancers()]
        if not live:
            return
        process = self.generator.choice(live)
        if process.name in self.partitioned_nodes:
            return
        assert isinstance(process.state, BalancerState)
        numbers = {
            accepted.name: accepted.number
            for accepted in process.state.node.configuration.services
        }
        number = numbers.get(message.flow.service)
        if number is None:
            return
        event = events.CallerDatagram(
            service=number,
            caller=message.flow.caller,
            datagram=message.datagram,
            now=self.now,
        )
        self.dispatch(process.name, event)

    def _deliver_to_agent(self, process: FakeProcess, effect: effects.Deliver) -> None:
        packet = read_packet_header(effect.datagram)
        assert packet is not None
        self._check_route(process, packet.cid)
        for flow in process.flows.values():
            if packet.cid in (flow.cid, flow.caller_flow.first_cid):
                flow.reply_to = effect.reply_to
                self._receive_packet(process, flow, effect.datagram, packet.cid)
                return
        if packet.cid[0:1] and len(packet.cid) == CONNECTION_ID_LENGTH:
            return
        self._open_agent_flow(process, effect, packet.cid)

    def _check_route(self, process: FakeProcess, cid: bytes) -> None:
        """Check that a packet reached the service and incarnation in its ID."""
        assert isinstance(process.state, AgentState)
        state = process.state
        for route in KEYS.decode_connection_id(cid):
            foreign = route.service != state.service
            if foreign or route.incarnation != state.incarnation:
                raise ViolationError(f"{process.name} received a packet for {route}")

    def _open_agent_flow(
        self, process: FakeProcess, effect: effects.Deliver, first_cid: bytes
    ) -> None:
        assert isinstance(process.state, AgentState)
        state = process.state
        caller_flow = next(f for f in self.flows if f.first_cid == first_cid)
        cid = KEYS.make_connection_id(
            Route(state.upstream, state.service, state.incarnation),
            epoch=state.node.configuration.key_epoch,
            nonce=self.generator.randbytes(6),
        )
        flow = AgentFlow(
            number=next(process.sequence),
            caller_flow=caller_flow,
            cid=cid,
            reply_to=effect.reply_to,
        )
        process.flows[flow.number] = flow
        self.dispatch(process.name, events.FlowOpened(flow=flow.number, now=self.now))
        connected = FlowAccepted(caller_flow, cid, process.name)
        flow.unacknowledged.append(connected)
        self._send_payload(process, flow, connected)

    def _receive_packet(
        self, process: FakeProcess, flow: AgentFlow, datagram: bytes, cid: bytes
    ) -> None:
        if cid != flow.cid:
            return
        start = 1 + CONNECTION_ID_LENGTH
        number = int.from_bytes(datagram[start : start + 4], "big")
        attempt = self.attempts[number]
        if attempt.arrived:
            return
        attempt.arrived = True
        if attempt in attempt.flow.queued_attempts:
            attempt.flow.queued_attempts.remove(attempt)
        exchange = Exchange(next(process.sequence), attempt, flow=flow)
        self._dispatch_request(process, exchange, flow.number, number)

    def _dispatch_request(
        self, process: FakeProcess, exchange: Exchange, flow: int, stream: int
    ) -> None:
        attempt = exchange.attempt
        process.exchanges[exchange.number] = exchange
        method = "POST" if attempt.path == "/claim" else "GET"
        self.dispatch(
            process.name,
            events.RequestArrived(
                request=exchange.number,
                flow=flow,
                stream=stream,
                method=method,
                path=attempt.path,
                key=attempt.key,
                fingerprint=attempt.job.encode(),
                body_complete=True,
                now=self.now,
                seed=self.generator.getrandbits(16),
            ),
        )

    def _deliver_to_caller(self, payload: FlowAccepted | AttemptAnswer) -> None:
        match payload:
            case FlowAccepted(flow=flow, cid=cid, agent=agent):
                if flow.cid not in (b"", cid):
                    return
                flow.cid = cid
                flow.agent = agent
            case AttemptAnswer(attempt=attempt):
                if attempt.outcome is None:
                    self._receive_answer(payload)
        for process in self.nodes.values():
            for agent_flow in process.flows.values():
                if payload in agent_flow.unacknowledged:
                    agent_flow.unacknowledged.remove(payload)

    def _receive_answer(self, payload: AttemptAnswer) -> None:
        attempt = payload.attempt
        attempt.outcome = payload.outcome
        attempt.answered_position = next(self._sequence)
        attempt.body = payload.body
        attempt.ticket = payload.ticket
        attempt.retry_after = payload.retry_after
        if payload.outcome == RequestOutcome.DONE:
            expected = f"done {attempt.job}".encode()
            if payload.body != expected:
                raise ViolationError(
                    f"{attempt.job} was answered with {payload.body!r}, "
                    f"expected {expected!r}"
                )

    def _call_platform(self, message: PlatformMessage) -> None:
        if self.platform_down:
            self._answer_platform(message, Unavailable(reason="down"))
            return
        writes = isinstance(message.call, (Put, Delete))
        if writes:
            listed = tuple(self.platform.objects.values())
            self._stale_listing = Listing(
                objects=listed, revision=self.platform.revision
            )
        outcome = self.platform.apply(message.call)
        if isinstance(message.call, Watch) and isinstance(outcome, Changed):
            expired = self.now - message.sent_at > message.call.patience
            if not outcome.names and not expired:
                self.pending_watches.append(message)
                return
        if (
            isinstance(outcome, Listing)
            and self.stale_list_count
            and self._stale_listing
        ):
            self.stale_list_count -= 1
            outcome = self._stale_listing
        if writes and self.lost_answer_count:
            self.lost_answer_count -= 1
            outcome = Unavailable(reason="answer lost", perhaps_applied=True)
        self._answer_platform(message, outcome)

    def _answer_platform(self, message: PlatformMessage, outcome) -> None:
        process = self.nodes.get(message.node)
        if process is None or process.has_exited:
            return
        self.dispatch(
            message.node,
            events.PlatformAnswered(
                purpose=message.purpose,
                outcome=outcome,
                now=self.now,
                name=message.name,
            ),
        )

    def _answer_pull(self, message: PullMessage) -> None:
        for process in self.nodes.values():
            reachable = not (process.has_exited or process.is_suspended)
            if process.address == message.peer and reachable:
                offered = events.ConfigurationOffered(
                    configuration=process.state.node.configuration, now=self.now
                )
                self.dispatch(message.node, offered)
                return
        self.dispatch(message.node, events.PullFailed(peer=message.peer))

    def _deliver_peer_call(self, message: PeerCall) -> None:
        if message.is_reply:
            self._return_peer_call(message)
            return
        for process in self.nodes.values():
            if process.address == message.peer and not process.has_exited:
                exchange = Exchange(
                    next(process.sequence), message.attempt, peer=message
                )
                self._dispatch_request(process, exchange, -1, -1)
                return
        self._fail_peer_call(message, not_accepted=True)

    def _return_peer_call(self, message: PeerCall) -> None:
        answer = message.answer
        assert answer is not None
        headers = (Header(name=OUTCOME_HEADER, value=answer.outcome.value),)
        recorded = RecordedAnswer(status=200, headers=headers, body=answer.body)
        if self._is_same_process(message):
            self.dispatch(
                message.node,
                events.PeerAnswered(
                    request=message.request,
                    answer=recorded,
                    outcome=answer.outcome,
                    now=self.now,
                ),
            )

    def _fail_peer_call(self, message: PeerCall, *, not_accepted: bool) -> None:
        if not self._is_same_process(message):
            return
        self.dispatch(
            message.node,
            events.PeerFailed(
                request=message.request,
                not_accepted=not_accepted,
                now=self.now,
                seed=self.generator.getrandbits(16),
            ),
        )

    def _is_same_process(self, message: PeerCall) -> bool:
        process = self.nodes.get(message.node)
        return (
            process is not None
            and not process.has_exited
            and message.request in process.exchanges
            and process.state.node.incarnation == message.incarnation
        )

    def _deliver_handover(self, message: HandoverCall) -> None:
        if message.is_reply:
            done = events.HandoverDone(accepted=True, now=self.now)
            self.dispatch(message.node, done)
            return
        handover = HandoverMessage(
            upstream=message.upstream, transfers=message.transfers
        )
        decoded = decode_handover(KEYS, encode_handover(KEYS, handover))
        for process in self.nodes.values():
            alive = not (process.has_exited or process.is_suspended)
            if process.address == message.peer and alive:
                received = events.HandoverReceived(
                    transfers=decoded.transfers, now=self.now
                )
                self.dispatch(process.name, received)
                message.is_reply = True
                self.messages.append(message)
                return
        self.dispatch(message.node, events.HandoverDone(accepted=False, now=self.now))

    def check_invariants(self) -> None:
        """Raise `OracleError` if an invariant is violated."""
        check_slot_limits(self.upstreams.values())
        check_claim_runs(self.upstreams.values(), self.attempts)
        check_generations(self.nodes.values(), self.accepted)

    def clear_faults(self) -> None:
        """Clear all faults, restart exited processes and finish all requests."""
        self.platform_down = False
        self.lost_answer_count = self.stale_list_count = 0
        self.platform.machines = ()
        self.partitioned_nodes.clear()
        for name, process in list(self.nodes.items()):
            if process.is_suspended:
                self.thaw(name)
            if not process.has_exited:
                continue
            if isinstance(process.state, BalancerState):
                self.start_balancer(name)
            else:
                self.start_agent(name)
        for _ in range(RECOVERY_ROUNDS):
            self.retransmit()
            self.settle(1.0, step=RECOVERY_STEP_SECONDS)
            for run in self.list_running():
                if run.attempt.path != "/stream":
                    self.finish_run(run)
        self.settle(RECOVERY_SECONDS, step=RECOVERY_STEP_SECONDS)
        for _ in range(2):
            self.retransmit()
            self.settle(0.5)

    def check_final_state(self) -> None:
        """Check that every request was answered and that all nodes agree."""
        for attempt in self.attempts:
            waiting = attempt.outcome is None and not attempt.cancelled
            waiting = waiting and attempt.path != "/stream"
            if waiting and not attempt.flow.is_broken:
                raise ViolationError(f"{attempt.job} was never answered")
        generations = {
            process.state.node.configuration.generation
            for process in self.nodes.values()
            if not process.has_exited
        }
        if len(generations) != 1:
            raise ViolationError(f"nodes disagree on the generation: {generations}")
