"""Free ports on loopback, below the kernel's ephemeral range.

A port of the ephemeral range could be taken by an outgoing connection before the
test binds it.  Each pytest-xdist worker has its own range.  Other processes share
one, which they search from an offset that depends on their process id.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket

WORKER_VARIABLE = "PYTEST_XDIST_WORKER"
WORKER_PREFIX = "gw"
FIRST_WORKER_PORT = 10_000
PORTS_PER_WORKER = 800
MAX_WORKERS = 12
FIRST_SHARED_PORT = FIRST_WORKER_PORT + PORTS_PER_WORKER * MAX_WORKERS
SHARED_PORT_COUNT = 12_000
_port_offsets = itertools.count()


def get_free_ports(count: int) -> list[int]:
    """Return ports that are free for both UDP and TCP."""
    first, length = _get_range()
    ports: list[int] = []
    for _ in range(length):
        port = first + next(_port_offsets) % length
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"fewer than {count} free ports from {first} to {first + length}")


def _get_range() -> tuple[int, int]:
    worker = os.environ.get(WORKER_VARIABLE, "")
    if worker.startswith(WORKER_PREFIX):
        index = int(worker.removeprefix(WORKER_PREFIX)) % MAX_WORKERS
        return FIRST_WORKER_PORT + index * PORTS_PER_WORKER, PORTS_PER_WORKER
    offset = os.getpid() * 64 % (SHARED_PORT_COUNT - PORTS_PER_WORKER)
    return FIRST_SHARED_PORT + offset, PORTS_PER_WORKER


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = stack.enter_context(socket.socket(type=kind))
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True
