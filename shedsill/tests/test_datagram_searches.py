"""Searches for flows among agents that a balancer has no flows at.

Guards against searches that wait for agents which have left unnoticed.
"""

from __future__ import annotations

import pytest

from shedsill.datagram import _failure_detection
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._messages import Roster, UpstreamState
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

B1, B2 = "10.0.0.1", "10.0.0.2"
LOCAL_AGENTS = ("10.1.0.1", "10.1.0.2")
REMOTE_AGENTS = ("10.2.0.1", "10.2.0.2", "10.2.0.3")
MANY_REQUESTS = 1000
GIVEN_UP_AFTER_SECONDS = (
    _failure_detection.LOST_AFTER_SECONDS
    + 2 * _failure_detection.PROBE_INTERVAL_SECONDS
    + 0.3
)
"""Time after which an agent that has left delays no caller any more."""


def make_world(*seeds: str) -> World:
    """Return two balancers in one zone, with upstreams there and in another zone."""
    world = World(services=("dispatcher",), seeds=seeds)
    for host in LOCAL_AGENTS:
        world.add_agent(host, "dispatcher", first=True)
    for host in REMOTE_AGENTS:
        world.add_agent(host, "dispatcher", zone="z2", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    return world


@pytest.fixture
def world() -> World:
    world = make_world()
    world.run(3.0)
    return world


def move_ended_flow(world: World) -> Caller:
    """Open a flow through one balancer, remove it and route it to the other one."""
    caller = world.call("dispatcher", B1, requests=MANY_REQUESTS)
    world.run(0.05)
    holder = world.find_holder(caller)
    assert holder in LOCAL_AGENTS
    world.upstreams[holder].flows.clear()
    world.nodes[holder].flows.clear()
    world.routers[caller.flow] = B2
    return caller


def test_search_does_not_wait_for_vanished_agent(world: World) -> None:
    world.cut.add(REMOTE_AGENTS[0])
    world.run(10.0)
    caller = move_ended_flow(world)
    world.run(GIVEN_UP_AFTER_SECONDS)
    assert caller.outcome == "reset"


def test_later_search_does_not_wait_for_lost_agent(world: World) -> None:
    world.cut.add(REMOTE_AGENTS[0])
    move_ended_flow(world)
    world.run(GIVEN_UP_AFTER_SECONDS)
    caller = move_ended_flow(world)
    world.run(0.5)
    assert caller.outcome == "reset"


def test_agent_whose_report_was_removed_is_probed(world: World) -> None:
    """The agent is given up before a search has to wait for it."""
    world.cut.add(REMOTE_AGENTS[0])
    world.run(1.0)
    removed = ReportsListed(reports=(), removed=(REMOTE_AGENTS[0],), now=world.now)
    world._dispatch(B2, removed)
    world.run(GIVEN_UP_AFTER_SECONDS)
    caller = move_ended_flow(world)
    world.run(0.5)
    assert caller.outcome == "reset"


def test_live_agent_is_kept_after_removal_of_its_report(
    world: World,
) -> None:
    removed = ReportsListed(reports=(), removed=(REMOTE_AGENTS[0],), now=world.now)
    world._dispatch(B2, removed)
    world.run(GIVEN_UP_AFTER_SECONDS)
    view = world.nodes[B2].nodes.upstreams[REMOTE_AGENTS[0]]
    assert not view.lost
    assert not view.suspect


@pytest.fixture
def seeded_world() -> World:
    """Return the same nodes, with the first balancer as the only seed."""
    world = make_world(B1)
    world.run(12.0)
    return world


def announce_end_and_cut_off(world: World, host: str) -> None:
    """Have an upstream announce its end and cut its VM off 2 s later."""
    world.resting.add(B2)
    world.leave(host)
    world.run(2.0)
    world.cut.add(host)


def test_end_of_upstream_is_relayed_to_all_balancers(seeded_world: World) -> None:
    seeded_world.resting.add(B2)
    seeded_world.leave(REMOTE_AGENTS[0])
    seeded_world.run(0.01)
    view = seeded_world.nodes[B2].nodes.upstreams[REMOTE_AGENTS[0]]
    assert view.report.state == UpstreamState.GONE


def test_live_flow_is_found_after_another_agent_has_left(seeded_world: World) -> None:
    """All agents were restarted, so that only the upstreams know their flows."""
    caller = seeded_world.call("dispatcher", B1, requests=MANY_REQUESTS)
    seeded_world.run(1.0)
    seeded_world.routers[caller.flow] = "nowhere"
    for host in (*LOCAL_AGENTS, *REMOTE_AGENTS):
        seeded_world.kill(host)
    seeded_world.run(0.2)
    for host in (*LOCAL_AGENTS, *REMOTE_AGENTS):
        zone = "z1" if host in LOCAL_AGENTS else "z2"
        seeded_world.add_agent(host, "dispatcher", zone=zone)
    seeded_world.run(11.0)
    announce_end_and_cut_off(seeded_world, REMOTE_AGENTS[0])
    seeded_world.run(0.8)
    answers = caller.answers
    seeded_world.routers[caller.flow] = B2
    seeded_world.run(0.7)
    assert caller.answers > answers
    assert not caller.outcome


def test_end_of_upstream_is_relayed_by_few_balancers(seeded_world: World) -> None:
    """Messages grow linearly with the number of balancers."""
    hosts = [f"10.0.1.{number}" for number in range(1, 9)]
    for host in hosts:
        seeded_world.add_balancer(host)
    seeded_world.run(2.0)
    before = seeded_world.count_messages(Roster)
    seeded_world.leave(REMOTE_AGENTS[1])
    seeded_world.run(0.05)
    assert seeded_world.count_messages(Roster) - before <= 2 * (len(hosts) + 2)


def test_leaving_agent_is_given_up_before_any_search(
    seeded_world: World,
) -> None:
    """The balancer has no flows at the agent, but probes it because it is leaving."""
    announce_end_and_cut_off(seeded_world, REMOTE_AGENTS[0])
    seeded_world.run(
        _failure_detection.IDLE_BEFORE_PROBE_SECONDS
        + _failure_detection.LOST_AFTER_SECONDS / 2
    )
    assert seeded_world.nodes[B2].nodes.upstreams[REMOTE_AGENTS[0]].lost
