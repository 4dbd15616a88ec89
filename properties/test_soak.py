"""A short soak with a fixed seed, and what it finds when a guard is taken out."""

from __future__ import annotations

import pytest

from properties.soak import run_seed

MIXED_SEED = 1
PLANNED_SEED = 3
LOSSY_SEED = 8
FAULT_SECONDS = 4.0


@pytest.mark.parametrize("seed", [MIXED_SEED, PLANNED_SEED, LOSSY_SEED])
def test_a_short_soak_keeps_every_promise(seed: int) -> None:
    assert run_seed(seed, FAULT_SECONDS) == []


def test_the_soak_finds_changed_packets() -> None:
    broken = run_seed(MIXED_SEED, 1.0, without="content")
    assert any("changed" in line for line in broken)
