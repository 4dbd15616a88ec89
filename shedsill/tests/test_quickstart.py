"""The quickstart, as a user runs it."""

from __future__ import annotations

import subprocess
import sys


def test_quickstart_shows_a_drain_and_exits_with_0() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "shedsill", "quickstart"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "run once: True" in done.stdout
    assert "stream still open: True" in done.stdout
    assert "503 not-run" in done.stdout
