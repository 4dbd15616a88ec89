"""Transfer of the forwarding table between balancers.

A balancer that has not received a table from the store reads it from one that has.
Since many may do so at the same time, over links that also carry the nodes' messages,
tables are compressed and their rate is limited.
"""

from __future__ import annotations

import zlib

import msgspec

from shedsill.datagram._runtime.http import MAX_BODY_BYTES
from shedsill.errors import DecodeError

TABLE_BYTES_PER_SECOND = 100_000
"""Rate limit for tables sent to other balancers: a sixth of a link of 5 Mbit/s, so that
messages of agents still arrive in time.  Without the limit, 22 readers of 255,475 bytes
each kept a balancer on 10 Mbit/s from hearing any agent for 5 s."""

COMPRESSION_LEVEL = 1
"""The fastest level: a table of 256,548 bytes with random names becomes 12 times
smaller in 0.8 ms, and 14 times in 1.7 ms at the default level."""


def compress_table(value: object) -> bytes:
    """Return a table, as stored, in compressed form.

    Examples
    --------
    >>> decompress_table(compress_table({"version": 3}))
    {'version': 3}
    """
    return zlib.compress(msgspec.json.encode(value), COMPRESSION_LEVEL)


def decompress_table(data: bytes) -> object:
    """Return the table of its compressed form.

    Raises
    ------
    DecodeError
        If the data is invalid, truncated or exceeds `MAX_BODY_BYTES`.
    """
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, MAX_BODY_BYTES)
        if not inflater.eof:
            raise DecodeError(f"table is truncated or exceeds {MAX_BODY_BYTES} bytes")
        return msgspec.json.decode(content)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DecodeError(f"invalid table: {error}") from error


class ServedTable:
    """The newest table, sent to other balancers at a limited rate.

    Attributes
    ----------
    value : object
        The table as stored; None if there is none or once it is compressed.
    compressed : bytes
        Compressed form; empty until it is first requested.
    next_send_at : float
        Time from which the table may be sent again.
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
        """Return the compressed table; None if the rate limit is exceeded."""
        if now < self.next_send_at:
            return None
        if not self.compressed:
            self.compressed = compress_table(self.value)
            self.value = None
        self.next_send_at = now + len(self.compressed) / TABLE_BYTES_PER_SECOND
        return self.compressed
