"""Search for the agent of a flow that a balancer does not know.

Agents in the balancer's own availability zone are asked first, since they hold most
of its flows, then all others; one `Locate` message asks for many flows.  An agent
that is unsure is sent one packet of the flow, which its upstream accepts or bounces.
A flow that all agents deny is reset.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _failure_detection, _report_polling, _search_state
from shedsill.datagram._balancer_state import (
    BalancerFlow,
    BalancerState,
    forward_packet,
    reset_flows,
)
from shedsill.datagram._boots import is_earlier_boot, may_be_same_boot
from shedsill.datagram._effects import Effect, ResetFlow, SendMessage
from shedsill.datagram._messages import Locate, Located, NodeReport, split_into_chunks
from shedsill.datagram._packet import RST, Packet
from shedsill.datagram._search_state import Search, SearchPhase
from shedsill.datagram._selection import list_preferred_hosts

RECENT_FLOW_SECONDS = 0.5
"""Time in which an agent stores the report of a new boot: a slow store answers in
0.3 s."""

MAX_FLOW_PROBES = 3
"""Answers of an unsure agent after which a flow is kept: a packet may be lost, and the
agent may not have read the stored report yet."""

FLOWS_PER_LOCATE = 80
"""Flows in one `Locate` message; at 14 bytes each, the message and its answer fit into
a datagram of 1,200 bytes."""


def search_flow(state: BalancerState, packet: Packet, now: float) -> list[Effect]:
    """Buffer a packet of an unknown flow and search for the flow."""
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
    state: BalancerState, key: bytes, caller_ack: int, now: float, excluded: str = ""
) -> Search:
    """Start a search with the agents in this zone; traffic between zones is costly."""
    views = state.nodes.upstreams
    hosts = [host for host in _list_live_hosts(state) if host != excluded]
    zone_hosts = [h for h in hosts if views[h].report.zone == state.report.zone]
    first_hosts = zone_hosts or hosts
    other_hosts = set(hosts).difference(first_hosts)
    search = _search_state.create_search(caller_ack, first_hosts, other_hosts, now)
    state.searches[key] = search
    queue_locate(state, key, first_hosts)
    return search


def queue_locate(state: BalancerState, key: bytes, hosts: Iterable[str]) -> None:
    """Ask agents about a flow once the sockets are drained."""
    for host in hosts:
        state.pending_locates.setdefault(host, []).append(key)


def _retry_search(
    state: BalancerState, key: bytes, search: Search, now: float
) -> list[Effect]:
    _suspect_pending_hosts(state, search, now)
    search.asked_at = now
    if search.phase == SearchPhase.TRYING and search.pending_hosts:
        return _forward_trial_packet(state, search)
    if _search_state.is_denied(search):
        if _report_polling.is_read_pending(state.polling):
            return conclude_search(state, key, search)
        search.pending_hosts = set(_list_live_hosts(state))
    search.pending_hosts |= search.deferred_hosts
    search.deferred_hosts = set()
    queue_locate(state, key, search.pending_hosts)
    return conclude_search(state, key, search)


def _suspect_pending_hosts(state: BalancerState, search: Search, now: float) -> None:
    """Mark agents that have not answered a search as suspect, so that they are probed.

    Agents without flows of this balancer are not probed otherwise, and one that has
    failed would block every search until its caller gives up.
    """
    for host in search.pending_hosts:
        view = state.nodes.upstreams.get(host)
        if view is not None and not view.lost and view.last_heard_at < search.asked_at:
            _failure_detection.mark_suspect(view, now)


def handle_located(
    state: BalancerState, located: Located, host: str, now: float
) -> list[Effect]:
    """Handle an agent's answer to `Locate`."""
    effects = _resolve_unverified(state, located, host)
    for key in located.held:
        effects += _handle_found_flow(state, key, host, located.boot, now)
    for key in located.unknown:
        search = state.searches.get(key)
        if search is not None and host in search.pending_hosts:
            search.pending_hosts.discard(host)
            effects += conclude_search(state, key, search)
    for key in located.unsure:
        search = state.searches.get(key)
        if search is not None and host in search.pending_hosts:
            search.pending_hosts.discard(host)
            search.unsure_hosts.add(host)
            effects += conclude_search(state, key, search)
    return effects


def verify_earlier_boot_flows(state: BalancerState, host: str, boot: str) -> None:
    """Ask an agent whether it still holds the flows of earlier boots of its upstream.

    Those flows have ended, unless the new boot accepted them before its agent noticed
    the restart.  The caller of an ended flow may only be waiting for an answer, so no
    further packet from it would start a search.
    """
    for key, flow in state.flows.items():
        if flow.host == host and flow.boot not in ("", boot):
            request_verification(state, key, flow)


def request_verification(state: BalancerState, key: bytes, flow: BalancerFlow) -> None:
    """Have a flow verified by its agent, or by its upstream if the agent is unsure."""
    flow.unverified = True
    flow.probes_left = MAX_FLOW_PROBES
    verify_flow(state, key, flow)


def verify_flow(state: BalancerState, key: bytes, flow: BalancerFlow) -> None:
    """Ask a flow's agent whether it still holds the flow."""
    queue_locate(state, key, (flow.host,))


def correct_located(state: BalancerState, located: Located, host: str) -> Located:
    """Return an agent's answer without denials that rest on its stored report alone.

    They stand if the whole VM may have restarted: many flows end then, and their
    packets must not be sent to all agents.  If this balancer has heard the current boot
    from an earlier incarnation, or has not lost the agent in between, the upstream may
    have been alive all the time.
    """
    view = state.nodes.upstreams.get(host)
    if not located.may_hold_recent or view is None:
        return located
    is_known_boot = located.boot != "" and located.boot == view.earlier_boot
    if not is_known_boot and not view.returned_alive:
        return located
    return replace(located, unknown=[], unsure=[*located.unsure, *located.unknown])


def _resolve_unverified(
    state: BalancerState, located: Located, host: str
) -> list[Effect]:
    """Reset the unverified flows that their agent does not hold.

    Flows never move between agents, so no other agent can hold them.  The upstream
    decides about flows of which the agent is unsure.
    """
    for key in located.held:
        flow = state.flows.get(key)
        if flow is not None and flow.host == host:
            flow.unverified = False
            # A restarted agent may not know its upstream's boot yet.
            flow.boot = located.boot or flow.boot
    effects: list[Effect] = []
    ended = []
    # If an agent was asked about a flow twice, its answer may list the flow twice.
    for key in dict.fromkeys((*located.unsure, *located.unknown)):
        flow = state.flows.get(key)
        if flow is None or not flow.unverified or flow.host != host:
            continue
        is_unsure = key in located.unsure or _may_be_held(state, flow, located)
        if is_unsure and not _is_of_ended_boot(state, flow, located.boot):
            effects += _probe_flow(state, flow)
        else:
            ended.append(key)
    return [*effects, *reset_flows(state, ended, host, "upstream restarted")]


def _may_be_held(state: BalancerState, flow: BalancerFlow, located: Located) -> bool:
    """Whether a flow may be held although the stored report speaks against it."""
    has_packet = flow.probe_packet is not None
    return located.may_hold_recent and (has_packet or _is_recent(state, flow))


def _is_of_ended_boot(state: BalancerState, flow: BalancerFlow, current: str) -> bool:
    """Whether a flow from a checkpoint was opened under a boot that has ended.

    There is no packet to ask the upstream with, but one boot runs at a time: the flow's
    has ended if its agent knows that another one runs, or has heard a later one.

    Parameters
    ----------
    current : str
        Boot of which the agent knows that it runs; empty if there is none.
    """
    view = state.nodes.upstreams.get(flow.host)
    if view is None or not flow.restored or not flow.boot:
        return False
    if current and not is_earlier_boot(current, flow.boot):
        return not may_be_same_boot(flow.boot, current)
    return is_earlier_boot(flow.boot, view.heard_boot)


def _probe_flow(state: BalancerState, flow: BalancerFlow) -> list[Effect]:
    """Send a packet of a flow again, which the upstream bounces if it has ended."""
    flow.probes_left -= 1
    flow.unverified = flow.probes_left > 0
    if flow.probe_packet is None:
        return []
    return [forward_packet(state, flow.host, flow.service, flow.probe_packet)]


def _is_recent(state: BalancerState, flow: BalancerFlow) -> bool:
    """Whether a flow was opened shortly before its agent's last restart.

    The upstream may then have accepted it in a boot that the agent's previous
    incarnation had not stored yet.  The flow's next packet shows it.
    """
    view = state.nodes.upstreams.get(flow.host)
    return (
        view is not None
        and not flow.restored
        and flow.started_at > view.earlier_heard_at - RECENT_FLOW_SECONDS
    )


def _handle_found_flow(
    state: BalancerState, key: bytes, host: str, boot: str, now: float
) -> list[Effect]:
    view = state.nodes.upstreams.get(host)
    search = state.searches.pop(key, None)
    if view is None or search is None:
        return []
    service = view.report.service
    flow = BalancerFlow(
        service=service, last_packet_at=now, started_at=now, host=host, boot=boot
    )
    state.flows[key] = flow
    state.hosts_with_flows.add(host)
    fields = {
        "flow": key,
        "upstream": host,
        "after": round(now - search.started_at, 3),
        "tried": search.tried_count,
    }
    effects: list[Effect] = [WriteLog(event=LogEvent.FLOW_FOUND, fields=fields)]
    for packet in search.packets:
        flow.caller_ack = packet.ack
        effects.append(forward_packet(state, host, flow.service, packet))
    return effects


def conclude_search(state: BalancerState, key: bytes, search: Search) -> list[Effect]:
    """Take the next step of a search once no answer is pending."""
    if search.pending_hosts:
        return []
    if search.deferred_hosts:
        search.pending_hosts, search.deferred_hosts = search.deferred_hosts, set()
        queue_locate(state, key, search.pending_hosts)
        return []
    if search.unsure_hosts:
        return _try_next_hosts(state, key, search)
    if not _knows_all_agents(state, search.last_packet_at):
        return []
    if not _report_polling.is_recent(state.polling, state.last_tick_at):
        return _report_polling.request_read(state.polling, state.last_tick_at)
    del state.searches[key]
    state.resets[key] = search.last_packet_at
    views = state.nodes.upstreams.values()
    fields = {
        "flow": key,
        "asked": len(views),
        "tried": search.tried_count,
        "after": round(search.last_packet_at - search.started_at, 3),
        "given_up": sum(view.lost for view in views),
        "introduced": state.peers_synced,
        "listed": state.nodes.store_listed,
    }
    return [
        ResetFlow(key, search.caller_ack),
        WriteLog(event=LogEvent.FLOW_ORPHANED, fields=fields),
    ]


def conclude_denied_searches(state: BalancerState) -> list[Effect]:
    """Conclude the searches that were waiting for a recent list of agents."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        if _search_state.is_denied(search):
            effects += conclude_search(state, key, search)
    return effects


def _try_next_hosts(state: BalancerState, key: bytes, search: Search) -> list[Effect]:
    """Forward a packet of the flow to the unsure agents most likely to hold it.

    The preferred hosts of the flow come first, then the other agents in this
    availability zone, then all.
    """
    if not search.packets:
        return []
    views = state.nodes.upstreams
    zone = state.report.zone
    reports = [v.report for v in views.values()]
    zone_hosts = {report.host for report in reports if report.zone == zone}
    preferred = list_preferred_hosts(
        _list_route_reports(state, search), zone=zone, flow=key
    )
    for hosts in (preferred, zone_hosts, search.unsure_hosts):
        search.pending_hosts = search.unsure_hosts.intersection(hosts)
        if search.pending_hosts:
            break
    search.unsure_hosts -= search.pending_hosts
    search.tried_count += len(search.pending_hosts)
    search.phase = SearchPhase.TRYING
    return _forward_trial_packet(state, search)


def _list_route_reports(state: BalancerState, search: Search) -> list[NodeReport]:
    """Return the reports of agents whose service is in the flow's route."""
    route = state.table.routes.get(search.packets[0].endpoint)
    services = {share.service for share in route.shares} if route else set()
    reports = (view.report for view in state.nodes.upstreams.values())
    return [report for report in reports if report.service in services]


def _knows_all_agents(state: BalancerState, now: float) -> bool:
    """Whether the list of agents is likely to be complete."""
    if not state.nodes.upstreams or not state.knows_all_agents:
        return False
    has_no_peers = not state.nodes.balancers
    timed_out = now - state.started_at > _failure_detection.SYNC_TIMEOUT_SECONDS
    return state.peers_synced or has_no_peers or timed_out


def _forward_trial_packet(state: BalancerState, search: Search) -> list[Effect]:
    """Forward the smallest packet; upstreams without the flow bounce it."""
    packet = min(search.packets, key=lambda p: len(p.data))
    effects: list[Effect] = []
    for host in search.pending_hosts:
        view = state.nodes.upstreams.get(host)
        if view is not None:
            effects.append(forward_packet(state, host, view.report.service, packet))
    return effects


def handle_search_denial(state: BalancerState, key: bytes, source: str) -> list[Effect]:
    """Record that an upstream does not hold a flow that is being searched for."""
    search = state.searches.get(key)
    if search is None:
        return []
    search.pending_hosts.discard(source)
    search.unsure_hosts.discard(source)
    search.deferred_hosts.discard(source)
    return conclude_search(state, key, search)


def restart_search(
    state: BalancerState, key: bytes, source: str, caller_ack: int, now: float
) -> list[Effect]:
    """Search for a flow that its agent does not hold any more."""
    if key in state.resets or len(state.searches) >= _search_state.MAX_SEARCHES:
        return []
    search = _start_search(state, key, caller_ack, now, excluded=source)
    return conclude_search(state, key, search)


def handle_search_timeouts(state: BalancerState, now: float) -> list[Effect]:
    """Retry overdue searches and drop those whose callers have stopped sending."""
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
    """Send the `Locate` messages collected since the sockets were last drained."""
    if not state.pending_locates:
        return []
    flows_by_host = {
        host: [*dict.fromkeys(f)] for host, f in state.pending_locates.items()
    }
    state.pending_locates = {}
    return [
        SendMessage(host, Locate(flows=chunk))
        for host, flows in flows_by_host.items()
        for chunk in split_into_chunks(flows, FLOWS_PER_LOCATE)
    ]


def add_host_to_searches(state: BalancerState, host: str) -> None:
    """Ask a newly known agent about all flows that are being searched for."""
    for key, search in state.searches.items():
        search.pending_hosts.add(host)
        queue_locate(state, key, (host,))


def remove_host_from_searches(state: BalancerState, host: str) -> list[Effect]:
    """Stop waiting for an agent's answers."""
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        search.pending_hosts.discard(host)
        search.unsure_hosts.discard(host)
        search.deferred_hosts.discard(host)
        effects += conclude_search(state, key, search)
    return effects
