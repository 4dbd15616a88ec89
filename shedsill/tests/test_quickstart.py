"""The quickstart command, run in a process of its own."""

from __future__ import annotations

import subprocess
import sys


def test_quickstart_drains_upstream_and_exits_with_0() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "shedsill", "quickstart"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert "run once: True" in result.stdout
    assert "stream still open: True" in result.stdout
    assert "503 not-run" in result.stdout
