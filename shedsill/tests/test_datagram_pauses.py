"""Guards against counting a pause of an agent as silence of callers or the upstream."""

from __future__ import annotations

import pytest

from shedsill.datagram._agent_state import AgentFlow, AgentState, Phase
from shedsill.datagram._backlog import QueuedRequest
from shedsill.datagram._effects import Effect, ResetFlow
from shedsill.datagram._events import Heartbeat, HeartbeatReceived, Tick
from shedsill.datagram._messages import UpstreamState
from shedsill.datagram._reducer import reduce
from shedsill.testing.agents import make_agent_state

PAUSE_SECONDS = 6.0
"""Length of the agent's pause; longer than all of its timeouts."""


@pytest.fixture
def agent() -> AgentState:
    """An agent with a running and a queued request, right after a tick."""
    state = make_agent_state(slots=2)
    reduce(state, Tick(now=10.0))
    send_heartbeat(state, "i-2", 5, 10.0)
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


def send_heartbeat(
    state: AgentState, boot: str, serial: int, now: float
) -> list[Effect]:
    heartbeat = Heartbeat(boot=boot, serial=serial, state=UpstreamState.READY, slots=2)
    return reduce(state, HeartbeatReceived(heartbeat=heartbeat, now=now))


def test_queued_request_is_kept_over_pause(agent: AgentState) -> None:
    reduce(agent, Tick(now=10.0 + PAUSE_SECONDS))
    assert b"held" in agent.backlog.requests


def test_running_request_keeps_its_slot_over_pause(agent: AgentState) -> None:
    """Its answer may be unread."""
    reduce(agent, Tick(now=10.0 + PAUSE_SECONDS))
    assert agent.flows[b"at work"].running
    assert agent.running == 1


def test_late_heartbeat_after_pause_resets_no_flow(agent: AgentState) -> None:
    """The heartbeats of the current boot are unread."""
    reduce(agent, Tick(now=10.0 + PAUSE_SECONDS))
    effects = send_heartbeat(agent, "i-0", 9, 10.01 + PAUSE_SECONDS)
    assert not [effect for effect in effects if isinstance(effect, ResetFlow)]
    assert agent.report.boot == "i-2"


def test_time_without_pause_counts_as_silence(agent: AgentState) -> None:
    now = 10.0
    while now < 10.0 + PAUSE_SECONDS:
        now += 0.04
        reduce(agent, Tick(now=now))
    assert not agent.backlog.requests
    assert agent.running == 0
    send_heartbeat(agent, "i-3", 9, now)
    assert agent.report.boot == "i-3"


def test_flow_taken_by_new_boot_after_pause_is_kept(
    agent: AgentState,
) -> None:
    """The pause does not change the times that assign flows to boots."""
    agent.flows[b"new"] = AgentFlow(
        phase=Phase.OPEN,
        last_packet_at=10.01 + PAUSE_SECONDS,
        balancer="10.0.0.1",
        taken_at=10.01 + PAUSE_SECONDS,
    )
    reduce(agent, Tick(now=10.02 + PAUSE_SECONDS))
    effects = send_heartbeat(agent, "i-3", 1, 10.03 + PAUSE_SECONDS)
    resets = {effect.flow for effect in effects if isinstance(effect, ResetFlow)}
    assert resets == {b"at work", b"held"}
