"""Placement of new flows, from the SYN to the caller's choice of an upstream."""

from __future__ import annotations

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _failure_detection, _flow_search, _report_polling
from shedsill.datagram._balancer_state import (
    BalancerFlow,
    BalancerState,
    forward_packet,
)
from shedsill.datagram._effects import Effect, ObserveLatency, ResetFlow
from shedsill.datagram._forwarding_table import Route, choose_service
from shedsill.datagram._messages import FlowTaken, Located, ReturnReason
from shedsill.datagram._packet import Packet, is_ack_in_window
from shedsill.datagram._selection import REFUSAL_BACKOFF_SECONDS, choose_upstream

OFFER_TIMEOUT_SECONDS = 0.08
"""Time after which an unanswered SYN is offered to another upstream: above the pauses
of a loaded VM, and below the callers' retransmission delay of 200 ms."""

MAX_OFFERS = 4
"""Maximum number of upstreams that one SYN is offered to."""

MAX_OVERLOADED_OFFERS = 3
"""Overloaded upstreams after which a SYN is refused; the least loaded ones come first,
and load is spread evenly."""

CALLER_TIMEOUT_SECONDS = 1.4
"""Time after which callers give up a SYN without an answer."""

MAX_FLOWS = 200_000
"""Maximum number of known flows; a dropped flow is found again by a search."""


def place_flow(
    state: BalancerState, packet: Packet, route: Route, now: float
) -> list[Effect]:
    """Offer a new flow to an upstream."""
    service = choose_service(route, packet.flow)
    flow = BalancerFlow(
        service=service,
        last_packet_at=now,
        started_at=now,
        syn=packet,
        began_with_copy=packet.copy > 0,
    )
    if len(state.flows) >= MAX_FLOWS:
        state.flows.pop(next(iter(state.flows)))
    state.flows[packet.flow] = flow
    state.pending_flows[packet.flow] = flow
    return _offer_flow(state, flow, packet, route, now)


def _offer_flow(
    state: BalancerState,
    flow: BalancerFlow,
    packet: Packet,
    route: Route,
    now: float,
) -> list[Effect]:
    """Offer a SYN to an upstream that has not been offered it yet."""
    view = None
    if flow.overloaded_count < MAX_OVERLOADED_OFFERS:
        view = choose_upstream(
            state.nodes.list_service_upstreams(flow.service),
            zone=state.report.zone,
            bulk=route.bulk,
            excluded=flow.offered.keys() | flow.refused_by,
            flow=packet.flow,
            now=now,
        )
    flow.offered_at = now
    if view is None:
        return _handle_no_candidate(state, flow, packet, now)
    flow.offered[view.report.host] = None
    view.recent_offers.append(now)
    fields = {
        "flow": packet.flow,
        "service": flow.service,
        "upstream": view.report.host,
        "busy": view.report.load.busy,
        "offers": len(view.recent_offers),
        "age": round(now - view.last_heard_at, 3) if view.last_heard_at else None,
        "attempt": len(flow.offered),
        "table": state.table.version,
    }
    return [
        forward_packet(state, view.report.host, flow.service, packet),
        WriteLog(event=LogEvent.FLOW_OFFERED, fields=fields),
    ]


def _handle_no_candidate(
    state: BalancerState, flow: BalancerFlow, packet: Packet, now: float
) -> list[Effect]:
    """Reset a new flow that no upstream can accept.

    The flow is kept while an upstream that was offered the SYN may still answer, while
    no upstream of the service is known, and until the list of agents is recent.  If
    another balancer may have placed it, it is kept until no agent can hold it.
    """
    upstreams = state.nodes.list_service_upstreams(flow.service)
    fields = {
        "flow": packet.flow,
        "service": flow.service,
        "known": len(upstreams),
        "overloaded": flow.overloaded_count,
    }
    if flow.offered or not upstreams:
        return [WriteLog(event=LogEvent.NO_CANDIDATE, fields=fields)]
    if not _report_polling.is_recent(state.polling, state.last_tick_at):
        read_effects = _report_polling.request_read(state.polling, state.last_tick_at)
        return [WriteLog(event=LogEvent.NO_CANDIDATE, fields=fields), *read_effects]
    if flow.began_with_copy and _ask_possible_holders(state, flow, packet.flow, now):
        return [WriteLog(event=LogEvent.NO_CANDIDATE, fields=fields)]
    state.flows.pop(packet.flow, None)
    state.pending_flows.pop(packet.flow, None)
    return [
        ResetFlow(packet.flow, packet.ack),
        WriteLog(event=LogEvent.FLOW_REFUSED, fields=fields),
    ]


def _ask_possible_holders(
    state: BalancerState, flow: BalancerFlow, key: bytes, now: float
) -> bool:
    """Ask the agents that may hold an open flow; return whether there are any.

    An agent that has returned the SYN does not hold it, unless it was restarted and its
    upstream refuses copies.  The others are asked until the caller has given up.
    """
    live = {
        view.report.host
        for view in state.nodes.list_service_upstreams(flow.service)
        if not view.lost
    }
    if flow.possible_holders is None:
        flow.possible_holders = live - (flow.refused_by - flow.unsure_hosts)
    flow.possible_holders &= live
    if now - flow.started_at < CALLER_TIMEOUT_SECONDS:
        _flow_search.queue_locate(state, key, flow.possible_holders)
    else:
        state.pending_flows.pop(key, None)
    return bool(flow.possible_holders)


def handle_located(
    state: BalancerState, located: Located, host: str, now: float
) -> list[Effect]:
    """Assign flows of which only a copy of the SYN was seen, or reject them."""
    effects: list[Effect] = []
    for key in located.held:
        flow = state.flows.get(key)
        if flow is None or flow.syn is None or not _may_be_held(flow, host):
            continue
        # The caller may have missed the upstream's answer to the first SYN.
        effects.append(forward_packet(state, host, flow.service, flow.syn))
        state.pending_flows.pop(key, None)
        _assign_host(state, flow, host)
        flow.boot = located.boot
    for key in located.unknown:
        flow = state.flows.get(key)
        if flow is None or not _may_be_held(flow, host):
            continue
        assert flow.possible_holders is not None
        flow.possible_holders.discard(host)
        if not flow.possible_holders and flow.syn is not None:
            effects += _handle_no_candidate(state, flow, flow.syn, now)
    return effects


def _may_be_held(flow: BalancerFlow, host: str) -> bool:
    asked = flow.possible_holders
    return not flow.host and asked is not None and host in asked


def handle_repeated_syn(
    state: BalancerState,
    flow: BalancerFlow,
    packet: Packet,
    route: Route,
    now: float,
) -> list[Effect]:
    """Forward a retransmitted SYN to the upstream that answered, or offer it again."""
    flow.last_packet_at = now
    answered = [
        host for host, initial_seq in flow.offered.items() if initial_seq is not None
    ]
    host = flow.host or (answered[0] if answered else "")
    if host:
        return [forward_packet(state, host, flow.service, packet)]
    flow.syn = packet
    if len(flow.offered) >= MAX_OFFERS:
        flow.offered.clear()
        flow.boot_by_host.clear()
        flow.refused_by.clear()
        flow.unsure_hosts.clear()
        flow.overloaded_count = 0
    return _offer_flow(state, flow, packet, route, now)


def list_possible_hosts(flow: BalancerFlow, packet: Packet) -> list[str]:
    """Return the agents that may hold the flow of a caller's packet.

    That is the agent whose upstream's answer the caller acknowledges, or those that
    have not reported an answer to the offered SYN.
    """
    unanswered = []
    for host, initial_seq in flow.offered.items():
        if initial_seq is None:
            unanswered.append(host)
        elif is_ack_in_window(packet, initial_seq):
            return [host]
    return unanswered


def assign_flow(
    state: BalancerState, flow: BalancerFlow, packet: Packet
) -> list[Effect]:
    """Forward a packet to the agents that may hold its flow; assign a single one."""
    state.pending_flows.pop(packet.flow, None)
    hosts = list_possible_hosts(flow, packet)
    if len(hosts) == 1:
        _assign_host(state, flow, hosts[0])
    return [forward_packet(state, host, flow.service, packet) for host in hosts]


def _assign_host(state: BalancerState, flow: BalancerFlow, host: str) -> None:
    flow.host = host
    flow.boot = flow.boot_by_host.get(host, "")
    flow.offered.clear()
    flow.boot_by_host.clear()
    flow.syn = None
    state.hosts_with_flows.add(host)


def handle_flow_taken(
    state: BalancerState, taken: FlowTaken, source: str, now: float
) -> list[Effect]:
    """Record that an upstream has answered a SYN."""
    flow = state.pending_flows.pop(taken.flow, None)
    if flow is None:
        flow = state.flows.get(taken.flow)
    if flow is not None and not flow.host:
        flow.offered[source] = taken.initial_seq
        flow.boot_by_host[source] = taken.boot
        flow.syn = None
        return [ObserveLatency(now - flow.offered_at)]
    return []


def handle_returned_syn(
    state: BalancerState,
    packet: Packet,
    source: str,
    reason: ReturnReason,
    now: float,
) -> list[Effect]:
    """Offer a returned SYN to another upstream."""
    view = state.nodes.upstreams.get(source)
    if view is not None:
        view.refused_until = now + REFUSAL_BACKOFF_SECONDS
    flow = state.flows.get(packet.flow)
    route = state.table.routes.get(packet.endpoint)
    if flow is None or flow.host or route is None:
        return []
    if flow.offered.get(source, 0) is not None:
        # The agent was not offered the SYN, or its upstream has answered it.
        return []
    del flow.offered[source]
    flow.refused_by.add(source)
    if reason == ReturnReason.COPY_REFUSED:
        flow.unsure_hosts.add(source)
    flow.overloaded_count += reason == ReturnReason.OVERLOADED
    return _offer_flow(state, flow, packet, route, now)


def handle_offer_timeouts(state: BalancerState, now: float) -> list[Effect]:
    """Offer SYNs that were not answered in time to another upstream."""
    effects: list[Effect] = []
    for key, flow in list(state.pending_flows.items()):
        if now - flow.offered_at < OFFER_TIMEOUT_SECONDS:
            continue
        for host, initial_seq in flow.offered.items():
            view = state.nodes.upstreams.get(host)
            if (
                initial_seq is None
                and view is not None
                and view.last_heard_at < flow.offered_at
            ):
                _failure_detection.mark_suspect(view, now)
        packet = flow.syn
        route = state.table.routes.get(packet.endpoint) if packet else None
        if packet is None or route is None or len(flow.offered) >= MAX_OFFERS:
            del state.pending_flows[key]
            continue
        effects += _offer_flow(state, flow, packet, route, now)
    return effects
