"""TCP keep-alive for the clients and servers of this package.

The peer of a connection may disappear without a reset.  Where a client only waits, as
in a watch, just the keep-alive probes of the kernel detect this.
"""

from __future__ import annotations

import socket

USER_TIMEOUT_MILLISECONDS = 2_000
"""Time after which the kernel closes a connection on which sent data remains
unacknowledged."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
"""Unanswered probes after which the kernel closes a connection: after 3 s in all, which
leaves time to read the configuration over a new connection within 4 s."""


def enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel close a connection whose peer is gone or silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
