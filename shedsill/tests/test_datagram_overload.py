"""Early refusal of flows whose requests no upstream can answer in time."""

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
SERVICE_SECONDS = 0.1
TIMEOUT_SECONDS = 2.0
FEASIBLE_REQUESTS = int(TIMEOUT_SECONDS * SLOTS / SERVICE_SECONDS) - SLOTS - 1
"""Queued requests with which a new one can still meet its deadline."""


def queue_requests(state: AgentState, requests: int, now: float) -> None:
    """Queue requests at an agent whose upstream takes `SERVICE_TIME` for each."""
    state.report = replace(state.report, load=Load(slots=SLOTS))
    record_answer(state.health, SERVICE_SECONDS, now)
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


def build_syn(*, copy: int = 0, timeout: float = TIMEOUT_SECONDS) -> Packet:
    return Packet(
        b"f", b"e", SYN, copy, seq=1, ack=copy, length=0, data=b"", timeout=timeout
    )


@pytest.mark.parametrize(
    ("held", "expected"),
    [(0, True), (FEASIBLE_REQUESTS, True), (FEASIBLE_REQUESTS + SLOTS + 1, False)],
)
def test_syn_is_accepted_while_request_can_meet_deadline(
    held: int, expected: bool
) -> None:
    state = make_agent_state(slots=SLOTS)
    queue_requests(state, held, 1.0)
    assert _slots.can_answer_in_time(state, build_syn(), 1.0) is expected


def test_copy_of_syn_has_less_time_left() -> None:
    state = make_agent_state(slots=SLOTS)
    queue_requests(state, FEASIBLE_REQUESTS, 1.0)
    assert not _slots.can_answer_in_time(state, build_syn(copy=2), 1.0)


def test_syn_without_known_timeout_is_accepted() -> None:
    state = make_agent_state(slots=SLOTS)
    queue_requests(state, 10 * FEASIBLE_REQUESTS, 1.0)
    assert _slots.can_answer_in_time(state, build_syn(timeout=0.0), 1.0)


def test_requests_of_closed_callers_do_not_count() -> None:
    state = make_agent_state(slots=SLOTS)
    queue_requests(state, 10 * FEASIBLE_REQUESTS, 1.0)
    for request in state.backlog.requests.values():
        request.caller_closed = True
    assert _slots.can_answer_in_time(state, build_syn(), 1.0)


def test_syn_is_accepted_while_service_time_is_unknown() -> None:
    state = make_agent_state(slots=SLOTS)
    queue_requests(state, 10 * FEASIBLE_REQUESTS, 1.0)
    state.health.warm.answers = 0
    state.health.warm.seconds = 0.0
    assert _slots.can_answer_in_time(state, build_syn(), 1.0)


def create_simulation(upstreams: int, overloaded: int) -> Simulation:
    simulation = Simulation(services=("dispatcher",))
    hosts = [f"10.1.0.{number}" for number in range(1, upstreams + 1)]
    for host in hosts:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_balancer("10.0.0.1")
    simulation.run(0.2)
    routes = {
        endpoint: replace(route, timeout=TIMEOUT_SECONDS)
        for endpoint, route in simulation.table.routes.items()
    }
    table = replace(simulation.table, version=2, routes=routes)
    simulation.publish_table(table, ("10.0.0.1",))
    for host in hosts[:overloaded]:
        agent = simulation.nodes[host]
        assert isinstance(agent, AgentState)
        queue_requests(agent, 10 * FEASIBLE_REQUESTS, simulation.now)
    return simulation


def test_flow_is_reset_at_once_if_no_upstream_can_answer_in_time() -> None:
    simulation = create_simulation(MAX_OVERLOADED_OFFERS + 2, MAX_OVERLOADED_OFFERS + 2)
    caller = simulation.add_caller("dispatcher", "10.0.0.1")
    simulation.run(0.05)
    assert caller.outcome == "reset"
    assert not any(
        upstream.processed_flows for upstream in simulation.upstreams.values()
    )


def test_flows_refused_by_overloaded_upstream_go_to_another_one() -> None:
    simulation = create_simulation(2, 1)
    callers = [simulation.add_caller("dispatcher", "10.0.0.1") for _ in range(3)]
    simulation.run(0.5)
    assert [caller.outcome for caller in callers] == ["answered"] * 3
