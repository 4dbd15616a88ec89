"""A balancer concludes nothing from an incomplete list of agents.

Guards against resets of live flows whose agent was missing in the answers of peers.
"""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shedsill.datagram._effects import SendMessage
from shedsill.datagram._events import MessageReceived
from shedsill.datagram._failure_detection import SYNC_TIMEOUT_SECONDS
from shedsill.datagram._key_ranges import KeyRange, split_by_key, subtract_range
from shedsill.datagram._membership import REPORTS_PER_MESSAGE, answer_probe
from shedsill.datagram._messages import (
    Announcement,
    Load,
    NodeReport,
    Role,
    Roster,
    UpstreamState,
    encode_message,
)
from shedsill.testing.datagram_simulation import Simulation
from shedsill.testing.flow_endpoints import Caller

BALANCER_1, BALANCER_2, BALANCER_3 = "10.0.0.1", "10.0.0.2", "10.0.0.3"
AGENTS = tuple(f"10.1.0.{number}" for number in range(11, 11 + 2 * REPORTS_PER_MESSAGE))
MANY_REQUESTS = 40
MAX_DATAGRAM_BYTES = 1200


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers whose list of nodes takes several messages."""
    simulation = Simulation(services=("dispatcher",))
    for host in AGENTS:
        simulation.add_agent(host, "dispatcher", knows_all_flows=True)
    for host in (BALANCER_1, BALANCER_2):
        simulation.add_balancer(host)
    simulation.run(3.0)
    return simulation


def list_rosters(simulation: Simulation, balancer: str, requester: str) -> list[Roster]:
    """Return the messages in which a balancer lists its nodes for another one."""
    effects = answer_probe(
        simulation.nodes[balancer], requester, simulation.nodes[requester].report
    )
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendMessage) and isinstance(effect.message, Roster)
    ]


def deliver(simulation: Simulation, balancer: str, roster: Roster) -> None:
    event = MessageReceived(message=roster, source=BALANCER_1, now=simulation.now)
    simulation._dispatch(balancer, event)


def start_in_outage(simulation: Simulation, *seeds: str) -> None:
    """Start a balancer that cannot read the store."""
    simulation.store_available = False
    simulation.add_balancer(BALANCER_3).seeds = seeds


def move_flow(simulation: Simulation, *, alive: bool) -> Caller:
    """Route a flow to the balancer that was started last, and perhaps end it."""
    caller = simulation.add_caller("dispatcher", BALANCER_1, requests=MANY_REQUESTS)
    simulation.run(0.05)
    holder = simulation.find_upstream_host(caller)
    assert holder
    if not alive:
        simulation.upstreams[holder].flows.clear()
        simulation.nodes[holder].flows.clear()
    simulation.balancer_by_flow[caller.flow] = BALANCER_3
    return caller


def test_balancer_is_synchronized_by_all_parts_in_any_order(
    simulation: Simulation,
) -> None:
    rosters = list_rosters(simulation, BALANCER_1, BALANCER_2)
    assert len(rosters) == 3
    for order in itertools.permutations(rosters):
        start_in_outage(simulation)
        state = simulation.nodes[BALANCER_3]
        for roster in order:
            assert not state.peers_synced
            part = Roster(
                reports=roster.reports,
                hosts=roster.hosts,
                complete=True,
                requester=state.report.incarnation,
            )
            deliver(simulation, BALANCER_3, part)
            deliver(simulation, BALANCER_3, part)
        assert state.peers_synced
        assert set(state.nodes.upstreams) == {*AGENTS}


@pytest.mark.parametrize("missing", range(3))
def test_lost_part_is_completed_by_a_later_answer(
    simulation: Simulation, missing: int
) -> None:
    """The list grows between the answers, so that their parts differ."""
    start_in_outage(simulation)
    state = simulation.nodes[BALANCER_3]
    rosters = list_rosters(simulation, BALANCER_1, BALANCER_3)
    for roster in rosters[:missing] + rosters[missing + 1 :]:
        deliver(simulation, BALANCER_3, roster)
    assert not state.peers_synced
    new_agents = ("10.1.0.1", "10.1.0.9")
    for host in new_agents:
        report = simulation.nodes[AGENTS[0]].report
        report = simulation._make_report(host, report.role, "z1", "dispatcher")
        announced = MessageReceived(
            message=Announcement(report=report), source=host, now=simulation.now
        )
        simulation._dispatch(BALANCER_1, announced)
    for roster in list_rosters(simulation, BALANCER_1, BALANCER_3):
        deliver(simulation, BALANCER_3, roster)
    assert state.peers_synced
    assert set(state.nodes.upstreams) == {*AGENTS, *new_agents}


def test_answer_to_an_earlier_incarnation_does_not_count(
    simulation: Simulation,
) -> None:
    start_in_outage(simulation)
    rosters = list_rosters(simulation, BALANCER_1, BALANCER_3)
    start_in_outage(simulation)
    for roster in rosters:
        deliver(simulation, BALANCER_3, roster)
    assert not simulation.nodes[BALANCER_3].peers_synced


def test_answer_of_incomplete_peer_does_not_count(simulation: Simulation) -> None:
    simulation.store_available = False
    simulation.kill(BALANCER_2)
    simulation.add_balancer(BALANCER_2)
    start_in_outage(simulation)
    for roster in list_rosters(simulation, BALANCER_2, BALANCER_3):
        deliver(simulation, BALANCER_3, roster)
    assert not simulation.nodes[BALANCER_3].peers_synced


def test_answer_contains_agents_that_the_peer_has_lost(
    simulation: Simulation,
) -> None:
    """The peer may be cut off from an agent that other balancers reach."""
    simulation.nodes[BALANCER_1].nodes.upstreams[AGENTS[0]].lost = True
    reports = [
        report
        for roster in list_rosters(simulation, BALANCER_1, BALANCER_2)
        for report in roster.reports
    ]
    assert AGENTS[0] in {report.host for report in reports}


def test_live_flow_is_kept_while_one_part_of_each_answer_is_lost(
    simulation: Simulation,
) -> None:
    caller = simulation.add_caller("dispatcher", BALANCER_1, requests=MANY_REQUESTS)
    simulation.run(0.05)
    holder = simulation.find_upstream_host(caller)
    start_in_outage(simulation, BALANCER_1)
    for roster in list_rosters(simulation, BALANCER_1, BALANCER_3):
        if all(report.host != holder for report in roster.reports):
            deliver(simulation, BALANCER_3, roster)
    simulation.is_lost = lambda source, host: (
        BALANCER_3 in (source, host) and {source, host} & {BALANCER_1, BALANCER_2}
    )
    simulation.balancer_by_flow[caller.flow] = BALANCER_3
    simulation.run(3.0)
    assert not caller.outcome
    simulation.is_lost = lambda source, host: False
    answers = caller.answers
    simulation.run(2.0)
    assert caller.answers > answers


def test_dead_flow_is_reset_in_outage_once_a_complete_peer_answers(
    simulation: Simulation,
) -> None:
    start_in_outage(simulation, BALANCER_1)
    caller = move_flow(simulation, alive=False)
    simulation.run(SYNC_TIMEOUT_SECONDS)
    assert caller.outcome == "reset"


def test_dead_flow_is_reset_once_the_store_is_back(simulation: Simulation) -> None:
    """All balancers were restarted in the outage, so that no list is complete."""
    caller = move_flow(simulation, alive=False)
    simulation.store_available = False
    for host in (BALANCER_1, BALANCER_2, BALANCER_3):
        simulation.kill(host)
        simulation.add_balancer(host).seeds = (BALANCER_1,)
    simulation.run(2.0)
    assert not caller.outcome
    simulation.restore_store()
    simulation.run(0.5)
    assert caller.outcome == "reset"


def test_roster_fits_into_datagram() -> None:
    host = "10.123.123.123"
    report = NodeReport(
        host=host,
        role=Role.AGENT,
        zone="z" * 12,
        incarnation=2**48,
        serial=2**16,
        service="s" * 16,
        boot="i-" + "f" * 10,
        previous_boot="i-" + "e" * 10,
        state=UpstreamState.UNRESPONSIVE,
        stopping=True,
        load=Load(busy=300, average=0.1, slots=300, flows=3000, cold=0.1, avoided=0.1),
    )
    roster = Roster(
        reports=[report] * REPORTS_PER_MESSAGE,
        hosts=KeyRange(host.encode(), host.encode()),
        complete=True,
        requester=2**48,
    )
    assert len(encode_message(roster)) <= MAX_DATAGRAM_BYTES


keys = st.binary(max_size=2)
ranges = st.builds(KeyRange, after=keys, until=st.none() | keys)
lists = st.dictionaries(st.binary(min_size=1, max_size=2), st.integers())


@given(covered=st.lists(ranges), key=st.binary(min_size=1, max_size=3))
def test_key_is_missing_unless_a_range_covers_it(
    covered: list[KeyRange], key: bytes
) -> None:
    missing = [KeyRange()]
    for key_range in covered:
        missing = subtract_range(missing, key_range)
    is_missing = any(key_range.contains(key) for key_range in missing)
    assert is_missing != any(key_range.contains(key) for key_range in covered)


@given(items=lists, size=st.integers(1, 4))
def test_split_list_covers_all_keys_once(items: dict[bytes, int], size: int) -> None:
    missing = [KeyRange()]
    for key_range, values in split_by_key(items, size):
        assert len(values) <= size
        inside = [items[key] for key in sorted(items) if key_range.contains(key)]
        assert values == inside
        missing = subtract_range(missing, key_range)
    assert not missing
