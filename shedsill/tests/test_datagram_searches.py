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
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import Caller

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


def make_simulation(*seeds: str) -> Simulation:
    """Return two balancers in one zone, and upstreams there and in another one."""
    simulation = Simulation(services=("dispatcher",), seeds=seeds)
    for host in NEAR:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    for host in FAR:
        simulation.add_agent(host, "dispatcher", zone="z2", knows_all_flows=True)
    for host in (B1, B2):
        simulation.add_balancer(host)
    return simulation


@pytest.fixture
def simulation() -> Simulation:
    simulation = make_simulation()
    simulation.run(3.0)
    return simulation


def end_flow(simulation: Simulation) -> Caller:
    """Open a flow through one balancer; have it end, and come to the other one."""
    caller = simulation.add_caller("dispatcher", B1, requests=LONG)
    simulation.run(0.05)
    holder = simulation.find_upstream_host(caller)
    assert holder in NEAR
    simulation.upstreams[holder].flows.clear()
    simulation.nodes[holder].flows.clear()
    simulation.balancer_by_flow[caller.flow] = B2
    return caller


def test_an_agent_that_is_gone_does_not_hold_up_a_search(
    simulation: Simulation,
) -> None:
    simulation.partitioned_hosts.add(FAR[0])
    simulation.run(10.0)
    caller = end_flow(simulation)
    simulation.run(GIVEN_UP_AFTER)
    assert caller.outcome == "reset"


def test_later_searches_do_not_wait_for_it_at_all(simulation: Simulation) -> None:
    simulation.partitioned_hosts.add(FAR[0])
    end_flow(simulation)
    simulation.run(GIVEN_UP_AFTER)
    caller = end_flow(simulation)
    simulation.run(0.5)
    assert caller.outcome == "reset"


def test_an_agent_whose_report_was_removed_is_asked(simulation: Simulation) -> None:
    """It is given up before a search needs it."""
    simulation.partitioned_hosts.add(FAR[0])
    simulation.run(1.0)
    removed = ReportsListed(reports=(), removed=(FAR[0],), now=simulation.now)
    simulation._dispatch(B2, removed)
    simulation.run(GIVEN_UP_AFTER)
    caller = end_flow(simulation)
    simulation.run(0.5)
    assert caller.outcome == "reset"


def test_an_agent_that_lives_is_kept_though_its_report_was_removed(
    simulation: Simulation,
) -> None:
    removed = ReportsListed(reports=(), removed=(FAR[0],), now=simulation.now)
    simulation._dispatch(B2, removed)
    simulation.run(GIVEN_UP_AFTER)
    view = simulation.nodes[B2].nodes.upstreams[FAR[0]]
    assert not view.lost
    assert not view.suspect


@pytest.fixture
def seeded() -> Simulation:
    """The same, where agents know the first balancer only."""
    simulation = make_simulation(B1)
    simulation.run(12.0)
    return simulation


def leave(simulation: Simulation, host: str) -> None:
    """Have an upstream say that it ends, and its VM go 2 s later."""
    simulation.unwatched_hosts.add(B2)
    simulation.withdraw_upstream(host)
    simulation.run(2.0)
    simulation.partitioned_hosts.add(host)


def test_all_balancers_are_told_of_an_upstream_that_ends(seeded: Simulation) -> None:
    seeded.unwatched_hosts.add(B2)
    seeded.withdraw_upstream(FAR[0])
    seeded.run(0.01)
    view = seeded.nodes[B2].nodes.upstreams[FAR[0]]
    assert view.report.state == UpstreamState.GONE


def test_a_living_flow_is_found_though_an_agent_has_just_left(
    seeded: Simulation,
) -> None:
    """All agents were restarted, so that only upstreams know who holds the flow."""
    caller = seeded.add_caller("dispatcher", B1, requests=LONG)
    seeded.run(1.0)
    seeded.balancer_by_flow[caller.flow] = "nowhere"
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
    seeded.balancer_by_flow[caller.flow] = B2
    seeded.run(0.7)
    assert caller.answers > answers
    assert not caller.outcome


def test_an_upstream_that_ends_is_told_of_by_few(seeded: Simulation) -> None:
    """Messages grow with balancers, not with pairs of them."""
    hosts = [f"10.0.1.{number}" for number in range(1, 9)]
    for host in hosts:
        seeded.add_balancer(host)
    seeded.run(2.0)
    before = seeded.count_messages(Roster)
    seeded.withdraw_upstream(FAR[1])
    seeded.run(0.05)
    assert seeded.count_messages(Roster) - before <= 2 * (len(hosts) + 2)


def test_an_agent_that_leaves_is_given_up_before_anyone_searches(
    seeded: Simulation,
) -> None:
    """Nothing at this balancer depends on it; it is asked because it is leaving."""
    leave(seeded, FAR[0])
    seeded.run(
        _failure_detection.IDLE_BEFORE_PROBE_SECONDS
        + _failure_detection.LOST_AFTER_SECONDS / 2
    )
    assert seeded.nodes[B2].nodes.upstreams[FAR[0]].lost
