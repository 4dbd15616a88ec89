"""The forwarding table as balancers read it from each other.

They do so when the store has not brought a table that others have, and then many at
the same time from the few that have it.  Links may be thin and carry the nodes' small
messages too, so that a table is compressed and only so many are sent a second.
"""

from __future__ import annotations

import zlib

import msgspec

from shedsill.datagram._runtime.http import MAX_BODY_BYTES
from shedsill.errors import DecodeError

TABLE_BYTES_PER_SECOND = 100_000
"""Octets of tables a second that one balancer sends to others: a sixth of a link of
5 Mbit/s, which carries the nodes' small messages too.  Measured without it: 22 readers
of 255,475 octets each kept a balancer on 10 Mbit/s from hearing any agent for 5 s."""

COMPRESSION_LEVEL = 1
"""The fastest; it makes a table of 256,548 octets with random names 12 times smaller
in 0.8 ms, and the usual level 14 times in 1.7 ms."""


def compress_table(value: object) -> bytes:
    """Return the octets in which a table, as the store holds it, is sent.

    Examples
    --------
    >>> decompress_table(compress_table({"version": 3}))
    {'version': 3}
    """
    return zlib.compress(msgspec.json.encode(value), COMPRESSION_LEVEL)


def decompress_table(data: bytes) -> object:
    """Read a table from its octets.

    Raises
    ------
    DecodeError
        If they are not a table of at most `MAX_BODY_BYTES` octets.
    """
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, MAX_BODY_BYTES)
        if not inflater.eof:
            raise DecodeError(
                f"table is cut short or longer than {MAX_BODY_BYTES} octets"
            )
        return msgspec.json.decode(content)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DecodeError(f"not a table: {error}") from error


class ServedTable:
    """The newest table, ready to be sent to other balancers.

    Attributes
    ----------
    value : object
        The table as the store holds it; None where there is none, or where `compressed`
        has taken its place.
    compressed : bytes
        The table as it is sent; empty until the first balancer asks for it.
    next_send_at : float
        When the next one may be sent.
    """

    def __init__(self) -> None:
        self.value: object = None
        self.compressed = b""
        self.next_send_at = 0.0

    def replace(self, value: object) -> None:
        """Replace the table."""
        self.value = value
        self.compressed = b""

    @property
    def is_empty(self) -> bool:
        """Whether there is no table yet."""
        return self.value is None and not self.compressed

    def get_for_sending(self, now: float) -> bytes | None:
        """Return the table's octets; None while too many have been sent lately."""
        if now < self.next_send_at:
            return None
        if not self.compressed:
            self.compressed = compress_table(self.value)
            self.value = None
        self.next_send_at = now + len(self.compressed) / TABLE_BYTES_PER_SECOND
        return self.compressed
