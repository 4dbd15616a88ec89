"""A short soak with a fixed seed, and what it finds when a guard is taken out."""

from __future__ import annotations

import pytest

from properties.soak import run_seed

SEED = 1
SECONDS = 4.0

REGRESSIONS: tuple[int, ...] = ()
"""Seeds that have failed once, each with a line on the cause."""


@pytest.mark.parametrize("seed", [SEED, *REGRESSIONS])
def test_a_short_soak_keeps_every_promise(seed: int) -> None:
    assert run_seed(seed, SECONDS) == []


def test_the_soak_finds_changed_packets() -> None:
    broken = run_seed(SEED, 1.0, without="content")
    assert any("changed" in line for line in broken)
