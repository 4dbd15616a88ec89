"""Handling of single packets by an agent, in both directions."""

from __future__ import annotations

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _slots
from shedsill.datagram._agent_state import (
    AgentFlow,
    AgentState,
    Phase,
    build_load,
    can_accept_flows,
    get_serving_state,
    record_probe_packet,
    record_sent_packet,
    return_packet,
    update_upstream_state,
)
from shedsill.datagram._effects import (
    Effect,
    ResetFlow,
    SendMessage,
    SendToCaller,
    SendToUpstream,
)
from shedsill.datagram._events import ForwardedPacket, UpstreamPacket
from shedsill.datagram._known_flows import is_complete
from shedsill.datagram._messages import (
    FlowTaken,
    Located,
    ReturnReason,
    UpstreamState,
)
from shedsill.datagram._packet import (
    BOUNCED,
    FIN,
    RST,
    SYN,
    Packet,
    get_syn_copy_delay,
    is_ack_in_window,
    is_syn,
)
from shedsill.datagram._selection import REFUSAL_BACKOFF_SECONDS, hash_service

MAX_FLOWS = 50_000
"""Limit of the flows in an agent's state; far above an upstream's connection limit."""


def handle_forwarded_packet(state: AgentState, event: ForwardedPacket) -> list[Effect]:
    """Handle a caller's packet: send it to the upstream, queue it or return it."""
    packet, now = event.packet, event.now
    state.balancers[event.balancer] = now
    if event.service != hash_service(state.report.service):
        return return_packet(
            state, packet, event.balancer, ReturnReason.WRONG_SERVICE, now
        )
    if is_syn(packet):
        return _handle_syn(state, packet, event.balancer, now)
    flow = state.flows.get(packet.flow)
    if flow is None:
        return _handle_unknown_flow(state, packet, event.balancer, now)
    not_acknowledged = flow.initial_seq is not None and not is_ack_in_window(
        packet, flow.initial_seq
    )
    if flow.phase == Phase.HALF_OPEN and not_acknowledged:
        del state.flows[packet.flow]
        return return_packet(state, packet, event.balancer, ReturnReason.NOT_HELD, now)
    if flow.initial_seq is not None:
        # Until the upstream has answered, the caller may have accepted the answer of
        # another one.
        flow.phase = Phase.OPEN
    flow.last_packet_at = now
    flow.balancer = event.balancer
    flow.caller_ack = packet.ack
    if packet.flags & (FIN | RST):
        flow.closed = True
        _slots.record_caller_close(state, packet.flow)
    if packet.flags & RST:
        dropped = _slots.drop_request(state, packet.flow, now)
        return [SendToUpstream(packet, event.balancer), *dropped]
    if packet.length:
        return _slots.handle_request_packet(state, flow, packet, now)
    record_probe_packet(flow, packet)
    return [SendToUpstream(packet, event.balancer)]


def _handle_syn(
    state: AgentState, packet: Packet, balancer: str, now: float
) -> list[Effect]:
    flow = state.flows.get(packet.flow)
    if flow is not None and flow.closed and not _is_syn_copy(flow, packet):
        # The caller uses the port of an ended flow again.
        effects = _slots.drop_request(state, packet.flow, now)
        del state.flows[packet.flow]
        return effects + _handle_syn(state, packet, balancer, now)
    accepting = can_accept_flows(state, now)
    if (
        flow is not None
        and _is_syn_copy(flow, packet)
        and (flow.phase == Phase.OPEN or (accepting and _is_answered(flow)))
    ):
        return _handle_copy_of_answered_syn(state, flow, packet, balancer, now)
    if not accepting or now < state.refused_until:
        return return_packet(state, packet, balancer, ReturnReason.NOT_TAKING, now)
    if flow is None:
        if len(state.flows) >= MAX_FLOWS:
            return return_packet(state, packet, balancer, ReturnReason.NOT_TAKING, now)
        if not _slots.can_answer_in_time(state, packet, now):
            return return_packet(state, packet, balancer, ReturnReason.OVERLOADED, now)
        flow = AgentFlow(
            phase=Phase.HALF_OPEN,
            last_packet_at=now,
            balancer=balancer,
            syn_seq=packet.seq,
            syn_copy_delay=get_syn_copy_delay(packet),
        )
        state.flows[packet.flow] = flow
        if flow.syn_copy_delay:
            state.backlog.syn_lost_at = now - flow.syn_copy_delay
    flow.last_packet_at = now
    flow.balancer = balancer
    record_sent_packet(state, now)
    return [SendToUpstream(packet, balancer)]


def _is_syn_copy(flow: AgentFlow, syn: Packet) -> bool:
    """Whether a SYN may be a copy of the one that a flow began with."""
    return flow.syn_seq in (None, syn.seq)


def _is_answered(flow: AgentFlow) -> bool:
    """Whether the upstream has answered the flow's SYN, or holds the flow."""
    return flow.initial_seq is not None or flow.phase == Phase.OPEN


def _handle_copy_of_answered_syn(
    state: AgentState, flow: AgentFlow, packet: Packet, balancer: str, now: float
) -> list[Effect]:
    """Tell the balancer of a SYN's copy who has answered the SYN.

    Otherwise it would offer the flow to other upstreams.  The copy goes on to the
    upstream only while the caller may have missed the answer.
    """
    effects: list[Effect] = []
    if flow.initial_seq is not None:
        effects.append(_report_taken_flow(state, packet.flow, flow, balancer, now))
    may_need_answer = flow.phase == Phase.HALF_OPEN or flow.initial_seq is None
    if may_need_answer and can_accept_flows(state, now):
        effects.append(SendToUpstream(packet, balancer))
    return effects


def _report_taken_flow(
    state: AgentState, key: bytes, flow: AgentFlow, balancer: str, now: float
) -> Effect:
    assert flow.initial_seq is not None
    taken = FlowTaken(
        flow=key,
        boot=state.report.boot,
        initial_seq=flow.initial_seq,
        load=build_load(state, now),
    )
    return SendMessage(balancer, taken)


def _handle_unknown_flow(
    state: AgentState, packet: Packet, balancer: str, now: float
) -> list[Effect]:
    """Return a packet, or send it to the upstream, which bounces it if not its own."""
    if is_complete(state) or state.report.state == UpstreamState.GONE:
        return return_packet(state, packet, balancer, ReturnReason.NOT_HELD, now)
    if len(state.trial_flows) < MAX_FLOWS:
        state.trial_flows[packet.flow] = balancer
    record_sent_packet(state, now)
    return [SendToUpstream(packet, balancer)]


def handle_upstream_packet(state: AgentState, event: UpstreamPacket) -> list[Effect]:
    """Send an upstream's packet to its caller and update the flow."""
    packet, now = event.packet, event.now
    state.unanswered_since = None
    effects: list[Effect] = []
    if state.report.state == UpstreamState.UNRESPONSIVE:
        effects += update_upstream_state(state, get_serving_state(state), now)
    if packet.flags & BOUNCED:
        return effects + _handle_bounced_packet(state, packet, now)
    flow = state.flows.get(packet.flow)
    if packet.flags & SYN:
        effects += _handle_syn_ack(state, flow, packet, now)
    else:
        effects += _handle_established_packet(state, flow, packet, now)
    effects.append(SendToCaller(packet))
    return effects


def _handle_syn_ack(
    state: AgentState, flow: AgentFlow | None, packet: Packet, now: float
) -> list[Effect]:
    if flow is None:
        # The answer to a copy of a SYN that was bounced before, or that a previous
        # incarnation of this agent passed on.
        if len(state.flows) >= MAX_FLOWS:
            return []
        flow = AgentFlow(phase=Phase.HALF_OPEN, last_packet_at=now, balancer="")
        state.flows[packet.flow] = flow
    if flow.phase == Phase.OPEN or flow.initial_seq == packet.seq:
        return []
    flow.initial_seq = packet.seq
    flow.taken_at = now
    fields = {"flow": packet.flow, "balancer": flow.balancer, "busy": state.busy}
    log_entry = WriteLog(event=LogEvent.FLOW_TAKEN, fields=fields)
    if not flow.balancer:
        return [log_entry]
    balancer = flow.balancer
    return [_report_taken_flow(state, packet.flow, flow, balancer, now), log_entry]


def _handle_established_packet(
    state: AgentState, flow: AgentFlow | None, packet: Packet, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    if flow is None and packet.flags & RST:
        state.trial_flows.pop(packet.flow, None)
        return effects
    if flow is None:
        flow = AgentFlow(
            phase=Phase.OPEN, last_packet_at=now, balancer="", taken_at=now
        )
        state.flows[packet.flow] = flow
        flow.caller_next_seq = packet.ack
        effects += _report_recovered_flow(state, packet.flow, now)
    flow.phase = Phase.OPEN
    flow.probes_left = 0
    flow.last_packet_at = now
    # An upstream often closes a flow together with its last answer, and the FIN may
    # overtake the content.  A FIN that follows the caller's own one is no answer.
    fin_before_answer = packet.flags & FIN and flow.running and not flow.closed
    if packet.flags & (FIN | RST):
        flow.closed = True
    effects += _slots.handle_acknowledgement(state, flow, packet, now)
    if packet.length or fin_before_answer:
        effects += _slots.finish_request(state, packet.flow, flow, now, answered=True)
    elif packet.flags & (FIN | RST):
        effects += _slots.drop_request(state, packet.flow, now)
    return effects


def _report_recovered_flow(state: AgentState, key: bytes, now: float) -> list[Effect]:
    """Tell a balancer that the upstream holds a flow that was unknown here."""
    balancer = state.trial_flows.pop(key, "")
    fields = {"flow": key, "balancer": balancer, "boot": state.report.boot}
    log_entry = WriteLog(event=LogEvent.FLOW_RELEARNED, fields=fields)
    if not balancer:
        return [log_entry]
    located = Located(
        boot=state.report.boot,
        held=[key],
        unknown=[],
        unsure=[],
        load=build_load(state, now),
    )
    return [log_entry, SendMessage(balancer, located)]


def _was_open(flow: AgentFlow) -> bool:
    """Whether the flow was open at the upstream."""
    return flow.phase == Phase.OPEN and flow.taken_at is not None


def _handle_bounced_packet(
    state: AgentState, packet: Packet, now: float
) -> list[Effect]:
    """Return a packet that the upstream bounced because it holds no such flow.

    If the upstream held the flow before, no other one can hold it: the flow is reset.
    A bounced SYN says nothing about a flow whose SYN the upstream has answered.
    """
    flow = state.flows.get(packet.flow)
    if is_syn(packet) and flow is not None and _is_answered(flow):
        return _handle_bounced_copy(state, flow, packet, now)
    state.trial_flows.pop(packet.flow, None)
    effects = _slots.drop_request(state, packet.flow, now)
    bounced_syn = is_syn(packet)
    if flow is not None and not bounced_syn and _was_open(flow):
        del state.flows[packet.flow]
        fields = {"flows": 1, "reason": "bounced", "boot": state.report.boot}
        log_entry = WriteLog(event=LogEvent.FLOWS_FREED, fields=fields)
        return [*effects, ResetFlow(packet.flow, flow.caller_ack), log_entry]
    if bounced_syn:
        state.refused_until = now + REFUSAL_BACKOFF_SECONDS
    reason = ReturnReason.REFUSED if bounced_syn else ReturnReason.NOT_HELD
    if bounced_syn and packet.copy and not is_complete(state):
        # The upstream may hold the flow since before this agent's start.
        reason = ReturnReason.COPY_REFUSED
    balancer = packet.balancer or (flow.balancer if flow else "")
    if balancer:
        effects += return_packet(state, packet, balancer, reason, now)
    state.flows.pop(packet.flow, None)
    return effects


def _handle_bounced_copy(
    state: AgentState, flow: AgentFlow, packet: Packet, now: float
) -> list[Effect]:
    """Return a bounced SYN whose addresses are those of a flow that is held.

    A copy of the flow's own SYN is not returned: its balancer knows who has answered.
    """
    if _is_syn_copy(flow, packet) or not packet.balancer:
        return []
    reason = ReturnReason.REFUSED
    return return_packet(state, packet, packet.balancer, reason, now)
