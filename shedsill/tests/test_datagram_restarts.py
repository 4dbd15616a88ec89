"""Flows that a restarted upstream accepts before its first heartbeat.

Guards against resetting them together with the flows of the ended boot.
"""

from __future__ import annotations

import pytest

from shedsill.datagram._events import MessageReceived
from shedsill.datagram._messages import Load, Located
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

B1, B2 = "10.0.0.1", "10.0.0.2"
A1 = "10.1.0.1"
MANY_REQUESTS = 12
"""Requests on a flow that lasts longer than a test."""


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
    """Start a new boot before any node has noticed the end of the previous one."""
    world.crash_upstream(A1)
    world.run(0.3)
    world.start_upstream(A1, "dispatcher")


def open_flow(world: World) -> Caller:
    caller = world.call("dispatcher", B1, requests=MANY_REQUESTS)
    world.run(0.01)
    assert caller.open
    return caller


@pytest.mark.parametrize("delay", [0.0, 0.1, 1.0])
def test_flow_accepted_before_first_heartbeat_is_kept(
    world: World, delay: float
) -> None:
    """The heartbeat may be late if the agent's VM is paused."""
    restart_upstream(world)
    caller = open_flow(world)
    world.run(delay)
    world._send_beat(A1)
    world.run(6.0)
    assert caller.outcome == "answered"


def test_flow_is_kept_when_first_heartbeat_is_lost(world: World) -> None:
    restart_upstream(world)
    caller = open_flow(world)
    world.upstreams[A1].beats += 1
    world.run(3.0)
    world._send_beat(A1)
    world.run(6.0)
    assert caller.outcome == "answered"


def test_flow_is_kept_through_later_restart_of_agent(world: World) -> None:
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


def test_flows_of_ended_boot_are_reset(world: World) -> None:
    caller = open_flow(world)
    world.run(2.0)
    restart_upstream(world)
    world._send_beat(A1)
    world.run(0.1)
    assert caller.outcome == "reset"


def test_new_flow_of_ended_boot_is_reset_at_first_heartbeat(world: World) -> None:
    """The flow was accepted after the last heartbeat of the ended boot."""
    caller = open_flow(world)
    restart_upstream(world)
    world._send_beat(A1)
    world.run(0.1)
    assert caller.outcome == "reset"


def test_answer_listing_a_flow_twice_resets_it(world: World) -> None:
    """A flow that was requested twice may be listed twice in the answer."""
    caller = open_flow(world)
    state = world.nodes[B1]
    state.flows[caller.flow].unverified = True
    world.upstreams[A1].crash()
    flows = [caller.flow, caller.flow]
    answer = Located(boot="i-9", held=[], unknown=flows, unsure=[], load=Load())
    world._dispatch(B1, MessageReceived(message=answer, source=A1, now=world.now))
    world.run(0.01)
    assert caller.outcome == "reset"


def test_unverified_flow_is_requested_until_its_agent_answers(world: World) -> None:
    """The first request was lost, and the caller sends no further packet."""
    caller = open_flow(world)
    world.routers[caller.flow] = "nowhere"
    world.nodes[B1].flows[caller.flow].unverified = True
    world.nodes[A1].flows.clear()
    world.upstreams[A1].flows.clear()
    world.run(0.3)
    assert caller.outcome == "reset"


A2 = "10.1.0.2"


def test_flow_at_another_upstream_is_not_reset_by_restarted_one(
    world: World,
) -> None:
    """Both agents that were offered the SYN get the caller's next packet.

    The agent whose upstream ended without an answer must not reset the flow.
    """
    world.add_agent(A2, "dispatcher", first=True)
    world.run(3.0)
    world.crash_upstream(A1)
    world.nodes[B1].nodes.upstreams[A2].refused_until = world.now + 0.05
    caller = world.call("dispatcher", B1, requests=MANY_REQUESTS)
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
