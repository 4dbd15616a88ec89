"""Fault matrix: each fault at each step leaves flows, answers and nodes consistent."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from attrs import define

from shedsill.http3._answers import RequestOutcome
from shedsill.http3._configuration import UpstreamState
from shedsill.http3._resources import Action, Change, Upstream, UpstreamSet
from shedsill.testing.http3_simulation import Simulation
from shedsill.testing.simulation_parts import Attempt, CallerFlow, PlatformMessage

BALANCERS = ("b1", "b2", "b3")


@define
class Scenario:
    """A simulated system and one of its flows."""

    simulation: Simulation
    flow: CallerFlow

    @property
    def agent(self) -> str:
        """Name of the agent that serves the flow."""
        return self.flow.agent or "d1"


def make_scenario() -> Scenario:
    """Return an idle system with one open flow."""
    simulation = Simulation(seed=7)
    for name in BALANCERS:
        simulation.start_balancer(name)
    simulation.add_service("dispatcher", ("d1", "d2", "d3"), slots=2)
    simulation.add_service("intake", ("i1", "i2"), slots=2)
    simulation.settle(4.0)
    flow = simulation.open_flow("dispatcher")
    simulation.settle(0.2)
    assert flow.cid
    return Scenario(simulation, flow)


def run_request(scenario: Scenario, work: str, **options) -> Attempt:
    """Send a request and finish all running requests."""
    attempt = scenario.simulation.send_request(scenario.flow, work, **options)
    scenario.simulation.settle()
    for run in scenario.simulation.list_running():
        scenario.simulation.finish_run(run)
    scenario.simulation.settle()
    return attempt


def apply_change(scenario: Scenario, action: Action, target: str = "") -> None:
    """Apply a `Change` resource."""
    name = f"{action.value}-{target or 'x'}"
    scenario.simulation.apply(Change(name=name, action=action, target=target))


def set_upstreams(scenario: Scenario, names: tuple[str, ...]) -> None:
    """Apply the upstreams of the dispatcher service."""
    members = tuple(
        Upstream(name=name, address=str(scenario.simulation.nodes[name].address))
        for name in names
    )
    group = UpstreamSet(name="dispatcher", service="dispatcher", upstreams=members)
    scenario.simulation.apply(group)


def step_first_packet(scenario: Scenario) -> None:
    scenario.simulation.open_flow("dispatcher")


def step_first_packet_at_agent(scenario: Scenario) -> None:
    scenario.simulation.open_flow("dispatcher")
    scenario.simulation.deliver_message(len(scenario.simulation.messages) - 1)


def step_request_sent(scenario: Scenario) -> None:
    scenario.simulation.send_request(scenario.flow, "w")


def step_request_running(scenario: Scenario) -> None:
    scenario.simulation.send_request(scenario.flow, "w")
    scenario.simulation.settle()


def step_request_queued(scenario: Scenario) -> None:
    for index in range(4):
        scenario.simulation.send_request(scenario.flow, f"w{index}")
    scenario.simulation.settle()


def step_answer_on_its_way(scenario: Scenario) -> None:
    step_request_running(scenario)
    scenario.simulation.finish_run(scenario.simulation.list_running()[0])


def step_answer_cut(scenario: Scenario) -> None:
    step_request_running(scenario)
    scenario.simulation.finish_run(
        scenario.simulation.list_running()[0], answered=False
    )


def step_deadline_passing(scenario: Scenario) -> None:
    for index in range(4):
        scenario.simulation.send_request(scenario.flow, f"w{index}")
    scenario.simulation.settle(4.9, step=0.1)


def step_cancelled(scenario: Scenario) -> None:
    attempts = [
        scenario.simulation.send_request(scenario.flow, f"w{i}") for i in range(4)
    ]
    scenario.simulation.settle()
    scenario.simulation.cancel_request(attempts[0])
    scenario.simulation.cancel_request(attempts[3])


def step_retry_while_running(scenario: Scenario) -> None:
    ticket = run_request(scenario, "r", path="/read").ticket
    scenario.simulation.send_request(scenario.flow, "w", key=ticket)
    scenario.simulation.settle()
    other = scenario.simulation.open_flow("dispatcher")
    scenario.simulation.settle(0.2)
    scenario.simulation.send_request(other, "w", key=ticket)


def step_retry_when_done(scenario: Scenario) -> None:
    ticket = run_request(scenario, "r", path="/read").ticket
    run_request(scenario, "w", key=ticket)
    other = scenario.simulation.open_flow("dispatcher")
    scenario.simulation.settle(0.2)
    scenario.simulation.send_request(other, "w", key=ticket)


def step_drain_written(scenario: Scenario) -> None:
    scenario.simulation.send_request(scenario.flow, "s", path="/stream")
    scenario.simulation.settle()
    apply_change(scenario, Action.DRAIN, scenario.agent)


def step_drain_in_force(scenario: Scenario) -> None:
    step_drain_written(scenario)
    scenario.simulation.settle(2.0)


def step_drain_ending(scenario: Scenario) -> None:
    ticket = run_request(scenario, "r", path="/read").ticket
    run_request(scenario, "w", key=ticket)
    scenario.simulation.stop(scenario.agent)
    scenario.simulation.settle(0.2)


def step_balancer_stopping(scenario: Scenario) -> None:
    scenario.simulation.stop("b1")


def step_upstream_joining(scenario: Scenario) -> None:
    set_upstreams(scenario, ("d1", "d2"))
    scenario.simulation.settle(2.0)
    set_upstreams(scenario, ("d1", "d2", "d3"))


def step_apply_written(scenario: Scenario) -> None:
    apply_change(scenario, Action.ROTATE_KEYS)
    scenario.simulation.advance(0.05)


def step_apply_half_spread(scenario: Scenario) -> None:
    apply_change(scenario, Action.ROTATE_KEYS)
    for _ in range(6):
        scenario.simulation.advance(0.05)
        for _ in range(min(3, len(scenario.simulation.messages))):
            scenario.simulation.deliver_message(0)


def step_agent_restarted(scenario: Scenario) -> None:
    scenario.simulation.send_request(scenario.flow, "w")
    scenario.simulation.settle()
    agent = scenario.agent
    scenario.simulation.kill(agent)
    scenario.simulation.start_agent(agent)


def step_join_in_outage(scenario: Scenario) -> None:
    scenario.simulation.platform_down = True
    scenario.simulation.kill("b3")
    scenario.simulation.start_balancer("b3")
    scenario.simulation.advance(0.05)


def fault_none(scenario: Scenario) -> None:
    del scenario


def fault_kill_balancer(scenario: Scenario) -> None:
    scenario.simulation.kill("b1")
    scenario.simulation.settle(1.0)


def fault_kill_all_balancers_but_one(scenario: Scenario) -> None:
    scenario.simulation.kill("b1")
    scenario.simulation.kill("b2")
    scenario.simulation.settle(1.0)


def fault_freeze_balancer(scenario: Scenario) -> None:
    scenario.simulation.freeze("b1")
    scenario.simulation.settle(10.0, step=0.25)
    scenario.simulation.thaw("b1")


def fault_kill_agent(scenario: Scenario) -> None:
    scenario.simulation.kill(scenario.agent)
    scenario.simulation.settle(1.0)


def fault_freeze_agent(scenario: Scenario) -> None:
    scenario.simulation.freeze(scenario.agent)
    scenario.simulation.settle(10.0, step=0.25)
    scenario.simulation.thaw(scenario.agent)


def fault_kill_upstream(scenario: Scenario) -> None:
    for run in scenario.simulation.list_running():
        if run.agent == scenario.agent:
            scenario.simulation.finish_run(run, answered=False)
    scenario.simulation.settle(1.0)


def fault_freeze_upstream(scenario: Scenario) -> None:
    """No running request ends before its deadline."""
    scenario.simulation.settle(8.0, step=0.1)


def fault_cut_agent(scenario: Scenario) -> None:
    scenario.simulation.partitioned_nodes.add(scenario.agent)
    scenario.simulation.settle(10.0, step=0.25)


def fault_cut_balancer(scenario: Scenario) -> None:
    scenario.simulation.partitioned_nodes.add("b1")
    scenario.simulation.settle(10.0, step=0.25)


def fault_platform_slow(scenario: Scenario) -> None:
    slow = [m for m in scenario.simulation.messages if isinstance(m, PlatformMessage)]
    scenario.simulation.messages = [
        m for m in scenario.simulation.messages if m not in slow
    ]
    scenario.simulation.settle(3.0)
    scenario.simulation.messages += slow


def fault_platform_down(scenario: Scenario) -> None:
    scenario.simulation.platform_down = True
    scenario.simulation.settle(8.0, step=0.25)


def fault_lost_answers(scenario: Scenario) -> None:
    scenario.simulation.lost_answer_count = 3


def fault_stale_reads(scenario: Scenario) -> None:
    scenario.simulation.stale_list_count = 3


def fault_all_lost(scenario: Scenario) -> None:
    while scenario.simulation.messages:
        scenario.simulation.drop_message(0)


def fault_all_doubled(scenario: Scenario) -> None:
    for index in range(len(scenario.simulation.messages)):
        scenario.simulation.duplicate_message(index)


def fault_reversed(scenario: Scenario) -> None:
    scenario.simulation.messages.reverse()


def fault_wrong_machine_list(scenario: Scenario) -> None:
    for name in ("d1", "d2", "d3"):
        scenario.simulation.put_machine(name, leaving=name != scenario.agent)
    scenario.simulation.settle(4.0)


def fault_lying_load(scenario: Scenario) -> None:
    for upstream in scenario.simulation.upstreams.values():
        upstream.reports_idle = True


def fault_clock_jump(scenario: Scenario) -> None:
    scenario.simulation.advance(300.0)


def fault_operators_race(scenario: Scenario) -> None:
    set_upstreams(scenario, ("d1", "d2"))
    set_upstreams(scenario, ("d2", "d3"))
    set_upstreams(scenario, ("d1", "d2", "d3"))


def _collect(prefix: str) -> dict[str, Callable[[Scenario], None]]:
    return {
        name.removeprefix(prefix): function
        for name, function in globals().items()
        if name.startswith(prefix)
    }


STEPS = _collect("step_")
FAULTS = _collect("fault_")
UNPLANNED_STEPS = {"agent_restarted"}


@pytest.mark.parametrize("fault", sorted(FAULTS))
@pytest.mark.parametrize("step", sorted(STEPS))
def test_oracle_holds_after_fault(step: str, fault: str) -> None:
    scenario = make_scenario()
    STEPS[step](scenario)
    FAULTS[fault](scenario)
    scenario.simulation.clear_faults()
    scenario.simulation.check_final_state()


@pytest.mark.parametrize("step", sorted(set(STEPS) - UNPLANNED_STEPS))
def test_planned_step_breaks_no_flow(step: str) -> None:
    scenario = make_scenario()
    STEPS[step](scenario)
    scenario.simulation.retransmit()
    scenario.simulation.settle(20.0, step=0.25)
    assert not any(flow.is_broken for flow in scenario.simulation.flows)
    attempt = run_request(scenario, "after", path="/read")
    assert attempt.outcome is not None


def test_draining_upstream_gets_no_new_work() -> None:
    scenario = make_scenario()
    apply_change(scenario, Action.DRAIN, scenario.agent)
    scenario.simulation.settle(3.0)
    configuration = scenario.simulation.nodes["b1"].state.node.configuration
    state = {u.name: u.state for u in configuration.upstreams}[scenario.agent]
    assert state == UpstreamState.DRAINING
    attempt = run_request(scenario, "late")
    assert attempt.outcome == RequestOutcome.NOT_RUN
    for _ in range(20):
        scenario.simulation.open_flow("dispatcher")
    scenario.simulation.settle(1.0)
    placed = [flow.agent for flow in scenario.simulation.flows[1:]]
    assert "" not in placed
    assert scenario.agent not in placed


def test_repeat_after_planned_stop_gets_the_recorded_answer() -> None:
    scenario = make_scenario()
    ticket = run_request(scenario, "r", path="/read").ticket
    first = run_request(scenario, "w", key=ticket)
    stopped = scenario.agent
    process = scenario.simulation.nodes[stopped]
    scenario.simulation.close_flow(scenario.flow)
    scenario.simulation.stop(stopped)
    scenario.simulation.settle(4.0)
    assert process.has_exited
    scenario.flow = scenario.simulation.open_flow("dispatcher")
    scenario.simulation.settle(0.5)
    again = run_request(scenario, "w", key=ticket)
    assert (again.outcome, again.body) == (RequestOutcome.DONE, first.body)


def test_configuration_accepted_before_an_outage_reaches_every_node() -> None:
    scenario = make_scenario()
    apply_change(scenario, Action.ROTATE_KEYS)
    while max(scenario.simulation.accepted) < 2:
        scenario.simulation.advance(0.05)
        while scenario.simulation.messages and max(scenario.simulation.accepted) < 2:
            scenario.simulation.deliver_message(0)
    scenario.simulation.platform_down = True
    scenario.simulation.start_balancer("b4")
    scenario.simulation.settle(5.0)
    nodes = scenario.simulation.nodes.values()
    assert {p.state.node.configuration.generation for p in nodes} == {2}


def test_reused_address_serves_no_packet_of_its_previous_service() -> None:
    """Guards against a reused address receiving packets of its previous service."""
    scenario = make_scenario()
    simulation = scenario.simulation
    stray = simulation.open_flow("dispatcher")
    while stray.agent != "d1":
        stray = simulation.open_flow("dispatcher")
        simulation.settle(0.2)
    address = simulation.nodes["d1"].address
    simulation.kill("d1")
    stray.is_broken = False
    simulation.take_over_address("i9", "intake", address)
    attempt = simulation.send_request(stray, "stray")
    for _ in range(12):
        simulation.open_flow("dispatcher")
    simulation.settle(1.0)
    set_upstreams(scenario, ("d2", "d3"))
    members = tuple(
        Upstream(name=name, address=str(simulation.nodes[name].address))
        for name in ("i1", "i2", "i9")
    )
    simulation.apply(UpstreamSet(name="intake", service="intake", upstreams=members))
    simulation.settle(4.0)
    simulation.retransmit()
    simulation.settle(2.0)
    assert attempt.outcome is None
    services = {
        flow.caller_flow.service for flow in simulation.nodes["i9"].flows.values()
    }
    assert services <= {"intake"}
    flow = simulation.open_flow("intake")
    while flow.agent != "i9":
        flow = simulation.open_flow("intake")
        simulation.settle(0.2)
    scenario.flow = flow
    assert run_request(scenario, "right").outcome == RequestOutcome.DONE
    stray.is_broken = True
