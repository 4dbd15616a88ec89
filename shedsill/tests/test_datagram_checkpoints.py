"""Callers at work when all VMs lose power.

Pattern: many callers with long flows, each with a request at work, when balancers,
agents and upstreams go at the same moment and come back 1.5 s later.  Each caller has
had its request acknowledged, so it sends nothing more; seen on deployments of long
flows, where 409 of 446 callers without an answer had waited for the rest of their
deadline of 3 s after such a loss.  A caller that is told within 1 s of the return has
time for another try.

The simulation in memory stands in for VMs and store; callers that are silent are those
whose packets are led nowhere.
"""

from __future__ import annotations

import pytest

from shedsill.datagram import _checkpoint_collection
from shedsill.datagram._events import CheckpointRead, MessageReceived
from shedsill.datagram._messages import (
    CheckpointPart,
    CheckpointTaken,
    OpenFlow,
    decode_message,
    encode_message,
)
from shedsill.datagram._packet import measure_advance
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import Caller

BALANCERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
AGENTS = ("10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4")
LONG = 1000
"""Requests on a flow that outlives what is done to it here."""
DARK = 1.5
"""Seconds without power."""
PACKET_OCTETS = 1200


@pytest.fixture
def simulation() -> Simulation:
    """Three balancers and four upstreams."""
    simulation = Simulation(services=("dispatcher",))
    for host in AGENTS:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    for host in BALANCERS:
        simulation.add_balancer(host)
    simulation.run(3.0)
    return simulation


def open_flows(simulation: Simulation, count: int = 30) -> list[Caller]:
    callers = [
        simulation.add_caller("dispatcher", BALANCERS[n % 3], requests=LONG)
        for n in range(count)
    ]
    simulation.run(4.5)
    assert all(caller.is_open and not caller.outcome for caller in callers)
    return callers


def silence(simulation: Simulation, callers: list[Caller]) -> None:
    """Have callers send nothing more: all they sent was acknowledged."""
    for caller in callers:
        simulation.balancer_by_flow[caller.flow] = "nowhere"


def cut_power(simulation: Simulation, *, upstreams: tuple[str, ...] = AGENTS) -> None:
    for host in (*BALANCERS, *AGENTS):
        simulation.kill(host)
    for host in upstreams:
        simulation.crash_upstream(host)


def return_power(
    simulation: Simulation, *, upstreams: tuple[str, ...] = AGENTS
) -> None:
    for host in upstreams:
        simulation.start_upstream(host, "dispatcher")
    for host in AGENTS:
        simulation.add_agent(host, "dispatcher")
    for host in BALANCERS:
        simulation.add_balancer(host)


def test_callers_at_work_are_freed_when_power_is_back(simulation: Simulation) -> None:
    callers = open_flows(simulation)
    silence(simulation, callers)
    cut_power(simulation)
    simulation.run(DARK)
    return_power(simulation)
    simulation.run(1.0)
    assert [caller.outcome for caller in callers] == ["reset"] * len(callers)


def test_they_are_freed_where_upstreams_are_slow_to_say_so(
    simulation: Simulation,
) -> None:
    """The agents answer first, and do not know the new runs yet."""
    callers = open_flows(simulation)
    silence(simulation, callers)
    cut_power(simulation)
    simulation.run(DARK)
    simulation.first_heartbeat_delay = 0.6
    return_power(simulation)
    simulation.run(0.5)
    assert not simulation.reset_callers
    simulation.run(0.7)
    assert len(simulation.reset_callers) == len(callers)


def test_flows_of_upstreams_that_live_are_kept(simulation: Simulation) -> None:
    """All nodes were killed, and one upstream of four ended meanwhile."""
    callers = open_flows(simulation)
    ended = AGENTS[:1]
    dead = {c.flow for c in callers if simulation.find_upstream_host(c) in ended}
    assert 0 < len(dead) < len(callers)
    silence(simulation, callers)
    cut_power(simulation, upstreams=ended)
    simulation.run(0.3)
    return_power(simulation, upstreams=ended)
    simulation.run(6.0)
    assert {caller.flow for caller in simulation.reset_callers} == dead


def test_restored_flows_find_their_upstream_at_once(simulation: Simulation) -> None:
    """The caches are full again after all nodes were killed."""
    callers = open_flows(simulation)
    cut_power(simulation, upstreams=())
    simulation.run(0.3)
    return_power(simulation, upstreams=())
    simulation.run(3.0)
    assert not simulation.reset_callers
    answers = [caller.answers for caller in callers]
    simulation.run(2.0)
    assert all(c.answers > n for c, n in zip(callers, answers, strict=True))


def test_an_opening_with_the_same_ports_is_placed_anew(simulation: Simulation) -> None:
    """A caller may use its address and port again; the old flow counts for nothing."""
    callers = open_flows(simulation, count=3)
    caller = callers[0]
    cut_power(simulation)
    simulation.run(DARK)
    for host in AGENTS[1:]:
        simulation.start_upstream(host, "dispatcher")
        simulation.add_agent(host, "dispatcher")
    simulation.add_balancer(BALANCERS[0])
    simulation.run(0.01)
    assert simulation.nodes[BALANCERS[0]].flows[caller.flow].restored
    caller.is_open = False
    caller.answers = 0
    caller.open_flow()
    simulation.run(2.0)
    assert caller.is_open
    assert caller.answers > 1
    assert not caller.outcome


def test_an_old_checkpoint_is_not_used(simulation: Simulation) -> None:
    """Its flows' ports may be in use again."""
    callers = open_flows(simulation)
    silence(simulation, callers)
    cut_power(simulation)
    simulation.run(_checkpoint_collection.MAX_CHECKPOINT_AGE_SECONDS + 0.1)
    return_power(simulation)
    simulation.run(3.0)
    assert not simulation.reset_callers


def test_a_planned_stop_reads_no_checkpoint(simulation: Simulation) -> None:
    open_flows(simulation)
    simulation.stop(BALANCERS[1])
    simulation.run(0.1)
    simulation.kill(BALANCERS[1])
    simulation.run(0.3)
    simulation.add_balancer(BALANCERS[1])
    simulation.run(0.01)
    assert not simulation.nodes[BALANCERS[1]].flows


def test_another_collector_takes_over(simulation: Simulation) -> None:
    callers = open_flows(simulation)
    simulation.kill(BALANCERS[0])
    for number, caller in enumerate(callers):
        simulation.balancer_by_flow[caller.flow] = BALANCERS[1 + number % 2]
    simulation.run(10.0)
    assert set(simulation.checkpoint) == {BALANCERS[1], BALANCERS[2]}
    assert sum(map(len, simulation.checkpoint.values())) >= len(callers)


def test_a_collector_that_is_back_is_chosen_again(simulation: Simulation) -> None:
    open_flows(simulation)
    simulation.kill(BALANCERS[0])
    simulation.run(8.0)
    states = [simulation.nodes[host] for host in BALANCERS[1:]]
    assert {s.checkpoints.collector for s in states} == {BALANCERS[1]}
    simulation.add_balancer(BALANCERS[0])
    simulation.run(_checkpoint_collection.SILENT_COLLECTOR_BACKOFF_SECONDS + 3.0)
    assert {s.checkpoints.collector for s in states} == {BALANCERS[0]}


def test_short_and_resting_flows_cost_no_write(simulation: Simulation) -> None:
    before = simulation.checkpoint_at
    for _ in range(20):
        simulation.add_caller("dispatcher", BALANCERS[1])
        simulation.run(0.2)
    simulation.run(6.0)
    assert simulation.checkpoint_at == before


def test_the_store_is_written_once_an_interval_whatever_the_size() -> None:
    """Twelve balancers make as many writes as three."""
    writes = []
    for balancers in (3, 12):
        simulation = Simulation(services=("dispatcher",))
        simulation.add_agent(AGENTS[0], "dispatcher", knows_all_flows=True)
        hosts = [f"10.0.0.{n + 10}" for n in range(balancers)]
        for host in hosts:
            simulation.add_balancer(host)
        simulation.run(3.0)
        for number in range(24):
            simulation.add_caller(
                "dispatcher", hosts[number % balancers], requests=LONG
            )
        seen = set()
        for _ in range(200):
            simulation.run(0.1)
            seen.add(simulation.checkpoint_at)
        writes.append(len(seen))
    assert abs(writes[0] - writes[1]) <= 1
    assert writes[1] <= 20.0 / _checkpoint_collection.CHECKPOINT_INTERVAL_SECONDS + 1


def test_a_message_of_open_flows_fits_a_packet() -> None:
    flow = OpenFlow(
        flow=bytes(12),
        host="10.123.123.123",
        service="s" * 16,
        boot="i-" + "f" * 10,
        caller_ack=2**32 - 1,
    )
    flows = [flow] * _checkpoint_collection.FLOWS_PER_MESSAGE
    octets = encode_message(CheckpointPart(number=2**31, flows=flows))
    assert len(octets) <= PACKET_OCTETS
    assert decode_message(encode_message(CheckpointTaken())) == CheckpointTaken()


def test_what_is_known_already_is_left_alone(simulation: Simulation) -> None:
    """A checkpoint that is read late, after flows have moved on."""
    callers = open_flows(simulation, count=3)
    state = simulation.nodes[BALANCERS[0]]
    key = callers[0].flow
    known = state.flows[key]
    stale = OpenFlow(
        flow=key, host="10.1.0.9", service="dispatcher", boot="i-0", caller_ack=0
    )
    read = CheckpointRead(
        parts={BALANCERS[0]: [stale]}, age=1.0, at_start=True, now=simulation.now
    )
    simulation._dispatch(BALANCERS[0], read)
    assert state.flows[key] is known


def test_a_flow_that_two_balancers_know_is_kept_once(simulation: Simulation) -> None:
    """The one that routers use now knows how far the caller has got."""
    (caller,) = open_flows(simulation, count=1)
    simulation.balancer_by_flow[caller.flow] = BALANCERS[2]
    simulation.run(6.0)
    assert caller.flow in simulation.nodes[BALANCERS[0]].flows
    kept = {
        host: flow.caller_ack
        for host, flows in simulation.checkpoint.items()
        for flow in flows
        if flow.flow == caller.flow
    }
    assert list(kept) == [BALANCERS[2]]
    behind = simulation.nodes[BALANCERS[0]].flows[caller.flow].caller_ack
    assert measure_advance(kept[BALANCERS[2]], behind) > 0


def test_a_caller_that_asks_in_the_dark_is_freed(simulation: Simulation) -> None:
    """It had rested, and its next copy goes to a balancer that has not started."""
    callers = open_flows(simulation)
    for caller in callers:
        caller.requests = caller.answers + 1
    simulation.run(5.0)
    silence(simulation, callers)
    for caller in callers:
        caller.outcome = ""
    cut_power(simulation)
    simulation.run(DARK)
    return_power(simulation)
    simulation.run(1.0)
    assert len(simulation.reset_callers) == len(callers)


def test_an_answer_of_anyone_is_taken(simulation: Simulation) -> None:
    event = MessageReceived(
        message=CheckpointTaken(), source="10.9.9.9", now=simulation.now
    )
    simulation._dispatch(BALANCERS[0], event)
    simulation.run(3.0)
    assert not simulation.reset_callers
