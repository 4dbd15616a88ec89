"""Test runs on one machine take different ports.

Guards against nodes of one run that bind, or talk to, the ports of another run.
"""

from __future__ import annotations

import contextlib
import os
import socket
import subprocess
import sys

from shedsill.testing import ports

RUN_COUNT = 6
PORTS_PER_RUN = 20
PRINT_PORTS = (
    "import sys; from shedsill.testing.ports import get_free_ports;"
    f"print(*get_free_ports({PORTS_PER_RUN}), flush=True); sys.stdin.read()"
)


def test_runs_with_equal_worker_names_take_different_ports() -> None:
    environment = {**os.environ, "PYTEST_XDIST_WORKER": "gw0"}
    with contextlib.ExitStack() as stack:
        runs = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, "-c", PRINT_PORTS],
                    env=environment,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            for _ in range(RUN_COUNT)
        ]
        taken: list[str] = []
        for run in runs:
            assert run.stdout is not None
            taken += run.stdout.readline().split()
        for run in runs:
            assert run.stdin is not None
            run.stdin.close()
    assert len(taken) == RUN_COUNT * PORTS_PER_RUN
    assert len(set(taken)) == len(taken)


def test_ports_do_not_repeat_within_a_run() -> None:
    """A port may be assigned to a process that has not bound it yet."""
    taken = [port for _ in range(5) for port in ports.get_free_ports(20)]
    assert len(set(taken)) == len(taken)


def test_port_in_use_is_left_out() -> None:
    with socket.socket(type=socket.SOCK_DGRAM) as used:
        (port,) = ports.get_free_ports(1)
        used.bind(("127.0.0.1", port))
        block = ports.get_free_ports(ports.PORTS_PER_BLOCK // 2)
        block += ports.get_free_ports(ports.PORTS_PER_BLOCK // 2)
        assert port not in block
