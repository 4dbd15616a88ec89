"""Copies of a SYN that are delivered after the upstream has answered the first one."""

from __future__ import annotations

import pytest

from shedsill.datagram._packet import SYN
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import FLAG_BITS, Caller

SERVICE = "dispatcher"
BALANCER, OTHER_BALANCER = "10.0.0.1", "10.0.0.2"
AGENT = "10.1.0.1"


@pytest.fixture
def simulation() -> Simulation:
    simulation = Simulation(services=(SERVICE,))
    simulation.add_agent(AGENT, SERVICE, knows_all_flows=True)
    for host in (BALANCER, OTHER_BALANCER):
        simulation.add_balancer(host)
    simulation.run(0.2)
    simulation.upstreams[AGENT].bounces_syn_copies = True
    return simulation


def send_syn_copy(simulation: Simulation, caller: Caller, balancer: str) -> None:
    """Deliver a copy of a caller's SYN through a balancer."""
    own = simulation.balancer_by_flow[caller.flow]
    simulation.balancer_by_flow[caller.flow] = balancer
    caller.send(caller._make_packet(FLAG_BITS[SYN], ack=1))
    simulation.balancer_by_flow[caller.flow] = own


@pytest.mark.parametrize("balancer", [BALANCER, OTHER_BALANCER])
def test_bounced_syn_copy_of_open_flow_does_not_end_it(
    simulation: Simulation, balancer: str
) -> None:
    """The agent forgot the flow, denied its next packet, and a balancer reset it."""
    caller = simulation.add_caller(SERVICE, BALANCER, requests=4)
    simulation.run(0.1)
    assert caller.is_open
    send_syn_copy(simulation, caller, balancer)
    simulation.run(3.0)
    assert caller.outcome == "answered"
