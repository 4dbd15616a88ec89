"""Which held request is next, without an agent around it."""

from __future__ import annotations

import pytest

from shedsill.datagram._backlog import (
    EARLIER_ATTEMPT_SECONDS,
    SLOTS_PER_LATE_REQUEST,
    Backlog,
    Forecast,
    QueuedRequest,
    add_request,
    choose_next_request,
)

SERVICE = 0.05
SLOTS = 2


def make_forecast(now: float, **parts) -> Forecast:
    fields = {
        "slots": SLOTS,
        "cold_until": 0.0,
        "cold_service_time": 2 * SERVICE,
        "service_time": SERVICE,
        **parts,
    }
    return Forecast(now=now, **fields)


def add(
    backlog: Backlog,
    flow: bytes,
    asked: float,
    *,
    objective: float = 0.2,
    timeout: float = 2.0,
    urgency: int = 1,
) -> None:
    request = QueuedRequest(
        packets=[],
        queued_at=asked,
        requested_at=asked,
        urgency=urgency,
        objective_at=asked + objective,
        deadline_at=asked + timeout,
    )
    add_request(backlog, flow, request)


def take(backlog: Backlog, forecast: Forecast) -> bytes:
    flow = choose_next_request(backlog, forecast)
    del backlog.requests[flow]
    return flow


def serve(
    backlog: Backlog,
    start: float,
    end: float,
    *,
    gap: float = 0.0,
    objective: float = 0.2,
    timeout: float = 2.0,
) -> dict[bytes, float]:
    """Serve at the upstream's pace while a request comes each `gap` seconds.

    Returns when each request was started.
    """
    started = {}
    now, number, next_arrival = start, 0, start
    while now < end:
        while gap and next_arrival <= now:
            add(
                backlog,
                b"new%d" % number,
                next_arrival,
                objective=objective,
                timeout=timeout,
            )
            number += 1
            next_arrival += gap
        if backlog.requests:
            started[take(backlog, make_forecast(now))] = now
        now += SERVICE / SLOTS
    return started


def test_a_fresh_request_goes_before_a_late_one_that_has_time() -> None:
    backlog = Backlog()
    add(backlog, b"late", 0.0)
    add(backlog, b"fresh", 1.0)
    assert take(backlog, make_forecast(1.0)) == b"fresh"


def test_a_request_is_late_once_it_cannot_be_answered_in_time() -> None:
    backlog = Backlog()
    add(backlog, b"urgent, late", 0.0, urgency=0)
    add(backlog, b"fresh", 0.1)
    now = 0.2 - SERVICE / 2
    assert take(backlog, make_forecast(now)) == b"fresh"


def test_a_late_request_goes_at_the_last_moment_that_saves_it() -> None:
    backlog = Backlog()
    add(backlog, b"late", 0.0)
    add(backlog, b"fresh", 1.8)
    assert choose_next_request(backlog, make_forecast(1.8)) == b"fresh"
    assert choose_next_request(backlog, make_forecast(1.9)) == b"late"


def test_many_late_requests_begin_sooner() -> None:
    """Thirty of them take 0.75 s, so that the last moment comes earlier."""
    backlog = Backlog()
    for number in range(30):
        add(backlog, b"late%d" % number, number / 1000)
    add(backlog, b"fresh", 1.2)
    assert choose_next_request(backlog, make_forecast(1.0)) == b"fresh"
    assert choose_next_request(backlog, make_forecast(1.25)) == b"late0"


def test_cold_upstreams_are_expected_to_become_faster() -> None:
    backlog = Backlog()
    for number in range(18):
        add(backlog, b"late%d" % number, number / 1000)
    add(backlog, b"fresh", 1.0)
    warm_soon = make_forecast(1.0, cold_until=1.1)
    cold_for_long = make_forecast(1.0, cold_until=3.0)
    assert choose_next_request(backlog, warm_soon) == b"fresh"
    assert choose_next_request(backlog, cold_for_long) == b"late0"


def test_a_backlog_that_ends_loses_no_request_that_can_be_saved() -> None:
    """After a restart sixty requests wait, and others come at half of the pace."""
    backlog = Backlog()
    for number in range(60):
        add(backlog, b"old%d" % number, number / 1000)
    started = serve(backlog, 0.5, 6.0, gap=SERVICE)
    for number in range(60):
        assert started[b"old%d" % number] + SERVICE <= 2.0 + number / 1000
    for number in range(60):
        asked = 0.5 + number * SERVICE
        assert started[b"new%d" % number] + SERVICE <= asked + 2.0


def test_fresh_requests_are_in_time_again_once_the_late_ones_have_gone() -> None:
    backlog = Backlog()
    for number in range(40):
        add(backlog, b"old%d" % number, number / 1000)
    started = serve(backlog, 0.5, 6.0, gap=SERVICE)
    in_time = [started[b"new%d" % n] - (0.5 + n * SERVICE) < 0.15 for n in range(90)]
    assert all(in_time[40:])


def test_lasting_overload_leaves_most_fresh_requests_in_time() -> None:
    """At twice the pace for ten timeouts, at least two thirds of what is served
    after the first is served in time, and late ones are served too."""
    backlog = Backlog()
    gap = SERVICE / SLOTS / 2
    started = serve(backlog, 0.0, 20.0, gap=gap)
    waits = [
        now - int(flow[3:]) * gap for flow, now in started.items() if now > 2 * 2.0
    ]
    in_time = sum(wait + SERVICE <= 0.2 for wait in waits) / len(waits)
    assert in_time > 1 - 1 / SLOTS_PER_LATE_REQUEST - 0.05
    assert in_time < 1.0


def test_no_slot_goes_to_a_request_that_cannot_be_saved() -> None:
    backlog = Backlog()
    add(backlog, b"lost", 0.0)
    add(backlog, b"late", 1.0)
    add(backlog, b"fresh", 1.99)
    assert take(backlog, make_forecast(1.99)) == b"fresh"
    assert take(backlog, make_forecast(1.99)) == b"late"
    assert take(backlog, make_forecast(1.99)) == b"lost"


def test_the_least_urgent_are_left_out_where_not_all_can_be_saved() -> None:
    backlog = Backlog()
    add(backlog, b"urgent", 0.0, urgency=0)
    add(backlog, b"page", 0.0, urgency=2)
    now = 2.0 - SERVICE
    assert take(backlog, make_forecast(now, slots=1)) == b"urgent"


def test_nothing_is_rescued_before_the_pace_is_known() -> None:
    backlog = Backlog()
    add(backlog, b"late", 0.0)
    add(backlog, b"fresh", 1.9)
    unknown = make_forecast(1.95, cold_service_time=0.0, service_time=0.0)
    assert choose_next_request(backlog, unknown) == b"fresh"


@pytest.mark.parametrize("cold_until", [0.0, 0.5, 9.0])
def test_starts_are_forecast_in_order(cold_until: float) -> None:
    forecast = make_forecast(0.0, cold_until=cold_until)
    starts = [forecast.estimate_start(position) for position in range(50)]
    assert starts == sorted(starts)
    assert starts[0] == 0.0


def test_a_request_whose_caller_has_closed_goes_last() -> None:
    backlog = Backlog()
    add(backlog, b"closed", 0.9)
    add(backlog, b"lost", 0.0)
    backlog.requests[b"closed"].caller_closed = True
    now = 2.0
    assert take(backlog, make_forecast(now)) == b"lost"
    assert take(backlog, make_forecast(now)) == b"closed"


def test_a_closed_request_takes_no_slot_of_one_that_can_be_saved() -> None:
    backlog = Backlog()
    add(backlog, b"closed", 0.0)
    add(backlog, b"late", 0.5)
    backlog.requests[b"closed"].caller_closed = True
    assert take(backlog, make_forecast(1.0)) == b"late"


def test_a_caller_that_may_have_tried_before_is_served_earlier() -> None:
    """Found after power losses: a third of the callers in the queue had spent 1.5 s
    of their 2.5 s on a try that nobody saw, and gave up before their turn."""
    backlog = Backlog(syn_lost_at=1.0)
    add(backlog, b"again", 1.1, timeout=2.5)
    add(backlog, b"fresh", 1.9, timeout=2.5)
    due = 1.1 + 2.5 - EARLIER_ATTEMPT_SECONDS - 2 * SERVICE
    assert choose_next_request(backlog, make_forecast(due - 0.05)) == b"fresh"
    assert choose_next_request(backlog, make_forecast(due + 0.01)) == b"again"


def test_a_caller_that_is_still_there_had_not_tried_before() -> None:
    backlog = Backlog(syn_lost_at=1.0)
    add(backlog, b"patient", 1.1, timeout=2.5)
    now = 1.1 + 2.5 - EARLIER_ATTEMPT_SECONDS
    add(backlog, b"fresh", now, timeout=2.5)
    assert choose_next_request(backlog, make_forecast(now)) == b"fresh"


@pytest.mark.parametrize(("asked", "expected"), [(1.8, True), (2.0, False)])
def test_only_callers_soon_after_a_lost_opening_may_have_tried_before(
    asked: float, expected: bool
) -> None:
    """Whose last copy was lost, 0.6 s after the first, tries again 0.9 s later."""
    backlog = Backlog(syn_lost_at=1.0)
    add(backlog, b"f", asked)
    assert backlog.requests[b"f"].may_be_retry is expected
