"""What a balancer has not heard is unknown to it, not gone.

Found by looking for the cause that `test_datagram_deafness.py` tells of in every
decision to reset a flow: each test is a message that did not come, and a flow that
lives all the same.
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

B1, B2, B3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
A1, A2, A3 = "10.1.0.1", "10.1.0.2", "10.1.0.3"
LONG = 40


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers and three upstreams, known to each other for long."""
    simulation = Simulation(services=("dispatcher", "intake"))
    for host in (A1, A2, A3):
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    simulation.add_agent("10.2.0.1", "intake", knows_all_flows=True)
    for host in (B1, B2):
        simulation.add_balancer(host)
    simulation.run(3.0)
    return simulation


def open_flow(
    simulation: Simulation, balancer: str = B1, service: str = "dispatcher"
) -> Caller:
    caller = simulation.add_caller(service, balancer, requests=LONG)
    simulation.run(0.05)
    assert caller.is_open
    return caller


def lose_between(simulation: Simulation, *pairs: tuple[str, str]) -> None:
    """Lose every message between two nodes, for each pair."""
    lost = {frozenset(pair) for pair in pairs}
    simulation.is_lost = lambda source, host: frozenset((source, host)) in lost


def search_without_holder(simulation: Simulation) -> tuple[Caller, str, str]:
    """Have a new balancer give a flow's agent up, and then be sent the flow.

    Returns
    -------
    tuple of Caller, str and str
        The caller, its agent, and another one that the balancer does not hear either,
        so that its search for the flow goes on.
    """
    caller = open_flow(simulation, B2)
    holder = simulation.find_upstream_host(caller)
    other = next(host for host in (A1, A2, A3) if host != holder)
    simulation.kill(B1)
    lose_between(simulation, (holder, B1))
    simulation.add_balancer(B1)
    simulation.run(2.0)
    assert simulation.nodes[B1].nodes.upstreams[holder].lost
    lose_between(simulation, (holder, B1), (other, B1))
    simulation.balancer_by_flow[caller.flow] = B1
    return caller, holder, other


def test_an_agent_that_was_given_up_is_asked_once_it_speaks(
    simulation: Simulation,
) -> None:
    """A search that began without it must not end in a reset."""
    _caller, _holder, other = search_without_holder(simulation)
    simulation.run(0.4)
    lose_between(simulation, (other, B1))
    simulation.run(LOST_AFTER_SECONDS - 0.45)
    lose_between(simulation)
    simulation.run(1.0)
    assert not simulation.reset_callers


def test_a_deleted_report_of_a_silent_agent_ends_no_flow(
    simulation: Simulation,
) -> None:
    """Another balancer, which did not hear the agent, may have deleted it."""
    caller = open_flow(simulation)
    holder = simulation.find_upstream_host(caller)
    lose_between(simulation, (holder, B1))
    simulation.run(LOST_AFTER_SECONDS - 0.1)
    removed = ReportsListed(reports=(), removed=(holder,), now=simulation.now)
    simulation._dispatch(B1, removed)
    simulation.run(0.05)
    lose_between(simulation)
    simulation.run(2.0)
    assert not simulation.reset_callers


def test_an_introduction_that_was_lost_is_asked_for_again(
    simulation: Simulation,
) -> None:
    """The store does not have an agent that only the other balancers know."""
    caller = open_flow(simulation)
    holder = simulation.find_upstream_host(caller)
    del simulation.stored_reports[holder]
    lose_between(simulation, (B3, B1), (B3, B2))
    simulation.add_balancer(B3)
    simulation.balancer_by_flow[caller.flow] = B3
    simulation.run(0.7)
    lose_between(simulation)
    simulation.run(2.0)
    assert not simulation.reset_callers


def test_a_route_that_only_a_newer_table_has_is_waited_for(
    simulation: Simulation,
) -> None:
    """Routers move a flow of a new route to a balancer that has yet to read it."""
    simulation.publish_table(simulation.make_table(2, excluded="intake"), (B1, B2))
    simulation.run(0.1)
    simulation.publish_table(simulation.make_table(3), (B1,))
    simulation.run(0.1)
    caller = open_flow(simulation, B1, "intake")
    simulation.balancer_by_flow[caller.flow] = B2
    caller.send_request()
    simulation.run(2.0)
    assert not simulation.reset_callers
    assert not caller.outcome and caller.answers > 1


def test_a_report_from_the_store_ends_no_flow(simulation: Simulation) -> None:
    """It may be of an earlier run: the store was away when the last one began."""
    caller = open_flow(simulation)
    holder = simulation.find_upstream_host(caller)
    report = simulation.nodes[B1].nodes.upstreams[holder].report
    lose_between(simulation, (holder, B1))
    simulation.run(0.7)
    incarnation = report.incarnation + 10_000
    old = replace(report, incarnation=incarnation, serial=9, boot="i-earlier")
    simulation._dispatch(B1, ReportsListed(reports=(old,), now=simulation.now))
    simulation.run(0.1)
    lose_between(simulation)
    simulation.run(2.0)
    assert not simulation.reset_callers


def test_the_log_tells_no_age_of_what_was_never_heard(simulation: Simulation) -> None:
    lose_between(simulation, (A1, B3))
    simulation.add_balancer(B3)
    simulation.run(2.0)
    notes = [
        n for host, n in simulation.log_entries if n.event == LogEvent.UPSTREAM_LOST
    ]
    assert [note.fields["heard"] for note in notes] == [None]


def test_an_agent_that_returns_by_the_store_is_asked_too(
    simulation: Simulation,
) -> None:
    """Found by random series: it was restarted after it had been given up."""
    caller, holder, other = search_without_holder(simulation)
    caller.send_request()
    simulation.run(0.1)
    simulation.kill(holder)
    simulation.add_agent(holder, "dispatcher")
    simulation.run(0.01)
    lose_between(simulation, (holder, B1))
    simulation.run(0.3)
    lose_between(simulation)
    simulation.run(1.0)
    assert not simulation.reset_callers


def test_an_agent_that_a_new_balancer_has_yet_to_hear_may_be_restarting(
    simulation: Simulation,
) -> None:
    """Found by random series; a restart takes 0.6 s on a usual VM."""
    caller = open_flow(simulation, B2)
    holder = simulation.find_upstream_host(caller)
    simulation.kill(holder)
    simulation.kill(B1)
    simulation.add_balancer(B1)
    simulation.balancer_by_flow[caller.flow] = B1
    simulation.run(0.6)
    simulation.add_agent(holder, "dispatcher")
    simulation.run(1.0)
    assert not simulation.reset_callers


def test_a_new_agent_makes_itself_known_though_its_first_news_is_lost(
    simulation: Simulation,
) -> None:
    """The store turns it away, so that only its own news can tell of it."""
    simulation.store_available = False
    host = "10.1.0.4"
    lose_between(simulation, (host, B1), (host, B2))
    state = simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    state.seeds = (B1, B2)
    simulation.run(0.3)
    lose_between(simulation)
    simulation.run(1.0)
    assert host in simulation.nodes[B1].nodes.upstreams
    assert host in simulation.nodes[B2].nodes.upstreams


def test_an_agent_that_is_known_does_not_repeat_its_news(
    simulation: Simulation,
) -> None:
    state = simulation.add_agent("10.1.0.4", "dispatcher", knows_all_flows=True)
    state.seeds = (B1, B2)
    simulation.run(1.0)
    sent = simulation.count_messages(Announcement)
    simulation.run(1.0)
    probes = 2  # balancers tell each other their versions, once a second each
    assert simulation.count_messages(Announcement) - sent <= 2 * probes


def test_a_balancer_that_starts_in_an_outage_keeps_asking_its_seeds(
    simulation: Simulation,
) -> None:
    simulation.store_available = False
    lose_between(simulation, (B3, B1), (B3, B2))
    state = simulation.add_balancer(B3)
    state.seeds = (B1, B2)
    simulation.run(2.0)
    lose_between(simulation)
    simulation.run(1.5)
    assert state.peers_synced
    assert set(state.nodes.upstreams) == {A1, A2, A3, "10.2.0.1"}
