"""Flows that a restarted upstream takes before its first heartbeat.

Seen: an agent reset an open flow 5 ms after its upstream had taken it.  The upstream
had just been started again; it took the flow before its first heartbeat reached the
agent, and the heartbeat made the agent free every flow that it knew.  What proved it:
the store's log has the report of the new run 3 ms after the reset, and the series
below ends in the same reset.

Agents and balancers both note flows under the run that they know, so both have to
tell such flows from those of the run that has ended.
"""

from __future__ import annotations

import pytest

from shedsill.datagram._events import MessageReceived
from shedsill.datagram._messages import Load, Located
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import Caller

B1, B2 = "10.0.0.1", "10.0.0.2"
A1 = "10.1.0.1"
LONG = 12
"""Requests on a flow that outlives what is done to it here."""


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers and one upstream."""
    simulation = Simulation(services=("dispatcher",))
    simulation.add_agent(A1, "dispatcher", knows_all_flows=True)
    for host in (B1, B2):
        simulation.add_balancer(host)
    simulation.run(3.0)
    return simulation


def restart_upstream(simulation: Simulation) -> None:
    """Start a new run while nobody has noticed that the last one has ended."""
    simulation.crash_upstream(A1)
    simulation.run(0.3)
    simulation.start_upstream(A1, "dispatcher")


def open_flow(simulation: Simulation) -> Caller:
    caller = simulation.add_caller("dispatcher", B1, requests=LONG)
    simulation.run(0.01)
    assert caller.is_open
    return caller


@pytest.mark.parametrize("delay", [0.0, 0.1, 1.0])
def test_a_flow_taken_before_the_first_heartbeat_lives(
    simulation: Simulation, delay: float
) -> None:
    """The heartbeat may be late: the agent's VM may stand still meanwhile."""
    restart_upstream(simulation)
    caller = open_flow(simulation)
    simulation.run(delay)
    simulation.send_heartbeat(A1)
    simulation.run(6.0)
    assert caller.outcome == "answered"


def test_it_lives_where_the_first_heartbeat_was_lost(simulation: Simulation) -> None:
    restart_upstream(simulation)
    caller = open_flow(simulation)
    simulation.upstreams[A1].heartbeat_serial += 1
    simulation.run(3.0)
    simulation.send_heartbeat(A1)
    simulation.run(6.0)
    assert caller.outcome == "answered"


def test_it_lives_through_a_later_restart_of_the_agent(simulation: Simulation) -> None:
    restart_upstream(simulation)
    caller = open_flow(simulation)
    simulation.send_heartbeat(A1)
    simulation.run(1.0)
    simulation.stop(A1)
    simulation.run(0.1)
    simulation.kill(A1)
    simulation.run(0.3)
    simulation.add_agent(A1, "dispatcher")
    simulation.run(6.0)
    assert caller.outcome == "answered"


def test_the_flows_of_the_ended_run_are_reset(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.run(2.0)
    restart_upstream(simulation)
    simulation.send_heartbeat(A1)
    simulation.run(0.1)
    assert caller.outcome == "reset"


def test_a_caller_at_work_as_the_run_ended_is_freed_at_once(
    simulation: Simulation,
) -> None:
    """Its flow was taken after the last heartbeat of the run that ended."""
    caller = open_flow(simulation)
    restart_upstream(simulation)
    simulation.send_heartbeat(A1)
    simulation.run(0.1)
    assert caller.outcome == "reset"


def test_an_answer_that_names_a_flow_twice_is_taken(simulation: Simulation) -> None:
    """Found by the soak: a flow that was asked for twice ended a balancer's process."""
    caller = open_flow(simulation)
    state = simulation.nodes[B1]
    state.flows[caller.flow].unverified = True
    simulation.upstreams[A1].crash()
    flows = [caller.flow, caller.flow]
    answer = Located(boot="i-9", held=[], unknown=flows, unsure=[], load=Load())
    simulation._dispatch(
        B1, MessageReceived(message=answer, source=A1, now=simulation.now)
    )
    simulation.run(0.01)
    assert caller.outcome == "reset"


def test_a_doubted_flow_is_asked_for_until_its_agent_answers(
    simulation: Simulation,
) -> None:
    """The first question was lost, and the caller has nothing left to send."""
    caller = open_flow(simulation)
    simulation.balancer_by_flow[caller.flow] = "nowhere"
    simulation.nodes[B1].flows[caller.flow].unverified = True
    simulation.nodes[A1].flows.clear()
    simulation.upstreams[A1].flows.clear()
    simulation.run(0.3)
    assert caller.outcome == "reset"


A2 = "10.1.0.2"


def test_a_flow_that_chose_another_upstream_is_not_reset_by_this_one(
    simulation: Simulation,
) -> None:
    """Found by the soak (seed 41): the word of who took the flow came late.

    The balancer did not know yet whom its caller had chosen, and gave the first packet
    to both agents that had been offered the flow.  One's upstream had ended without an
    answer; its next run made the agent reset a flow that lived at the other one.
    """
    simulation.add_agent(A2, "dispatcher", knows_all_flows=True)
    simulation.run(3.0)
    simulation.crash_upstream(A1)
    simulation.nodes[B1].nodes.upstreams[A2].refused_until = simulation.now + 0.05
    caller = simulation.add_caller("dispatcher", B1, requests=LONG)
    simulation.run(0.05)
    assert A1 in simulation.nodes[B1].flows[caller.flow].offered
    simulation.is_lost = lambda source, host: (source, host) == (A2, B1)
    simulation.run(0.15)
    assert simulation.find_upstream_host(caller) == A2
    simulation.is_lost = lambda source, host: False
    simulation.start_upstream(A1, "dispatcher")
    simulation.send_heartbeat(A1)
    simulation.run(6.0)
    assert caller.outcome == "answered"
