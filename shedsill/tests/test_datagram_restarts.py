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
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

B1, B2 = "10.0.0.1", "10.0.0.2"
A1 = "10.1.0.1"
LONG = 12
"""Requests on a flow that outlives what is done to it here."""


@pytest.fixture
def world() -> World:
    """Two balancers and one upstream."""
    world = World(services=("dispatcher",))
    world.add_agent(A1, "dispatcher", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(3.0)
    return world


def restart_upstream(world: World) -> None:
    """Start a new run while nobody has noticed that the last one has ended."""
    world.crash_upstream(A1)
    world.run(0.3)
    world.start_upstream(A1, "dispatcher")


def open_flow(world: World) -> Caller:
    caller = world.call("dispatcher", B1, requests=LONG)
    world.run(0.01)
    assert caller.open
    return caller


@pytest.mark.parametrize("delay", [0.0, 0.1, 1.0])
def test_a_flow_taken_before_the_first_heartbeat_lives(
    world: World, delay: float
) -> None:
    """The heartbeat may be late: the agent's VM may stand still meanwhile."""
    restart_upstream(world)
    caller = open_flow(world)
    world.run(delay)
    world._send_beat(A1)
    world.run(6.0)
    assert caller.outcome == "answered"


def test_it_lives_where_the_first_heartbeat_was_lost(world: World) -> None:
    restart_upstream(world)
    caller = open_flow(world)
    world.upstreams[A1].beats += 1
    world.run(3.0)
    world._send_beat(A1)
    world.run(6.0)
    assert caller.outcome == "answered"


def test_it_lives_through_a_later_restart_of_the_agent(world: World) -> None:
    restart_upstream(world)
    caller = open_flow(world)
    world._send_beat(A1)
    world.run(1.0)
    world.stop(A1)
    world.run(0.1)
    world.kill(A1)
    world.run(0.3)
    world.add_agent(A1, "dispatcher")
    world.run(6.0)
    assert caller.outcome == "answered"


def test_the_flows_of_the_ended_run_are_reset(world: World) -> None:
    caller = open_flow(world)
    world.run(2.0)
    restart_upstream(world)
    world._send_beat(A1)
    world.run(0.1)
    assert caller.outcome == "reset"


def test_a_caller_at_work_as_the_run_ended_is_freed_at_once(world: World) -> None:
    """Its flow was taken after the last heartbeat of the run that ended."""
    caller = open_flow(world)
    restart_upstream(world)
    world._send_beat(A1)
    world.run(0.1)
    assert caller.outcome == "reset"


def test_an_answer_that_names_a_flow_twice_is_taken(world: World) -> None:
    """Found by the soak: a flow that was asked for twice ended a balancer's process."""
    caller = open_flow(world)
    state = world.nodes[B1]
    state.flows[caller.flow].unverified = True
    world.upstreams[A1].crash()
    flows = [caller.flow, caller.flow]
    answer = Located(boot="i-9", held=[], unknown=flows, unsure=[], load=Load())
    world._dispatch(B1, MessageReceived(message=answer, source=A1, now=world.now))
    world.run(0.01)
    assert caller.outcome == "reset"


def test_a_doubted_flow_is_asked_for_until_its_agent_answers(world: World) -> None:
    """The first question was lost, and the caller has nothing left to send."""
    caller = open_flow(world)
    world.routers[caller.flow] = "nowhere"
    world.nodes[B1].flows[caller.flow].unverified = True
    world.nodes[A1].flows.clear()
    world.upstreams[A1].flows.clear()
    world.run(0.3)
    assert caller.outcome == "reset"


A2 = "10.1.0.2"


def test_a_flow_that_chose_another_upstream_is_not_reset_by_this_one(
    world: World,
) -> None:
    """Found by the soak (seed 41): the word of who took the flow came late.

    The balancer did not know yet whom its caller had chosen, and gave the first packet
    to both agents that had been offered the flow.  One's upstream had ended without an
    answer; its next run made the agent reset a flow that lived at the other one.
    """
    world.add_agent(A2, "dispatcher", first=True)
    world.run(3.0)
    world.crash_upstream(A1)
    world.nodes[B1].nodes.upstreams[A2].refused_until = world.now + 0.05
    caller = world.call("dispatcher", B1, requests=LONG)
    world.run(0.05)
    assert A1 in world.nodes[B1].flows[caller.flow].offered
    world.is_lost = lambda source, host: (source, host) == (A2, B1)
    world.run(0.15)
    assert world.find_holder(caller) == A2
    world.is_lost = lambda source, host: False
    world.start_upstream(A1, "dispatcher")
    world._send_beat(A1)
    world.run(6.0)
    assert caller.outcome == "answered"
