"""Random faults and planned operations, with the HTTP/3 reducers and their oracle.

Guards against broken promises to callers; SHEDSILL_FUZZ_EXAMPLES sets the examples.
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
from shedsill.testing.simulation_parts import CallerFlow

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
        self.simulation = Simulation()
        self.unused_tickets: list[tuple[str, str]] = []
        self.ticket_by_work: dict[str, tuple[str, str]] = {}
        self.work_count = 0

    @initialize(seed=indexes)
    def start_simulation(self, seed: int) -> None:
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
        attempt = self.simulation.send_request(
            flow, self._create_work_name(), path="/read"
        )
        self.simulation.settle()
        for run in self.simulation.list_running():
            self.simulation.finish_run(run)
        self.simulation.settle()
        self._record_ticket(attempt)

    def _create_work_name(self) -> str:
        self.work_count += 1
        return f"work-{self.work_count}"

    def _record_ticket(self, attempt) -> None:
        if attempt.ticket:
            self.unused_tickets.append((attempt.flow.service, attempt.ticket))

    def _record_recent_tickets(self) -> None:
        known = {ticket for _service, ticket in self.unused_tickets}
        for attempt in self.simulation.attempts[-20:]:
            if attempt.ticket and attempt.ticket not in known:
                self._record_ticket(attempt)

    def _list_open_flows(self, service: str | None = None) -> list[CallerFlow]:
        return [
            flow
            for flow in self.simulation.flows
            if flow.cid and not flow.is_broken and service in (None, flow.service)
        ]

    # Callers.

    @rule(service=st.sampled_from(sorted(UPSTREAMS)))
    def open_flow(self, service: str) -> None:
        self._count_step()
        self.simulation.open_flow(service)

    @rule(index=indexes)
    def send_without_ticket(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, self._create_work_name())

    @rule(index=indexes)
    def send_read(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, self._create_work_name(), path="/read")

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
            self.simulation.send_request(flow, work, key=ticket)

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
            self.simulation.send_request(flow, work, key=ticket)

    @rule(index=indexes)
    def retry_with_new_ticket(self, index: int) -> None:
        """Retry a refused request with the ticket from the refusal."""
        self._count_step()
        refused = [
            attempt
            for attempt in self.simulation.attempts
            if attempt.outcome == RequestOutcome.NOT_RUN
            and attempt.ticket
            and self.ticket_by_work.get(attempt.job, ("", ""))[1] == attempt.key
        ]
        if not refused:
            return
        attempt = refused[index % len(refused)]
        service = attempt.flow.service
        flows = self._list_open_flows(service)
        if flows:
            self.ticket_by_work[attempt.job] = (service, attempt.ticket)
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, attempt.job, key=attempt.ticket)

    @rule(index=indexes)
    def open_stream(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            flow = flows[index % len(flows)]
            self.simulation.send_request(flow, self._create_work_name(), path="/stream")

    @rule(index=indexes)
    def cancel_request(self, index: int) -> None:
        self._count_step()
        waiting = [
            attempt
            for attempt in self.simulation.attempts
            if attempt.outcome is None and not attempt.cancelled
        ]
        if waiting:
            self.simulation.cancel_request(waiting[index % len(waiting)])

    @rule(index=indexes)
    def close_flow(self, index: int) -> None:
        self._count_step()
        flows = self._list_open_flows()
        if flows:
            self.simulation.close_flow(flows[index % len(flows)])

    @rule(name=st.sampled_from(["d1", "d2", "d3", "i1"]))
    def stop_agent_and_close_flows(self, name: str) -> None:
        """Stop an agent and close its flows, so that it hands over its records."""
        self._count_step()
        self.simulation.stop(name)
        for flow in self._list_open_flows():
            if flow.agent == name:
                self.simulation.close_flow(flow)

    # Network and time.

    @rule(choices=st.lists(indexes, min_size=1, max_size=12))
    def deliver_messages(self, choices: list[int]) -> None:
        self._count_step()
        for choice in choices:
            if self.simulation.messages:
                self.simulation.deliver_message(choice % len(self.simulation.messages))

    @rule(index=indexes)
    def lose_message(self, index: int) -> None:
        self._count_step()
        if self.simulation.messages:
            self.simulation.drop_message(index % len(self.simulation.messages))

    @rule(index=indexes)
    def duplicate_message(self, index: int) -> None:
        self._count_step()
        if self.simulation.messages:
            self.simulation.duplicate_message(index % len(self.simulation.messages))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0, 8.0]))
    def advance_time(self, seconds: float) -> None:
        self._count_step()
        self.simulation.advance(seconds)

    @rule(seconds=st.sampled_from([0.0, 0.5, 2.0]))
    def settle(self, seconds: float) -> None:
        self._count_step()
        self.simulation.retransmit()
        self.simulation.settle(seconds)

    # Upstreams.

    @rule(index=indexes, ending=st.sampled_from(["done", "done", "cut", "shed"]))
    def finish_request(self, index: int, ending: str) -> None:
        self._count_step()
        running = self.simulation.list_running()
        if running:
            run = running[index % len(running)]
            self.simulation.finish_run(
                run, answered=ending != "cut", shed=ending == "shed"
            )

    # Processes.

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def kill_or_restart_node(self, name: str) -> None:
        self._count_step()
        if not self.simulation.nodes[name].has_exited:
            self.simulation.kill(name)
        elif name in BALANCERS:
            self.simulation.start_balancer(name)
        else:
            self.simulation.start_agent(name)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def freeze_or_thaw_node(self, name: str) -> None:
        self._count_step()
        if self.simulation.nodes[name].is_suspended:
            self.simulation.thaw(name)
        else:
            self.simulation.freeze(name)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "d3", "i1", "i2"])))
    def cut_or_reconnect_node(self, name: str) -> None:
        self._count_step()
        self.simulation.partitioned_nodes ^= {name}

    @rule(name=st.sampled_from(["d1", "d3", "i2"]), leaving=st.booleans())
    def list_machine(self, name: str, leaving: bool) -> None:
        self._count_step()
        self.simulation.put_machine(name, leaving=leaving)

    @rule(name=st.sampled_from(sorted([*BALANCERS, "d1", "d2", "i1"])))
    def stop_node(self, name: str) -> None:
        self._count_step()
        self.simulation.stop(name)

    # Platform and operators.

    @rule(down=st.booleans(), lost=st.integers(0, 2), stale=st.integers(0, 1))
    def degrade_platform(self, down: bool, lost: int, stale: int) -> None:
        self._count_step()
        self.simulation.platform_down = down
        self.simulation.lost_answer_count = lost
        self.simulation.stale_list_count = stale

    @rule(name=st.sampled_from(["d1", "d2", "i1"]), drain=st.booleans())
    def drain_or_undrain_upstream(self, name: str, drain: bool) -> None:
        self._count_step()
        if drain:
            change = Change(name=f"drain-{name}", action=Action.DRAIN, target=name)
            self.simulation.apply(change)
        else:
            self.simulation.delete("change", f"drain-{name}")

    @rule(service=st.sampled_from(sorted(UPSTREAMS)), count=st.integers(1, 3))
    def resize_upstream_set(self, service: str, count: int) -> None:
        self._count_step()
        members = tuple(
            Upstream(name=name, address=str(self.simulation.nodes[name].address))
            for name in UPSTREAMS[service][:count]
        )
        group = UpstreamSet(name=service, service=service, upstreams=members)
        self.simulation.apply(group)

    @precondition(lambda self: self.work_count < 200)
    @rule()
    def rotate_keys(self) -> None:
        self._count_step()
        name = f"rotate-{self.work_count}"
        self.simulation.apply(Change(name=name, action=Action.ROTATE_KEYS))

    def _count_step(self) -> None:
        totals["steps"] += 1

    def teardown(self) -> None:
        """After all faults are removed, requests are answered and all nodes agree."""
        if not self.simulation.nodes:
            return
        self.simulation.clear_faults()
        self.simulation.check_final_state()


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
