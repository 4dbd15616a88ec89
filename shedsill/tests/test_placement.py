"""Tests for the placement of new flows."""

from __future__ import annotations

import pytest

from shedsill.http3._frames import Candidate, Load
from shedsill.http3._placement import (
    HashOnly,
    Policy,
    TwoCandidates,
    get_utilization,
    is_alternate_preferred,
)

LIMIT = 100


def make_load(flows: int, *, busy: int = 0, is_open: bool = True) -> Load:
    return Load(flows=flows, flow_limit=LIMIT, busy=busy, slots=3, open=is_open)


@pytest.mark.parametrize(
    ("policy", "own", "other", "age", "passed"),
    [
        (TwoCandidates(), make_load(11), make_load(10), 0.0, True),
        (TwoCandidates(), make_load(10), make_load(10), 0.0, False),
        (TwoCandidates(), make_load(10), make_load(11), 0.0, False),
        (TwoCandidates(), make_load(50), make_load(10), 9.0, False),
        (TwoCandidates(), make_load(10, busy=6), make_load(50), 0.0, True),
        (TwoCandidates(), make_load(50), make_load(10, busy=6), 0.0, False),
        (TwoCandidates(), make_load(50, busy=9), make_load(10, busy=9), 0.0, True),
        (TwoCandidates(), make_load(1), make_load(0, is_open=False), 0.0, False),
        (TwoCandidates(), make_load(1), make_load(LIMIT), 0.0, False),
        (TwoCandidates(), make_load(LIMIT), make_load(99), 9.0, True),
        (HashOnly(), make_load(50), make_load(10), 0.0, False),
        (HashOnly(), make_load(50, is_open=False), make_load(60), 0.0, True),
    ],
)
def test_flow_is_passed_on_only_if_the_alternate_is_preferred(
    policy: Policy, own: Load, other: Load, age: float, passed: bool
) -> None:
    alternate = Candidate(upstream=2, load=other, age=age)
    assert is_alternate_preferred(policy, own, alternate) == passed


def test_flow_without_an_alternate_is_kept() -> None:
    assert not is_alternate_preferred(TwoCandidates(), make_load(LIMIT), None)


def test_slow_start_raises_the_utilization_of_a_new_upstream() -> None:
    alternate = Candidate(upstream=2, load=make_load(20), age=0.0)
    own = make_load(5)
    assert not is_alternate_preferred(TwoCandidates(), own, alternate)
    assert is_alternate_preferred(TwoCandidates(), own, alternate, slow_start_share=0.1)
    assert get_utilization(own, slow_start_share=0.0) == get_utilization(
        own, slow_start_share=0.1
    )
