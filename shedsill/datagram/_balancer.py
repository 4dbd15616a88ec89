"""A balancer of opaque flows: packets, messages, timers and planned stop.

The state is changed in place: a copy for each packet would cost more than the
packet.  Nothing else is touched; what has to be done comes back as effects.
"""

from __future__ import annotations

from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import Exit, WriteLog
from shedsill.datagram import _checkpointing, _locating, _nodes, _openings, _roster
from shedsill.datagram._balancer_state import BalancerState, forward
from shedsill.datagram._effects import (
    Effect,
    RemoveReport,
    ResetFlow,
    SendMessage,
)
from shedsill.datagram._events import (
    CallerPacket,
    MessageReceived,
    PacketsDrained,
    StopRequested,
    TableOffered,
    Tick,
)
from shedsill.datagram._forwarding import is_newer
from shedsill.datagram._messages import (
    Announcement,
    CheckpointPart,
    CheckpointTaken,
    FlowDenied,
    FlowTaken,
    Located,
    PacketReturned,
    Probe,
    Roster,
    split,
)
from shedsill.datagram._packet import FIN, RST, Packet, is_opening
from shedsill.datagram._pauses import measure_pause

RESET_MEMORY = 2.0
"""Seconds for which a reset flow is remembered, so that its packets that are
still under way are answered in the same way and not searched for again."""

CLOSED_LINGER = 3.0
"""Seconds for which a flow is remembered after its caller has closed it; its
last packets may be sent again."""

STOP_QUIET = 1.0
"""Seconds without packets from callers after which a planned stop ends."""

PEER_INTERVAL = 1.0
"""Seconds between exchanges of table versions with another balancer."""

REPORTS_PER_MESSAGE = 6
"""Reports in one message; about 170 octets each, so that they fit a packet."""

LOOK_AFTER_FLOWS = 0.25
"""Seconds between looks at which agents hold flows of this balancer."""


def start(state: BalancerState, now: float) -> list[Effect]:
    """Tell the seeds of this balancer, and ask them for the nodes they know."""
    state.started = state.last_tick = state.last_packet = now
    state.next_introduction = now + _nodes.ASK_INTERVAL
    state.checkpoints.next_at = now + _checkpointing.INTERVAL
    return [
        SendMessage(seed, Probe(report=state.report))
        for seed in state.seeds
        if seed != state.report.host
    ]


def take_packet(state: BalancerState, event: CallerPacket) -> list[Effect]:
    """Decide where a caller's packet goes."""
    packet = event.packet
    state.last_packet = event.now
    route = state.table.routes.get(packet.endpoint)
    if route is None:
        return _refuse_without_route(state, packet)
    flow = state.flows.get(packet.flow)
    if is_opening(packet):
        if flow is None or flow.restored:
            return _openings.place(state, packet, route, event.now)
        return _openings.repeat_opening(state, flow, packet, route, event.now)
    if flow is None:
        return _locating.search(state, packet, event.now)
    flow.seen = event.now
    flow.restored = False
    flow.caller_ack = packet.ack
    if packet.flags & (FIN | RST):
        flow.closed = True
    if flow.host:
        return [forward(state, flow.host, flow.service, packet)]
    return _openings.settle(state, flow, packet)


def _refuse_without_route(state: BalancerState, packet: Packet) -> list[Effect]:
    if state.table.version == 0 or packet.flags & RST:
        return []
    fields = {"flow": packet.flow, "table": state.table.version}
    if state.ahead and not is_opening(packet):
        # The newer table may have the route; the caller sends again in 0.2 s.
        return [WriteLog(event=LogEvent.TABLE_AWAITED, fields=fields)]
    state.flows.pop(packet.flow, None)
    state.placing.pop(packet.flow, None)
    return [
        ResetFlow(packet.flow, packet.ack),
        WriteLog(event=LogEvent.FLOW_UNROUTED, fields=fields),
    ]


def take_drained(state: BalancerState, event: PacketsDrained) -> list[Effect]:
    """Send the questions that came up since the sockets were last drained."""
    return _locating.send_questions(state)


def take_message(
    state: BalancerState, event: MessageReceived, returned: Packet | None
) -> list[Effect]:
    """Take in a message of an agent or another balancer.

    Parameters
    ----------
    returned : Packet or None
        The packet inside a `PacketReturned`.
    """
    view = state.nodes.upstreams.get(event.source)
    if view is None or view.silent_since is None:
        return _take_message(state, event, returned)
    before = replace(view)
    effects = _take_message(state, event, returned)
    return effects + _roster.note_return(state, before, event.now)


def _take_message(
    state: BalancerState, event: MessageReceived, returned: Packet | None
) -> list[Effect]:
    message, source, now = event.message, event.source, event.now
    match message:
        case Announcement(report=report):
            return _roster.take_report(state, report, now)
        case Probe(report=report):
            effects = _roster.take_report(state, report, now) if report else []
            return [*effects, *_answer_probe(state, source)]
        case Roster(reports=reports, last=last):
            effects = _roster.take_reports(state, reports, now)
            state.introduced = state.introduced or last
            return effects
        case FlowTaken():
            _note_load(state, source, message, now)
            return _openings.take_taken(state, message, source, now)
        case Located():
            _note_load(state, source, message, now)
            return _locating.take_located(state, message, source, now)
        case PacketReturned():
            _note_load(state, source, message, now)
            assert returned is not None
            return _take_returned(state, message, returned, source, now)
        case FlowDenied():
            _note_load(state, source, message, now)
            return _take_denied(state, message, source, now)
        case CheckpointPart():
            return _checkpointing.take_part(state, message, source, now)
        case CheckpointTaken():
            return _checkpointing.take_answer(state, source)
    return []


def _answer_probe(state: BalancerState, source: str) -> list[Effect]:
    reports = [v.report for v in state.nodes.upstreams.values() if not v.lost]
    reports += state.nodes.balancers.values()
    chunks = split(reports, REPORTS_PER_MESSAGE)
    return [
        SendMessage(source, Announcement(report=state.report)),
        *(
            SendMessage(source, Roster(reports=chunk, last=chunk is chunks[-1]))
            for chunk in chunks
        ),
    ]


def _note_load(
    state: BalancerState,
    source: str,
    message: FlowTaken | Located | PacketReturned | FlowDenied,
    now: float,
) -> None:
    view = state.nodes.upstreams.get(source)
    if view is not None:
        _nodes.note_load(view, message.load, message.boot, now)


def _take_returned(
    state: BalancerState,
    returned: PacketReturned,
    packet: Packet,
    source: str,
    now: float,
) -> list[Effect]:
    fields = {
        "flow": packet.flow,
        "upstream": source,
        "reason": returned.reason.value,
    }
    note = WriteLog(event=LogEvent.PACKET_RETURNED, fields=fields)
    reason = returned.reason
    return [note, *_openings.offer_elsewhere(state, packet, source, reason, now)]


def _take_denied(
    state: BalancerState, denied: FlowDenied, source: str, now: float
) -> list[Effect]:
    """Correct what this balancer believed of a flow, and look for it."""
    flow = state.flows.get(denied.flow)
    if flow is not None and source in flow.offered:
        del flow.offered[source]
    if flow is None:
        return _locating.take_denial(state, denied.flow, source)
    if flow.host != source and (flow.host or flow.offered):
        return []
    fields = {
        "flow": denied.flow,
        "upstream": source,
        "reason": denied.reason.value,
    }
    note = WriteLog(event=LogEvent.FLOW_DENIED, fields=fields)
    del state.flows[denied.flow]
    state.placing.pop(denied.flow, None)
    ack = flow.caller_ack
    return [note, *_locating.search_again(state, denied.flow, source, ack, now)]


def take_table(state: BalancerState, event: TableOffered) -> list[Effect]:
    """Put a newer table in force, and tell the other balancers."""
    if not is_newer(event.table, state.table):
        return []
    fields = {
        "version": event.table.version,
        "before": state.table.version,
        "routes": len(event.table.routes),
        "source": event.source,
    }
    state.table = event.table
    state.ahead.clear()
    state.report = replace(
        state.report, version=event.table.version, serial=state.report.serial + 1
    )
    note = WriteLog(event=LogEvent.TABLE_APPLIED, fields=fields)
    announcement = Announcement(report=state.report)
    hosts = state.nodes.balancers
    return [note, *(SendMessage(host, announcement) for host in hosts)]


def take_tick(state: BalancerState, event: Tick) -> list[Effect]:
    """Do what has become due."""
    now = event.now
    pause = measure_pause(state.last_tick, now)
    state.last_tick = now
    if pause:
        _nodes.shift_silences(state.nodes.upstreams.values(), pause)
    effects = _openings.offer_again(state, now)
    effects += _locating.ask_searched(state, now)
    effects += _look_after_flows(state, now)
    effects += _roster.ask_silent(state, now)
    effects += _roster.introduce(state, now)
    effects += _roster.pull_table(state, now)
    effects += _roster.forget_lost(state, now)
    effects += _exchange_with_peers(state, now)
    effects += _checkpointing.take_tick(state, now)
    effects += _finish_stop(state, now)
    return effects


def _look_after_flows(state: BalancerState, now: float) -> list[Effect]:
    """Forget flows that have rested for too long; note who holds the others.

    The holders of doubted flows are asked again until they answer.
    """
    if now < state.next_look:
        return []
    state.next_look = now + LOOK_AFTER_FLOWS
    limit = min(state.table.idle_timeout, state.flow_lifetime)
    holding: set[str] = set()
    for key, flow in list(state.flows.items()):
        rest = now - flow.seen
        if rest > limit or (flow.closed and rest > CLOSED_LINGER):
            del state.flows[key]
            state.placing.pop(key, None)
            continue
        if flow.doubted:
            _locating.ask_holder(state, key, flow)
        if flow.host and not flow.closed:
            holding.add(flow.host)
    state.holding_hosts = holding
    for key, at in list(state.resets.items()):
        if now - at > RESET_MEMORY:
            del state.resets[key]
    return []


def _exchange_with_peers(state: BalancerState, now: float) -> list[Effect]:
    """Tell one other balancer the version in force, in case news was lost."""
    if now < state.next_peer_exchange:
        return []
    state.next_peer_exchange = now + PEER_INTERVAL
    hosts = sorted(state.nodes.balancers) or [
        seed for seed in state.seeds if seed != state.report.host
    ]
    if not hosts:
        return []
    state.peer_exchanges += 1
    host = hosts[state.peer_exchanges % len(hosts)]
    return [SendMessage(host, Announcement(report=state.report))]


def take_stop(state: BalancerState, event: StopRequested) -> list[Effect]:
    """Begin a planned stop: not ready any more, but packets still move."""
    if state.stop_at is not None:
        return []
    state.stop_at = event.now + state.stop_limit
    state.last_packet = event.now
    state.report = replace(state.report, stopping=True, serial=state.report.serial + 1)
    announcement = Announcement(report=state.report)
    return [
        WriteLog(event=LogEvent.NODE_STOPPING, fields={"flows": len(state.flows)}),
        *(SendMessage(host, announcement) for host in state.nodes.balancers),
        RemoveReport(state.report),
    ]


def _finish_stop(state: BalancerState, now: float) -> list[Effect]:
    if state.stop_at is None:
        return []
    quiet = now - state.last_packet >= STOP_QUIET
    if not quiet and now < state.stop_at:
        return []
    return [WriteLog(event=LogEvent.NODE_STOPPED), Exit()]
