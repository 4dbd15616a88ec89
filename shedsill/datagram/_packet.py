"""Decoded packets of opaque flows."""

from __future__ import annotations

from msgspec import Struct

# Bits of `Packet.flags`.
SYN = 1
ACK = 2
FIN = 4
RST = 8
BOUNCED = 16
"""Set by an upstream on a packet that it returns otherwise unchanged."""

SEQUENCE_SPACE = 1 << 32

RECEIVE_WINDOW_BYTES = 76_800
"""Largest distance of an acknowledgement from the initial sequence number in one of a
caller's first packets; the platform's limit for resets."""

SYN_COPY_DELAYS_SECONDS = (0.0, 0.2, 0.6)
"""Seconds from a caller's first SYN to each copy, indexed by `Packet.copy`; documented
by the platform."""


class Packet(Struct):
    """A packet: `data` is forwarded, the other attributes were decoded from it.

    Attributes
    ----------
    flow : bytes
        Address pair of the flow, the same in both directions.
    endpoint : bytes
        Service address (IP number and port) of the flow, as a key of
        `ForwardingTable.routes`.
    flags : int
        Any of `SYN`, `ACK`, `FIN`, `RST` and `BOUNCED`.
    copy : int
        Copies of this SYN that the caller sent before; 0 for other packets.
    seq, ack : int
        Sequence numbers of the first byte and of the one that is expected next from
        the other end, modulo `SEQUENCE_SPACE`.
    length : int
        Bytes of content.
    urgency : int
        Priority of the flow's route, added by the balancer; 0 is the highest.
    bulk : bool
        Whether the route carries large bodies, added by the balancer.
    timeout : float
        Seconds after which the caller gives up, added by the balancer; 0 if unknown.
    objective : float
        Latency objective of the route in seconds, added by the balancer; 0 if unknown.
    balancer : str
        Host of the balancer that forwarded a bounced packet.
    """

    flow: bytes
    endpoint: bytes
    flags: int
    copy: int
    seq: int
    ack: int
    length: int
    data: bytes
    urgency: int = 0
    bulk: bool = False
    timeout: float = 0.0
    objective: float = 0.0
    balancer: str = ""


def is_syn(packet: Packet) -> bool:
    """Whether a packet requests a new flow: a SYN without an ACK."""
    return packet.flags & (SYN | ACK) == SYN


def get_syn_copy_delay(packet: Packet) -> float:
    """Return the seconds between a caller's first SYN and this copy of it.

    Examples
    --------
    >>> packet = Packet(b"", b"", SYN, 2, seq=9, ack=2, length=0, data=b"")
    >>> get_syn_copy_delay(packet)
    0.6
    """
    return SYN_COPY_DELAYS_SECONDS[min(packet.copy, len(SYN_COPY_DELAYS_SECONDS) - 1)]


def measure_advance(later: int, earlier: int) -> int:
    """Return the distance of a later sequence number from an earlier one, modulo 2**32.

    Examples
    --------
    >>> measure_advance(5, SEQUENCE_SPACE - 5)
    10
    """
    return (later - earlier) % SEQUENCE_SPACE


def is_ack_in_window(packet: Packet, initial_seq: int) -> bool:
    """Whether a caller's packet may acknowledge a flow's initial sequence number.

    Examples
    --------
    >>> packet = Packet(b"", b"", ACK, 0, seq=9, ack=1001, length=0, data=b"")
    >>> is_ack_in_window(packet, 1000), is_ack_in_window(packet, 5000)
    (True, False)
    """
    return measure_advance(packet.ack, initial_seq) <= RECEIVE_WINDOW_BYTES
