"""Event handlers of a balancer."""

from __future__ import annotations

import immutables
from attrs import evolve, field, frozen

from shedsill._catalogue import LogEvent
from shedsill.coordination.lease import is_held, plan_call, record_outcome
from shedsill.coordination.platform import (
    Changed,
    Listing,
    Machines,
    Stored,
    Unavailable,
)
from shedsill.http3._acceptor import (
    CLUSTER_STATUS_NAME,
    RETRY_DELAY_SECONDS,
    Acceptor,
    find_accepted_configuration,
    handle_listing,
    is_lease_candidate,
    plan_calls,
    record_call_ended,
    record_call_started,
    record_machines,
    schedule_list,
)
from shedsill.http3._configuration import is_newer
from shedsill.http3._effects import CallPlatform, Effect, Exit, Send, WriteLog
from shedsill.http3._events import (
    CallerDatagram,
    ConfigurationOffered,
    FrameReceived,
    PlatformAnswered,
    StopRequested,
    Tick,
)
from shedsill.http3._frames import Heartbeat, ToCaller
from shedsill.http3._keys import KeyRing
from shedsill.http3._node import (
    HeartbeatPayload,
    Node,
    apply_newer_configuration,
    handle_gossip,
    make_probe_answer,
    send_heartbeats,
)
from shedsill.http3._platform_purposes import Purpose
from shedsill.http3._routing import (
    Router,
    list_agents_to_probe,
    prune_agents,
    record_agent_load,
    record_awaited_answer,
    relay_to_caller,
    route_datagram,
)
from shedsill.http3._status import (
    NodeStatus,
    StatusWriter,
    record_status_outcome,
    write_status,
)

PROBE_IDLE_SECONDS = 1.0  # without a frame from an agent


@frozen(kw_only=True)
class BalancerSettings:
    """Settings of a balancer's event handlers.

    Attributes
    ----------
    stop_idle_timeout : float
        Seconds without a datagram from a caller after which a planned stop ends.
    """

    stop_idle_timeout: float = 5.0


@frozen(kw_only=True)
class BalancerState:
    """State of a balancer; it contains no state per flow.

    Attributes
    ----------
    stop_requested_at : float
        Local time at which a planned stop began.
    """

    node: Node
    keys: KeyRing
    acceptor: Acceptor
    settings: BalancerSettings = field(factory=BalancerSettings)
    router: Router = field(factory=Router)
    status: StatusWriter = field(factory=StatusWriter)
    stop_requested_at: float = 0.0


Step = tuple[BalancerState, list[Effect]]


def handle_datagram(state: BalancerState, event: CallerDatagram) -> Step:
    """Route a caller's datagram."""
    router, effects = route_datagram(
        state.router, state.node.configuration, state.keys, event
    )
    if state.node.stopping:
        router = evolve(router, last_datagram_at=event.now)
    if router is not state.router:
        state = evolve(state, router=router)
    return state, effects


def handle_frame(state: BalancerState, event: FrameReceived) -> Step:
    """Handle a frame from an agent or another balancer."""
    frame = event.frame
    node, effects = handle_gossip(state.node, frame, event.source, event.now)
    router = state.router
    match frame:
        case ToCaller():
            router = record_agent_load(router, frame.upstream, frame.load, event.now)
            effects.append(relay_to_caller(frame))
        case Heartbeat():
            if frame.upstream:
                router = record_agent_load(
                    router, frame.upstream, frame.load, event.now
                )
            if frame.probe:
                answer = make_probe_answer(node, HeartbeatPayload())
                effects.append(Send(destination=event.source, frame=answer))
    if node is not state.node or router is not state.router:
        state = evolve(state, node=node, router=router)
    return state, effects


def handle_tick(state: BalancerState, event: Tick) -> Step:
    """Send due heartbeats and probes, renew the lease and plan platform calls."""
    state, effects = _send_due_heartbeats(state, event)
    state, more = _renew_lease(state, event.now)
    effects += more
    acceptor, more = plan_calls(state.acceptor, state.node, event.now)
    effects += more
    state = evolve(state, acceptor=acceptor)
    state, more = _advance_stop(state, event.now)
    return state, effects + more


def _send_due_heartbeats(state: BalancerState, event: Tick) -> Step:
    if event.now < state.node.next_heartbeat_at:
        return state, []
    probed = list_agents_to_probe(
        state.router,
        state.node.configuration,
        event.now,
        idle_seconds=PROBE_IDLE_SECONDS,
        heartbeat_number=state.node.heartbeat_number,
    )
    router = state.router
    for upstream in probed:
        router = record_awaited_answer(router, upstream.number, event.now)
    addresses = [upstream.socket_address for upstream in probed]
    node, effects = send_heartbeats(
        state.node, HeartbeatPayload(), addresses, now=event.now, seed=event.seed
    )
    return evolve(state, node=node, router=router), effects


def _renew_lease(state: BalancerState, now: float) -> Step:
    acceptor = state.acceptor
    if Purpose.LEASE in acceptor.pending_calls or not is_lease_candidate(
        state.node, now
    ):
        return state, []
    lease, call = plan_call(acceptor.lease, now)
    if call is None:
        return state, []
    acceptor = record_call_started(evolve(acceptor, lease=lease), Purpose.LEASE)
    effect = CallPlatform(purpose=Purpose.LEASE, call=call)
    return evolve(state, acceptor=acceptor), [effect]


def handle_configuration(state: BalancerState, event: ConfigurationOffered) -> Step:
    """Apply a newer configuration."""
    node, effects = apply_newer_configuration(state.node, event.configuration)
    state = evolve(state, node=node)
    if not effects:
        return state, effects
    state = evolve(state, router=prune_agents(state.router, node.configuration))
    if node.name in node.configuration.stopping_balancers:
        state, more = handle_stop(state, StopRequested(now=event.now))
        effects += more
    return state, effects


def handle_stop(state: BalancerState, event: StopRequested) -> Step:
    """Begin a planned stop: report not ready, but keep forwarding datagrams."""
    if state.node.stopping:
        return state, []
    state = evolve(
        state,
        node=evolve(state.node, stopping=True),
        stop_requested_at=event.now,
        router=evolve(state.router, last_datagram_at=event.now),
    )
    return state, [WriteLog(event=LogEvent.NODE_STOPPING, fields={})]


def _advance_stop(state: BalancerState, now: float) -> Step:
    if not state.node.stopping:
        return state, []
    if now - state.router.last_datagram_at < state.settings.stop_idle_timeout:
        return state, []
    details = {"address": str(state.node.address)}
    writer, effects = write_status(
        state.status, state.node.name, NodeStatus.STOPPED, details, now
    )
    state = evolve(state, status=writer)
    timeout = state.settings.stop_idle_timeout * 2
    if writer.written == NodeStatus.STOPPED or now > state.stop_requested_at + timeout:
        effects = [*effects, Exit()]
    return state, effects


def handle_platform_answer(state: BalancerState, event: PlatformAnswered) -> Step:
    """Handle the outcome of a platform call by its purpose."""
    if event.purpose == Purpose.NODE:
        return evolve(state, status=record_status_outcome(state.status, event)), []
    failing = isinstance(event.outcome, Unavailable)
    was_failing = state.acceptor.platform_failing
    acceptor = evolve(state.acceptor, platform_failing=failing)
    state, effects = _handle_call_outcome(evolve(state, acceptor=acceptor), event)
    if was_failing and not failing:
        effects = [WriteLog(event=LogEvent.PLATFORM_BACK, fields={}), *effects]
    return state, effects


def _handle_call_outcome(state: BalancerState, event: PlatformAnswered) -> Step:
    acceptor = record_call_ended(state.acceptor, event.purpose)
    now = event.now
    match event.purpose, event.outcome:
        case Purpose.LEASE, outcome:
            return _handle_lease_outcome(state, acceptor, event)
        case Purpose.LIST, Listing() as listing:
            return _handle_listing(state, acceptor, listing, now)
        case Purpose.WATCH, Changed() as changed:
            if changed.names or changed.revision < acceptor.revision:
                acceptor = schedule_list(acceptor, now, delay=0.0)
        case Purpose.MACHINES, Machines() as machines:
            acceptor = record_machines(acceptor, machines, now)
        case Purpose.ACCEPT, outcome:
            return _handle_configuration_write(state, acceptor, event)
        case Purpose.STATUS, outcome:
            acceptor = _record_status_write(acceptor, event)
        case _, outcome:
            acceptor = schedule_list(acceptor, now, delay=RETRY_DELAY_SECONDS)
            fields = {"purpose": event.purpose.value, "reason": str(outcome)}
            log = WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields)
            return evolve(state, acceptor=acceptor), [log]
    return evolve(state, acceptor=acceptor), []


def _handle_listing(
    state: BalancerState, acceptor: Acceptor, listing: Listing, now: float
) -> Step:
    effects: list[Effect] = []
    stored = find_accepted_configuration(listing)
    if stored is not None and is_newer(stored, state.node.configuration):
        offered = ConfigurationOffered(configuration=stored, now=now)
        state, effects = handle_configuration(state, offered)
    acceptor, more = handle_listing(acceptor, state.node, listing, now)
    return evolve(state, acceptor=acceptor), effects + more


def _handle_lease_outcome(
    state: BalancerState, acceptor: Acceptor, event: PlatformAnswered
) -> Step:
    before = is_held(acceptor.lease, event.now)
    lease = record_outcome(acceptor.lease, event.outcome, event.now)
    held = is_held(lease, event.now)
    acceptor = evolve(acceptor, lease=lease)
    effects: list[Effect] = []
    if held and not before:
        acceptor = schedule_list(acceptor, event.now, delay=0.0)
        effects.append(WriteLog(event=LogEvent.LEASE_TAKEN, fields={}))
    elif before and not held:
        effects.append(WriteLog(event=LogEvent.LEASE_LOST, fields={}))
    return evolve(state, acceptor=acceptor), effects


def _handle_configuration_write(
    state: BalancerState, acceptor: Acceptor, event: PlatformAnswered
) -> Step:
    """Apply the configuration if it was stored; otherwise list the resources again."""
    pending = acceptor.pending_configuration
    stored = isinstance(event.outcome, Stored)
    delay = 0.0 if stored else RETRY_DELAY_SECONDS
    acceptor = schedule_list(
        evolve(acceptor, pending_configuration=None), event.now, delay=delay
    )
    state = evolve(state, acceptor=acceptor)
    if not stored or pending is None:
        fields = {"purpose": "accept", "reason": str(event.outcome)}
        return state, [WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields)]
    fields = {"generation": pending.generation}
    log = WriteLog(event=LogEvent.CONFIGURATION_ACCEPTED, fields=fields)
    offered = ConfigurationOffered(configuration=pending, now=event.now)
    state, effects = handle_configuration(state, offered)
    return state, [log, *effects]


def _record_status_write(acceptor: Acceptor, event: PlatformAnswered) -> Acceptor:
    if not isinstance(event.outcome, Stored):
        acceptor = evolve(acceptor, cluster_status_value=immutables.Map())
        return schedule_list(acceptor, event.now, delay=RETRY_DELAY_SECONDS)
    if event.name == CLUSTER_STATUS_NAME:
        return evolve(acceptor, cluster_status_version=event.outcome.version)
    return acceptor
