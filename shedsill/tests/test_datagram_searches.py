"""Searches for flows among many agents, most of which a balancer never deals with.

Pattern: VMs of upstreams leave after a release, and a balancer that holds no flow there
is not told.  On a deployment of 136 upstreams before 59 balancers, each search for a
flow that nobody held waited for such an agent for ever: some 20 callers a second heard
nothing until their deadline, for as long as the day lasted.  On small deployments each
balancer deals with each agent within a second, and notices.
"""

from __future__ import annotations

import pytest

from shedsill.datagram import _failure_detection
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._messages import Roster, UpstreamState
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

B1, B2 = "10.0.0.1", "10.0.0.2"
NEAR = ("10.1.0.1", "10.1.0.2")
FAR = ("10.2.0.1", "10.2.0.2", "10.2.0.3")
LONG = 1000
GIVEN_UP_AFTER = (
    _failure_detection.LOST_AFTER_SECONDS
    + 2 * _failure_detection.PROBE_INTERVAL_SECONDS
    + 0.3
)
"""Seconds after which an agent that is gone delays no caller any more."""


def make_world(*seeds: str) -> World:
    """Return two balancers in one zone, and upstreams there and in another one."""
    world = World(services=("dispatcher",), seeds=seeds)
    for host in NEAR:
        world.add_agent(host, "dispatcher", first=True)
    for host in FAR:
        world.add_agent(host, "dispatcher", zone="z2", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    return world


@pytest.fixture
def world() -> World:
    world = make_world()
    world.run(3.0)
    return world


def end_flow(world: World) -> Caller:
    """Open a flow through one balancer; have it end, and come to the other one."""
    caller = world.call("dispatcher", B1, requests=LONG)
    world.run(0.05)
    holder = world.find_holder(caller)
    assert holder in NEAR
    world.upstreams[holder].flows.clear()
    world.nodes[holder].flows.clear()
    world.routers[caller.flow] = B2
    return caller


def test_an_agent_that_is_gone_does_not_hold_up_a_search(world: World) -> None:
    world.cut.add(FAR[0])
    world.run(10.0)
    caller = end_flow(world)
    world.run(GIVEN_UP_AFTER)
    assert caller.outcome == "reset"


def test_later_searches_do_not_wait_for_it_at_all(world: World) -> None:
    world.cut.add(FAR[0])
    end_flow(world)
    world.run(GIVEN_UP_AFTER)
    caller = end_flow(world)
    world.run(0.5)
    assert caller.outcome == "reset"


def test_an_agent_whose_report_was_removed_is_asked(world: World) -> None:
    """It is given up before a search needs it."""
    world.cut.add(FAR[0])
    world.run(1.0)
    removed = ReportsListed(reports=(), removed=(FAR[0],), now=world.now)
    world._dispatch(B2, removed)
    world.run(GIVEN_UP_AFTER)
    caller = end_flow(world)
    world.run(0.5)
    assert caller.outcome == "reset"


def test_an_agent_that_lives_is_kept_though_its_report_was_removed(
    world: World,
) -> None:
    removed = ReportsListed(reports=(), removed=(FAR[0],), now=world.now)
    world._dispatch(B2, removed)
    world.run(GIVEN_UP_AFTER)
    view = world.nodes[B2].nodes.upstreams[FAR[0]]
    assert not view.lost
    assert not view.suspect


@pytest.fixture
def seeded() -> World:
    """The same, where agents know the first balancer only."""
    world = make_world(B1)
    world.run(12.0)
    return world


def leave(world: World, host: str) -> None:
    """Have an upstream say that it ends, and its VM go 2 s later."""
    world.resting.add(B2)
    world.leave(host)
    world.run(2.0)
    world.cut.add(host)


def test_all_balancers_are_told_of_an_upstream_that_ends(seeded: World) -> None:
    seeded.resting.add(B2)
    seeded.leave(FAR[0])
    seeded.run(0.01)
    view = seeded.nodes[B2].nodes.upstreams[FAR[0]]
    assert view.report.state == UpstreamState.GONE


def test_a_living_flow_is_found_though_an_agent_has_just_left(seeded: World) -> None:
    """All agents were restarted, so that only upstreams know who holds the flow."""
    caller = seeded.call("dispatcher", B1, requests=LONG)
    seeded.run(1.0)
    seeded.routers[caller.flow] = "nowhere"
    for host in (*NEAR, *FAR):
        seeded.kill(host)
    seeded.run(0.2)
    for host in (*NEAR, *FAR):
        zone = "z1" if host in NEAR else "z2"
        seeded.add_agent(host, "dispatcher", zone=zone)
    seeded.run(11.0)
    leave(seeded, FAR[0])
    seeded.run(0.8)
    answers = caller.answers
    seeded.routers[caller.flow] = B2
    seeded.run(0.7)
    assert caller.answers > answers
    assert not caller.outcome


def test_an_upstream_that_ends_is_told_of_by_few(seeded: World) -> None:
    """Messages grow with balancers, not with pairs of them."""
    hosts = [f"10.0.1.{number}" for number in range(1, 9)]
    for host in hosts:
        seeded.add_balancer(host)
    seeded.run(2.0)
    before = seeded.count_messages(Roster)
    seeded.leave(FAR[1])
    seeded.run(0.05)
    assert seeded.count_messages(Roster) - before <= 2 * (len(hosts) + 2)


def test_an_agent_that_leaves_is_given_up_before_anyone_searches(
    seeded: World,
) -> None:
    """Nothing at this balancer depends on it; it is asked because it is leaving."""
    leave(seeded, FAR[0])
    seeded.run(
        _failure_detection.IDLE_BEFORE_PROBE_SECONDS
        + _failure_detection.LOST_AFTER_SECONDS / 2
    )
    assert seeded.nodes[B2].nodes.upstreams[FAR[0]].lost
