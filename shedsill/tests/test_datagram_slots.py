"""Which request an upstream gets while its slots are taken."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from shedsill.datagram import _slots
from shedsill.datagram._agent_packets import (
    handle_forwarded_packet,
    handle_upstream_packet,
)
from shedsill.datagram._agent_state import AgentState, build_load
from shedsill.datagram._effects import Effect, ObserveLatency, SendToUpstream
from shedsill.datagram._events import (
    EarlierReportRead,
    ForwardedPacket,
    Heartbeat,
    HeartbeatReceived,
    UpstreamPacket,
)
from shedsill.datagram._messages import Load, UpstreamState
from shedsill.datagram._packet import ACK, FIN, RST, SYN, Packet
from shedsill.datagram._selection import DEFAULT_SLOTS, hash_service
from shedsill.datagram._upstream import handle_earlier_report, handle_heartbeat
from shedsill.testing.agents import make_agent_state

SERVICE = "dispatcher"
SLOTS = 2
FULL = SLOTS
BALANCER = "10.0.0.1"


@pytest.fixture
def state() -> AgentState:
    """An agent whose upstream has two slots."""
    return make_agent_state(slots=SLOTS)


def make_packet(flow: bytes, flags: int, **parts) -> Packet:
    fields = {"copy": 0, "seq": 1, "ack": 1, "length": 0, **parts}
    return Packet(
        flow=flow, endpoint=b"e", flags=flags, data=flow + b"packet", **fields
    )


def forward(state: AgentState, packet: Packet, now: float) -> list[Effect]:
    event = ForwardedPacket(
        packet=packet, service=hash_service(SERVICE), balancer=BALANCER, now=now
    )
    return handle_forwarded_packet(state, event)


def list_sent(effects: list[Effect]) -> list[bytes]:
    return [e.packet.flow for e in effects if isinstance(e, SendToUpstream)]


def ask(
    state: AgentState,
    flow: bytes,
    now: float,
    *,
    urgency: int = 1,
    copy: int = 0,
    **parts,
) -> list[bytes]:
    """Open a flow, send a request on it, return what reached the upstream."""
    forward(state, make_packet(flow, SYN, copy=copy), now)
    answer = make_packet(flow, SYN | ACK, seq=0)
    handle_upstream_packet(state, UpstreamPacket(packet=answer, now=now))
    parts = {"timeout": 2.0, "length": 10, **parts}
    request = make_packet(flow, ACK, urgency=urgency, **parts)
    return list_sent(forward(state, request, now))


def answer(state: AgentState, flow: bytes, now: float) -> list[bytes]:
    packet = make_packet(flow, ACK, length=5)
    effects = handle_upstream_packet(state, UpstreamPacket(packet=packet, now=now))
    return list_sent(effects)


def fill(state: AgentState) -> list[bytes]:
    flows = [b"w%d" % n for n in range(FULL)]
    assert [ask(state, flow, 1.0) for flow in flows] == [[flow] for flow in flows]
    return flows


def test_requests_pass_while_slots_are_free(state: AgentState) -> None:
    fill(state)
    assert state.running == state.busy == FULL


def test_a_request_is_held_while_all_slots_are_taken(state: AgentState) -> None:
    fill(state)
    assert ask(state, b"late", 1.1) == []
    assert state.busy == FULL + 1
    assert state.running == FULL


def test_the_latest_request_goes_first(state: AgentState) -> None:
    flows = fill(state)
    ask(state, b"a", 1.1)
    ask(state, b"b", 1.2)
    assert answer(state, flows[0], 1.3) == [b"b"]
    assert answer(state, flows[1], 1.3) == [b"a"]


def test_a_request_whose_opening_was_lost_counts_as_older(state: AgentState) -> None:
    """Found on played days: after a power loss, callers that had waited for 0.6 s
    and were late already went before those that could still be in time."""
    flows = fill(state)
    ask(state, b"fresh", 1.1)
    ask(state, b"delayed", 1.2, copy=1)
    assert answer(state, flows[0], 1.3) == [b"fresh"]
    ask(state, b"second", 1.35)
    assert answer(state, flows[1], 1.4) == [b"second"]


def test_only_the_first_request_of_a_flow_is_older_than_its_coming(
    state: AgentState,
) -> None:
    flows = fill(state)
    ask(state, b"long", 1.0, copy=2)
    answer(state, flows[0], 1.05)
    answer(state, b"long", 1.1)
    ask(state, b"refill", 1.15)
    ask(state, b"fresh", 1.2)
    later = make_packet(b"long", ACK, seq=11, length=10, urgency=1, timeout=2.0)
    assert list_sent(forward(state, later, 1.3)) == []
    assert answer(state, flows[1], 1.4) == [b"long"]


def test_few_slots_are_assumed_before_the_first_heartbeat(state: AgentState) -> None:
    """Found on played days: a dozen requests filled each upstream's queue."""
    state.report = replace(state.report, load=Load(), boot="")
    sent = [bool(ask(state, b"%d" % n, 1.0)) for n in range(8)]
    assert sum(sent) == DEFAULT_SLOTS


def test_an_upstream_of_which_nothing_is_known_is_given_one_request(
    state: AgentState,
) -> None:
    """Upstreams of one slot exist, and none may get more than it takes."""
    state.report = replace(state.report, load=Load(), boot="")
    sent = [bool(ask(state, b"%d" % n, 1.0)) for n in range(8)]
    assert sent == [True] + [False] * 7


def test_slots_are_known_from_the_report_of_an_earlier_run(state: AgentState) -> None:
    earlier = replace(state.report, incarnation=7, load=Load(slots=5))
    state.report = replace(state.report, load=Load(), boot="")
    handle_earlier_report(
        state, EarlierReportRead(report=earlier, at_start=True, now=1.0)
    )
    sent = [bool(ask(state, b"%d" % n, 1.0)) for n in range(8)]
    assert sum(sent) == 5


@pytest.mark.parametrize(("boot", "complete"), [("i-1", False), ("i-2", True)])
def test_the_boot_of_an_earlier_report_is_compared_later(
    state: AgentState, boot: str, complete: bool
) -> None:
    earlier = replace(state.report, incarnation=7)
    state.report = replace(state.report, boot="")
    state.knows_all_flows = False
    handle_earlier_report(
        state, EarlierReportRead(report=earlier, at_start=True, now=1.0)
    )
    beat = Heartbeat(
        boot=boot, serial=4, state=UpstreamState.READY, slots=SLOTS, cold=0.0
    )
    handle_heartbeat(state, HeartbeatReceived(heartbeat=beat, now=1.1))
    assert state.knows_all_flows is complete


def test_the_more_urgent_request_goes_first(state: AgentState) -> None:
    flows = fill(state)
    ask(state, b"urgent", 1.1, urgency=0)
    ask(state, b"later", 1.2, urgency=2)
    assert answer(state, flows[0], 1.3) == [b"urgent"]


def test_late_requests_go_when_nothing_fresh_waits(state: AgentState) -> None:
    flows = fill(state)
    answer(state, flows[0], 1.05)
    ask(state, b"third", 1.05, timeout=2.0)
    ask(state, b"first", 1.1, timeout=2.0, objective=0.2)
    ask(state, b"second", 1.15, timeout=2.0, objective=0.2)
    assert list_sent(_slots.expire_requests(state, 2.0)) == []
    assert answer(state, flows[1], 2.0) == [b"first"]
    assert answer(state, b"third", 2.0) == [b"second"]


def test_a_request_that_was_held_for_long_still_takes_its_slot(
    state: AgentState,
) -> None:
    """It no longer counted, so that the upstream was given more than its slots."""
    flows = fill(state)
    ask(state, b"held", 1.0, timeout=7.5)
    now = 1.0 + _slots.ANSWER_TIMEOUT_SECONDS + 1.0
    state.flows[b"held"].last_packet_at = now
    for flow in flows:
        answer(state, flow, now)
    _slots.expire_requests(state, now + 0.1)
    assert state.running == 1


def test_a_held_request_whose_caller_is_silent_is_dropped(state: AgentState) -> None:
    fill(state)
    ask(state, b"held", 1.0, timeout=7.5)
    _slots.expire_requests(state, 1.0 + _slots.CALLER_SILENCE_SECONDS + 0.1)
    assert b"held" not in state.backlog.requests


def test_requests_with_large_bodies_are_not_held(state: AgentState) -> None:
    fill(state)
    assert ask(state, b"bulk", 1.1, bulk=True) == [b"bulk"]


def test_a_copy_of_a_held_packet_is_not_sent_twice(state: AgentState) -> None:
    flows = fill(state)
    ask(state, b"held", 1.1)
    again = make_packet(b"held", ACK, length=10, timeout=2.0)
    assert list_sent(forward(state, again, 1.3)) == []
    assert answer(state, flows[0], 1.4) == [b"held"]


def test_all_held_packets_of_a_request_go_in_order(state: AgentState) -> None:
    flows = fill(state)
    ask(state, b"held", 1.1)
    more = make_packet(b"held", ACK, seq=11, length=10, timeout=2.0)
    forward(state, more, 1.1)
    assert answer(state, flows[0], 1.4) == [b"held", b"held"]


def test_a_packet_without_content_always_passes(state: AgentState) -> None:
    fill(state)
    ask(state, b"held", 1.1)
    assert list_sent(forward(state, make_packet(b"held", ACK), 1.2)) == [b"held"]


def test_a_held_request_of_a_flow_that_ends_is_dropped(state: AgentState) -> None:
    flows = fill(state)
    ask(state, b"held", 1.1)
    forward(state, make_packet(b"held", RST), 1.2)
    assert answer(state, flows[0], 1.3) == []
    assert state.busy == FULL - 1


def test_requests_that_are_never_answered_stop_counting(state: AgentState) -> None:
    fill(state)
    ask(state, b"held", 1.0, timeout=20.0)
    now = 1.0 + _slots.ANSWER_TIMEOUT_SECONDS + 0.1
    state.flows[b"held"].last_packet_at = now
    effects = _slots.expire_requests(state, now)
    assert list_sent(effects) == [b"held"]


def test_an_answer_that_comes_while_a_request_is_held_loses_no_slot(
    state: AgentState,
) -> None:
    """Found on played days: slots leaked until every request was held."""
    flows = fill(state)
    ask(state, b"held", 1.1)
    late = make_packet(b"held", ACK, length=5, ack=1)
    handle_upstream_packet(state, UpstreamPacket(packet=late, now=1.2))
    assert answer(state, flows[0], 1.3) == [b"held"]
    for flow in (*flows[1:], b"held"):
        answer(state, flow, 1.4)
    assert state.running == state.busy == 0


def test_a_held_request_that_the_upstream_has_received_is_dropped(
    state: AgentState,
) -> None:
    flows = fill(state)
    ask(state, b"held", 1.1)
    received = make_packet(b"held", ACK, ack=11)
    handle_upstream_packet(state, UpstreamPacket(packet=received, now=1.2))
    assert not state.backlog.requests
    assert answer(state, flows[0], 1.3) == []


def test_a_copy_of_a_request_from_before_a_restart_takes_no_slot(
    state: AgentState,
) -> None:
    state.knows_all_flows = False
    request = make_packet(b"old", ACK, length=10, timeout=2.0)
    assert list_sent(forward(state, request, 1.0)) == [b"old"]
    received = make_packet(b"old", ACK, ack=11)
    handle_upstream_packet(state, UpstreamPacket(packet=received, now=1.1))
    assert list_sent(forward(state, request, 1.2)) == [b"old"]
    assert state.running == 0


def test_an_upstream_that_fails_quickly_asks_to_be_avoided(state: AgentState) -> None:
    """Found on played days: a failing upstream is never busy and draws more flows."""
    now = 1.0
    for number in range(20):
        flow = b"ok%d" % number
        ask(state, flow, now)
        now += 0.05
        answer(state, flow, now)
    assert build_load(state, now).avoided == 0.0
    for number in range(3):
        flow = b"bad%d" % number
        ask(state, flow, now)
        now += 0.001
        answer(state, flow, now)
    assert build_load(state, now).avoided > 0.0


def test_time_in_the_queue_does_not_hide_quick_failures(state: AgentState) -> None:
    for number in range(20):
        flow = b"ok%d" % number
        ask(state, flow, 1.0 + number)
        answer(state, flow, 1.05 + number)
    flows = fill(state)
    for number in range(3):
        ask(state, b"bad%d" % number, 30.0 + number, timeout=60.0, objective=0.2)
    answer(state, flows[0], 40.0)
    for number in range(3):
        answer(state, b"bad%d" % number, 40.001)
    assert build_load(state, 40.002).avoided > 0.0


def close(state: AgentState, flow: bytes, now: float) -> list[Effect]:
    """Have the upstream's FIN come, which may overtake the answer before it."""
    packet = make_packet(flow, ACK | FIN, seq=900)
    return handle_upstream_packet(state, UpstreamPacket(packet=packet, now=now))


def test_an_end_that_overtakes_its_answer_counts_as_the_answer(
    state: AgentState,
) -> None:
    """A flow of one request is closed with its answer, and the FIN may come first."""
    ask(state, b"a", 1.0)
    effects = close(state, b"a", 1.05)
    assert [e.seconds for e in effects if isinstance(e, ObserveLatency)] == [
        pytest.approx(0.05)
    ]
    assert state.health.warm.answers == 1
    assert state.running == 0


def test_quick_failures_on_flows_of_one_request_are_noticed(state: AgentState) -> None:
    for number in range(20):
        ask(state, b"ok%d" % number, 1.0 + number)
        close(state, b"ok%d" % number, 1.05 + number)
    for number in range(3):
        ask(state, b"bad%d" % number, 30.0 + number)
        close(state, b"bad%d" % number, 30.001 + number)
    assert build_load(state, 32.002).avoided > 0.0


def test_an_end_does_not_answer_a_held_request(state: AgentState) -> None:
    fill(state)
    ask(state, b"held", 1.1)
    close(state, b"held", 1.2)
    assert state.health.warm.answers == 0
    assert not state.backlog.requests


def test_the_end_of_a_flow_that_its_caller_closed_is_no_answer(
    state: AgentState,
) -> None:
    """Callers that give up close; the upstream's FIN follows within a millisecond,
    and was taken for a failure of the upstream."""
    ask(state, b"a", 1.0)
    forward(state, make_packet(b"a", ACK | FIN, seq=11), 1.05)
    close(state, b"a", 1.051)
    assert state.health.warm.answers == 0
    assert state.running == 0


def test_a_held_request_whose_caller_gives_up_takes_no_slot(state: AgentState) -> None:
    flows = fill(state)
    ask(state, b"given up", 1.1, objective=0.2)
    ask(state, b"patient", 1.15, objective=0.2)
    forward(state, make_packet(b"given up", ACK | FIN, seq=11), 1.5)
    assert answer(state, flows[0], 1.6) == [b"patient"]
    assert answer(state, flows[1], 1.6) == [b"given up"]


def test_a_copy_of_an_opening_tells_that_openings_were_lost(state: AgentState) -> None:
    ask(state, b"first", 1.0)
    assert state.backlog.syn_lost_at is None
    ask(state, b"second", 1.1, copy=1)
    assert state.backlog.syn_lost_at == pytest.approx(0.9)


def test_a_request_without_a_known_timeout_is_not_taken_for_lost(
    state: AgentState,
) -> None:
    flows = fill(state)
    ask(state, b"late", 1.1, objective=0.1)
    ask(state, b"unknown", 1.2, timeout=0.0)
    assert answer(state, flows[0], 1.4) == [b"unknown"]
