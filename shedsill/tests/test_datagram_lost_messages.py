"""Lost messages cause no reset of a live flow.

Each test drops one kind of message that a decision to reset a flow depends on.
"""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._failure_detection import LOST_AFTER_SECONDS
from shedsill.datagram._messages import Announcement
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import Caller

BALANCER_1, BALANCER_2, BALANCER_3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
AGENT_1, AGENT_2, AGENT_3 = "10.1.0.1", "10.1.0.2", "10.1.0.3"
MANY_REQUESTS = 40


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers and three upstreams of a service that all know each other."""
    simulation = Simulation(services=("dispatcher", "intake"))
    for host in (AGENT_1, AGENT_2, AGENT_3):
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_agent("10.2.0.1", "intake", knows_all_flows=True)
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    simulation.run(3.0)
    return simulation


def open_flow(
    simulation: Simulation, balancer: str = BALANCER_1, service: str = "dispatcher"
) -> Caller:
    caller = simulation.add_caller(service, balancer, requests=MANY_REQUESTS)
    simulation.run(0.05)
    assert caller.is_open
    return caller


def drop_messages_between(simulation: Simulation, *pairs: tuple[str, str]) -> None:
    """Drop all messages between the nodes of each pair."""
    lost = {frozenset(pair) for pair in pairs}
    simulation.is_lost = lambda source, host: frozenset((source, host)) in lost


def search_without_holder(simulation: Simulation) -> tuple[Caller, str, str]:
    """Have a new balancer give up a flow's agent and then receive the flow.

    Returns
    -------
    tuple of Caller, str and str
        The caller, its agent, and another agent that is cut off from the balancer, so
        that its search for the flow continues.
    """
    caller = open_flow(simulation, BALANCER_2)
    holder = simulation.find_upstream_host(caller)
    other = next(host for host in (AGENT_1, AGENT_2, AGENT_3) if host != holder)
    simulation.kill(BALANCER_1)
    drop_messages_between(simulation, (holder, BALANCER_1))
    simulation.add_balancer(BALANCER_1)
    simulation.run(2.0)
    assert simulation.nodes[BALANCER_1].nodes.upstreams[holder].lost
    drop_messages_between(simulation, (holder, BALANCER_1), (other, BALANCER_1))
    simulation.balancer_by_flow[caller.flow] = BALANCER_1
    return caller, holder, other


def test_lost_agent_that_answers_again_is_searched(
    simulation: Simulation,
) -> None:
    """A search that started without the agent must not end in a reset."""
    _caller, _holder, other = search_without_holder(simulation)
    simulation.run(0.4)
    drop_messages_between(simulation, (other, BALANCER_1))
    simulation.run(LOST_AFTER_SECONDS - 0.45)
    drop_messages_between(simulation)
    simulation.run(1.0)
    assert not simulation.reset_callers


def test_deleted_report_of_silent_agent_resets_no_flow(
    simulation: Simulation,
) -> None:
    """It may have been deleted by another balancer that did not hear from the agent."""
    caller = open_flow(simulation)
    holder = simulation.find_upstream_host(caller)
    drop_messages_between(simulation, (holder, BALANCER_1))
    simulation.run(LOST_AFTER_SECONDS - 0.1)
    removed = ReportsListed(reports=(), removed=(holder,), now=simulation.now)
    simulation._dispatch(BALANCER_1, removed)
    simulation.run(0.05)
    drop_messages_between(simulation)
    simulation.run(2.0)
    assert not simulation.reset_callers


def test_lost_synchronization_is_requested_again(
    simulation: Simulation,
) -> None:
    """The agent is known only to the other balancers, not to the store."""
    caller = open_flow(simulation)
    holder = simulation.find_upstream_host(caller)
    del simulation.stored_reports[holder]
    drop_messages_between(
        simulation, (BALANCER_3, BALANCER_1), (BALANCER_3, BALANCER_2)
    )
    simulation.add_balancer(BALANCER_3)
    simulation.balancer_by_flow[caller.flow] = BALANCER_3
    simulation.run(0.7)
    drop_messages_between(simulation)
    simulation.run(2.0)
    assert not simulation.reset_callers


def test_flow_of_route_in_newer_table_is_not_reset(
    simulation: Simulation,
) -> None:
    """Routers move a flow of a new route to a balancer without the new table."""
    simulation.publish_table(
        simulation.make_table(2, excluded="intake"), (BALANCER_1, BALANCER_2)
    )
    simulation.run(0.1)
    simulation.publish_table(simulation.make_table(3), (BALANCER_1,))
    simulation.run(0.1)
    caller = open_flow(simulation, BALANCER_1, "intake")
    simulation.balancer_by_flow[caller.flow] = BALANCER_2
    caller.send_request()
    simulation.run(2.0)
    assert not simulation.reset_callers
    assert not caller.outcome and caller.answers > 1


def open_flow_of_new_route(simulation: Simulation) -> Caller:
    """Move a flow of a new route to a balancer that the new table did not reach."""
    simulation.publish_table(
        simulation.make_table(2, excluded="intake"), (BALANCER_1, BALANCER_2)
    )
    simulation.run(0.1)
    while simulation.nodes[BALANCER_1].next_peer_exchange_at < simulation.now + 0.8:
        simulation.run(0.04)
    drop_messages_between(simulation, (BALANCER_1, BALANCER_2))
    simulation.publish_table(simulation.make_table(3), (BALANCER_1,))
    simulation.run(0.01)
    drop_messages_between(simulation)
    caller = open_flow(simulation, BALANCER_1, "intake")
    simulation.balancer_by_flow[caller.flow] = BALANCER_2
    caller.send_request()
    return caller


def test_flow_of_route_in_newer_table_is_not_reset_after_lost_announcement(
    simulation: Simulation,
) -> None:
    """No route in the own table is no proof that no balancer has one."""
    caller = open_flow_of_new_route(simulation)
    simulation.run(2.0)
    assert not simulation.reset_callers
    assert not caller.outcome and caller.answers > 1


def test_flow_without_route_is_reset_with_its_next_packet(
    simulation: Simulation,
) -> None:
    caller = open_flow(simulation, BALANCER_1, "intake")
    holder = simulation.find_upstream_host(caller)
    simulation.publish_table(
        simulation.make_table(2, excluded="intake"), (BALANCER_1, BALANCER_2)
    )
    simulation.upstreams[holder].flows.clear()
    simulation.balancer_by_flow[caller.flow] = BALANCER_2
    caller.send_request()
    simulation.run(0.25)
    assert caller.outcome == "reset"


def test_outdated_report_from_store_resets_no_flow(simulation: Simulation) -> None:
    """It may be of an earlier incarnation, after an outage of the store."""
    caller = open_flow(simulation)
    holder = simulation.find_upstream_host(caller)
    report = simulation.nodes[BALANCER_1].nodes.upstreams[holder].report
    drop_messages_between(simulation, (holder, BALANCER_1))
    simulation.run(0.7)
    incarnation = report.incarnation + 10_000
    old = replace(report, incarnation=incarnation, serial=9, boot="i-earlier")
    simulation._dispatch(BALANCER_1, ReportsListed(reports=(old,), now=simulation.now))
    simulation.run(0.1)
    drop_messages_between(simulation)
    simulation.run(2.0)
    assert not simulation.reset_callers


def test_log_has_no_age_for_agent_never_heard(simulation: Simulation) -> None:
    drop_messages_between(simulation, (AGENT_1, BALANCER_3))
    simulation.add_balancer(BALANCER_3)
    simulation.run(2.0)
    notes = [
        n for host, n in simulation.log_entries if n.event == LogEvent.UPSTREAM_LOST
    ]
    assert [note.fields["heard"] for note in notes] == [None]


def test_lost_agent_that_returns_through_store_is_searched(
    simulation: Simulation,
) -> None:
    """The agent is restarted after it was given up."""
    caller, holder, other = search_without_holder(simulation)
    caller.send_request()
    simulation.run(0.1)
    simulation.kill(holder)
    simulation.add_agent(holder, "dispatcher")
    simulation.run(0.01)
    drop_messages_between(simulation, (holder, BALANCER_1))
    simulation.run(0.3)
    drop_messages_between(simulation)
    simulation.run(1.0)
    assert not simulation.reset_callers


def test_flow_of_restarting_agent_unknown_to_new_balancer_is_kept(
    simulation: Simulation,
) -> None:
    """The agent needs 0.6 s to restart and must not be given up meanwhile."""
    caller = open_flow(simulation, BALANCER_2)
    holder = simulation.find_upstream_host(caller)
    simulation.kill(holder)
    simulation.kill(BALANCER_1)
    simulation.add_balancer(BALANCER_1)
    simulation.balancer_by_flow[caller.flow] = BALANCER_1
    simulation.run(0.6)
    simulation.add_agent(holder, "dispatcher")
    simulation.run(1.0)
    assert not simulation.reset_callers


def test_new_agent_announces_itself_again_after_lost_announcement(
    simulation: Simulation,
) -> None:
    """During an outage of the store only the agent itself can announce it."""
    simulation.store_available = False
    host = "10.1.0.4"
    drop_messages_between(simulation, (host, BALANCER_1), (host, BALANCER_2))
    state = simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    state.seeds = (BALANCER_1, BALANCER_2)
    simulation.run(0.3)
    drop_messages_between(simulation)
    simulation.run(1.0)
    assert host in simulation.nodes[BALANCER_1].nodes.upstreams
    assert host in simulation.nodes[BALANCER_2].nodes.upstreams


def test_known_agent_does_not_repeat_announcement(
    simulation: Simulation,
) -> None:
    state = simulation.add_agent("10.1.0.4", "dispatcher", knows_all_flows=True)
    state.seeds = (BALANCER_1, BALANCER_2)
    simulation.run(1.0)
    sent = simulation.count_messages(Announcement)
    simulation.run(1.0)
    probes = 2  # balancers exchange table versions, once a second each
    assert simulation.count_messages(Announcement) - sent <= 2 * probes


def test_balancer_started_in_outage_keeps_requesting_from_seeds(
    simulation: Simulation,
) -> None:
    simulation.store_available = False
    drop_messages_between(
        simulation, (BALANCER_3, BALANCER_1), (BALANCER_3, BALANCER_2)
    )
    state = simulation.add_balancer(BALANCER_3)
    state.seeds = (BALANCER_1, BALANCER_2)
    simulation.run(2.0)
    drop_messages_between(simulation)
    simulation.run(1.5)
    assert state.peers_synced
    assert set(state.nodes.upstreams) == {AGENT_1, AGENT_2, AGENT_3, "10.2.0.1"}
