"""HTTP client connections with TCP keep-alive."""

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
    """Return a connector whose connections detect a silent peer.

    Parameters
    ----------
    options
        Options of `aiohttp.TCPConnector`.
    """
    return aiohttp.TCPConnector(socket_factory=_open_socket, **options)


def make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Return a timeout for connecting and for each read of a response.

    There is no total timeout, because a large response may take long on a slow link.
    """
    return aiohttp.ClientTimeout(total=None, sock_connect=seconds, sock_read=seconds)
