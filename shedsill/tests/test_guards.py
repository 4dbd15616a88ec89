"""Each guard of the system, taken out and put back.

A scenario that passes with the guard in place has to fail without it: otherwise
the tests would not notice that the guard had gone.  ``docs/proofs.md`` has the
table.
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
    """A guard: where it stands, and what takes its place when it is out."""

    owner: object
    name: str
    replacement: object


def get_ticket(scene: Scenario) -> str:
    """Return an unused ticket of the scene's agent."""
    return run_request(scene, "first", path="/read").ticket


def open_other_flow(scene: Scenario) -> Scenario:
    """Return the same world with another flow to the same service."""
    flow = scene.world.open_flow("dispatcher")
    scene.world.settle(0.3)
    return Scenario(scene.world, flow)


def repeat_runs_once(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    run_request(scene, "w", key=ticket)
    again = run_request(open_other_flow(scene), "w", key=ticket)
    assert again.outcome == RequestOutcome.DONE


def unknown_never_runs_again(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    scene.world.send_request(scene.flow, "w", key=ticket)
    scene.world.settle()
    scene.world.finish(scene.world.list_running()[0], answered=False)
    scene.world.settle(0.5)
    again = run_request(open_other_flow(scene), "w", key=ticket)
    assert again.outcome == RequestOutcome.UNKNOWN


def refused_ticket_stays_refused(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    slow = [scene.world.send_request(scene.flow, f"slow{i}") for i in range(20)]
    scene.world.settle()
    scene.world.send_request(scene.flow, "w", key=ticket)
    scene.world.settle()
    for _ in range(20):
        for run in scene.world.list_running():
            scene.world.finish(run)
        scene.world.settle(0.1)
    assert all(attempt.outcome for attempt in slow)
    run_request(scene, "w", key=ticket)


def restart_never_overloads(scene: Scenario) -> None:
    scene.world.cancel_delay = 1.5
    for index in range(2):
        scene.world.send_request(scene.flow, f"w{index}")
    scene.world.settle()
    agent = scene.agent
    scene.world.kill(agent)
    scene.world.start_agent(agent)
    scene.world.settle(0.2)
    for index in range(12):
        flow = scene.world.open_flow("dispatcher")
        scene.world.settle(0.05)
        if flow.cid:
            scene.world.send_request(flow, f"v{index}")
    scene.world.settle(0.3)


def expired_request_frees_its_slot_late(scene: Scenario) -> None:
    for index in range(4):
        scene.world.send_request(scene.flow, f"w{index}")
        scene.world.settle(1.0)
    scene.world.settle(6.0)


def generation_never_goes_back(scene: Scenario) -> None:
    old = scene.world.nodes["b1"].state.node.configuration
    apply_change(scene, Action.ROTATE_KEYS)
    scene.world.settle(4.0)
    for process in scene.world.nodes.values():
        process.state = _offer(process.state, old)
        generation = process.state.node.configuration.generation
        assert generation > old.generation


def _offer(state, configuration):
    node, _effects = _node.apply_newer_configuration(state.node, configuration)
    return evolve(state, node=node)


def one_generation_one_configuration(scene: Scenario) -> None:
    """Two balancers that both believe that they hold the lease accept at once."""
    world = scene.world
    for name in ("b1", "b2"):
        process = world.nodes[name]
        lease = evolve(process.state.acceptor.lease, held_until=world.now + 60.0)
        acceptor = Acceptor(lease=lease)
        process.state = evolve(process.state, acceptor=acceptor)
    apply_change(scene, Action.DRAIN, "d1")
    world.advance(0.05)
    while world.messages and "accept" not in {
        getattr(getattr(m, "purpose", None), "value", "") for m in world.messages
    }:
        world.deliver(0)
    apply_change(scene, Action.ROTATE_KEYS)
    world.settle(5.0)
    world.check_end()


def leaver_hands_its_record_on(scene: Scenario) -> None:
    ticket = get_ticket(scene)
    first = run_request(scene, "w", key=ticket)
    scene.world.close_flow(scene.flow)
    scene.world.stop(scene.agent)
    scene.world.settle(4.0)
    again = run_request(open_other_flow(scene), "w", key=ticket)
    assert again.body == first.body


def leaver_takes_no_new_work(scene: Scenario) -> None:
    apply_change(scene, Action.DRAIN, scene.agent)
    scene.world.settle(3.0)
    late = run_request(scene, "late")
    assert late.outcome == RequestOutcome.NOT_RUN


def silent_stream_finds_another_balancer(scene: Scenario) -> None:
    """The caller only listens; its answers went through a balancer that died."""
    world = scene.world
    attempt = world.send_request(scene.flow, "w")
    world.settle()
    agent_flow = next(iter(world.nodes[scene.agent].flows.values()))
    dead = next(p for p in world.nodes.values() if p.address == agent_flow.reply_to)
    world.kill(dead.name)
    world.settle(4.0)
    world.finish(world.list_running()[0])
    for _ in range(3):
        world.retransmit()
        world.settle(0.2)
    assert attempt.outcome == RequestOutcome.DONE


def outage_does_not_stop_the_spread(scene: Scenario) -> None:
    apply_change(scene, Action.ROTATE_KEYS)
    world = scene.world
    while max(world.accepted) < 2:
        world.advance(0.05)
        while world.messages and max(world.accepted) < 2:
            world.deliver(0)
    world.platform_down = True
    world.settle(5.0)
    generations = {p.state.node.configuration.generation for p in world.nodes.values()}
    assert generations == {2}


def dead_candidate_is_passed_over(scene: Scenario) -> None:
    world = scene.world
    world.kill("d1")
    flows = [world.open_flow("dispatcher") for _ in range(12)]
    for _ in range(8):
        world.settle(0.5)
        world.retransmit()
    world.settle(0.5)
    assert all(flow.cid for flow in flows)


def empty_platform_drains_nothing(scene: Scenario) -> None:
    world = scene.world
    world.platform.objects.clear()
    world.platform.revision += 1
    world.settle(25.0, step=0.25)
    configuration = world.nodes["b1"].state.node.configuration
    assert {u.state.value for u in configuration.upstreams} == {"active"}


def new_incarnation_refuses_old_ids(scene: Scenario) -> None:
    """A restarted agent must not take packets of its predecessor's flows."""
    agent = scene.agent
    scene.world.kill(agent)
    scene.world.start_agent(agent)
    scene.world.settle(3.0)
    process = scene.world.nodes[agent]
    scene.world.send_request(scene.flow, "old")
    scene.world.settle(0.2)
    assert not process.exchanges
    assert process.state.flow_count == 0


def _put_always(self: MemoryPlatform, call: Put):
    self.revision += 1
    current = self.objects.get((call.kind, call.name))
    expected = current.version if current else 0
    outcome = _original_put(self, replace(call, expected=expected))
    assert isinstance(outcome, Stored)
    return outcome


_original_put = MemoryPlatform._put


def _forget_record(*_arguments):
    return None


def _forget_issuer(state, request):
    if request.issuer is None:
        return state
    issuers = state.outcomes.issuers.set(request.issuer, _outcomes.IssuerRecords())
    return evolve(state, outcomes=evolve(state.outcomes, issuers=issuers))


def _keep_state(state, *_arguments, **_options):
    return state, []


def _settle_nothing(outcomes, now):
    del outcomes, now
    return ()


CASES: dict[str, tuple[Guard, Callable[[Scenario], None]]] = {
    "record of outcomes": (
        Guard(_requests, "find_record", _forget_record),
        repeat_runs_once,
    ),
    "unknown is final": (
        Guard(
            _request_completion,
            "record_unknown",
            _forget_issuer,
        ),
        unknown_never_runs_again,
    ),
    "refusal is final": (
        Guard(
            _request_completion,
            "record_refusal",
            _forget_issuer,
        ),
        refused_ticket_stays_refused,
    ),
    "slots held after a restart": (
        Guard(_agent, "get_longest_deadline", lambda _service: 0.0),
        restart_never_overloads,
    ),
    "slot cools after an abort": (
        Guard(
            _requests,
            "drop_request",
            lambda admission, request, now, *, aborted=False: _original_drop(
                admission, request, now
            ),
        ),
        expired_request_frees_its_slot_late,
    ),
    "higher generation only": (
        Guard(_node, "is_newer", lambda _offered, _current: True),
        generation_never_goes_back,
    ),
    "conditional update": (
        Guard(MemoryPlatform, "_put", _put_always),
        one_generation_one_configuration,
    ),
    "record is handed on": (
        Guard(_drain, "make_transfers", _settle_nothing),
        leaver_hands_its_record_on,
    ),
    "leaver refuses new work": (
        Guard(_agent, "update_drain", _keep_state),
        leaver_takes_no_new_work,
    ),
    "reply path moves": (
        Guard(_agent, "replace_silent_reply_paths", _keep_state),
        silent_stream_finds_another_balancer,
    ),
    "generation rides on frames": (
        Guard(_node, "handle_generation", lambda spread, *_rest: (spread, None)),
        outage_does_not_stop_the_spread,
    ),
    "silent candidate is skipped": (
        Guard(_routing, "is_silent", lambda _agent, _now: False),
        dead_candidate_is_passed_over,
    ),
    "incarnation in the ID": (
        Guard(
            _flows,
            "_reset_flow",
            lambda _packet, frame, reply_to: [
                _flows._build_delivery(frame, reply_to, can_open_connection=True)
            ],
        ),
        new_incarnation_refuses_old_ids,
    ),
}
_original_drop = _requests.drop_request


@pytest.mark.parametrize("name", sorted(CASES))
def test_promise_holds_with_the_guard(name: str) -> None:
    _guard, scenario = CASES[name]
    scenario(make_scenario())


@pytest.mark.parametrize("name", sorted(CASES))
def test_promise_fails_without_the_guard(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    guard, scenario = CASES[name]
    scene = make_scenario()
    monkeypatch.setattr(guard.owner, guard.name, guard.replacement)
    with pytest.raises(AssertionError):
        scenario(scene)


def test_empty_platform_drains_nothing() -> None:
    empty_platform_drains_nothing(make_scenario())
