"""Agent handlers for ticks, configurations, frames and flow events."""

from __future__ import annotations

from attrs import evolve

from shedsill._catalogue import LogEvent
from shedsill.http3._admission import (
    count_free_slots,
    record_upstream_load,
    update_breaker,
)
from shedsill.http3._agent_state import AgentState, get_heartbeat_payload
from shedsill.http3._configuration import Configuration
from shedsill.http3._drain import (
    advance_drain,
    report_status,
    start_drain,
    update_drain,
)
from shedsill.http3._effects import Effect, Send, WriteLog
from shedsill.http3._events import (
    ConfigurationOffered,
    FlowClosed,
    FlowOpened,
    FrameReceived,
    HandoverReceived,
    StopRequested,
    Tick,
    UpstreamLoadRead,
)
from shedsill.http3._flows import (
    drop_expired_decisions,
    handle_caller_datagram,
    record_reply_path,
    replace_silent_reply_paths,
)
from shedsill.http3._frames import Heartbeat, ToUpstream
from shedsill.http3._node import (
    apply_newer_configuration,
    handle_gossip,
    make_probe_answer,
    send_heartbeats,
)
from shedsill.http3._outcomes import add_issuer, drop_expired_records, merge_transfer
from shedsill.http3._requests import expire_requests, start_queued_requests
from shedsill.http3._resources import RequestKind, Service

MAX_PROBED_PATHS = 8  # balancers per heartbeat
DEFAULT_DEADLINE_SECONDS = 30.0

Step = tuple[AgentState, list[Effect]]


def handle_tick(state: AgentState, event: Tick) -> Step:
    """Process deadlines, queued requests, heartbeats and the drain."""
    state = evolve(state, admission=update_breaker(state.admission, event.now))
    state, effects = expire_requests(state, event.now, event.seed)
    state, more = start_queued_requests(state, event.now, event.seed)
    effects += more
    state, more = _send_heartbeats_if_due(state, event)
    effects += more
    state, more = advance_drain(state, event.now)
    effects += more
    state, more = report_status(state, event.now)
    return state, effects + more


def _send_heartbeats_if_due(state: AgentState, event: Tick) -> Step:
    if event.now < state.node.next_heartbeat_at:
        return state, []
    state = drop_expired_decisions(state, event.now)
    state = evolve(state, outcomes=drop_expired_records(state.outcomes, event.now))
    state, path_effects = replace_silent_reply_paths(state, event.now)
    probed = sorted(state.reply_paths)[:MAX_PROBED_PATHS]
    node, heartbeats = send_heartbeats(
        state.node, get_heartbeat_payload(state), probed, now=event.now, seed=event.seed
    )
    return evolve(state, node=node), path_effects + heartbeats


def handle_configuration(state: AgentState, event: ConfigurationOffered) -> Step:
    """Apply a newer configuration to the agent's identity, limits and drain."""
    node, effects = apply_newer_configuration(state.node, event.configuration)
    if node.configuration is state.node.configuration:
        return evolve(state, node=node), effects
    was_known = state.upstream != 0
    state = _update_identity(evolve(state, node=node), node.configuration, event.now)
    if state.upstream and not was_known:
        fields = {"seconds": state.admission.slots_available_at - event.now}
        effects.append(WriteLog(event=LogEvent.SLOTS_HELD, fields=fields))
    state, more = update_drain(state, event.now)
    return state, effects + more


def _update_identity(
    state: AgentState, configuration: Configuration, now: float
) -> AgentState:
    """Update this agent's numbers and limits from the configuration."""
    own = [
        upstream
        for upstream in configuration.upstreams
        if upstream.name == state.upstream_name
        and upstream.socket_address == state.node.address
        and _has_service(configuration, upstream.service, state.service_name)
    ]
    if not own:
        return evolve(state, upstream=0, service=0)
    first = state.upstream == 0
    state = evolve(state, upstream=own[0].number, service=own[0].service)
    state = evolve(state, outcomes=add_issuer(state.outcomes, state.issuer))
    return _update_limits(state, configuration, now, first=first)


def _has_service(configuration: Configuration, number: int, name: str) -> bool:
    accepted = configuration.find_service(number)
    return accepted is not None and accepted.name == name


def _update_limits(
    state: AgentState, configuration: Configuration, now: float, *, first: bool
) -> AgentState:
    accepted = configuration.find_service(state.service)
    assert accepted is not None
    service = accepted.service
    admission = evolve(
        state.admission,
        slots=service.slots,
        queue_limit=service.queue,
        stream_limit=service.connections,
    )
    if not first:
        return evolve(state, admission=admission)
    admission = evolve(
        admission, slots_available_at=now + get_longest_deadline(service)
    )
    return evolve(state, admission=admission, slow_start_at=now)


def get_longest_deadline(service: Service) -> float:
    """Return the longest deadline of the service's requests, in seconds.

    Requests that a previous agent process sent cannot run for longer.
    """
    deadlines = [c.deadline for c in service.classes if c.kind == RequestKind.SLOT]
    return max([*deadlines, DEFAULT_DEADLINE_SECONDS])


def handle_frame(state: AgentState, event: FrameReceived) -> Step:
    """Handle a frame from a balancer or another agent."""
    node, effects = handle_gossip(state.node, event.frame, event.source, event.now)
    state = evolve(state, node=node)
    match event.frame:
        case ToUpstream() as frame:
            state, more = handle_caller_datagram(state, event, frame)
        case Heartbeat() as frame:
            state, more = _handle_heartbeat(state, event, frame)
        case _:
            more = []
    return state, effects + more


def _handle_heartbeat(
    state: AgentState, event: FrameReceived, frame: Heartbeat
) -> Step:
    sender = frame.reports[0] if frame.reports else None
    if sender is not None and sender.balancer and not sender.leaving:
        state = record_reply_path(state, event.source, event.now, passed=False)
    if not frame.probe:
        return state, []
    answer = make_probe_answer(state.node, get_heartbeat_payload(state))
    return state, [Send(destination=event.source, frame=answer)]


def handle_stop(state: AgentState, event: StopRequested) -> Step:
    """Start a planned stop of the process."""
    state = evolve(state, node=evolve(state.node, stopping=True))
    log = WriteLog(event=LogEvent.NODE_STOPPING, fields={"flows": state.flow_count})
    if state.drain is not None:
        state = evolve(state, drain=evolve(state.drain, drained=False))
        return state, [log]
    state, effects = start_drain(state, event.now)
    return state, [log, *effects]


def handle_flow_opened(state: AgentState, event: FlowOpened) -> Step:
    """Count a new connection."""
    state = evolve(state, flow_count=state.flow_count + 1)
    fields = {"flow": event.flow, "flows": state.flow_count}
    return state, [WriteLog(event=LogEvent.FLOW_OPENED, fields=fields)]


def handle_flow_closed(state: AgentState, event: FlowClosed) -> Step:
    """Count a connection that has ended."""
    state = evolve(state, flow_count=state.flow_count - 1)
    fields = {"flow": event.flow, "flows": state.flow_count}
    return state, [WriteLog(event=LogEvent.FLOW_CLOSED, fields=fields)]


def handle_upstream_load(state: AgentState, event: UpstreamLoadRead) -> Step:
    """Handle a response of the upstream's load endpoint."""
    slots_were_held = event.now < state.admission.slots_available_at
    admission = record_upstream_load(state.admission, event.busy, event.now)
    state = evolve(state, admission=admission)
    if not slots_were_held or event.now < admission.slots_available_at:
        return state, []
    state, effects = start_queued_requests(state, event.now, 0)
    fields = {"slots": count_free_slots(admission, event.now)}
    return state, [WriteLog(event=LogEvent.SLOTS_RELEASED, fields=fields), *effects]


def handle_handover(state: AgentState, event: HandoverReceived) -> Step:
    """Take over the outcome records of a draining agent."""
    outcomes = state.outcomes
    for transfer in event.transfers:
        outcomes = merge_transfer(outcomes, transfer, event.now)
    count = sum(len(transfer.records) for transfer in event.transfers)
    state = evolve(state, outcomes=outcomes)
    log = WriteLog(event=LogEvent.OUTCOMES_TAKEN, fields={"records": count})
    return state, [log]
