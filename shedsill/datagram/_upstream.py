"""Tracking of an agent's upstream: heartbeats, restarts and failure detection."""

from __future__ import annotations

import math

from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _slots
from shedsill.datagram._agent_state import (
    BOOT_SILENCE_SECONDS,
    AgentFlow,
    AgentState,
    Phase,
    get_serving_state,
    publish_report,
    update_upstream_state,
)
from shedsill.datagram._boots import is_earlier_boot, may_be_same_boot
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
from shedsill.datagram._messages import NodeReport, UpstreamState

FIRST_SERIAL = 1
"""Serial of the first heartbeat of an upstream's boot."""

MAX_PROBES = 3
"""Packets sent to find out whether the upstream holds a flow; it ignores them if it
does, and one may be lost."""

UNANSWERED_LIMIT_SECONDS = 0.4
"""Time without any answer of the upstream after which its port is checked; a running
upstream acknowledges within milliseconds, and callers retransmit after 0.2 s, so that
two packets are unanswered by then."""

CHECK_INTERVAL_SECONDS = 0.4
"""Time between checks of the port of an upstream that does not answer."""


def handle_heartbeat(state: AgentState, event: HeartbeatReceived) -> list[Effect]:
    """Update the upstream's report by its heartbeat.

    A boot never takes new flows again once it has announced its end: a heartbeat that
    says otherwise was prepared before, whatever its serial.
    """
    heartbeat, now = event.heartbeat, event.now
    report = state.report
    if heartbeat.boot in state.ended_boots or _is_outdated(state, heartbeat, now):
        return [_log_outdated(state, heartbeat)]
    effects: list[Effect] = []
    if heartbeat.boot != report.boot:
        effects += _change_boot(state, heartbeat, now)
    elif heartbeat.serial <= state.heartbeat_serial:
        return [_log_stale(state, heartbeat), *_record_drain(state, heartbeat, now)]
    if heartbeat.state == UpstreamState.DRAINING:
        state.draining_boots.add(heartbeat.boot)
    state.heartbeat_serial = heartbeat.serial
    state.last_heartbeat_at = state.heartbeat_silence_started_at = now
    state.cold_until = now + heartbeat.cold
    upstream_state = get_serving_state(state)
    changed = (heartbeat.boot, upstream_state, heartbeat.slots) != (
        report.boot,
        report.state,
        report.load.slots,
    )
    if not changed:
        return effects
    state.report = replace(
        state.report,
        state=upstream_state,
        load=replace(state.report.load, slots=heartbeat.slots),
    )
    effects += publish_report(state, now)
    fields = {"boot": heartbeat.boot, "serial": heartbeat.serial}
    fields |= {"cold": heartbeat.cold, "complete": state.knows_all_flows}
    return [*effects, WriteLog(event=LogEvent.HEARTBEAT_TAKEN, fields=fields)]


def _record_drain(state: AgentState, heartbeat: Heartbeat, now: float) -> list[Effect]:
    """Begin the drain that a late heartbeat of the current boot announces."""
    if heartbeat.state != UpstreamState.DRAINING:
        return []
    state.draining_boots.add(heartbeat.boot)
    return update_upstream_state(state, UpstreamState.DRAINING, now)


def is_confirmed(state: AgentState, call: Heartbeat | UpstreamLeaving) -> bool:
    """Whether what a call says is in force, so that it is answered with success."""
    report = state.report
    match call:
        case Heartbeat(state=UpstreamState.DRAINING):
            not_accepting = report.state in (UpstreamState.DRAINING, UpstreamState.GONE)
            return call.boot == report.boot and not_accepting
        case Heartbeat():
            return call.boot == report.boot and report.state == UpstreamState.READY
        case UpstreamLeaving():
            return call.boot in state.ended_boots or call.boot in state.superseded_boots


def _is_outdated(state: AgentState, heartbeat: Heartbeat, now: float) -> bool:
    """Whether a heartbeat may be a delayed one of a boot that has ended.

    A new boot is accepted with its first heartbeat.  A later heartbeat of another boot,
    while the current one is alive, must be of an earlier boot.  A superseded boot is
    accepted again if it sends new heartbeats while the current one is silent.

    The known starts of two boots decide, but only until the current one is silent: the
    clock may have stepped back in between.
    """
    report = state.report
    if report.boot == heartbeat.boot:
        return False
    current = report.boot or state.earlier_boot
    silent = now - state.heartbeat_silence_started_at >= BOOT_SILENCE_SECONDS
    last_serial = state.superseded_boots.get(heartbeat.boot)
    if last_serial is not None and heartbeat.serial <= last_serial:
        return True
    if current not in state.ended_boots:
        if is_earlier_boot(heartbeat.boot, current):
            return not silent
        if is_earlier_boot(current, heartbeat.boot):
            return False
    if last_serial is not None:
        return not silent
    if report.boot == "" or heartbeat.serial == FIRST_SERIAL:
        return False
    alive = report.state in (UpstreamState.READY, UpstreamState.DRAINING)
    return alive and not silent


def _log_outdated(state: AgentState, heartbeat: Heartbeat) -> WriteLog:
    fields = {
        "boot": heartbeat.boot,
        "serial": heartbeat.serial,
        "current": state.report.boot,
    }
    return WriteLog(event=LogEvent.HEARTBEAT_OUTDATED, fields=fields)


def _log_stale(state: AgentState, heartbeat: Heartbeat) -> WriteLog:
    fields = {
        "boot": heartbeat.boot,
        "serial": heartbeat.serial,
        "last": state.heartbeat_serial,
        "says": heartbeat.state.value,
        "state": state.report.state.value,
    }
    return WriteLog(event=LogEvent.HEARTBEAT_STALE, fields=fields)


def _change_boot(state: AgentState, heartbeat: Heartbeat, now: float) -> list[Effect]:
    """Switch to a new boot of the upstream and verify the flows of the previous one.

    A boot whose first heartbeat is received began after the agent's start, so that all
    of its flows are known.
    """
    _name_earlier_boot(state, heartbeat.boot)
    previous = state.report.boot
    alive_at, last_serial = state.last_heartbeat_at, state.heartbeat_serial
    stored = state.earlier_boot if state.earlier_boot != heartbeat.boot else ""
    state.report = replace(
        state.report,
        boot=heartbeat.boot,
        previous_boot=previous or stored or state.report.previous_boot,
    )
    state.heartbeat_serial = 0
    state.upstream_leaving = False
    state.first_heartbeat_received = heartbeat.serial == FIRST_SERIAL
    if state.first_heartbeat_received:
        state.knows_all_flows = True
    elif state.earlier_boot not in ("", heartbeat.boot):
        state.knows_all_flows = state.may_hold_recent = True
    _record_earlier_boot_ended(state)
    state.superseded_boots.pop(heartbeat.boot, None)
    if not previous:
        return []
    state.superseded_boots[previous] = last_serial
    state.knows_all_flows = True
    state.may_hold_recent = False
    if state.report.state == UpstreamState.READY:
        record_crash(state.health, now)
    probes = _verify_open_flows(state)
    resets = reset_flows(
        state, "upstream restarted", now, taken_until=alive_at, include_unverified=False
    )
    return [*resets, *probes]


def _verify_open_flows(state: AgentState) -> list[Effect]:
    """Find out which open flows the upstream holds.

    The current boot ignores the copy of a flow's packet if it holds the flow, and
    bounces it otherwise, so that the flow is reset at once.  A heartbeat alone does not
    show that a flow has ended: it may be delayed, or overtaken by one of another boot.
    """
    for flow in state.flows.values():
        if flow.phase == Phase.OPEN and not flow.closed and flow.probe_packet:
            flow.probes_left = MAX_PROBES
    return send_probes(state)


def send_probes(state: AgentState) -> list[Effect]:
    """Send the packets that show whether the upstream holds unverified flows."""
    effects: list[Effect] = []
    for flow in state.flows.values():
        if flow.probes_left and flow.probe_packet is not None:
            flow.probes_left -= 1
            effects.append(SendToUpstream(flow.probe_packet, flow.balancer))
    return effects


def _name_earlier_boot(state: AgentState, boot: str) -> None:
    """Use a boot's full name if the stored one may be the same without its start."""
    if may_be_same_boot(state.earlier_boot, boot):
        if state.earlier_boot in state.draining_boots:
            state.draining_boots.add(boot)
        state.earlier_boot = boot


def _record_earlier_boot_ended(state: AgentState) -> None:
    """Ignore the stored boot from now on if the current boot certainly came later."""
    if state.first_heartbeat_received and state.earlier_boot not in (
        "",
        state.report.boot,
    ):
        state.ended_boots.add(state.earlier_boot)


def handle_earlier_report(state: AgentState, event: EarlierReportRead) -> list[Effect]:
    """Compare the upstream with the stored report of this agent's earlier incarnation.

    If the upstream has restarted since, it holds no flow from before this agent's
    start, and unknown flows can be denied.  That is certain only if the store was
    available when this agent started: during an outage the earlier incarnation may have
    served a later boot of the upstream without storing it.

    The stored number of slots is used until the upstream's heartbeat arrives.  A boot
    that was draining still is.
    """
    earlier, report = event.report, state.report
    if earlier.incarnation == report.incarnation:
        return []
    report = state.report = _ignore_boots_before(state, earlier)
    if event.at_start:
        state.earlier_boot = earlier.boot
        if report.boot:
            _name_earlier_boot(state, report.boot)
        if state.earlier_boot and report.boot and state.earlier_boot != report.boot:
            state.knows_all_flows = True
            state.may_hold_recent = not state.first_heartbeat_received
            _record_earlier_boot_ended(state)
    if not report.load.slots and earlier.service == report.service:
        load = replace(report.load, slots=earlier.load.slots)
        state.report = replace(report, load=load)
    fields = {
        "boot": state.report.boot,
        "earlier": earlier.boot,
        "state": earlier.state.value,
        "complete": state.knows_all_flows,
    }
    log_entry = WriteLog(event=LogEvent.EARLIER_REPORT, fields=fields)
    if earlier.state != UpstreamState.DRAINING:
        return [log_entry]
    is_current = may_be_same_boot(state.report.boot, earlier.boot)
    boot = state.report.boot if is_current else earlier.boot
    return [log_entry, *_restore_drain(state, boot, event.now)]


def _restore_drain(state: AgentState, boot: str, now: float) -> list[Effect]:
    """Continue the drain that an earlier incarnation of this agent has confirmed."""
    state.draining_boots.add(boot)
    if state.report.boot == boot and state.report.state == UpstreamState.READY:
        return update_upstream_state(state, UpstreamState.DRAINING, now)
    if state.report.boot == "" and state.report.state == UpstreamState.UNKNOWN:
        state.report = replace(state.report, state=UpstreamState.DRAINING)
    return []


def _ignore_boots_before(state: AgentState, earlier: NodeReport) -> NodeReport:
    """Ignore late heartbeats of boots before the stored one; return the own report.

    If such a heartbeat was the first one to arrive, the current boot is unknown again.
    """
    if earlier.previous_boot:
        state.superseded_boots.setdefault(earlier.previous_boot, 0)
    report = state.report
    if report.boot and (
        report.boot == earlier.previous_boot
        or is_earlier_boot(report.boot, earlier.boot)
    ):
        state.superseded_boots[report.boot] = state.heartbeat_serial
        state.knows_all_flows = state.first_heartbeat_received = False
        report = replace(report, boot="", state=UpstreamState.UNKNOWN)
    if earlier.previous_boot and (
        report.boot == "" or may_be_same_boot(report.boot, earlier.boot)
    ):
        report = replace(report, previous_boot=earlier.previous_boot)
    return report


def _was_taken_after(flow: AgentFlow, since: float) -> bool:
    return flow.taken_at is not None and flow.taken_at > since


def reset_flows(
    state: AgentState,
    reason: str,
    now: float,
    *,
    taken_until: float = math.inf,
    include_unverified: bool = True,
) -> list[Effect]:
    """Reset the open flows of a boot of the upstream that has ended.

    Parameters
    ----------
    taken_until : float
        When the ended boot was last known to be alive.  Flows taken later may be of
        the next boot and are kept; it bounces packets of flows that it does not hold.
    include_unverified : bool
        Whether flows that are half open or being verified are reset, too.
    """
    effects: list[Effect] = []
    for key, flow in list(state.flows.items()):
        is_verified = flow.phase == Phase.OPEN and not flow.probes_left
        if _was_taken_after(flow, taken_until) or not (
            include_unverified or is_verified
        ):
            continue
        if flow.phase == Phase.OPEN and not flow.closed:
            effects.append(ResetFlow(key, flow.caller_ack))
        del state.flows[key]
    fields = {
        "flows": len(effects),
        "reason": reason,
        "boot": state.report.boot,
        "previous": state.report.previous_boot,
        "kept": len(state.flows),
    }
    state.trial_flows.clear()
    log_entry = WriteLog(event=LogEvent.FLOWS_FREED, fields=fields)
    return [*effects, log_entry, *_slots.drop_orphaned_requests(state, now)]


def handle_leave(state: AgentState, event: UpstreamLeaving) -> list[Effect]:
    """Mark the upstream as gone, since it has announced the end of its boot."""
    if state.report.boot == "" and may_be_same_boot(event.boot, state.earlier_boot):
        state.report = replace(state.report, boot=state.earlier_boot)
    if event.boot in state.superseded_boots:
        state.ended_boots.add(event.boot)
    if not may_be_same_boot(event.boot, state.report.boot):
        fields = {
            "boot": event.boot,
            "current": state.report.boot,
            "state": state.report.state.value,
        }
        return [WriteLog(event=LogEvent.LEAVE_IGNORED, fields=fields)]
    state.ended_boots |= {event.boot, state.report.boot}
    state.upstream_leaving = True
    state.last_check_at = event.now
    return [
        *update_upstream_state(state, UpstreamState.GONE, event.now),
        RemoveReport(state.report),
    ]


def needs_check(state: AgentState, now: float) -> bool:
    """Whether a check of the upstream's port is due."""
    if state.check_pending or now - state.last_check_at < CHECK_INTERVAL_SECONDS:
        return False
    if state.report.state == UpstreamState.UNRESPONSIVE or state.upstream_leaving:
        return bool(state.flows) or not state.upstream_leaving
    return (
        state.unanswered_since is not None
        and now - state.unanswered_since > UNANSWERED_LIMIT_SECONDS
    )


def handle_check_result(state: AgentState, event: UpstreamChecked) -> list[Effect]:
    """Update the upstream's state by whether its port accepts connections.

    A refusal ends the flows that were taken before the check was started; a boot that
    started meanwhile may have taken the others.
    """
    state.check_pending = False
    now = event.now
    if event.open:
        state.unanswered_since = None
        if state.report.state == UpstreamState.UNRESPONSIVE:
            return update_upstream_state(state, get_serving_state(state), now)
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
        state.may_hold_recent = False
        if not state.upstream_leaving:
            record_crash(state.health, now)
        effects += reset_flows(
            state,
            "upstream refuses connections",
            now,
            taken_until=state.check_started_at,
        )
    return effects
