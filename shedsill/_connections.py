"""Keep-alive on TCP connections, for every client and server of this package.

A connection may go silent for good without a reset.  A watch that waits has nothing
to send, so that only probes of the kernel show it.
"""

from __future__ import annotations

import socket

USER_TIMEOUT_MILLISECONDS = 2_000
"""Milliseconds without an acknowledgement of what was sent after which the kernel
gives a connection up."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
"""Seconds without traffic before the kernel probes the other end, seconds between
probes, and probes without an answer after which the connection is given up.  A silent
connection is noticed after 3 s, so that a change of the configuration that comes
meanwhile is still read in time: the strictest deployment described counts a calm node
as in touch after 4 s."""


def enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel end a connection whose other end is gone or silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
