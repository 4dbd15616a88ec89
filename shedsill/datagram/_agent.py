"""Agent of opaque flows: start, messages, timers and planned stop.

All packets from and to the upstream pass through its agent.  The agent is
therefore the authority on the flows that the upstream holds, on its load, and on
whether it takes new flows.  The state is changed in place, as the balancer's is.
"""

from __future__ import annotations

from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import Exit, WriteLog
from shedsill.datagram import _slots
from shedsill.datagram._agent_state import (
    RECENT_BALANCER_SECONDS,
    AgentState,
    Phase,
    build_announcement,
    build_load,
    publish_report,
    repeat_announcement,
)
from shedsill.datagram._effects import CheckUpstream, Effect, SendMessage
from shedsill.datagram._events import MessageReceived, StopRequested, Tick
from shedsill.datagram._known_flows import record_all_flows_known
from shedsill.datagram._messages import (
    Announcement,
    EarlierReport,
    Locate,
    Located,
    Probe,
    Roster,
    UpstreamState,
)
from shedsill.datagram._process_pauses import measure_pause
from shedsill.datagram._proofs import report_unproven
from shedsill.datagram._upstream import handle_announced_report, needs_check
from shedsill.datagram._upstream_flows import send_probes

CLOSED_FLOW_SECONDS = 3.0
"""A closed flow is kept this long for retransmitted packets."""

HALF_OPEN_TIMEOUT_SECONDS = 5.0
"""A flow that its caller never opened here is removed after this time; callers give
up a SYN without an answer after 1.4 s."""

MAX_TRIAL_FLOWS = 4096
"""Limit of flows whose trial packet the upstream has not answered; beyond it the list
is cleared, and their balancers are informed later, by the upstream's packets."""

SWEEP_INTERVAL_SECONDS = 0.5
"""Interval between sweeps that remove idle flows."""


def start_agent(state: AgentState, now: float) -> None:
    """Set the start time; nothing is published before the upstream's first heartbeat.

    A stored report of an earlier incarnation of this agent stays valid if the upstream
    is alive.  A VM without an upstream is never announced.
    """
    state.started_at = state.average_updated_at = state.last_tick_at = now
    state.heartbeat_silence_started_at = now
    state.proof_needed = not state.knows_all_flows


def handle_message(state: AgentState, event: MessageReceived) -> list[Effect]:
    """Handle a message of a balancer."""
    now = event.now
    state.balancers[event.source] = now
    match event.message:
        case Probe():
            announcement = build_announcement(state, now)
            unproven = report_unproven(state, event.source)
            return [SendMessage(event.source, announcement), *unproven]
        case Locate(flows=flows):
            return [SendMessage(event.source, _locate_flows(state, flows, now))]
        case EarlierReport(report=report):
            return handle_announced_report(state, report, now)
        case Roster() | Announcement():
            return []
    return []


def _locate_flows(state: AgentState, flows: list[bytes], now: float) -> Located:
    located = Located(
        boot=state.report.boot,
        held=[],
        unknown=[],
        unsure=[],
        load=build_load(state, now),
        may_hold_recent=state.may_hold_recent,
    )
    for key in flows:
        flow = state.flows.get(key)
        if flow is not None and (
            flow.phase == Phase.OPEN or flow.initial_seq is not None
        ):
            located.held.append(key)
        elif state.knows_all_flows or state.report.state == UpstreamState.GONE:
            located.unknown.append(key)
        else:
            located.unsure.append(key)
    return located


def handle_tick(state: AgentState, event: Tick) -> list[Effect]:
    """Run the timers that are due."""
    now = event.now
    effects: list[Effect] = []
    pause = measure_pause(state.last_tick_at, now)
    state.last_tick_at = now
    if pause:
        _exclude_pause(state, pause, now)
    if now >= state.next_sweep_at:
        state.next_sweep_at = now + SWEEP_INTERVAL_SECONDS
        effects += _remove_idle_flows(state, now)
        effects += send_probes(state)
    effects += _slots.expire_requests(state, now)
    effects += repeat_announcement(state, now)
    if needs_check(state, now):
        state.check_pending = True
        state.last_check_at = state.check_started_at = now
        effects.append(CheckUpstream())
    return effects + _finish_stop(state, now)


def _exclude_pause(state: AgentState, pause: float, now: float) -> None:
    """Exclude a pause of this process from the silence of callers and the upstream.

    Times are moved forward by the pause, but not beyond now: some may be those of
    packets that were read since.
    """
    state.heartbeat_silence_started_at = min(
        state.heartbeat_silence_started_at + pause, now
    )
    if state.unanswered_since is not None:
        state.unanswered_since = min(state.unanswered_since + pause, now)
    for flow in state.flows.values():
        flow.last_packet_at = min(flow.last_packet_at + pause, now)
        flow.request_sent_at = min(flow.request_sent_at + pause, now)


def _remove_idle_flows(state: AgentState, now: float) -> list[Effect]:
    """Remove flows that were idle for too long, and balancers that are silent."""
    effects: list[Effect] = []
    for key, flow in list(state.flows.items()):
        idle = now - flow.last_packet_at
        limit = HALF_OPEN_TIMEOUT_SECONDS if flow.phase == Phase.HALF_OPEN else None
        if flow.closed:
            limit = CLOSED_FLOW_SECONDS
        if idle > (limit or state.flow_lifetime):
            effects += _slots.drop_request(state, key, now)
            del state.flows[key]
    for host, at in list(state.balancers.items()):
        if now - at > RECENT_BALANCER_SECONDS:
            del state.balancers[host]
    if len(state.trial_flows) > MAX_TRIAL_FLOWS:
        state.trial_flows.clear()
    if now - state.started_at > state.flow_lifetime:
        record_all_flows_known(state)
    return effects


def handle_stop(state: AgentState, event: StopRequested) -> list[Effect]:
    """Begin a planned stop: refuse new flows, then exit when no request is unanswered.

    The exit is delayed by `stop_limit` at most.  Before the first heartbeat nothing is
    published, as this incarnation has announced no upstream yet.
    """
    if state.stop_at is not None:
        return []
    state.stop_at = event.now + state.stop_limit
    state.report = replace(state.report, stopping=True)
    log_entry = WriteLog(
        event=LogEvent.NODE_STOPPING, fields={"flows": len(state.flows)}
    )
    if not state.report.boot:
        return [log_entry]
    return [log_entry, *publish_report(state, event.now)]


def _finish_stop(state: AgentState, now: float) -> list[Effect]:
    if state.stop_at is None:
        return []
    if state.busy and now < state.stop_at:
        return []
    return [WriteLog(event=LogEvent.NODE_STOPPED, fields={"busy": state.busy}), Exit()]
