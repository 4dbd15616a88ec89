"""Choice of the next queued request."""

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

SERVICE_SECONDS = 0.05
SLOTS = 2


def build_forecast(now: float, **parts) -> Forecast:
    fields = {
        "slots": SLOTS,
        "cold_until": 0.0,
        "cold_service_time": 2 * SERVICE_SECONDS,
        "service_time": SERVICE_SECONDS,
        **parts,
    }
    return Forecast(now=now, **fields)


def queue_request(
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


def take_next(backlog: Backlog, forecast: Forecast) -> bytes:
    flow = choose_next_request(backlog, forecast)
    del backlog.requests[flow]
    return flow


def run_queue(
    backlog: Backlog,
    start: float,
    end: float,
    *,
    gap: float = 0.0,
    objective: float = 0.2,
    timeout: float = 2.0,
) -> dict[bytes, float]:
    """Start the next request whenever a slot is free while new ones arrive.

    Returns when each request was started.  A request arrives each `gap` seconds.
    """
    started = {}
    now, number, next_arrival = start, 0, start
    while now < end:
        while gap and next_arrival <= now:
            queue_request(
                backlog,
                b"new%d" % number,
                next_arrival,
                objective=objective,
                timeout=timeout,
            )
            number += 1
            next_arrival += gap
        if backlog.requests:
            started[take_next(backlog, build_forecast(now))] = now
        now += SERVICE_SECONDS / SLOTS
    return started


def test_fresh_request_is_chosen_before_late_one_with_time_left() -> None:
    backlog = Backlog()
    queue_request(backlog, b"late", 0.0)
    queue_request(backlog, b"fresh", 1.0)
    assert take_next(backlog, build_forecast(1.0)) == b"fresh"


def test_request_is_late_once_it_cannot_meet_its_objective() -> None:
    backlog = Backlog()
    queue_request(backlog, b"urgent, late", 0.0, urgency=0)
    queue_request(backlog, b"fresh", 0.1)
    now = 0.2 - SERVICE_SECONDS / 2
    assert take_next(backlog, build_forecast(now)) == b"fresh"


def test_late_request_is_chosen_at_last_moment_before_its_deadline() -> None:
    backlog = Backlog()
    queue_request(backlog, b"late", 0.0)
    queue_request(backlog, b"fresh", 1.8)
    assert choose_next_request(backlog, build_forecast(1.8)) == b"fresh"
    assert choose_next_request(backlog, build_forecast(1.9)) == b"late"


def test_many_late_requests_are_chosen_earlier() -> None:
    """Thirty of them take 0.75 s, so that the last moment is earlier."""
    backlog = Backlog()
    for number in range(30):
        queue_request(backlog, b"late%d" % number, number / 1000)
    queue_request(backlog, b"fresh", 1.2)
    assert choose_next_request(backlog, build_forecast(1.0)) == b"fresh"
    assert choose_next_request(backlog, build_forecast(1.25)) == b"late0"


def test_forecast_expects_cold_upstream_to_become_faster() -> None:
    backlog = Backlog()
    for number in range(18):
        queue_request(backlog, b"late%d" % number, number / 1000)
    queue_request(backlog, b"fresh", 1.0)
    warm_soon = build_forecast(1.0, cold_until=1.1)
    cold_for_long = build_forecast(1.0, cold_until=3.0)
    assert choose_next_request(backlog, warm_soon) == b"fresh"
    assert choose_next_request(backlog, cold_for_long) == b"late0"


def test_temporary_backlog_loses_no_feasible_request() -> None:
    """Sixty requests are queued, and others arrive at half the service rate."""
    backlog = Backlog()
    for number in range(60):
        queue_request(backlog, b"old%d" % number, number / 1000)
    started = run_queue(backlog, 0.5, 6.0, gap=SERVICE_SECONDS)
    for number in range(60):
        assert started[b"old%d" % number] + SERVICE_SECONDS <= 2.0 + number / 1000
    for number in range(60):
        asked = 0.5 + number * SERVICE_SECONDS
        assert started[b"new%d" % number] + SERVICE_SECONDS <= asked + 2.0


def test_fresh_requests_meet_objective_again_after_late_ones() -> None:
    backlog = Backlog()
    for number in range(40):
        queue_request(backlog, b"old%d" % number, number / 1000)
    started = run_queue(backlog, 0.5, 6.0, gap=SERVICE_SECONDS)
    in_time = [
        started[b"new%d" % n] - (0.5 + n * SERVICE_SECONDS) < 0.15 for n in range(90)
    ]
    assert all(in_time[40:])


def test_most_answers_meet_objective_under_lasting_overload() -> None:
    """At twice the service rate for ten timeouts, two thirds of the answers after the
    first two timeouts meet their objective, and late requests are answered too."""
    backlog = Backlog()
    gap = SERVICE_SECONDS / SLOTS / 2
    started = run_queue(backlog, 0.0, 20.0, gap=gap)
    waits = [
        now - int(flow[3:]) * gap for flow, now in started.items() if now > 2 * 2.0
    ]
    in_time = sum(wait + SERVICE_SECONDS <= 0.2 for wait in waits) / len(waits)
    assert in_time > 1 - 1 / SLOTS_PER_LATE_REQUEST - 0.05
    assert in_time < 1.0


def test_infeasible_request_is_chosen_last() -> None:
    backlog = Backlog()
    queue_request(backlog, b"lost", 0.0)
    queue_request(backlog, b"late", 1.0)
    queue_request(backlog, b"fresh", 1.99)
    assert take_next(backlog, build_forecast(1.99)) == b"fresh"
    assert take_next(backlog, build_forecast(1.99)) == b"late"
    assert take_next(backlog, build_forecast(1.99)) == b"lost"


def test_least_urgent_is_excluded_if_not_all_are_feasible() -> None:
    backlog = Backlog()
    queue_request(backlog, b"urgent", 0.0, urgency=0)
    queue_request(backlog, b"page", 0.0, urgency=2)
    now = 2.0 - SERVICE_SECONDS
    assert take_next(backlog, build_forecast(now, slots=1)) == b"urgent"


def test_fresh_request_is_chosen_while_service_time_is_unknown() -> None:
    backlog = Backlog()
    queue_request(backlog, b"late", 0.0)
    queue_request(backlog, b"fresh", 1.9)
    unknown = build_forecast(1.95, cold_service_time=0.0, service_time=0.0)
    assert choose_next_request(backlog, unknown) == b"fresh"


@pytest.mark.parametrize("cold_until", [0.0, 0.5, 9.0])
def test_forecast_starts_are_in_order(cold_until: float) -> None:
    forecast = build_forecast(0.0, cold_until=cold_until)
    starts = [forecast.estimate_start(position) for position in range(50)]
    assert starts == sorted(starts)
    assert starts[0] == 0.0


def test_request_of_closed_caller_is_chosen_last() -> None:
    backlog = Backlog()
    queue_request(backlog, b"closed", 0.9)
    queue_request(backlog, b"lost", 0.0)
    backlog.requests[b"closed"].caller_closed = True
    now = 2.0
    assert take_next(backlog, build_forecast(now)) == b"lost"
    assert take_next(backlog, build_forecast(now)) == b"closed"


def test_request_of_closed_caller_is_chosen_after_feasible_one() -> None:
    backlog = Backlog()
    queue_request(backlog, b"closed", 0.0)
    queue_request(backlog, b"late", 0.5)
    backlog.requests[b"closed"].caller_closed = True
    assert take_next(backlog, build_forecast(1.0)) == b"late"


def test_possible_retry_is_chosen_before_its_earlier_deadline() -> None:
    """Callers that had spent part of their timeout on a lost attempt gave up first."""
    backlog = Backlog(syn_lost_at=1.0)
    queue_request(backlog, b"again", 1.1, timeout=2.5)
    queue_request(backlog, b"fresh", 1.9, timeout=2.5)
    due = 1.1 + 2.5 - EARLIER_ATTEMPT_SECONDS - 2 * SERVICE_SECONDS
    assert choose_next_request(backlog, build_forecast(due - 0.05)) == b"fresh"
    assert choose_next_request(backlog, build_forecast(due + 0.01)) == b"again"


def test_request_past_earlier_deadline_is_no_retry() -> None:
    backlog = Backlog(syn_lost_at=1.0)
    queue_request(backlog, b"patient", 1.1, timeout=2.5)
    now = 1.1 + 2.5 - EARLIER_ATTEMPT_SECONDS
    queue_request(backlog, b"fresh", now, timeout=2.5)
    assert choose_next_request(backlog, build_forecast(now)) == b"fresh"


@pytest.mark.parametrize(("asked", "expected"), [(1.8, True), (2.0, False)])
def test_request_may_be_retry_only_soon_after_lost_syn(
    asked: float, expected: bool
) -> None:
    """After its last copy is lost, 0.6 s after the first, a caller retries in 0.9 s."""
    backlog = Backlog(syn_lost_at=1.0)
    queue_request(backlog, b"f", asked)
    assert backlog.requests[b"f"].may_be_retry is expected
