"""Readings of the store by many balancers while nodes come and go.

Pattern: agents or upstreams restart in turn, about one a second for a while, as in a
release of a service, before any number of balancers.  Read every 2 s by each balancer,
the reports cost calls in proportion to balancers times seconds; on one deployment of 12
balancers 221 of 626 calls of the store were these.  Direct news tells nearly all of it.

What must not be lost by reading less: a flow whose agent is known to the store only is
found, not reset.
"""

from __future__ import annotations

import asyncio

import pytest

from shedsill.coordination import MemoryPlatform
from shedsill.coordination.platform import Changed, Listing, Put, Watch
from shedsill.coordination.watch import watch_changes
from shedsill.datagram import _report_polling
from shedsill.datagram._events import ReportsListed
from shedsill.datagram._messages import NodeReport, Role, UpstreamState
from shedsill.datagram._report_polling import ReportPolling, record_read
from shedsill.datagram._search_state import LOCATE_TIMEOUT_SECONDS
from shedsill.testing.datagram_simulation import Simulation

B1, B2 = "10.0.0.1", "10.0.0.2"
A1, A2 = "10.1.0.1", "10.1.0.2"
LONG = 1000


@pytest.fixture
def simulation() -> Simulation:
    """Two balancers, of which the second one's watch rests, and one upstream."""
    simulation = Simulation(services=("dispatcher",))
    simulation.add_agent(A1, "dispatcher", knows_all_flows=True)
    for host in (B1, B2):
        simulation.add_balancer(host)
    simulation.run(1.0)
    simulation.unwatched_hosts.add(B2)
    return simulation


def hide(simulation: Simulation, agent: str, balancer: str) -> None:
    """Lose all that an agent and others tell a balancer, until it asks."""

    def is_lost(source: str, host: str) -> bool:
        asked = agent in simulation.nodes[balancer].nodes.upstreams
        return host == balancer and source in (agent, B1) and not asked

    simulation.is_lost = is_lost


def test_a_flow_of_an_agent_that_only_the_store_knows_is_found(
    simulation: Simulation,
) -> None:
    hide(simulation, A2, B2)
    simulation.add_agent(A2, "dispatcher", knows_all_flows=True)
    simulation.run(3.0)
    assert A2 not in simulation.nodes[B2].nodes.upstreams
    simulation.nodes[B1].nodes.upstreams[A1].refused_until = simulation.now + 1.0
    caller = simulation.add_caller("dispatcher", B1, requests=LONG)
    simulation.run(0.1)
    assert simulation.find_upstream_host(caller) == A2
    simulation.balancer_by_flow[caller.flow] = B2
    simulation.run(2.0)
    assert caller.answers > 2
    assert not caller.outcome


@pytest.mark.parametrize("store_up", [True, False])
def test_a_flow_that_nobody_holds_is_reset_soon(
    simulation: Simulation, store_up: bool
) -> None:
    """Callers wait for a read, or `READ_TIMEOUT_SECONDS` where the store is away."""
    caller = simulation.add_caller("dispatcher", B1, requests=LONG)
    simulation.run(3.0)
    simulation.store_available = store_up
    simulation.balancer_by_flow[caller.flow] = B2
    simulation.upstreams[A1].flows.clear()
    simulation.nodes[A1].flows.clear()
    simulation.run(0.3)
    assert (caller.outcome == "reset") == store_up
    simulation.run(_report_polling.READ_TIMEOUT_SECONDS + LOCATE_TIMEOUT_SECONDS)
    assert caller.outcome == "reset"


def test_a_service_that_only_the_store_knows_is_found_by_an_opening(
    simulation: Simulation,
) -> None:
    """Its upstreams were all replaced, and nobody could tell this balancer."""
    hide(simulation, A2, B2)
    simulation.add_agent(A2, "dispatcher", knows_all_flows=True)
    simulation.withdraw_upstream(A1)
    simulation.run(3.0)
    caller = simulation.add_caller("dispatcher", B2)
    simulation.run(1.0)
    assert caller.outcome == "answered"


def test_the_collector_tells_the_others_what_the_store_told_it(
    simulation: Simulation,
) -> None:
    state = simulation.nodes[B2]
    report = NodeReport(
        host=A2,
        role=Role.AGENT,
        zone="z1",
        incarnation=77,
        service="dispatcher",
        boot="i-9",
        state=UpstreamState.READY,
    )
    simulation._dispatch(B1, ReportsListed(reports=(report,), now=simulation.now))
    simulation.run(0.01)
    assert A2 in state.nodes.upstreams


def test_a_report_that_was_removed_late_is_written_again(
    simulation: Simulation,
) -> None:
    """The last run's removal was under way when this run found its report."""
    simulation.kill(B2)
    simulation.add_balancer(B2)
    simulation.run(0.1)
    del simulation.stored_reports[B2]
    removed = ReportsListed(reports=(), removed=(B2,), now=simulation.now)
    simulation._dispatch(B2, removed)
    assert simulation.stored_reports[B2].host == B2


def count_readings(*, seconds: int, first: bool) -> int:
    """Count the watches of one balancer while reports change every second."""
    reading = ReportPolling()
    count = 0
    due = 0.0
    for now in range(seconds):
        if now >= due:
            count += 1
            record_read(reading, now, unknown=False, is_collector=first)
            due = now + reading.interval
    return count


def test_restarts_in_turn_cost_few_readings() -> None:
    """All but one of the balancers read a quarter as often or less."""
    often = count_readings(seconds=60, first=True)
    seldom = count_readings(seconds=60, first=False)
    assert often == 30
    assert seldom * 4 <= often


def test_an_unknown_node_has_the_store_read_soon_again() -> None:
    reading = ReportPolling()
    for now in range(10):
        record_read(reading, now, unknown=False, is_collector=False)
    assert reading.interval == _report_polling.MAX_POLL_INTERVAL_SECONDS
    record_read(reading, 10.0, unknown=True, is_collector=False)
    assert reading.interval == _report_polling.MIN_POLL_INTERVAL_SECONDS


class CountingPlatform:
    """A store in memory that notes the patience of each watch."""

    def __init__(self) -> None:
        self._platform = MemoryPlatform()
        self.patiences: list[float] = []

    async def call(self, call):
        if isinstance(call, Watch):
            self.patiences.append(call.patience)
        return await self._platform.call(call)


def test_a_rest_that_is_cut_short_reads_what_has_changed_so_far() -> None:
    """Then the rest begins anew, without another watch in between."""
    platform = CountingPlatform()
    rests = iter([0.01, 30.0])

    async def rest() -> float:
        return next(rests)

    async def read() -> list:
        outcomes = []
        changes = watch_changes(
            platform,
            "k",
            sleep=asyncio.sleep,
            get_timeout=lambda: 30.0,
            delay_next_watch=rest,
        )
        async for outcome in changes:
            outcomes.append(outcome)
            if len(outcomes) == 2:
                break
        await platform.call(Put(kind="k", name="a", value={}, expected=0))
        return outcomes

    first, second = asyncio.run(read())
    assert isinstance(first, Listing)
    assert isinstance(second, Changed)
    assert not second.names
    assert platform.patiences == [0.01]
