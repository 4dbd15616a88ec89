"""Callers and upstreams of opaque flows, following the platform's specification.

Both exchange real packets through a `send` function and set timers through a
`schedule` function, so that they work in memory and over sockets.  They raise
`ViolationError` if a packet was altered, if a SYN reaches the wrong service or an
upstream whose end was confirmed, or if a flow is reset while its upstream holds it.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable

from attrs import define, field

from shedsill.datagram._boots import format_boot
from shedsill.datagram._messages import UpstreamState
from shedsill.datagram._packet import ACK, BOUNCED, RST, SEQUENCE_SPACE, SYN, Packet
from shedsill.platform.packets import HeaderCodec
from shedsill.testing.simulation_parts import ViolationError

CODEC = HeaderCodec()
FLAG_BITS = {SYN: 4, ACK: 128, RST: 32, BOUNCED: 2}
SYN_COPY_DELAYS_SECONDS = (0.2, 0.6)
OPEN_TIMEOUT_SECONDS = 1.4
RETRANSMIT_SECONDS = 0.2
REPEATED_CALL_DELAYS_SECONDS = (0.03, 0.06)
"""Delays after which an upstream calls again when a heartbeat was not confirmed."""
REQUEST_SECONDS = 0.05
REQUEST_PAUSE_SECONDS = 0.3
DRAIN_LIMIT_SECONDS = 3.0
"""Time after the confirmation of an upstream's end after which no SYN may reach it."""

REQUEST = b"request"
ANSWER = b"answer"
SERVICE_HOST = 0xC6120001
FIRST_PORT = 443

Endpoint = tuple[int, int]
"""IPv4 address as an integer, and port."""

Schedule = Callable[[float, Callable[[], object]], object]
"""Calls a function after a delay in seconds."""


def make_packet(
    source: Endpoint,
    target: Endpoint,
    flag_bits: int,
    *,
    seq: int = 0,
    ack: int = 0,
    payload: bytes = b"",
) -> bytes:
    """Return a packet between two endpoints, with a valid checksum."""
    header = struct.pack(
        ">B5xHHIHIIII",
        flag_bits,
        len(payload),
        source[1],
        target[0],
        target[1],
        source[0],
        0,
        seq,
        ack,
    )
    return (
        header
        + struct.pack(">I", compute_checksum(header + bytes(4) + payload))
        + payload
    )


def compute_checksum(data: bytes) -> int:
    """Return the checksum over the parts of a packet that nodes must not change."""
    flags = bytes([data[0] & ~FLAG_BITS[BOUNCED]])
    return zlib.crc32(flags + data[6:20] + data[24:32] + data[36:])


def check_packet(data: bytes) -> None:
    """Raise `ViolationError` if a packet does not match its checksum."""
    if compute_checksum(data) != struct.unpack_from(">I", data, 32)[0]:
        raise ViolationError("packet was changed in transit: checksum mismatch")


def decode_endpoints(flow: bytes) -> tuple[Endpoint, Endpoint]:
    """Return the caller's and the service's endpoint of a flow."""
    caller_port, service, service_port, caller = struct.unpack(">HIHI", flow)
    return (caller, caller_port), (service, service_port)


@define(eq=False)
class Upstream:
    """A backend that accepts flows and answers requests after `REQUEST_SECONDS`.

    Attributes
    ----------
    port : int
        Service port of the flows it accepts.
    flows, offered_flows : dict of bytes to int
        Flows held and flows offered, with the upstream's initial sequence number.
    slots : int
        Number of requests that it runs at once, as its heartbeats say.
    told_slots : dict of int to int
        The number in each of its heartbeats, by serial.
    confirmed_slots : int
        Number of slots in its last heartbeat, if that was confirmed.
    processed_flows : list of bytes
        Flow of each request answered, in order.
    bounces_syn_copies : bool
        Whether a SYN of a flow that it holds or was offered is bounced.
    started_ms : int
        Unix time of the boot's start in milliseconds; 0 if it does not tell.
    is_end_confirmed : bool
        Whether its end was confirmed.
    is_admission_ended : bool
        Whether its end was confirmed `DRAIN_LIMIT_SECONDS` ago.
    is_disturbed : callable
        Returns whether SYNs after the confirmation are tolerated, since its VM is
        disturbed.
    """

    host: str
    port: int
    boot: str
    send: Callable[[bytes], None]
    schedule: Schedule
    state: UpstreamState = UpstreamState.READY
    alive: bool = True
    refuses_flows: bool = False
    bounces_syn_copies: bool = False
    started_ms: int = 0
    slots: int = 3
    told_slots: dict[int, int] = field(factory=dict)
    confirmed_slots: int = 0
    is_end_confirmed: bool = False
    is_admission_ended: bool = False
    is_disturbed: Callable[[], bool] = field(default=lambda: False)
    heartbeat_serial: int = 0
    flows: dict[bytes, int] = field(factory=dict)
    offered_flows: dict[bytes, int] = field(factory=dict)
    processed_flows: list[bytes] = field(factory=list)

    @property
    def boot_name(self) -> str:
        """Name of the boot, with its start if the upstream tells it."""
        return format_boot(self.boot, self.started_ms)

    def crash(self) -> None:
        """Stop answering and drop all flows."""
        self.alive = False
        self.flows.clear()

    def handle_confirmation(self) -> None:
        """Count SYNs as violations `DRAIN_LIMIT_SECONDS` after a confirmed end."""
        self.is_end_confirmed = True
        self.schedule(DRAIN_LIMIT_SECONDS, self._end_admission)

    def _end_admission(self) -> None:
        self.is_admission_ended = True

    def receive(self, data: bytes) -> None:
        """Receive a packet from the agent."""
        check_packet(data)
        packet = CODEC.decode_caller(data)
        assert packet is not None
        if not self.alive:
            return
        if packet.flags == SYN and self.is_admission_ended and not self.is_disturbed():
            raise ViolationError(
                f"SYN reached the upstream at {self.host} more than "
                f"{DRAIN_LIMIT_SECONDS} s after its end was confirmed"
            )
        if packet.flags == SYN and not self._bounces_syn(packet.flow):
            self._handle_syn(packet.flow)
            return
        if packet.flags != SYN and packet.flow in self.offered_flows:
            expected = self.offered_flows.pop(packet.flow)
            if packet.ack == expected + 1:
                self.flows[packet.flow] = expected
        if packet.flags == SYN or packet.flow not in self.flows:
            self.send(bytes([data[0] | FLAG_BITS[BOUNCED]]) + data[1:])
        elif packet.length:
            self.schedule(
                REQUEST_SECONDS, lambda: self._send_answer(packet.flow, packet.ack)
            )

    def _bounces_syn(self, flow: bytes) -> bool:
        known = flow in self.flows or flow in self.offered_flows
        return self.refuses_flows or (known and self.bounces_syn_copies)

    def _handle_syn(self, flow: bytes) -> None:
        _caller, service = decode_endpoints(flow)
        if service[1] != self.port:
            raise ViolationError(
                f"flow to service port {service[1]} reached an upstream of port "
                f"{self.port}"
            )
        seq = zlib.crc32(self.boot.encode() + flow)
        self.offered_flows[flow] = seq
        self._send_packet(flow, FLAG_BITS[SYN] | FLAG_BITS[ACK], seq=seq)

    def _send_answer(self, flow: bytes, seq: int) -> None:
        if self.alive and flow in self.flows:
            self.processed_flows.append(flow)
            self._send_packet(flow, FLAG_BITS[ACK], seq=seq, payload=ANSWER)

    def _send_packet(self, flow: bytes, flag_bits: int, **fields) -> None:
        caller, service = decode_endpoints(flow)
        self.send(make_packet(service, caller, flag_bits, **fields))


@define(eq=False)
class Caller:
    """A caller that sends requests on one flow, one after the other.

    Attributes
    ----------
    requests : int
        Number of requests to send.
    answers : int
        Number of requests answered.
    outcome : str
        Empty, ``answered``, ``reset`` or ``timeout``.
    is_flow_held : callable
        Returns whether a live upstream holds a flow; called when the flow is reset.
    """

    address: Endpoint
    service: Endpoint
    send: Callable[[bytes], None]
    schedule: Schedule
    is_flow_held: Callable[[bytes], bool]
    requests: int = 1
    answers: int = 0
    outcome: str = ""
    is_open: bool = False
    upstream_seq: int = 0

    @property
    def flow(self) -> bytes:
        """Key of the flow."""
        packet = CODEC.decode_caller(self._make_packet(FLAG_BITS[SYN]))
        assert packet is not None
        return packet.flow

    def open_flow(self) -> None:
        """Send the SYN and its copies."""
        self._send_syn(0)
        for copy, after in enumerate(SYN_COPY_DELAYS_SECONDS, 1):
            self.schedule(after, lambda c=copy: self._send_syn(c))
        self.schedule(OPEN_TIMEOUT_SECONDS, self._give_up)

    def _make_packet(self, flag_bits: int, **fields) -> bytes:
        return make_packet(self.address, self.service, flag_bits, **fields)

    def _send_syn(self, copy: int) -> None:
        if not self.is_open and not self.outcome:
            self.send(self._make_packet(FLAG_BITS[SYN], ack=copy))

    def repeat_syn(self) -> None:
        """Send a copy of the SYN, as a network does that delivers a packet twice."""
        self.send(self._make_packet(FLAG_BITS[SYN], ack=1))

    def _give_up(self) -> None:
        if not self.is_open and not self.outcome:
            self.outcome = "timeout"

    def send_request(self) -> None:
        """Send the next request of an open flow and retransmit it until answered."""
        if self.outcome:
            return
        seq = 1 + self.answers * len(REQUEST)
        ack = self._expected_seq
        self.send(self._make_packet(FLAG_BITS[ACK], seq=seq, ack=ack, payload=REQUEST))
        answers = self.answers
        self.schedule(RETRANSMIT_SECONDS, lambda: self._repeat_request(answers))

    def _repeat_request(self, answers: int) -> None:
        if self.answers == answers:
            self.send_request()

    @property
    def _expected_seq(self) -> int:
        """Sequence number of the next answer."""
        return (self.upstream_seq + 1 + self.answers * len(ANSWER)) % SEQUENCE_SPACE

    def receive(self, data: bytes) -> None:
        """Receive a packet from a node."""
        packet = CODEC.decode_upstream(data)
        assert packet is not None
        if self.outcome:
            return
        if packet.flags & RST:
            self._handle_reset()
            return
        check_packet(data)
        self._handle_packet(packet)

    def _handle_packet(self, packet: Packet) -> None:
        if packet.flags & SYN and not self.is_open:
            self.is_open = True
            self.upstream_seq = packet.seq
            self.send_request()
        elif packet.length and packet.seq == self._expected_seq:
            self._handle_answer()

    def _handle_answer(self) -> None:
        self.answers += 1
        if self.answers >= self.requests:
            self.outcome = "answered"
        else:
            self.schedule(REQUEST_PAUSE_SECONDS, self.send_request)

    def _handle_reset(self) -> None:
        if self.is_open and self.is_flow_held(self.flow):
            port = self.address[1]
            raise ViolationError(
                f"flow from caller port {port} was reset while an upstream holds it"
            )
        self.outcome = "reset"
