"""Untrusted bytes and text are decoded or rejected with the documented error."""

from __future__ import annotations

import contextlib
import json

from hypothesis import given, settings
from hypothesis import strategies as st

from shedsill._addresses import Address
from shedsill.errors import DecodeError, DocumentError
from shedsill.http3._configuration import decode_configuration_text
from shedsill.http3._events import CallerDatagram
from shedsill.http3._frames import decode_frame
from shedsill.http3._keys import KeyRing, sign_message
from shedsill.http3._packets import read_packet_header
from shedsill.http3._peers import (
    decode_handover,
    decode_peer_answer,
    decode_peer_request,
)
from shedsill.http3._resources import parse_documents
from shedsill.http3._routing import Router, route_datagram
from shedsill.tests.test_routing import CONFIGURATION

KEYS = KeyRing((bytes(range(32)),))
deterministic = settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
packets = st.one_of(
    st.binary(max_size=1500),
    st.builds(
        lambda version, rest: bytes([0xC0]) + version + rest,
        st.sampled_from(
            [b"\x00\x00\x00\x01", b"\x6b\x33\x43\xcf", b"\x00\x00\x00\x00"]
        ),
        st.binary(max_size=1400),
    ),
    st.builds(lambda rest: b"\x50" + rest, st.binary(max_size=60)),
)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=12),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@deterministic
@given(packets)
def test_any_datagram_is_routed_or_dropped(datagram: bytes) -> None:
    read_packet_header(datagram)
    event = CallerDatagram(
        service=1, caller=Address("10.9.0.1", 1), datagram=datagram, now=1.0
    )
    _router, effects = route_datagram(Router(), CONFIGURATION, KEYS, event)
    assert effects


@deterministic
@given(st.binary(max_size=400), st.booleans())
def test_any_node_message_is_decoded_or_rejected(data: bytes, signed: bool) -> None:
    envelope = sign_message(KEYS, data) if signed else data
    for decode in (
        decode_frame,
        decode_peer_request,
        decode_peer_answer,
        decode_handover,
    ):
        with contextlib.suppress(DecodeError):
            decode(KEYS, envelope)


@deterministic
@given(st.text(max_size=80))
def test_random_key_is_not_a_ticket(text: str) -> None:
    assert KEYS.decrypt_ticket(text) is None


@deterministic
@given(st.binary(max_size=200))
def test_any_configuration_text_is_decoded_or_rejected(data: bytes) -> None:
    with contextlib.suppress(DecodeError):
        decode_configuration_text(data)


@deterministic
@given(st.text(max_size=200))
def test_any_text_is_parsed_or_rejected(text: str) -> None:
    with contextlib.suppress(DocumentError):
        parse_documents(text)


@deterministic
@given(
    st.sampled_from(["Service", "UpstreamSet", "Change"]),
    st.dictionaries(
        st.sampled_from(
            ["address", "slots", "classes", "service", "upstreams", "action", "target"]
        ),
        json_values,
    ),
)
def test_any_resource_fields_are_parsed_or_rejected(kind: str, spec: dict) -> None:
    with contextlib.suppress(DocumentError):
        parse_documents(json.dumps({"kind": kind, "name": "x", "spec": spec}))
