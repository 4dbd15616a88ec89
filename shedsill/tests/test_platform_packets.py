"""The codec of the packet header, with the platform's documented examples."""

from __future__ import annotations

import struct

from hypothesis import given
from hypothesis import strategies as st

from shedsill.datagram._forwarding_table import Route
from shedsill.datagram._packet import ACK, BOUNCED, RST, SYN
from shedsill.platform.packets import HEADER_BYTES, HeaderCodec
from shedsill.testing.flow_endpoints import check_packet, make_packet

CODEC = HeaderCodec()
EXAMPLE = bytes.fromhex(
    "04 00 00 00 00 00 00 00 9c 41 c6 12 00 01 01 bb 64 40 00 07"
    "00 00 00 00 11 22 33 44 00 00 00 00 a1 b2 c3 d5"
)
EXAMPLE_RESET = bytes.fromhex(
    "20 00 00 00 00 00 00 00 01 bb 64 40 00 07 9c 41 c6 12 00 01"
    "00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00"
)
CALLER = (0x64400007, 40_001)
ROUTE = Route(name="r", shares=(), urgency=3, bulk=True, timeout=2.345, objective=0.15)
SERVICE = (0xC6120001, 443)


def test_documented_example_is_decoded() -> None:
    packet = CODEC.decode_caller(EXAMPLE)
    assert packet is not None
    assert (packet.flags, packet.seq, packet.length) == (SYN, 0x11223344, 0)
    assert packet.endpoint == bytes.fromhex("c612000101bb")
    assert CODEC.get_caller_host(packet.flow) == "100.64.0.7"


def test_documented_reset_is_encoded() -> None:
    packet = CODEC.decode_caller(EXAMPLE)
    assert packet is not None
    assert CODEC.encode_reset(packet.flow, 0) == EXAMPLE_RESET


def test_both_directions_have_the_same_flow_key() -> None:
    there = CODEC.decode_caller(make_packet(CALLER, SERVICE, 128))
    back = CODEC.decode_upstream(make_packet(SERVICE, CALLER, 128))
    assert there is not None and back is not None
    assert there.flow == back.flow
    assert there.endpoint == back.endpoint


def test_copies_of_syn_are_numbered() -> None:
    packet = CODEC.decode_caller(make_packet(CALLER, SERVICE, 4, ack=2))
    assert packet is not None
    assert packet.copy == 2


@given(st.binary(max_size=1200), st.integers(0, 2**32 - 1), st.sampled_from([4, 128]))
def test_forwarding_preserves_bytes_covered_by_sum(
    content: bytes, number: int, bits: int
) -> None:
    data = make_packet(CALLER, SERVICE, bits, seq=7, ack=9, payload=content)
    packet = CODEC.decode_caller(data)
    assert packet is not None
    forwarded = CODEC.encode_forwarded(packet, number, ROUTE)
    decoded = CODEC.decode_forwarded(forwarded)
    assert decoded is not None and decoded[1] == number
    assert decoded[0].urgency == ROUTE.urgency
    assert decoded[0].bulk == ROUTE.bulk
    assert decoded[0].timeout == ROUTE.timeout
    assert decoded[0].objective == ROUTE.objective
    for_upstream = CODEC.encode_for_upstream(decoded[0], "10.0.0.9")
    check_packet(for_upstream)
    bounced = CODEC.decode_upstream(bytes([for_upstream[0] | 2]) + for_upstream[1:])
    assert bounced is not None
    assert bounced.flags & BOUNCED and bounced.balancer == "10.0.0.9"
    assert bounced.flow == packet.flow
    check_packet(bounced.data)
    again = CODEC.encode_forwarded(bounced, number, ROUTE)
    assert again == forwarded


@given(st.binary(max_size=80))
def test_arbitrary_bytes_are_decoded_or_refused(data: bytes) -> None:
    packets = (
        CODEC.decode_caller(data),
        CODEC.decode_forwarded(data),
        CODEC.decode_upstream(data),
    )
    assert all((packet is None) == (len(data) < HEADER_BYTES) for packet in packets)


def test_reset_has_expected_header_fields() -> None:
    packet = CODEC.decode_caller(make_packet(CALLER, SERVICE, 128))
    assert packet is not None
    reset = CODEC.decode_upstream(CODEC.encode_reset(packet.flow, 12345))
    assert reset is not None
    assert (reset.flags, reset.seq, reset.flow) == (RST, 12345, packet.flow)
    assert struct.unpack(">I", reset.data[32:36]) == (0,)
    assert not reset.flags & ACK
