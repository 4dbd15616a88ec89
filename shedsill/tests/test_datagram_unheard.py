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
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

B1, B2, B3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
A1, A2, A3 = "10.1.0.1", "10.1.0.2", "10.1.0.3"
LONG = 40


@pytest.fixture
def world() -> World:
    """Two balancers and three upstreams, known to each other for long."""
    world = World(services=("dispatcher", "intake"))
    for host in (A1, A2, A3):
        world.add_agent(host, "dispatcher", first=True)
    world.add_agent("10.2.0.1", "intake", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(3.0)
    return world


def open_flow(world: World, balancer: str = B1, service: str = "dispatcher") -> Caller:
    caller = world.call(service, balancer, requests=LONG)
    world.run(0.05)
    assert caller.open
    return caller


def lose_between(world: World, *pairs: tuple[str, str]) -> None:
    """Lose every message between two nodes, for each pair."""
    lost = {frozenset(pair) for pair in pairs}
    world.is_lost = lambda source, host: frozenset((source, host)) in lost


def search_without_holder(world: World) -> tuple[Caller, str, str]:
    """Have a new balancer give a flow's agent up, and then be sent the flow.

    Returns
    -------
    tuple of Caller, str and str
        The caller, its agent, and another one that the balancer does not hear either,
        so that its search for the flow goes on.
    """
    caller = open_flow(world, B2)
    holder = world.find_holder(caller)
    other = next(host for host in (A1, A2, A3) if host != holder)
    world.kill(B1)
    lose_between(world, (holder, B1))
    world.add_balancer(B1)
    world.run(2.0)
    assert world.nodes[B1].nodes.upstreams[holder].lost
    lose_between(world, (holder, B1), (other, B1))
    world.routers[caller.flow] = B1
    return caller, holder, other


def test_an_agent_that_was_given_up_is_asked_once_it_speaks(world: World) -> None:
    """A search that began without it must not end in a reset."""
    _caller, _holder, other = search_without_holder(world)
    world.run(0.4)
    lose_between(world, (other, B1))
    world.run(LOST_AFTER_SECONDS - 0.45)
    lose_between(world)
    world.run(1.0)
    assert not world.resets


def test_a_deleted_report_of_a_silent_agent_ends_no_flow(world: World) -> None:
    """Another balancer, which did not hear the agent, may have deleted it."""
    caller = open_flow(world)
    holder = world.find_holder(caller)
    lose_between(world, (holder, B1))
    world.run(LOST_AFTER_SECONDS - 0.1)
    removed = ReportsListed(reports=(), removed=(holder,), now=world.now)
    world._dispatch(B1, removed)
    world.run(0.05)
    lose_between(world)
    world.run(2.0)
    assert not world.resets


def test_an_introduction_that_was_lost_is_asked_for_again(world: World) -> None:
    """The store does not have an agent that only the other balancers know."""
    caller = open_flow(world)
    holder = world.find_holder(caller)
    del world.stored[holder]
    lose_between(world, (B3, B1), (B3, B2))
    world.add_balancer(B3)
    world.routers[caller.flow] = B3
    world.run(0.7)
    lose_between(world)
    world.run(2.0)
    assert not world.resets


def test_a_route_that_only_a_newer_table_has_is_waited_for(world: World) -> None:
    """Routers move a flow of a new route to a balancer that has yet to read it."""
    world.change_table(world.make_table(2, without="intake"), (B1, B2))
    world.run(0.1)
    world.change_table(world.make_table(3), (B1,))
    world.run(0.1)
    caller = open_flow(world, B1, "intake")
    world.routers[caller.flow] = B2
    caller.send_request()
    world.run(2.0)
    assert not world.resets
    assert not caller.outcome and caller.answers > 1


def test_a_report_from_the_store_ends_no_flow(world: World) -> None:
    """It may be of an earlier run: the store was away when the last one began."""
    caller = open_flow(world)
    holder = world.find_holder(caller)
    report = world.nodes[B1].nodes.upstreams[holder].report
    lose_between(world, (holder, B1))
    world.run(0.7)
    incarnation = report.incarnation + 10_000
    old = replace(report, incarnation=incarnation, serial=9, boot="i-earlier")
    world._dispatch(B1, ReportsListed(reports=(old,), now=world.now))
    world.run(0.1)
    lose_between(world)
    world.run(2.0)
    assert not world.resets


def test_the_log_tells_no_age_of_what_was_never_heard(world: World) -> None:
    lose_between(world, (A1, B3))
    world.add_balancer(B3)
    world.run(2.0)
    notes = [n for host, n in world.notes if n.event == LogEvent.UPSTREAM_LOST]
    assert [note.fields["heard"] for note in notes] == [None]


def test_an_agent_that_returns_by_the_store_is_asked_too(world: World) -> None:
    """Found by random series: it was restarted after it had been given up."""
    caller, holder, other = search_without_holder(world)
    caller.send_request()
    world.run(0.1)
    world.kill(holder)
    world.add_agent(holder, "dispatcher")
    world.run(0.01)
    lose_between(world, (holder, B1))
    world.run(0.3)
    lose_between(world)
    world.run(1.0)
    assert not world.resets


def test_an_agent_that_a_new_balancer_has_yet_to_hear_may_be_restarting(
    world: World,
) -> None:
    """Found by random series; a restart takes 0.6 s on a usual VM."""
    caller = open_flow(world, B2)
    holder = world.find_holder(caller)
    world.kill(holder)
    world.kill(B1)
    world.add_balancer(B1)
    world.routers[caller.flow] = B1
    world.run(0.6)
    world.add_agent(holder, "dispatcher")
    world.run(1.0)
    assert not world.resets


def test_a_new_agent_makes_itself_known_though_its_first_news_is_lost(
    world: World,
) -> None:
    """The store turns it away, so that only its own news can tell of it."""
    world.store_up = False
    host = "10.1.0.4"
    lose_between(world, (host, B1), (host, B2))
    state = world.add_agent(host, "dispatcher", first=True)
    state.seeds = (B1, B2)
    world.run(0.3)
    lose_between(world)
    world.run(1.0)
    assert host in world.nodes[B1].nodes.upstreams
    assert host in world.nodes[B2].nodes.upstreams


def test_an_agent_that_is_known_does_not_repeat_its_news(world: World) -> None:
    state = world.add_agent("10.1.0.4", "dispatcher", first=True)
    state.seeds = (B1, B2)
    world.run(1.0)
    sent = world.count_messages(Announcement)
    world.run(1.0)
    probes = 2  # balancers tell each other their versions, once a second each
    assert world.count_messages(Announcement) - sent <= 2 * probes


def test_a_balancer_that_starts_in_an_outage_keeps_asking_its_seeds(
    world: World,
) -> None:
    world.store_up = False
    lose_between(world, (B3, B1), (B3, B2))
    state = world.add_balancer(B3)
    state.seeds = (B1, B2)
    world.run(2.0)
    lose_between(world)
    world.run(1.5)
    assert state.peers_synced
    assert set(state.nodes.upstreams) == {A1, A2, A3, "10.2.0.1"}
