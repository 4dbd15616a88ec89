"""Heartbeats that arrive late, of runs that have ended."""

from __future__ import annotations

import asyncio
import json

import pytest
from msgspec.structs import replace

from shedsill._addresses import Address
from shedsill.coordination.platform import MemoryPlatform
from shedsill.datagram._agent_state import AgentFlow, AgentState, Phase
from shedsill.datagram._backlog import QueuedRequest
from shedsill.datagram._effects import Effect, ResetFlow, SendToUpstream
from shedsill.datagram._events import EarlierReportRead, Heartbeat, HeartbeatReceived
from shedsill.datagram._messages import Role, UpstreamState
from shedsill.datagram._runtime.agent import create_agent
from shedsill.datagram._upstream import (
    BOOT_SILENCE_SECONDS,
    FIRST_SERIAL,
    handle_earlier_report,
    handle_heartbeat,
)
from shedsill.platform.heartbeats import InstanceCalls
from shedsill.testing.agents import make_agent_state
from shedsill.testing.flow_endpoints import CODEC, make_packet
from shedsill.testing.nodes import PORTS, make_settings
from shedsill.testing.ports import find_ports

SLOTS = 2
CALLER, SERVICE = (0x64400007, 40_001), (0xC6120001, 443)


@pytest.fixture
def agent() -> AgentState:
    """An agent that has started beside the run i-2, of which i-1 was the last."""
    state = make_agent_state(slots=0)
    state.report = replace(
        state.report, boot="", state=UpstreamState.UNKNOWN, incarnation=7
    )
    beat(state, "i-2", 5, 1.0)
    state.flows[b"f"] = AgentFlow(
        phase=Phase.OPEN, last_packet_at=1.0, balancer="10.0.0.1"
    )
    return state


def beat(
    state: AgentState,
    boot: str,
    serial: int,
    now: float,
    upstream: UpstreamState = UpstreamState.READY,
) -> list[Effect]:
    heartbeat = Heartbeat(boot=boot, serial=serial, state=upstream, slots=SLOTS)
    return handle_heartbeat(state, HeartbeatReceived(heartbeat=heartbeat, now=now))


def is_unmoved(state: AgentState, effects: list[Effect]) -> bool:
    resets = [e for e in effects if isinstance(e, ResetFlow)]
    ready = state.report.state == UpstreamState.READY
    return state.report.boot == "i-2" and ready and b"f" in state.flows and not resets


@pytest.mark.parametrize("upstream", [UpstreamState.READY, UpstreamState.DRAINING])
def test_a_late_heartbeat_of_an_earlier_run_changes_nothing(
    agent: AgentState, upstream: UpstreamState
) -> None:
    """An agent that has just started took it for a new run and reset every flow."""
    assert is_unmoved(agent, beat(agent, "i-1", 9, 1.2, upstream))


def test_two_late_heartbeats_change_nothing(agent: AgentState) -> None:
    assert is_unmoved(agent, beat(agent, "i-1", 9, 1.2))
    assert is_unmoved(agent, beat(agent, "i-1", 10, 1.3))
    assert is_unmoved(agent, beat(agent, "i-2", 6, 2.2))


def test_the_run_that_the_store_knew_before_is_never_taken_up_again() -> None:
    state = make_agent_state(slots=0)
    state.report = replace(state.report, boot="", incarnation=7)
    earlier = replace(state.report, incarnation=3, boot="i-1")
    beat(state, "i-2", FIRST_SERIAL, 1.0)
    handle_earlier_report(
        state, EarlierReportRead(report=earlier, at_start=True, now=1.1)
    )
    beat(state, "i-1", 9, 1.0 + BOOT_SILENCE_SECONDS + 0.1)
    assert state.report.boot == "i-2"


def test_a_living_run_is_believed_after_a_late_heartbeat_of_another() -> None:
    """The late one came first after the agent's start."""
    state = make_agent_state(slots=0)
    state.report = replace(state.report, boot="", incarnation=7)
    earlier = replace(state.report, incarnation=3, boot="i-2")
    beat(state, "i-1", 9, 1.0)
    handle_earlier_report(
        state, EarlierReportRead(report=earlier, at_start=True, now=1.1)
    )
    beat(state, "i-2", 6, 1.0 + BOOT_SILENCE_SECONDS)
    assert state.report.boot == "i-2"


def test_a_new_run_is_taken_up_with_its_first_heartbeat(agent: AgentState) -> None:
    effects = beat(agent, "i-3", FIRST_SERIAL, 1.2)
    assert agent.report.boot == "i-3"
    assert any(isinstance(e, ResetFlow) for e in effects)


def test_a_new_run_whose_first_heartbeat_was_lost_is_taken_up_later(
    agent: AgentState,
) -> None:
    assert is_unmoved(agent, beat(agent, "i-3", 2, 1.5))
    beat(agent, "i-3", 4, 1.0 + BOOT_SILENCE_SECONDS)
    assert agent.report.boot == "i-3"


def test_a_new_run_is_taken_up_where_the_last_one_is_known_to_be_dead(
    agent: AgentState,
) -> None:
    agent.report = replace(agent.report, state=UpstreamState.UNRESPONSIVE)
    beat(agent, "i-3", 2, 1.5)
    assert agent.report.boot == "i-3"


def test_a_flow_that_a_new_run_took_before_its_first_heartbeat_is_kept(
    agent: AgentState,
) -> None:
    """Found in a hunt: a flow was opened 13 ms after the run's start and reset by its
    first heartbeat."""
    agent.flows[b"new"] = AgentFlow(
        phase=Phase.OPEN,
        last_packet_at=2.0,
        balancer="10.0.0.1",
        taken_at=2.0,
        pending=True,
        running=True,
    )
    agent.busy = agent.running = 1
    effects = beat(agent, "i-3", FIRST_SERIAL, 2.013)
    assert [e.flow for e in effects if isinstance(e, ResetFlow)] == [b"f"]
    assert list(agent.flows) == [b"new"]
    assert agent.busy == agent.running == 1


def test_requests_held_for_a_new_run_get_the_slots_of_the_last_one(
    agent: AgentState,
) -> None:
    """Nothing else would pass them on: no request of the new run ends."""
    packet = CODEC.decode_caller(make_packet(CALLER, SERVICE, 0, payload=b"x"))
    assert packet is not None
    dead = agent.flows[b"f"]
    dead.pending = dead.running = True
    agent.flows[packet.flow] = AgentFlow(
        phase=Phase.OPEN,
        last_packet_at=1.5,
        balancer="10.0.0.1",
        taken_at=1.5,
        pending=True,
    )
    agent.backlog.requests[packet.flow] = QueuedRequest(
        packets=[packet],
        queued_at=1.5,
        requested_at=1.5,
        urgency=0,
        objective_at=9.0,
        deadline_at=9.0,
    )
    agent.busy, agent.running = 2, 1
    effects = beat(agent, "i-3", FIRST_SERIAL, 2.0)
    assert [e.packet for e in effects if isinstance(e, SendToUpstream)] == [packet]
    assert agent.busy == agent.running == 1


async def answer_heartbeats(*beats: tuple[str, int, str]) -> list[int]:
    """Send heartbeats to an agent's server; return the statuses of its answers."""
    host, ports = "127.0.0.4", find_ports(PORTS + 2)
    settings = make_settings(
        host,
        Role.AGENT,
        ports,
        service="dispatcher",
        upstream=Address(host, ports[PORTS]),
        outbound=Address(host, ports[PORTS + 1]),
    )
    node = create_agent(
        settings,
        source=None,  # type: ignore[arg-type]
        codec=CODEC,
        platform=MemoryPlatform(),
        heartbeats=InstanceCalls(),
    )
    try:
        return [
            node._handle_heartbeat_call(
                "PUT", f"/-/instances/{boot}", make_body(serial, state)
            ).status
            for boot, serial, state in beats
        ]
    finally:
        node._close()


def make_body(serial: int, state: str) -> bytes:
    value = {
        "service": "dispatcher",
        "addr": "127.0.0.4:1",
        "zone": "z",
        "version": "v1",
        "slots": SLOTS,
        "state": state,
        "cold_left_ms": 0,
        "seq": serial,
    }
    return json.dumps(value).encode()


def test_a_late_heartbeat_that_drains_is_not_confirmed() -> None:
    """Its sender has ended, and nothing was drained."""
    statuses = asyncio.run(
        answer_heartbeats(
            ("i-2", FIRST_SERIAL, "ready"),
            ("i-1", 9, "draining"),
            ("i-1", 10, "ready"),
            ("i-2", 2, "draining"),
        )
    )
    assert statuses == [200, 409, 409, 200]
