"""Goodput, refusals and queueing time at one agent, through the reducer.

Requests arrive as a Poisson process at up to several times the capacity; service times
are exponentially distributed.  The ideal goodput keeps all slots busy.
"""

from __future__ import annotations

import heapq
import itertools
import random

from attrs import define, field
from hdrh.histogram import HdrHistogram

from benchmarks.placement import make_agent, make_steady
from benchmarks.results import Result
from shedsill._addresses import Address
from shedsill.http3._agent_state import AgentState
from shedsill.http3._answers import RecordedAnswer
from shedsill.http3._configuration import Configuration
from shedsill.http3._configuration_rules import AcceptanceInputs, accept_resources
from shedsill.http3._effects import RefuseRequest, SendAnswer, SendUpstreamRequest
from shedsill.http3._events import (
    ConfigurationOffered,
    RequestArrived,
    Tick,
    UpstreamAnswered,
    UpstreamLoadRead,
)
from shedsill.http3._placement import TwoCandidates
from shedsill.http3._reducer import reduce
from shedsill.http3._resources import RequestClass, Service, Upstream, UpstreamSet

SERVICE_TIME_SECONDS = 0.2
DURATION_SECONDS = 60.0
LOADS = (0.5, 1.0, 2.0, 5.0)
TICK_SECONDS = 0.05
BALANCED_UPSTREAM_COUNT = 7
BALANCED_LOAD = 0.7
BALANCED_SECONDS = 600.0
MICROSECONDS = 1e6
CLASSES = (
    RequestClass(name="claim", method="POST", path="/claim", deadline=5.0),
    RequestClass(name="upload", method="POST", path="/upload", deadline=60.0),
)


@define
class RequestCounts:
    """Outcomes of the requests of one class."""

    sent: int = 0
    done: int = 0
    refused: int = 0


@define
class AgentSimulation:
    """An agent and its upstream in simulated time."""

    load: float
    slots: int
    generator: random.Random
    now: float = 1_000.0
    busy_seconds: float = 0.0
    events: list[tuple[float, int, str, int]] = field(factory=list)
    arrivals: dict[int, tuple[float, str]] = field(factory=dict)
    counts: dict[str, RequestCounts] = field(factory=dict)
    waits: HdrHistogram = field(factory=lambda: HdrHistogram(1, 120_000_000, 3))
    class_shares: dict[str, float] = field(
        factory=lambda: {"claim": 0.5, "upload": 0.5}
    )
    state: AgentState | None = None
    duration: float = DURATION_SECONDS
    _order: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        service = Service(
            name="s", address="10.0.0.1:443", slots=self.slots, classes=CLASSES
        )
        member = Upstream(name="u0", address="10.0.1.1:1000")
        group = UpstreamSet(name="s", service="s", upstreams=(member,))
        inputs = AcceptanceInputs(services=(service,), upstream_sets=(group,))
        configuration = accept_resources(Configuration(), inputs).configuration
        address = Address("10.0.1.1", 1000)
        self.state = make_agent("u0", address, TwoCandidates(), 0.0)
        self.dispatch(ConfigurationOffered(configuration=configuration, now=self.now))
        for _ in range(2):
            self.dispatch(UpstreamLoadRead(busy=0, now=self.now))
            self.now += 2.0

    def dispatch(self, event) -> None:
        """Reduce an event and apply the effects that count here."""
        self.state, effects = reduce(self.state, event)
        for effect in effects:
            match effect:
                case SendUpstreamRequest(request=request):
                    self._start_request(request)
                case SendAnswer(request=request):
                    self.counts[self.arrivals[request][1]].done += 1
                case RefuseRequest(request=request):
                    self.counts[self.arrivals[request][1]].refused += 1

    def _start_request(self, request: int) -> None:
        service_time = self.generator.expovariate(1 / SERVICE_TIME_SECONDS)
        waited = self.now - self.arrivals[request][0]
        self.waits.record_value(max(int(waited * MICROSECONDS), 1))
        self.busy_seconds += service_time
        self._schedule(service_time, "end", request)

    def _schedule(self, delay: float, kind: str, request: int) -> None:
        entry = (self.now + delay, next(self._order), kind, request)
        heapq.heappush(self.events, entry)

    def run(self) -> None:
        """Run the simulation to its end."""
        start = self.now
        numbers = itertools.count()
        rate = self.load * self.slots / SERVICE_TIME_SECONDS
        self._schedule(0.0, "tick", 0)
        self._schedule(0.0, "arrive", 0)
        while self.events[0][0] < start + self.duration:
            self.now, _order, kind, request = heapq.heappop(self.events)
            match kind:
                case "tick":
                    self.dispatch(Tick(now=self.now, seed=0))
                    self._schedule(TICK_SECONDS, "tick", 0)
                case "arrive":
                    self._receive_request(next(numbers))
                    self._schedule(self.generator.expovariate(rate), "arrive", 0)
                case _:
                    self._answer_request(request)

    def _receive_request(self, number: int) -> None:
        names, weights = zip(*self.class_shares.items(), strict=True)
        name = self.generator.choices(names, weights)[0]
        self.arrivals[number] = (self.now, name)
        self.counts.setdefault(name, RequestCounts()).sent += 1
        self.dispatch(
            RequestArrived(
                request=number,
                flow=0,
                stream=number,
                method="POST",
                path=f"/{name}",
                key="",
                fingerprint=b"",
                body_complete=True,
                now=self.now,
                seed=self.generator.getrandbits(16),
            )
        )

    def _answer_request(self, request: int) -> None:
        answer = RecordedAnswer(status=200, headers=(), body=b"")
        self.dispatch(
            UpstreamAnswered(
                request=request, answer=answer, shed=False, now=self.now, seed=0
            )
        )


def measure_overload() -> list[Result]:
    """Measure goodput, refusals and waits at each offered load."""
    results = []
    for load in LOADS:
        simulation = AgentSimulation(load=load, slots=3, generator=random.Random(5))
        simulation.run()
        ideal = (
            min(load, 1.0) * simulation.slots * DURATION_SECONDS / SERVICE_TIME_SECONDS
        )
        done = sum(counts.done for counts in simulation.counts.values())
        sent = sum(counts.sent for counts in simulation.counts.values())
        refused = sum(counts.refused for counts in simulation.counts.values())
        label = f"load {load:g}"
        results += [
            Result(f"goodput / ideal, {label}", done / ideal, ""),
            Result(f"refused share, {label}", refused / sent, ""),
            Result(f"wait p50, {label}", _get_wait_milliseconds(simulation, 50), "ms"),
            Result(f"wait p99, {label}", _get_wait_milliseconds(simulation, 99), "ms"),
        ]
    return results + _measure_flood() + _measure_slot_balance()


def _get_wait_milliseconds(simulation: AgentSimulation, percentile: float) -> float:
    return simulation.waits.get_value_at_percentile(percentile) / 1e3


def _measure_flood() -> list[Result]:
    """Offer one class at ten times the other's rate, at 5 times the capacity."""
    simulation = AgentSimulation(
        load=5.0,
        slots=3,
        generator=random.Random(6),
        class_shares={"claim": 0.09, "upload": 0.91},
    )
    simulation.run()
    claim = simulation.counts["claim"]
    share = claim.done / claim.sent
    return [Result("claims done under a flood of uploads, load 5", share, "")]


def _measure_slot_balance() -> list[Result]:
    """Compare the busy time of upstreams whose flows all have the same request rate.

    The share of requests of each upstream is its share of the flows after the
    steady scenario of the placement benchmark.
    """
    placement = make_steady(BALANCED_UPSTREAM_COUNT)
    flows = [agent.flow_count for agent in placement.agents.values()]
    mean = sum(flows) / len(flows)
    busy = []
    for index, count in enumerate(flows):
        simulation = AgentSimulation(
            load=BALANCED_LOAD * count / mean,
            slots=3,
            generator=random.Random(index),
            duration=BALANCED_SECONDS,
        )
        simulation.run()
        busy.append(simulation.busy_seconds)
    ratio = max(busy) * len(busy) / sum(busy)
    return [Result("max/mean of busy slots, steady, load 0.7", ratio, "")]
