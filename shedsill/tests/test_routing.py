"""Tests for the routing of single datagrams by a balancer."""

from __future__ import annotations

import os

from attrs import evolve

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill._limits import Rate
from shedsill.http3._configuration import Configuration
from shedsill.http3._configuration_rules import AcceptanceInputs, accept_resources
from shedsill.http3._effects import Effect, Send, WriteLog
from shedsill.http3._events import CallerDatagram
from shedsill.http3._frames import Load, ToUpstream
from shedsill.http3._keys import KeyRing, Route
from shedsill.http3._resources import Action, Change, Service, Upstream, UpstreamSet
from shedsill.http3._routing import (
    FlowLimits,
    Router,
    record_agent_load,
    record_awaited_answer,
    route_datagram,
)

KEYS = KeyRing((bytes(range(32)),))
OLD_KEYS = KeyRing((bytes(32),))
INPUTS = AcceptanceInputs(
    services=(
        Service(name="dispatcher", address="10.0.0.1:443"),
        Service(name="intake", address="10.0.0.2:443"),
    ),
    upstream_sets=(
        UpstreamSet(
            name="dispatcher",
            service="dispatcher",
            upstreams=(
                Upstream(name="d1", address="10.1.0.1:7000"),
                Upstream(name="d2", address="10.1.0.2:7000"),
            ),
        ),
        UpstreamSet(
            name="intake",
            service="intake",
            upstreams=(Upstream(name="i1", address="10.1.0.3:7000"),),
        ),
    ),
)
CONFIGURATION = accept_resources(Configuration(), INPUTS).configuration
DISPATCHER, INTAKE = 1, 2


def make_initial(cid: bytes) -> bytes:
    head = bytes([0xC0, 0, 0, 0, 1, len(cid)]) + cid + bytes([0, 0])
    rest = 1200 - len(head) - 2
    return head + (0x4000 | rest).to_bytes(2, "big") + bytes(rest)


def make_short(upstream: int, service: int, *, keys: KeyRing = KEYS, epoch=1) -> bytes:
    route = Route(upstream, service, 5)
    return (
        bytes([0x40])
        + keys.make_connection_id(route, epoch=epoch, nonce=bytes(6))
        + bytes(40)
    )


def route(
    datagram: bytes,
    *,
    service: int = DISPATCHER,
    router: Router | None = None,
    configuration: Configuration = CONFIGURATION,
    keys: KeyRing = KEYS,
    host: str = "10.9.0.1",
    now: float = 1.0,
) -> tuple[Router, list[Effect]]:
    event = CallerDatagram(
        service=service, caller=Address(host, 9), datagram=datagram, now=now
    )
    return route_datagram(router or Router(), configuration, keys, event)


def get_target(effects: list[Effect]) -> int | None:
    frames = [e.frame for e in effects if isinstance(e, Send)]
    assert all(isinstance(frame, ToUpstream) for frame in frames)
    return frames[0].upstream if frames else None


def get_event(effects: list[Effect]) -> LogEvent:
    return next(e.event for e in effects if isinstance(e, WriteLog))


def test_issued_id_routes_to_its_agent_and_leaves_the_state_unchanged() -> None:
    router = Router()
    after, effects = route(make_short(2, DISPATCHER), router=router)
    assert get_target(effects) == 2
    assert after is router


def test_id_of_another_service_is_dropped() -> None:
    for service, upstream in ((INTAKE, 1), (DISPATCHER, 3)):
        other = DISPATCHER if service == INTAKE else INTAKE
        _router, effects = route(make_short(upstream, other), service=service)
        assert get_target(effects) is None
        assert get_event(effects) == LogEvent.DATAGRAM_MISROUTED


def test_id_with_a_forged_service_is_dropped() -> None:
    _router, effects = route(make_short(3, DISPATCHER))
    assert get_target(effects) is None


def test_malformed_short_and_unroutable_datagrams_are_dropped() -> None:
    for datagram in (b"", b"\x00", os.urandom(3), bytes([0x40]) + bytes(30)):
        _router, effects = route(datagram)
        assert get_target(effects) is None
    small = make_initial(b"12345678")[:600]
    _router, effects = route(small)
    assert get_target(effects) is None


def test_all_packets_of_a_handshake_go_to_one_agent() -> None:
    for _ in range(50):
        cid = os.urandom(8)
        targets = {get_target(route(make_initial(cid))[1]) for _ in range(3)}
        assert len(targets) == 1


def test_draining_upstream_gets_no_new_flows_but_keeps_existing_ones() -> None:
    change = Change(name="d", action=Action.DRAIN, target="d1")
    inputs = evolve(INPUTS, changes=(change,))
    draining = accept_resources(CONFIGURATION, inputs).configuration
    for _ in range(30):
        _router, effects = route(make_initial(os.urandom(8)), configuration=draining)
        assert get_target(effects) == 2
    _router, effects = route(make_short(1, DISPATCHER), configuration=draining)
    assert get_target(effects) == 1


def test_ids_of_six_earlier_epochs_and_of_the_second_secret_are_decoded() -> None:
    for epoch in range(1, 8):
        _router, effects = route(make_short(2, DISPATCHER, epoch=epoch))
        assert get_target(effects) == 2
    both = KeyRing((KEYS.secrets[0], OLD_KEYS.secrets[0]))
    old = make_short(1, DISPATCHER, keys=OLD_KEYS)
    assert get_target(route(old)[1]) is None
    assert get_target(route(old, keys=both)[1]) == 1


def test_silent_agent_gets_no_new_flows_until_it_answers() -> None:
    datagrams = [make_initial(os.urandom(8)) for _ in range(20)]
    router = record_awaited_answer(Router(), 1, 1.0)
    targets = {get_target(route(d, router=router, now=1.2)[1]) for d in datagrams}
    assert targets == {1, 2}
    targets = {get_target(route(d, router=router, now=1.5)[1]) for d in datagrams}
    assert targets == {2}
    router = record_agent_load(router, 1, Load(), 2.0)
    targets = {get_target(route(d, router=router, now=2.1)[1]) for d in datagrams}
    assert targets == {1, 2}


def test_rate_limit_of_one_caller_does_not_affect_others() -> None:
    limits = FlowLimits(
        per_caller=Rate(per_second=1.0, burst=5.0),
        per_service=Rate(per_second=1.0, burst=50.0),
    )
    router = Router(limits=limits)
    outcomes = []
    for _ in range(20):
        router, effects = route(make_initial(os.urandom(8)), router=router)
        outcomes.append(get_target(effects) is not None)
    assert outcomes == [True] * 5 + [False] * 15
    _router, effects = route(
        make_initial(os.urandom(8)), router=router, host="10.9.0.2"
    )
    assert get_target(effects) is not None


def test_flood_on_one_service_does_not_limit_new_flows_of_another() -> None:
    limits = FlowLimits(
        per_caller=Rate(per_second=1.0, burst=9.0),
        per_service=Rate(per_second=1.0, burst=10.0),
    )
    router = Router(limits=limits)
    for index in range(100):
        host = f"10.9.0.{index}"
        router, _effects = route(
            make_initial(os.urandom(8)), service=INTAKE, router=router, host=host
        )
    _router, effects = route(
        make_initial(os.urandom(8)), service=INTAKE, router=router, host="10.9.1.1"
    )
    assert get_event(effects) == LogEvent.FLOW_LIMITED
    _router, effects = route(make_initial(os.urandom(8)), router=router)
    assert get_target(effects) is not None


def test_rate_limits_do_not_apply_to_open_flows() -> None:
    limits = FlowLimits(
        per_caller=Rate(per_second=1.0, burst=1.0),
        per_service=Rate(per_second=1.0, burst=1.0),
    )
    router = Router(limits=limits)
    for _ in range(50):
        router, effects = route(make_short(2, DISPATCHER), router=router)
        assert get_target(effects) == 2
