"""Tracking of an agent's upstream: its current boot, state and failure detection."""

from __future__ import annotations

from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram._agent_state import (
    BOOT_SILENCE_SECONDS,
    AgentState,
    announce_report,
    get_serving_state,
    publish_report,
    store_report,
    update_upstream_state,
)
from shedsill.datagram._boots import (
    build_previous_boots,
    is_earlier_boot,
    list_previous_boots,
    may_be_same_boot,
)
from shedsill.datagram._effects import Effect, RemoveReport
from shedsill.datagram._events import (
    EarlierReportRead,
    Heartbeat,
    HeartbeatReceived,
    UpstreamChecked,
    UpstreamLeaving,
)
from shedsill.datagram._health import record_crash
from shedsill.datagram._known_flows import (
    FIRST_SERIAL,
    describe_known_flows,
    is_complete,
    may_be_old_boot,
    record_all_flows_known,
    record_heartbeat_of_earlier_boot,
    record_vm_start,
    update_known_flows,
)
from shedsill.datagram._messages import NodeReport, UpstreamState
from shedsill.datagram._proofs import (
    has_called_again,
    is_first_call_heard,
    is_proven,
    refuse_unproven,
)
from shedsill.datagram._statements import FINAL_STATES
from shedsill.datagram._upstream_flows import reset_flows, verify_open_flows

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
    if heartbeat.boot in state.ended_boots:
        return [_log_outdated(state, heartbeat)]
    if _is_outdated(state, heartbeat, now):
        return [_handle_outdated(state, heartbeat)]
    if _is_older_than_known(state, heartbeat, now):
        if heartbeat.state == UpstreamState.DRAINING:
            effects = _restore_drain(state, heartbeat.boot, now)
            return [_log_stale(state, heartbeat), *effects]
        return [_log_stale(state, heartbeat)]
    if not is_proven(state, event):
        return refuse_unproven(state, event)
    effects: list[Effect] = []
    if heartbeat.boot != report.boot:
        effects += _change_boot(state, event)
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
    fields |= {"cold": heartbeat.cold, **describe_known_flows(state)}
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
    accepted again if it sends new heartbeats while the current one is silent; that a
    heartbeat is new shows only by the last one before it.

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
    if has_called_again(state, heartbeat):
        # The current boot was taken in between, by two late heartbeats.
        return False
    if current not in state.ended_boots:
        if is_earlier_boot(heartbeat.boot, current):
            return not silent
        if is_earlier_boot(current, heartbeat.boot):
            return False
    if last_serial is not None:
        return not silent or not last_serial
    if report.boot == "" or heartbeat.serial == FIRST_SERIAL:
        return False
    alive = report.state in (UpstreamState.READY, UpstreamState.DRAINING)
    return alive and not silent


def _is_older_than_known(state: AgentState, heartbeat: Heartbeat, now: float) -> bool:
    """Whether an earlier incarnation has heard a later heartbeat of the same boot.

    Without any heartbeat for some time it is not, since an upstream that tells no start
    may have started again under its ID.
    """
    silent = now - state.heartbeat_silence_started_at >= BOOT_SILENCE_SECONDS
    if state.report.boot or silent:
        return False
    is_same = may_be_same_boot(heartbeat.boot, state.earlier_boot)
    return is_same and heartbeat.serial <= state.earlier_serial


def _handle_outdated(state: AgentState, heartbeat: Heartbeat) -> WriteLog:
    boot = heartbeat.boot
    if boot in state.superseded_boots:
        last_serial = state.superseded_boots[boot]
        state.superseded_boots[boot] = max(last_serial, heartbeat.serial)
    record_heartbeat_of_earlier_boot(state, boot)
    return _log_outdated(state, heartbeat)


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


def _change_boot(state: AgentState, event: HeartbeatReceived) -> list[Effect]:
    """Switch to another boot of the upstream and verify the flows of the previous one.

    Open flows without a packet to verify them are reset only if this agent knows all
    flows, so that it has sent packets of all that the upstream holds.
    """
    heartbeat, now, report = event.heartbeat, event.now, state.report
    _name_earlier_boot(state, heartbeat.boot)
    was_complete, previous = is_complete(state), report.boot
    alive_at, last_serial = state.last_heartbeat_at, state.heartbeat_serial
    state.first_heartbeat_received = is_first_call_heard(state, heartbeat)
    state.boot_may_be_old = may_be_old_boot(state, heartbeat.boot, heartbeat.serial)
    state.earlier_boot_heard = False
    state.report = replace(
        report,
        boot=heartbeat.boot,
        **build_previous_boots(
            heartbeat.boot,
            previous or state.earlier_boot,
            *list_previous_boots(report),
        ),
    )
    state.heartbeat_serial = 0
    state.upstream_leaving = False
    _supersede_earlier_boot(state)
    state.superseded_boots.pop(heartbeat.boot, None)
    state.refused_serials.pop(heartbeat.boot, None)
    update_known_flows(state, event.unix_ms)
    if not previous:
        return []
    state.superseded_boots[previous] = last_serial
    if state.report.state == UpstreamState.READY:
        record_crash(state.health, now)
    probes = verify_open_flows(state)
    if not was_complete:
        return probes
    resets = reset_flows(
        state, "upstream restarted", now, taken_until=alive_at, include_unverified=False
    )
    return [*resets, *probes]


def _name_earlier_boot(state: AgentState, boot: str) -> None:
    """Use a boot's full name if the stored one may be the same without its start."""
    if may_be_same_boot(state.earlier_boot, boot):
        if state.earlier_boot in state.draining_boots:
            state.draining_boots.add(boot)
        state.earlier_boot = boot


def _supersede_earlier_boot(state: AgentState) -> None:
    """Treat the stored boot as superseded by one whose first heartbeat was received."""
    if state.first_heartbeat_received and state.earlier_boot not in (
        "",
        state.report.boot,
    ):
        state.superseded_boots.setdefault(state.earlier_boot, 0)


def handle_earlier_report(state: AgentState, event: EarlierReportRead) -> list[Effect]:
    """Compare the upstream with the stored report of this agent's earlier incarnation.

    If the store was not available when this agent started, the earlier incarnation may
    have served a later boot without storing it.
    """
    earlier = event.report
    if earlier.incarnation == state.report.incarnation:
        return []
    state.earlier_report_read = True
    if event.at_start:
        record_vm_start(state, earlier)
    names_boot = event.at_start or state.earlier_boot != ""
    effects = _compare_with(state, earlier, event.now, names_boot=names_boot)
    fields = {
        "boot": state.report.boot,
        "earlier": earlier.boot,
        "state": earlier.state.value,
        "serial": earlier.heartbeat_serial,
        "at_start": event.at_start,
        "vm_restarted": state.vm_restarted,
        **describe_known_flows(state),
    }
    effects.append(WriteLog(event=LogEvent.EARLIER_REPORT, fields=fields))
    if not event.at_start:
        effects += store_report(state)
    return effects


def handle_announced_report(
    state: AgentState, earlier: NodeReport, now: float
) -> list[Effect]:
    """Compare the upstream with what an earlier incarnation told a balancer."""
    report = state.report
    is_own = earlier.host == report.host and earlier.service == report.service
    if not is_own or earlier.incarnation == report.incarnation:
        return []
    effects = _compare_with(state, earlier, now, names_boot=True)
    fields = {
        "boot": state.report.boot,
        "earlier": earlier.boot,
        "state": earlier.state.value,
        "serial": earlier.heartbeat_serial,
        **describe_known_flows(state),
    }
    return [*effects, WriteLog(event=LogEvent.EARLIER_REPORT_TOLD, fields=fields)]


def _compare_with(
    state: AgentState, earlier: NodeReport, now: float, *, names_boot: bool
) -> list[Effect]:
    """Update what is known by a report of an earlier incarnation of this agent.

    The upstream holds no flow of the boot that the report names if it has restarted
    since.  The reported number of slots is used until the upstream's heartbeat arrives.
    A boot that was draining still is.

    Parameters
    ----------
    names_boot : bool
        Whether the report names the latest boot that is known to be an earlier one.
    """
    is_previous = earlier.boot in list_previous_boots(state.report)
    is_known = may_be_same_boot(earlier.boot, state.earlier_boot)
    if is_previous and state.earlier_boot and not is_known:
        return []
    effects = _ignore_boots_before(state, earlier, now)
    report = state.report
    if names_boot:
        is_same = may_be_same_boot(state.earlier_boot, earlier.boot)
        known_serial = state.earlier_serial if is_same else 0
        state.earlier_serial = max(known_serial, earlier.heartbeat_serial)
        state.earlier_boot = earlier.boot
        if report.boot:
            _name_earlier_boot(state, report.boot)
            _supersede_earlier_boot(state)
        update_known_flows(state)
    effects += _take_over_slots(state, earlier, now)
    if earlier.state in FINAL_STATES:
        is_current = may_be_same_boot(state.report.boot, earlier.boot)
        boot = state.report.boot if is_current else earlier.boot
        effects += _restore_drain(state, boot, now)
    return effects


def _take_over_slots(
    state: AgentState, earlier: NodeReport, now: float
) -> list[Effect]:
    """Use the reported slots unless a later heartbeat has told them."""
    report, slots = state.report, earlier.load.slots
    if earlier.service != report.service or not slots:
        return []
    is_older = (
        may_be_same_boot(report.boot, earlier.boot)
        and state.heartbeat_serial < earlier.heartbeat_serial
    )
    if is_older:
        state.heartbeat_serial = earlier.heartbeat_serial
    if report.load.slots == slots or not (is_older or not report.boot):
        return []
    state.report = replace(report, load=replace(report.load, slots=slots))
    return publish_report(state, now) if report.boot else []


def _restore_drain(state: AgentState, boot: str, now: float) -> list[Effect]:
    """Continue the drain that an earlier incarnation of this agent has confirmed."""
    state.draining_boots.add(boot)
    if state.report.boot == boot and state.report.state == UpstreamState.READY:
        return update_upstream_state(state, UpstreamState.DRAINING, now)
    if state.report.boot == "" and state.report.state == UpstreamState.UNKNOWN:
        state.report = replace(state.report, state=UpstreamState.DRAINING)
    return []


def _ignore_boots_before(
    state: AgentState, earlier: NodeReport, now: float
) -> list[Effect]:
    """Ignore late heartbeats of boots before the stored one.

    If such a heartbeat was the first one to arrive, the current boot is unknown again.
    """
    previous_boots = list_previous_boots(earlier)
    for boot in previous_boots:
        state.superseded_boots.setdefault(boot, 0)
    report = state.report
    is_outdated = report.boot in previous_boots or is_earlier_boot(
        report.boot, earlier.boot
    )
    effects: list[Effect] = []
    if report.boot and is_outdated:
        effects = _forget_boot(state, now)
        report = state.report
    known = list_previous_boots(report)
    state.report = replace(
        report,
        **build_previous_boots(report.boot, *known, earlier.boot, *previous_boots),
    )
    return effects


def _forget_boot(state: AgentState, now: float) -> list[Effect]:
    """Announce that the current boot is unknown, since it was taken for a later one."""
    report = state.report
    state.superseded_boots[report.boot] = state.heartbeat_serial
    state.first_heartbeat_received = state.upstream_leaving = False
    state.report = replace(
        report, boot="", state=UpstreamState.UNKNOWN, serial=report.serial + 1
    )
    update_known_flows(state)
    return announce_report(state, now)


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
        record_all_flows_known(state)
        if not state.upstream_leaving:
            record_crash(state.health, now)
        effects += reset_flows(
            state,
            "upstream refuses connections",
            now,
            taken_until=state.check_started_at,
        )
    return effects
