"""Membership: reports of other nodes, and the removal of agents that have ended."""

from __future__ import annotations

from collections.abc import Iterable

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import (
    _checkpoint_collection,
    _failure_detection,
    _flow_search,
    _report_polling,
)
from shedsill.datagram._balancer_state import BalancerState, reset_flows
from shedsill.datagram._boots import may_be_same_boot
from shedsill.datagram._effects import (
    Effect,
    PullTable,
    ReadCheckpoint,
    RemovePeerReport,
    SendMessage,
    StoreReport,
)
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._key_ranges import split_by_key, subtract_range
from shedsill.datagram._messages import (
    Announcement,
    BootHeard,
    EarlierReport,
    NodeReport,
    Probe,
    Role,
    Roster,
    UpstreamState,
    remove_stored_fields,
)
from shedsill.datagram._selection import UpstreamView
from shedsill.datagram._statements import FINAL_STATES

PEERS_PER_SYNC = 3
"""Balancers that a starting balancer asks at a time for the nodes they know."""

OUTAGE_SYNC_INTERVAL_SECONDS = 1.0
"""Interval between requests for the nodes that peers know, after
`SYNC_TIMEOUT_SECONDS`, as long as the store has not answered either."""

TABLE_PULL_DELAY_SECONDS = 0.4
"""Time to wait for the store to deliver a table that peers already have; if all pulled
it from the first peer that has it, they would saturate its link."""

REPORTS_PER_MESSAGE = 6
"""Reports in one message; at about 170 bytes each they fit into one datagram."""

LOST_REPORT_RETENTION_SECONDS = 20.0
"""Time after which the report of a lost agent is removed from the store; longer than a
short failure of a VM or its network."""


def handle_direct_report(
    state: BalancerState, report: NodeReport, now: float
) -> list[Effect]:
    """Handle a report that came from the node itself."""
    if report.host == state.report.host:
        return []
    before = _failure_detection.merge_report(state.nodes, report, now, direct=True)
    effects = _handle_changed_report(state, report, before)
    if report.role == Role.BALANCER:
        _record_peer_version(state, report, now)
        if report.version < state.table.version:
            effects.append(SendMessage(report.host, Announcement(report=state.report)))
        return effects
    view = state.nodes.upstreams[report.host]
    effects += _correct_agent(view)
    if report.boot and view.confirmed_boot != report.boot:
        view.confirmed_boot = report.boot
        _flow_search.verify_earlier_boot_flows(state, report.host, report.boot)
    known = before is not None and report.incarnation in (
        before.incarnation,
        view.reported_incarnation,
    )
    if not known or (_is_leaving(report, before) and _should_relay_leaving(state, now)):
        effects += _relay_report(state, report)
    return effects


def handle_boot_heard(
    state: BalancerState, message: BootHeard, source: str
) -> list[Effect]:
    """Verify the flows of other boots, and tell the agent what it reported before."""
    view = state.nodes.upstreams.get(source)
    if view is None:
        return []
    view.heard_boot = message.boot
    _flow_search.verify_earlier_boot_flows(state, source, message.boot)
    earlier = _failure_detection.get_earlier_report(view, message.incarnation)
    if earlier is None or not earlier.boot or _is_known_to_agent(earlier, message):
        return []
    return [SendMessage(source, EarlierReport(report=earlier))]


def _is_known_to_agent(earlier: NodeReport, message: BootHeard) -> bool:
    return (
        earlier.state not in FINAL_STATES
        and may_be_same_boot(earlier.boot, message.earlier_boot)
        and earlier.heartbeat_serial <= message.earlier_serial
    )


def _correct_agent(view: UpstreamView) -> list[Effect]:
    """Tell a restarted agent that it reports something older than known, or a drain."""
    earlier = view.earlier_report
    if earlier is None:
        return []
    if not view.report.boot and earlier.state not in FINAL_STATES:
        return []
    return [SendMessage(earlier.host, EarlierReport(report=earlier))]


def _is_leaving(report: NodeReport, before: NodeReport | None) -> bool:
    """Whether an agent's report says for the first time that its upstream ends.

    Without the store others would not hear of a drain, and the agent may forget it.
    """
    if before is None or report.state not in FINAL_STATES:
        return False
    return before.state != report.state


def _should_relay_leaving(state: BalancerState, now: float) -> bool:
    """Whether this balancer relays that an upstream drains or is about to end.

    Its agent has notified the seeds and the balancers that recently sent it packets.
    If all of them relayed the report, messages would grow with the square of the number
    of balancers.
    """
    is_seed = state.report.host in state.seeds
    return is_seed or _checkpoint_collection.is_collector(state, now)


def _relay_report(state: BalancerState, report: NodeReport) -> list[Effect]:
    """Relay the report of a starting or leaving agent to the other balancers.

    A new agent knows only the balancers among its seeds.  Relayed reports are not
    relayed again.
    """
    roster = Roster(reports=[report])
    return [SendMessage(host, roster) for host in state.nodes.balancers]


def _record_peer_version(state: BalancerState, report: NodeReport, now: float) -> None:
    """Record that another balancer has a newer table."""
    if report.version <= state.table.version:
        return
    if not state.peers_ahead:
        state.behind_since = now
    state.peers_ahead[report.host] = report.zone


def pull_table(state: BalancerState, now: float) -> list[Effect]:
    """Request the table from another balancer if the store has not delivered it.

    Balancers in the same availability zone are preferred: tables are large, and
    traffic between zones is costly.
    """
    if not state.peers_ahead or now - state.behind_since < TABLE_PULL_DELAY_SECONDS:
        return []
    zone_hosts = [
        h for h, zone in state.peers_ahead.items() if zone == state.report.zone
    ]
    hosts = sorted(zone_hosts or state.peers_ahead)
    state.peer_exchanges += 1
    host = hosts[(state.report.incarnation + state.peer_exchanges) % len(hosts)]
    state.behind_since = now
    return [PullTable(host)]


def handle_indirect_reports(
    state: BalancerState, reports: Iterable[NodeReport], now: float
) -> list[Effect]:
    """Handle reports that came from the store or from other balancers."""
    effects: list[Effect] = []
    for report in reports:
        if report.host == state.report.host:
            continue
        view = state.nodes.upstreams.get(report.host)
        was_lost = view is not None and view.lost
        before = _failure_detection.merge_report(state.nodes, report, now, direct=False)
        effects += _handle_changed_report(state, report, before)
        if was_lost and view is not None and not view.lost:
            _flow_search.add_host_to_searches(state, report.host)
    return effects


def answer_probe(
    state: BalancerState, source: str, requester: NodeReport | None
) -> list[Effect]:
    """Send this balancer's report and those of all nodes that it knows.

    Lost agents are included: they may be reachable from other balancers.
    """
    known = {v.report.host: v.report for v in state.nodes.upstreams.values()}
    known |= state.nodes.balancers
    reports = {host.encode(): report for host, report in known.items()}
    incarnation = requester.incarnation if requester else 0
    return [
        SendMessage(source, Announcement(report=state.report)),
        *(
            SendMessage(
                source,
                Roster(
                    reports=chunk,
                    hosts=hosts,
                    complete=state.knows_all_agents,
                    requester=incarnation,
                ),
            )
            for hosts, chunk in split_by_key(reports, REPORTS_PER_MESSAGE)
        ),
    ]


def handle_roster(
    state: BalancerState, roster: Roster, source: str, now: float
) -> list[Effect]:
    """Handle reports from another balancer, and record the hosts that they cover.

    Only a sender whose own list is complete can show that there are no other agents.
    """
    effects = handle_indirect_reports(state, roster.reports, now)
    if (
        roster.hosts is None
        or roster.requester != state.report.incarnation
        or state.peers_synced
    ):
        return effects
    if roster.complete:
        state.hosts_to_sync = subtract_range(state.hosts_to_sync, roster.hosts)
    if roster.hosts.after and not state.peers_synced:
        # One line for each answer, and one when the list is complete.
        return effects
    fields = {
        "balancer": source,
        "complete": roster.complete,
        "missing": len(state.hosts_to_sync),
        "known": len(state.nodes.upstreams),
        "up": round(now - state.started_at, 3),
    }
    return [*effects, WriteLog(event=LogEvent.NODES_RECEIVED, fields=fields)]


def _handle_changed_report(
    state: BalancerState,
    report: NodeReport,
    before: NodeReport | None,
) -> list[Effect]:
    """Log a changed report, and ask a new agent about the flows being searched for."""
    view = state.nodes.upstreams.get(report.host)
    if view is None or view.report is before:
        return []
    changed = before is None or (
        (before.boot, before.state, before.stopping, before.service)
        != (report.boot, report.state, report.stopping, report.service)
    )
    if not changed:
        return []
    fields = {
        "upstream": report.host,
        "service": report.service,
        "boot": report.boot,
        "state": report.state.value,
        "stopping": report.stopping,
        "serial": report.serial,
    }
    effects: list[Effect] = [WriteLog(event=LogEvent.UPSTREAM_CHANGED, fields=fields)]
    if before is None:
        _flow_search.add_host_to_searches(state, report.host)
    return effects


def handle_reports_listed(state: BalancerState, event: ReportsListed) -> list[Effect]:
    """Handle reports that were read from the store."""
    reports = tuple(map(remove_stored_fields, event.reports))
    unknown = _list_unknown_agents(state, reports)
    effects = handle_indirect_reports(state, reports, event.now)
    is_collector = _checkpoint_collection.is_collector(state, event.now)
    if is_collector and state.nodes.store_listed:
        for report in unknown:
            effects += _relay_report(state, report)
    _report_polling.record_read(
        state.polling, event.now, unknown=bool(unknown), is_collector=is_collector
    )
    for host in event.removed:
        effects += _handle_removed_report(state, host, event.now)
    if event.complete and not state.nodes.store_listed:
        state.nodes.store_listed = True
        state.next_sync_at = event.now
        effects += synchronize_peers(state, event.now)
        effects += _store_own_report(state, event.reports)
    return effects + _flow_search.conclude_denied_searches(state)


def _handle_removed_report(state: BalancerState, host: str, now: float) -> list[Effect]:
    """Handle the removal of a node's report from the store."""
    if host == state.report.host and state.stop_at is None:
        # A delayed removal by this balancer's previous incarnation.
        return [StoreReport(state.report)]
    state.nodes.balancers.pop(host, None)
    view = state.nodes.upstreams.get(host)
    if view is None:
        return []
    if _has_left(view):
        return _remove_upstream(state, host)
    _failure_detection.mark_suspect(view, now)
    return []


def _list_unknown_agents(
    state: BalancerState, reports: tuple[NodeReport, ...]
) -> list[NodeReport]:
    """Return the reports of agents that this balancer does not know."""
    return [
        report
        for report in reports
        if report.role == Role.AGENT and report.host not in state.nodes.upstreams
    ]


def _store_own_report(
    state: BalancerState, reports: tuple[NodeReport, ...]
) -> list[Effect]:
    """Store this balancer's report, unless the store holds one already.

    The report of an earlier incarnation serves as well, since others only read from it
    that there is a balancer at this host.  It also shows that the earlier incarnation
    crashed, as a planned stop removes the report; its open flows are then restored from
    the checkpoint.
    """
    own_report = next((r for r in reports if r.host == state.report.host), None)
    if own_report is None:
        return [StoreReport(state.report)]
    effects: list[Effect] = [ReadCheckpoint()]
    if (own_report.role, own_report.zone) != (state.report.role, state.report.zone):
        effects.append(StoreReport(state.report))
    return effects


def _has_left(view: UpstreamView) -> bool:
    """Whether an agent whose report was removed from the store has ended.

    An agent removes its report when its upstream ends, after announcing that.  A report
    may also have been removed by a balancer that did not hear from the agent;
    such an agent is lost only once it leaves this balancer's probes unanswered.
    """
    announced = view.suspect and view.report.state == UpstreamState.GONE
    return view.lost or announced


def synchronize_peers(state: BalancerState, now: float) -> list[Effect]:
    """Request the known nodes from a few balancers, until one has sent them.

    Agents that could not write to the store are known only to balancers that they have
    contacted.  During an outage of the store the seeds are the only known balancers.
    """
    if state.peers_synced or now < state.next_sync_at:
        return []
    timed_out = now - state.started_at > _failure_detection.SYNC_TIMEOUT_SECONDS
    if timed_out and state.nodes.store_listed:
        return []
    state.next_sync_at = now + (
        OUTAGE_SYNC_INTERVAL_SECONDS
        if timed_out
        else _failure_detection.PROBE_INTERVAL_SECONDS
    )
    seeds = [seed for seed in state.seeds if seed != state.report.host]
    others = sorted({*state.nodes.balancers, *seeds})
    start = state.sync_attempts * PEERS_PER_SYNC % max(len(others), 1)
    state.sync_attempts += 1
    chosen = (others[start:] + others[:start])[:PEERS_PER_SYNC]
    return [SendMessage(host, Probe(report=state.report)) for host in chosen]


def remove_lost_agents(state: BalancerState, now: float) -> list[Effect]:
    """Remove agents that were lost long ago, and their reports in the store.

    To save calls to the store, only the balancer with the lowest known host removes
    reports; the next one takes over when that one has gone.
    """
    effects: list[Effect] = []
    _failure_detection.remove_retired(state.nodes, now)
    is_lowest = min([state.report.host, *state.nodes.balancers]) == state.report.host
    for host, view in list(state.nodes.upstreams.items()):
        if not view.lost or now - view.lost_at < LOST_REPORT_RETENTION_SECONDS:
            continue
        if is_lowest:
            effects.append(RemovePeerReport(view.report))
        effects += _remove_upstream(state, host)
    return effects


def _remove_upstream(state: BalancerState, host: str) -> list[Effect]:
    state.nodes.upstreams.pop(host, None)
    return _reset_agent_flows(state, host, "upstream left")


def _reset_agent_flows(state: BalancerState, host: str, reason: str) -> list[Effect]:
    """Reset the flows of an agent that has ended, and remove it from searches."""
    keys = [key for key, flow in state.flows.items() if flow.host == host]
    for flow in state.flows.values():
        flow.offered.pop(host, None)
    effects = reset_flows(state, keys, host, reason)
    return effects + _flow_search.remove_host_from_searches(state, host)


def probe_agents(state: BalancerState, now: float) -> list[Effect]:
    """Probe silent agents, and mark those as lost that do not answer.

    Their silence counts up to the last message of another agent: without one, this
    balancer's own link may have failed.
    """
    effects: list[Effect] = []
    probe = Probe()
    views = state.nodes.upstreams.values()
    any_silent = any(v.silent_since is not None and not v.lost for v in views)
    for host, view in state.nodes.upstreams.items():
        _failure_detection.expire_earlier_report(view, now)
        needed = (
            any_silent
            or host in state.hosts_with_flows
            or _failure_detection.is_ending(view)
        )
        if _failure_detection.is_probe_due(view, now, needed=needed):
            _failure_detection.record_probe(view, now)
            effects.append(SendMessage(host, probe))
    effects += _update_isolation(state, now)
    if _failure_detection.is_isolated(views, now):
        _failure_detection.restart_silence_timers(views, now)
        return effects
    silent = [v for v in views if _failure_detection.has_timed_out(v, now)]
    if not silent:
        return effects
    contact_at = _failure_detection.get_last_contact(views, now)
    lost = [v for v in silent if _failure_detection.has_timed_out(v, contact_at)]
    for view in lost:
        effects += _mark_agent_lost(state, view.report.host, view, now)
    if len(lost) < len(silent):
        for view in _failure_detection.list_latest_heard(views, now):
            _failure_detection.record_probe(view, now)
            effects.append(SendMessage(view.report.host, probe))
    return effects


def handle_returned_agent(
    state: BalancerState, before: UpstreamView, now: float
) -> list[Effect]:
    """Handle the first message of an agent that was silent.

    Parameters
    ----------
    before : UpstreamView
        Copy of the agent's view from before the message.
    """
    host = before.report.host
    view = state.nodes.upstreams.get(host)
    if view is None or view.silent_since is not None:
        return []
    if before.lost:
        _flow_search.add_host_to_searches(state, host)
    if not _failure_detection.is_late_answer(before, view):
        return []
    silent = _failure_detection.restart_silence_timers(
        state.nodes.upstreams.values(), now
    )
    if not silent:
        return []
    fields = {"upstream": host, "questions": before.unanswered_probes, "silent": silent}
    return [WriteLog(event=LogEvent.SILENCE_RESTARTED, fields=fields)]


def _update_isolation(state: BalancerState, now: float) -> list[Effect]:
    """Update and log whether this balancer is cut off from most agents."""
    views = state.nodes.upstreams.values()
    isolated = _failure_detection.is_isolated(
        views, now, min_probes=_failure_detection.ISOLATED_AFTER_PROBES
    )
    if isolated == state.isolated:
        return []
    state.isolated = isolated
    silent = sum(view.silent_since is not None for view in views)
    fields = {"isolated": isolated, "silent": silent, "known": len(views)}
    return [WriteLog(event=LogEvent.BALANCER_ISOLATED, fields=fields)]


def _mark_agent_lost(
    state: BalancerState, host: str, view: UpstreamView, now: float
) -> list[Effect]:
    """Mark a silent agent as lost, since its VM is down or cut off; reset its flows."""
    views = state.nodes.upstreams.values()
    fields = {
        "upstream": host,
        "silent": round(now - (view.silent_since or now), 3),
        "questions": view.unanswered_probes,
        "heard": round(now - view.last_heard_at, 3) if view.last_heard_at else None,
        "others_silent": sum(v.silent_since is not None for v in views) - 1,
        "known": len(views),
        "up": round(now - state.started_at, 3),
    }
    view.lost = True
    view.lost_at = now
    log_entry = WriteLog(event=LogEvent.UPSTREAM_LOST, fields=fields)
    return [log_entry, *_reset_agent_flows(state, host, "agent is silent")]
