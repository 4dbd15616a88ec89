"""How an agent leaves: no new work, what runs goes on, the record is handed on."""

from __future__ import annotations

from attrs import evolve

from shedsill._catalogue import LogEvent
from shedsill.http3._agent_state import AgentState, Leaving
from shedsill.http3._configuration import UpstreamState
from shedsill.http3._effects import (
    AnnounceDrain,
    Effect,
    Exit,
    SendHandover,
    WriteLog,
)
from shedsill.http3._events import HandoverDone
from shedsill.http3._outcomes import Ledger, add_origin, make_transfers
from shedsill.http3._status import NodeStatus, write_status

HANDOVER_PAUSE = 1.0

Step = tuple[AgentState, list[Effect]]


def update_drain(state: AgentState, now: float) -> Step:
    """Begin or cancel a drain, as the configuration and the process want it."""
    upstream = state.node.configuration.find_upstream(state.upstream)
    wanted = upstream is not None and upstream.state == UpstreamState.DRAINING
    wanted = wanted or state.node.stopping
    if wanted and state.leaving is None:
        return begin_drain(state, now)
    if not wanted and state.leaving is not None:
        return _cancel_drain(state, now)
    return state, []


def begin_drain(state: AgentState, now: float) -> Step:
    """Take no new work from now on."""
    state = evolve(state, leaving=Leaving(since=now))
    fields = {"flows": state.flows}
    return state, [WriteLog(event=LogEvent.DRAIN_BEGAN, fields=fields), AnnounceDrain()]


def _cancel_drain(state: AgentState, now: float) -> Step:
    state = evolve(state, leaving=None, started=now)
    return state, [WriteLog(event=LogEvent.DRAIN_CANCELLED, fields={})]


def advance_drain(state: AgentState, now: float) -> Step:
    """Take the next step of a drain, if one is due."""
    leaving = state.leaving
    if leaving is None or leaving.drained:
        return state, []
    if not leaving.emptied:
        if not _is_empty(state, now):
            return state, []
        state = _collect_record(state, now)
        leaving = state.leaving
        assert leaving is not None
    if not leaving.outgoing:
        return _finish_drain(state)
    if now - leaving.asked < HANDOVER_PAUSE and leaving.attempts:
        return state, []
    if leaving.attempts >= state.settings.handover_attempts:
        note = WriteLog(event=LogEvent.HANDOVER_FAILED, fields={})
        state, effects = _finish_drain(state)
        return state, [note, *effects]
    return _offer_record(state, leaving, now)


def _is_empty(state: AgentState, now: float) -> bool:
    if state.flows == 0 and not state.admission.requests:
        return True
    limit = state.settings.drain_limit
    assert state.leaving is not None
    return limit > 0.0 and now - state.leaving.since > limit


def _collect_record(state: AgentState, now: float) -> AgentState:
    """Stop answering for issued tickets and take the next incarnation.

    From here on only the successor may answer for them, whether or not the
    word that it has taken them arrives.
    """
    assert state.leaving is not None
    successor = state.node.configuration.find_successor(state.upstream)
    transfers = make_transfers(state.ledger, now)
    handed = state.handed_to
    for key in state.ledger.origins:
        handed = handed.set(key, successor)
    known = successor != 0
    leaving = evolve(
        state.leaving,
        emptied=True,
        successor=successor,
        outgoing=transfers if known else (),
    )
    node = evolve(state.node, incarnation=state.node.incarnation + 1)
    state = evolve(state, node=node, leaving=leaving, handed_to=handed, ledger=Ledger())
    return evolve(state, ledger=add_origin(state.ledger, state.origin))


def _offer_record(state: AgentState, leaving: Leaving, now: float) -> Step:
    successor = state.node.configuration.find_upstream(leaving.successor)
    asked = evolve(leaving, asked=now, attempts=leaving.attempts + 1)
    state = evolve(state, leaving=asked)
    if successor is None:
        return state, []
    effect = SendHandover(
        peer=successor.socket_address,
        upstream=successor.number,
        transfers=leaving.outgoing,
    )
    return state, [effect]


def take_handover_result(state: AgentState, event: HandoverDone) -> Step:
    """Note whether the successor has the record."""
    leaving = state.leaving
    if leaving is None or not event.accepted or not leaving.outgoing:
        return state, []
    count = sum(len(transfer.records) for transfer in leaving.outgoing)
    state = evolve(state, leaving=evolve(leaving, outgoing=()))
    fields = {"records": count, "successor": leaving.successor}
    state, effects = _finish_drain(state)
    return state, [WriteLog(event=LogEvent.OUTCOMES_HANDED, fields=fields), *effects]


def _finish_drain(state: AgentState) -> Step:
    assert state.leaving is not None
    state = evolve(state, leaving=evolve(state.leaving, drained=True))
    effects: list[Effect] = [
        WriteLog(event=LogEvent.DRAIN_ENDED, fields={"upstream": state.upstream_name})
    ]
    if state.node.stopping:
        effects.append(Exit())
    return state, effects


def get_status(state: AgentState) -> NodeStatus:
    """Return the status that this node's object in the platform should hold."""
    if state.leaving is None:
        return NodeStatus.SERVING
    return NodeStatus.DRAINED if state.leaving.drained else NodeStatus.DRAINING


def report_status(state: AgentState, now: float) -> Step:
    """Write this node's object when its status has changed."""
    if state.upstream == 0:
        return state, []
    details = {
        "upstream": state.upstream,
        "address": str(state.node.address),
        "stopping": state.node.stopping,
    }
    writer, effects = write_status(
        state.status, state.node.name, get_status(state), details, now
    )
    return evolve(state, status=writer), effects
