"""QUIC connections whose connection IDs encode a route.

aioquic generates random connection IDs and extends flow control windows even if the
data is not read.  The subclass replaces both, using private members of the pinned
version that `shedsill/tests/test_quic.py` checks.
"""

from __future__ import annotations

from collections.abc import Callable

from aioquic.buffer import Buffer, encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE, QuicConfiguration
from aioquic.quic.connection import (
    TRANSPORT_CLOSE_FRAME_CAPACITY,
    QuicConnection,
    QuicConnectionId,
)
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicFrameType,
    QuicPacketType,
    pull_quic_header,
)
from aioquic.quic.packet_builder import QuicPacketBuilder
from attrs import frozen

from shedsill.http3._keys import CONNECTION_ID_LENGTH
from shedsill.http3._runtime.exchange import MAX_BUFFERED_BODY_BYTES

STREAM_WINDOW_BYTES = 2 * MAX_BUFFERED_BODY_BYTES
CONNECTION_WINDOW_BYTES = 1_048_576
IDLE_TIMEOUT_SECONDS = 60.0
MAX_UDP_PAYLOAD_BYTES = 1350
MAX_UDP_PAYLOAD_PARAMETER_ID = 0x03
MIN_RESET_BYTES = 21
MAX_RESET_BYTES = 60
FIXED_BIT = 0x40
HEADER_FORM_BIT = 0x80
STREAM_TYPE_MASK = 0b11  # 0 for client-initiated bidirectional streams


@frozen(kw_only=True)
class ConnectionIdGenerator:
    """Generates connection IDs and their stateless reset tokens."""

    generate: Callable[[], bytes]
    make_reset_token: Callable[[bytes], bytes]


class RoutedConnection(QuicConnection):
    """A server connection that encodes routes in its IDs and limits unread data.

    Attributes
    ----------
    unread_bytes : dict of int to int
        Received bytes that the reader has not consumed, by stream.
    """

    def __init__(
        self,
        *,
        id_generator: ConnectionIdGenerator,
        configuration: QuicConfiguration,
        original_destination_connection_id: bytes,
        retry_source_connection_id: bytes | None = None,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
            retry_source_connection_id=retry_source_connection_id,
        )
        self._id_generator = id_generator
        self.unread_bytes: dict[int, int] = {}
        cid = id_generator.generate()
        self._host_cids = [
            QuicConnectionId(
                cid=cid,
                sequence_number=0,
                stateless_reset_token=id_generator.make_reset_token(cid),
                was_sent=True,
            )
        ]
        self.host_cid = cid
        self._local_initial_source_connection_id = cid

    def _serialize_transport_parameters(self) -> bytes:
        """Add the largest datagram size that fits into one frame."""
        parameter = encode_uint_var(MAX_UDP_PAYLOAD_PARAMETER_ID)
        value = encode_uint_var(MAX_UDP_PAYLOAD_BYTES)
        parameter += encode_uint_var(len(value)) + value
        return super()._serialize_transport_parameters() + parameter

    def _replenish_connection_ids(self) -> None:
        known = len(self._host_cids)
        super()._replenish_connection_ids()
        for entry in self._host_cids[known:]:
            entry.cid = self._id_generator.generate()
            entry.stateless_reset_token = self._id_generator.make_reset_token(entry.cid)

    def _write_stream_limits(self, builder, space, stream) -> None:
        """Limit a stream to one window beyond what the reader has consumed."""
        stream_id = stream.stream_id
        if stream_id & STREAM_TYPE_MASK or stream_id not in self.unread_bytes:
            super()._write_stream_limits(builder, space, stream)
            return
        consumed = stream.receiver.starting_offset() - self.unread_bytes[stream_id]
        granted = consumed + STREAM_WINDOW_BYTES
        if granted < stream.max_stream_data_local + STREAM_WINDOW_BYTES // 4:
            granted = stream.max_stream_data_local
        stream.max_stream_data_local = granted
        if stream.max_stream_data_local_sent == granted:
            return
        buf = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=1 + 2 * 8,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        buf.push_uint_var(stream_id)
        buf.push_uint_var(granted)
        stream.max_stream_data_local_sent = granted

    def count_unsent_bytes(self, stream_id: int) -> int:
        """Return the bytes of a stream that are not yet sent or acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def is_ended(self) -> bool:
        """Whether the connection is closing or closed."""
        return self._close_event is not None


def make_quic_configuration() -> QuicConfiguration:
    """Return the configuration of a server connection, without a certificate."""
    return QuicConfiguration(
        alpn_protocols=["h3"],
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        is_client=False,
        max_data=CONNECTION_WINDOW_BYTES,
        max_stream_data=STREAM_WINDOW_BYTES,
    )


def send_goaway(http: H3Connection, quic: QuicConnection) -> None:
    """Send GOAWAY, so that the caller opens no further requests."""
    last = max((sid for sid in quic._streams if not sid & STREAM_TYPE_MASK), default=0)
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(last + 4))
    if http._local_control_stream_id is not None:
        quic.send_stream_data(http._local_control_stream_id, frame)


def make_refusal_packet(datagram: bytes) -> bytes:
    """Return the Initial packet that answers another one with CONNECTION_REFUSED."""
    header = pull_quic_header(
        Buffer(data=datagram), host_cid_length=CONNECTION_ID_LENGTH
    )
    crypto = CryptoPair()
    crypto.setup_initial(
        cid=header.destination_cid, is_client=False, version=header.version
    )
    builder = QuicPacketBuilder(
        host_cid=header.destination_cid,
        is_client=False,
        max_datagram_size=SMALLEST_MAX_DATAGRAM_SIZE,
        peer_cid=header.source_cid,
        version=header.version,
    )
    builder.start_packet(QuicPacketType.INITIAL, crypto)
    buf = builder.start_frame(
        QuicFrameType.TRANSPORT_CLOSE, capacity=TRANSPORT_CLOSE_FRAME_CAPACITY
    )
    buf.push_uint_var(QuicErrorCode.CONNECTION_REFUSED)
    buf.push_uint_var(QuicFrameType.PADDING)
    buf.push_uint_var(0)
    datagrams, _packets = builder.flush()
    return datagrams[0]


def make_stateless_reset(
    token: bytes, *, size: int, random_bytes: Callable[[int], bytes]
) -> bytes | None:
    """Return a stateless reset that is smaller than the packet it answers.

    Returns None if that would be too small for a stateless reset.
    """
    length = min(size - 1, MAX_RESET_BYTES)
    if length < MIN_RESET_BYTES:
        return None
    head = bytearray(random_bytes(length - len(token)))
    head[0] = (head[0] & ~HEADER_FORM_BIT) | FIXED_BIT
    return bytes(head) + token
