"""Balancer for opaque flows: packets, messages, timers and planned stop.

Handlers update the state in place, since copying it for each packet would be too
expensive, and return the effects for the runtime to execute.
"""

from __future__ import annotations

from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import Exit, WriteLog
from shedsill.datagram import (
    _checkpoint_collection,
    _failure_detection,
    _flow_placement,
    _flow_search,
    _membership,
)
from shedsill.datagram._balancer_state import (
    BalancerState,
    forward_packet,
    reset_flows,
)
from shedsill.datagram._effects import (
    Effect,
    RemoveReport,
    ResetFlow,
    SendMessage,
    StoreReport,
)
from shedsill.datagram._events import (
    CallerPacket,
    MessageReceived,
    PacketsDrained,
    StopRequested,
    TableReceived,
    Tick,
)
from shedsill.datagram._forwarding_table import is_newer
from shedsill.datagram._messages import (
    Announcement,
    BootHeard,
    CheckpointPart,
    CheckpointTaken,
    FlowDenied,
    FlowTaken,
    Located,
    PacketReturned,
    Probe,
    Roster,
)
from shedsill.datagram._packet import FIN, RST, Packet, is_syn
from shedsill.datagram._process_pauses import measure_pause

RESET_RETENTION_SECONDS = 2.0
"""Time for which a reset flow is kept, so that packets still in flight are answered
with a reset and start no search."""

CLOSED_FLOW_RETENTION_SECONDS = 3.0
"""Time for which a closed flow is kept, for retransmissions of its last packets."""

STOP_IDLE_SECONDS = 1.0
"""Time without packets from callers after which a planned stop ends."""

PEER_EXCHANGE_INTERVAL_SECONDS = 1.0
"""Interval between exchanges of table versions with another balancer."""

VERSION_ANSWER_SECONDS = 0.15
"""Time in which other balancers answer that they have a newer table: several round
trips between availability zones, below the callers' retransmission delay of 200 ms."""

FLOW_SWEEP_INTERVAL_SECONDS = 0.25
"""Interval between sweeps that expire idle flows."""


def start(state: BalancerState, now: float) -> list[Effect]:
    """Announce this balancer to its seeds and request the nodes they know."""
    state.started_at = state.last_tick_at = state.last_packet_at = now
    state.next_sync_at = now + _failure_detection.PROBE_INTERVAL_SECONDS
    state.checkpoints.next_at = now + _checkpoint_collection.CHECKPOINT_INTERVAL_SECONDS
    return [
        SendMessage(seed, Probe(report=state.report))
        for seed in state.seeds
        if seed != state.report.host
    ]


def handle_caller_packet(state: BalancerState, event: CallerPacket) -> list[Effect]:
    """Forward a caller's packet, or start a search for its flow."""
    packet = event.packet
    state.last_packet_at = event.now
    route = state.table.routes.get(packet.endpoint)
    if route is None:
        return _handle_unrouted_packet(state, packet, event.now)
    flow = state.flows.get(packet.flow)
    if is_syn(packet):
        if flow is None or flow.restored:
            return _flow_placement.place_flow(state, packet, route, event.now)
        return _flow_placement.handle_repeated_syn(
            state, flow, packet, route, event.now
        )
    if flow is None:
        return _flow_search.search_flow(state, packet, event.now)
    flow.last_packet_at = event.now
    flow.restored = False
    flow.caller_ack = packet.ack
    if packet.flags & (FIN | RST):
        flow.closed = True
    elif flow.probe_packet is None or len(packet.data) < len(flow.probe_packet.data):
        flow.probe_packet = packet
    if flow.host:
        return [forward_packet(state, flow.host, flow.service, packet)]
    if not _flow_placement.list_possible_hosts(flow, packet):
        # The caller acknowledges an answer to a SYN that another balancer forwarded.
        del state.flows[packet.flow]
        state.pending_flows.pop(packet.flow, None)
        return _flow_search.search_flow(state, packet, event.now)
    return _flow_placement.assign_flow(state, flow, packet)


def _handle_unrouted_packet(
    state: BalancerState, packet: Packet, now: float
) -> list[Effect]:
    """Reset a flow whose endpoint has no route in any balancer's table.

    A newer table may have the route of an open flow, and the message that announced it
    may have been lost.  The first packet is therefore dropped and the other balancers
    are asked; the caller retransmits it after 0.2 s.
    """
    if state.table.version == 0 or packet.flags & RST:
        return []
    fields = {"flow": packet.flow, "table": state.table.version}
    log_entry = WriteLog(event=LogEvent.TABLE_AWAITED, fields=fields)
    if not is_syn(packet):
        if state.peers_ahead:
            return [log_entry]
        since = state.unrouted_since.setdefault(packet.flow, now)
        if state.nodes.balancers and now - since < VERSION_ANSWER_SECONDS:
            return [log_entry, *_announce_version(state, now)]
    state.unrouted_since.pop(packet.flow, None)
    state.flows.pop(packet.flow, None)
    state.pending_flows.pop(packet.flow, None)
    return [
        ResetFlow(packet.flow, packet.ack),
        WriteLog(event=LogEvent.FLOW_UNROUTED, fields=fields),
    ]


def _announce_version(state: BalancerState, now: float) -> list[Effect]:
    """Have the balancers that have a newer table announce it."""
    if now - state.version_announced_at < VERSION_ANSWER_SECONDS:
        return []
    state.version_announced_at = now
    announcement = Announcement(report=state.report)
    return [SendMessage(host, announcement) for host in state.nodes.balancers]


def handle_packets_drained(state: BalancerState, event: PacketsDrained) -> list[Effect]:
    """Send the `Locate` messages collected since the sockets were last drained."""
    return _flow_search.send_locates(state)


def handle_message(
    state: BalancerState, event: MessageReceived, returned: Packet | None
) -> list[Effect]:
    """Handle a message from an agent or another balancer.

    Parameters
    ----------
    returned : Packet or None
        Decoded packet of a `PacketReturned`.
    """
    view = state.nodes.upstreams.get(event.source)
    if view is None or view.silent_since is None:
        return _handle_message(state, event, returned)
    before = replace(view)  # a copy, since the handlers change the view in place
    effects = _handle_message(state, event, returned)
    return effects + _membership.handle_returned_agent(state, before, event.now)


def _handle_message(
    state: BalancerState, event: MessageReceived, returned: Packet | None
) -> list[Effect]:
    message, source, now = event.message, event.source, event.now
    match message:
        case Announcement(report=report):
            return _membership.handle_direct_report(state, report, now)
        case Probe(report=report):
            effects = (
                _membership.handle_direct_report(state, report, now) if report else []
            )
            return [*effects, *_membership.answer_probe(state, source, report)]
        case Roster():
            return _membership.handle_roster(state, message, source, now)
        case FlowTaken():
            _record_load(state, source, message, now)
            return _flow_placement.handle_flow_taken(state, message, source, now)
        case Located():
            _record_load(state, source, message, now)
            located = _flow_search.correct_located(state, message, source)
            return [
                *_flow_search.handle_located(state, located, source, now),
                *_flow_placement.handle_located(state, located, source, now),
            ]
        case PacketReturned():
            _record_load(state, source, message, now)
            assert returned is not None
            return _handle_packet_returned(state, message, returned, source, now)
        case FlowDenied():
            _record_load(state, source, message, now)
            return _handle_flow_denied(state, message, source, now)
        case CheckpointPart():
            return _checkpoint_collection.handle_checkpoint_part(
                state, message, source, now
            )
        case CheckpointTaken():
            return _checkpoint_collection.handle_checkpoint_taken(state, source)
        case BootHeard():
            return _membership.handle_boot_heard(state, message, source)
    return []


def _record_load(
    state: BalancerState,
    source: str,
    message: FlowTaken | Located | PacketReturned | FlowDenied,
    now: float,
) -> None:
    view = state.nodes.upstreams.get(source)
    if view is not None:
        _failure_detection.record_load(view, message.load, message.boot, now)


def _handle_packet_returned(
    state: BalancerState,
    message: PacketReturned,
    packet: Packet,
    source: str,
    now: float,
) -> list[Effect]:
    fields = {
        "flow": packet.flow,
        "upstream": source,
        "reason": message.reason.value,
    }
    log_entry = WriteLog(event=LogEvent.PACKET_RETURNED, fields=fields)
    reason = message.reason
    return [
        log_entry,
        *_flow_placement.handle_returned_syn(state, packet, source, reason, now),
    ]


def _handle_flow_denied(
    state: BalancerState, denied: FlowDenied, source: str, now: float
) -> list[Effect]:
    """Search for a flow whose recorded agent does not hold it.

    An unverified flow was held by this agent, so that no other one can hold it.
    """
    flow = state.flows.get(denied.flow)
    if flow is not None and source in flow.offered:
        del flow.offered[source]
    if flow is None:
        return _flow_search.handle_search_denial(state, denied.flow, source)
    if flow.host != source and (flow.host or flow.offered):
        # The flow is assigned or offered to another agent.
        return []
    fields = {
        "flow": denied.flow,
        "upstream": source,
        "reason": denied.reason.value,
    }
    log_entry = WriteLog(event=LogEvent.FLOW_DENIED, fields=fields)
    if flow.unverified:
        reason = "upstream restarted"
        return [log_entry, *reset_flows(state, [denied.flow], source, reason)]
    del state.flows[denied.flow]
    state.pending_flows.pop(denied.flow, None)
    ack = flow.caller_ack
    return [
        log_entry,
        *_flow_search.restart_search(state, denied.flow, source, ack, now),
    ]


def handle_table(state: BalancerState, event: TableReceived) -> list[Effect]:
    """Apply a newer table and announce its version to the other balancers."""
    if not is_newer(event.table, state.table):
        return []
    fields = {
        "version": event.table.version,
        "before": state.table.version,
        "routes": len(event.table.routes),
        "source": event.source,
    }
    state.table = event.table
    state.peers_ahead.clear()
    state.unrouted_since.clear()
    state.report = replace(
        state.report, version=event.table.version, serial=state.report.serial + 1
    )
    log_entry = WriteLog(event=LogEvent.TABLE_APPLIED, fields=fields)
    announcement = Announcement(report=state.report)
    hosts = state.nodes.balancers
    return [log_entry, *(SendMessage(host, announcement) for host in hosts)]


def handle_tick(state: BalancerState, event: Tick) -> list[Effect]:
    """Run the timers that are due."""
    now = event.now
    pause = measure_pause(state.last_tick_at, now)
    state.last_tick_at = now
    if pause:
        _failure_detection.shift_silence_timers(state.nodes.upstreams.values(), pause)
    effects = _flow_placement.handle_offer_timeouts(state, now)
    effects += _flow_search.handle_search_timeouts(state, now)
    effects += _sweep_flows(state, now)
    effects += _membership.probe_agents(state, now)
    effects += _membership.synchronize_peers(state, now)
    effects += _membership.pull_table(state, now)
    effects += _membership.remove_lost_agents(state, now)
    effects += _exchange_with_peers(state, now)
    effects += _checkpoint_collection.handle_tick(state, now)
    effects += _finish_stop(state, now)
    return effects


def _sweep_flows(state: BalancerState, now: float) -> list[Effect]:
    """Expire idle flows and update the set of agents that hold the others.

    The agents of unverified flows are asked about them until they answer.
    """
    if now < state.next_flow_sweep_at:
        return []
    state.next_flow_sweep_at = now + FLOW_SWEEP_INTERVAL_SECONDS
    limit = min(state.table.idle_timeout, state.flow_lifetime)
    hosts: set[str] = set()
    for key, flow in list(state.flows.items()):
        idle = now - flow.last_packet_at
        if idle > limit or (flow.closed and idle > CLOSED_FLOW_RETENTION_SECONDS):
            del state.flows[key]
            state.pending_flows.pop(key, None)
            continue
        if flow.unverified:
            _flow_search.verify_flow(state, key, flow)
        if flow.host and not flow.closed:
            hosts.add(flow.host)
    state.hosts_with_flows = hosts
    for key, at in list(state.resets.items()):
        if now - at > RESET_RETENTION_SECONDS:
            del state.resets[key]
    for key, at in list(state.unrouted_since.items()):
        if now - at > RESET_RETENTION_SECONDS:
            del state.unrouted_since[key]
    return []


def _exchange_with_peers(state: BalancerState, now: float) -> list[Effect]:
    """Announce the table version to one peer, in case an earlier message was lost."""
    if now < state.next_peer_exchange_at:
        return []
    state.next_peer_exchange_at = now + PEER_EXCHANGE_INTERVAL_SECONDS
    hosts = sorted(state.nodes.balancers) or [
        seed for seed in state.seeds if seed != state.report.host
    ]
    if not hosts:
        return []
    state.peer_exchanges += 1
    host = hosts[state.peer_exchanges % len(hosts)]
    return [SendMessage(host, Announcement(report=state.report))]


def handle_stop(state: BalancerState, event: StopRequested) -> list[Effect]:
    """Start a planned stop: not ready any more, but still forwarding packets."""
    if state.stop_at is not None:
        return []
    state.stop_at = event.now + state.stop_limit
    state.last_packet_at = event.now
    state.report = replace(state.report, stopping=True, serial=state.report.serial + 1)
    announcement = Announcement(report=state.report)
    return [
        WriteLog(event=LogEvent.NODE_STOPPING, fields={"flows": len(state.flows)}),
        *(SendMessage(host, announcement) for host in state.nodes.balancers),
        RemoveReport(state.report),
    ]


def store_report(state: BalancerState) -> list[Effect]:
    """Replace an earlier incarnation's report, which a write has conflicted with."""
    if state.stop_at is not None:
        return [RemoveReport(state.report)]
    return [StoreReport(state.report)]


def _finish_stop(state: BalancerState, now: float) -> list[Effect]:
    if state.stop_at is None:
        return []
    idle = now - state.last_packet_at >= STOP_IDLE_SECONDS
    if not idle and now < state.stop_at:
        return []
    return [WriteLog(event=LogEvent.NODE_STOPPED), Exit()]
