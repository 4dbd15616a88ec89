"""An agent that did not run for a while takes its own silence for nobody else's.

Found by looking for the cause that `test_datagram_deafness.py` tells of in the agent.
When its VM stands still, packets and heartbeats wait unread; the first tick after it
must not judge by the time that has passed for itself alone.
"""

from __future__ import annotations

import pytest

from shedsill.datagram._agent_state import AgentFlow, AgentState, Phase
from shedsill.datagram._backlog import QueuedRequest
from shedsill.datagram._effects import Effect, ResetFlow
from shedsill.datagram._events import Heartbeat, HeartbeatReceived, Tick
from shedsill.datagram._messages import UpstreamState
from shedsill.datagram._reducer import reduce
from shedsill.testing.agents import make_agent_state

FROZEN = 6.0
"""Seconds for which the agent stands still; above every limit that it goes by."""


@pytest.fixture
def agent() -> AgentState:
    """An agent that is in the middle of serving two flows, and has just ticked."""
    state = make_agent_state(slots=2)
    reduce(state, Tick(now=10.0))
    beat(state, "i-2", 5, 10.0)
    state.flows[b"at work"] = AgentFlow(
        phase=Phase.OPEN,
        last_packet_at=10.0,
        balancer="10.0.0.1",
        taken_at=9.0,
        pending=True,
        running=True,
        request_sent_at=10.0,
    )
    state.flows[b"held"] = AgentFlow(
        phase=Phase.OPEN,
        last_packet_at=10.0,
        balancer="10.0.0.1",
        taken_at=9.0,
        pending=True,
    )
    state.backlog.requests[b"held"] = QueuedRequest(
        packets=[],
        queued_at=10.0,
        requested_at=10.0,
        urgency=0,
        objective_at=12.0,
        deadline_at=99.0,
    )
    state.busy, state.running = 2, 1
    return state


def beat(state: AgentState, boot: str, serial: int, now: float) -> list[Effect]:
    heartbeat = Heartbeat(boot=boot, serial=serial, state=UpstreamState.READY, slots=2)
    return reduce(state, HeartbeatReceived(heartbeat=heartbeat, now=now))


def test_a_held_request_outlives_a_pause(agent: AgentState) -> None:
    reduce(agent, Tick(now=10.0 + FROZEN))
    assert b"held" in agent.backlog.requests


def test_a_request_at_work_keeps_its_slot_through_a_pause(agent: AgentState) -> None:
    """Its answer may be waiting to be read."""
    reduce(agent, Tick(now=10.0 + FROZEN))
    assert agent.flows[b"at work"].running
    assert agent.running == 1


def test_a_late_heartbeat_after_a_pause_resets_nothing(agent: AgentState) -> None:
    """The heartbeats of the living run are still to be read."""
    reduce(agent, Tick(now=10.0 + FROZEN))
    effects = beat(agent, "i-0", 9, 10.01 + FROZEN)
    assert not [effect for effect in effects if isinstance(effect, ResetFlow)]
    assert agent.report.boot == "i-2"


def test_time_that_passed_while_the_agent_ran_still_counts(agent: AgentState) -> None:
    now = 10.0
    while now < 10.0 + FROZEN:
        now += 0.04
        reduce(agent, Tick(now=now))
    assert not agent.backlog.requests
    assert agent.running == 0
    beat(agent, "i-3", 9, now)
    assert agent.report.boot == "i-3"


def test_a_flow_taken_by_a_new_run_after_a_pause_is_not_the_last_run_s(
    agent: AgentState,
) -> None:
    """The pause moves no time on by which flows are told apart."""
    agent.flows[b"new"] = AgentFlow(
        phase=Phase.OPEN,
        last_packet_at=10.01 + FROZEN,
        balancer="10.0.0.1",
        taken_at=10.01 + FROZEN,
    )
    reduce(agent, Tick(now=10.02 + FROZEN))
    effects = beat(agent, "i-3", 1, 10.03 + FROZEN)
    resets = {effect.flow for effect in effects if isinstance(effect, ResetFlow)}
    assert resets == {b"at work", b"held"}
