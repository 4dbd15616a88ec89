"""Routing of callers' datagrams by a balancer, without state per flow.

A connection ID issued by an agent routes to that agent.  An Initial packet with
any other ID starts a new flow.  All other datagrams are dropped and counted.
"""

from __future__ import annotations

import immutables
from attrs import evolve, field, frozen

from shedsill._catalogue import LogEvent
from shedsill._limits import Bucket, Rate, take_token
from shedsill.http3._configuration import AcceptedUpstream, Configuration
from shedsill.http3._effects import Effect, Send, SendToCaller, WriteLog
from shedsill.http3._events import CallerDatagram
from shedsill.http3._frames import Candidate, Load, ToCaller, ToUpstream
from shedsill.http3._keys import KeyRing
from shedsill.http3._packets import (
    MIN_INITIAL_BYTES,
    PacketHeader,
    PacketKind,
    read_packet_header,
)
from shedsill.http3._placement import can_accept_flow, rank_upstreams

MAX_CALLER_BUCKETS = 10_000
ANSWER_TIMEOUT_SECONDS = 0.4  # for an agent's answer to an Initial or probe
UPSTREAMS_CHECKED_PER_HEARTBEAT = 32


@frozen(kw_only=True)
class AgentStatus:
    """Last known load and liveness of one agent.

    Attributes
    ----------
    load : Load
        Last load that the agent reported.
    last_heard_at : float
        Local time of the last frame from the agent; 0 if there was none.
    unanswered_since : float or None
        Local time of the first Initial or probe sent after that frame.
    """

    load: Load = field(factory=Load)
    last_heard_at: float = 0.0
    unanswered_since: float | None = None


@frozen
class CallerKey:
    """Key of a rate limit: one caller's IP address at one service."""

    service: int
    host: str


@frozen(kw_only=True)
class FlowLimits:
    """Rate limits on new flows, per caller IP address and per service.

    Services do not share buckets, so a flood on one service does not limit the
    new flows of another.
    """

    per_caller: Rate = field(factory=lambda: Rate(per_second=50.0, burst=500.0))
    per_service: Rate = field(factory=lambda: Rate(per_second=4_000.0, burst=8_000.0))


@frozen(kw_only=True)
class Router:
    """Routing state of a balancer.

    Attributes
    ----------
    agents : Map
        Status of each agent, by upstream number.
    caller_buckets, service_buckets : Map
        Token buckets of the limits on new flows.
    last_datagram_at : float
        Local time of the last datagram from a caller during a planned stop; at
        first the start of that stop.
    """

    limits: FlowLimits = field(factory=FlowLimits)
    agents: immutables.Map[int, AgentStatus] = field(factory=immutables.Map)
    caller_buckets: immutables.Map[CallerKey, Bucket] = field(factory=immutables.Map)
    service_buckets: immutables.Map[int, Bucket] = field(factory=immutables.Map)
    last_datagram_at: float = 0.0


def is_silent(agent: AgentStatus, now: float) -> bool:
    """Whether an Initial or probe to an agent has gone unanswered for too long."""
    return (
        agent.unanswered_since is not None
        and now - agent.unanswered_since > ANSWER_TIMEOUT_SECONDS
    )


def route_datagram(
    router: Router, configuration: Configuration, keys: KeyRing, event: CallerDatagram
) -> tuple[Router, list[Effect]]:
    """Forward a caller's datagram to an agent, or drop it."""
    packet = read_packet_header(event.datagram)
    if packet is None:
        return router, [_log_drop(LogEvent.DATAGRAM_MALFORMED, event)]
    upstream, misrouted = _find_route(configuration, keys, packet.cid, event.service)
    if upstream is not None:
        return router, _forward(configuration, upstream, event)
    if misrouted:
        return router, [_log_drop(LogEvent.DATAGRAM_MISROUTED, event)]
    if packet.kind != PacketKind.INITIAL or len(event.datagram) < MIN_INITIAL_BYTES:
        return router, [_log_drop(LogEvent.DATAGRAM_UNROUTABLE, event)]
    return _place_flow(router, configuration, packet, event)


def _find_route(
    configuration: Configuration, keys: KeyRing, cid: bytes, service: int
) -> tuple[AcceptedUpstream | None, bool]:
    """Return the upstream of a connection ID, and whether it is misrouted.

    An ID is misrouted if it belongs to an upstream of another service.
    """
    misrouted = False
    for route in keys.decode_connection_id(cid):
        upstream = configuration.find_upstream(route.upstream)
        if upstream is None or upstream.service != route.service:
            continue
        if route.service == service:
            return upstream, False
        misrouted = True
    return None, misrouted


def _forward(
    configuration: Configuration, upstream: AcceptedUpstream, event: CallerDatagram
) -> list[Effect]:
    frame = ToUpstream(
        generation=configuration.generation,
        service=event.service,
        upstream=upstream.number,
        caller=event.caller,
        datagram=event.datagram,
    )
    fields = {"upstream": upstream.name}
    return [
        WriteLog(event=LogEvent.FLOW_ROUTED, fields=fields),
        Send(destination=upstream.socket_address, frame=frame),
    ]


def _place_flow(
    router: Router,
    configuration: Configuration,
    packet: PacketHeader,
    event: CallerDatagram,
) -> tuple[Router, list[Effect]]:
    caller = CallerKey(event.service, event.caller.host)
    router, admitted = _take_tokens(router, caller, event.now)
    if not admitted:
        return router, [_log_drop(LogEvent.FLOW_LIMITED, event)]
    ranked = rank_upstreams(
        configuration.list_upstreams(event.service), event.service, packet.cid
    )
    if not ranked:
        return router, [_log_drop(LogEvent.NO_CANDIDATE, event)]
    responsive = [u for u in ranked if not _is_upstream_silent(router, u, event.now)]
    first = responsive[0] if responsive else ranked[0]
    alternate = _find_alternate(router, responsive[1:], event.now)
    effects: list[Effect] = []
    if first is not ranked[0]:
        fields = {"upstream": ranked[0].name, "instead": first.name}
        effects.append(WriteLog(event=LogEvent.AGENT_SUSPECTED, fields=fields))
    frame = ToUpstream(
        generation=configuration.generation,
        service=event.service,
        upstream=first.number,
        caller=event.caller,
        datagram=event.datagram,
        alternate=alternate,
    )
    fields = {"upstream": first.name, "caller": str(event.caller)}
    effects.append(WriteLog(event=LogEvent.FLOW_PLACED, fields=fields))
    effects.append(Send(destination=first.socket_address, frame=frame))
    return record_awaited_answer(router, first.number, event.now), effects


def _find_alternate(
    router: Router, others: list[AcceptedUpstream], now: float
) -> Candidate | None:
    """Return the first other candidate that can accept a flow."""
    for upstream in others:
        agent = router.agents.get(upstream.number)
        if (
            agent is not None
            and agent.last_heard_at > 0.0
            and can_accept_flow(agent.load)
        ):
            age = max(now - agent.last_heard_at, 0.0)
            return Candidate(upstream=upstream.number, load=agent.load, age=age)
    return None


def _is_upstream_silent(router: Router, upstream: AcceptedUpstream, now: float) -> bool:
    agent = router.agents.get(upstream.number)
    return agent is not None and is_silent(agent, now)


def _take_tokens(router: Router, caller: CallerKey, now: float) -> tuple[Router, bool]:
    limits = router.limits
    bucket, admitted = take_token(
        router.service_buckets.get(caller.service), limits.per_service, now
    )
    router = evolve(
        router, service_buckets=router.service_buckets.set(caller.service, bucket)
    )
    if not admitted:
        return router, False
    callers = router.caller_buckets
    if len(callers) >= MAX_CALLER_BUCKETS and caller not in callers:
        callers = _drop_full_buckets(callers, limits.per_caller, now)
    bucket, admitted = take_token(callers.get(caller), limits.per_caller, now)
    return evolve(router, caller_buckets=callers.set(caller, bucket)), admitted


def _drop_full_buckets(
    callers: immutables.Map[CallerKey, Bucket], rate: Rate, now: float
) -> immutables.Map[CallerKey, Bucket]:
    """Drop buckets that have been refilled; if too many remain, drop all."""
    refill = rate.burst / rate.per_second
    kept = {key: b for key, b in callers.items() if now - b.updated_at < refill}
    if len(kept) >= MAX_CALLER_BUCKETS:
        return immutables.Map()
    return immutables.Map(kept)


def record_awaited_answer(router: Router, upstream: int, now: float) -> Router:
    """Record that an Initial or probe was sent, which the agent has to answer."""
    agent = router.agents.get(upstream, AgentStatus())
    if agent.unanswered_since is not None:
        return router
    agent = evolve(agent, unanswered_since=now)
    return evolve(router, agents=router.agents.set(upstream, agent))


def record_agent_load(router: Router, upstream: int, load: Load, now: float) -> Router:
    """Record a frame from an agent and the load that it reports.

    An unchanged load soon after the last frame is not recorded, so that most
    replies to callers are forwarded without a new state.
    """
    agent = router.agents.get(upstream)
    if (
        agent is not None
        and agent.unanswered_since is None
        and agent.load == load
        and now - agent.last_heard_at < ANSWER_TIMEOUT_SECONDS / 4
    ):
        return router
    fresh = AgentStatus(load=load, last_heard_at=now)
    return evolve(router, agents=router.agents.set(upstream, fresh))


def relay_to_caller(frame: ToCaller) -> SendToCaller:
    """Return the effect that sends an agent's datagram to its caller."""
    return SendToCaller(
        service=frame.service, caller=frame.caller, datagram=frame.datagram
    )


def list_agents_to_probe(
    router: Router,
    configuration: Configuration,
    now: float,
    *,
    idle_seconds: float,
    heartbeat_number: int,
) -> tuple[AcceptedUpstream, ...]:
    """Return the agents to probe: silent ones, and those idle for too long.

    Each heartbeat checks the next `UPSTREAMS_CHECKED_PER_HEARTBEAT` upstreams, so
    that its cost does not grow with their total number.
    """
    upstreams = configuration.upstreams
    start = heartbeat_number * UPSTREAMS_CHECKED_PER_HEARTBEAT % max(len(upstreams), 1)
    window = upstreams[start : start + UPSTREAMS_CHECKED_PER_HEARTBEAT]
    if len(upstreams) <= UPSTREAMS_CHECKED_PER_HEARTBEAT:
        window = upstreams
    probed = []
    for upstream in window:
        agent = router.agents.get(upstream.number)
        if (
            agent is None
            or is_silent(agent, now)
            or now - agent.last_heard_at > idle_seconds
        ):
            probed.append(upstream)
    return tuple(probed)


def prune_agents(router: Router, configuration: Configuration) -> Router:
    """Drop the status of agents that are no longer configured."""
    agents = router.agents
    for number in router.agents:
        if configuration.find_upstream(number) is None:
            agents = agents.delete(number)
    return evolve(router, agents=agents)


def _log_drop(event: LogEvent, datagram: CallerDatagram) -> WriteLog:
    fields = {"caller": str(datagram.caller), "octets": len(datagram.datagram)}
    return WriteLog(event=event, fields=fields)
