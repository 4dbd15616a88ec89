"""Opaque flows through faults and planned steps, with the real reducers."""

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

B1, B2, B3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
A1, A2, A3 = "10.1.0.1", "10.1.0.2", "10.1.0.3"
OTHER = "10.2.0.1"


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers, two upstreams of one service and one of another."""
    simulation = Simulation(services=("dispatcher", "intake"))
    for host in (A1, A2):
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_agent(OTHER, "intake", knows_all_flows=True)
    for host in (B1, B2):
        simulation.add_balancer(host)
    simulation.run(0.2)
    return simulation


def open_flow(simulation: Simulation, balancer: str = B1) -> Caller:
    """Return a caller whose flow is open and whose request is at work."""
    caller = simulation.add_caller("dispatcher", balancer)
    simulation.run(0.02)
    assert caller.is_open and simulation.find_upstream_host(caller)
    return caller


def count(simulation: Simulation, event: LogEvent) -> int:
    return sum(note.event == event for _host, note in simulation.log_entries)


def test_a_request_is_answered(simulation: Simulation) -> None:
    caller = simulation.add_caller("dispatcher", B1)
    simulation.run(0.2)
    assert caller.outcome == "answered"


def test_each_service_gets_its_own_flows(simulation: Simulation) -> None:
    callers = [simulation.add_caller(s, B1) for s in ("dispatcher", "intake") * 5]
    simulation.run(0.5)
    assert [c.outcome for c in callers] == ["answered"] * 10
    assert len(simulation.upstreams[OTHER].processed_flows) == 5


def test_another_balancer_finds_the_flow(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.balancer_by_flow[caller.flow] = B2
    simulation.run(0.01)
    caller.send_request()
    simulation.run(0.01)
    assert count(simulation, LogEvent.FLOW_FOUND) == 1
    simulation.run(0.2)
    assert caller.outcome == "answered"


def test_a_restarted_balancer_finds_the_flow(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.kill(B1)
    simulation.add_balancer(B1)
    caller.send_request()
    simulation.run(0.2)
    assert caller.outcome == "answered"
    assert not simulation.reset_callers


def test_a_restarted_agent_learns_its_flows_again(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.kill(simulation.find_upstream_host(caller))
    simulation.run(0.05)
    simulation.add_agent(simulation.find_upstream_host(caller), "dispatcher")
    simulation.run(0.5)
    assert caller.outcome == "answered"
    assert not simulation.reset_callers


def test_all_nodes_killed_at_once_keep_living_flows(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    for host in (A1, A2, OTHER, B1, B2):
        simulation.kill(host)
    for host in (A1, A2):
        simulation.add_agent(host, "dispatcher")
    simulation.add_agent(OTHER, "intake")
    for host in (B1, B2):
        simulation.add_balancer(host)
    simulation.run(1.0)
    assert caller.outcome == "answered"
    assert not simulation.reset_callers


def test_a_flow_of_a_crashed_upstream_is_reset(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.crash_upstream(simulation.find_upstream_host(caller))
    simulation.run(1.2)
    assert caller.outcome == "reset"


def test_an_idle_caller_is_freed_when_the_upstream_restarts(
    simulation: Simulation,
) -> None:
    caller = open_flow(simulation)
    host = simulation.find_upstream_host(caller)
    simulation.crash_upstream(host)
    simulation.start_upstream(host, "dispatcher")
    simulation.send_heartbeat(host)
    simulation.run(0.01)
    assert caller.outcome == "reset"


def test_balancers_free_the_flows_of_a_restarted_vm(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    host = simulation.find_upstream_host(caller)
    simulation.kill(host)
    simulation.crash_upstream(host)
    simulation.start_upstream(host, "dispatcher")
    simulation.add_agent(host, "dispatcher")
    simulation.send_heartbeat(host)
    simulation.run(0.05)
    assert caller.outcome == "reset"


def test_flows_of_a_silent_vm_are_given_up(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.partitioned_hosts.add(simulation.find_upstream_host(caller))
    simulation.upstreams[simulation.find_upstream_host(caller)].alive = False
    simulation.run(LOST_AFTER_SECONDS / 2)
    assert not caller.outcome
    simulation.run(LOST_AFTER_SECONDS + 0.6)
    assert caller.outcome == "reset"


def test_a_stopping_agent_keeps_its_flows_through_a_silence(
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


def test_a_stopped_agent_that_never_comes_back_is_given_up(
    simulation: Simulation,
) -> None:
    """Found on an incident: its VM was taken away, and each search waited for it."""
    simulation.stop(OTHER)
    simulation.run(0.2)
    simulation.kill(OTHER)
    simulation.crash_upstream(OTHER)
    caller = open_flow(simulation)
    simulation.crash_upstream(simulation.find_upstream_host(caller))
    for host in (A1, A2, B1, B2):
        simulation.kill(host)
    for host in (A1, A2):
        simulation.upstreams.pop(host)
        simulation.add_agent(host, "dispatcher")
    simulation.add_balancer(B1)
    caller.send_request()
    simulation.run(STOPPING_LOST_AFTER_SECONDS + 0.6)
    assert caller.outcome == "reset"


def test_an_agent_that_has_no_upstream_leaves_nothing_when_it_stops(
    simulation: Simulation,
) -> None:
    simulation.withdraw_upstream(A2)
    simulation.run(0.1)
    simulation.kill(A2)
    simulation.add_agent(A2, "dispatcher")
    simulation.run(0.2)
    simulation.stop(A2)
    simulation.run(0.2)
    assert A2 not in simulation.stored_reports
    assert not any(
        host in (B1, B2) and note.fields.get("stopping")
        for host, note in simulation.log_entries
    )


def test_an_opening_goes_on_when_its_first_upstream_is_silent(
    simulation: Simulation,
) -> None:
    simulation.upstreams[A1].alive = False
    callers = [simulation.add_caller("dispatcher", B1) for _ in range(6)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 6


def test_a_refused_opening_goes_to_another_upstream_at_once(
    simulation: Simulation,
) -> None:
    simulation.upstreams[A1].refuses_flows = True
    callers = [simulation.add_caller("dispatcher", B1) for _ in range(6)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 6
    assert all(simulation.find_upstream_host(caller) == A2 for caller in callers)


def test_an_opening_that_nobody_takes_is_reset_at_once(simulation: Simulation) -> None:
    for host in (A1, A2):
        simulation.upstreams[host].refuses_flows = True
    caller = simulation.add_caller("dispatcher", B1)
    simulation.run(0.1)
    assert caller.outcome == "reset"
    assert not any(simulation.upstreams[host].processed_flows for host in (A1, A2))


def test_no_opening_reaches_a_draining_upstream(simulation: Simulation) -> None:
    simulation.drain_upstream(A1)
    callers = [simulation.add_caller("dispatcher", B1) for _ in range(4)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4
    assert not simulation.upstreams[A1].offered_flows
    assert not simulation.upstreams[A1].processed_flows


def test_an_agent_refuses_for_a_draining_upstream_by_itself(
    simulation: Simulation,
) -> None:
    """Even a balancer that has not heard of it sends nothing to the upstream."""
    simulation.partitioned_hosts.add(B1)
    simulation.drain_upstream(A1)
    simulation.run(0.01)
    simulation.partitioned_hosts.clear()
    assert simulation.nodes[B1].nodes.upstreams[A1].report.state == UpstreamState.READY
    callers = [simulation.add_caller("dispatcher", B1) for _ in range(4)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4
    assert not simulation.upstreams[A1].offered_flows


def test_open_flows_of_a_draining_upstream_are_served(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.drain_upstream(simulation.find_upstream_host(caller))
    simulation.run(0.3)
    assert caller.outcome == "answered"


def test_an_address_taken_over_by_another_service_gets_nothing(
    simulation: Simulation,
) -> None:
    """The oracle raises if an opening reaches the wrong service."""
    simulation.kill(A1)
    simulation.crash_upstream(A1)
    del simulation.upstreams[A1]
    simulation.add_agent(A1, "intake", knows_all_flows=True)
    callers = [simulation.add_caller("dispatcher", B1) for _ in range(4)]
    simulation.run(0.3)
    assert [c.outcome for c in callers] == ["answered"] * 4


def test_an_older_table_never_comes_back(simulation: Simulation) -> None:
    newer = simulation.make_table(5, excluded="intake")
    simulation.publish_table(newer, (B1,))
    simulation.publish_table(simulation.make_table(4), (B1,))
    caller = simulation.add_caller("intake", B1)
    simulation.run(0.1)
    assert caller.outcome == "reset"
    assert simulation.nodes[B1].table.version == 5


def test_a_table_spreads_without_the_store(simulation: Simulation) -> None:
    simulation.publish_table(simulation.make_table(7), (B1,))
    simulation.run(TABLE_PULL_DELAY_SECONDS / 2)
    assert simulation.nodes[B2].table.version == 1
    simulation.run(TABLE_PULL_DELAY_SECONDS)
    assert simulation.nodes[B2].table.version == 7


def test_flows_of_a_dropped_route_end(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.upstreams[simulation.find_upstream_host(caller)].flows.clear()
    simulation.publish_table(simulation.make_table(2, excluded="dispatcher"), (B1,))
    simulation.run(0.4)
    assert caller.outcome == "reset"


def test_a_stopping_balancer_still_moves_packets(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.stop(B1)
    assert not simulation.nodes[B1].ready
    simulation.run(0.3)
    assert caller.outcome == "answered"
    late = simulation.add_caller("dispatcher", B1)
    simulation.run(0.3)
    assert late.outcome == "answered"


def test_nodes_meet_without_the_store(simulation: Simulation) -> None:
    """A new agent is known to the balancers that its seeds name."""
    simulation.store_available = False
    state = simulation.add_agent(A3, "dispatcher", knows_all_flows=True)
    state.seeds = (B1,)
    simulation.run(0.1)
    simulation.send_heartbeat(A3)
    simulation._execute(A3, [])
    simulation.upstreams[A3].state = UpstreamState.DRAINING
    simulation.send_heartbeat(A3)
    simulation.run(0.1)
    assert A3 in simulation.nodes[B1].nodes.upstreams


def test_a_flow_found_nowhere_is_reset_once_all_have_answered(
    simulation: Simulation,
) -> None:
    caller = open_flow(simulation)
    upstream = simulation.upstreams[simulation.find_upstream_host(caller)]
    upstream.flows.clear()
    simulation.kill(simulation.find_upstream_host(caller))
    simulation.add_agent(simulation.find_upstream_host(caller), "dispatcher")
    simulation.kill(B1)
    simulation.add_balancer(B1)
    simulation.run(0.5)
    assert caller.outcome == "reset"


def test_state_is_bounded_after_the_flows_have_ended(simulation: Simulation) -> None:
    for _ in range(50):
        simulation.add_caller("dispatcher", B1)
    simulation.run(30.0)
    assert not simulation.nodes[B1].flows
    assert not simulation.nodes[B1].pending_flows
    assert not simulation.nodes[B1].searches
    assert not simulation.nodes[B1].resets


def test_a_balancer_that_is_cut_off_gives_nobody_up(simulation: Simulation) -> None:
    """Found on a played day: one cut balancer reset the flows of 18 upstreams."""
    caller = open_flow(simulation)
    simulation.run(0.3)
    assert caller.outcome == "answered"
    caller.outcome = ""
    simulation.partitioned_hosts.add(B1)
    simulation.run(2.0)
    assert not simulation.nodes[B1].ready
    simulation.run(1.0)
    assert count(simulation, LogEvent.UPSTREAM_LOST) == 0
    simulation.partitioned_hosts.clear()
    assert caller.flow in simulation.nodes[B1].flows
    caller.send_request()
    simulation.run(0.3)
    assert caller.outcome == "answered"
    assert simulation.nodes[B1].ready


def test_an_agent_that_the_store_turns_away_is_asked_too(
    simulation: Simulation,
) -> None:
    """A new balancer learns of it from the others, so its flows are not reset."""
    simulation.store_available = False
    state = simulation.add_agent(A3, "dispatcher", knows_all_flows=True)
    state.seeds = (B1,)
    simulation.run(0.1)
    simulation.drain_upstream(A1)
    simulation.drain_upstream(A2)
    simulation.run(0.1)
    caller = open_flow(simulation)
    assert simulation.find_upstream_host(caller) == A3
    simulation.store_available = True
    simulation.add_balancer(B3)
    simulation.balancer_by_flow[caller.flow] = B3
    caller.send_request()
    simulation.run(0.5)
    assert caller.outcome == "answered"


def test_the_report_of_a_vm_that_is_gone_is_removed(simulation: Simulation) -> None:
    simulation.kill(A1)
    simulation.crash_upstream(A1)
    assert A1 in simulation.stored_reports
    for _ in range(8):
        simulation.add_caller("dispatcher", B1)
    simulation.run(30.0)
    assert A1 not in simulation.stored_reports
    assert A1 not in simulation.nodes[B1].nodes.upstreams


def test_a_search_costs_few_octets_after_a_power_loss(simulation: Simulation) -> None:
    """Found on played days: each dead flow's packets went to every agent and back.

    The agents learn from the store that their upstreams have restarted, so that
    they can deny the flows of before without being given packets.
    """
    callers = [simulation.add_caller("dispatcher", B1) for _ in range(4)]
    simulation.run(0.02)
    assert all(caller.is_open for caller in callers)
    for host in (A1, A2, OTHER, B1, B2):
        simulation.kill(host)
    for host, service in ((A1, "dispatcher"), (A2, "dispatcher"), (OTHER, "intake")):
        simulation.crash_upstream(host)
        simulation.start_upstream(host, service)
        simulation.add_agent(host, service)
    simulation.run(0.05)
    for host in (B1, B2):
        simulation.add_balancer(host)
    simulation.run(0.5)
    assert {caller.outcome for caller in callers} == {"reset"}
    assert count(simulation, LogEvent.PACKET_HANDED_BACK) == 0


def test_a_flow_is_tried_once_on_each_unsure_upstream(simulation: Simulation) -> None:
    caller = open_flow(simulation)
    simulation.upstreams[simulation.find_upstream_host(caller)].flows.clear()
    for host in (A1, A2):
        simulation.kill(host)
        simulation.add_agent(host, "dispatcher")
    simulation.kill(B1)
    simulation.add_balancer(B1)
    for _ in range(12):
        caller.send_request()
    simulation.run(0.5)
    assert caller.outcome == "reset"
    assert count(simulation, LogEvent.PACKET_HANDED_BACK) == 2


def test_a_flow_is_tried_first_where_it_was_placed() -> None:
    """Found on played days: each of 1,000 flows was tried on each of 43 agents."""
    simulation = Simulation(services=("dispatcher",))
    hosts = [f"10.1.0.{n}" for n in range(1, 41)]
    for host in hosts:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_balancer(B1)
    simulation.run(0.2)
    callers = [simulation.add_caller("dispatcher", B1) for _ in range(10)]
    simulation.run(0.02)
    for host in (*hosts, B1):
        simulation.kill(host)
    for host in hosts:
        simulation.add_agent(host, "dispatcher")
    simulation.add_balancer(B1)
    simulation.run(0.6)
    assert {caller.outcome for caller in callers} == {"answered"}
    found = [
        n.fields for _h, n in simulation.log_entries if n.event == LogEvent.FLOW_FOUND
    ]
    assert sum(fields["tried"] for fields in found) <= 6 * len(callers)


def test_what_nodes_remember_of_each_other_is_bounded(simulation: Simulation) -> None:
    open_flow(simulation)
    assert B1 in simulation.nodes[A1].balancers or B1 in simulation.nodes[A2].balancers
    simulation.kill(A1)
    simulation.add_agent(A1, "dispatcher")
    simulation.run(5.0)
    assert simulation.nodes[B1].nodes.retired_incarnations
    simulation.run(RETIRED_RETENTION_SECONDS + 10.0)
    assert not simulation.nodes[B1].nodes.retired_incarnations
    assert not simulation.nodes[A1].balancers


@pytest.fixture
def zones() -> Simulation:
    """A balancer and an agent in each of two availability zones."""
    simulation = Simulation(services=("dispatcher",))
    for zone, agent, balancer in (("z1", A1, B1), ("z2", A2, B2)):
        simulation.add_agent(agent, "dispatcher", zone=zone, knows_all_flows=True)
        simulation.add_balancer(balancer, zone=zone)
    simulation.run(0.2)
    return simulation


def test_near_agents_are_asked_for_a_flow_first(zones: Simulation) -> None:
    caller = open_flow(zones)
    assert zones.find_upstream_host(caller) == A1
    del zones.nodes[B1].flows[caller.flow]
    before = zones.count_messages(Locate)
    caller.send_request()
    zones.run(0.01)
    assert count(zones, LogEvent.FLOW_FOUND) == 1
    assert zones.count_messages(Locate) - before == 1


def test_a_flow_far_away_is_found_past_a_silent_near_agent(zones: Simulation) -> None:
    caller = open_flow(zones)
    zones.balancer_by_flow[caller.flow] = B2
    zones.nodes.pop(A2)
    caller.send_request()
    zones.run(LOCATE_TIMEOUT_SECONDS + 0.06)
    assert count(zones, LogEvent.FLOW_FOUND) == 1


def test_a_living_agent_is_not_replaced_by_an_old_report(
    simulation: Simulation,
) -> None:
    """Found on played days: after a restart of all, balancers read the reports of
    before from the store, kept to them, and told each other of agents for ever."""
    balancer = simulation.nodes[B1]
    view = balancer.nodes.upstreams[A1]
    old = replace(view.report, incarnation=9_999, boot="i-old")
    listed = ReportsListed(reports=(old,), complete=True, now=simulation.now)
    simulation._dispatch(B1, listed)
    before = simulation.count_messages(Roster)
    simulation.run(5.0)
    assert view.report.incarnation == simulation.nodes[A1].report.incarnation
    assert view.report.boot == simulation.upstreams[A1].boot
    assert simulation.count_messages(Roster) == before


def test_a_restarted_agent_that_others_tell_of_is_asked(simulation: Simulation) -> None:
    simulation.kill(A1)
    state = simulation.add_agent(A1, "dispatcher")
    fresh = replace(state.report, serial=1)
    simulation._dispatch(
        B1, ReportsListed(reports=(fresh,), complete=True, now=simulation.now)
    )
    simulation.run(0.2)
    view = simulation.nodes[B1].nodes.upstreams[A1]
    assert view.report.incarnation == state.report.incarnation
    assert view.confirmed_incarnation == state.report.incarnation


def test_a_restart_of_the_upstream_in_an_outage_is_not_proof(
    simulation: Simulation,
) -> None:
    """Found by random series: the store knew only the run before the outage, so a
    restarted agent denied the flows that its upstream had taken since."""
    simulation.store_available = False
    for host in (A1, A2):
        simulation.crash_upstream(host)
        simulation.start_upstream(host, "dispatcher")
        simulation.send_heartbeat(host)
    caller = simulation.add_caller("dispatcher", B1, requests=12)
    simulation.run(0.2)
    for host in (A1, A2, B1):
        simulation.kill(host)
    simulation.run(0.3)
    for host in (A1, A2):
        simulation.add_agent(host, "dispatcher")
    simulation.store_available = True
    simulation.add_balancer(B1)
    simulation.run(6.0)
    assert caller.outcome == "answered"


def test_a_flow_opened_before_the_first_heartbeat_is_kept(
    simulation: Simulation,
) -> None:
    """Found on an incident: the balancer had the last run's boot from the store, and
    reset the flow when the first heartbeat told the new one; a claim was lost."""
    for host in (A1, A2, B1, B2):
        simulation.kill(host)
    for host in (A1, A2):
        simulation.crash_upstream(host)
        simulation.start_upstream(host, "dispatcher")
    simulation.add_balancer(B1)
    simulation.first_heartbeat_delay = 0.3
    for host in (A1, A2):
        state = simulation.add_agent(host, "dispatcher")
        state.seeds = (B1,)
    caller = simulation.add_caller("dispatcher", B1, requests=12)
    simulation.run(0.02)
    assert caller.is_open
    simulation.run(6.0)
    assert caller.outcome == "answered"


def test_a_bounced_flow_costs_no_search(simulation: Simulation) -> None:
    """Its upstream held it, so that no other agent has to be asked."""
    caller = open_flow(simulation)
    asked = simulation.count_messages(Locate)
    simulation.upstreams[simulation.find_upstream_host(caller)].flows.clear()
    caller.send_request()
    simulation.run(0.02)
    assert caller.outcome == "reset"
    assert simulation.count_messages(Locate) == asked
