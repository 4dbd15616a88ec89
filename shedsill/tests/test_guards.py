"""Mutation tests: each scenario has to pass with its guard and fail without it.

``docs/proofs.md`` lists the guards.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from attrs import evolve, frozen
from msgspec.structs import replace

from shedsill.coordination.platform import MemoryPlatform, Put, Stored
from shedsill.http3 import (
    _agent,
    _drain,
    _flows,
    _node,
    _outcomes,
    _request_completion,
    _requests,
    _routing,
)
from shedsill.http3._acceptor import Acceptor
from shedsill.http3._answers import RequestOutcome
from shedsill.http3._resources import Action
from shedsill.tests.test_faults import (
    Scenario,
    apply_change,
    make_scenario,
    run_request,
)


@frozen
class Guard:
    """A function that guards a property, and the replacement that disables it."""

    owner: object
    name: str
    replacement: object


def get_ticket(scene: Scenario) -> str:
    """Return an unused ticket issued by the scene's agent."""
    return run_request(scene, "first", path="/read").ticket


def open_other_flow(scene: Scenario) -> Scenario:
    """Return a scene in the same simulation with another flow to the service."""
    flow = scene.simulation.open_flow("dispatcher")
    scene.simulation.settle(0.3)
    return Scenario(scene.simulation, flow)


def repeated_request_runs_once(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    run_request(scene, "w", key=ticket)
    again = run_request(open_other_flow(scene), "w", key=ticket)
    assert again.outcome == RequestOutcome.DONE


def request_with_unknown_outcome_does_not_run_again(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    scene.simulation.send_request(scene.flow, "w", key=ticket)
    scene.simulation.settle()
    scene.simulation.finish_run(scene.simulation.list_running()[0], answered=False)
    scene.simulation.settle(0.5)
    again = run_request(open_other_flow(scene), "w", key=ticket)
    assert again.outcome == RequestOutcome.UNKNOWN


def request_with_refused_ticket_does_not_run(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    slow = [scene.simulation.send_request(scene.flow, f"slow{i}") for i in range(20)]
    scene.simulation.settle()
    scene.simulation.send_request(scene.flow, "w", key=ticket)
    scene.simulation.settle()
    for _ in range(20):
        for run in scene.simulation.list_running():
            scene.simulation.finish_run(run)
        scene.simulation.settle(0.1)
    assert all(attempt.outcome for attempt in slow)
    run_request(scene, "w", key=ticket)


def agent_restart_does_not_overload_the_upstream(scene: Scenario) -> None:
    scene.simulation.cancel_delay = 1.5
    for index in range(2):
        scene.simulation.send_request(scene.flow, f"w{index}")
    scene.simulation.settle()
    agent = scene.agent
    scene.simulation.kill(agent)
    scene.simulation.start_agent(agent)
    scene.simulation.settle(0.2)
    for index in range(12):
        flow = scene.simulation.open_flow("dispatcher")
        scene.simulation.settle(0.05)
        if flow.cid:
            scene.simulation.send_request(flow, f"v{index}")
    scene.simulation.settle(0.3)


def expired_request_releases_its_slot_late(scene: Scenario) -> None:
    for index in range(4):
        scene.simulation.send_request(scene.flow, f"w{index}")
        scene.simulation.settle(1.0)
    scene.simulation.settle(6.0)


def generation_does_not_decrease(scene: Scenario) -> None:
    old = scene.simulation.nodes["b1"].state.node.configuration
    apply_change(scene, Action.ROTATE_KEYS)
    scene.simulation.settle(4.0)
    for process in scene.simulation.nodes.values():
        process.state = _apply_configuration(process.state, old)
        generation = process.state.node.configuration.generation
        assert generation > old.generation


def _apply_configuration(state, configuration):
    node, _effects = _node.apply_newer_configuration(state.node, configuration)
    return evolve(state, node=node)


def concurrent_writes_do_not_share_a_generation(scene: Scenario) -> None:
    """Two balancers that both hold the lease accept changes concurrently."""
    simulation = scene.simulation
    for name in ("b1", "b2"):
        process = simulation.nodes[name]
        lease = evolve(process.state.acceptor.lease, held_until=simulation.now + 60.0)
        acceptor = Acceptor(lease=lease)
        process.state = evolve(process.state, acceptor=acceptor)
    apply_change(scene, Action.DRAIN, "d1")
    simulation.advance(0.05)
    while simulation.messages and "accept" not in {
        getattr(getattr(m, "purpose", None), "value", "") for m in simulation.messages
    }:
        simulation.deliver_message(0)
    apply_change(scene, Action.ROTATE_KEYS)
    simulation.settle(5.0)
    simulation.check_final_state()


def leaving_agent_hands_over_its_records(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    first = run_request(scene, "w", key=ticket)
    scene.simulation.close_flow(scene.flow)
    scene.simulation.stop(scene.agent)
    scene.simulation.settle(4.0)
    again = run_request(open_other_flow(scene), "w", key=ticket)
    assert again.body == first.body


def leaving_agent_refuses_new_requests(scene: Scenario) -> None:
    apply_change(scene, Action.DRAIN, scene.agent)
    scene.simulation.settle(3.0)
    late = run_request(scene, "late")
    assert late.outcome == RequestOutcome.NOT_RUN


def waiting_flow_moves_to_another_balancer(scene: Scenario) -> None:
    """A balancer fails while a caller waits for an answer through it."""
    simulation = scene.simulation
    attempt = simulation.send_request(scene.flow, "w")
    simulation.settle()
    agent_flow = next(iter(simulation.nodes[scene.agent].flows.values()))
    dead = next(
        p for p in simulation.nodes.values() if p.address == agent_flow.reply_to
    )
    simulation.kill(dead.name)
    simulation.settle(4.0)
    simulation.finish_run(simulation.list_running()[0])
    for _ in range(3):
        simulation.retransmit()
        simulation.settle(0.2)
    assert attempt.outcome == RequestOutcome.DONE


def configuration_spreads_during_a_platform_outage(scene: Scenario) -> None:
    apply_change(scene, Action.ROTATE_KEYS)
    simulation = scene.simulation
    while max(simulation.accepted) < 2:
        simulation.advance(0.05)
        while simulation.messages and max(simulation.accepted) < 2:
            simulation.deliver_message(0)
    simulation.platform_down = True
    simulation.settle(5.0)
    generations = {
        p.state.node.configuration.generation for p in simulation.nodes.values()
    }
    assert generations == {2}


def flows_open_despite_a_dead_candidate(scene: Scenario) -> None:
    simulation = scene.simulation
    simulation.kill("d1")
    flows = [simulation.open_flow("dispatcher") for _ in range(12)]
    for _ in range(8):
        simulation.settle(0.5)
        simulation.retransmit()
    simulation.settle(0.5)
    assert all(flow.cid for flow in flows)


def check_empty_platform_drains_no_upstream(scene: Scenario) -> None:
    simulation = scene.simulation
    simulation.platform.objects.clear()
    simulation.platform.revision += 1
    simulation.settle(25.0, step=0.25)
    configuration = simulation.nodes["b1"].state.node.configuration
    assert {u.state.value for u in configuration.upstreams} == {"active"}


def new_incarnation_rejects_earlier_ids(scene: Scenario) -> None:
    """A restarted agent does not accept packets of flows from before its start."""
    agent = scene.agent
    scene.simulation.kill(agent)
    scene.simulation.start_agent(agent)
    scene.simulation.settle(3.0)
    process = scene.simulation.nodes[agent]
    scene.simulation.send_request(scene.flow, "old")
    scene.simulation.settle(0.2)
    assert not process.exchanges
    assert process.state.flow_count == 0


def _put_unconditionally(self: MemoryPlatform, call: Put):
    self.revision += 1
    current = self.objects.get((call.kind, call.name))
    expected = current.version if current else 0
    outcome = _original_put(self, replace(call, expected=expected))
    assert isinstance(outcome, Stored)
    return outcome


_original_put = MemoryPlatform._put


def _find_no_record(*_arguments):
    return None


def _drop_records_of_issuer(state, request):
    if request.issuer is None:
        return state
    issuers = state.outcomes.issuers.set(request.issuer, _outcomes.IssuerRecords())
    return evolve(state, outcomes=evolve(state.outcomes, issuers=issuers))


def _keep_state(state, *_arguments, **_options):
    return state, []


def _make_no_transfers(outcomes, now):
    del outcomes, now
    return ()


CASES: dict[str, tuple[Guard, Callable[[Scenario], None]]] = {
    "record of outcomes": (
        Guard(_requests, "find_record", _find_no_record),
        repeated_request_runs_once,
    ),
    "unknown is final": (
        Guard(
            _request_completion,
            "record_unknown",
            _drop_records_of_issuer,
        ),
        request_with_unknown_outcome_does_not_run_again,
    ),
    "refusal is final": (
        Guard(
            _request_completion,
            "record_refusal",
            _drop_records_of_issuer,
        ),
        request_with_refused_ticket_does_not_run,
    ),
    "slots held after a restart": (
        Guard(_agent, "get_longest_deadline", lambda _service: 0.0),
        agent_restart_does_not_overload_the_upstream,
    ),
    "slot cools after an abort": (
        Guard(
            _requests,
            "drop_request",
            lambda admission, request, now, *, aborted=False: _original_drop(
                admission, request, now
            ),
        ),
        expired_request_releases_its_slot_late,
    ),
    "higher generation only": (
        Guard(_node, "is_newer", lambda _offered, _current: True),
        generation_does_not_decrease,
    ),
    "conditional update": (
        Guard(MemoryPlatform, "_put", _put_unconditionally),
        concurrent_writes_do_not_share_a_generation,
    ),
    "record is handed on": (
        Guard(_drain, "make_transfers", _make_no_transfers),
        leaving_agent_hands_over_its_records,
    ),
    "leaver refuses new work": (
        Guard(_agent, "update_drain", _keep_state),
        leaving_agent_refuses_new_requests,
    ),
    "reply path moves": (
        Guard(_agent, "replace_silent_reply_paths", _keep_state),
        waiting_flow_moves_to_another_balancer,
    ),
    "generation rides on frames": (
        Guard(
            _node, "handle_generation", lambda propagation, *_rest: (propagation, None)
        ),
        configuration_spreads_during_a_platform_outage,
    ),
    "silent candidate is skipped": (
        Guard(_routing, "is_silent", lambda _agent, _now: False),
        flows_open_despite_a_dead_candidate,
    ),
    "incarnation in the ID": (
        Guard(
            _flows,
            "_reset_flow",
            lambda _packet, frame, reply_to: [
                _flows._build_delivery(frame, reply_to, can_open_connection=True)
            ],
        ),
        new_incarnation_rejects_earlier_ids,
    ),
}
_original_drop = _requests.drop_request


@pytest.mark.parametrize("name", sorted(CASES))
def test_scenario_passes_with_the_guard(name: str) -> None:
    _guard, scenario = CASES[name]
    scenario(make_scenario())


@pytest.mark.parametrize("name", sorted(CASES))
def test_scenario_fails_without_the_guard(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    guard, scenario = CASES[name]
    scene = make_scenario()
    monkeypatch.setattr(guard.owner, guard.name, guard.replacement)
    with pytest.raises(AssertionError):
        scenario(scene)


def test_empty_platform_drains_no_upstream() -> None:
    check_empty_platform_drains_no_upstream(make_scenario())
