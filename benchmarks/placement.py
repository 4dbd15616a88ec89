"""Imbalance of connections under each placement policy, through the reducers.

Balancers and agents are the real states and reducers.  Each new flow goes to a random
balancer, whose view of an agent's load is refreshed once per report lag.  Two
alternative strategies, which exist only here, choose at the balancer by reported load.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from benchmarks.datapath import KEYS, make_state
from benchmarks.results import Result
from shedsill._addresses import Address
from shedsill._limits import Rate
from shedsill.http3._admission import Admission, record_failure
from shedsill.http3._agent_state import AgentSettings, AgentState, get_load
from shedsill.http3._balancer import BalancerState
from shedsill.http3._configuration import Configuration, UpstreamState
from shedsill.http3._configuration_rules import AcceptanceInputs, accept_resources
from shedsill.http3._effects import Deliver, RefuseFlow, Send
from shedsill.http3._events import (
    CallerDatagram,
    ConfigurationOffered,
    FlowClosed,
    FlowOpened,
    FrameReceived,
)
from shedsill.http3._frames import Load, ToCaller, ToUpstream
from shedsill.http3._node import Node
from shedsill.http3._placement import HashOnly, Policy, TwoCandidates, rank_upstreams
from shedsill.http3._reducer import reduce
from shedsill.http3._resources import Action, Change, Service, Upstream, UpstreamSet

FLOWS_PER_UPSTREAM = 800
FLOWS_PER_SECOND = 2_000.0
BALANCER_COUNT = 3
REPORT_LAGS_SECONDS = (0.0, 0.1, 1.0, 5.0)
CHURN_SHARE = 0.5
REPORT_DELAY_SECONDS = 0.003
UNLIMITED = Rate(per_second=1e9, burst=1e9)


@frozen(kw_only=True)
class LeastReported:
    """The balancer chooses the upstream with the fewest reported flows."""


@frozen(kw_only=True)
class TwoReported:
    """The balancer chooses the candidate of two with fewer reported flows."""


Strategy = Policy | LeastReported | TwoReported
STRATEGIES: dict[str, Strategy] = {
    "hash alone": HashOnly(),
    "least reported": LeastReported(),
    "two candidates, reported": TwoReported(),
    "two candidates, passed on": TwoCandidates(),
}


def make_service(
    upstreams: int, *, limit: int = 2_000, slots: int = 3
) -> AcceptanceInputs:
    """Return the resources of one service."""
    service = Service(name="s", address="10.0.0.1:443", connections=limit, slots=slots)
    members = tuple(
        Upstream(name=f"u{index}", address=f"10.0.1.1:{1000 + index}")
        for index in range(upstreams)
    )
    group = UpstreamSet(name="s", service="s", upstreams=members)
    return AcceptanceInputs(services=(service,), upstream_sets=(group,))


def make_agent(name: str, address: Address, policy: Policy, slow_start: float):
    """Return the state of an agent that has no configuration yet."""
    node = Node(name=name, address=address, balancer=False, incarnation=1)
    return AgentState(
        node=node,
        keys=KEYS,
        upstream_name=name,
        service_name="s",
        policy=policy,
        settings=AgentSettings(handshake_rate=UNLIMITED, slow_start=slow_start),
        admission=Admission(),
    )


@define
class PlacementSimulation:
    """Balancers and agents under one strategy in simulated time."""

    strategy: Strategy
    report_lag: float
    generator: random.Random
    inputs: AcceptanceInputs
    slow_start: float = 0.0
    now: float = 1_000.0
    configuration: Configuration = field(factory=Configuration)
    balancers: list[BalancerState] = field(factory=list)
    agents: dict[int, AgentState] = field(factory=dict)
    flows: list[int] = field(factory=list)
    reports: list[tuple[float, int, int, int, Load]] = field(factory=list)
    refused_count: int = 0
    passed_on_count: int = 0
    _sampled_loads: dict[tuple[int, int], tuple[float, Load]] = field(factory=dict)
    _order: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.configure(self.inputs)

    def configure(self, inputs: AcceptanceInputs) -> None:
        """Accept resources and apply the configuration at all nodes."""
        self.inputs = inputs
        self.configuration = accept_resources(self.configuration, inputs).configuration
        if not self.balancers:
            self.balancers = [
                make_state(self.configuration) for _ in range(BALANCER_COUNT)
            ]
        offered = ConfigurationOffered(configuration=self.configuration, now=self.now)
        self.balancers = [reduce(state, offered)[0] for state in self.balancers]
        policy = self.strategy
        if isinstance(policy, (LeastReported, TwoReported)):
            policy = HashOnly()
        for upstream in self.configuration.upstreams:
            state = self.agents.get(upstream.number)
            if state is None:
                state = make_agent(
                    upstream.name, upstream.socket_address, policy, self.slow_start
                )
            self.agents[upstream.number] = reduce(state, offered)[0]

    def open_flow(self) -> None:
        """Open one flow; its load report arrives after a delay."""
        self._deliver_reports()
        index = self.generator.randrange(len(self.balancers))
        cid = self.generator.randbytes(8)
        frame = self._route_flow(index, cid)
        if frame is None:
            self.refused_count += 1
            return
        for _hop in range(2):
            number = frame.upstream
            event = FrameReceived(
                frame=frame, source=Address("10.0.2.1", index + 1), now=self.now
            )
            state, effects = reduce(self.agents[number], event)
            self.agents[number] = state
            sends = [e for e in effects if isinstance(e, Send)]
            if any(isinstance(e, Deliver) for e in effects):
                self._open_at_agent(number, index)
                return
            if any(isinstance(e, RefuseFlow) for e in effects) or not sends:
                break
            assert isinstance(sends[0].frame, ToUpstream)
            frame = sends[0].frame
            self.passed_on_count += 1
        self.refused_count += 1

    def _open_at_agent(self, number: int, balancer: int) -> None:
        opened = FlowOpened(flow=len(self.flows), now=self.now)
        self.agents[number] = reduce(self.agents[number], opened)[0]
        self.flows.append(number)
        load = self._sample_load(balancer, number)
        due = self.now + REPORT_DELAY_SECONDS
        entry = (due, next(self._order), balancer, number, load)
        heapq.heappush(self.reports, entry)

    def _sample_load(self, balancer: int, number: int) -> Load:
        """Return the load that an agent reports to this balancer."""
        pair = (balancer, number)
        sampled, load = self._sampled_loads.get(pair, (-1e9, Load()))
        if self.now - sampled >= self.report_lag:
            load = get_load(self.agents[number])
            self._sampled_loads[pair] = (self.now, load)
        return load

    def _deliver_reports(self) -> None:
        while self.reports and self.reports[0][0] <= self.now:
            _due, _order, balancer, number, load = heapq.heappop(self.reports)
            self._deliver_report(balancer, number, load)

    def _deliver_report(self, balancer: int, number: int, load: Load) -> None:
        if balancer >= len(self.balancers):
            return
        frame = ToCaller(
            generation=self.configuration.generation,
            service=1,
            upstream=number,
            caller=Address("10.9.0.1", 1),
            load=load,
            datagram=b"",
        )
        event = FrameReceived(
            frame=frame, source=Address("10.0.1.1", 1000), now=self.now
        )
        self.balancers[balancer] = reduce(self.balancers[balancer], event)[0]

    def _route_flow(self, index: int, cid: bytes) -> ToUpstream | None:
        datagram = _make_initial(cid)
        event = CallerDatagram(
            service=1, caller=Address("10.9.0.1", 1), datagram=datagram, now=self.now
        )
        state, effects = reduce(self.balancers[index], event)
        self.balancers[index] = state
        frames = [e.frame for e in effects if isinstance(e, Send)]
        if not frames:
            return None
        frame = frames[0]
        assert isinstance(frame, ToUpstream)
        target = self._choose_reported(index, cid)
        if target is None:
            return frame
        return evolve(frame, upstream=target, alternate=None)

    def _choose_reported(self, index: int, cid: bytes) -> int | None:
        candidates = [
            u for u in self.configuration.upstreams if u.state == UpstreamState.ACTIVE
        ]
        match self.strategy:
            case LeastReported():
                pass
            case TwoReported():
                candidates = list(rank_upstreams(candidates, 1, cid)[:2])
            case _:
                return None
        agents = self.balancers[index].router.agents

        def get_reported_flows(upstream) -> tuple[int, float]:
            agent = agents.get(upstream.number)
            flows = agent.load.flows if agent is not None else 0
            return flows, self.generator.random()

        return min(candidates, key=get_reported_flows).number

    def close_flows(self, share: float) -> None:
        """Close a random share of the flows."""
        self.generator.shuffle(self.flows)
        count = int(len(self.flows) * share)
        closing, self.flows = self.flows[:count], self.flows[count:]
        for number in closing:
            closed = FlowClosed(flow=0, now=self.now)
            self.agents[number] = reduce(self.agents[number], closed)[0]

    def open_flows(self, count: int) -> None:
        """Open flows at the rate `FLOWS_PER_SECOND`."""
        for _ in range(count):
            self.now += 1.0 / FLOWS_PER_SECOND
            self.open_flow()

    def get_imbalance(self) -> float:
        """Return the maximum over the mean of flows per active upstream."""
        counts = [
            self.agents[u.number].flow_count
            for u in self.configuration.upstreams
            if u.state == UpstreamState.ACTIVE
        ]
        return max(counts) * len(counts) / max(sum(counts), 1)


def _make_initial(cid: bytes) -> bytes:
    head = bytes([0xC0, 0, 0, 0, 1, 8]) + cid + bytes([0, 0])
    rest = 1200 - len(head) - 2
    return head + (0x4000 | rest).to_bytes(2, "big") + bytes(rest)


def run_steady(simulation: PlacementSimulation, upstreams: int) -> None:
    """Open all flows, then replace half of them."""
    total = upstreams * FLOWS_PER_UPSTREAM
    simulation.open_flows(total)
    simulation.close_flows(CHURN_SHARE)
    simulation.open_flows(int(total * CHURN_SHARE))


def run_join(simulation: PlacementSimulation, upstreams: int) -> None:
    """Add an upstream, then replace half of the flows."""
    run_steady(simulation, upstreams)
    simulation.configure(make_service(upstreams + 1))
    simulation.close_flows(CHURN_SHARE)
    simulation.open_flows(int(upstreams * FLOWS_PER_UPSTREAM * CHURN_SHARE))


def run_drain(simulation: PlacementSimulation, upstreams: int) -> None:
    """Drain an upstream, and open as many flows as it had."""
    run_steady(simulation, upstreams)
    change = Change(name="d", action=Action.DRAIN, target="u0")
    simulation.configure(evolve(simulation.inputs, changes=(change,)))
    simulation.open_flows(FLOWS_PER_UPSTREAM)


def run_balancer_loss(simulation: PlacementSimulation, upstreams: int) -> None:
    """Replace all balancers but one by a new one, which knows no loads."""
    run_steady(simulation, upstreams)
    simulation.balancers = [
        simulation.balancers[0],
        make_state(simulation.configuration),
    ]
    simulation.close_flows(CHURN_SHARE)
    simulation.open_flows(int(upstreams * FLOWS_PER_UPSTREAM * CHURN_SHARE))


def run_reconnect_burst(simulation: PlacementSimulation, upstreams: int) -> None:
    """Open all flows within one second, as after an outage."""
    simulation.open_flows(10)
    for _ in range(upstreams * FLOWS_PER_UPSTREAM):
        simulation.now += 1.0 / (upstreams * FLOWS_PER_UPSTREAM)
        simulation.open_flow()


SCENARIOS: dict[str, Callable[[PlacementSimulation, int], None]] = {
    "steady": run_steady,
    "join": run_join,
    "drain": run_drain,
    "balancers lost": run_balancer_loss,
    "crowd": run_reconnect_burst,
}


def measure_placement() -> list[Result]:
    """Measure every strategy when steady, and the policy in use in all scenarios."""
    results = []
    for (name, strategy), lag in itertools.product(
        STRATEGIES.items(), REPORT_LAGS_SECONDS
    ):
        value = _measure_imbalance(strategy, lag, "steady", 7)
        results.append(Result(f"max/mean, steady, {name}, lag {lag:g} s", value, ""))
    for scenario, lag in itertools.product(list(SCENARIOS)[1:], (0.1, 1.0)):
        for upstreams in (7, 4):
            value = _measure_imbalance(TwoCandidates(), lag, scenario, upstreams)
            label = f"max/mean, {scenario}, {upstreams} upstreams, lag {lag:g} s"
            results.append(Result(label, value, ""))
    return results + _measure_black_hole() + _measure_slow()


def make_steady(upstreams: int) -> PlacementSimulation:
    """Return a simulation of the policy in use after the steady scenario."""
    simulation = PlacementSimulation(
        strategy=TwoCandidates(),
        report_lag=0.1,
        generator=random.Random(11),
        inputs=make_service(upstreams),
    )
    run_steady(simulation, upstreams)
    return simulation


def _measure_black_hole() -> list[Result]:
    """Measure the share of new flows placed on an upstream that sheds all requests."""
    simulation = make_steady(7)
    black_hole = simulation.agents[1]
    before = black_hole.flow_count
    admission = black_hole.admission
    for _ in range(admission.settings.breaker_failures):
        admission = record_failure(admission, simulation.now)
    simulation.agents[1] = evolve(black_hole, admission=admission)
    simulation.open_flows(FLOWS_PER_UPSTREAM)
    share = (simulation.agents[1].flow_count - before) / FLOWS_PER_UPSTREAM
    refused = simulation.refused_count / FLOWS_PER_UPSTREAM
    return [
        Result("share of new flows to a black hole, 7 upstreams", share, ""),
        Result("share of new flows refused beside it", refused, ""),
    ]


def _measure_slow() -> list[Result]:
    """Measure the share of new flows placed on an upstream with a long queue."""
    simulation = make_steady(7)
    slow = simulation.agents[1]
    before = slow.flow_count
    admission = evolve(slow.admission, running=2 * slow.admission.slots)
    simulation.agents[1] = evolve(slow, admission=admission)
    simulation.open_flows(FLOWS_PER_UPSTREAM)
    share = (simulation.agents[1].flow_count - before) / FLOWS_PER_UPSTREAM
    return [Result("share of new flows to a slow one, 7 upstreams", share, "")]


def _measure_imbalance(
    strategy: Strategy, lag: float, scenario: str, upstreams: int
) -> float:
    simulation = PlacementSimulation(
        strategy=strategy,
        report_lag=lag,
        generator=random.Random(11),
        inputs=make_service(upstreams),
    )
    SCENARIOS[scenario](simulation, upstreams)
    return simulation.get_imbalance()
