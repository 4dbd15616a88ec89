"""How a balancer finds the upstream of a flow that it does not know.

It asks the agents of its own availability zone, where most of its flows are, and
then all others, many flows in one message.  An agent that cannot tell is
given one packet: its upstream takes it or bounces it.  Once every agent has
denied the flow, no upstream holds it, and its caller is told so.
"""

from __future__ import annotations

from collections.abc import Iterable

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _nodes, _reading, _searches
from shedsill.datagram._balancer_state import (
    BalancerFlow,
    BalancerState,
    forward,
    reset_flows,
)
from shedsill.datagram._effects import Effect, ResetFlow, SendMessage
from shedsill.datagram._messages import Locate, Located, NodeReport, split
from shedsill.datagram._packet import RST, Packet
from shedsill.datagram._searches import Phase, Search
from shedsill.datagram._selection import prefer_hosts

FLOWS_PER_QUESTION = 80
"""Flows in one message; 14 octets each, so that question and answer fit a packet of
1,200 octets however many flows are searched for after a restart."""


def search(state: BalancerState, packet: Packet, now: float) -> list[Effect]:
    """Hold a packet of an unknown flow, and ask for the flow."""
    if packet.flags & RST:
        return []
    if packet.flow in state.resets:
        return [ResetFlow(packet.flow, packet.ack)]
    search = state.searches.get(packet.flow)
    if search is None:
        if len(state.searches) >= _searches.MAX_SEARCHES:
            return [WriteLog(event=LogEvent.SEARCH_DROPPED, fields={"flow": packet.flow})]
        search = _begin(state, packet.flow, packet.ack, now)
        search.packets.append(packet)
        return []
    _searches.hold_packet(search, packet, now)
    if _searches.is_due(search, now):
        return _ask_again(state, packet.flow, search, now)
    return conclude(state, packet.flow, search)


def _list_answering(state: BalancerState) -> list[str]:
    return [host for host, view in state.nodes.upstreams.items() if not view.lost]


def _begin(
    state: BalancerState, flow: bytes, caller_ack: int, now: float, without: str = ""
) -> Search:
    """Begin to look for a flow, near agents first; octets between zones are dear."""
    views = state.nodes.upstreams
    hosts = [host for host in _list_answering(state) if host != without]
    near = [h for h in hosts if views[h].report.zone == state.report.zone]
    first = near or hosts
    later = set(hosts).difference(first)
    search = _searches.begin_search(caller_ack, first, later, now)
    state.searches[flow] = search
    _ask(state, flow, first)
    return search


def _ask(state: BalancerState, flow: bytes, hosts: Iterable[str]) -> None:
    for host in hosts:
        state.to_locate.setdefault(host, []).append(flow)


def _ask_again(
    state: BalancerState, flow: bytes, search: Search, now: float
) -> list[Effect]:
    _suspect_silent(state, search, now)
    search.asked = now
    if search.phase == Phase.TRYING and search.waiting:
        return _try_packet(state, search)
    if _searches.is_denied(search):
        if _reading.is_wanted(state.reading):
            return conclude(state, flow, search)
        search.waiting = set(_list_answering(state))
    search.waiting |= search.later
    search.later = set()
    _ask(state, flow, search.waiting)
    return conclude(state, flow, search)


def _suspect_silent(state: BalancerState, search: Search, now: float) -> None:
    """Have agents that left a search unanswered asked whether they are alive.

    Otherwise one that is gone, and that nothing else here depends on, would hold every
    search up until callers give up.
    """
    for host in search.waiting:
        view = state.nodes.upstreams.get(host)
        if view is not None and not view.lost and view.heard < search.asked:
            _nodes.suspect(view, now)


def take_located(
    state: BalancerState, located: Located, host: str, now: float
) -> list[Effect]:
    """Take in what an agent says of the flows that it was asked for."""
    effects = _settle_doubts(state, located, host)
    for flow in located.held:
        effects += _found(state, flow, host, located.boot, now)
    for flow in located.unknown:
        search = state.searches.get(flow)
        if search is not None and host in search.waiting:
            search.waiting.discard(host)
            effects += conclude(state, flow, search)
    for flow in located.unsure:
        search = state.searches.get(flow)
        if search is not None and host in search.waiting:
            search.waiting.discard(host)
            search.unsure.add(host)
            effects += conclude(state, flow, search)
    return effects


def doubt_flows(state: BalancerState, report: NodeReport) -> None:
    """Ask an agent for the flows that it named under another run of its upstream.

    They died with that run, unless the new run took them before its agent knew of it.
    The caller of a dead one may be waiting for an answer with nothing left to send,
    so that no packet of its would tell it.
    """
    for key, flow in state.flows.items():
        if flow.host == report.host and flow.boot not in ("", report.boot):
            flow.doubted = True
            ask_holder(state, key, flow)


def ask_holder(state: BalancerState, key: bytes, flow: BalancerFlow) -> None:
    """Ask the agent that held a flow whether it holds it still."""
    _ask(state, key, (flow.host,))


def _settle_doubts(state: BalancerState, located: Located, host: str) -> list[Effect]:
    """Reset the doubted flows that their agent does not hold; keep the others.

    No other agent can hold them: a flow stays where it was opened.
    """
    for key in (*located.held, *located.unsure):
        flow = state.flows.get(key)
        if flow is not None and flow.host == host:
            flow.doubted = False
            # An agent that has just started may not know its upstream's run yet.
            flow.boot = located.boot or flow.boot
    # A flow that was asked for twice is named twice.
    unknown = dict.fromkeys(located.unknown)
    dead = [key for key in unknown if _is_doubted(state, key, host)]
    return reset_flows(state, dead, host, "upstream restarted")


def _is_doubted(state: BalancerState, key: bytes, host: str) -> bool:
    flow = state.flows.get(key)
    return flow is not None and flow.doubted and flow.host == host


def _found(
    state: BalancerState, flow: bytes, host: str, boot: str, now: float
) -> list[Effect]:
    view = state.nodes.upstreams.get(host)
    search = state.searches.pop(flow, None)
    if view is None or search is None:
        return []
    service = view.report.service
    known = BalancerFlow(service=service, seen=now, begun=now, host=host, boot=boot)
    state.flows[flow] = known
    state.holding_hosts.add(host)
    fields = {
        "flow": flow,
        "upstream": host,
        "after": round(now - search.begun, 3),
        "tried": search.tried,
    }
    effects: list[Effect] = [WriteLog(event=LogEvent.FLOW_FOUND, fields=fields)]
    for packet in search.packets:
        known.caller_ack = packet.ack
        effects.append(forward(state, host, known.service, packet))
    return effects


def conclude(state: BalancerState, flow: bytes, search: Search) -> list[Effect]:
    """Act on a search whose open questions are answered."""
    if search.waiting:
        return []
    if search.later:
        search.waiting, search.later = search.later, set()
        _ask(state, flow, search.waiting)
        return []
    if search.unsure:
        return _try_next(state, flow, search)
    if not _knows_all(state, search.seen):
        return []
    if not _reading.is_recent(state.reading, state.last_tick):
        return _reading.want(state.reading, state.last_tick)
    del state.searches[flow]
    state.resets[flow] = search.seen
    views = state.nodes.upstreams.values()
    fields = {
        "flow": flow,
        "asked": len(views),
        "tried": search.tried,
        "after": round(search.seen - search.begun, 3),
        "given_up": sum(view.lost for view in views),
        "introduced": state.introduced,
    }
    return [
        ResetFlow(flow, search.caller_ack),
        WriteLog(event=LogEvent.FLOW_ORPHANED, fields=fields),
    ]


def conclude_denied(state: BalancerState) -> list[Effect]:
    """Act on searches that were waiting for a recent list of agents."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        if _searches.is_denied(search):
            effects += conclude(state, key, search)
    return effects


def _try_next(state: BalancerState, flow: bytes, search: Search) -> list[Effect]:
    """Try the flow's smallest packet on the unsure agents likeliest to hold it.

    First on the few where the flow was placed if load allowed, then on the others
    of this availability zone, then on all.
    """
    if not search.packets:
        return []
    views = state.nodes.upstreams
    zone = state.report.zone
    reports = [v.report for v in views.values()]
    near = {report.host for report in reports if report.zone == zone}
    likely = prefer_hosts(_list_likely(state, search), zone=zone, flow=flow)
    for hosts in (likely, near, search.unsure):
        search.waiting = search.unsure.intersection(hosts)
        if search.waiting:
            break
    search.unsure -= search.waiting
    search.tried += len(search.waiting)
    search.phase = Phase.TRYING
    return _try_packet(state, search)


def _list_likely(state: BalancerState, search: Search) -> list[NodeReport]:
    """Return the reports of agents whose service the flow's endpoint leads to."""
    route = state.table.routes.get(search.packets[0].endpoint)
    services = {share.service for share in route.shares} if route else set()
    reports = (view.report for view in state.nodes.upstreams.values())
    return [report for report in reports if report.service in services]


def _knows_all(state: BalancerState, now: float) -> bool:
    """Whether no agent is likely to be missing among those that were asked."""
    nodes = state.nodes
    if not nodes.upstreams or not (nodes.listed or state.introduced):
        return False
    alone = not nodes.balancers
    late = now - state.started > _nodes.INTRODUCTION_LIMIT
    return state.introduced or alone or late


def _try_packet(state: BalancerState, search: Search) -> list[Effect]:
    """Give the smallest packet to upstreams; those without the flow bounce it."""
    packet = min(search.packets, key=lambda held: len(held.data))
    effects: list[Effect] = []
    for host in search.waiting:
        view = state.nodes.upstreams.get(host)
        if view is not None:
            effects.append(forward(state, host, view.report.service, packet))
    return effects


def take_denial(state: BalancerState, flow: bytes, source: str) -> list[Effect]:
    """Note that an upstream does not hold a flow that is searched for."""
    search = state.searches.get(flow)
    if search is None:
        return []
    search.waiting.discard(source)
    search.unsure.discard(source)
    search.later.discard(source)
    return conclude(state, flow, search)


def search_again(
    state: BalancerState, flow: bytes, source: str, caller_ack: int, now: float
) -> list[Effect]:
    """Look for a flow that the agent named here does not hold any more."""
    if flow in state.resets or len(state.searches) >= _searches.MAX_SEARCHES:
        return []
    search = _begin(state, flow, caller_ack, now, without=source)
    return conclude(state, flow, search)


def ask_searched(state: BalancerState, now: float) -> list[Effect]:
    """Ask again for flows not found in time; end searches that nobody needs."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        if _searches.is_over(search, now):
            del state.searches[key]
            fields = {
                "flow": key,
                "silent": sorted(search.waiting)[:4],
                "known": len(state.nodes.upstreams),
            }
            effects.append(WriteLog(event=LogEvent.SEARCH_ENDED, fields=fields))
        elif _searches.is_due(search, now):
            effects += _ask_again(state, key, search, now)
    return effects + send_questions(state)


def send_questions(state: BalancerState) -> list[Effect]:
    """Send the questions that came up since the sockets were last drained."""
    if not state.to_locate:
        return []
    asked = {host: [*dict.fromkeys(f)] for host, f in state.to_locate.items()}
    state.to_locate = {}
    return [
        SendMessage(host, Locate(flows=part))
        for host, flows in asked.items()
        for part in split(flows, FLOWS_PER_QUESTION)
    ]


def add_host(state: BalancerState, host: str) -> None:
    """Ask an agent that has just become known for the flows searched for."""
    for key, search in state.searches.items():
        search.waiting.add(host)
        _ask(state, key, (host,))


def drop_host(state: BalancerState, host: str) -> list[Effect]:
    """Wait no longer for an agent's answers."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        search.waiting.discard(host)
        search.unsure.discard(host)
        search.later.discard(host)
        effects += conclude(state, key, search)
    return effects
