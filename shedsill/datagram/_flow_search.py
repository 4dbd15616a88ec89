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
from shedsill.datagram import _failure_detection, _report_polling, _search_state
from shedsill.datagram._balancer_state import (
    BalancerFlow,
    BalancerState,
    forward_packet,
    reset_flows,
)
from shedsill.datagram._effects import Effect, ResetFlow, SendMessage
from shedsill.datagram._messages import Locate, Located, NodeReport, split_into_chunks
from shedsill.datagram._packet import RST, Packet
from shedsill.datagram._search_state import Search, SearchPhase
from shedsill.datagram._selection import list_preferred_hosts

FLOWS_PER_LOCATE = 80
"""Flows in one message; 14 octets each, so that question and answer fit a packet of
1,200 octets however many flows are searched for after a restart."""


def search_flow(state: BalancerState, packet: Packet, now: float) -> list[Effect]:
    """Hold a packet of an unknown flow, and ask for the flow."""
    if packet.flags & RST:
        return []
    if packet.flow in state.resets:
        return [ResetFlow(packet.flow, packet.ack)]
    search = state.searches.get(packet.flow)
    if search is None:
        if len(state.searches) >= _search_state.MAX_SEARCHES:
            return [
                WriteLog(event=LogEvent.SEARCH_DROPPED, fields={"flow": packet.flow})
            ]
        search = _start_search(state, packet.flow, packet.ack, now)
        search.packets.append(packet)
        return []
    _search_state.buffer_packet(search, packet, now)
    if _search_state.is_retry_due(search, now):
        return _retry_search(state, packet.flow, search, now)
    return conclude_search(state, packet.flow, search)


def _list_live_hosts(state: BalancerState) -> list[str]:
    return [host for host, view in state.nodes.upstreams.items() if not view.lost]


def _start_search(
    state: BalancerState, flow: bytes, caller_ack: int, now: float, excluded: str = ""
) -> Search:
    """Begin to look for a flow, near agents first; octets between zones are dear."""
    views = state.nodes.upstreams
    hosts = [host for host in _list_live_hosts(state) if host != excluded]
    near = [h for h in hosts if views[h].report.zone == state.report.zone]
    first = near or hosts
    later = set(hosts).difference(first)
    search = _search_state.create_search(caller_ack, first, later, now)
    state.searches[flow] = search
    _queue_locate(state, flow, first)
    return search


def _queue_locate(state: BalancerState, flow: bytes, hosts: Iterable[str]) -> None:
    for host in hosts:
        state.pending_locates.setdefault(host, []).append(flow)


def _retry_search(
    state: BalancerState, flow: bytes, search: Search, now: float
) -> list[Effect]:
    _mark_silent_suspect(state, search, now)
    search.asked_at = now
    if search.phase == SearchPhase.TRYING and search.pending_hosts:
        return _forward_trial_packet(state, search)
    if _search_state.is_denied(search):
        if _report_polling.is_read_pending(state.polling):
            return conclude_search(state, flow, search)
        search.pending_hosts = set(_list_live_hosts(state))
    search.pending_hosts |= search.deferred_hosts
    search.deferred_hosts = set()
    _queue_locate(state, flow, search.pending_hosts)
    return conclude_search(state, flow, search)


def _mark_silent_suspect(state: BalancerState, search: Search, now: float) -> None:
    """Have agents that left a search unanswered asked whether they are alive.

    Otherwise one that is gone, and that nothing else here depends on, would hold every
    search up until callers give up.
    """
    for host in search.pending_hosts:
        view = state.nodes.upstreams.get(host)
        if view is not None and not view.lost and view.last_heard_at < search.asked_at:
            _failure_detection.mark_suspect(view, now)


def handle_located(
    state: BalancerState, located: Located, host: str, now: float
) -> list[Effect]:
    """Take in what an agent says of the flows that it was asked for."""
    effects = _resolve_unverified(state, located, host)
    for flow in located.held:
        effects += _handle_found_flow(state, flow, host, located.boot, now)
    for flow in located.unknown:
        search = state.searches.get(flow)
        if search is not None and host in search.pending_hosts:
            search.pending_hosts.discard(host)
            effects += conclude_search(state, flow, search)
    for flow in located.unsure:
        search = state.searches.get(flow)
        if search is not None and host in search.pending_hosts:
            search.pending_hosts.discard(host)
            search.unsure_hosts.add(host)
            effects += conclude_search(state, flow, search)
    return effects


def verify_earlier_boot_flows(state: BalancerState, report: NodeReport) -> None:
    """Ask an agent for the flows that it named under another run of its upstream.

    They died with that run, unless the new run took them before its agent knew of it.
    The caller of a dead one may be waiting for an answer with nothing left to send,
    so that no packet of its would tell it.
    """
    for key, flow in state.flows.items():
        if flow.host == report.host and flow.boot not in ("", report.boot):
            flow.unverified = True
            verify_flow(state, key, flow)


def verify_flow(state: BalancerState, key: bytes, flow: BalancerFlow) -> None:
    """Ask the agent that held a flow whether it holds it still."""
    _queue_locate(state, key, (flow.host,))


def _resolve_unverified(
    state: BalancerState, located: Located, host: str
) -> list[Effect]:
    """Reset the doubted flows that their agent does not hold; keep the others.

    No other agent can hold them: a flow stays where it was opened.
    """
    for key in (*located.held, *located.unsure):
        flow = state.flows.get(key)
        if flow is not None and flow.host == host:
            flow.unverified = False
            # An agent that has just started may not know its upstream's run yet.
            flow.boot = located.boot or flow.boot
    # A flow that was asked for twice is named twice.
    unknown = dict.fromkeys(located.unknown)
    dead = [key for key in unknown if _is_unverified(state, key, host)]
    return reset_flows(state, dead, host, "upstream restarted")


def _is_unverified(state: BalancerState, key: bytes, host: str) -> bool:
    flow = state.flows.get(key)
    return flow is not None and flow.unverified and flow.host == host


def _handle_found_flow(
    state: BalancerState, flow: bytes, host: str, boot: str, now: float
) -> list[Effect]:
    view = state.nodes.upstreams.get(host)
    search = state.searches.pop(flow, None)
    if view is None or search is None:
        return []
    service = view.report.service
    known = BalancerFlow(
        service=service, last_packet_at=now, started_at=now, host=host, boot=boot
    )
    state.flows[flow] = known
    state.hosts_with_flows.add(host)
    fields = {
        "flow": flow,
        "upstream": host,
        "after": round(now - search.started_at, 3),
        "tried": search.tried_count,
    }
    effects: list[Effect] = [WriteLog(event=LogEvent.FLOW_FOUND, fields=fields)]
    for packet in search.packets:
        known.caller_ack = packet.ack
        effects.append(forward_packet(state, host, known.service, packet))
    return effects


def conclude_search(state: BalancerState, flow: bytes, search: Search) -> list[Effect]:
    """Act on a search whose open questions are answered."""
    if search.pending_hosts:
        return []
    if search.deferred_hosts:
        search.pending_hosts, search.deferred_hosts = search.deferred_hosts, set()
        _queue_locate(state, flow, search.pending_hosts)
        return []
    if search.unsure_hosts:
        return _try_next_hosts(state, flow, search)
    if not _knows_all_agents(state, search.last_packet_at):
        return []
    if not _report_polling.is_recent(state.polling, state.last_tick_at):
        return _report_polling.request_read(state.polling, state.last_tick_at)
    del state.searches[flow]
    state.resets[flow] = search.last_packet_at
    views = state.nodes.upstreams.values()
    fields = {
        "flow": flow,
        "asked": len(views),
        "tried": search.tried_count,
        "after": round(search.last_packet_at - search.started_at, 3),
        "given_up": sum(view.lost for view in views),
        "introduced": state.peers_synced,
    }
    return [
        ResetFlow(flow, search.caller_ack),
        WriteLog(event=LogEvent.FLOW_ORPHANED, fields=fields),
    ]


def conclude_denied_searches(state: BalancerState) -> list[Effect]:
    """Act on searches that were waiting for a recent list of agents."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        if _search_state.is_denied(search):
            effects += conclude_search(state, key, search)
    return effects


def _try_next_hosts(state: BalancerState, flow: bytes, search: Search) -> list[Effect]:
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
    likely = list_preferred_hosts(
        _list_route_reports(state, search), zone=zone, flow=flow
    )
    for hosts in (likely, near, search.unsure_hosts):
        search.pending_hosts = search.unsure_hosts.intersection(hosts)
        if search.pending_hosts:
            break
    search.unsure_hosts -= search.pending_hosts
    search.tried_count += len(search.pending_hosts)
    search.phase = SearchPhase.TRYING
    return _forward_trial_packet(state, search)


def _list_route_reports(state: BalancerState, search: Search) -> list[NodeReport]:
    """Return the reports of agents whose service the flow's endpoint leads to."""
    route = state.table.routes.get(search.packets[0].endpoint)
    services = {share.service for share in route.shares} if route else set()
    reports = (view.report for view in state.nodes.upstreams.values())
    return [report for report in reports if report.service in services]


def _knows_all_agents(state: BalancerState, now: float) -> bool:
    """Whether no agent is likely to be missing among those that were asked."""
    nodes = state.nodes
    if not nodes.upstreams or not (nodes.store_listed or state.peers_synced):
        return False
    alone = not nodes.balancers
    late = now - state.started_at > _failure_detection.SYNC_TIMEOUT_SECONDS
    return state.peers_synced or alone or late


def _forward_trial_packet(state: BalancerState, search: Search) -> list[Effect]:
    """Give the smallest packet to upstreams; those without the flow bounce it."""
    packet = min(search.packets, key=lambda held: len(held.data))
    effects: list[Effect] = []
    for host in search.pending_hosts:
        view = state.nodes.upstreams.get(host)
        if view is not None:
            effects.append(forward_packet(state, host, view.report.service, packet))
    return effects


def handle_search_denial(
    state: BalancerState, flow: bytes, source: str
) -> list[Effect]:
    """Note that an upstream does not hold a flow that is searched for."""
    search = state.searches.get(flow)
    if search is None:
        return []
    search.pending_hosts.discard(source)
    search.unsure_hosts.discard(source)
    search.deferred_hosts.discard(source)
    return conclude_search(state, flow, search)


def restart_search(
    state: BalancerState, flow: bytes, source: str, caller_ack: int, now: float
) -> list[Effect]:
    """Look for a flow that the agent named here does not hold any more."""
    if flow in state.resets or len(state.searches) >= _search_state.MAX_SEARCHES:
        return []
    search = _start_search(state, flow, caller_ack, now, excluded=source)
    return conclude_search(state, flow, search)


def handle_search_timeouts(state: BalancerState, now: float) -> list[Effect]:
    """Ask again for flows not found in time; end searches that nobody needs."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        if _search_state.is_abandoned(search, now):
            del state.searches[key]
            fields = {
                "flow": key,
                "silent": sorted(search.pending_hosts)[:4],
                "known": len(state.nodes.upstreams),
            }
            effects.append(WriteLog(event=LogEvent.SEARCH_ENDED, fields=fields))
        elif _search_state.is_retry_due(search, now):
            effects += _retry_search(state, key, search, now)
    return effects + send_locates(state)


def send_locates(state: BalancerState) -> list[Effect]:
    """Send the questions that came up since the sockets were last drained."""
    if not state.pending_locates:
        return []
    asked = {host: [*dict.fromkeys(f)] for host, f in state.pending_locates.items()}
    state.pending_locates = {}
    return [
        SendMessage(host, Locate(flows=part))
        for host, flows in asked.items()
        for part in split_into_chunks(flows, FLOWS_PER_LOCATE)
    ]


def add_host_to_searches(state: BalancerState, host: str) -> None:
    """Ask an agent that has just become known for the flows searched for."""
    for key, search in state.searches.items():
        search.pending_hosts.add(host)
        _queue_locate(state, key, (host,))


def remove_host_from_searches(state: BalancerState, host: str) -> list[Effect]:
    """Wait no longer for an agent's answers."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        search.pending_hosts.discard(host)
        search.unsure_hosts.discard(host)
        search.deferred_hosts.discard(host)
        effects += conclude_search(state, key, search)
    return effects
