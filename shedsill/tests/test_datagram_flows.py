"""Opaque flows during faults and planned operations, with the real reducers."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._failure_detection import (
    LOST_AFTER_SECONDS,
    RETIRED_RETENTION_SECONDS,
    STOPPING_LOST_AFTER_SECONDS,
)
from shedsill.datagram._membership import TABLE_PULL_DELAY_SECONDS
from shedsill.datagram._messages import Locate, Roster, UpstreamState
from shedsill.datagram._search_state import LOCATE_TIMEOUT_SECONDS
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

B1, B2, B3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
A1, A2, A3 = "10.1.0.1", "10.1.0.2", "10.1.0.3"
OTHER = "10.2.0.1"


@pytest.fixture
def world() -> World:
    """Two balancers, two upstreams of one service and one of another."""
    world = World(services=("dispatcher", "intake"))
    for host in (A1, A2):
        world.add_agent(host, "dispatcher", first=True)
    world.add_agent(OTHER, "intake", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(0.2)
    return world


def open_flow(world: World, balancer: str = B1) -> Caller:
    """Return a caller with an open flow and a running request."""
    caller = world.call("dispatcher", balancer)
    world.run(0.02)
    assert caller.open and world.find_holder(caller)
    return caller


def count_events(world: World, event: LogEvent) -> int:
    return sum(note.event == event for _host, note in world.notes)


def test_request_is_answered(world: World) -> None:
    caller = world.call("dispatcher", B1)
    world.run(0.2)
    assert caller.outcome == "answered"


def test_services_get_only_their_own_flows(world: World) -> None:
    callers = [world.call(s, B1) for s in ("dispatcher", "intake") * 5]
    world.run(0.5)
    assert [c.outcome for c in callers] == ["answered"] * 10
    assert len(world.upstreams[OTHER].runs) == 5


def test_flow_moved_to_another_balancer_is_found(world: World) -> None:
    caller = open_flow(world)
    world.routers[caller.flow] = B2
    world.run(0.01)
    caller.send_request()
    world.run(0.01)
    assert count_events(world, LogEvent.FLOW_FOUND) == 1
    world.run(0.2)
    assert caller.outcome == "answered"


def test_flow_is_found_by_restarted_balancer(world: World) -> None:
    caller = open_flow(world)
    world.kill(B1)
    world.add_balancer(B1)
    caller.send_request()
    world.run(0.2)
    assert caller.outcome == "answered"
    assert not world.resets


def test_flow_is_recovered_by_restarted_agent(world: World) -> None:
    caller = open_flow(world)
    world.kill(world.find_holder(caller))
    world.run(0.05)
    world.add_agent(world.find_holder(caller), "dispatcher")
    world.run(0.5)
    assert caller.outcome == "answered"
    assert not world.resets


def test_live_flow_is_kept_after_restart_of_all_nodes(world: World) -> None:
    caller = open_flow(world)
    for host in (A1, A2, OTHER, B1, B2):
        world.kill(host)
    for host in (A1, A2):
        world.add_agent(host, "dispatcher")
    world.add_agent(OTHER, "intake")
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(1.0)
    assert caller.outcome == "answered"
    assert not world.resets


def test_flow_of_crashed_upstream_is_reset(world: World) -> None:
    caller = open_flow(world)
    world.crash_upstream(world.find_holder(caller))
    world.run(1.2)
    assert caller.outcome == "reset"


def test_idle_flow_is_reset_when_upstream_restarts(world: World) -> None:
    caller = open_flow(world)
    host = world.find_holder(caller)
    world.crash_upstream(host)
    world.start_upstream(host, "dispatcher")
    world._send_beat(host)
    world.run(0.01)
    assert caller.outcome == "reset"


def test_flow_is_reset_when_agent_and_upstream_restart(world: World) -> None:
    caller = open_flow(world)
    host = world.find_holder(caller)
    world.kill(host)
    world.crash_upstream(host)
    world.start_upstream(host, "dispatcher")
    world.add_agent(host, "dispatcher")
    world._send_beat(host)
    world.run(0.05)
    assert caller.outcome == "reset"


def test_flow_of_silent_vm_is_reset(world: World) -> None:
    caller = open_flow(world)
    world.cut.add(world.find_holder(caller))
    world.upstreams[world.find_holder(caller)].alive = False
    world.run(LOST_AFTER_SECONDS / 2)
    assert not caller.outcome
    world.run(LOST_AFTER_SECONDS + 0.6)
    assert caller.outcome == "reset"


def test_flow_of_stopping_agent_is_kept_while_it_is_silent(world: World) -> None:
    caller = open_flow(world)
    world.stop(world.find_holder(caller))
    world.run(0.01)
    world.kill(world.find_holder(caller))
    world.run(LOST_AFTER_SECONDS + 0.6)
    assert not caller.outcome
    world.add_agent(world.find_holder(caller), "dispatcher")
    world.run(0.5)
    assert caller.outcome == "answered"


def test_stopped_agent_that_never_returns_is_given_up(world: World) -> None:
    """Searches must not wait for an agent whose VM was removed after its stop."""
    world.stop(OTHER)
    world.run(0.2)
    world.kill(OTHER)
    world.crash_upstream(OTHER)
    caller = open_flow(world)
    world.crash_upstream(world.find_holder(caller))
    for host in (A1, A2, B1, B2):
        world.kill(host)
    for host in (A1, A2):
        world.upstreams.pop(host)
        world.add_agent(host, "dispatcher")
    world.add_balancer(B1)
    caller.send_request()
    world.run(STOPPING_LOST_AFTER_SECONDS + 0.6)
    assert caller.outcome == "reset"


def test_stopping_agent_without_upstream_stores_no_report(
    world: World,
) -> None:
    world.leave(A2)
    world.run(0.1)
    world.kill(A2)
    world.add_agent(A2, "dispatcher")
    world.run(0.2)
    world.stop(A2)
    world.run(0.2)
    assert A2 not in world.stored
    assert not any(
        host in (B1, B2) and note.fields.get("stopping") for host, note in world.notes
    )


def test_syn_is_offered_again_when_first_upstream_is_silent(world: World) -> None:
    world.upstreams[A1].alive = False
    callers = [world.call("dispatcher", B1) for _ in range(6)]
    world.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 6


def test_refused_syn_is_offered_to_another_upstream_at_once(world: World) -> None:
    world.upstreams[A1].refusing = True
    callers = [world.call("dispatcher", B1) for _ in range(6)]
    world.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 6
    assert all(world.find_holder(caller) == A2 for caller in callers)


def test_flow_refused_by_all_upstreams_is_reset_at_once(world: World) -> None:
    for host in (A1, A2):
        world.upstreams[host].refusing = True
    caller = world.call("dispatcher", B1)
    world.run(0.1)
    assert caller.outcome == "reset"
    assert not any(world.upstreams[host].runs for host in (A1, A2))


def test_draining_upstream_gets_no_syn(world: World) -> None:
    world.drain_upstream(A1)
    callers = [world.call("dispatcher", B1) for _ in range(4)]
    world.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4
    assert not world.upstreams[A1].offered
    assert not world.upstreams[A1].runs


def test_agent_refuses_flows_of_draining_upstream(world: World) -> None:
    """The balancer has not received the report that the upstream drains."""
    world.cut.add(B1)
    world.drain_upstream(A1)
    world.run(0.01)
    world.cut.clear()
    assert world.nodes[B1].nodes.upstreams[A1].report.state == UpstreamState.READY
    callers = [world.call("dispatcher", B1) for _ in range(4)]
    world.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4
    assert not world.upstreams[A1].offered


def test_open_flow_of_draining_upstream_is_served(world: World) -> None:
    caller = open_flow(world)
    world.drain_upstream(world.find_holder(caller))
    world.run(0.3)
    assert caller.outcome == "answered"


def test_host_reused_by_another_service_gets_no_flow(world: World) -> None:
    """The world fails if a SYN reaches the wrong service."""
    world.kill(A1)
    world.crash_upstream(A1)
    del world.upstreams[A1]
    world.add_agent(A1, "intake", first=True)
    callers = [world.call("dispatcher", B1) for _ in range(4)]
    world.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4


def test_older_table_is_ignored(world: World) -> None:
    newer = world.make_table(5, without="intake")
    world.change_table(newer, (B1,))
    world.change_table(world.make_table(4), (B1,))
    caller = world.call("intake", B1)
    world.run(0.1)
    assert caller.outcome == "reset"
    assert world.nodes[B1].table.version == 5


def test_table_is_pulled_from_peer_without_store(world: World) -> None:
    world.change_table(world.make_table(7), (B1,))
    world.run(TABLE_PULL_DELAY_SECONDS / 2)
    assert world.nodes[B2].table.version == 1
    world.run(TABLE_PULL_DELAY_SECONDS)
    assert world.nodes[B2].table.version == 7


def test_flow_of_removed_route_is_reset(world: World) -> None:
    caller = open_flow(world)
    world.upstreams[world.find_holder(caller)].flows.clear()
    world.change_table(world.make_table(2, without="dispatcher"), (B1,))
    world.run(0.4)
    assert caller.outcome == "reset"


def test_stopping_balancer_still_forwards_packets(world: World) -> None:
    caller = open_flow(world)
    world.stop(B1)
    assert not world.nodes[B1].ready
    world.run(0.3)
    assert caller.outcome == "answered"
    later_caller = world.call("dispatcher", B1)
    world.run(0.3)
    assert later_caller.outcome == "answered"


def test_new_agent_is_known_to_seed_without_store(world: World) -> None:
    """A new agent announces itself to its seeds during an outage of the store."""
    world.store_up = False
    state = world.add_agent(A3, "dispatcher", first=True)
    state.seeds = (B1,)
    world.run(0.1)
    world._send_beat(A3)
    world._carry_out(A3, [])
    world.upstreams[A3].state = UpstreamState.DRAINING
    world._send_beat(A3)
    world.run(0.1)
    assert A3 in world.nodes[B1].nodes.upstreams


def test_flow_denied_by_all_agents_is_reset(world: World) -> None:
    caller = open_flow(world)
    upstream = world.upstreams[world.find_holder(caller)]
    upstream.flows.clear()
    world.kill(world.find_holder(caller))
    world.add_agent(world.find_holder(caller), "dispatcher")
    world.kill(B1)
    world.add_balancer(B1)
    world.run(0.5)
    assert caller.outcome == "reset"


def test_state_of_ended_flows_is_removed(world: World) -> None:
    for _ in range(50):
        world.call("dispatcher", B1)
    world.run(30.0)
    assert not world.nodes[B1].flows
    assert not world.nodes[B1].pending_flows
    assert not world.nodes[B1].searches
    assert not world.nodes[B1].resets


def test_isolated_balancer_gives_up_no_agent(world: World) -> None:
    """A balancer that is cut off must not reset the flows of live upstreams."""
    caller = open_flow(world)
    world.run(0.3)
    assert caller.outcome == "answered"
    caller.outcome = ""
    world.cut.add(B1)
    world.run(2.0)
    assert not world.nodes[B1].ready
    world.run(1.0)
    assert count_events(world, LogEvent.UPSTREAM_LOST) == 0
    world.cut.clear()
    assert caller.flow in world.nodes[B1].flows
    caller.send_request()
    world.run(0.3)
    assert caller.outcome == "answered"
    assert world.nodes[B1].ready


def test_flow_of_agent_missing_in_store_is_found(world: World) -> None:
    """A new balancer gets the agent's report from its peers and resets no flow."""
    world.store_up = False
    state = world.add_agent(A3, "dispatcher", first=True)
    state.seeds = (B1,)
    world.run(0.1)
    world.drain_upstream(A1)
    world.drain_upstream(A2)
    world.run(0.1)
    caller = open_flow(world)
    assert world.find_holder(caller) == A3
    world.store_up = True
    world.add_balancer(B3)
    world.routers[caller.flow] = B3
    caller.send_request()
    world.run(0.5)
    assert caller.outcome == "answered"


def test_report_of_removed_vm_is_deleted(world: World) -> None:
    world.kill(A1)
    world.crash_upstream(A1)
    assert A1 in world.stored
    for _ in range(8):
        world.call("dispatcher", B1)
    world.run(30.0)
    assert A1 not in world.stored
    assert A1 not in world.nodes[B1].nodes.upstreams


def test_search_after_power_failure_forwards_no_packets(world: World) -> None:
    """Packets of ended flows must not be forwarded to all agents.

    The agents read from the store that their upstreams have restarted, and deny the
    earlier flows without a packet.
    """
    callers = [world.call("dispatcher", B1) for _ in range(4)]
    world.run(0.02)
    assert all(caller.open for caller in callers)
    for host in (A1, A2, OTHER, B1, B2):
        world.kill(host)
    for host, service in ((A1, "dispatcher"), (A2, "dispatcher"), (OTHER, "intake")):
        world.crash_upstream(host)
        world.start_upstream(host, service)
        world.add_agent(host, service)
    world.run(0.05)
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(0.5)
    assert {caller.outcome for caller in callers} == {"reset"}
    assert count_events(world, LogEvent.PACKET_HANDED_BACK) == 0


def test_flow_is_tried_once_on_each_unsure_agent(world: World) -> None:
    caller = open_flow(world)
    world.upstreams[world.find_holder(caller)].flows.clear()
    for host in (A1, A2):
        world.kill(host)
        world.add_agent(host, "dispatcher")
    world.kill(B1)
    world.add_balancer(B1)
    for _ in range(12):
        caller.send_request()
    world.run(0.5)
    assert caller.outcome == "reset"
    assert count_events(world, LogEvent.PACKET_HANDED_BACK) == 2


def test_flow_is_tried_on_preferred_hosts_first() -> None:
    """Unsure agents are tried in the order of preference, not all at once."""
    world = World(services=("dispatcher",))
    hosts = [f"10.1.0.{n}" for n in range(1, 41)]
    for host in hosts:
        world.add_agent(host, "dispatcher", first=True)
    world.add_balancer(B1)
    world.run(0.2)
    callers = [world.call("dispatcher", B1) for _ in range(10)]
    world.run(0.02)
    for host in (*hosts, B1):
        world.kill(host)
    for host in hosts:
        world.add_agent(host, "dispatcher")
    world.add_balancer(B1)
    world.run(0.6)
    assert {caller.outcome for caller in callers} == {"answered"}
    found = [n.fields for _h, n in world.notes if n.event == LogEvent.FLOW_FOUND]
    assert sum(fields["tried"] for fields in found) <= 6 * len(callers)


def test_records_of_other_nodes_expire(world: World) -> None:
    open_flow(world)
    assert B1 in world.nodes[A1].balancers or B1 in world.nodes[A2].balancers
    world.kill(A1)
    world.add_agent(A1, "dispatcher")
    world.run(5.0)
    assert world.nodes[B1].nodes.retired_incarnations
    world.run(RETIRED_RETENTION_SECONDS + 10.0)
    assert not world.nodes[B1].nodes.retired_incarnations
    assert not world.nodes[A1].balancers


@pytest.fixture
def zones() -> World:
    """A balancer and an agent in each of two availability zones."""
    world = World(services=("dispatcher",))
    for zone, agent, balancer in (("z1", A1, B1), ("z2", A2, B2)):
        world.add_agent(agent, "dispatcher", zone=zone, first=True)
        world.add_balancer(balancer, zone=zone)
    world.run(0.2)
    return world


def test_agents_in_same_zone_are_searched_first(zones: World) -> None:
    caller = open_flow(zones)
    assert zones.find_holder(caller) == A1
    del zones.nodes[B1].flows[caller.flow]
    messages_before = zones.count_messages(Locate)
    caller.send_request()
    zones.run(0.01)
    assert count_events(zones, LogEvent.FLOW_FOUND) == 1
    assert zones.count_messages(Locate) - messages_before == 1


def test_flow_in_other_zone_is_found_despite_silent_local_agent(zones: World) -> None:
    caller = open_flow(zones)
    zones.routers[caller.flow] = B2
    zones.nodes.pop(A2)
    caller.send_request()
    zones.run(LOCATE_TIMEOUT_SECONDS + 0.06)
    assert count_events(zones, LogEvent.FLOW_FOUND) == 1


def test_live_agent_is_not_replaced_by_outdated_report(world: World) -> None:
    """Guards against balancers that keep an outdated report from the store."""
    balancer = world.nodes[B1]
    view = balancer.nodes.upstreams[A1]
    outdated = replace(view.report, incarnation=9_999, boot="i-old")
    listed = ReportsListed(reports=(outdated,), complete=True, now=world.now)
    world._dispatch(B1, listed)
    messages_before = world.count_messages(Roster)
    world.run(5.0)
    assert view.report.incarnation == world.nodes[A1].report.incarnation
    assert view.report.boot == world.upstreams[A1].boot
    assert world.count_messages(Roster) == messages_before


def test_restarted_agent_reported_indirectly_is_probed(world: World) -> None:
    world.kill(A1)
    state = world.add_agent(A1, "dispatcher")
    current = replace(state.report, serial=1)
    world._dispatch(B1, ReportsListed(reports=(current,), complete=True, now=world.now))
    world.run(0.2)
    view = world.nodes[B1].nodes.upstreams[A1]
    assert view.report.incarnation == state.report.incarnation
    assert view.confirmed_incarnation == state.report.incarnation


def test_flow_is_kept_after_upstream_restart_during_outage(world: World) -> None:
    """The store has the boot from before the outage; the current one accepted flows."""
    world.store_up = False
    for host in (A1, A2):
        world.crash_upstream(host)
        world.start_upstream(host, "dispatcher")
        world._send_beat(host)
    caller = world.call("dispatcher", B1, requests=12)
    world.run(0.2)
    for host in (A1, A2, B1):
        world.kill(host)
    world.run(0.3)
    for host in (A1, A2):
        world.add_agent(host, "dispatcher")
    world.store_up = True
    world.add_balancer(B1)
    world.run(6.0)
    assert caller.outcome == "answered"


def test_flow_opened_before_first_heartbeat_is_kept(world: World) -> None:
    """The balancer knows only the previous boot, from the store."""
    for host in (A1, A2, B1, B2):
        world.kill(host)
    for host in (A1, A2):
        world.crash_upstream(host)
        world.start_upstream(host, "dispatcher")
    world.add_balancer(B1)
    world.first_beat = 0.3
    for host in (A1, A2):
        state = world.add_agent(host, "dispatcher")
        state.seeds = (B1,)
    caller = world.call("dispatcher", B1, requests=12)
    world.run(0.02)
    assert caller.open
    world.run(6.0)
    assert caller.outcome == "answered"


def test_bounced_flow_starts_no_search(world: World) -> None:
    """Its upstream accepted it, so no other agent can hold it."""
    caller = open_flow(world)
    locates_before = world.count_messages(Locate)
    world.upstreams[world.find_holder(caller)].flows.clear()
    caller.send_request()
    world.run(0.02)
    assert caller.outcome == "reset"
    assert world.count_messages(Locate) == locates_before
