"""Drain of an agent: it refuses new work, finishes the rest and hands its records over.

The outcome records go to a successor, which then answers for the agent's tickets.
"""

from __future__ import annotations

from attrs import evolve

from shedsill._catalogue import LogEvent
from shedsill.http3._agent_state import AgentState, DrainProgress
from shedsill.http3._configuration import UpstreamState
from shedsill.http3._effects import (
    AnnounceDrain,
    Effect,
    Exit,
    SendHandover,
    WriteLog,
)
from shedsill.http3._events import HandoverDone
from shedsill.http3._outcomes import OutcomeTable, add_issuer, make_transfers
from shedsill.http3._status import NodeStatus, write_status

HANDOVER_RETRY_SECONDS = 1.0

Step = tuple[AgentState, list[Effect]]


def update_drain(state: AgentState, now: float) -> Step:
    """Start or cancel a drain, as the configuration and a planned stop require."""
    upstream = state.node.configuration.find_upstream(state.upstream)
    needed = upstream is not None and upstream.state == UpstreamState.DRAINING
    needed = needed or state.node.stopping
    if needed and state.drain is None:
        return start_drain(state, now)
    if not needed and state.drain is not None:
        return _cancel_drain(state, now)
    return state, []


def start_drain(state: AgentState, now: float) -> Step:
    """Stop accepting new work."""
    state = evolve(state, drain=DrainProgress(started_at=now))
    fields = {"flows": state.flow_count}
    return state, [WriteLog(event=LogEvent.DRAIN_BEGAN, fields=fields), AnnounceDrain()]


def _cancel_drain(state: AgentState, now: float) -> Step:
    state = evolve(state, drain=None, slow_start_at=now)
    return state, [WriteLog(event=LogEvent.DRAIN_CANCELLED, fields={})]


def advance_drain(state: AgentState, now: float) -> Step:
    """Take the next step of a drain, if it is due."""
    drain = state.drain
    if drain is None or drain.drained:
        return state, []
    if not drain.handover_prepared:
        if not _has_finished_work(state, now):
            return state, []
        state = _prepare_handover(state, now)
        drain = state.drain
        assert drain is not None
    if not drain.pending_transfers:
        return _finish_drain(state)
    if now - drain.last_offer_at < HANDOVER_RETRY_SECONDS and drain.offers_made:
        return state, []
    if drain.offers_made >= state.settings.handover_attempts:
        log = WriteLog(event=LogEvent.HANDOVER_FAILED, fields={})
        state, effects = _finish_drain(state)
        return state, [log, *effects]
    return _offer_records(state, drain, now)


def _has_finished_work(state: AgentState, now: float) -> bool:
    if state.flow_count == 0 and not state.admission.requests:
        return True
    limit = state.settings.drain_limit
    assert state.drain is not None
    return limit > 0.0 and now - state.drain.started_at > limit


def _prepare_handover(state: AgentState, now: float) -> AgentState:
    """Stop answering for issued tickets and start the next incarnation.

    From now on only the successor may answer for these tickets, even if its
    confirmation of the handover is lost.
    """
    assert state.drain is not None
    successor = state.node.configuration.find_successor(state.upstream)
    transfers = make_transfers(state.outcomes, now)
    successors = state.record_successors
    for key in state.outcomes.issuers:
        successors = successors.set(key, successor)
    known = successor != 0
    drain = evolve(
        state.drain,
        handover_prepared=True,
        successor=successor,
        pending_transfers=transfers if known else (),
    )
    node = evolve(state.node, incarnation=state.node.incarnation + 1)
    state = evolve(
        state,
        node=node,
        drain=drain,
        record_successors=successors,
        outcomes=OutcomeTable(),
    )
    return evolve(state, outcomes=add_issuer(state.outcomes, state.issuer))


def _offer_records(state: AgentState, drain: DrainProgress, now: float) -> Step:
    successor = state.node.configuration.find_upstream(drain.successor)
    offered = evolve(drain, last_offer_at=now, offers_made=drain.offers_made + 1)
    state = evolve(state, drain=offered)
    if successor is None:
        return state, []
    effect = SendHandover(
        peer=successor.socket_address,
        upstream=successor.number,
        transfers=drain.pending_transfers,
    )
    return state, [effect]


def handle_handover_result(state: AgentState, event: HandoverDone) -> Step:
    """Finish the drain if the successor has taken the records over."""
    drain = state.drain
    if drain is None or not event.accepted or not drain.pending_transfers:
        return state, []
    count = sum(len(transfer.records) for transfer in drain.pending_transfers)
    state = evolve(state, drain=evolve(drain, pending_transfers=()))
    fields = {"records": count, "successor": drain.successor}
    state, effects = _finish_drain(state)
    return state, [WriteLog(event=LogEvent.OUTCOMES_HANDED, fields=fields), *effects]


def _finish_drain(state: AgentState) -> Step:
    assert state.drain is not None
    state = evolve(state, drain=evolve(state.drain, drained=True))
    effects: list[Effect] = [
        WriteLog(event=LogEvent.DRAIN_ENDED, fields={"upstream": state.upstream_name})
    ]
    if state.node.stopping:
        effects.append(Exit())
    return state, effects


def get_node_status(state: AgentState) -> NodeStatus:
    """Return the status to be published in this node's platform object."""
    if state.drain is None:
        return NodeStatus.SERVING
    return NodeStatus.DRAINED if state.drain.drained else NodeStatus.DRAINING


def report_status(state: AgentState, now: float) -> Step:
    """Write this node's platform object if its status has changed."""
    if state.upstream == 0:
        return state, []
    details = {
        "upstream": state.upstream,
        "address": str(state.node.address),
        "stopping": state.node.stopping,
    }
    writer, effects = write_status(
        state.status_writer, state.node.name, get_node_status(state), details, now
    )
    return evolve(state, status_writer=writer), effects
