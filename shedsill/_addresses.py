"""Socket addresses."""

from __future__ import annotations

import functools
import socket

from msgspec import Struct

from shedsill.errors import DocumentError

MAX_PORT = 65_535
MAX_CACHED_ADDRESSES = 65_536


class Address(Struct, frozen=True, order=True):
    """An IP address and a port.

    Examples
    --------
    >>> parse_address("127.0.0.1:4433")
    Address(host='127.0.0.1', port=4433)
    >>> str(Address("::1", 4433))
    '[::1]:4433'
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """The address as a tuple, as the `socket` module expects it."""
        return (self.host, self.port)


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def parse_address(text: str, *, field: str = "address") -> Address:
    """Parse ``IP:PORT``.

    Parameters
    ----------
    text : str
        An IPv4 address or an IPv6 address in brackets, a colon and a port.
    field : str
        Name of the field for error messages.

    Raises
    ------
    DocumentError
        If `text` is invalid.
    """
    host, _, port = str(text).rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    allowed = "an IP address, a colon and a port from 1 to 65535"
    try:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        socket.inet_pton(family, host)
        number = int(port)
    except (ValueError, OSError):
        raise DocumentError(field, text, allowed) from None
    if not 1 <= number <= MAX_PORT:
        raise DocumentError(field, text, allowed)
    return Address(host, number)
