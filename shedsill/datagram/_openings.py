"""Which upstream takes a new flow, and what happens until its caller has chosen."""

from __future__ import annotations

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _nodes, _reading
from shedsill.datagram._balancer_state import (
    BalancerFlow,
    BalancerState,
    forward,
)
from shedsill.datagram._effects import Effect, ObserveLatency, ResetFlow
from shedsill.datagram._forwarding import Route, choose_service
from shedsill.datagram._messages import FlowTaken, ReturnReason
from shedsill.datagram._packet import Packet, acknowledges
from shedsill.datagram._selection import REFUSAL_PAUSE, choose_upstream

ANSWER_TIMEOUT = 0.08
"""Seconds after which an opening packet without an answer is offered to another
upstream: above the processor pauses of a loaded VM, and below the 200 ms after
which the caller would send its next copy."""

MAX_OFFERS = 4
"""Upstreams that one opening packet is offered to."""

MAX_OVERLOADED = 3
"""Overloaded upstreams after which an opening is given up: load is spread evenly,
and the least full ones are asked first."""

MAX_FLOWS = 200_000
"""Flows remembered; a flow forgotten is found again by asking the agents."""


def place(
    state: BalancerState, packet: Packet, route: Route, now: float
) -> list[Effect]:
    """Offer a new flow to an upstream."""
    service = choose_service(route, packet.flow)
    flow = BalancerFlow(service=service, seen=now, begun=now, opening=packet)
    if len(state.flows) >= MAX_FLOWS:
        state.flows.pop(next(iter(state.flows)))
    state.flows[packet.flow] = flow
    state.placing[packet.flow] = flow
    return _offer(state, flow, packet, route, now)


def _offer(
    state: BalancerState,
    flow: BalancerFlow,
    packet: Packet,
    route: Route,
    now: float,
) -> list[Effect]:
    """Offer an opening packet to an upstream that has not been offered it."""
    view = None
    if flow.overloaded < MAX_OVERLOADED:
        view = choose_upstream(
            state.nodes.list_service(flow.service),
            zone=state.report.zone,
            bulk=route.bulk,
            without=flow.offered.keys() | flow.refused,
            flow=packet.flow,
            now=now,
        )
    flow.offered_at = now
    if view is None:
        return _give_up_opening(state, flow, packet)
    flow.offered[view.report.host] = None
    view.offers.append(now)
    fields = {
        "flow": packet.flow,
        "service": flow.service,
        "upstream": view.report.host,
        "busy": view.report.load.busy,
        "offers": len(view.offers),
        "age": round(now - view.heard, 3) if view.heard else None,
        "attempt": len(flow.offered),
        "table": state.table.version,
    }
    return [
        forward(state, view.report.host, flow.service, packet),
        WriteLog(event=LogEvent.FLOW_OFFERED, fields=fields),
    ]


def _give_up_opening(
    state: BalancerState, flow: BalancerFlow, packet: Packet
) -> list[Effect]:
    """Reset an opening that nobody can take; nothing of it has run.

    While an upstream that was offered it may still answer, nothing is given up.
    Neither is it while this balancer does not know the nodes yet, or its list of them
    is not recent.
    """
    known = state.nodes.list_service(flow.service)
    fields = {
        "flow": packet.flow,
        "service": flow.service,
        "known": len(known),
        "overloaded": flow.overloaded,
    }
    if flow.offered or not known:
        return [WriteLog(event=LogEvent.NO_CANDIDATE, fields=fields)]
    if not _reading.is_recent(state.reading, state.last_tick):
        wanted = _reading.want(state.reading, state.last_tick)
        return [WriteLog(event=LogEvent.NO_CANDIDATE, fields=fields), *wanted]
    state.flows.pop(packet.flow, None)
    state.placing.pop(packet.flow, None)
    return [
        ResetFlow(packet.flow, packet.ack),
        WriteLog(event=LogEvent.FLOW_REFUSED, fields=fields),
    ]


def repeat_opening(
    state: BalancerState,
    flow: BalancerFlow,
    packet: Packet,
    route: Route,
    now: float,
) -> list[Effect]:
    """Send a copy to an upstream that has answered, or else to another one."""
    flow.seen = now
    answered = [host for host, seq in flow.offered.items() if seq is not None]
    host = flow.host or (answered[0] if answered else "")
    if host:
        return [forward(state, host, flow.service, packet)]
    flow.opening = packet
    if len(flow.offered) >= MAX_OFFERS:
        flow.offered.clear()
        flow.boots.clear()
        flow.refused.clear()
        flow.overloaded = 0
    return _offer(state, flow, packet, route, now)


def settle(state: BalancerState, flow: BalancerFlow, packet: Packet) -> list[Effect]:
    """Find which upstream the caller has chosen, by what it acknowledges."""
    state.placing.pop(packet.flow, None)
    for host, initial_seq in flow.offered.items():
        if initial_seq is None:
            continue
        if acknowledges(packet, initial_seq):
            _hold_at(state, flow, host)
            return [forward(state, host, flow.service, packet)]
    if len(flow.offered) == 1:
        _hold_at(state, flow, next(iter(flow.offered)))
    return [forward(state, host, flow.service, packet) for host in flow.offered]


def _hold_at(state: BalancerState, flow: BalancerFlow, host: str) -> None:
    flow.host = host
    flow.boot = flow.boots.get(host, "")
    flow.offered.clear()
    flow.boots.clear()
    flow.opening = None
    state.holding_hosts.add(host)


def take_taken(
    state: BalancerState, taken: FlowTaken, source: str, now: float
) -> list[Effect]:
    """Note that an upstream has answered an opening."""
    flow = state.placing.pop(taken.flow, None)
    if flow is None:
        flow = state.flows.get(taken.flow)
    if flow is not None and not flow.host:
        flow.offered[source] = taken.initial_seq
        flow.boots[source] = taken.boot
        flow.opening = None
        return [ObserveLatency(now - flow.offered_at)]
    return []


def offer_elsewhere(
    state: BalancerState,
    packet: Packet,
    source: str,
    reason: ReturnReason,
    now: float,
) -> list[Effect]:
    """Offer an opening that was handed back to another upstream."""
    view = state.nodes.upstreams.get(source)
    if view is not None:
        view.refused_until = now + REFUSAL_PAUSE
    flow = state.flows.get(packet.flow)
    route = state.table.routes.get(packet.endpoint)
    if flow is None or flow.host or route is None:
        return []
    if flow.offered.get(source, 0) is not None:
        return []
    del flow.offered[source]
    flow.refused.add(source)
    flow.overloaded += reason == ReturnReason.OVERLOADED
    return _offer(state, flow, packet, route, now)


def offer_again(state: BalancerState, now: float) -> list[Effect]:
    """Offer openings that were not answered in time to another upstream."""
    effects: list[Effect] = []
    for key, flow in list(state.placing.items()):
        if now - flow.offered_at < ANSWER_TIMEOUT:
            continue
        for host, answer in flow.offered.items():
            view = state.nodes.upstreams.get(host)
            if answer is None and view is not None and view.heard < flow.offered_at:
                _nodes.suspect(view, now)
        packet = flow.opening
        route = state.table.routes.get(packet.endpoint) if packet else None
        if packet is None or route is None or len(flow.offered) >= MAX_OFFERS:
            del state.placing[key]
            continue
        effects += _offer(state, flow, packet, route, now)
    return effects
