"""Openings that no upstream can answer in time are refused at once."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from shedsill.datagram import _slots
from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._backlog import QueuedRequest, add_request
from shedsill.datagram._flow_placement import MAX_OVERLOADED_OFFERS
from shedsill.datagram._health import record_answer
from shedsill.datagram._messages import Load
from shedsill.datagram._packet import SYN, Packet
from shedsill.testing.agents import make_agent_state
from shedsill.testing.datagram_simulation import Simulation

SLOTS = 2
SERVICE_TIME = 0.1
TIMEOUT = 2.0
SERVABLE = int(TIMEOUT * SLOTS / SERVICE_TIME) - SLOTS - 1
"""Requests that can be answered before one that comes now gives up."""


def overload(state: AgentState, requests: int, now: float) -> None:
    """Let an agent hold many requests whose upstream needs `SERVICE_TIME` for each."""
    state.report = replace(state.report, load=Load(slots=SLOTS))
    record_answer(state.health, SERVICE_TIME, now)
    for number in range(requests):
        request = QueuedRequest(
            packets=[],
            queued_at=now,
            requested_at=now,
            urgency=1,
            objective_at=now + 0.2,
            deadline_at=now + 60.0,
        )
        add_request(state.backlog, b"held%d" % number, request)


def make_opening(*, copy: int = 0, timeout: float = TIMEOUT) -> Packet:
    return Packet(
        b"f", b"e", SYN, copy, seq=1, ack=copy, length=0, data=b"", timeout=timeout
    )


@pytest.mark.parametrize(
    ("held", "expected"), [(0, True), (SERVABLE, True), (SERVABLE + SLOTS + 1, False)]
)
def test_an_opening_is_taken_while_it_can_be_answered(
    held: int, expected: bool
) -> None:
    state = make_agent_state(slots=SLOTS)
    overload(state, held, 1.0)
    assert _slots.can_answer_in_time(state, make_opening(), 1.0) is expected


def test_a_caller_that_has_waited_has_less_time_left() -> None:
    state = make_agent_state(slots=SLOTS)
    overload(state, SERVABLE, 1.0)
    assert not _slots.can_answer_in_time(state, make_opening(copy=2), 1.0)


def test_an_opening_without_a_known_timeout_is_taken() -> None:
    state = make_agent_state(slots=SLOTS)
    overload(state, 10 * SERVABLE, 1.0)
    assert _slots.can_answer_in_time(state, make_opening(timeout=0.0), 1.0)


def test_requests_whose_callers_have_closed_do_not_count() -> None:
    state = make_agent_state(slots=SLOTS)
    overload(state, 10 * SERVABLE, 1.0)
    for request in state.backlog.requests.values():
        request.caller_closed = True
    assert _slots.can_answer_in_time(state, make_opening(), 1.0)


def test_nothing_is_refused_before_the_pace_is_known() -> None:
    state = make_agent_state(slots=SLOTS)
    overload(state, 10 * SERVABLE, 1.0)
    state.health.warm.answers = 0
    state.health.warm.seconds = 0.0
    assert _slots.can_answer_in_time(state, make_opening(), 1.0)


def make_simulation(upstreams: int, overloaded: int) -> Simulation:
    simulation = Simulation(services=("dispatcher",))
    hosts = [f"10.1.0.{number}" for number in range(1, upstreams + 1)]
    for host in hosts:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_balancer("10.0.0.1")
    simulation.run(0.2)
    routes = {
        endpoint: replace(route, timeout=TIMEOUT)
        for endpoint, route in simulation.table.routes.items()
    }
    table = replace(simulation.table, version=2, routes=routes)
    simulation.publish_table(table, ("10.0.0.1",))
    for host in hosts[:overloaded]:
        agent = simulation.nodes[host]
        assert isinstance(agent, AgentState)
        overload(agent, 10 * SERVABLE, simulation.now)
    return simulation


def test_a_caller_is_told_at_once_where_no_upstream_can_answer() -> None:
    simulation = make_simulation(MAX_OVERLOADED_OFFERS + 2, MAX_OVERLOADED_OFFERS + 2)
    caller = simulation.add_caller("dispatcher", "10.0.0.1")
    simulation.run(0.05)
    assert caller.outcome == "reset"
    assert not any(
        upstream.processed_flows for upstream in simulation.upstreams.values()
    )


def test_an_upstream_that_can_answer_gets_what_an_overloaded_one_refuses() -> None:
    simulation = make_simulation(2, 1)
    callers = [simulation.add_caller("dispatcher", "10.0.0.1") for _ in range(3)]
    simulation.run(0.5)
    assert [caller.outcome for caller in callers] == ["answered"] * 3
