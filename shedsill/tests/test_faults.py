"""The fault matrix: every fault at every step, through the real reducers.

Each cell brings a small system to a step, lets a fault strike, heals it, and
then demands that the oracle holds, that every request on an unbroken flow has
its answer, and that all nodes agree on one configuration.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from attrs import define

from shedsill.http3._answers import RequestOutcome
from shedsill.http3._configuration import UpstreamState
from shedsill.http3._resources import Action, Change, Upstream, UpstreamSet
from shedsill.testing.http3_simulation import Simulation
from shedsill.testing.parts import Attempt, CallerFlow, PlatformMessage

BALANCERS = ("b1", "b2", "b3")


@define
class Scenario:
    """A simulation and the flow on which something is going on."""

    simulation: Simulation
    flow: CallerFlow

    @property
    def agent(self) -> str:
        """The agent that has the flow."""
        return self.flow.agent or "d1"


def make_scenario() -> Scenario:
    """Return a simulation at rest with one open flow."""
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


def run_request(scene: Scenario, work: str, **options) -> Attempt:
    """Send a request and let it finish."""
    attempt = scene.simulation.send_request(scene.flow, work, **options)
    scene.simulation.settle()
    for run in scene.simulation.list_running():
        scene.simulation.finish_run(run)
    scene.simulation.settle()
    return attempt


def apply_change(scene: Scenario, action: Action, target: str = "") -> None:
    """Write a change."""
    name = f"{action.value}-{target or 'x'}"
    scene.simulation.apply(Change(name=name, action=action, target=target))


def set_upstreams(scene: Scenario, names: tuple[str, ...]) -> None:
    """Write the upstreams of the dispatcher."""
    members = tuple(
        Upstream(name=name, address=str(scene.simulation.nodes[name].address))
        for name in names
    )
    group = UpstreamSet(name="dispatcher", service="dispatcher", upstreams=members)
    scene.simulation.apply(group)


def step_first_packet(scene: Scenario) -> None:
    scene.simulation.open_flow("dispatcher")


def step_first_packet_at_agent(scene: Scenario) -> None:
    scene.simulation.open_flow("dispatcher")
    scene.simulation.deliver_message(len(scene.simulation.messages) - 1)


def step_request_sent(scene: Scenario) -> None:
    scene.simulation.send_request(scene.flow, "w")


def step_request_running(scene: Scenario) -> None:
    scene.simulation.send_request(scene.flow, "w")
    scene.simulation.settle()


def step_request_queued(scene: Scenario) -> None:
    for index in range(4):
        scene.simulation.send_request(scene.flow, f"w{index}")
    scene.simulation.settle()


def step_answer_on_its_way(scene: Scenario) -> None:
    step_request_running(scene)
    scene.simulation.finish_run(scene.simulation.list_running()[0])


def step_answer_cut(scene: Scenario) -> None:
    step_request_running(scene)
    scene.simulation.finish_run(scene.simulation.list_running()[0], answered=False)


def step_deadline_passing(scene: Scenario) -> None:
    for index in range(4):
        scene.simulation.send_request(scene.flow, f"w{index}")
    scene.simulation.settle(4.9, step=0.1)


def step_cancelled(scene: Scenario) -> None:
    attempts = [scene.simulation.send_request(scene.flow, f"w{i}") for i in range(4)]
    scene.simulation.settle()
    scene.simulation.cancel_request(attempts[0])
    scene.simulation.cancel_request(attempts[3])


def step_retry_while_running(scene: Scenario) -> None:
    ticket = run_request(scene, "r", path="/read").ticket
    scene.simulation.send_request(scene.flow, "w", key=ticket)
    scene.simulation.settle()
    other = scene.simulation.open_flow("dispatcher")
    scene.simulation.settle(0.2)
    scene.simulation.send_request(other, "w", key=ticket)


def step_retry_when_done(scene: Scenario) -> None:
    ticket = run_request(scene, "r", path="/read").ticket
    run_request(scene, "w", key=ticket)
    other = scene.simulation.open_flow("dispatcher")
    scene.simulation.settle(0.2)
    scene.simulation.send_request(other, "w", key=ticket)


def step_drain_written(scene: Scenario) -> None:
    scene.simulation.send_request(scene.flow, "s", path="/stream")
    scene.simulation.settle()
    apply_change(scene, Action.DRAIN, scene.agent)


def step_drain_in_force(scene: Scenario) -> None:
    step_drain_written(scene)
    scene.simulation.settle(2.0)


def step_drain_ending(scene: Scenario) -> None:
    ticket = run_request(scene, "r", path="/read").ticket
    run_request(scene, "w", key=ticket)
    scene.simulation.stop(scene.agent)
    scene.simulation.settle(0.2)


def step_balancer_stopping(scene: Scenario) -> None:
    scene.simulation.stop("b1")


def step_upstream_joining(scene: Scenario) -> None:
    set_upstreams(scene, ("d1", "d2"))
    scene.simulation.settle(2.0)
    set_upstreams(scene, ("d1", "d2", "d3"))


def step_apply_written(scene: Scenario) -> None:
    apply_change(scene, Action.ROTATE_KEYS)
    scene.simulation.advance(0.05)


def step_apply_half_spread(scene: Scenario) -> None:
    apply_change(scene, Action.ROTATE_KEYS)
    for _ in range(6):
        scene.simulation.advance(0.05)
        for _ in range(min(3, len(scene.simulation.messages))):
            scene.simulation.deliver_message(0)


def step_agent_restarted(scene: Scenario) -> None:
    scene.simulation.send_request(scene.flow, "w")
    scene.simulation.settle()
    agent = scene.agent
    scene.simulation.kill(agent)
    scene.simulation.start_agent(agent)


def step_join_in_outage(scene: Scenario) -> None:
    scene.simulation.platform_down = True
    scene.simulation.kill("b3")
    scene.simulation.start_balancer("b3")
    scene.simulation.advance(0.05)


def fault_none(scene: Scenario) -> None:
    del scene


def fault_kill_balancer(scene: Scenario) -> None:
    scene.simulation.kill("b1")
    scene.simulation.settle(1.0)


def fault_kill_all_balancers_but_one(scene: Scenario) -> None:
    scene.simulation.kill("b1")
    scene.simulation.kill("b2")
    scene.simulation.settle(1.0)


def fault_freeze_balancer(scene: Scenario) -> None:
    scene.simulation.freeze("b1")
    scene.simulation.settle(10.0, step=0.25)
    scene.simulation.thaw("b1")


def fault_kill_agent(scene: Scenario) -> None:
    scene.simulation.kill(scene.agent)
    scene.simulation.settle(1.0)


def fault_freeze_agent(scene: Scenario) -> None:
    scene.simulation.freeze(scene.agent)
    scene.simulation.settle(10.0, step=0.25)
    scene.simulation.thaw(scene.agent)


def fault_kill_upstream(scene: Scenario) -> None:
    for run in scene.simulation.list_running():
        if run.agent == scene.agent:
            scene.simulation.finish_run(run, answered=False)
    scene.simulation.settle(1.0)


def fault_freeze_upstream(scene: Scenario) -> None:
    """Nothing that runs ends before every deadline has passed."""
    scene.simulation.settle(8.0, step=0.1)


def fault_cut_agent(scene: Scenario) -> None:
    scene.simulation.partitioned_nodes.add(scene.agent)
    scene.simulation.settle(10.0, step=0.25)


def fault_cut_balancer(scene: Scenario) -> None:
    scene.simulation.partitioned_nodes.add("b1")
    scene.simulation.settle(10.0, step=0.25)


def fault_platform_slow(scene: Scenario) -> None:
    slow = [m for m in scene.simulation.messages if isinstance(m, PlatformMessage)]
    scene.simulation.messages = [m for m in scene.simulation.messages if m not in slow]
    scene.simulation.settle(3.0)
    scene.simulation.messages += slow


def fault_platform_down(scene: Scenario) -> None:
    scene.simulation.platform_down = True
    scene.simulation.settle(8.0, step=0.25)


def fault_lost_answers(scene: Scenario) -> None:
    scene.simulation.lost_answer_count = 3


def fault_stale_reads(scene: Scenario) -> None:
    scene.simulation.stale_list_count = 3


def fault_all_lost(scene: Scenario) -> None:
    while scene.simulation.messages:
        scene.simulation.drop_message(0)


def fault_all_doubled(scene: Scenario) -> None:
    for index in range(len(scene.simulation.messages)):
        scene.simulation.duplicate_message(index)


def fault_reversed(scene: Scenario) -> None:
    scene.simulation.messages.reverse()


def fault_wrong_machine_list(scene: Scenario) -> None:
    for name in ("d1", "d2", "d3"):
        scene.simulation.put_machine(name, leaving=name != scene.agent)
    scene.simulation.settle(4.0)


def fault_lying_load(scene: Scenario) -> None:
    for upstream in scene.simulation.upstreams.values():
        upstream.lies_idle = True


def fault_clock_jump(scene: Scenario) -> None:
    scene.simulation.advance(300.0)


def fault_operators_race(scene: Scenario) -> None:
    set_upstreams(scene, ("d1", "d2"))
    set_upstreams(scene, ("d2", "d3"))
    set_upstreams(scene, ("d1", "d2", "d3"))


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
def test_promises_hold(step: str, fault: str) -> None:
    scene = make_scenario()
    STEPS[step](scene)
    FAULTS[fault](scene)
    scene.simulation.clear_faults()
    scene.simulation.check_final_state()


@pytest.mark.parametrize("step", sorted(set(STEPS) - UNPLANNED_STEPS))
def test_no_planned_step_breaks_a_flow(step: str) -> None:
    scene = make_scenario()
    STEPS[step](scene)
    scene.simulation.retransmit()
    scene.simulation.settle(20.0, step=0.25)
    assert not any(flow.broken for flow in scene.simulation.flows)
    attempt = run_request(scene, "after", path="/read")
    assert attempt.outcome is not None


def test_leaving_upstream_gets_no_new_work() -> None:
    scene = make_scenario()
    apply_change(scene, Action.DRAIN, scene.agent)
    scene.simulation.settle(3.0)
    configuration = scene.simulation.nodes["b1"].state.node.configuration
    state = {u.name: u.state for u in configuration.upstreams}[scene.agent]
    assert state == UpstreamState.DRAINING
    attempt = run_request(scene, "late")
    assert attempt.outcome == RequestOutcome.NOT_RUN
    for _ in range(20):
        scene.simulation.open_flow("dispatcher")
    scene.simulation.settle(1.0)
    placed = [flow.agent for flow in scene.simulation.flows[1:]]
    assert "" not in placed
    assert scene.agent not in placed


def test_repeat_after_planned_leave_gets_the_recorded_answer() -> None:
    scene = make_scenario()
    ticket = run_request(scene, "r", path="/read").ticket
    first = run_request(scene, "w", key=ticket)
    leaver = scene.agent
    process = scene.simulation.nodes[leaver]
    scene.simulation.close_flow(scene.flow)
    scene.simulation.stop(leaver)
    scene.simulation.settle(4.0)
    assert process.exited
    scene.flow = scene.simulation.open_flow("dispatcher")
    scene.simulation.settle(0.5)
    again = run_request(scene, "w", key=ticket)
    assert (again.outcome, again.body) == (RequestOutcome.DONE, first.body)


def test_configuration_accepted_before_an_outage_reaches_every_node() -> None:
    scene = make_scenario()
    apply_change(scene, Action.ROTATE_KEYS)
    while max(scene.simulation.accepted) < 2:
        scene.simulation.advance(0.05)
        while scene.simulation.messages and max(scene.simulation.accepted) < 2:
            scene.simulation.deliver_message(0)
    scene.simulation.platform_down = True
    scene.simulation.start_balancer("b4")
    scene.simulation.settle(5.0)
    nodes = scene.simulation.nodes.values()
    assert {p.state.node.configuration.generation for p in nodes} == {2}


def test_address_taken_over_by_another_service_serves_no_stray_packet() -> None:
    """The VM of d1 goes; a new agent of intake starts at its address."""
    scene = make_scenario()
    simulation = scene.simulation
    stray = simulation.open_flow("dispatcher")
    while stray.agent != "d1":
        stray = simulation.open_flow("dispatcher")
        simulation.settle(0.2)
    address = simulation.nodes["d1"].address
    simulation.kill("d1")
    stray.broken = False
    simulation.take_over_address("i9", "intake", address)
    attempt = simulation.send_request(stray, "stray")
    for _ in range(12):
        simulation.open_flow("dispatcher")
    simulation.settle(1.0)
    set_upstreams(scene, ("d2", "d3"))
    members = tuple(
        Upstream(name=name, address=str(simulation.nodes[name].address))
        for name in ("i1", "i2", "i9")
    )
    simulation.apply(UpstreamSet(name="intake", service="intake", upstreams=members))
    simulation.settle(4.0)
    simulation.retransmit()
    simulation.settle(2.0)
    assert attempt.outcome is None
    owners = {
        flow.caller_flow.service for flow in simulation.nodes["i9"].flows.values()
    }
    assert owners <= {"intake"}
    flow = simulation.open_flow("intake")
    while flow.agent != "i9":
        flow = simulation.open_flow("intake")
        simulation.settle(0.2)
    scene.flow = flow
    assert run_request(scene, "right").outcome == RequestOutcome.DONE
    stray.broken = True
