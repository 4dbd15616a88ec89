"""A balancer that receives no messages for a while resets no live flow.

Guards against attributing lost messages of the balancer itself to failed agents.
"""

from __future__ import annotations

import pytest

from shedsill._catalogue import LogEvent
from shedsill.datagram._failure_detection import LOST_AFTER_SECONDS
from shedsill.testing.datagram_simulation import PacketLoss, Simulation
from shedsill.testing.flow_endpoints import Caller

BALANCER_1, BALANCER_2, BALANCER_3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
AGENTS = tuple(f"10.1.0.{number}" for number in range(1, 9))
MANY_REQUESTS = 40
"""Requests on a flow that lasts longer than a test."""


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers and eight upstreams that all know each other."""
    simulation = Simulation(services=("dispatcher",))
    for host in AGENTS:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    simulation.run(3.0)
    return simulation


def open_flows(simulation: Simulation, balancer: str = BALANCER_1) -> list[Caller]:
    """Return callers with long flows that are spread over the upstreams."""
    callers = []
    for _ in range(3 * len(AGENTS)):
        callers.append(
            simulation.add_caller("dispatcher", balancer, requests=MANY_REQUESTS)
        )
        simulation.run(0.05)
    holders = {simulation.find_upstream_host(caller) for caller in callers}
    assert "" not in holders
    assert len(holders) > len(AGENTS) / 2
    return callers


def restart_balancer(simulation: Simulation, host: str) -> None:
    simulation.kill(host)
    simulation.run(0.3)
    simulation.add_balancer(host)


def count_lost_agents(simulation: Simulation) -> int:
    return sum(
        note.event == LogEvent.UPSTREAM_LOST for _host, note in simulation.log_entries
    )


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("isolation", [1.5, 5.0])
def test_flows_are_kept_when_agents_become_reachable_one_by_one(
    simulation: Simulation, isolation: float, restarted: bool
) -> None:
    open_flows(simulation)
    if restarted:
        restart_balancer(simulation, BALANCER_1)
    unreachable = set(AGENTS)
    simulation.is_lost = lambda source, host: (
        (source in unreachable and host == BALANCER_1)
        or (source == BALANCER_1 and host in unreachable)
    )
    simulation.run(isolation)
    for host in AGENTS:
        unreachable.discard(host)
        simulation.run(0.08)
    simulation.run(3.0)
    assert not simulation.reset_callers
    assert count_lost_agents(simulation) == 0


@pytest.mark.parametrize("seed", range(5))
def test_flows_are_kept_on_link_that_drops_most_messages(
    simulation: Simulation, seed: int
) -> None:
    open_flows(simulation)
    simulation.is_lost = PacketLoss(BALANCER_1, 0.6, seed)
    simulation.run(8.0)
    simulation.is_lost = lambda source, host: False
    simulation.run(2.0)
    assert not simulation.reset_callers


def test_dead_agent_is_given_up_after_isolation_of_balancer(
    simulation: Simulation,
) -> None:
    """Its silence is measured again after the balancer's messages get through."""
    callers = open_flows(simulation)
    dead = simulation.find_upstream_host(callers[0])
    simulation.upstreams[dead].alive = False
    simulation.partitioned_hosts.add(dead)
    simulation.run(LOST_AFTER_SECONDS / 2)
    simulation.partitioned_hosts.add(BALANCER_1)
    simulation.run(3.0)
    simulation.partitioned_hosts.discard(BALANCER_1)
    simulation.run(LOST_AFTER_SECONDS + 0.7)
    assert callers[0].outcome == "reset"


@pytest.mark.parametrize("seed", range(40))
def test_last_reachable_agent_after_isolation_is_not_given_up(seed: int) -> None:
    """The other agents answer just in time, so that the balancer is not isolated."""
    simulation = Simulation(services=("dispatcher",))
    for host in AGENTS[:5]:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    simulation.run(3.0)
    for _ in range(10):
        simulation.add_caller("dispatcher", BALANCER_1, requests=MANY_REQUESTS)
        simulation.run(0.05)
    restart_balancer(simulation, BALANCER_1)
    simulation.is_lost = losses = PacketLoss(BALANCER_1, 1.0, seed)
    for losses.loss_share in (1.0, 0.6, 0.3):
        simulation.run(1.5)
    simulation.is_lost = lambda source, host: False
    simulation.run(2.0)
    assert not simulation.reset_callers


@pytest.mark.parametrize("cut_off", [0.2, 0.3, 0.45, 0.6])
def test_agent_is_kept_whose_silence_ends_in_isolation_of_balancer(
    simulation: Simulation, cut_off: float
) -> None:
    """Too short a time for the other agents to count as silent, too."""
    callers = open_flows(simulation)
    host = simulation.find_upstream_host(callers[0])
    simulation.is_lost = lambda *hosts: {*hosts} == {BALANCER_1, host}
    simulation.run(0.2)
    while simulation.nodes[BALANCER_1].nodes.upstreams[host].silent_since is None:
        simulation.run(0.04)
    simulation.run(LOST_AFTER_SECONDS - cut_off + 0.1)
    simulation.is_lost = lambda source, host: (
        BALANCER_1 in (source, host) and source != "caller"
    )
    simulation.run(cut_off)
    simulation.is_lost = lambda source, host: False
    simulation.run(2.0)
    assert not simulation.reset_callers
    assert count_lost_agents(simulation) == 0


def test_dead_agent_is_given_up_in_time_while_all_others_are_idle() -> None:
    """Checking the balancer's own link takes a round trip and a tick."""
    simulation = Simulation(services=("dispatcher",))
    for host in AGENTS:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_balancer(BALANCER_1)
    simulation.run(3.0)
    caller = simulation.add_caller("dispatcher", BALANCER_1, requests=1000)
    simulation.run(0.05)
    dead = simulation.find_upstream_host(caller)
    simulation.upstreams[dead].alive = False
    simulation.partitioned_hosts.add(dead)
    view = simulation.nodes[BALANCER_1].nodes.upstreams[dead]
    while view.silent_since is None:
        simulation.run(0.04)
    simulation.run(view.silent_since + LOST_AFTER_SECONDS + 0.12 - simulation.now)
    assert view.lost
