"""How a balancer follows the other nodes, and frees the flows of those that end."""

from __future__ import annotations

from collections.abc import Iterable

from shedsill._catalogue import LogEvent
from shedsill._shared_effects import Note
from shedsill.datagram import _locating, _nodes
from shedsill.datagram._balancer_state import BalancerState, reset_flows
from shedsill.datagram._effects import Effect, PullTable, SendMessage
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._messages import NodeReport, Probe, Role
from shedsill.datagram._selection import UpstreamView


def take_report(state: BalancerState, report: NodeReport, now: float) -> list[Effect]:
    """Take in what a node says of itself."""
    if report.host == state.report.host:
        return []
    before = _nodes.merge_report(state.nodes, report, now, direct=True)
    effects = _note_report(state, report, before, now)
    if report.role == Role.BALANCER and report.version > state.table.version:
        effects.append(PullTable(report.host))
    return effects


def take_reports(
    state: BalancerState, reports: Iterable[NodeReport], now: float
) -> list[Effect]:
    """Take in what others say of nodes."""
    effects: list[Effect] = []
    for report in reports:
        if report.host == state.report.host:
            continue
        before = _nodes.merge_report(state.nodes, report, now, direct=False)
        effects += _note_report(state, report, before, now)
    return effects


def _note_report(
    state: BalancerState,
    report: NodeReport,
    before: NodeReport | None,
    now: float,
) -> list[Effect]:
    """Log what has changed, and free the flows of a run that has ended."""
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
    effects: list[Effect] = [Note(event=LogEvent.UPSTREAM_CHANGED, fields=fields)]
    if before is not None and report.boot and before.boot != report.boot:
        effects += _free_flows(state, report.host, report.boot, now)
    return effects


def _free_flows(state: BalancerState, host: str, boot: str, now: float) -> list[Effect]:
    """Reset the flows that an earlier run of an upstream held.

    They died with it.  Their callers may be waiting for an answer with nothing
    left to send, so that no packet of theirs would tell them.
    """
    dead = [
        key
        for key, flow in state.flows.items()
        if flow.host == host and flow.boot and flow.boot != boot
    ]
    return reset_flows(state, dead, host, "upstream restarted")


def take_listed(state: BalancerState, event: ReportsListed) -> list[Effect]:
    """Take in the reports that the store holds."""
    effects = take_reports(state, event.reports, event.now)
    for host in event.removed:
        view = state.nodes.upstreams.get(host)
        if view is not None and (view.suspect or view.lost):
            effects += _forget_upstream(state, host)
        state.nodes.balancers.pop(host, None)
    if event.whole:
        state.nodes.listed = True
    return effects


def _forget_upstream(state: BalancerState, host: str) -> list[Effect]:
    state.nodes.upstreams.pop(host, None)
    keys = [key for key, flow in state.flows.items() if flow.host == host]
    effects = reset_flows(state, keys, host, "upstream left")
    return effects + _locating.drop_host(state, host)


def ask_silent(state: BalancerState, now: float) -> list[Effect]:
    """Ask agents that have been silent; give up those that stay so."""
    effects: list[Effect] = []
    probe = Probe(report=state.report)
    for host, view in state.nodes.upstreams.items():
        holds = host in state.holding_hosts
        if _nodes.is_due(view, now, holds_flows=holds):
            _nodes.note_asked(view, now)
            effects.append(SendMessage(host, probe))
        if _nodes.is_lost(view, now):
            effects += _give_up_agent(state, host, view, now)
    return effects


def _give_up_agent(
    state: BalancerState, host: str, view: UpstreamView, now: float
) -> list[Effect]:
    """Free the callers of an agent that is silent: its VM is down or cut off."""
    view.lost = True
    fields = {"upstream": host, "silent": round(now - view.heard, 3)}
    effects: list[Effect] = [Note(event=LogEvent.UPSTREAM_LOST, fields=fields)]
    keys = [key for key, flow in state.flows.items() if flow.host == host]
    effects += reset_flows(state, keys, host, "agent is silent")
    return effects + _locating.drop_host(state, host)
