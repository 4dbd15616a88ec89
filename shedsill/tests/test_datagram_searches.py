"""Searches for flows among agents that a balancer has no flows at.

Guards against searches that wait for agents which have left unnoticed.
"""

from __future__ import annotations

import pytest

from shedsill.datagram import _failure_detection
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._flow_placement import MAX_OFFERS
from shedsill.datagram._messages import Roster, UpstreamState
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import Caller

BALANCER_1, BALANCER_2, BALANCER_3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
LOCAL_AGENTS = ("10.1.0.1", "10.1.0.2")
REMOTE_AGENTS = ("10.2.0.1", "10.2.0.2", "10.2.0.3")
MANY_REQUESTS = 1000
GIVEN_UP_AFTER_SECONDS = (
    _failure_detection.LOST_AFTER_SECONDS
    + 2 * _failure_detection.PROBE_INTERVAL_SECONDS
    + 0.3
)
"""Time after which an agent that has left delays no caller any more."""


def make_simulation(*seeds: str) -> Simulation:
    """Return two balancers in one zone, with upstreams there and in another zone."""
    simulation = Simulation(services=("dispatcher",), seeds=seeds)
    for host in LOCAL_AGENTS:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    for host in REMOTE_AGENTS:
        simulation.add_agent(host, "dispatcher", zone="z2", knows_all_flows=True)
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    return simulation


@pytest.fixture
def simulation() -> Simulation:
    simulation = make_simulation()
    simulation.run(3.0)
    return simulation


def move_ended_flow(simulation: Simulation) -> Caller:
    """Open a flow through one balancer, remove it and route it to the other one."""
    caller = simulation.add_caller("dispatcher", BALANCER_1, requests=MANY_REQUESTS)
    simulation.run(0.05)
    holder = simulation.find_upstream_host(caller)
    assert holder in LOCAL_AGENTS
    simulation.upstreams[holder].flows.clear()
    simulation.nodes[holder].flows.clear()
    simulation.balancer_by_flow[caller.flow] = BALANCER_2
    return caller


def test_search_does_not_wait_for_vanished_agent(simulation: Simulation) -> None:
    simulation.partitioned_hosts.add(REMOTE_AGENTS[0])
    simulation.run(10.0)
    caller = move_ended_flow(simulation)
    simulation.run(GIVEN_UP_AFTER_SECONDS)
    assert caller.outcome == "reset"


def test_later_search_does_not_wait_for_lost_agent(simulation: Simulation) -> None:
    simulation.partitioned_hosts.add(REMOTE_AGENTS[0])
    move_ended_flow(simulation)
    simulation.run(GIVEN_UP_AFTER_SECONDS)
    caller = move_ended_flow(simulation)
    simulation.run(0.5)
    assert caller.outcome == "reset"


def test_agent_whose_report_was_removed_is_probed(simulation: Simulation) -> None:
    """The agent is given up before a search has to wait for it."""
    simulation.partitioned_hosts.add(REMOTE_AGENTS[0])
    simulation.run(1.0)
    removed = ReportsListed(reports=(), removed=(REMOTE_AGENTS[0],), now=simulation.now)
    simulation._dispatch(BALANCER_2, removed)
    simulation.run(GIVEN_UP_AFTER_SECONDS)
    caller = move_ended_flow(simulation)
    simulation.run(0.5)
    assert caller.outcome == "reset"


def test_live_agent_is_kept_after_removal_of_its_report(
    simulation: Simulation,
) -> None:
    removed = ReportsListed(reports=(), removed=(REMOTE_AGENTS[0],), now=simulation.now)
    simulation._dispatch(BALANCER_2, removed)
    simulation.run(GIVEN_UP_AFTER_SECONDS)
    view = simulation.nodes[BALANCER_2].nodes.upstreams[REMOTE_AGENTS[0]]
    assert not view.lost
    assert not view.suspect


@pytest.fixture
def seeded_simulation() -> Simulation:
    """Return the same nodes, with the first balancer as the only seed."""
    simulation = make_simulation(BALANCER_1)
    simulation.run(12.0)
    return simulation


def announce_end_and_cut_off(simulation: Simulation, host: str) -> None:
    """Have an upstream announce its end and cut its VM off 2 s later."""
    simulation.unwatched_hosts.add(BALANCER_2)
    simulation.withdraw_upstream(host)
    simulation.run(2.0)
    simulation.partitioned_hosts.add(host)


def test_end_of_upstream_is_relayed_to_all_balancers(
    seeded_simulation: Simulation,
) -> None:
    seeded_simulation.unwatched_hosts.add(BALANCER_2)
    seeded_simulation.withdraw_upstream(REMOTE_AGENTS[0])
    seeded_simulation.run(0.01)
    view = seeded_simulation.nodes[BALANCER_2].nodes.upstreams[REMOTE_AGENTS[0]]
    assert view.report.state == UpstreamState.GONE


def test_live_flow_is_found_after_another_agent_has_left(
    seeded_simulation: Simulation,
) -> None:
    """All agents were restarted, so that only the upstreams know their flows."""
    caller = seeded_simulation.add_caller(
        "dispatcher", BALANCER_1, requests=MANY_REQUESTS
    )
    seeded_simulation.run(1.0)
    seeded_simulation.balancer_by_flow[caller.flow] = "nowhere"
    for host in (*LOCAL_AGENTS, *REMOTE_AGENTS):
        seeded_simulation.kill(host)
    seeded_simulation.run(0.2)
    for host in (*LOCAL_AGENTS, *REMOTE_AGENTS):
        zone = "z1" if host in LOCAL_AGENTS else "z2"
        seeded_simulation.add_agent(host, "dispatcher", zone=zone)
    seeded_simulation.run(11.0)
    announce_end_and_cut_off(seeded_simulation, REMOTE_AGENTS[0])
    seeded_simulation.run(0.8)
    answers = caller.answers
    seeded_simulation.balancer_by_flow[caller.flow] = BALANCER_2
    seeded_simulation.run(0.7)
    assert caller.answers > answers
    assert not caller.outcome


def test_end_of_upstream_is_relayed_by_few_balancers(
    seeded_simulation: Simulation,
) -> None:
    """Messages grow linearly with the number of balancers."""
    hosts = [f"10.0.1.{number}" for number in range(1, 9)]
    for host in hosts:
        seeded_simulation.add_balancer(host)
    seeded_simulation.run(2.0)
    before = seeded_simulation.count_messages(Roster)
    seeded_simulation.withdraw_upstream(REMOTE_AGENTS[1])
    seeded_simulation.run(0.05)
    assert seeded_simulation.count_messages(Roster) - before <= 2 * (len(hosts) + 2)


def test_leaving_agent_is_given_up_before_any_search(
    seeded_simulation: Simulation,
) -> None:
    """The balancer has no flows at the agent, but probes it because it is leaving."""
    announce_end_and_cut_off(seeded_simulation, REMOTE_AGENTS[0])
    seeded_simulation.run(
        _failure_detection.IDLE_BEFORE_PROBE_SECONDS
        + _failure_detection.LOST_AFTER_SECONDS / 2
    )
    assert seeded_simulation.nodes[BALANCER_2].nodes.upstreams[REMOTE_AGENTS[0]].lost


def test_flow_placed_elsewhere_is_searched_where_its_syn_found_no_upstream(
    simulation: Simulation,
) -> None:
    """A record without any upstream swallows all later packets of the flow."""
    simulation.store_available = False
    simulation.add_balancer(BALANCER_3)
    caller = simulation.add_caller("dispatcher", BALANCER_3, requests=MANY_REQUESTS)
    simulation.run(0.15)
    assert not simulation.nodes[BALANCER_3].flows[caller.flow].offered
    simulation.balancer_by_flow[caller.flow] = BALANCER_1
    simulation.run(0.0515)
    simulation.balancer_by_flow[caller.flow] = BALANCER_3
    simulation.run(0.1)
    assert caller.is_open
    simulation.restore_store()
    simulation.run(1.0)
    assert caller.answers > 0
    assert not caller.outcome


def test_flow_placed_elsewhere_is_searched_after_offered_upstreams_were_lost() -> None:
    """Agents that were offered the SYN and never answered hold back a search."""
    simulation = Simulation(services=("dispatcher",))
    failed = (*LOCAL_AGENTS, *REMOTE_AGENTS[:2])
    assert len(failed) == MAX_OFFERS
    for host in failed:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_balancer(BALANCER_1)
    simulation.run(3.0)
    simulation.partitioned_hosts |= {*failed}
    simulation.stored_reports.clear()
    simulation.unwatched_hosts.add(BALANCER_1)
    for number in range(1, 2 * len(failed)):
        simulation.add_agent(f"10.3.0.{number}", "dispatcher", knows_all_flows=True)
    simulation.run(0.1)
    between_balancers = {BALANCER_1, BALANCER_2}
    simulation.is_lost = lambda source, host: {source, host} == between_balancers
    simulation.add_balancer(BALANCER_2)
    caller = simulation.add_caller("dispatcher", BALANCER_1, requests=MANY_REQUESTS)
    simulation.run(0.55)
    assert set(simulation.nodes[BALANCER_1].flows[caller.flow].offered) == {*failed}
    simulation.balancer_by_flow[caller.flow] = BALANCER_2
    simulation.run(0.0515)
    simulation.balancer_by_flow[caller.flow] = BALANCER_1
    simulation.run(0.1)
    assert caller.is_open
    simulation.read_reports(BALANCER_1)
    simulation.run(GIVEN_UP_AFTER_SECONDS + 0.5)
    assert caller.answers > 0
    assert not caller.outcome
