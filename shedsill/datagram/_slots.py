"""How many requests the upstream is given at once, and the holding of the others.

An upstream works on a few requests at once and queues the rest first come,
first served.  Once that queue is longer than callers want to wait, every request
in it is late, the ones that have just come too.  So the agent holds requests
back while the slots are taken, and gives the upstream one when a slot is free;
which one is decided by `shedsill.datagram._backlog`.

Only the first content of a request is held.  The rest of a flow is never
reordered, and nothing is held on routes with large bodies, which take a slot
only once the whole body has come.
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
"""Seconds without a packet of its caller after which a held request is dropped:
callers send again after 1.6 s at most, so two sendings are missing."""

ANSWER_TIMEOUT_SECONDS = 4.0
"""Seconds after which a request that the upstream was given no longer counts: the
upstream has dropped it."""


def handle_request_packet(
    state: AgentState, flow: AgentFlow, packet: Packet, now: float
) -> list[Effect]:
    """Give the upstream a packet with content, or hold it back."""
    held = state.backlog.requests.get(packet.flow)
    if held is not None:
        if all(packet.seq != known.seq for known in held.packets):
            held.packets.append(packet)
        return []
    if _is_new(flow, packet) and not flow.pending:
        flow.pending = True
        flow.request_received_at = now
        update_busy(state, 1, now)
        asked, flow.syn_copy_delay = now - flow.syn_copy_delay, 0.0
        timeout = packet.timeout or math.inf
        if not packet.bulk and _is_full(state):
            request = QueuedRequest(
                packets=[packet],
                queued_at=now,
                requested_at=asked,
                urgency=packet.urgency,
                objective_at=asked + (packet.objective or timeout),
                deadline_at=asked + timeout,
            )
            _backlog.add_request(state.backlog, packet.flow, request)
            return [_note_held(state, packet)]
        _begin_work(state, flow, now)
    _note_passed(flow, packet)
    record_sent_packet(state, now)
    return [SendToUpstream(packet, flow.balancer)]


def _begin_work(state: AgentState, flow: AgentFlow, now: float) -> None:
    flow.running = True
    flow.request_sent_at = now
    state.running += 1


def _is_new(flow: AgentFlow, packet: Packet) -> bool:
    """Whether a packet has content that was not passed on before."""
    if flow.caller_next_seq is None:
        return True
    advance = measure_advance(packet.seq + packet.length, flow.caller_next_seq)
    return 0 < advance <= SEQUENCE_SPACE // 2


def _note_passed(flow: AgentFlow, packet: Packet) -> None:
    flow.last_request_packet = packet
    if _is_new(flow, packet):
        flow.caller_next_seq = (packet.seq + packet.length) % SEQUENCE_SPACE


def _count_slots(state: AgentState) -> int:
    return state.report.load.slots or DEFAULT_SLOTS


def _is_full(state: AgentState) -> bool:
    return state.running >= _count_slots(state)


def _note_held(state: AgentState, packet: Packet) -> WriteLog:
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
    """Drop a held request that the upstream has received in another way.

    After a restart of the agent, a first copy of it may have been given to the
    upstream before the flow was known.
    """
    held = state.backlog.requests.get(packet.flow)
    if held is None:
        return []
    last = held.packets[-1]
    end = (last.seq + last.length) % SEQUENCE_SPACE
    if measure_advance(packet.ack, end) > SEQUENCE_SPACE // 2:
        return []
    flow.caller_next_seq = end
    return drop_request(state, packet.flow, now)


def record_caller_close(state: AgentState, key: bytes) -> None:
    """Note that a caller has closed its end while its request is held."""
    held = state.backlog.requests.get(key)
    if held is not None:
        held.caller_closed = True


def finish_request(
    state: AgentState, key: bytes, flow: AgentFlow, now: float, *, answered: bool
) -> list[Effect]:
    """Note that a request has its answer or has ended; pass on the next one."""
    if not flow.pending or (answered and not flow.running):
        return []
    flow.pending = False
    flow.last_request_packet = None
    update_busy(state, -1, now)
    effects: list[Effect] = []
    if answered:
        effects += _note_answered(state, key, flow, now)
    if flow.running:
        flow.running = False
        state.running -= 1
        effects += _pass_next(state, now)
    return effects


def _note_answered(
    state: AgentState, key: bytes, flow: AgentFlow, now: float
) -> list[Effect]:
    seconds = now - flow.request_received_at
    effects: list[Effect] = [ObserveLatency(seconds)]
    cold = flow.request_sent_at < state.cold_until
    if record_answer(state.health, now - flow.request_sent_at, now, cold=cold):
        effects += _note_failing(state, now)
    fields = {
        "flow": key,
        "took_ms": round(seconds * 1000),
        "working": state.running,
        "held": len(state.backlog.requests),
    }
    return [*effects, WriteLog(event=LogEvent.REQUEST_ANSWERED, fields=fields)]


def _note_failing(state: AgentState, now: float) -> list[Effect]:
    fields = {
        "usual_ms": round(state.health.warm.seconds * 1000),
        "pause": state.health.avoidance_seconds,
    }
    note = WriteLog(event=LogEvent.UPSTREAM_FAILING, fields=fields)
    return [note, *announce_report(state, now)]


def _pass_next(state: AgentState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    while state.backlog.requests and not _is_full(state):
        flow = _backlog.choose_next_request(state.backlog, _forecast(state, now))
        effects += _pass_on(state, flow, now)
    return effects


def can_answer_in_time(state: AgentState, opening: Packet, now: float) -> bool:
    """Whether a request on a new flow can be answered before its caller gives up.

    All requests that wait are counted before it: if it went first, another one of
    them would be lost.  Its caller is better told at once, while nothing has run,
    than left to wait until it gives up.
    """
    if not opening.timeout:
        return True
    forecast = _forecast(state, now)
    start = forecast.estimate_start(_backlog.count_open_requests(state.backlog))
    deadline = now - get_syn_copy_delay(opening) + opening.timeout
    return forecast.estimate_end(start) <= deadline


def _forecast(state: AgentState, now: float) -> Forecast:
    return Forecast(
        now=now,
        slots=_count_slots(state),
        cold_until=state.cold_until,
        cold_service_time=estimate_service_time(state.health, cold=True),
        service_time=estimate_service_time(state.health, cold=False),
    )


def _pass_on(state: AgentState, key: bytes, now: float) -> list[Effect]:
    held = state.backlog.requests.pop(key)
    flow = state.flows.get(key)
    if flow is None:
        return []
    _begin_work(state, flow, now)
    for packet in held.packets:
        _note_passed(flow, packet)
    record_sent_packet(state, now)
    fields = {
        "flow": key,
        "held_ms": round((now - held.queued_at) * 1000),
        "late": now > held.objective_at,
        "tried_before": held.may_be_retry,
        "closed": held.caller_closed,
        "left": len(state.backlog.requests),
    }
    return [
        *(SendToUpstream(packet, flow.balancer) for packet in held.packets),
        WriteLog(event=LogEvent.REQUEST_PASSED_ON, fields=fields),
    ]


def drop_request(state: AgentState, key: bytes, now: float) -> list[Effect]:
    """Forget the request of a flow that has ended."""
    state.backlog.requests.pop(key, None)
    flow = state.flows.get(key)
    if flow is None:
        return []
    return finish_request(state, key, flow, now, answered=False)


def expire_requests(state: AgentState, now: float) -> list[Effect]:
    """Drop requests that nobody waits for; forget those that are never answered."""
    effects: list[Effect] = []
    for key, held in list(state.backlog.requests.items()):
        flow = state.flows.get(key)
        if flow is None or now - flow.last_packet_at > CALLER_SILENCE_SECONDS:
            fields = {"flow": key, "held_ms": round((now - held.queued_at) * 1000)}
            effects.append(WriteLog(event=LogEvent.REQUEST_ABANDONED, fields=fields))
            effects += drop_request(state, key, now)
    for key, flow in state.flows.items():
        if flow.running and now - flow.request_sent_at > ANSWER_TIMEOUT_SECONDS:
            effects += finish_request(state, key, flow, now, answered=False)
    return effects


def drop_orphaned_requests(state: AgentState, now: float) -> list[Effect]:
    """Forget the requests of flows that are no longer known; fill their slots."""
    held = state.backlog.requests
    state.backlog.requests = {key: held[key] for key in held if key in state.flows}
    state.running = sum(flow.running for flow in state.flows.values())
    waiting = sum(flow.pending for flow in state.flows.values())
    update_busy(state, waiting - state.busy, now)
    return _pass_next(state, now)
