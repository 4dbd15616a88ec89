"""The balancer's share of the reducer."""

from __future__ import annotations

import immutables
from attrs import evolve, field, frozen

from shedsill._catalogue import LogEvent
from shedsill.coordination.lease import is_held, record_outcome, plan_call
from shedsill.coordination.platform import (
    Changed,
    Listing,
    Machines,
    Stored,
    Unavailable,
)
from shedsill.http3._acceptance import (
    CLUSTER_STATUS,
    RETRY_PAUSE,
    Acceptor,
    end_call,
    is_candidate,
    list_again,
    plan_calls,
    read_accepted,
    start_call,
    take_listing,
    take_machines,
)
from shedsill.http3._configuration import is_newer
from shedsill.http3._effects import CallPlatform, Effect, Exit, WriteLog, Send
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
    Node,
    Vitals,
    hear_frame,
    make_answer,
    offer_configuration,
    send_heartbeats,
)
from shedsill.http3._purposes import Purpose
from shedsill.http3._routing import (
    Router,
    find_quiet,
    note_answer,
    note_question,
    prune_links,
    relay_answer,
    route_datagram,
)
from shedsill.http3._status import (
    NodeStatus,
    StatusWriter,
    take_status_outcome,
    write_status,
)

PROBE_IDLE = 1.0


@frozen(kw_only=True)
class BalancerSettings:
    """Settings of a balancer's decisions.

    Attributes
    ----------
    quiet : float
        Seconds without a caller's datagram after which a planned stop ends.
    """

    quiet: float = 5.0


@frozen(kw_only=True)
class BalancerState:
    """Everything a balancer knows; nothing in it belongs to one flow."""

    node: Node
    keys: KeyRing
    acceptor: Acceptor
    settings: BalancerSettings = field(factory=BalancerSettings)
    router: Router = field(factory=Router)
    status: StatusWriter = field(factory=StatusWriter)
    stop_since: float = 0.0


Step = tuple[BalancerState, list[Effect]]


def take_datagram(state: BalancerState, event: CallerDatagram) -> Step:
    """Route a caller's datagram."""
    router, effects = route_datagram(
        state.router, state.node.configuration, state.keys, event
    )
    if state.node.stopping:
        router = evolve(router, last_datagram=event.now)
    if router is not state.router:
        state = evolve(state, router=router)
    return state, effects


def take_any_frame(state: BalancerState, event: FrameReceived) -> Step:
    """Take in a frame from an agent or another balancer."""
    frame = event.frame
    node, effects = hear_frame(state.node, frame, event.source, event.now)
    router = state.router
    match frame:
        case ToCaller():
            router = note_answer(router, frame.upstream, frame.load, event.now)
            effects.append(relay_answer(frame))
        case Heartbeat():
            if frame.upstream:
                router = note_answer(router, frame.upstream, frame.load, event.now)
            if frame.probe:
                answer = make_answer(node, Vitals())
                effects.append(Send(destination=event.source, frame=answer))
    if node is not state.node or router is not state.router:
        state = evolve(state, node=node, router=router)
    return state, effects


def take_tick(state: BalancerState, event: Tick) -> Step:
    """Do what time brings: heartbeats, probes, the lease and the acceptance."""
    state, effects = _beat(state, event)
    state, more = _hold_lease(state, event.now)
    effects += more
    acceptor, more = plan_calls(state.acceptor, state.node, event.now)
    effects += more
    state = evolve(state, acceptor=acceptor)
    state, more = _advance_stop(state, event.now)
    return state, effects + more


def _beat(state: BalancerState, event: Tick) -> Step:
    if event.now < state.node.next_beat:
        return state, []
    quiet = find_quiet(
        state.router,
        state.node.configuration,
        event.now,
        idle=PROBE_IDLE,
        beat=state.node.beat,
    )
    router = state.router
    for upstream in quiet:
        router = note_question(router, upstream.number, event.now)
    addresses = [upstream.socket_address for upstream in quiet]
    node, effects = send_heartbeats(
        state.node, Vitals(), addresses, now=event.now, seed=event.seed
    )
    return evolve(state, node=node, router=router), effects


def _hold_lease(state: BalancerState, now: float) -> Step:
    acceptor = state.acceptor
    if Purpose.LEASE in acceptor.calling or not is_candidate(state.node, now):
        return state, []
    lease, call = plan_call(acceptor.lease, now)
    if call is None:
        return state, []
    acceptor = start_call(evolve(acceptor, lease=lease), Purpose.LEASE)
    effect = CallPlatform(purpose=Purpose.LEASE, call=call)
    return evolve(state, acceptor=acceptor), [effect]


def take_configuration(state: BalancerState, event: ConfigurationOffered) -> Step:
    """Apply a newer configuration."""
    node, effects = offer_configuration(state.node, event.configuration)
    state = evolve(state, node=node)
    if not effects:
        return state, effects
    state = evolve(state, router=prune_links(state.router, node.configuration))
    if node.name in node.configuration.stopping_balancers:
        state, more = take_stop(state, StopRequested(now=event.now))
        effects += more
    return state, effects


def take_stop(state: BalancerState, event: StopRequested) -> Step:
    """Begin a planned stop: not ready, but still forwarding."""
    if state.node.stopping:
        return state, []
    state = evolve(
        state,
        node=evolve(state.node, stopping=True),
        stop_since=event.now,
        router=evolve(state.router, last_datagram=event.now),
    )
    return state, [WriteLog(event=LogEvent.NODE_STOPPING, fields={})]


def _advance_stop(state: BalancerState, now: float) -> Step:
    if not state.node.stopping:
        return state, []
    if now - state.router.last_datagram < state.settings.quiet:
        return state, []
    details = {"address": str(state.node.address)}
    writer, effects = write_status(
        state.status, state.node.name, NodeStatus.STOPPED, details, now
    )
    state = evolve(state, status=writer)
    patience = state.settings.quiet * 2
    if writer.written == NodeStatus.STOPPED or now > state.stop_since + patience:
        effects = [*effects, Exit()]
    return state, effects


def take_platform_answer(state: BalancerState, event: PlatformAnswered) -> Step:
    """Go on with whatever the platform was called for."""
    if event.purpose == Purpose.NODE:
        return evolve(state, status=take_status_outcome(state.status, event)), []
    failing = isinstance(event.outcome, Unavailable)
    was_failing = state.acceptor.failing
    acceptor = evolve(state.acceptor, failing=failing)
    state, effects = _go_on(evolve(state, acceptor=acceptor), event)
    if was_failing and not failing:
        effects = [WriteLog(event=LogEvent.PLATFORM_BACK, fields={}), *effects]
    return state, effects


def _go_on(state: BalancerState, event: PlatformAnswered) -> Step:
    acceptor = end_call(state.acceptor, event.purpose)
    now = event.now
    match event.purpose, event.outcome:
        case Purpose.LEASE, outcome:
            return _note_lease(state, acceptor, event)
        case Purpose.LIST, Listing() as listing:
            return _take_listing(state, acceptor, listing, now)
        case Purpose.WATCH, Changed() as changed:
            if changed.names or changed.revision < acceptor.revision:
                acceptor = list_again(acceptor, now, pause=0.0)
        case Purpose.MACHINES, Machines() as machines:
            acceptor = take_machines(acceptor, machines, now)
        case Purpose.ACCEPT, outcome:
            return _note_acceptance(state, acceptor, event)
        case Purpose.STATUS, outcome:
            acceptor = _note_status(acceptor, event)
        case _, outcome:
            acceptor = list_again(acceptor, now, pause=RETRY_PAUSE)
            fields = {"purpose": event.purpose.value, "reason": str(outcome)}
            note = WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields)
            return evolve(state, acceptor=acceptor), [note]
    return evolve(state, acceptor=acceptor), []


def _take_listing(
    state: BalancerState, acceptor: Acceptor, listing: Listing, now: float
) -> Step:
    effects: list[Effect] = []
    stored = read_accepted(listing)
    if stored is not None and is_newer(stored, state.node.configuration):
        offered = ConfigurationOffered(configuration=stored, now=now)
        state, effects = take_configuration(state, offered)
    acceptor, more = take_listing(acceptor, state.node, listing, now)
    return evolve(state, acceptor=acceptor), effects + more


def _note_lease(
    state: BalancerState, acceptor: Acceptor, event: PlatformAnswered
) -> Step:
    before = is_held(acceptor.lease, event.now)
    lease = record_outcome(acceptor.lease, event.outcome, event.now)
    held = is_held(lease, event.now)
    acceptor = evolve(acceptor, lease=lease)
    effects: list[Effect] = []
    if held and not before:
        acceptor = list_again(acceptor, event.now, pause=0.0)
        effects.append(WriteLog(event=LogEvent.LEASE_TAKEN, fields={}))
    elif before and not held:
        effects.append(WriteLog(event=LogEvent.LEASE_LOST, fields={}))
    return evolve(state, acceptor=acceptor), effects


def _note_acceptance(
    state: BalancerState, acceptor: Acceptor, event: PlatformAnswered
) -> Step:
    """Apply what was certainly stored; look again in every other case."""
    pending = acceptor.pending
    stored = isinstance(event.outcome, Stored)
    pause = 0.0 if stored else RETRY_PAUSE
    acceptor = list_again(evolve(acceptor, pending=None), event.now, pause=pause)
    state = evolve(state, acceptor=acceptor)
    if not stored or pending is None:
        fields = {"purpose": "accept", "reason": str(event.outcome)}
        return state, [WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields)]
    fields = {"generation": pending.generation}
    note = WriteLog(event=LogEvent.CONFIGURATION_ACCEPTED, fields=fields)
    offered = ConfigurationOffered(configuration=pending, now=event.now)
    state, effects = take_configuration(state, offered)
    return state, [note, *effects]


def _note_status(acceptor: Acceptor, event: PlatformAnswered) -> Acceptor:
    if not isinstance(event.outcome, Stored):
        acceptor = evolve(acceptor, cluster_value=immutables.Map())
        return list_again(acceptor, event.now, pause=RETRY_PAUSE)
    if event.name == CLUSTER_STATUS:
        return evolve(acceptor, cluster_version=event.outcome.version)
    return acceptor
