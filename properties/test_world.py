"""Stateful fuzzing of the HTTP/3 reducers against the oracle of `World`.

CI runs a fixed number of seeded examples.  A longer run, which prints its number of
steps:

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
from shedsill.testing.parts import CallerFlow
from shedsill.testing.world import World

EXAMPLE_COUNT = int(os.environ.get("SHEDSILL_FUZZ_EXAMPLES", "40"))
STEP_COUNT = int(os.environ.get("SHEDSILL_FUZZ_STEPS", "60"))
BALANCERS = ("b1", "b2", "b3")
UPSTREAMS = {"dispatcher": ("d1", "d2", "d3"), "intake": ("i1", "i2")}
SLOTS = 2
PHASES = [Phase.generate] if "SHEDSILL_FUZZ_EXAMPLES" in os.environ else list(Phase)
indexes = st.integers(0, 1_000_000)
totals = {"steps": 0}


class WorldMachine(RuleBasedStateMachine):
    """Requests, operations and faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.unused_tickets: list[tuple[str, str]] = []
        self.ticket_by_work: dict[str, tuple[str, str]] = {}
        self.work_count = 0

    @initialize(seed=indexes)
    def start_world(self, seed: int) -> None:
        self.world = World(seed=seed)
        for name in BALANCERS:
            self.world.start_balancer(name)
        for service, upstreams in UPSTREAMS.items():
            self.world.add_service(service, upstreams, slots=SLOTS)
        self.world.settle(4.0)
        for service in UPSTREAMS:
            flow = self.world.open_flow(service)
            self.world.settle(0.1)
            assert flow.cid
            self._fetch_ticket(flow)

    def _fetch_ticket(self, flow: CallerFlow) -> None:
        attempt = self.world.send_request(flow, self._create_work_name(), path="/read")
        self.world.settle()
        for run in self.world.list_running():
            self.world.finish(run)
        self.world.settle()
        self._record_ticket(attempt)

    def _create_work_name(self) -> str:
        self.work_count += 1
        return f"work-{self.work_count}"

    def _record_ticket(self, attempt) -> None:
        if attempt.ticket:
            self.unused_tickets.append((attempt.flow.service, attempt.ticket))

    def _record_recent_tickets(self) -> None:
        known = {ticket for _service, ticket in self.unused_tickets}
        for attempt in self.world.attempts[-20:]:
            if attempt.ticket and attempt.ticket not in known:
                self._record_ticket(attempt)

    def _list_open_flows(self, service: str | None = None) -> list[CallerFlow]:
        return [
            flow
            for flow in self.world.flows
            if flow.cid and not flow.broken and service in (None, flow.service)
        ]

    # Callers.

    @rule(service=st.sampled_from(sorted(UPSTREAMS)))
    def open_flow(self, service: str) -> None:
        self._count_step()
        self.world.open_flow(service)

    @rule(index=indexes)
    def send_without_ticket(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.world.send_request(flow, self._create_work_name())

    @rule(index=indexes)
    def send_read(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.world.send_request(flow, self._create_work_name(), path="/read")

    @rule(index=indexes)
    def send_with_ticket(self, index: int) -> None:
        self._count_step()
        self._record_recent_tickets()
        if not self.unused_tickets:
            return
        service, ticket = self.unused_tickets.pop(index % len(self.unused_tickets))
        flows = self._list_open_flows(service)
        if flows:
            work = self._create_work_name()
            self.ticket_by_work[work] = (service, ticket)
            flow = flows[index % len(flows)]
            self.world.send_request(flow, work, key=ticket)

    @rule(index=indexes)
    def repeat_request(self, index: int) -> None:
        self._count_step()
        if not self.ticket_by_work:
            return
        work = sorted(self.ticket_by_work)[index % len(self.ticket_by_work)]
        service, ticket = self.ticket_by_work[work]
        flows = self._list_open_flows(service)
        if flows:
            flow = flows[index % len(flows)]
            self.world.send_request(flow, work, key=ticket)

    @rule(index=indexes)
    def retry_with_new_ticket(self, index: int) -> None:
        """Retry a refused request with the ticket from the refusal."""
        self._count_step()
        refused = [
            attempt
            for attempt in self.world.attempts
            if attempt.outcome == RequestOutcome.NOT_RUN
            and attempt.ticket
            and self.ticket_by_work.get(attempt.work, ("", ""))[1] == attempt.key
        ]
        if not refused:
            return
        attempt = refused[index % len(refused)]
        service = attempt.flow.service
        flows = self._list_open_flows(service)
        if flows:
            self.ticket_by_work[attempt.work] = (service, attempt.ticket)
            flow = flows[index % len(flows)]
            self.world.send_request(flow, attempt.work, key=attempt.ticket)

    @rule(index=indexes)
    def open_stream(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.world.send_request(flow, self._create_work_name(), path="/stream")

    @rule(index=indexes)
    def cancel_request(self, index: int) -> None:
        self._count_step()
        waiting = [
            attempt
            for attempt in self.world.attempts
            if attempt.outcome is None and not attempt.cancelled
        ]
        if waiting:
            self.world.cancel_request(waiting[index % len(waiting)])

    @rule(index=indexes)
    def close_flow(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            self.world.close_flow(flows[index % len(flows)])

    @rule(name=st.sampled_from(["d1", "d2", "d3", "i1"]))
    def stop_agent_and_close_flows(self, name: str) -> None:
        """Stop an agent and close its flows, so that it hands over its records."""
        self._count_step()
        self.world.stop(name)
        for flow in self._list_open_flows():
            if flow.agent == name:
                self.world.close_flow(flow)

    # Network and time.

    @rule(choices=st.lists(indexes, min_size=1, max_size=12))
    def deliver_messages(self, choices: list[int]) -> None:
        self._count_step()
        for choice in choices:
            if self.world.messages:
                self.world.deliver(choice % len(self.world.messages))

    @rule(index=indexes)
    def lose_message(self, index: int) -> None:
        self._count_step()
        if self.world.messages:
            self.world.lose(index % len(self.world.messages))

    @rule(index=indexes)
    def duplicate_message(self, index: int) -> None:
        self._count_step()
        if self.world.messages:
            self.world.duplicate(index % len(self.world.messages))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0, 8.0]))
    def advance_time(self, seconds: float) -> None:
        self._count_step()
        self.world.advance(seconds)

    @rule(seconds=st.sampled_from([0.0, 0.5, 2.0]))
    def settle(self, seconds: float) -> None:
        self._count_step()
        self.world.retransmit()
        self.world.settle(seconds)

    # Upstreams.

    @rule(index=indexes, ending=st.sampled_from(["done", "done", "cut", "shed"]))
    def finish_request(self, index: int, ending: str) -> None:
        self._count_step()
        running = self.world.list_running()
        if running:
            run = running[index % len(running)]
            self.world.finish(run, answered=ending != "cut", shed=ending == "shed")

    # Processes.

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def kill_or_restart_node(self, name: str) -> None:
        self._count_step()
        if not self.world.nodes[name].exited:
            self.world.kill(name)
        elif name in BALANCERS:
            self.world.start_balancer(name)
        else:
            self.world.start_agent(name)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def freeze_or_thaw_node(self, name: str) -> None:
        self._count_step()
        if self.world.nodes[name].frozen:
            self.world.thaw(name)
        else:
            self.world.freeze(name)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def cut_or_reconnect_node(self, name: str) -> None:
        self._count_step()
        self.world.cut ^= {name}

    @rule(name=st.sampled_from(["d1", "d3", "i2"]), leaving=st.booleans())
    def list_machine(self, name: str, leaving: bool) -> None:
        self._count_step()
        self.world.list_machine(name, leaving=leaving)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "i1"])))
    def stop_node(self, name: str) -> None:
        self._count_step()
        self.world.stop(name)

    # Platform and operators.

    @rule(down=st.booleans(), lost=st.integers(0, 2), stale=st.integers(0, 1))
    def degrade_platform(self, down: bool, lost: int, stale: int) -> None:
        self._count_step()
        self.world.platform_down = down
        self.world.lose_answers = lost
        self.world.stale_lists = stale

    @rule(name=st.sampled_from(["d1", "d2", "i1"]), drain=st.booleans())
    def drain_or_undrain_upstream(self, name: str, drain: bool) -> None:
        self._count_step()
        if drain:
            change = Change(name=f"drain-{name}", action=Action.DRAIN, target=name)
            self.world.apply(change)
        else:
            self.world.delete("change", f"drain-{name}")

    @rule(service=st.sampled_from(sorted(UPSTREAMS)), count=st.integers(1, 3))
    def resize_upstream_set(self, service: str, count: int) -> None:
        self._count_step()
        members = tuple(
            Upstream(name=name, address=str(self.world.nodes[name].address))
            for name in UPSTREAMS[service][:count]
        )
        group = UpstreamSet(name=service, service=service, upstreams=members)
        self.world.apply(group)

    @precondition(lambda self: self.work_count < 200)
    @rule()
    def rotate_keys(self) -> None:
        self._count_step()
        name = f"rotate-{self.work_count}"
        self.world.apply(Change(name=name, action=Action.ROTATE_KEYS))

    def _count_step(self) -> None:
        totals["steps"] += 1

    def teardown(self) -> None:
        """After all faults are removed, requests are answered and all nodes agree."""
        if not self.world.nodes:
            return
        self.world.heal()
        self.world.check_end()


WorldMachine.TestCase.settings = settings(
    max_examples=EXAMPLE_COUNT,
    stateful_step_count=STEP_COUNT,
    deadline=None,
    derandomize="SHEDSILL_FUZZ_EXAMPLES" not in os.environ,
    phases=PHASES,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class TestWorld(WorldMachine.TestCase):
    """Runs the state machine under pytest and prints the number of steps."""

    @classmethod
    def tearDownClass(cls) -> None:
        print(f"fuzzer steps: {totals['steps']}")
