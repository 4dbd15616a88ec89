"""How an agent follows the life of its upstream: heartbeats, silence, restarts."""

from __future__ import annotations

import math

from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _slots
from shedsill.datagram._agent_state import (
    AgentFlow,
    AgentState,
    Phase,
    publish_report,
    update_upstream_state,
)
from shedsill.datagram._effects import (
    Effect,
    RemoveReport,
    ResetFlow,
    SendToUpstream,
)
from shedsill.datagram._events import (
    EarlierReportRead,
    Heartbeat,
    HeartbeatReceived,
    UpstreamChecked,
    UpstreamLeaving,
)
from shedsill.datagram._health import record_crash
from shedsill.datagram._messages import UpstreamState

FIRST_SERIAL = 1
"""Number of the first heartbeat of an upstream's run."""

BOOT_SILENCE_SECONDS = 3.0
"""Seconds without a heartbeat of the run that is known before a later heartbeat of
another run is believed: two heartbeats of 1.2 s and half of one have stayed out."""

UNANSWERED_LIMIT_SECONDS = 0.4
"""Seconds without any packet of the upstream, while it owes one, after which
its port is tried.  It acknowledges within milliseconds, and callers send again
after 0.2 s, so two sendings have gone unanswered by then."""

CHECK_INTERVAL_SECONDS = 0.4
"""Seconds between tries of the port of an upstream that does not answer."""


def handle_heartbeat(state: AgentState, event: HeartbeatReceived) -> list[Effect]:
    """Take in what the upstream says of itself."""
    heartbeat, now = event.heartbeat, event.now
    report = state.report
    if heartbeat.boot in state.ended_boots or _is_outdated(state, heartbeat, now):
        return [_note_outdated(state, heartbeat)]
    effects: list[Effect] = []
    if heartbeat.boot != report.boot:
        effects += _change_boot(state, heartbeat, now)
    elif heartbeat.serial <= state.heartbeat_serial:
        return []
    state.heartbeat_serial = heartbeat.serial
    state.last_heartbeat_at = state.heartbeat_silence_started_at = now
    state.cold_until = now + heartbeat.cold
    changed = (heartbeat.boot, heartbeat.state, heartbeat.slots) != (
        report.boot,
        report.state,
        report.load.slots,
    )
    if not changed:
        return effects
    state.report = replace(
        state.report,
        state=heartbeat.state,
        load=replace(state.report.load, slots=heartbeat.slots),
    )
    effects += publish_report(state, now)
    fields = {"boot": heartbeat.boot, "serial": heartbeat.serial}
    fields |= {"cold": heartbeat.cold, "complete": state.knows_all_flows}
    return [*effects, WriteLog(event=LogEvent.HEARTBEAT_TAKEN, fields=fields)]


def _is_outdated(state: AgentState, heartbeat: Heartbeat, now: float) -> bool:
    """Whether a heartbeat of another run may be one that was held up on its way.

    A run makes itself known with its first heartbeat.  A later one, while the known
    run is alive, is of a run that has ended before.
    """
    report = state.report
    if report.boot in ("", heartbeat.boot) or heartbeat.serial == FIRST_SERIAL:
        return False
    alive = report.state in (UpstreamState.READY, UpstreamState.DRAINING)
    return alive and now - state.heartbeat_silence_started_at < BOOT_SILENCE_SECONDS


def _note_outdated(state: AgentState, heartbeat: Heartbeat) -> WriteLog:
    fields = {
        "boot": heartbeat.boot,
        "serial": heartbeat.serial,
        "current": state.report.boot,
    }
    return WriteLog(event=LogEvent.HEARTBEAT_OUTDATED, fields=fields)


def _change_boot(state: AgentState, heartbeat: Heartbeat, now: float) -> list[Effect]:
    """Follow the upstream into a new run; the flows of the last one are gone.

    The first heartbeat of a run shows that the run began under this agent, so
    that it holds no flow from before the agent's start.
    """
    before = state.report.boot
    alive_at = state.last_heartbeat_at
    state.report = replace(state.report, boot=heartbeat.boot)
    state.heartbeat_serial = 0
    state.upstream_leaving = False
    state.first_heartbeat_received = heartbeat.serial == FIRST_SERIAL
    if state.first_heartbeat_received or state.earlier_boot not in ("", heartbeat.boot):
        state.knows_all_flows = True
    _retire_earlier(state)
    if not before:
        return []
    state.ended_boots.add(before)
    state.knows_all_flows = True
    if state.report.state == UpstreamState.READY:
        record_crash(state.health, now)
    tries = _try_requests(state, alive_at)
    effects = reset_flows(state, "upstream restarted", now, taken_until=alive_at)
    return effects + tries


def _try_requests(state: AgentState, alive_at: float) -> list[Effect]:
    """Have the new run tell which of the requests at work are its own.

    A flow taken since the last run's last heartbeat may be of either run: a new run
    takes flows before its first heartbeat has arrived.  A copy of the flow's last
    packet does not harm a run that holds the flow, and is bounced by one that does
    not, so that its caller is freed in milliseconds instead of at its deadline.
    """
    return [
        SendToUpstream(flow.last_request_packet, flow.balancer)
        for flow in state.flows.values()
        if flow.running
        and flow.last_request_packet is not None
        and _was_taken(flow, alive_at)
    ]


def _retire_earlier(state: AgentState) -> None:
    """Never believe the run before this one again, if this one surely came later."""
    if state.first_heartbeat_received and state.earlier_boot not in (
        "",
        state.report.boot,
    ):
        state.ended_boots.add(state.earlier_boot)


def handle_earlier_report(state: AgentState, event: EarlierReportRead) -> list[Effect]:
    """Learn from the last run of this agent what the upstream was like.

    If it has restarted since, it holds no flow from before this agent's start,
    and packets of unknown flows need not be tried on it.  That is certain only if
    the store answered when this agent started: during an outage the last run may
    have served a later run of the upstream without being able to store it.

    Its slots are taken to be as many as before until its heartbeat tells.
    """
    earlier, report = event.report, state.report
    if earlier.incarnation == report.incarnation:
        return []
    if event.at_start:
        state.earlier_boot = earlier.boot
        if earlier.boot and report.boot and earlier.boot != report.boot:
            state.knows_all_flows = True
            _retire_earlier(state)
    if not report.load.slots and earlier.service == report.service:
        load = replace(report.load, slots=earlier.load.slots)
        state.report = replace(report, load=load)
    fields = {
        "boot": state.report.boot,
        "earlier": earlier.boot,
        "complete": state.knows_all_flows,
    }
    return [WriteLog(event=LogEvent.EARLIER_REPORT, fields=fields)]


def _was_taken(flow: AgentFlow, since: float) -> bool:
    return flow.taken_at is not None and flow.taken_at > since


def reset_flows(
    state: AgentState, reason: str, now: float, *, taken_until: float = math.inf
) -> list[Effect]:
    """Reset the open flows of a run of the upstream that has ended.

    Parameters
    ----------
    taken_until : float
        When the run that has ended was last known to be alive.  Flows taken later may
        be the next run's and are kept; it bounces the packets of those it lacks.
    """
    effects: list[Effect] = []
    for key, flow in list(state.flows.items()):
        if _was_taken(flow, taken_until):
            continue
        if flow.phase == Phase.OPEN and not flow.closed:
            effects.append(ResetFlow(key, flow.caller_ack))
        del state.flows[key]
    fields = {"flows": len(effects), "reason": reason, "boot": state.report.boot}
    state.trial_flows.clear()
    note = WriteLog(event=LogEvent.FLOWS_FREED, fields=fields)
    return [*effects, note, *_slots.drop_orphaned_requests(state, now)]


def handle_leave(state: AgentState, event: UpstreamLeaving) -> list[Effect]:
    """Note that the upstream's run is about to end, as it said."""
    if event.boot != state.report.boot:
        return []
    state.upstream_leaving = True
    state.last_check_at = event.now
    return [
        *update_upstream_state(state, UpstreamState.GONE, event.now),
        RemoveReport(state.report),
    ]


def needs_check(state: AgentState, now: float) -> bool:
    if state.check_pending or now - state.last_check_at < CHECK_INTERVAL_SECONDS:
        return False
    if state.report.state == UpstreamState.UNRESPONSIVE or state.upstream_leaving:
        return bool(state.flows) or not state.upstream_leaving
    return (
        state.unanswered_since is not None
        and now - state.unanswered_since > UNANSWERED_LIMIT_SECONDS
    )


def handle_check_result(state: AgentState, event: UpstreamChecked) -> list[Effect]:
    """Act on whether the upstream's port takes connections."""
    state.check_pending = False
    now = event.now
    if event.open:
        state.unanswered_since = None
        if state.report.state == UpstreamState.UNRESPONSIVE:
            return update_upstream_state(state, UpstreamState.READY, now)
        return []
    if state.unanswered_since is None and not state.upstream_leaving:
        return []
    effects: list[Effect] = []
    if state.report.state in (UpstreamState.READY, UpstreamState.UNKNOWN):
        fields = {"refused": event.refused, "flows": len(state.flows)}
        effects.append(WriteLog(event=LogEvent.UPSTREAM_SILENT, fields=fields))
        effects += update_upstream_state(state, UpstreamState.UNRESPONSIVE, now)
    if event.refused:
        state.knows_all_flows = True
        if not state.upstream_leaving:
            record_crash(state.health, now)
        effects += reset_flows(state, "upstream refuses connections", now)
    return effects
