"""UDP sockets of a node."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.errors import SettingError

MAX_DATAGRAMS_PER_READ = 128
"""Limit of datagrams read from one socket before other sockets are served."""

MAX_DATAGRAM_BYTES = 65_535

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
"""Kernel buffer for datagrams that arrive while the VM is paused by its CPU quota."""


class DatagramSockets:
    """Receives and sends datagrams without blocking.

    Parameters
    ----------
    write_log : callable
        Receives a log entry for each failure.
    on_drained : callable
        Called after each batch of datagrams.
    """

    def __init__(
        self, *, write_log: Callable[[WriteLog], None], on_drained: Callable[[], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._write_log = write_log
        self._on_drained = on_drained
        self._sockets: list[socket.socket] = []

    def open(
        self, address: Address, receive: Callable[[bytes, str], None]
    ) -> socket.socket:
        """Bind a socket; `receive` is called with each datagram and its source host.

        Raises
        ------
        SettingError
            If the address cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        try:
            sock.bind(address.pair)
        except OSError as error:
            raise build_address_error(address, error) from error
        self._loop.add_reader(sock, self._receive_datagrams, sock, receive)
        self._sockets.append(sock)
        return sock

    def _receive_datagrams(
        self, sock: socket.socket, receive: Callable[[bytes, str], None]
    ) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                # ICMP error for an earlier datagram; the reducer detects lost peers.
                if error.errno != errno.ECONNREFUSED:
                    self._log_failure(sock, error)
                continue
            receive(data, source[0])
        self._on_drained()

    def send(self, sock: socket.socket, data: bytes, target: tuple[str, int]) -> None:
        """Send a datagram; if that fails, it is dropped and the failure logged."""
        try:
            sock.sendto(data, target)
        except OSError as error:
            self._log_failure(sock, error)

    def _log_failure(self, sock: socket.socket, error: OSError) -> None:
        fields = {"socket": str(sock.getsockname()), "error": str(error)}
        self._write_log(WriteLog(event=LogEvent.SEND_FAILED, fields=fields))

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._sockets:
            self._loop.remove_reader(sock)
            sock.close()


def build_address_error(address: Address, error: OSError) -> SettingError:
    """Return the error for an address that cannot be bound on this VM."""
    allowed = f"an address that is free on this VM ({error.strerror})"
    return SettingError("listen address", str(address), allowed)
