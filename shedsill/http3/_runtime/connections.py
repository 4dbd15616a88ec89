"""Client sessions whose connections are watched by keep-alive."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp

from shedsill._connections import enable_keepalive


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    """Return a socket for one entry of `socket.getaddrinfo`."""
    family, kind, protocol, _name, _address = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    enable_keepalive(sock)
    return sock


def make_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose connections notice that they have gone silent.

    Parameters
    ----------
    options
        See `aiohttp.TCPConnector`.
    """
    return aiohttp.TCPConnector(socket_factory=_open_socket, **options)


def make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Return a limit for an answer to begin and for each further part of it.

    A limit for the whole would have to be as long as the largest answer takes on the
    thinnest link, or that answer would never come.
    """
    return aiohttp.ClientTimeout(total=None, sock_connect=seconds, sock_read=seconds)
