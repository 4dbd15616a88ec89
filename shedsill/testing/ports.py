"""Free ports on loopback."""

from __future__ import annotations

import contextlib
import socket


def find_ports(count: int) -> list[int]:
    """Return free loopback ports, for UDP and TCP alike."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            tcp = stack.enter_context(socket.socket())
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            udp = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            with contextlib.suppress(OSError):
                udp.bind(("127.0.0.1", port))
                ports.append(port)
        return ports
