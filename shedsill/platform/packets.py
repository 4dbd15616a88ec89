"""Codec for the platform's packet header.

The header has 36 bytes, big-endian.  Its fields, with offset and size: flags (0, 1),
pad (1, 5), length (6, 2), source port (8, 2), destination (10, 4), destination port
(14, 2), source (16, 4), echo (20, 4), sequence number (24, 4), acknowledgement
(28, 4), sum (32, 4).

The sum does not cover pad and echo.  In packets to agents, balancers set pad to the
route's urgency and the number of the service, and echo to the route's times.  In
packets to upstreams, agents set echo to the balancer's IP address, which is returned
with bounced packets.
"""

from __future__ import annotations

import socket
import struct

from shedsill.datagram._forwarding_table import Route
from shedsill.datagram._packet import ACK, BOUNCED, FIN, RST, SYN, Packet

__all__ = ["HeaderCodec"]

HEADER_BYTES = 36
LENGTH_TO_ACK = struct.Struct(">HHIHIIII")
"""Fields from length to acknowledgement, at offset 6."""
UINT32 = struct.Struct(">I")
ROUTE_TIMES = struct.Struct(">HH")
"""Timeout and latency objective of a route in milliseconds."""
MAX_TIME_MILLISECONDS = 0xFFFF
EMPTY_PAD = bytes(5)
EMPTY_ECHO = bytes(4)

BULK_BIT = 0x80
URGENCY_SHIFT = 4
MAX_URGENCY = 7
"""In packets to agents, the first byte of pad has a bit for bulk routes and 3 bits
for the urgency."""

BOUNCED_BIT = 2
_FLAG_BITS = {4: SYN, 128: ACK, 16: FIN, 32: RST, BOUNCED_BIT: BOUNCED}
_FLAGS = [
    sum(flag for bit, flag in _FLAG_BITS.items() if byte & bit) for byte in range(256)
]
RESET_FLAGS = 32


class HeaderCodec:
    """Implements `shedsill.datagram.adapter.PacketCodec`.

    A flow's key consists of the bytes 8 to 20 of the header of the caller's packets:
    caller port, service address, service port and caller address.
    """

    def decode_caller(self, data: bytes) -> Packet | None:
        """Decode a packet from a caller; None if it is too short."""
        if len(data) < HEADER_BYTES:
            return None
        flags = _FLAGS[data[0]]
        length, seq, ack = _decode_numbers(data)
        # In a SYN, the acknowledgement field is the number of the copy.
        copy = ack if flags == SYN else 0
        return Packet(data[8:20], data[10:16], flags, copy, seq, ack, length, data)

    def decode_forwarded(self, data: bytes) -> tuple[Packet, int] | None:
        """Decode a packet from a balancer, with the number of its service."""
        packet = self.decode_caller(data)
        if packet is None:
            return None
        packet.bulk = bool(data[1] & BULK_BIT)
        packet.urgency = data[1] >> URGENCY_SHIFT & MAX_URGENCY
        timeout, objective = ROUTE_TIMES.unpack_from(data, 20)
        packet.timeout = timeout / 1000
        packet.objective = objective / 1000
        return packet, UINT32.unpack_from(data, 2)[0]

    def decode_upstream(self, data: bytes) -> Packet | None:
        """Decode a packet that an upstream sent or bounced."""
        if len(data) < HEADER_BYTES:
            return None
        if data[0] & BOUNCED_BIT:
            return self._decode_bounced(data)
        length, seq, ack = _decode_numbers(data)
        flow = data[14:16] + data[16:20] + data[8:10] + data[10:14]
        return Packet(flow, flow[2:8], _FLAGS[data[0]], 0, seq, ack, length, data)

    def _decode_bounced(self, data: bytes) -> Packet | None:
        """Decode a bounced packet, which is the caller's with the bounced bit set."""
        restored = bytes([data[0] & ~BOUNCED_BIT]) + data[1:]
        packet = self.decode_caller(restored)
        assert packet is not None
        packet.flags |= BOUNCED
        packet.balancer = socket.inet_ntoa(data[20:24])
        return packet

    def encode_forwarded(
        self, packet: Packet, service: int, route: Route | None
    ) -> bytes:
        """Encode a caller's packet for an agent."""
        data = packet.data
        pad = _encode_route(route) + UINT32.pack(service)
        return data[:1] + pad + data[6:20] + _encode_times(route) + data[24:]

    def encode_for_upstream(self, packet: Packet, balancer: str) -> bytes:
        """Encode a caller's packet for the upstream."""
        data = packet.data
        echo = socket.inet_aton(balancer)
        return data[:1] + EMPTY_PAD + data[6:20] + echo + data[24:]

    def encode_reset(self, flow: bytes, seq: int) -> bytes:
        """Encode a reset from the service to the caller; its sum is 0."""
        ports_and_addresses = flow[6:8] + flow[8:12] + flow[0:2] + flow[2:6]
        header = bytes([RESET_FLAGS]) + EMPTY_PAD + b"\0\0" + ports_and_addresses
        return header + EMPTY_ECHO + UINT32.pack(seq) + bytes(8)

    def get_caller_host(self, flow: bytes) -> str:
        """Return the host of the flow's caller."""
        return socket.inet_ntoa(flow[8:12])

    def describe_flow(self, flow: bytes) -> str:
        """Return the flow's addresses and ports as text.

        Examples
        --------
        >>> flow = bytes.fromhex("9c41c612000101bb64400007")
        >>> HeaderCodec().describe_flow(flow)
        '100.64.0.7:40001>198.18.0.1:443'
        """
        caller_port, service_port = struct.unpack(">H4xH", flow[:8])
        caller = socket.inet_ntoa(flow[8:12])
        service = socket.inet_ntoa(flow[2:6])
        return f"{caller}:{caller_port}>{service}:{service_port}"


def _encode_route(route: Route | None) -> bytes:
    if route is None:
        return b"\0"
    bulk = BULK_BIT if route.bulk else 0
    urgency = min(route.urgency, MAX_URGENCY)
    return bytes([bulk | urgency << URGENCY_SHIFT])


def _encode_times(route: Route | None) -> bytes:
    if route is None:
        return EMPTY_ECHO
    times = (route.timeout, route.objective)
    return ROUTE_TIMES.pack(
        *(min(round(seconds * 1000), MAX_TIME_MILLISECONDS) for seconds in times)
    )


def _decode_numbers(data: bytes) -> tuple[int, int, int]:
    numbers = LENGTH_TO_ACK.unpack_from(data, 6)
    return numbers[0], numbers[6], numbers[7]
