"""Admission control: slots, queues, the circuit breaker and the retry budget."""

from __future__ import annotations

import math

from attrs import evolve

from shedsill.http3._admission import (
    Admission,
    AdmissionDecision,
    AdmissionSettings,
    BreakerState,
    Request,
    choose_next_request,
    count_free_slots,
    decide_admission,
    drop_request,
    get_retry_after,
    queue_request,
    record_failure,
    record_success,
    record_upstream_load,
    start_request,
    take_retry,
    update_breaker,
)
from shedsill.http3._resources import RequestClass

CLAIM = RequestClass(name="claim", path="/claim", deadline=5.0)
UPLOAD = RequestClass(name="upload", path="/upload", deadline=60.0)


def make_request(number: int, request_class: RequestClass = CLAIM) -> Request:
    return Request(
        number=number,
        flow=0,
        stream=number * 4,
        request_class=request_class,
        fingerprint=b"",
        body_complete=True,
        expires_at=request_class.deadline,
        ticket="",
    )


def make_admission(**options) -> Admission:
    return Admission(slots=2, queue_limit=8, stream_limit=10, **options)


def test_dropping_a_request_twice_frees_one_slot() -> None:
    admission = start_request(make_admission(), make_request(1), 0.0)
    admission = start_request(admission, make_request(2), 0.0)
    request = admission.requests[1]
    for _ in range(2):
        admission = drop_request(admission, request, 0.0)
    assert (admission.running, count_free_slots(admission, 0.0)) == (1, 1)


def test_aborted_request_keeps_its_slot_for_the_grace_time() -> None:
    admission = start_request(make_admission(), make_request(1), 0.0)
    admission = drop_request(admission, make_request(1), 1.0, aborted=True)
    assert count_free_slots(admission, 1.1) == 1
    assert count_free_slots(admission, 1.3) == 2


def test_no_slot_is_used_until_the_upstream_is_idle() -> None:
    admission = make_admission(slots_available_at=30.0)
    for now, busy in ((0.0, 0), (0.5, 1), (0.6, 0), (1.2, 0)):
        admission = record_upstream_load(admission, busy, now)
        assert count_free_slots(admission, now) == 0
    admission = record_upstream_load(admission, 0, 1.7)
    assert count_free_slots(admission, 1.7) == 2


def test_one_class_cannot_fill_the_queue() -> None:
    admission = make_admission()
    for number in (1, 2):
        admission = start_request(admission, make_request(number), 0.0)
    number = 3
    while True:
        request = make_request(number)
        if (
            decide_admission(admission, request, 2, 0.0).decision
            != AdmissionDecision.QUEUE
        ):
            break
        admission = queue_request(admission, request)
        number += 1
    assert len(admission.queue) == 4
    other = make_request(99, UPLOAD)
    assert (
        decide_admission(admission, other, 2, 0.0).decision == AdmissionDecision.QUEUE
    )


def test_class_with_fewest_running_requests_starts_first() -> None:
    admission = start_request(make_admission(), make_request(1), 0.0)
    for number, request_class in ((2, CLAIM), (3, UPLOAD)):
        admission = queue_request(admission, make_request(number, request_class))
    assert choose_next_request(admission, 0.0) == 3


def test_request_that_cannot_start_in_time_is_refused() -> None:
    admission = evolve(make_admission(), service_time=4.0)
    for number in (1, 2):
        admission = start_request(admission, make_request(number), 0.0)
    result = decide_admission(admission, make_request(3), 1, 0.0)
    assert result.decision == AdmissionDecision.REFUSE
    assert "in time" in result.reason


def test_retry_after_depends_on_the_queue_and_is_jittered() -> None:
    admission = evolve(make_admission(), service_time=10.0)
    delays = {get_retry_after(admission, 0.0, seed) for seed in range(1000)}
    assert min(delays) == math.ceil(5.0)
    assert len(delays) > 1


def test_retries_are_at_most_a_tenth_of_first_attempts() -> None:
    admission = make_admission()
    retries = 0
    for number in range(300):
        admission = start_request(admission, make_request(number), 0.0)
        admission = drop_request(admission, make_request(number), 0.0)
        admission, taken = take_retry(admission)
        retries += taken
    assert 25 <= retries <= 30


def test_breaker_opens_half_opens_and_closes() -> None:
    settings = AdmissionSettings(breaker_failures=3, breaker_pause=2.0)
    admission = make_admission(settings=settings)
    for _ in range(3):
        admission = record_failure(admission, 0.0)
    result = decide_admission(admission, make_request(1), 1, 1.0)
    assert (result.decision, result.reason) == (
        AdmissionDecision.REFUSE,
        "upstream fails",
    )
    admission = update_breaker(admission, 2.0)
    assert admission.breaker.state == BreakerState.HALF_OPEN
    assert count_free_slots(admission, 2.0) == 1
    admission = start_request(admission, make_request(1), 2.0)
    second = decide_admission(admission, make_request(2), 1, 2.0)
    assert second.decision == AdmissionDecision.REFUSE
    admission = record_success(drop_request(admission, make_request(1), 2.1))
    assert count_free_slots(admission, 2.1) == 2
