"""Short soak runs with fixed seeds, and one with a guard disabled."""

from __future__ import annotations

import pytest

from properties.soak import run_seed

MIXED_SEED = 1
PLANNED_SEED = 3
LOSSY_SEED = 8
FAULT_SECONDS = 4.0


@pytest.mark.parametrize("seed", [MIXED_SEED, PLANNED_SEED, LOSSY_SEED])
def test_short_soak_finds_no_violations(seed: int) -> None:
    assert run_seed(seed, FAULT_SECONDS) == []


def test_soak_without_content_guard_reports_changed_packets() -> None:
    violations = run_seed(MIXED_SEED, 1.0, without="content")
    assert any("changed" in line for line in violations)
