"""Packets of opaque flows, as the reducers see them."""

from __future__ import annotations

from msgspec import Struct

SYN = 1
ACK = 2
FIN = 4
RST = 8
BOUNCED = 16
"""Set by an upstream on a packet that it hands back, unchanged otherwise."""

SEQUENCE_SPACE = 1 << 32

RECEIVE_WINDOW_BYTES = 76_800
"""Octets by which an acknowledgement may be ahead of a flow's first number for it
to be one of the caller's first packets; the platform's bound for resets."""


SYN_COPY_DELAYS_SECONDS = (0.0, 0.2, 0.6)
"""Seconds after a caller's first opening packet at which it sends each copy, by
the number of copies sent before; the platform's documented figures."""


class Packet(Struct):
    """One packet; `data` is what is sent on, the rest was read from it.

    Attributes
    ----------
    flow : bytes
        Address pair of the flow, the same for both directions.
    endpoint : bytes
        Service address (IP number and port) of the flow, as a key of
        `ForwardingTable.routes`.
    flags : int
        Any of `SYN`, `ACK`, `FIN`, `RST` and `BOUNCED`.
    copy : int
        How many copies of this opening packet the caller sent before; 0 for
        other packets.
    seq, ack : int
        Sequence number of the first octet, and the next one expected from the
        other end; modulo `SEQUENCE_SPACE`.
    length : int
        Octets of content.
    urgency : int
        Priority of the flow's route, as its balancer says; 0 is the highest.
    bulk : bool
        Whether the route carries large bodies, as its balancer says.
    timeout : float
        Seconds after which its caller gives up, as its balancer says; 0 where
        that is not known.
    objective : float
        Seconds within which its caller wants the answer, as its balancer says; 0
        where that is not known.
    balancer : str
        For a bounced packet, the host of the balancer that had sent it.
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
    """Whether a packet asks for a new flow (a SYN without an ACK)."""
    return packet.flags & (SYN | ACK) == SYN


def get_syn_copy_delay(packet: Packet) -> float:
    """Return how long before an opening packet its caller sent the first copy.

    Examples
    --------
    >>> packet = Packet(b"", b"", SYN, 2, seq=9, ack=2, length=0, data=b"")
    >>> get_syn_copy_delay(packet)
    0.6
    """
    return SYN_COPY_DELAYS_SECONDS[min(packet.copy, len(SYN_COPY_DELAYS_SECONDS) - 1)]


def measure_advance(later: int, earlier: int) -> int:
    """Return how far one sequence number is ahead of another, modulo 2**32.

    Examples
    --------
    >>> measure_advance(5, SEQUENCE_SPACE - 5)
    10
    """
    return (later - earlier) % SEQUENCE_SPACE


def is_ack_in_window(packet: Packet, initial_seq: int) -> bool:
    """Whether a caller's packet belongs to a flow that began with a number.

    Examples
    --------
    >>> packet = Packet(b"", b"", ACK, 0, seq=9, ack=1001, length=0, data=b"")
    >>> is_ack_in_window(packet, 1000), is_ack_in_window(packet, 5000)
    (True, False)
    """
    return measure_advance(packet.ack, initial_seq) <= RECEIVE_WINDOW_BYTES
