"""QUIC connections, and the private members of aioquic that they replace."""

from __future__ import annotations

import asyncio
import os
import ssl

from aioquic.buffer import Buffer
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.packet import pull_quic_transport_parameters

from shedsill._addresses import Address
from shedsill.coordination.platform import MemoryPlatform, Put
from shedsill.http3._frames import ToUpstream, encode_frame
from shedsill.http3._keys import CONNECTION_ID_LENGTH, KeyRing, Route
from shedsill.http3._packets import PacketKind, read_packet_header
from shedsill.http3._runtime.certificates import CertificateLoader, parse_certificate
from shedsill.http3._runtime.quic import (
    MAX_UDP_PAYLOAD_BYTES,
    STREAM_WINDOW_BYTES,
    ConnectionIdGenerator,
    RoutedConnection,
    make_quic_configuration,
    make_refusal_packet,
    make_stateless_reset,
)
from shedsill.testing.certificates import make_certificate

KEYS = KeyRing((bytes(range(32)),))
ROUTE = Route(7, 2, 99)
CALLER = ("127.0.0.1", 5)
SERVER = ("127.0.0.1", 443)


def generate_id() -> bytes:
    return KEYS.make_connection_id(ROUTE, epoch=1, nonce=os.urandom(6))


def make_client() -> QuicConnection:
    configuration = QuicConfiguration(
        is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
    )
    client = QuicConnection(configuration=configuration)
    client.connect(SERVER, now=0.0)
    return client


def connect() -> tuple[QuicConnection, RoutedConnection]:
    client = make_client()
    configuration = make_quic_configuration()
    pair = make_certificate()
    loaded = parse_certificate(pair.certificate, pair.private_key)
    configuration.certificate = loaded.certificate
    configuration.private_key = loaded.private_key
    server = RoutedConnection(
        id_generator=ConnectionIdGenerator(
            generate=generate_id, make_reset_token=KEYS.make_reset_token
        ),
        configuration=configuration,
        original_destination_connection_id=client.original_destination_connection_id,
    )
    exchange_datagrams(client, server)
    return client, server


def exchange_datagrams(client: QuicConnection, server: RoutedConnection) -> None:
    for _ in range(6):
        for data, _address in client.datagrams_to_send(now=0.1):
            server.receive_datagram(data, CALLER, now=0.1)
        for data, _address in server.datagrams_to_send(now=0.1):
            client.receive_datagram(data, SERVER, now=0.1)


def test_every_issued_connection_id_encodes_the_route() -> None:
    client, server = connect()
    issued = [entry.cid for entry in server._host_cids]
    assert len(issued) > 1
    assert all(KEYS.decode_connection_id(cid) == (ROUTE,) for cid in issued)
    assert client._peer_cid.cid in issued
    for entry in client._peer_cid_available:
        assert KEYS.decode_connection_id(entry.cid) == (ROUTE,)
        assert entry.stateless_reset_token == KEYS.make_reset_token(entry.cid)


def run_connection(
    client: QuicConnection, server: RoutedConnection, start: float
) -> int:
    """Run both sides for 7.5 seconds; return the bytes that the server received."""
    received = 0
    for step in range(1_500):
        now = start + step * 0.005
        for side, other, address in (
            (client, server, CALLER),
            (server, client, SERVER),
        ):
            timer = side.get_timer()
            if timer is not None and timer <= now:
                side.handle_timer(now=now)
            for data, _address in side.datagrams_to_send(now=now):
                other.receive_datagram(data, address, now=now)
        while (event := server.next_event()) is not None:
            received += len(getattr(event, "data", b""))
            for stream_id in server.unread_bytes:
                server.unread_bytes[stream_id] = received
    return received


def test_stream_window_follows_the_reader() -> None:
    client, server = connect()
    stream_id = client.get_next_available_stream_id()
    client.send_stream_data(stream_id, bytes(4 * STREAM_WINDOW_BYTES))
    server.unread_bytes[stream_id] = 0
    received = run_connection(client, server, 0.2)
    assert STREAM_WINDOW_BYTES // 2 < received <= STREAM_WINDOW_BYTES
    server.unread_bytes.clear()
    server.unread_bytes[stream_id] = 0
    server.send_ping(1)
    more = run_connection(client, server, 10.0)
    assert STREAM_WINDOW_BYTES // 2 < more <= STREAM_WINDOW_BYTES


def test_refusal_packet_ends_the_connection_attempt() -> None:
    client = make_client()
    ((datagram, _address), *_rest) = client.datagrams_to_send(now=0.0)
    packet = read_packet_header(datagram)
    assert packet is not None
    assert packet.kind == PacketKind.INITIAL
    client.receive_datagram(make_refusal_packet(datagram), SERVER, now=0.1)
    assert client._close_event is not None


def test_stateless_reset_is_smaller_than_the_packet_it_answers() -> None:
    token = bytes(range(16))
    for size in (22, 40, 1200):
        packet = make_stateless_reset(token, size=size, random_bytes=os.urandom)
        assert packet is not None
        assert len(packet) < size
        assert packet.endswith(token)
        assert packet[0] & 0xC0 == 0x40
    assert make_stateless_reset(token, size=21, random_bytes=os.urandom) is None


def test_advertised_datagram_size_fits_into_a_frame() -> None:
    _client, server = connect()
    buffer = Buffer(data=server._serialize_transport_parameters())
    parameters = pull_quic_transport_parameters(buffer)
    assert parameters.max_udp_payload_size == MAX_UDP_PAYLOAD_BYTES
    frame = ToUpstream(
        generation=1,
        service=1,
        upstream=1,
        caller=Address("255.255.255.255", 65_535),
        datagram=bytes(MAX_UDP_PAYLOAD_BYTES),
    )
    assert len(encode_frame(KEYS, frame)) <= 1500 - 28


def test_connection_id_length_is_that_of_the_key_ring() -> None:
    assert make_quic_configuration().connection_id_length == CONNECTION_ID_LENGTH


def test_changed_platform_certificate_is_reloaded() -> None:
    platform = MemoryPlatform()
    loader = CertificateLoader("platform:service")

    async def store(version: int) -> None:
        pair = make_certificate()
        value = {"certificate": pair.certificate, "private_key": pair.private_key}
        call = Put(kind="certificate", name="service", value=value, expected=version)
        await platform.call(call)

    async def load() -> object:
        _log, loaded = await loader.load(platform)
        return loaded and loaded.certificate.serial_number

    async def run() -> None:
        assert await load() is None
        await store(0)
        first = await load()
        assert first is not None
        assert await load() is None
        await store(1)
        assert await load() not in (None, first)

    asyncio.run(run())
