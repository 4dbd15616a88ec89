"""Handling of callers' datagrams by an agent: flows it serves, forwards or resets."""

from __future__ import annotations

from attrs import evolve

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill._limits import take_token
from shedsill.http3._agent_state import (
    AgentState,
    PeerLoad,
    PlacementDecision,
    get_load,
)
from shedsill.http3._configuration import AcceptedUpstream
from shedsill.http3._effects import (
    Deliver,
    Effect,
    MoveReplyPath,
    RefuseFlow,
    RequireRetry,
    ResetFlow,
    Send,
    WriteLog,
)
from shedsill.http3._events import FrameReceived
from shedsill.http3._frames import Candidate, ToUpstream
from shedsill.http3._packets import PacketHeader, PacketKind, read_packet_header
from shedsill.http3._placement import (
    MIN_SLOW_START_SHARE,
    is_alternate_preferred,
    rank_upstreams,
)

DECISION_LIFETIME_SECONDS = 10.0
FORWARD_TIMEOUT_SECONDS = 0.8
REPLY_PATH_TIMEOUT_SECONDS = 1.5
REPLY_PATH_MAX_AGE_SECONDS = 1.2
REPLY_PATH_UPDATE_INTERVAL_SECONDS = 0.25
MAX_DECISIONS = 20_000
REPORT_AGE_RESOLUTION_SECONDS = 0.001  # ages are sent in milliseconds

Step = tuple[AgentState, list[Effect]]


def handle_caller_datagram(
    state: AgentState, event: FrameReceived, frame: ToUpstream
) -> Step:
    """Deliver a caller's datagram, forward it, or reset or refuse its flow."""
    state = record_reply_path(state, event.source, event.now, passed=frame.is_forwarded)
    if frame.upstream != state.upstream or frame.service != state.service:
        fields = {"upstream": frame.upstream, "service": frame.service}
        return state, [WriteLog(event=LogEvent.DATAGRAM_MISROUTED, fields=fields)]
    packet = read_packet_header(frame.datagram)
    if packet is None:
        fields = {"octets": len(frame.datagram)}
        return state, [WriteLog(event=LogEvent.DATAGRAM_MALFORMED, fields=fields)]
    reply_to = frame.reply_to or event.source
    for route in state.keys.decode_connection_id(packet.cid):
        if (route.upstream, route.service) != (state.upstream, state.service):
            continue
        if route.incarnation == state.incarnation:
            return state, [_build_delivery(frame, reply_to, can_open_connection=False)]
        return state, _reset_flow(packet, frame, reply_to)
    if packet.kind != PacketKind.INITIAL:
        fields = {"octets": len(frame.datagram)}
        return state, [WriteLog(event=LogEvent.DATAGRAM_UNROUTABLE, fields=fields)]
    return _handle_new_flow(state, event, frame, packet, reply_to)


def _build_delivery(
    frame: ToUpstream, reply_to: Address, *, can_open_connection: bool
) -> Deliver:
    return Deliver(
        caller=frame.caller,
        datagram=frame.datagram,
        reply_to=reply_to,
        can_open_connection=can_open_connection,
    )


def _reset_flow(
    packet: PacketHeader, frame: ToUpstream, reply_to: Address
) -> list[Effect]:
    if packet.kind != PacketKind.SHORT:
        return []
    effect = ResetFlow(
        caller=frame.caller,
        cid=packet.cid,
        size=len(frame.datagram),
        reply_to=reply_to,
    )
    return [WriteLog(event=LogEvent.FLOW_RESET, fields={}), effect]


def _handle_new_flow(
    state: AgentState,
    event: FrameReceived,
    frame: ToUpstream,
    packet: PacketHeader,
    reply_to: Address,
) -> Step:
    decision = state.decisions.get(packet.cid)
    if decision is not None:
        return _repeat_decision(state, event, frame, packet, decision, reply_to)
    if not packet.has_token:
        bucket, taken = take_token(
            state.handshake_bucket, state.settings.handshake_rate, event.now
        )
        state = evolve(state, handshake_bucket=bucket)
        if not taken and state.drain is None:
            log = WriteLog(event=LogEvent.FLOW_RETRIED, fields={})
            retry = RequireRetry(
                caller=frame.caller, datagram=frame.datagram, reply_to=reply_to
            )
            return state, [log, retry]
    return _place_flow(state, event, frame, packet, reply_to)


def _repeat_decision(
    state: AgentState,
    event: FrameReceived,
    frame: ToUpstream,
    packet: PacketHeader,
    decision: PlacementDecision,
    reply_to: Address,
) -> Step:
    """Repeat an earlier decision, or keep the flow if forwarding it has failed."""
    if decision.upstream == state.upstream:
        return state, [_build_delivery(frame, reply_to, can_open_connection=True)]
    if frame.is_forwarded:
        # Never forward twice, or two agents could forward to each other forever.
        return _place_flow(state, event, frame, packet, reply_to)
    target = state.node.configuration.find_upstream(decision.upstream)
    timed_out = event.now - decision.decided_at > FORWARD_TIMEOUT_SECONDS
    if target is None or (timed_out and state.drain is None):
        return _keep_flow(state, event, frame, packet, reply_to)
    return state, [_forward_datagram(state, frame, target, reply_to)]


def _place_flow(
    state: AgentState,
    event: FrameReceived,
    frame: ToUpstream,
    packet: PacketHeader,
    reply_to: Address,
) -> Step:
    load = get_load(state)
    slow_start_share = get_slow_start_share(state, event.now)
    target = None
    if not frame.is_forwarded:
        state, alternate = _estimate_alternate(state, frame.alternate, event.now)
        if is_alternate_preferred(
            state.policy, load, alternate, slow_start_share=slow_start_share
        ):
            assert alternate is not None
            target = state.node.configuration.find_upstream(alternate.upstream)
        elif not load.open:
            target = _find_other_candidate(state, packet)
    if target is not None:
        state = _count_forwarded(state, target.number)
        state = _record_decision(state, packet, target.number, event.now)
        fields = {"upstream": target.name, "flows": load.flows}
        log = WriteLog(event=LogEvent.FLOW_PASSED, fields=fields)
        return state, [log, _forward_datagram(state, frame, target, reply_to)]
    if state.drain is not None or load.flows >= load.flow_limit or not load.open:
        fields = {"flows": load.flows, "limit": load.flow_limit, "open": load.open}
        refusal = RefuseFlow(
            caller=frame.caller, datagram=frame.datagram, reply_to=reply_to
        )
        return state, [WriteLog(event=LogEvent.FLOW_REFUSED, fields=fields), refusal]
    return _keep_flow(state, event, frame, packet, reply_to)


def _estimate_alternate(
    state: AgentState, candidate: Candidate | None, now: float
) -> tuple[AgentState, Candidate | None]:
    """Estimate the current load of the alternate from its last report.

    Assumes that the alternate has gained as many flows of its own as this agent, and
    that every agent of the service has forwarded as many flows to it as this one.
    """
    if candidate is None:
        return state, None
    reported_at = now - candidate.age
    peer_load = state.peer_loads.get(candidate.upstream)
    changed = peer_load is None or candidate.load != peer_load.load
    if peer_load is None or (
        changed and reported_at > peer_load.reported_at + REPORT_AGE_RESOLUTION_SECONDS
    ):
        peer_load = PeerLoad(
            load=candidate.load, reported_at=reported_at, own_flows=state.flow_count
        )
        state = evolve(
            state, peer_loads=state.peer_loads.set(candidate.upstream, peer_load)
        )
    peers = len(state.node.configuration.list_upstreams(state.service)) - 1
    gained = state.flow_count - peer_load.own_flows
    flows = peer_load.load.flows + gained + peer_load.forwarded_flows * max(peers, 1)
    load = evolve(peer_load.load, flows=max(flows, 0))
    return state, evolve(
        candidate, load=load, age=max(now - peer_load.reported_at, 0.0)
    )


def _count_forwarded(state: AgentState, upstream: int) -> AgentState:
    peer_load = state.peer_loads.get(upstream)
    if peer_load is None:
        return state
    peer_load = evolve(peer_load, forwarded_flows=peer_load.forwarded_flows + 1)
    return evolve(state, peer_loads=state.peer_loads.set(upstream, peer_load))


def _keep_flow(
    state: AgentState,
    event: FrameReceived,
    frame: ToUpstream,
    packet: PacketHeader,
    reply_to: Address,
) -> Step:
    state = _record_decision(state, packet, state.upstream, event.now)
    fields = {"caller": str(frame.caller), "flows": state.flow_count}
    log = WriteLog(event=LogEvent.FLOW_KEPT, fields=fields)
    return state, [log, _build_delivery(frame, reply_to, can_open_connection=True)]


def _find_other_candidate(
    state: AgentState, packet: PacketHeader
) -> AcceptedUpstream | None:
    """Return the first candidate other than this upstream."""
    ranked = rank_upstreams(
        state.node.configuration.list_upstreams(state.service),
        state.service,
        packet.cid,
    )
    others = [u for u in ranked if u.number != state.upstream]
    return others[0] if others else None


def _forward_datagram(
    state: AgentState, frame: ToUpstream, target: AcceptedUpstream, reply_to: Address
) -> Send:
    forwarded = ToUpstream(
        generation=state.node.configuration.generation,
        service=frame.service,
        upstream=target.number,
        caller=frame.caller,
        datagram=frame.datagram,
        reply_to=reply_to,
    )
    return Send(destination=target.socket_address, frame=forwarded)


def _record_decision(
    state: AgentState, packet: PacketHeader, upstream: int, now: float
) -> AgentState:
    decisions = state.decisions
    if len(decisions) >= MAX_DECISIONS:
        return state
    decision = PlacementDecision(upstream=upstream, decided_at=now)
    return evolve(state, decisions=decisions.set(packet.cid, decision))


def get_slow_start_share(state: AgentState, now: float) -> float:
    """Return the share of the flow limit that counts during slow start, up to 1."""
    span = state.settings.slow_start
    if span <= 0.0:
        return 1.0
    share = (now - state.slow_start_at) / span
    return min(max(share, MIN_SLOW_START_SHARE), 1.0)


def drop_expired_decisions(state: AgentState, now: float) -> AgentState:
    """Drop decisions of handshakes that must have ended."""
    decisions = state.decisions
    for cid, decision in state.decisions.items():
        if now - decision.decided_at > DECISION_LIFETIME_SECONDS:
            decisions = decisions.delete(cid)
    if decisions is state.decisions:
        return state
    return evolve(state, decisions=decisions)


def record_reply_path(
    state: AgentState, source: Address, now: float, *, passed: bool
) -> AgentState:
    """Record a frame from a balancer; forwarded frames come from an agent."""
    if passed:
        return state
    last_heard_at = state.reply_paths.get(source)
    if (
        last_heard_at is not None
        and now - last_heard_at < REPLY_PATH_UPDATE_INTERVAL_SECONDS
    ):
        return state
    return evolve(state, reply_paths=state.reply_paths.set(source, now))


def replace_silent_reply_paths(state: AgentState, now: float) -> Step:
    """Send replies through the balancer heard last instead of silent ones.

    A caller that only receives sends no datagram that would show the agent another
    path.
    """
    recent = [
        (last_heard_at, address)
        for address, last_heard_at in state.reply_paths.items()
        if now - last_heard_at < REPLY_PATH_MAX_AGE_SECONDS
    ]
    if not recent:
        return state, []
    newest = max(recent)[1]
    effects: list[Effect] = []
    paths = state.reply_paths
    for address, last_heard_at in state.reply_paths.items():
        if now - last_heard_at <= REPLY_PATH_TIMEOUT_SECONDS:
            continue
        paths = paths.delete(address)
        fields = {"silent": str(address), "instead": str(newest)}
        effects.append(WriteLog(event=LogEvent.REPLY_PATH_MOVED, fields=fields))
        effects.append(MoveReplyPath(old=address, new=newest))
    return evolve(state, reply_paths=paths), effects
