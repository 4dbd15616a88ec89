"""Parsing of the QUIC packet header fields that routing needs."""

from __future__ import annotations

import enum

from aioquic.buffer import Buffer, BufferReadError
from aioquic.quic.packet import QuicPacketType, pull_quic_header
from attrs import frozen

from shedsill.http3._keys import CONNECTION_ID_LENGTH

MIN_INITIAL_BYTES = 1200


class PacketKind(enum.Enum):
    """Kind of a QUIC packet, as far as routing distinguishes them."""

    INITIAL = "initial"
    LONG = "long"
    SHORT = "short"


@frozen
class PacketHeader:
    """Header of the first packet in a datagram.

    Attributes
    ----------
    cid, source_cid : bytes
        Destination and source connection IDs.
    has_token : bool
        Whether an Initial packet contains a token.
    """

    kind: PacketKind
    cid: bytes
    source_cid: bytes
    has_token: bool = False


def read_packet_header(datagram: bytes) -> PacketHeader | None:
    """Parse the header of a datagram's first packet; None if it is not QUIC.

    Examples
    --------
    >>> read_packet_header(b"")
    >>> read_packet_header(bytes([0x40]) + bytes(30)).kind
    <PacketKind.SHORT: 'short'>
    """
    try:
        header = pull_quic_header(
            Buffer(data=datagram), host_cid_length=CONNECTION_ID_LENGTH
        )
    except (ValueError, BufferReadError):
        return None
    match header.packet_type:
        case QuicPacketType.ONE_RTT:
            kind = PacketKind.SHORT
        case QuicPacketType.INITIAL:
            kind = PacketKind.INITIAL
        case QuicPacketType.VERSION_NEGOTIATION | QuicPacketType.RETRY:
            return None
        case _:
            kind = PacketKind.LONG
    return PacketHeader(
        kind, header.destination_cid, header.source_cid, bool(header.token)
    )
