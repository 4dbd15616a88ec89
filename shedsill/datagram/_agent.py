"""An agent of opaque flows: its start, messages, timers and planned stop.

The agent sees each packet of its upstream in both directions, and nothing
reaches the upstream but through it.  So it is the authority on the flows that
the upstream holds, on how busy it is, and on whether it takes new ones.  The
state is changed in place, as the balancer's is.
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
    build_load,
    publish_report,
    repeat_announcement,
)
from shedsill.datagram._effects import CheckUpstream, Effect, SendMessage
from shedsill.datagram._events import MessageReceived, StopRequested, Tick
from shedsill.datagram._messages import (
    Announcement,
    Locate,
    Located,
    Probe,
    Roster,
    UpstreamState,
)
from shedsill.datagram._process_pauses import measure_pause
from shedsill.datagram._upstream import needs_check

CLOSED_FLOW_SECONDS = 3.0
"""Seconds for which a closed flow is kept, for packets that are sent again."""

HALF_OPEN_TIMEOUT_SECONDS = 5.0
"""Seconds after which a flow that its caller never opened here is forgotten;
callers give an opening up after 1.4 s."""

MAX_TRIAL_FLOWS = 4096
"""Flows whose trial packet the upstream has neither taken nor bounced; its own
packets teach the agent all the same, only the balancer hears of it later."""

SWEEP_INTERVAL_SECONDS = 0.5
"""Seconds between looks for flows to forget."""


def start_agent(state: AgentState, now: float) -> None:
    """Begin; nothing is published before the upstream's first heartbeat.

    A report of an earlier run of this agent may still be in the store and stays
    good if the upstream lives.  A VM without an upstream is not made known.
    """
    state.started_at = state.average_updated_at = state.last_tick_at = now


def handle_message(state: AgentState, event: MessageReceived) -> list[Effect]:
    """Answer a balancer."""
    now = event.now
    state.balancers[event.source] = now
    match event.message:
        case Probe():
            report = replace(state.report, load=build_load(state, now))
            return [SendMessage(event.source, Announcement(report=report))]
        case Locate(flows=flows):
            return [SendMessage(event.source, _locate(state, flows, now))]
        case Roster() | Announcement():
            return []
    return []


def _locate(state: AgentState, flows: list[bytes], now: float) -> Located:
    located = Located(
        boot=state.report.boot,
        held=[],
        unknown=[],
        unsure=[],
        load=build_load(state, now),
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
    """Do what has become due."""
    now = event.now
    effects: list[Effect] = []
    pause = measure_pause(state.last_tick_at, now)
    state.last_tick_at = now
    if pause:
        _discount_pause(state, pause, now)
    if now >= state.next_sweep_at:
        state.next_sweep_at = now + SWEEP_INTERVAL_SECONDS
        effects += _sweep(state, now)
    effects += _slots.expire_requests(state, now)
    effects += repeat_announcement(state, now)
    if needs_check(state, now):
        state.check_pending = True
        state.last_check_at = now
        effects.append(CheckUpstream())
    return effects + _finish_stop(state, now)


def _discount_pause(state: AgentState, pause: float, now: float) -> None:
    """Take no caller, upstream or request for silent while this agent stood still.

    Times are moved on by the pause, but not beyond now: some may be of packets that
    were read since.
    """
    state.heartbeat_silence_started_at = min(
        state.heartbeat_silence_started_at + pause, now
    )
    if state.unanswered_since is not None:
        state.unanswered_since = min(state.unanswered_since + pause, now)
    for flow in state.flows.values():
        flow.last_packet_at = min(flow.last_packet_at + pause, now)
        flow.request_sent_at = min(flow.request_sent_at + pause, now)


def _sweep(state: AgentState, now: float) -> list[Effect]:
    """Forget flows that have rested for too long."""
    effects: list[Effect] = []
    for key, flow in list(state.flows.items()):
        rest = now - flow.last_packet_at
        limit = HALF_OPEN_TIMEOUT_SECONDS if flow.phase == Phase.HALF_OPEN else None
        if flow.closed:
            limit = CLOSED_FLOW_SECONDS
        if rest > (limit or state.flow_lifetime):
            effects += _slots.drop_request(state, key, now)
            del state.flows[key]
    for host, at in list(state.balancers.items()):
        if now - at > RECENT_BALANCER_SECONDS:
            del state.balancers[host]
    if len(state.trial_flows) > MAX_TRIAL_FLOWS:
        state.trial_flows.clear()
    if not state.knows_all_flows and now - state.started_at > state.flow_lifetime:
        state.knows_all_flows = True
    return effects


def handle_stop(state: AgentState, event: StopRequested) -> list[Effect]:
    """Begin a planned stop: no new flows, and end when no request is waiting.

    Before the first heartbeat there is no upstream to speak for, and nothing of
    this run has been published.
    """
    if state.stop_at is not None:
        return []
    state.stop_at = event.now + state.stop_limit
    state.report = replace(state.report, stopping=True)
    note = WriteLog(event=LogEvent.NODE_STOPPING, fields={"flows": len(state.flows)})
    if not state.report.boot:
        return [note]
    return [note, *publish_report(state, event.now)]


def _finish_stop(state: AgentState, now: float) -> list[Effect]:
    if state.stop_at is None:
        return []
    if state.busy and now < state.stop_at:
        return []
    return [WriteLog(event=LogEvent.NODE_STOPPED, fields={"busy": state.busy}), Exit()]
