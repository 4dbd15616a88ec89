"""Free ports on loopback, below the kernel's ephemeral range.

A port of the ephemeral range could be taken by an outgoing connection before the
test binds it.  Each process takes its ports from blocks of its own: it holds the first
port of a block until it ends, so that several test runs can share the machine.
"""

from __future__ import annotations

import contextlib
import functools
import itertools
import os
import socket

FIRST_PORT = 10_000
PORTS_PER_BLOCK = 400
BLOCK_COUNT = 55

_port_offsets = itertools.count()


def get_free_ports(count: int) -> list[int]:
    """Return ports that are free for both UDP and TCP, of this process's block.

    Raises
    ------
    OSError
        If there are not enough free ports, or no free block.
    """
    lock_port, _lock = _lock_block(os.getpid())
    first = lock_port + 1
    length = PORTS_PER_BLOCK - 1
    ports: list[int] = []
    for _ in range(length):
        port = first + next(_port_offsets) % length
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"fewer than {count} free ports from {first} to {first + length}")


@functools.cache
def _lock_block(process_id: int) -> tuple[int, socket.socket]:
    """Return the first port of a process's block, and the socket that holds it."""
    for number in range(BLOCK_COUNT):
        index = (process_id + number) % BLOCK_COUNT
        first = FIRST_PORT + index * PORTS_PER_BLOCK
        lock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            lock.bind(("", first))
        except OSError:
            lock.close()
            continue
        return first, lock
    raise OSError(f"all {BLOCK_COUNT} blocks of ports are in use")


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = stack.enter_context(socket.socket(type=kind))
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True
