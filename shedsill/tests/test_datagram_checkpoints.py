"""Checkpoints of open flows when all VMs lose power at once.

Guards against callers that wait for their deadline because no node knows their flow.
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
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

BALANCERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
AGENTS = ("10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4")
MANY_REQUESTS = 1000
"""Requests on a flow that lasts longer than a test."""
POWER_FAILURE_SECONDS = 1.5
"""Duration of the power failure."""
MAX_PACKET_BYTES = 1200


@pytest.fixture
def world() -> World:
    """Three balancers and four upstreams."""
    world = World(services=("dispatcher",))
    for host in AGENTS:
        world.add_agent(host, "dispatcher", first=True)
    for host in BALANCERS:
        world.add_balancer(host)
    world.run(3.0)
    return world


def open_flows(world: World, count: int = 30) -> list[Caller]:
    callers = [
        world.call("dispatcher", BALANCERS[n % 3], requests=MANY_REQUESTS)
        for n in range(count)
    ]
    world.run(4.5)
    assert all(caller.open and not caller.outcome for caller in callers)
    return callers


def drop_packets_of(world: World, callers: list[Caller]) -> None:
    """Drop all further packets of the callers."""
    for caller in callers:
        world.routers[caller.flow] = "nowhere"


def cut_power(world: World, *, upstreams: tuple[str, ...] = AGENTS) -> None:
    for host in (*BALANCERS, *AGENTS):
        world.kill(host)
    for host in upstreams:
        world.crash_upstream(host)


def restore_power(world: World, *, upstreams: tuple[str, ...] = AGENTS) -> None:
    for host in upstreams:
        world.start_upstream(host, "dispatcher")
    for host in AGENTS:
        world.add_agent(host, "dispatcher")
    for host in BALANCERS:
        world.add_balancer(host)


def test_flows_are_reset_after_power_failure(world: World) -> None:
    callers = open_flows(world)
    drop_packets_of(world, callers)
    cut_power(world)
    world.run(POWER_FAILURE_SECONDS)
    restore_power(world)
    world.run(1.0)
    assert [caller.outcome for caller in callers] == ["reset"] * len(callers)


def test_flows_are_reset_after_late_first_heartbeats(world: World) -> None:
    """Agents that answer before the first heartbeat do not know the new boots yet."""
    callers = open_flows(world)
    drop_packets_of(world, callers)
    cut_power(world)
    world.run(POWER_FAILURE_SECONDS)
    world.first_beat = 0.6
    restore_power(world)
    world.run(0.5)
    assert not world.resets
    world.run(0.7)
    assert len(world.resets) == len(callers)


def test_flows_of_live_upstreams_are_kept(world: World) -> None:
    """All nodes are killed, and one upstream of four ends meanwhile."""
    callers = open_flows(world)
    ended = AGENTS[:1]
    dead = {c.flow for c in callers if world.find_holder(c) in ended}
    assert 0 < len(dead) < len(callers)
    drop_packets_of(world, callers)
    cut_power(world, upstreams=ended)
    world.run(0.3)
    restore_power(world, upstreams=ended)
    world.run(6.0)
    assert {caller.flow for caller in world.resets} == dead


def test_restored_flows_are_served_after_restart_of_nodes(world: World) -> None:
    """All nodes are killed while the upstreams live on."""
    callers = open_flows(world)
    cut_power(world, upstreams=())
    world.run(0.3)
    restore_power(world, upstreams=())
    world.run(3.0)
    assert not world.resets
    answers = [caller.answers for caller in callers]
    world.run(2.0)
    assert all(c.answers > n for c, n in zip(callers, answers, strict=True))


def test_syn_of_restored_flow_is_placed_as_new_flow(world: World) -> None:
    """A caller may reuse its address and port after a power failure."""
    callers = open_flows(world, count=3)
    caller = callers[0]
    cut_power(world)
    world.run(POWER_FAILURE_SECONDS)
    for host in AGENTS[1:]:
        world.start_upstream(host, "dispatcher")
        world.add_agent(host, "dispatcher")
    world.add_balancer(BALANCERS[0])
    world.run(0.01)
    assert world.nodes[BALANCERS[0]].flows[caller.flow].restored
    caller.open = False
    caller.answers = 0
    caller.begin()
    world.run(2.0)
    assert caller.open
    assert caller.answers > 1
    assert not caller.outcome


def test_outdated_checkpoint_is_ignored(world: World) -> None:
    """Ports of its flows may be in use again."""
    callers = open_flows(world)
    drop_packets_of(world, callers)
    cut_power(world)
    world.run(_checkpoint_collection.MAX_CHECKPOINT_AGE_SECONDS + 0.1)
    restore_power(world)
    world.run(3.0)
    assert not world.resets


def test_restart_after_planned_stop_restores_no_flows(world: World) -> None:
    open_flows(world)
    world.stop(BALANCERS[1])
    world.run(0.1)
    world.kill(BALANCERS[1])
    world.run(0.3)
    world.add_balancer(BALANCERS[1])
    world.run(0.01)
    assert not world.nodes[BALANCERS[1]].flows


def test_next_collector_takes_over_from_killed_one(world: World) -> None:
    callers = open_flows(world)
    world.kill(BALANCERS[0])
    for number, caller in enumerate(callers):
        world.routers[caller.flow] = BALANCERS[1 + number % 2]
    world.run(10.0)
    assert set(world.checkpoint) == {BALANCERS[1], BALANCERS[2]}
    assert sum(map(len, world.checkpoint.values())) >= len(callers)


def test_restarted_collector_is_chosen_again(world: World) -> None:
    open_flows(world)
    world.kill(BALANCERS[0])
    world.run(8.0)
    states = [world.nodes[host] for host in BALANCERS[1:]]
    assert {s.checkpoints.collector for s in states} == {BALANCERS[1]}
    world.add_balancer(BALANCERS[0])
    world.run(_checkpoint_collection.SILENT_COLLECTOR_BACKOFF_SECONDS + 3.0)
    assert {s.checkpoints.collector for s in states} == {BALANCERS[0]}


def test_short_and_idle_flows_cause_no_write(world: World) -> None:
    before = world.checkpoint_at
    for _ in range(20):
        world.call("dispatcher", BALANCERS[1])
        world.run(0.2)
    world.run(6.0)
    assert world.checkpoint_at == before


def test_number_of_writes_is_independent_of_balancer_count() -> None:
    """Twelve balancers cause as many writes as three."""
    writes = []
    for balancers in (3, 12):
        world = World(services=("dispatcher",))
        world.add_agent(AGENTS[0], "dispatcher", first=True)
        hosts = [f"10.0.0.{n + 10}" for n in range(balancers)]
        for host in hosts:
            world.add_balancer(host)
        world.run(3.0)
        for number in range(24):
            world.call("dispatcher", hosts[number % balancers], requests=MANY_REQUESTS)
        write_times = set()
        for _ in range(200):
            world.run(0.1)
            write_times.add(world.checkpoint_at)
        writes.append(len(write_times))
    assert abs(writes[0] - writes[1]) <= 1
    assert writes[1] <= 20.0 / _checkpoint_collection.CHECKPOINT_INTERVAL_SECONDS + 1


def test_checkpoint_part_fits_into_packet() -> None:
    flow = OpenFlow(
        flow=bytes(12),
        host="10.123.123.123",
        service="s" * 16,
        boot="i-" + "f" * 10,
        caller_ack=2**32 - 1,
    )
    flows = [flow] * _checkpoint_collection.FLOWS_PER_MESSAGE
    data = encode_message(CheckpointPart(number=2**31, flows=flows))
    assert len(data) <= MAX_PACKET_BYTES
    assert decode_message(encode_message(CheckpointTaken())) == CheckpointTaken()


def test_late_checkpoint_does_not_replace_known_flow(world: World) -> None:
    callers = open_flows(world, count=3)
    state = world.nodes[BALANCERS[0]]
    key = callers[0].flow
    flow = state.flows[key]
    stale = OpenFlow(
        flow=key, host="10.1.0.9", service="dispatcher", boot="i-0", caller_ack=0
    )
    read = CheckpointRead(
        parts={BALANCERS[0]: [stale]}, age=1.0, at_start=True, now=world.now
    )
    world._dispatch(BALANCERS[0], read)
    assert state.flows[key] is flow


def test_flow_known_to_two_balancers_is_stored_once(world: World) -> None:
    """The balancer that routers use now has the latest acknowledgement number."""
    (caller,) = open_flows(world, count=1)
    world.routers[caller.flow] = BALANCERS[2]
    world.run(6.0)
    assert caller.flow in world.nodes[BALANCERS[0]].flows
    stored = {
        host: flow.caller_ack
        for host, flows in world.checkpoint.items()
        for flow in flows
        if flow.flow == caller.flow
    }
    assert list(stored) == [BALANCERS[2]]
    outdated = world.nodes[BALANCERS[0]].flows[caller.flow].caller_ack
    assert measure_advance(stored[BALANCERS[2]], outdated) > 0


def test_flow_with_request_sent_during_power_failure_is_reset(world: World) -> None:
    """Idle flows are in the checkpoint too, as their next request may get lost."""
    callers = open_flows(world)
    for caller in callers:
        caller.requests = caller.answers + 1
    world.run(5.0)
    drop_packets_of(world, callers)
    for caller in callers:
        caller.outcome = ""
    cut_power(world)
    world.run(POWER_FAILURE_SECONDS)
    restore_power(world)
    world.run(1.0)
    assert len(world.resets) == len(callers)


def test_checkpoint_taken_from_unknown_host_is_ignored(world: World) -> None:
    event = MessageReceived(message=CheckpointTaken(), source="10.9.9.9", now=world.now)
    world._dispatch(BALANCERS[0], event)
    world.run(3.0)
    assert not world.resets
