"""A balancer's decisions on datagrams: no state per flow.

A connection ID that an agent minted leads to that agent.  An Initial with
another ID is a new flow.  Anything else is dropped and counted.
"""

from __future__ import annotations

import immutables
from attrs import evolve, field, frozen

from shedsill._catalogue import LogEvent
from shedsill._limits import Bucket, Rate, take_token
from shedsill.http3._configuration import AcceptedUpstream, Configuration
from shedsill.http3._effects import Effect, WriteLog, Send, SendToCaller
from shedsill.http3._events import CallerDatagram
from shedsill.http3._frames import Candidate, Load, ToCaller, ToUpstream
from shedsill.http3._keys import KeyRing
from shedsill.http3._packets import MIN_INITIAL_SIZE, Packet, PacketKind, read_packet
from shedsill.http3._placement import can_take, rank_upstreams

MAX_CALLER_BUCKETS = 10_000
SILENCE_LIMIT = 0.4
PROBE_WINDOW = 32


@frozen(kw_only=True)
class Link:
    """What a balancer knows of one agent.

    Attributes
    ----------
    load : Load
        As last reported.
    heard : float
        Local time of the last frame from it.
    waiting_since : float or None
        Local time of the first Initial or probe since then.
    """

    load: Load = field(factory=Load)
    heard: float = 0.0
    waiting_since: float | None = None


@frozen
class Caller:
    """A caller's IP number, as far as one service is concerned."""

    service: int
    host: str


@frozen(kw_only=True)
class FlowLimits:
    """Limits on new flows of one service: per caller IP number, and in all.

    Each service has buckets of its own, so that a flood on one leaves the new
    flows of the others alone.
    """

    caller: Rate = field(factory=lambda: Rate(per_second=50.0, burst=500.0))
    total: Rate = field(factory=lambda: Rate(per_second=4_000.0, burst=8_000.0))


@frozen(kw_only=True)
class Router:
    """The routing part of a balancer's state."""

    limits: FlowLimits = field(factory=FlowLimits)
    links: immutables.Map[int, Link] = field(factory=immutables.Map)
    callers: immutables.Map[Caller, Bucket] = field(factory=immutables.Map)
    totals: immutables.Map[int, Bucket] = field(factory=immutables.Map)
    last_datagram: float = 0.0


def is_silent(link: Link, now: float) -> bool:
    """Whether an agent has left a question open for too long."""
    return link.waiting_since is not None and now - link.waiting_since > SILENCE_LIMIT


def route_datagram(
    router: Router, configuration: Configuration, keys: KeyRing, event: CallerDatagram
) -> tuple[Router, list[Effect]]:
    """Decide where a caller's datagram goes."""
    packet = read_packet(event.datagram)
    if packet is None:
        return router, [_note_drop(LogEvent.DATAGRAM_MALFORMED, event)]
    upstream, misrouted = _find_route(configuration, keys, packet.cid, event.service)
    if upstream is not None:
        return router, _forward(configuration, upstream, event)
    if misrouted:
        return router, [_note_drop(LogEvent.DATAGRAM_MISROUTED, event)]
    if packet.kind != PacketKind.INITIAL or len(event.datagram) < MIN_INITIAL_SIZE:
        return router, [_note_drop(LogEvent.DATAGRAM_UNROUTABLE, event)]
    return _place_flow(router, configuration, packet, event)


def _find_route(
    configuration: Configuration, keys: KeyRing, cid: bytes, service: int
) -> tuple[AcceptedUpstream | None, bool]:
    """Return the upstream that a connection ID names, or whether it is foreign."""
    misrouted = False
    for route in keys.decode(cid):
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
    router: Router, configuration: Configuration, packet: Packet, event: CallerDatagram
) -> tuple[Router, list[Effect]]:
    caller = Caller(event.service, event.caller.host)
    router, admitted = _take_tokens(router, caller, event.now)
    if not admitted:
        return router, [_note_drop(LogEvent.FLOW_LIMITED, event)]
    ranked = rank_upstreams(
        configuration.list_upstreams(event.service), event.service, packet.cid
    )
    if not ranked:
        return router, [_note_drop(LogEvent.NO_CANDIDATE, event)]
    answering = [u for u in ranked if not _is_upstream_silent(router, u, event.now)]
    first = answering[0] if answering else ranked[0]
    alternate = _find_alternate(router, answering[1:], event.now)
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
    return note_question(router, first.number, event.now), effects


def _find_alternate(
    router: Router, others: list[AcceptedUpstream], now: float
) -> Candidate | None:
    """Return the first other candidate that can take a flow."""
    for upstream in others:
        link = router.links.get(upstream.number)
        if link is not None and link.heard > 0.0 and can_take(link.load):
            age = max(now - link.heard, 0.0)
            return Candidate(upstream=upstream.number, load=link.load, age=age)
    return None


def _is_upstream_silent(router: Router, upstream: AcceptedUpstream, now: float) -> bool:
    link = router.links.get(upstream.number)
    return link is not None and is_silent(link, now)


def _take_tokens(router: Router, caller: Caller, now: float) -> tuple[Router, bool]:
    limits = router.limits
    bucket, admitted = take_token(router.totals.get(caller.service), limits.total, now)
    router = evolve(router, totals=router.totals.set(caller.service, bucket))
    if not admitted:
        return router, False
    callers = router.callers
    if len(callers) >= MAX_CALLER_BUCKETS and caller not in callers:
        callers = _drop_full_buckets(callers, limits.caller, now)
    bucket, admitted = take_token(callers.get(caller), limits.caller, now)
    return evolve(router, callers=callers.set(caller, bucket)), admitted


def _drop_full_buckets(
    callers: immutables.Map[Caller, Bucket], rate: Rate, now: float
) -> immutables.Map[Caller, Bucket]:
    """Forget callers whose bucket has filled up again, or else everyone."""
    refill = rate.burst / rate.per_second
    kept = {who: b for who, b in callers.items() if now - b.updated_at < refill}
    if len(kept) >= MAX_CALLER_BUCKETS:
        return immutables.Map()
    return immutables.Map(kept)


def note_question(router: Router, upstream: int, now: float) -> Router:
    """Note that an agent was sent something that it has to answer."""
    link = router.links.get(upstream, Link())
    if link.waiting_since is not None:
        return router
    link = evolve(link, waiting_since=now)
    return evolve(router, links=router.links.set(upstream, link))


def note_answer(router: Router, upstream: int, load: Load, now: float) -> Router:
    """Note a frame from an agent and the load that it reports."""
    link = router.links.get(upstream)
    if (
        link is not None
        and link.waiting_since is None
        and link.load == load
        and now - link.heard < SILENCE_LIMIT / 4
    ):
        return router
    fresh = Link(load=load, heard=now)
    return evolve(router, links=router.links.set(upstream, fresh))


def relay_answer(frame: ToCaller) -> SendToCaller:
    """Return the effect that takes an agent's datagram to its caller."""
    return SendToCaller(
        service=frame.service, caller=frame.caller, datagram=frame.datagram
    )


def find_quiet(
    router: Router, configuration: Configuration, now: float, *, idle: float, beat: int
) -> tuple[AcceptedUpstream, ...]:
    """Return agents that should be probed: silent, or long not heard of.

    Each beat looks at one window of the upstreams, so that a beat takes as long
    for many upstreams as for few.
    """
    upstreams = configuration.upstreams
    start = beat * PROBE_WINDOW % max(len(upstreams), 1)
    window = upstreams[start : start + PROBE_WINDOW]
    if len(upstreams) <= PROBE_WINDOW:
        window = upstreams
    quiet = []
    for upstream in window:
        link = router.links.get(upstream.number)
        if link is None or is_silent(link, now) or now - link.heard > idle:
            quiet.append(upstream)
    return tuple(quiet)


def prune_links(router: Router, configuration: Configuration) -> Router:
    """Forget agents that the configuration no longer names."""
    links = router.links
    for number in router.links:
        if configuration.find_upstream(number) is None:
            links = links.delete(number)
    return evolve(router, links=links)


def _note_drop(event: LogEvent, datagram: CallerDatagram) -> WriteLog:
    fields = {"caller": str(datagram.caller), "octets": len(datagram.datagram)}
    return WriteLog(event=event, fields=fields)
