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
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import Caller

BALANCER_1, BALANCER_2, BALANCER_3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
AGENT_1, AGENT_2, AGENT_3 = "10.1.0.1", "10.1.0.2", "10.1.0.3"
OTHER = "10.2.0.1"


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers, two upstreams of one service and one of another."""
    simulation = Simulation(services=("dispatcher", "intake"))
    for host in (AGENT_1, AGENT_2):
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_agent(OTHER, "intake", knows_all_flows=True)
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    simulation.run(0.2)
    return simulation


def open_flow(simulation: Simulation, balancer: str = BALANCER_1) -> Caller:
    """Return a caller with an open flow and a running request."""
    caller = simulation.add_caller("dispatcher", balancer)
    simulation.run(0.02)
    assert caller.is_open and simulation.find_upstream_host(caller)
    return caller


def count_events(simulation: Simulation, event: LogEvent) -> int:
    return sum(note.event == event for _host, note in simulation.log_entries)


def test_request_is_answered(simulation: Simulation) -> None:
    caller = simulation.add_caller("dispatcher", BALANCER_1)
    simulation.run(0.2)
    assert caller.outcome == "answered"


def test_services_get_only_their_own_flows(simulation: Simulation) -> None:
    callers = [
        simulation.add_caller(s, BALANCER_1) for s in ("dispatcher", "intake") * 5
    ]
    simulation.run(0.5)
    assert [c.outcome for c in callers] == ["answered"] * 10
    assert len(simulation.upstreams[OTHER].processed_flows) == 5


def test_flow_moved_to_another_balancer_is_found(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.balancer_by_flow[caller.flow] = BALANCER_2
    simulation.run(0.01)
    caller.send_request()
    simulation.run(0.01)
    assert count_events(simulation, LogEvent.FLOW_FOUND) == 1
    simulation.run(0.2)
    assert caller.outcome == "answered"


def test_flow_is_found_by_restarted_balancer(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.kill(BALANCER_1)
    simulation.add_balancer(BALANCER_1)
    caller.send_request()
    simulation.run(0.2)
    assert caller.outcome == "answered"
    assert not simulation.reset_callers


def test_flow_is_recovered_by_restarted_agent(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.kill(simulation.find_upstream_host(caller))
    simulation.run(0.05)
    simulation.add_agent(simulation.find_upstream_host(caller), "dispatcher")
    simulation.run(0.5)
    assert caller.outcome == "answered"
    assert not simulation.reset_callers


def test_live_flow_is_kept_after_restart_of_all_nodes(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    for host in (AGENT_1, AGENT_2, OTHER, BALANCER_1, BALANCER_2):
        simulation.kill(host)
    for host in (AGENT_1, AGENT_2):
        simulation.add_agent(host, "dispatcher")
    simulation.add_agent(OTHER, "intake")
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    simulation.run(1.0)
    assert caller.outcome == "answered"
    assert not simulation.reset_callers


def test_flow_of_crashed_upstream_is_reset(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.crash_upstream(simulation.find_upstream_host(caller))
    simulation.run(1.2)
    assert caller.outcome == "reset"


def test_idle_flow_is_reset_when_upstream_restarts(
    simulation: Simulation,
) -> None:
    caller = open_flow(simulation)
    host = simulation.find_upstream_host(caller)
    simulation.crash_upstream(host)
    simulation.start_upstream(host, "dispatcher")
    simulation.send_heartbeat(host)
    simulation.run(0.01)
    assert caller.outcome == "reset"


def test_flow_is_reset_when_agent_and_upstream_restart(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    host = simulation.find_upstream_host(caller)
    simulation.kill(host)
    simulation.crash_upstream(host)
    simulation.start_upstream(host, "dispatcher")
    simulation.add_agent(host, "dispatcher")
    simulation.send_heartbeat(host)
    simulation.run(0.05)
    assert caller.outcome == "reset"


def test_flow_of_silent_vm_is_reset(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.partitioned_hosts.add(simulation.find_upstream_host(caller))
    simulation.upstreams[simulation.find_upstream_host(caller)].alive = False
    simulation.run(LOST_AFTER_SECONDS / 2)
    assert not caller.outcome
    simulation.run(LOST_AFTER_SECONDS + 0.6)
    assert caller.outcome == "reset"


def test_flow_of_stopping_agent_is_kept_while_it_is_silent(
    simulation: Simulation,
) -> None:
    caller = open_flow(simulation)
    simulation.stop(simulation.find_upstream_host(caller))
    simulation.run(0.01)
    simulation.kill(simulation.find_upstream_host(caller))
    simulation.run(LOST_AFTER_SECONDS + 0.6)
    assert not caller.outcome
    simulation.add_agent(simulation.find_upstream_host(caller), "dispatcher")
    simulation.run(0.5)
    assert caller.outcome == "answered"


def test_stopped_agent_that_never_returns_is_given_up(
    simulation: Simulation,
) -> None:
    """Searches must not wait for an agent whose VM was removed after its stop."""
    simulation.stop(OTHER)
    simulation.run(0.2)
    simulation.kill(OTHER)
    simulation.crash_upstream(OTHER)
    caller = open_flow(simulation)
    simulation.crash_upstream(simulation.find_upstream_host(caller))
    for host in (AGENT_1, AGENT_2, BALANCER_1, BALANCER_2):
        simulation.kill(host)
    for host in (AGENT_1, AGENT_2):
        simulation.upstreams.pop(host)
        simulation.add_agent(host, "dispatcher")
    simulation.add_balancer(BALANCER_1)
    caller.send_request()
    simulation.run(STOPPING_LOST_AFTER_SECONDS + 0.6)
    assert caller.outcome == "reset"


def test_stopping_agent_without_upstream_stores_no_report(
    simulation: Simulation,
) -> None:
    simulation.withdraw_upstream(AGENT_2)
    simulation.run(0.1)
    simulation.kill(AGENT_2)
    simulation.add_agent(AGENT_2, "dispatcher")
    simulation.run(0.2)
    simulation.stop(AGENT_2)
    simulation.run(0.2)
    assert AGENT_2 not in simulation.stored_reports
    assert not any(
        host in (BALANCER_1, BALANCER_2) and note.fields.get("stopping")
        for host, note in simulation.log_entries
    )


def test_syn_is_offered_again_when_first_upstream_is_silent(
    simulation: Simulation,
) -> None:
    simulation.upstreams[AGENT_1].alive = False
    callers = [simulation.add_caller("dispatcher", BALANCER_1) for _ in range(6)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 6


def test_refused_syn_is_offered_to_another_upstream_at_once(
    simulation: Simulation,
) -> None:
    simulation.upstreams[AGENT_1].refuses_flows = True
    callers = [simulation.add_caller("dispatcher", BALANCER_1) for _ in range(6)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 6
    assert all(simulation.find_upstream_host(caller) == AGENT_2 for caller in callers)


def test_flow_refused_by_all_upstreams_is_reset_at_once(simulation: Simulation) -> None:
    for host in (AGENT_1, AGENT_2):
        simulation.upstreams[host].refuses_flows = True
    caller = simulation.add_caller("dispatcher", BALANCER_1)
    simulation.run(0.1)
    assert caller.outcome == "reset"
    assert not any(
        simulation.upstreams[host].processed_flows for host in (AGENT_1, AGENT_2)
    )


def test_draining_upstream_gets_no_syn(simulation: Simulation) -> None:
    simulation.drain_upstream(AGENT_1)
    callers = [simulation.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4
    assert not simulation.upstreams[AGENT_1].offered_flows
    assert not simulation.upstreams[AGENT_1].processed_flows


def test_agent_refuses_flows_of_draining_upstream(
    simulation: Simulation,
) -> None:
    """The balancer has not received the report that the upstream drains."""
    simulation.partitioned_hosts.add(BALANCER_1)
    simulation.drain_upstream(AGENT_1)
    simulation.run(0.01)
    simulation.partitioned_hosts.clear()
    assert (
        simulation.nodes[BALANCER_1].nodes.upstreams[AGENT_1].report.state
        == UpstreamState.READY
    )
    callers = [simulation.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4
    assert not simulation.upstreams[AGENT_1].offered_flows


def test_open_flow_of_draining_upstream_is_served(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.drain_upstream(simulation.find_upstream_host(caller))
    simulation.run(0.3)
    assert caller.outcome == "answered"


def test_host_reused_by_another_service_gets_no_flow(
    simulation: Simulation,
) -> None:
    """The simulation fails if a SYN reaches the wrong service."""
    simulation.kill(AGENT_1)
    simulation.crash_upstream(AGENT_1)
    del simulation.upstreams[AGENT_1]
    simulation.add_agent(AGENT_1, "intake", knows_all_flows=True)
    callers = [simulation.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4


def test_older_table_is_ignored(simulation: Simulation) -> None:
    newer = simulation.make_table(5, excluded="intake")
    simulation.publish_table(newer, (BALANCER_1,))
    simulation.publish_table(simulation.make_table(4), (BALANCER_1,))
    caller = simulation.add_caller("intake", BALANCER_1)
    simulation.run(0.1)
    assert caller.outcome == "reset"
    assert simulation.nodes[BALANCER_1].table.version == 5


def test_table_is_pulled_from_peer_without_store(simulation: Simulation) -> None:
    simulation.publish_table(simulation.make_table(7), (BALANCER_1,))
    simulation.run(TABLE_PULL_DELAY_SECONDS / 2)
    assert simulation.nodes[BALANCER_2].table.version == 1
    simulation.run(TABLE_PULL_DELAY_SECONDS)
    assert simulation.nodes[BALANCER_2].table.version == 7


def test_flow_of_removed_route_is_reset(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.upstreams[simulation.find_upstream_host(caller)].flows.clear()
    simulation.publish_table(
        simulation.make_table(2, excluded="dispatcher"), (BALANCER_1,)
    )
    simulation.run(0.4)
    assert caller.outcome == "reset"


def test_stopping_balancer_still_forwards_packets(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.stop(BALANCER_1)
    assert not simulation.nodes[BALANCER_1].ready
    simulation.run(0.3)
    assert caller.outcome == "answered"
    later_caller = simulation.add_caller("dispatcher", BALANCER_1)
    simulation.run(0.3)
    assert later_caller.outcome == "answered"


def test_new_agent_is_known_to_seed_without_store(simulation: Simulation) -> None:
    """A new agent announces itself to its seeds during an outage of the store."""
    simulation.store_available = False
    state = simulation.add_agent(AGENT_3, "dispatcher", knows_all_flows=True)
    state.seeds = (BALANCER_1,)
    simulation.run(0.1)
    simulation.send_heartbeat(AGENT_3)
    simulation._execute(AGENT_3, [])
    simulation.upstreams[AGENT_3].state = UpstreamState.DRAINING
    simulation.send_heartbeat(AGENT_3)
    simulation.run(0.1)
    assert AGENT_3 in simulation.nodes[BALANCER_1].nodes.upstreams


def test_flow_denied_by_all_agents_is_reset(
    simulation: Simulation,
) -> None:
    caller = open_flow(simulation)
    upstream = simulation.upstreams[simulation.find_upstream_host(caller)]
    upstream.flows.clear()
    simulation.kill(simulation.find_upstream_host(caller))
    simulation.add_agent(simulation.find_upstream_host(caller), "dispatcher")
    simulation.kill(BALANCER_1)
    simulation.add_balancer(BALANCER_1)
    simulation.run(0.5)
    assert caller.outcome == "reset"


def test_state_of_ended_flows_is_removed(simulation: Simulation) -> None:
    for _ in range(50):
        simulation.add_caller("dispatcher", BALANCER_1)
    simulation.run(30.0)
    assert not simulation.nodes[BALANCER_1].flows
    assert not simulation.nodes[BALANCER_1].pending_flows
    assert not simulation.nodes[BALANCER_1].searches
    assert not simulation.nodes[BALANCER_1].resets


def test_isolated_balancer_gives_up_no_agent(simulation: Simulation) -> None:
    """A balancer that is cut off must not reset the flows of live upstreams."""
    caller = open_flow(simulation)
    simulation.run(0.3)
    assert caller.outcome == "answered"
    caller.outcome = ""
    simulation.partitioned_hosts.add(BALANCER_1)
    simulation.run(2.0)
    assert not simulation.nodes[BALANCER_1].ready
    simulation.run(1.0)
    assert count_events(simulation, LogEvent.UPSTREAM_LOST) == 0
    simulation.partitioned_hosts.clear()
    assert caller.flow in simulation.nodes[BALANCER_1].flows
    caller.send_request()
    simulation.run(0.3)
    assert caller.outcome == "answered"
    assert simulation.nodes[BALANCER_1].ready


def test_flow_of_agent_missing_in_store_is_found(
    simulation: Simulation,
) -> None:
    """A new balancer gets the agent's report from its peers and resets no flow."""
    simulation.store_available = False
    state = simulation.add_agent(AGENT_3, "dispatcher", knows_all_flows=True)
    state.seeds = (BALANCER_1,)
    simulation.run(0.1)
    simulation.drain_upstream(AGENT_1)
    simulation.drain_upstream(AGENT_2)
    simulation.run(0.1)
    caller = open_flow(simulation)
    assert simulation.find_upstream_host(caller) == AGENT_3
    simulation.store_available = True
    simulation.add_balancer(BALANCER_3)
    simulation.balancer_by_flow[caller.flow] = BALANCER_3
    caller.send_request()
    simulation.run(0.5)
    assert caller.outcome == "answered"


def test_report_of_removed_vm_is_deleted(simulation: Simulation) -> None:
    simulation.kill(AGENT_1)
    simulation.crash_upstream(AGENT_1)
    assert AGENT_1 in simulation.stored_reports
    for _ in range(8):
        simulation.add_caller("dispatcher", BALANCER_1)
    simulation.run(30.0)
    assert AGENT_1 not in simulation.stored_reports
    assert AGENT_1 not in simulation.nodes[BALANCER_1].nodes.upstreams


def test_search_after_power_failure_forwards_no_packets(simulation: Simulation) -> None:
    """Packets of ended flows must not be forwarded to all agents.

    The agents read from the store that their upstreams have restarted, and deny the
    earlier flows without a packet.
    """
    callers = [simulation.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
    simulation.run(0.02)
    assert all(caller.is_open for caller in callers)
    for host in (AGENT_1, AGENT_2, OTHER, BALANCER_1, BALANCER_2):
        simulation.kill(host)
    for host, service in (
        (AGENT_1, "dispatcher"),
        (AGENT_2, "dispatcher"),
        (OTHER, "intake"),
    ):
        simulation.crash_upstream(host)
        simulation.start_upstream(host, service)
        simulation.add_agent(host, service)
    simulation.run(0.05)
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    simulation.run(0.5)
    assert {caller.outcome for caller in callers} == {"reset"}
    assert count_events(simulation, LogEvent.PACKET_HANDED_BACK) == 0


def test_flow_is_tried_once_on_each_unsure_agent(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.upstreams[simulation.find_upstream_host(caller)].flows.clear()
    for host in (AGENT_1, AGENT_2):
        simulation.kill(host)
        simulation.add_agent(host, "dispatcher")
    simulation.kill(BALANCER_1)
    simulation.add_balancer(BALANCER_1)
    for _ in range(12):
        caller.send_request()
    simulation.run(0.5)
    assert caller.outcome == "reset"
    assert count_events(simulation, LogEvent.PACKET_HANDED_BACK) == 2


def test_flow_is_tried_on_preferred_hosts_first() -> None:
    """Unsure agents are tried in the order of preference, not all at once."""
    simulation = Simulation(services=("dispatcher",))
    hosts = [f"10.1.0.{n}" for n in range(1, 41)]
    for host in hosts:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_balancer(BALANCER_1)
    simulation.run(0.2)
    callers = [simulation.add_caller("dispatcher", BALANCER_1) for _ in range(10)]
    simulation.run(0.02)
    for host in (*hosts, BALANCER_1):
        simulation.kill(host)
    for host in hosts:
        simulation.add_agent(host, "dispatcher")
    simulation.add_balancer(BALANCER_1)
    simulation.run(0.6)
    assert {caller.outcome for caller in callers} == {"answered"}
    found = [
        n.fields for _h, n in simulation.log_entries if n.event == LogEvent.FLOW_FOUND
    ]
    assert sum(fields["tried"] for fields in found) <= 6 * len(callers)


def test_records_of_other_nodes_expire(simulation: Simulation) -> None:
    open_flow(simulation)
    assert (
        BALANCER_1 in simulation.nodes[AGENT_1].balancers
        or BALANCER_1 in simulation.nodes[AGENT_2].balancers
    )
    simulation.kill(AGENT_1)
    simulation.add_agent(AGENT_1, "dispatcher")
    simulation.run(5.0)
    assert simulation.nodes[BALANCER_1].nodes.retired_incarnations
    simulation.run(RETIRED_RETENTION_SECONDS + 10.0)
    assert not simulation.nodes[BALANCER_1].nodes.retired_incarnations
    assert not simulation.nodes[AGENT_1].balancers


@pytest.fixture
def zones() -> Simulation:
    """A balancer and an agent in each of two availability zones."""
    simulation = Simulation(services=("dispatcher",))
    for zone, agent, balancer in (
        ("z1", AGENT_1, BALANCER_1),
        ("z2", AGENT_2, BALANCER_2),
    ):
        simulation.add_agent(agent, "dispatcher", zone=zone, knows_all_flows=True)
        simulation.add_balancer(balancer, zone=zone)
    simulation.run(0.2)
    return simulation


def test_agents_in_same_zone_are_searched_first(zones: Simulation) -> None:
    caller = open_flow(zones)
    assert zones.find_upstream_host(caller) == AGENT_1
    del zones.nodes[BALANCER_1].flows[caller.flow]
    messages_before = zones.count_messages(Locate)
    caller.send_request()
    zones.run(0.01)
    assert count_events(zones, LogEvent.FLOW_FOUND) == 1
    assert zones.count_messages(Locate) - messages_before == 1


def test_flow_in_other_zone_is_found_despite_silent_local_agent(
    zones: Simulation,
) -> None:
    caller = open_flow(zones)
    zones.balancer_by_flow[caller.flow] = BALANCER_2
    zones.nodes.pop(AGENT_2)
    caller.send_request()
    zones.run(LOCATE_TIMEOUT_SECONDS + 0.06)
    assert count_events(zones, LogEvent.FLOW_FOUND) == 1


def test_live_agent_is_not_replaced_by_outdated_report(
    simulation: Simulation,
) -> None:
    """Guards against balancers that keep an outdated report from the store."""
    balancer = simulation.nodes[BALANCER_1]
    view = balancer.nodes.upstreams[AGENT_1]
    outdated = replace(view.report, incarnation=9_999, boot="i-old")
    listed = ReportsListed(reports=(outdated,), complete=True, now=simulation.now)
    simulation._dispatch(BALANCER_1, listed)
    messages_before = simulation.count_messages(Roster)
    simulation.run(5.0)
    assert view.report.incarnation == simulation.nodes[AGENT_1].report.incarnation
    assert view.report.boot == simulation.upstreams[AGENT_1].boot
    assert simulation.count_messages(Roster) == messages_before


def test_restarted_agent_reported_indirectly_is_probed(simulation: Simulation) -> None:
    simulation.kill(AGENT_1)
    state = simulation.add_agent(AGENT_1, "dispatcher")
    current = replace(state.report, serial=1)
    simulation._dispatch(
        BALANCER_1, ReportsListed(reports=(current,), complete=True, now=simulation.now)
    )
    simulation.run(0.2)
    view = simulation.nodes[BALANCER_1].nodes.upstreams[AGENT_1]
    assert view.report.incarnation == state.report.incarnation
    assert view.confirmed_incarnation == state.report.incarnation


def test_flow_is_kept_after_upstream_restart_during_outage(
    simulation: Simulation,
) -> None:
    """The store has the boot from before the outage; the current one accepted flows."""
    simulation.store_available = False
    for host in (AGENT_1, AGENT_2):
        simulation.crash_upstream(host)
        simulation.start_upstream(host, "dispatcher")
        simulation.send_heartbeat(host)
    caller = simulation.add_caller("dispatcher", BALANCER_1, requests=12)
    simulation.run(0.2)
    for host in (AGENT_1, AGENT_2, BALANCER_1):
        simulation.kill(host)
    simulation.run(0.3)
    for host in (AGENT_1, AGENT_2):
        simulation.add_agent(host, "dispatcher")
    simulation.store_available = True
    simulation.add_balancer(BALANCER_1)
    simulation.run(6.0)
    assert caller.outcome == "answered"


def test_flow_opened_before_first_heartbeat_is_kept(
    simulation: Simulation,
) -> None:
    """The balancer knows only the previous boot, from the store."""
    for host in (AGENT_1, AGENT_2, BALANCER_1, BALANCER_2):
        simulation.kill(host)
    for host in (AGENT_1, AGENT_2):
        simulation.crash_upstream(host)
        simulation.start_upstream(host, "dispatcher")
    simulation.add_balancer(BALANCER_1)
    simulation.first_heartbeat_delay = 0.3
    for host in (AGENT_1, AGENT_2):
        state = simulation.add_agent(host, "dispatcher")
        state.seeds = (BALANCER_1,)
    caller = simulation.add_caller("dispatcher", BALANCER_1, requests=12)
    simulation.run(0.02)
    assert caller.is_open
    simulation.run(6.0)
    assert caller.outcome == "answered"


def test_bounced_flow_starts_no_search(simulation: Simulation) -> None:
    """Its upstream accepted it, so no other agent can hold it."""
    caller = open_flow(simulation)
    locates_before = simulation.count_messages(Locate)
    simulation.upstreams[simulation.find_upstream_host(caller)].flows.clear()
    caller.send_request()
    simulation.run(0.02)
    assert caller.outcome == "reset"
    assert simulation.count_messages(Locate) == locates_before
