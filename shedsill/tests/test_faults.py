"""Fault matrix: every fault at every step, with the reducers of the nodes.

Each case brings a small system to a step, injects a fault and repairs it.  Then the
oracle must hold, every request on an unbroken flow must be answered, and all nodes
must have the same configuration.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from attrs import define

from shedsill.http3._answers import RequestOutcome
from shedsill.http3._configuration import UpstreamState
from shedsill.http3._resources import Action, Change, Upstream, UpstreamSet
from shedsill.testing.parts import Attempt, CallerFlow, PlatformMessage
from shedsill.testing.world import World

BALANCERS = ("b1", "b2", "b3")


@define
class Scenario:
    """A simulated system and one of its flows."""

    world: World
    flow: CallerFlow

    @property
    def agent(self) -> str:
        """Name of the agent that serves the flow."""
        return self.flow.agent or "d1"


def make_scenario() -> Scenario:
    """Return an idle system with one open flow."""
    world = World(seed=7)
    for name in BALANCERS:
        world.start_balancer(name)
    world.add_service("dispatcher", ("d1", "d2", "d3"), slots=2)
    world.add_service("intake", ("i1", "i2"), slots=2)
    world.settle(4.0)
    flow = world.open_flow("dispatcher")
    world.settle(0.2)
    assert flow.cid
    return Scenario(world, flow)


def run_request(scenario: Scenario, work: str, **options) -> Attempt:
    """Send a request and finish all running requests."""
    attempt = scenario.world.send_request(scenario.flow, work, **options)
    scenario.world.settle()
    for run in scenario.world.list_running():
        scenario.world.finish(run)
    scenario.world.settle()
    return attempt


def apply_change(scenario: Scenario, action: Action, target: str = "") -> None:
    """Apply a `Change` resource."""
    name = f"{action.value}-{target or 'x'}"
    scenario.world.apply(Change(name=name, action=action, target=target))


def set_upstreams(scenario: Scenario, names: tuple[str, ...]) -> None:
    """Apply the upstreams of the dispatcher service."""
    members = tuple(
        Upstream(name=name, address=str(scenario.world.nodes[name].address))
        for name in names
    )
    group = UpstreamSet(name="dispatcher", service="dispatcher", upstreams=members)
    scenario.world.apply(group)


def step_first_packet(scenario: Scenario) -> None:
    scenario.world.open_flow("dispatcher")


def step_first_packet_at_agent(scenario: Scenario) -> None:
    scenario.world.open_flow("dispatcher")
    scenario.world.deliver(len(scenario.world.messages) - 1)


def step_request_sent(scenario: Scenario) -> None:
    scenario.world.send_request(scenario.flow, "w")


def step_request_running(scenario: Scenario) -> None:
    scenario.world.send_request(scenario.flow, "w")
    scenario.world.settle()


def step_request_queued(scenario: Scenario) -> None:
    for index in range(4):
        scenario.world.send_request(scenario.flow, f"w{index}")
    scenario.world.settle()


def step_answer_on_its_way(scenario: Scenario) -> None:
    step_request_running(scenario)
    scenario.world.finish(scenario.world.list_running()[0])


def step_answer_cut(scenario: Scenario) -> None:
    step_request_running(scenario)
    scenario.world.finish(scenario.world.list_running()[0], answered=False)


def step_deadline_passing(scenario: Scenario) -> None:
    for index in range(4):
        scenario.world.send_request(scenario.flow, f"w{index}")
    scenario.world.settle(4.9, step=0.1)


def step_cancelled(scenario: Scenario) -> None:
    attempts = [scenario.world.send_request(scenario.flow, f"w{i}") for i in range(4)]
    scenario.world.settle()
    scenario.world.cancel_request(attempts[0])
    scenario.world.cancel_request(attempts[3])


def step_retry_while_running(scenario: Scenario) -> None:
    ticket = run_request(scenario, "r", path="/read").ticket
    scenario.world.send_request(scenario.flow, "w", key=ticket)
    scenario.world.settle()
    other = scenario.world.open_flow("dispatcher")
    scenario.world.settle(0.2)
    scenario.world.send_request(other, "w", key=ticket)


def step_retry_when_done(scenario: Scenario) -> None:
    ticket = run_request(scenario, "r", path="/read").ticket
    run_request(scenario, "w", key=ticket)
    other = scenario.world.open_flow("dispatcher")
    scenario.world.settle(0.2)
    scenario.world.send_request(other, "w", key=ticket)


def step_drain_written(scenario: Scenario) -> None:
    scenario.world.send_request(scenario.flow, "s", path="/stream")
    scenario.world.settle()
    apply_change(scenario, Action.DRAIN, scenario.agent)


def step_drain_in_force(scenario: Scenario) -> None:
    step_drain_written(scenario)
    scenario.world.settle(2.0)


def step_drain_ending(scenario: Scenario) -> None:
    ticket = run_request(scenario, "r", path="/read").ticket
    run_request(scenario, "w", key=ticket)
    scenario.world.stop(scenario.agent)
    scenario.world.settle(0.2)


def step_balancer_stopping(scenario: Scenario) -> None:
    scenario.world.stop("b1")


def step_upstream_joining(scenario: Scenario) -> None:
    set_upstreams(scenario, ("d1", "d2"))
    scenario.world.settle(2.0)
    set_upstreams(scenario, ("d1", "d2", "d3"))


def step_apply_written(scenario: Scenario) -> None:
    apply_change(scenario, Action.ROTATE_KEYS)
    scenario.world.advance(0.05)


def step_apply_half_spread(scenario: Scenario) -> None:
    apply_change(scenario, Action.ROTATE_KEYS)
    for _ in range(6):
        scenario.world.advance(0.05)
        for _ in range(min(3, len(scenario.world.messages))):
            scenario.world.deliver(0)


def step_agent_restarted(scenario: Scenario) -> None:
    scenario.world.send_request(scenario.flow, "w")
    scenario.world.settle()
    agent = scenario.agent
    scenario.world.kill(agent)
    scenario.world.start_agent(agent)


def step_join_in_outage(scenario: Scenario) -> None:
    scenario.world.platform_down = True
    scenario.world.kill("b3")
    scenario.world.start_balancer("b3")
    scenario.world.advance(0.05)


def fault_none(scenario: Scenario) -> None:
    del scenario


def fault_kill_balancer(scenario: Scenario) -> None:
    scenario.world.kill("b1")
    scenario.world.settle(1.0)


def fault_kill_all_balancers_but_one(scenario: Scenario) -> None:
    scenario.world.kill("b1")
    scenario.world.kill("b2")
    scenario.world.settle(1.0)


def fault_freeze_balancer(scenario: Scenario) -> None:
    scenario.world.freeze("b1")
    scenario.world.settle(10.0, step=0.25)
    scenario.world.thaw("b1")


def fault_kill_agent(scenario: Scenario) -> None:
    scenario.world.kill(scenario.agent)
    scenario.world.settle(1.0)


def fault_freeze_agent(scenario: Scenario) -> None:
    scenario.world.freeze(scenario.agent)
    scenario.world.settle(10.0, step=0.25)
    scenario.world.thaw(scenario.agent)


def fault_kill_upstream(scenario: Scenario) -> None:
    for run in scenario.world.list_running():
        if run.agent == scenario.agent:
            scenario.world.finish(run, answered=False)
    scenario.world.settle(1.0)


def fault_freeze_upstream(scenario: Scenario) -> None:
    """No running request ends before its deadline."""
    scenario.world.settle(8.0, step=0.1)


def fault_cut_agent(scenario: Scenario) -> None:
    scenario.world.cut.add(scenario.agent)
    scenario.world.settle(10.0, step=0.25)


def fault_cut_balancer(scenario: Scenario) -> None:
    scenario.world.cut.add("b1")
    scenario.world.settle(10.0, step=0.25)


def fault_platform_slow(scenario: Scenario) -> None:
    slow = [m for m in scenario.world.messages if isinstance(m, PlatformMessage)]
    scenario.world.messages = [m for m in scenario.world.messages if m not in slow]
    scenario.world.settle(3.0)
    scenario.world.messages += slow


def fault_platform_down(scenario: Scenario) -> None:
    scenario.world.platform_down = True
    scenario.world.settle(8.0, step=0.25)


def fault_lost_answers(scenario: Scenario) -> None:
    scenario.world.lose_answers = 3


def fault_stale_reads(scenario: Scenario) -> None:
    scenario.world.stale_lists = 3


def fault_all_lost(scenario: Scenario) -> None:
    while scenario.world.messages:
        scenario.world.lose(0)


def fault_all_doubled(scenario: Scenario) -> None:
    for index in range(len(scenario.world.messages)):
        scenario.world.duplicate(index)


def fault_reversed(scenario: Scenario) -> None:
    scenario.world.messages.reverse()


def fault_wrong_machine_list(scenario: Scenario) -> None:
    for name in ("d1", "d2", "d3"):
        scenario.world.list_machine(name, leaving=name != scenario.agent)
    scenario.world.settle(4.0)


def fault_lying_load(scenario: Scenario) -> None:
    for upstream in scenario.world.upstreams.values():
        upstream.lies_idle = True


def fault_clock_jump(scenario: Scenario) -> None:
    scenario.world.advance(300.0)


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
    scenario.world.heal()
    scenario.world.check_end()


@pytest.mark.parametrize("step", sorted(set(STEPS) - UNPLANNED_STEPS))
def test_planned_step_breaks_no_flow(step: str) -> None:
    scenario = make_scenario()
    STEPS[step](scenario)
    scenario.world.retransmit()
    scenario.world.settle(20.0, step=0.25)
    assert not any(flow.broken for flow in scenario.world.flows)
    attempt = run_request(scenario, "after", path="/read")
    assert attempt.outcome is not None


def test_draining_upstream_gets_no_new_work() -> None:
    scenario = make_scenario()
    apply_change(scenario, Action.DRAIN, scenario.agent)
    scenario.world.settle(3.0)
    configuration = scenario.world.nodes["b1"].state.node.configuration
    state = {u.name: u.state for u in configuration.upstreams}[scenario.agent]
    assert state == UpstreamState.DRAINING
    attempt = run_request(scenario, "late")
    assert attempt.outcome == RequestOutcome.NOT_RUN
    for _ in range(20):
        scenario.world.open_flow("dispatcher")
    scenario.world.settle(1.0)
    placed = [flow.agent for flow in scenario.world.flows[1:]]
    assert "" not in placed
    assert scenario.agent not in placed


def test_repeat_after_planned_stop_gets_the_recorded_answer() -> None:
    scenario = make_scenario()
    ticket = run_request(scenario, "r", path="/read").ticket
    first = run_request(scenario, "w", key=ticket)
    stopped = scenario.agent
    process = scenario.world.nodes[stopped]
    scenario.world.close_flow(scenario.flow)
    scenario.world.stop(stopped)
    scenario.world.settle(4.0)
    assert process.exited
    scenario.flow = scenario.world.open_flow("dispatcher")
    scenario.world.settle(0.5)
    again = run_request(scenario, "w", key=ticket)
    assert (again.outcome, again.body) == (RequestOutcome.DONE, first.body)


def test_configuration_accepted_before_an_outage_reaches_every_node() -> None:
    scenario = make_scenario()
    apply_change(scenario, Action.ROTATE_KEYS)
    while max(scenario.world.accepted) < 2:
        scenario.world.advance(0.05)
        while scenario.world.messages and max(scenario.world.accepted) < 2:
            scenario.world.deliver(0)
    scenario.world.platform_down = True
    scenario.world.start_balancer("b4")
    scenario.world.settle(5.0)
    nodes = scenario.world.nodes.values()
    assert {p.state.node.configuration.generation for p in nodes} == {2}


def test_reused_address_serves_no_packet_of_its_previous_service() -> None:
    """Guards against a reused address receiving packets of its previous service."""
    scenario = make_scenario()
    world = scenario.world
    stray = world.open_flow("dispatcher")
    while stray.agent != "d1":
        stray = world.open_flow("dispatcher")
        world.settle(0.2)
    address = world.nodes["d1"].address
    world.kill("d1")
    stray.broken = False
    world.take_over_address("i9", "intake", address)
    attempt = world.send_request(stray, "stray")
    for _ in range(12):
        world.open_flow("dispatcher")
    world.settle(1.0)
    set_upstreams(scenario, ("d2", "d3"))
    members = tuple(
        Upstream(name=name, address=str(world.nodes[name].address))
        for name in ("i1", "i2", "i9")
    )
    world.apply(UpstreamSet(name="intake", service="intake", upstreams=members))
    world.settle(4.0)
    world.retransmit()
    world.settle(2.0)
    assert attempt.outcome is None
    services = {flow.caller_flow.service for flow in world.nodes["i9"].flows.values()}
    assert services <= {"intake"}
    flow = world.open_flow("intake")
    while flow.agent != "i9":
        flow = world.open_flow("intake")
        world.settle(0.2)
    scenario.flow = flow
    assert run_request(scenario, "right").outcome == RequestOutcome.DONE
    stray.broken = True
