"""Concurrency limit of the upstream: sends it requests up to its slots, queues others.

An upstream runs as many requests as it has slots and queues the rest first in, first
out.  Once that queue takes longer than callers wait, all requests in it are late, new
ones included.  The agent therefore queues requests itself while all slots are taken.
`shedsill.datagram._backlog` chooses the one that gets a free slot.

Only the first content of a request is queued; other packets of a flow are never
reordered.  Nothing is queued on routes with large bodies, as such a request takes a
slot only once its whole body has arrived.
"""

from __future__ import annotations

import math

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _backlog
from shedsill.datagram._agent_state import (
    AgentFlow,
    AgentState,
    announce_report,
    record_probe_packet,
    record_sent_packet,
    update_busy,
)
from shedsill.datagram._backlog import Forecast, QueuedRequest
from shedsill.datagram._effects import Effect, ObserveLatency, SendToUpstream
from shedsill.datagram._health import estimate_service_time, record_answer
from shedsill.datagram._packet import (
    SEQUENCE_SPACE,
    Packet,
    get_syn_copy_delay,
    measure_advance,
)
from shedsill.datagram._selection import DEFAULT_SLOTS

CALLER_SILENCE_SECONDS = 3.5
"""Time without a packet of its caller after which a queued request is dropped; callers
retransmit after 1.6 s at most, so that two packets are missing by then."""

ANSWER_TIMEOUT_SECONDS = 4.0
"""Time after which a running request no longer takes a slot: the upstream has dropped
it."""


def handle_request_packet(
    state: AgentState, flow: AgentFlow, packet: Packet, now: float
) -> list[Effect]:
    """Send a packet with content to the upstream, or queue its request."""
    queued = state.backlog.requests.get(packet.flow)
    if queued is not None:
        if all(packet.seq != known.seq for known in queued.packets):
            queued.packets.append(packet)
        return []
    if _has_new_content(flow, packet) and not flow.pending:
        flow.pending = True
        flow.request_received_at = now
        update_busy(state, 1, now)
        requested_at, flow.syn_copy_delay = now - flow.syn_copy_delay, 0.0
        timeout = packet.timeout or math.inf
        if not packet.bulk and _is_full(state):
            request = QueuedRequest(
                packets=[packet],
                queued_at=now,
                requested_at=requested_at,
                urgency=packet.urgency,
                objective_at=requested_at + (packet.objective or timeout),
                deadline_at=requested_at + timeout,
            )
            _backlog.add_request(state.backlog, packet.flow, request)
            return [_log_queued(state, packet)]
        _start_request(state, flow, now)
    _record_sent_content(flow, packet)
    record_sent_packet(state, now)
    return [SendToUpstream(packet, flow.balancer)]


def _start_request(state: AgentState, flow: AgentFlow, now: float) -> None:
    flow.running = True
    flow.request_sent_at = now
    state.running += 1


def _has_new_content(flow: AgentFlow, packet: Packet) -> bool:
    """Whether a packet has content that was not sent to the upstream before."""
    if flow.caller_next_seq is None:
        return True
    advance = measure_advance(packet.seq + packet.length, flow.caller_next_seq)
    return 0 < advance <= SEQUENCE_SPACE // 2


def _record_sent_content(flow: AgentFlow, packet: Packet) -> None:
    record_probe_packet(flow, packet)
    if _has_new_content(flow, packet):
        flow.caller_next_seq = (packet.seq + packet.length) % SEQUENCE_SPACE


def _count_slots(state: AgentState) -> int:
    return state.report.load.slots or DEFAULT_SLOTS


def _is_full(state: AgentState) -> bool:
    return state.running >= _count_slots(state)


def _log_queued(state: AgentState, packet: Packet) -> WriteLog:
    fields = {
        "flow": packet.flow,
        "working": state.running,
        "held": len(state.backlog.requests),
        "urgency": packet.urgency,
    }
    return WriteLog(event=LogEvent.REQUEST_HELD, fields=fields)


def handle_acknowledgement(
    state: AgentState, flow: AgentFlow, packet: Packet, now: float
) -> list[Effect]:
    """Drop a queued request that the upstream acknowledges.

    After a restart of the agent, a copy of it may have been sent to the upstream while
    the flow was unknown.
    """
    queued = state.backlog.requests.get(packet.flow)
    if queued is None:
        return []
    last = queued.packets[-1]
    end = (last.seq + last.length) % SEQUENCE_SPACE
    if measure_advance(packet.ack, end) > SEQUENCE_SPACE // 2:
        # The acknowledgement is before the end of the request.
        return []
    flow.caller_next_seq = end
    return drop_request(state, packet.flow, now)


def record_caller_close(state: AgentState, key: bytes) -> None:
    """Record that a caller has closed its end while its request is queued."""
    queued = state.backlog.requests.get(key)
    if queued is not None:
        queued.caller_closed = True


def finish_request(
    state: AgentState, key: bytes, flow: AgentFlow, now: float, *, answered: bool
) -> list[Effect]:
    """Record that a request was answered or has ended, and fill its slot."""
    if not flow.pending or (answered and not flow.running):
        return []
    flow.pending = False
    update_busy(state, -1, now)
    effects: list[Effect] = []
    if answered:
        effects += _record_request_answered(state, key, flow, now)
    if flow.running:
        flow.running = False
        state.running -= 1
        effects += _fill_free_slots(state, now)
    return effects


def _record_request_answered(
    state: AgentState, key: bytes, flow: AgentFlow, now: float
) -> list[Effect]:
    seconds = now - flow.request_received_at
    effects: list[Effect] = [ObserveLatency(seconds)]
    cold = flow.request_sent_at < state.cold_until
    if record_answer(state.health, now - flow.request_sent_at, now, cold=cold):
        effects += _report_quick_failures(state, now)
    fields = {
        "flow": key,
        "took_ms": round(seconds * 1000),
        "working": state.running,
        "held": len(state.backlog.requests),
    }
    return [*effects, WriteLog(event=LogEvent.REQUEST_ANSWERED, fields=fields)]


def _report_quick_failures(state: AgentState, now: float) -> list[Effect]:
    fields = {
        "usual_ms": round(state.health.warm.seconds * 1000),
        "pause": state.health.avoidance_seconds,
    }
    log_entry = WriteLog(event=LogEvent.UPSTREAM_FAILING, fields=fields)
    return [log_entry, *announce_report(state, now)]


def _fill_free_slots(state: AgentState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    while state.backlog.requests and not _is_full(state):
        flow = _backlog.choose_next_request(state.backlog, _build_forecast(state, now))
        effects += _send_queued_request(state, flow, now)
    return effects


def can_answer_in_time(state: AgentState, syn: Packet, now: float) -> bool:
    """Whether a request on a new flow can be answered before its caller gives up.

    All queued requests count as before it: if it went first, another one would miss its
    deadline.  Refusing a flow at once, before its request has run, lets the caller
    retry safely.
    """
    if not syn.timeout:
        return True
    forecast = _build_forecast(state, now)
    start = forecast.estimate_start(_backlog.count_open_requests(state.backlog))
    deadline = now - get_syn_copy_delay(syn) + syn.timeout
    return forecast.estimate_end(start) <= deadline


def _build_forecast(state: AgentState, now: float) -> Forecast:
    return Forecast(
        now=now,
        slots=_count_slots(state),
        cold_until=state.cold_until,
        cold_service_time=estimate_service_time(state.health, cold=True),
        service_time=estimate_service_time(state.health, cold=False),
    )


def _send_queued_request(state: AgentState, key: bytes, now: float) -> list[Effect]:
    queued = state.backlog.requests.pop(key)
    flow = state.flows.get(key)
    if flow is None:
        return []
    _start_request(state, flow, now)
    for packet in queued.packets:
        _record_sent_content(flow, packet)
    record_sent_packet(state, now)
    fields = {
        "flow": key,
        "held_ms": round((now - queued.queued_at) * 1000),
        "late": now > queued.objective_at,
        "tried_before": queued.may_be_retry,
        "closed": queued.caller_closed,
        "left": len(state.backlog.requests),
    }
    return [
        *(SendToUpstream(packet, flow.balancer) for packet in queued.packets),
        WriteLog(event=LogEvent.REQUEST_PASSED_ON, fields=fields),
    ]


def drop_request(state: AgentState, key: bytes, now: float) -> list[Effect]:
    """Drop the request of a flow that has ended."""
    state.backlog.requests.pop(key, None)
    flow = state.flows.get(key)
    if flow is None:
        return []
    return finish_request(state, key, flow, now, answered=False)


def expire_requests(state: AgentState, now: float) -> list[Effect]:
    """Drop queued requests of silent callers, and time out running ones."""
    effects: list[Effect] = []
    for key, queued in list(state.backlog.requests.items()):
        flow = state.flows.get(key)
        if flow is None or now - flow.last_packet_at > CALLER_SILENCE_SECONDS:
            fields = {"flow": key, "held_ms": round((now - queued.queued_at) * 1000)}
            effects.append(WriteLog(event=LogEvent.REQUEST_ABANDONED, fields=fields))
            effects += drop_request(state, key, now)
    for key, flow in state.flows.items():
        if flow.running and now - flow.request_sent_at > ANSWER_TIMEOUT_SECONDS:
            effects += finish_request(state, key, flow, now, answered=False)
    return effects


def drop_orphaned_requests(state: AgentState, now: float) -> list[Effect]:
    """Drop the requests of flows that were removed, and fill free slots."""
    requests = state.backlog.requests
    state.backlog.requests = {
        key: requests[key] for key in requests if key in state.flows
    }
    state.running = sum(flow.running for flow in state.flows.values())
    pending = sum(flow.pending for flow in state.flows.values())
    update_busy(state, pending - state.busy, now)
    return _fill_free_slots(state, now)
