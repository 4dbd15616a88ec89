"""Stateful fuzzing of the real reducers against the oracle of `Simulation`.

CI runs a fixed number of seeded examples.  A longer run, which prints how many
steps it did:

    SHEDSILL_FUZZ_EXAMPLES=2000 python -m pytest -s properties/test_world.py
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from shedsill.http3._answers import RequestOutcome
from shedsill.http3._resources import Action, Change, Upstream, UpstreamSet
from shedsill.testing.http3_simulation import Simulation
from shedsill.testing.parts import CallerFlow

EXAMPLES = int(os.environ.get("SHEDSILL_FUZZ_EXAMPLES", "40"))
STEPS = int(os.environ.get("SHEDSILL_FUZZ_STEPS", "60"))
BALANCERS = ("b1", "b2", "b3")
UPSTREAMS = {"dispatcher": ("d1", "d2", "d3"), "intake": ("i1", "i2")}
SLOTS = 2
PHASES = [Phase.generate] if "SHEDSILL_FUZZ_EXAMPLES" in os.environ else list(Phase)
indexes = st.integers(0, 1_000_000)
totals = {"steps": 0}


class WorldMachine(RuleBasedStateMachine):
    """Callers, operators and faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()
        self.tickets: list[tuple[str, str]] = []
        self.works: dict[str, tuple[str, str]] = {}
        self.count = 0

    @initialize(seed=indexes)
    def build(self, seed: int) -> None:
        self.simulation = Simulation(seed=seed)
        for name in BALANCERS:
            self.simulation.start_balancer(name)
        for service, upstreams in UPSTREAMS.items():
            self.simulation.add_service(service, upstreams, slots=SLOTS)
        self.simulation.settle(4.0)
        for service in UPSTREAMS:
            flow = self.simulation.open_flow(service)
            self.simulation.settle(0.1)
            assert flow.cid
            self._fetch_ticket(flow)

    def _fetch_ticket(self, flow: CallerFlow) -> None:
        attempt = self.simulation.send_request(flow, self._name_work(), path="/read")
        self.simulation.settle()
        for run in self.simulation.list_running():
            self.simulation.finish_run(run)
        self.simulation.settle()
        self._collect(attempt)

    def _name_work(self) -> str:
        self.count += 1
        return f"work-{self.count}"

    def _collect(self, attempt) -> None:
        if attempt.ticket:
            self.tickets.append((attempt.flow.service, attempt.ticket))

    def _collect_all(self) -> None:
        known = {ticket for _service, ticket in self.tickets}
        for attempt in self.simulation.attempts[-20:]:
            if attempt.ticket and attempt.ticket not in known:
                self._collect(attempt)

    def _open_flows(self, service: str | None = None) -> list[CallerFlow]:
        return [
            flow
            for flow in self.simulation.flows
            if flow.cid and not flow.broken and service in (None, flow.service)
        ]

    # Callers.

    @rule(service=st.sampled_from(sorted(UPSTREAMS)))
    def open_flow(self, service: str) -> None:
        self._count()
        self.simulation.open_flow(service)

    @rule(index=indexes)
    def send_plain(self, index: int) -> None:
        self._count()
        flows = self._open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, self._name_work())

    @rule(index=indexes)
    def send_read(self, index: int) -> None:
        self._count()
        flows = self._open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, self._name_work(), path="/read")

    @rule(index=indexes)
    def send_with_ticket(self, index: int) -> None:
        self._count()
        self._collect_all()
        if not self.tickets:
            return
        service, ticket = self.tickets.pop(index % len(self.tickets))
        flows = self._open_flows(service)
        if flows:
            work = self._name_work()
            self.works[work] = (service, ticket)
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, work, key=ticket)

    @rule(index=indexes)
    def repeat(self, index: int) -> None:
        self._count()
        if not self.works:
            return
        work = sorted(self.works)[index % len(self.works)]
        service, ticket = self.works[work]
        flows = self._open_flows(service)
        if flows:
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, work, key=ticket)

    @rule(index=indexes)
    def move_to_new_ticket(self, index: int) -> None:
        """After a refusal the same work goes on under the ticket that came with it."""
        self._count()
        refused = [
            attempt
            for attempt in self.simulation.attempts
            if attempt.outcome == RequestOutcome.NOT_RUN
            and attempt.ticket
            and self.works.get(attempt.work, ("", ""))[1] == attempt.key
        ]
        if not refused:
            return
        attempt = refused[index % len(refused)]
        service = attempt.flow.service
        flows = self._open_flows(service)
        if flows:
            self.works[attempt.work] = (service, attempt.ticket)
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, attempt.work, key=attempt.ticket)

    @rule(index=indexes)
    def open_stream(self, index: int) -> None:
        self._count()
        flows = self._open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, self._name_work(), path="/stream")

    @rule(index=indexes)
    def cancel(self, index: int) -> None:
        self._count()
        waiting = [
            attempt
            for attempt in self.simulation.attempts
            if attempt.outcome is None and not attempt.cancelled
        ]
        if waiting:
            self.simulation.cancel_request(waiting[index % len(waiting)])

    @rule(index=indexes)
    def close_flow(self, index: int) -> None:
        self._count()
        flows = self._open_flows()
        if flows:
            self.simulation.close_flow(flows[index % len(flows)])

    @rule(name=st.sampled_from(["d1", "d2", "d3", "i1"]))
    def leave(self, name: str) -> None:
        """Stop an agent and close its flows, so that it hands its record on."""
        self._count()
        self.simulation.stop(name)
        for flow in self._open_flows():
            if flow.agent == name:
                self.simulation.close_flow(flow)

    # The network and time.

    @rule(choices=st.lists(indexes, min_size=1, max_size=12))
    def deliver(self, choices: list[int]) -> None:
        self._count()
        for choice in choices:
            if self.simulation.messages:
                self.simulation.deliver_message(choice % len(self.simulation.messages))

    @rule(index=indexes)
    def lose(self, index: int) -> None:
        self._count()
        if self.simulation.messages:
            self.simulation.drop_message(index % len(self.simulation.messages))

    @rule(index=indexes)
    def duplicate(self, index: int) -> None:
        self._count()
        if self.simulation.messages:
            self.simulation.duplicate_message(index % len(self.simulation.messages))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0, 8.0]))
    def pass_time(self, seconds: float) -> None:
        self._count()
        self.simulation.advance(seconds)

    @rule(seconds=st.sampled_from([0.0, 0.5, 2.0]))
    def settle(self, seconds: float) -> None:
        self._count()
        self.simulation.retransmit()
        self.simulation.settle(seconds)

    # Upstreams.

    @rule(index=indexes, how=st.sampled_from(["done", "done", "cut", "shed"]))
    def end_run(self, index: int, how: str) -> None:
        self._count()
        running = self.simulation.list_running()
        if running:
            run = running[index % len(running)]
            self.simulation.finish_run(run, answered=how != "cut", shed=how == "shed")

    # Processes.

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def kill_or_restart(self, name: str) -> None:
        self._count()
        if not self.simulation.nodes[name].exited:
            self.simulation.kill(name)
        elif name in BALANCERS:
            self.simulation.start_balancer(name)
        else:
            self.simulation.start_agent(name)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def freeze_or_thaw(self, name: str) -> None:
        self._count()
        if self.simulation.nodes[name].frozen:
            self.simulation.thaw(name)
        else:
            self.simulation.freeze(name)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def cut_or_join(self, name: str) -> None:
        self._count()
        self.simulation.partitioned_nodes ^= {name}

    @rule(name=st.sampled_from(["d1", "d3", "i2"]), leaving=st.booleans())
    def list_machine(self, name: str, leaving: bool) -> None:
        self._count()
        self.simulation.put_machine(name, leaving=leaving)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "i1"])))
    def stop(self, name: str) -> None:
        self._count()
        self.simulation.stop(name)

    # The platform and operators.

    @rule(down=st.booleans(), lost=st.integers(0, 2), stale=st.integers(0, 1))
    def disturb_platform(self, down: bool, lost: int, stale: int) -> None:
        self._count()
        self.simulation.platform_down = down
        self.simulation.lost_answer_count = lost
        self.simulation.stale_list_count = stale

    @rule(name=st.sampled_from(["d1", "d2", "i1"]), begin=st.booleans())
    def drain_or_undrain(self, name: str, begin: bool) -> None:
        self._count()
        if begin:
            change = Change(name=f"drain-{name}", action=Action.DRAIN, target=name)
            self.simulation.apply(change)
        else:
            self.simulation.delete("change", f"drain-{name}")

    @rule(service=st.sampled_from(sorted(UPSTREAMS)), count=st.integers(1, 3))
    def resize(self, service: str, count: int) -> None:
        self._count()
        members = tuple(
            Upstream(name=name, address=str(self.simulation.nodes[name].address))
            for name in UPSTREAMS[service][:count]
        )
        group = UpstreamSet(name=service, service=service, upstreams=members)
        self.simulation.apply(group)

    @precondition(lambda self: self.count < 200)
    @rule()
    def rotate_keys(self) -> None:
        self._count()
        name = f"rotate-{self.count}"
        self.simulation.apply(Change(name=name, action=Action.ROTATE_KEYS))

    def _count(self) -> None:
        totals["steps"] += 1

    def teardown(self) -> None:
        """Heal everything: each request has an answer, and all nodes agree."""
        if not self.simulation.nodes:
            return
        self.simulation.clear_faults()
        self.simulation.check_final_state()


WorldMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize="SHEDSILL_FUZZ_EXAMPLES" not in os.environ,
    phases=PHASES,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class TestWorld(WorldMachine.TestCase):
    """Runs the machine under pytest."""

    @classmethod
    def tearDownClass(cls) -> None:
        print(f"fuzzer steps: {totals['steps']}")
