"""Which request the upstream gets next when its slots are taken.

An upstream works on a few requests at once and queues the rest first come,
first served.  Once that queue is longer than callers want to wait, every request
in it is late, the ones that have just come too.  So the agent holds requests
back while the slots are taken, and gives the upstream the most urgent one when
a slot is free: the higher priority first, and of one priority the one whose
caller has waited the least, as far as the copies of its opening packet tell.
So fresh requests are served in time also while more come than can be served.
One that was held for `HOLD_SHARE` of its timeout is overdue; every fourth free
slot goes to the oldest of these, so that none waits for ever, and all of them
follow once nothing fresh waits.

Only the first content of a request is held.  The rest of a flow is never
reordered, and nothing is held on routes with large bodies, which take a slot
only once the whole body has come.
"""

from __future__ import annotations

from msgspec import Struct

from shedsill._catalogue import LogEvent
from shedsill._shared_effects import Note
from shedsill.datagram._agent_state import (
    AgentFlow,
    AgentState,
    announce,
    change_busy,
    note_owed,
)
from shedsill.datagram._effects import Effect, ObserveLatency, SendToUpstream
from shedsill.datagram._health import note_answer
from shedsill.datagram._packet import SEQUENCE_SPACE, Packet, measure_advance
from shedsill.datagram._selection import DEFAULT_SLOTS

HOLD_SHARE = 0.45
"""Share of the route's timeout after which a held request is overdue: half of the
time is left to serve it."""

OVERDUE_EVERY = 4
"""Every so many free slots, one goes to an overdue request.  When all of them went
at once, as played after power losses, they filled the upstreams' queues and made
the fresh ones late, which became overdue in their turn."""

CALLER_SILENCE = 3.5
"""Seconds without a packet of its caller after which a held request is dropped:
callers send again after 1.6 s at most, so two sendings are missing."""

WAITING_LIMIT = 4.0
"""Seconds after which a request that the upstream was given no longer counts: the
upstream has dropped it."""


class HeldRequest(Struct):
    """A request whose upstream has no free slot.

    Attributes
    ----------
    packets : list of Packet
        The flow's content since the request began; other packets pass.
    since : float
        When it came.
    asked : float
        When its caller first asked for it, as far as known.
    urgency : int
        Priority of its route; 0 is the highest.
    overdue_at : float
        From when it is overdue.
    """

    packets: list[Packet]
    since: float
    asked: float
    urgency: int
    overdue_at: float


def take_content(
    state: AgentState, flow: AgentFlow, packet: Packet, now: float
) -> list[Effect]:
    """Give the upstream a packet with content, or hold it back."""
    held = state.held.get(packet.flow)
    if held is not None:
        if all(packet.seq != known.seq for known in held.packets):
            held.packets.append(packet)
        return []
    if _is_new(flow, packet) and not flow.waiting:
        flow.waiting = True
        flow.waiting_since = now
        change_busy(state, 1, now)
        asked, flow.delay = now - flow.delay, 0.0
        if not packet.bulk and _is_full(state):
            state.held[packet.flow] = HeldRequest(
                packets=[packet],
                since=now,
                asked=asked,
                urgency=packet.urgency,
                overdue_at=now + packet.timeout * HOLD_SHARE,
            )
            return [_note_held(state, packet)]
        _begin_work(state, flow, now)
    _note_passed(flow, packet)
    note_owed(state, now)
    return [SendToUpstream(packet, flow.balancer)]


def _begin_work(state: AgentState, flow: AgentFlow, now: float) -> None:
    flow.working = True
    flow.working_since = now
    state.working += 1


def _is_new(flow: AgentFlow, packet: Packet) -> bool:
    """Whether a packet has content that was not passed on before."""
    if flow.caller_end is None:
        return True
    advance = measure_advance(packet.seq + packet.length, flow.caller_end)
    return 0 < advance <= SEQUENCE_SPACE // 2


def _note_passed(flow: AgentFlow, packet: Packet) -> None:
    if _is_new(flow, packet):
        flow.caller_end = (packet.seq + packet.length) % SEQUENCE_SPACE


def _is_full(state: AgentState) -> bool:
    slots = state.report.load.slots or DEFAULT_SLOTS
    return state.working >= slots


def _note_held(state: AgentState, packet: Packet) -> Note:
    fields = {
        "flow": packet.flow,
        "working": state.working,
        "held": len(state.held),
        "urgency": packet.urgency,
    }
    return Note(event=LogEvent.REQUEST_HELD, fields=fields)


def take_acknowledgement(
    state: AgentState, flow: AgentFlow, packet: Packet, now: float
) -> list[Effect]:
    """Drop a held request that the upstream has received in another way.

    After a restart of the agent, a first copy of it may have been given to the
    upstream before the flow was known.
    """
    held = state.held.get(packet.flow)
    if held is None:
        return []
    last = held.packets[-1]
    end = (last.seq + last.length) % SEQUENCE_SPACE
    if measure_advance(packet.ack, end) > SEQUENCE_SPACE // 2:
        return []
    flow.caller_end = end
    return drop_request(state, packet.flow, now)


def finish_request(
    state: AgentState, key: bytes, flow: AgentFlow, now: float, *, answered: bool
) -> list[Effect]:
    """Note that a request has its answer or has ended; pass on the next one."""
    if not flow.waiting or (answered and not flow.working):
        return []
    flow.waiting = False
    change_busy(state, -1, now)
    effects: list[Effect] = []
    if answered:
        effects += _note_answered(state, key, flow, now)
    if flow.working:
        flow.working = False
        state.working -= 1
        effects += _pass_next(state, now)
    return effects


def _note_answered(
    state: AgentState, key: bytes, flow: AgentFlow, now: float
) -> list[Effect]:
    seconds = now - flow.waiting_since
    effects: list[Effect] = [ObserveLatency(seconds)]
    if note_answer(state.health, now - flow.working_since, now):
        effects += _note_failing(state, now)
    fields = {
        "flow": key,
        "took_ms": round(seconds * 1000),
        "working": state.working,
        "held": len(state.held),
    }
    return [*effects, Note(event=LogEvent.REQUEST_ANSWERED, fields=fields)]


def _note_failing(state: AgentState, now: float) -> list[Effect]:
    fields = {
        "usual_ms": round(state.health.usual * 1000),
        "pause": state.health.pause,
    }
    note = Note(event=LogEvent.UPSTREAM_FAILING, fields=fields)
    return [note, *announce(state, now)]


def _pass_next(state: AgentState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    while state.held and not _is_full(state):
        effects += _pass_on(state, _choose_next(state, now), now)
    return effects


def _choose_next(state: AgentState, now: float) -> bytes:
    """Return the flow whose held request gets the next free slot."""
    held = state.held
    overdue = [key for key in held if now >= held[key].overdue_at]
    is_turn = state.passed_fresh >= OVERDUE_EVERY - 1
    if overdue and (is_turn or len(overdue) == len(held)):
        state.passed_fresh = 0
        return min(overdue, key=lambda key: held[key].asked)
    state.passed_fresh += 1
    fresh = held.keys() - overdue if overdue else held
    return min(fresh, key=lambda key: _rank(held[key]))


def _rank(held: HeldRequest) -> tuple[int, float]:
    return held.urgency, -held.asked


def _pass_on(state: AgentState, key: bytes, now: float) -> list[Effect]:
    held = state.held.pop(key)
    flow = state.flows.get(key)
    if flow is None:
        return []
    _begin_work(state, flow, now)
    for packet in held.packets:
        _note_passed(flow, packet)
    note_owed(state, now)
    fields = {
        "flow": key,
        "held_ms": round((now - held.since) * 1000),
        "left": len(state.held),
    }
    return [
        *(SendToUpstream(packet, flow.balancer) for packet in held.packets),
        Note(event=LogEvent.REQUEST_PASSED_ON, fields=fields),
    ]


def drop_request(state: AgentState, key: bytes, now: float) -> list[Effect]:
    """Forget the request of a flow that has ended."""
    state.held.pop(key, None)
    flow = state.flows.get(key)
    if flow is None:
        return []
    return finish_request(state, key, flow, now, answered=False)


def take_tick(state: AgentState, now: float) -> list[Effect]:
    """Drop requests that nobody waits for; forget those that are never answered."""
    effects: list[Effect] = []
    for key, held in list(state.held.items()):
        flow = state.flows.get(key)
        if flow is None or now - flow.seen > CALLER_SILENCE:
            fields = {"flow": key, "held_ms": round((now - held.since) * 1000)}
            effects.append(Note(event=LogEvent.REQUEST_ABANDONED, fields=fields))
            effects += drop_request(state, key, now)
    for key, flow in state.flows.items():
        if flow.working and now - flow.working_since > WAITING_LIMIT:
            effects += finish_request(state, key, flow, now, answered=False)
    return effects


def clear(state: AgentState, now: float) -> None:
    """Forget every request: the upstream's run has ended."""
    state.held.clear()
    state.working = 0
    change_busy(state, -state.busy, now)
