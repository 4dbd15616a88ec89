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
from shedsill.testing.datagrams import World
from shedsill.testing.flow_peers import Caller

B1, B2, B3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
A1, A2, A3 = "10.1.0.1", "10.1.0.2", "10.1.0.3"
MANY_REQUESTS = 40


@pytest.fixture
def world() -> World:
    """Two balancers and three upstreams of a service that all know each other."""
    world = World(services=("dispatcher", "intake"))
    for host in (A1, A2, A3):
        world.add_agent(host, "dispatcher", first=True)
    world.add_agent("10.2.0.1", "intake", first=True)
    for host in (B1, B2):
        world.add_balancer(host)
    world.run(3.0)
    return world


def open_flow(world: World, balancer: str = B1, service: str = "dispatcher") -> Caller:
    caller = world.call(service, balancer, requests=MANY_REQUESTS)
    world.run(0.05)
    assert caller.open
    return caller


def drop_messages_between(world: World, *pairs: tuple[str, str]) -> None:
    """Drop all messages between the nodes of each pair."""
    lost = {frozenset(pair) for pair in pairs}
    world.is_lost = lambda source, host: frozenset((source, host)) in lost


def search_without_holder(world: World) -> tuple[Caller, str, str]:
    """Have a new balancer give up a flow's agent and then receive the flow.

    Returns
    -------
    tuple of Caller, str and str
        The caller, its agent, and another agent that is cut off from the balancer, so
        that its search for the flow continues.
    """
    caller = open_flow(world, B2)
    holder = world.find_holder(caller)
    other = next(host for host in (A1, A2, A3) if host != holder)
    world.kill(B1)
    drop_messages_between(world, (holder, B1))
    world.add_balancer(B1)
    world.run(2.0)
    assert world.nodes[B1].nodes.upstreams[holder].lost
    drop_messages_between(world, (holder, B1), (other, B1))
    world.routers[caller.flow] = B1
    return caller, holder, other


def test_lost_agent_that_answers_again_is_searched(world: World) -> None:
    """A search that started without the agent must not end in a reset."""
    _caller, _holder, other = search_without_holder(world)
    world.run(0.4)
    drop_messages_between(world, (other, B1))
    world.run(LOST_AFTER_SECONDS - 0.45)
    drop_messages_between(world)
    world.run(1.0)
    assert not world.resets


def test_deleted_report_of_silent_agent_resets_no_flow(world: World) -> None:
    """It may have been deleted by another balancer that did not hear from the agent."""
    caller = open_flow(world)
    holder = world.find_holder(caller)
    drop_messages_between(world, (holder, B1))
    world.run(LOST_AFTER_SECONDS - 0.1)
    removed = ReportsListed(reports=(), removed=(holder,), now=world.now)
    world._dispatch(B1, removed)
    world.run(0.05)
    drop_messages_between(world)
    world.run(2.0)
    assert not world.resets


def test_lost_synchronization_is_requested_again(world: World) -> None:
    """The agent is known only to the other balancers, not to the store."""
    caller = open_flow(world)
    holder = world.find_holder(caller)
    del world.stored[holder]
    drop_messages_between(world, (B3, B1), (B3, B2))
    world.add_balancer(B3)
    world.routers[caller.flow] = B3
    world.run(0.7)
    drop_messages_between(world)
    world.run(2.0)
    assert not world.resets


def test_flow_of_route_in_newer_table_is_not_reset(world: World) -> None:
    """Routers move a flow of a new route to a balancer without the new table."""
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


def test_outdated_report_from_store_resets_no_flow(world: World) -> None:
    """It may be of an earlier incarnation, after an outage of the store."""
    caller = open_flow(world)
    holder = world.find_holder(caller)
    report = world.nodes[B1].nodes.upstreams[holder].report
    drop_messages_between(world, (holder, B1))
    world.run(0.7)
    incarnation = report.incarnation + 10_000
    old = replace(report, incarnation=incarnation, serial=9, boot="i-earlier")
    world._dispatch(B1, ReportsListed(reports=(old,), now=world.now))
    world.run(0.1)
    drop_messages_between(world)
    world.run(2.0)
    assert not world.resets


def test_log_has_no_age_for_agent_never_heard(world: World) -> None:
    drop_messages_between(world, (A1, B3))
    world.add_balancer(B3)
    world.run(2.0)
    notes = [n for host, n in world.notes if n.event == LogEvent.UPSTREAM_LOST]
    assert [note.fields["heard"] for note in notes] == [None]


def test_lost_agent_that_returns_through_store_is_searched(world: World) -> None:
    """The agent is restarted after it was given up."""
    caller, holder, other = search_without_holder(world)
    caller.send_request()
    world.run(0.1)
    world.kill(holder)
    world.add_agent(holder, "dispatcher")
    world.run(0.01)
    drop_messages_between(world, (holder, B1))
    world.run(0.3)
    drop_messages_between(world)
    world.run(1.0)
    assert not world.resets


def test_flow_of_restarting_agent_unknown_to_new_balancer_is_kept(
    world: World,
) -> None:
    """The agent needs 0.6 s to restart and must not be given up meanwhile."""
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


def test_new_agent_announces_itself_again_after_lost_announcement(
    world: World,
) -> None:
    """During an outage of the store only the agent itself can announce it."""
    world.store_up = False
    host = "10.1.0.4"
    drop_messages_between(world, (host, B1), (host, B2))
    state = world.add_agent(host, "dispatcher", first=True)
    state.seeds = (B1, B2)
    world.run(0.3)
    drop_messages_between(world)
    world.run(1.0)
    assert host in world.nodes[B1].nodes.upstreams
    assert host in world.nodes[B2].nodes.upstreams


def test_known_agent_does_not_repeat_announcement(world: World) -> None:
    state = world.add_agent("10.1.0.4", "dispatcher", first=True)
    state.seeds = (B1, B2)
    world.run(1.0)
    sent = world.count_messages(Announcement)
    world.run(1.0)
    probes = 2  # balancers exchange table versions, once a second each
    assert world.count_messages(Announcement) - sent <= 2 * probes


def test_balancer_started_in_outage_keeps_requesting_from_seeds(
    world: World,
) -> None:
    world.store_up = False
    drop_messages_between(world, (B3, B1), (B3, B2))
    state = world.add_balancer(B3)
    state.seeds = (B1, B2)
    world.run(2.0)
    drop_messages_between(world)
    world.run(1.5)
    assert state.peers_synced
    assert set(state.nodes.upstreams) == {A1, A2, A3, "10.2.0.1"}
