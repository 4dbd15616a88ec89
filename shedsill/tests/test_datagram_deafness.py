"""A balancer that receives no messages for a while resets no live flow.

Guards against attributing lost messages of the balancer itself to failed agents.
"""

from __future__ import annotations

import pytest

from shedsill._catalogue import LogEvent
from shedsill.datagram._failure_detection import LOST_AFTER_SECONDS
from shedsill.testing.datagrams import Losses, World
from shedsill.testing.flow_peers import Caller

B1, B2, B3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
AGENTS = tuple(f"10.1.0.{number}" for number in range(1, 9))
MANY_REQUESTS = 40
"""Requests on a flow that lasts longer than a test."""


@pytest.fixture
def world() -> World:
    """Two balancers and eight upstreams that all know each other."""
    world = World(services=("dispatcher",))
    for host in AGENTS:
        world.add_agent(host, "dispatcher", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(3.0)
    return world


def open_flows(world: World, balancer: str = B1) -> list[Caller]:
    """Return callers with long flows that are spread over the upstreams."""
    callers = []
    for _ in range(3 * len(AGENTS)):
        callers.append(world.call("dispatcher", balancer, requests=MANY_REQUESTS))
        world.run(0.05)
    holders = {world.find_holder(caller) for caller in callers}
    assert "" not in holders
    assert len(holders) > len(AGENTS) / 2
    return callers


def restart_balancer(world: World, host: str) -> None:
    world.kill(host)
    world.run(0.3)
    world.add_balancer(host)


def count_lost_agents(world: World) -> int:
    return sum(note.event == LogEvent.UPSTREAM_LOST for _host, note in world.notes)


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("isolation", [1.5, 5.0])
def test_flows_are_kept_when_agents_become_reachable_one_by_one(
    world: World, isolation: float, restarted: bool
) -> None:
    open_flows(world)
    if restarted:
        restart_balancer(world, B1)
    unreachable = set(AGENTS)
    world.is_lost = lambda source, host: (
        (source in unreachable and host == B1) or (source == B1 and host in unreachable)
    )
    world.run(isolation)
    for host in AGENTS:
        unreachable.discard(host)
        world.run(0.08)
    world.run(3.0)
    assert not world.resets
    assert count_lost_agents(world) == 0


@pytest.mark.parametrize("seed", range(5))
def test_flows_are_kept_on_link_that_drops_most_messages(
    world: World, seed: int
) -> None:
    open_flows(world)
    world.is_lost = Losses(B1, 0.6, seed)
    world.run(8.0)
    world.is_lost = lambda source, host: False
    world.run(2.0)
    assert not world.resets


def test_dead_agent_is_given_up_after_isolation_of_balancer(
    world: World,
) -> None:
    """Its silence is measured again after the balancer's messages get through."""
    callers = open_flows(world)
    dead = world.find_holder(callers[0])
    world.upstreams[dead].alive = False
    world.cut.add(dead)
    world.run(LOST_AFTER_SECONDS / 2)
    world.cut.add(B1)
    world.run(3.0)
    world.cut.discard(B1)
    world.run(LOST_AFTER_SECONDS + 0.7)
    assert callers[0].outcome == "reset"


@pytest.mark.parametrize("seed", range(40))
def test_last_reachable_agent_after_isolation_is_not_given_up(seed: int) -> None:
    """The other agents answer just in time, so that the balancer is not isolated."""
    world = World(services=("dispatcher",))
    for host in AGENTS[:5]:
        world.add_agent(host, "dispatcher", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(3.0)
    for _ in range(10):
        world.call("dispatcher", B1, requests=MANY_REQUESTS)
        world.run(0.05)
    restart_balancer(world, B1)
    world.is_lost = losses = Losses(B1, 1.0, seed)
    for losses.share in (1.0, 0.6, 0.3):
        world.run(1.5)
    world.is_lost = lambda source, host: False
    world.run(2.0)
    assert not world.resets
