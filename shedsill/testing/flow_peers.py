"""Callers and upstreams of opaque flows, as the users' platform describes them.

Both speak real packets through a `send` function and keep time by a `schedule`
function, so that they serve in memory and over sockets.  They check what they
are promised: packets arrive unchanged, an opening reaches the service that it is
meant for, and no flow is reset while its upstream holds it.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable

from attrs import define, field

from shedsill.datagram._messages import UpstreamState
from shedsill.datagram._packet import ACK, BOUNCED, RST, SEQUENCE_SPACE, SYN, Packet
from shedsill.platform.packets import HeaderCodec
from shedsill.testing.parts import OracleError

CODEC = HeaderCodec()
BITS = {SYN: 4, ACK: 128, RST: 32, BOUNCED: 2}
COPY_TIMES = (0.2, 0.6)
OPENING_LIMIT = 1.4
RETRANSMIT = 0.2
WORK = 0.05
PAUSE = 0.3
REQUEST = b"request"
ANSWER = b"answer"
SERVICE_HOST = 0xC6120001
FIRST_PORT = 443

Endpoint = tuple[int, int]
"""IP number as an integer, and port."""

Schedule = Callable[[float, Callable[[], object]], object]
"""Calls something after some seconds."""


def make_packet(
    source: Endpoint,
    target: Endpoint,
    bits: int,
    *,
    seq: int = 0,
    ack: int = 0,
    content: bytes = b"",
) -> bytes:
    """Return a packet between two endpoints, with a true sum."""
    head = struct.pack(
        ">B5xHHIHIIII",
        bits,
        len(content),
        source[1],
        target[0],
        target[1],
        source[0],
        0,
        seq,
        ack,
    )
    return head + struct.pack(">I", sum_packet(head + bytes(4) + content)) + content


def sum_packet(data: bytes) -> int:
    """Return the sum over all that a node may not change."""
    flags = bytes([data[0] & ~BITS[BOUNCED]])
    return zlib.crc32(flags + data[6:20] + data[24:32] + data[36:])


def check_packet(data: bytes) -> None:
    """Raise `OracleError` if a packet is not as its sender wrote it."""
    if sum_packet(data) != struct.unpack_from(">I", data, 32)[0]:
        raise OracleError("a packet was changed on its way")


def read_ends(flow: bytes) -> tuple[Endpoint, Endpoint]:
    """Return the caller's and the service's endpoint of a flow."""
    caller_port, service, service_port, caller = struct.unpack(">HIHI", flow)
    return (caller, caller_port), (service, service_port)


@define(eq=False)
class Upstream:
    """A back end: takes openings, answers each request after `WORK` seconds.

    Attributes
    ----------
    port : int
        Service port of the flows that may come here.
    flows, offered : dict of bytes to int
        Flows held and offered, with this end's first sequence number.
    runs : list of bytes
        Flows of the requests that were run, in order.
    """

    host: str
    port: int
    boot: str
    send: Callable[[bytes], None]
    schedule: Schedule
    state: UpstreamState = UpstreamState.READY
    alive: bool = True
    refusing: bool = False
    beats: int = 0
    flows: dict[bytes, int] = field(factory=dict)
    offered: dict[bytes, int] = field(factory=dict)
    runs: list[bytes] = field(factory=list)

    def crash(self) -> None:
        """End this run; its flows are gone."""
        self.alive = False
        self.flows.clear()

    def receive(self, data: bytes) -> None:
        """Take a packet from the agent."""
        check_packet(data)
        packet = CODEC.decode_caller(data)
        assert packet is not None
        if not self.alive:
            return
        if packet.flags == SYN and not self.refusing:
            self._take_opening(packet.flow)
            return
        if packet.flow in self.offered:
            expected = self.offered.pop(packet.flow)
            if packet.ack == expected + 1:
                self.flows[packet.flow] = expected
        if packet.flow not in self.flows:
            self.send(bytes([data[0] | BITS[BOUNCED]]) + data[1:])
        elif packet.length:
            self.schedule(WORK, lambda: self._answer(packet.flow, packet.ack))

    def _take_opening(self, flow: bytes) -> None:
        _caller, service = read_ends(flow)
        if service[1] != self.port:
            raise OracleError(f"a flow to port {service[1]} reached {self.port}")
        seq = zlib.crc32(self.boot.encode() + flow)
        self.offered[flow] = seq
        self._write(flow, BITS[SYN] | BITS[ACK], seq=seq)

    def _answer(self, flow: bytes, seq: int) -> None:
        if self.alive and flow in self.flows:
            self.runs.append(flow)
            self._write(flow, BITS[ACK], seq=seq, content=ANSWER)

    def _write(self, flow: bytes, bits: int, **parts) -> None:
        caller, service = read_ends(flow)
        self.send(make_packet(service, caller, bits, **parts))


@define(eq=False)
class Caller:
    """A caller with one flow and some requests on it, one after the other.

    Attributes
    ----------
    requests : int
        How many it sends.
    answers : int
        How many were answered.
    outcome : str
        Empty, ``answered``, ``reset`` or ``timeout``.
    is_held : callable
        Whether a living upstream holds a flow; asked when it is reset.
    """

    address: Endpoint
    service: Endpoint
    send: Callable[[bytes], None]
    schedule: Schedule
    is_held: Callable[[bytes], bool]
    requests: int = 1
    answers: int = 0
    outcome: str = ""
    open: bool = False
    upstream_seq: int = 0

    @property
    def flow(self) -> bytes:
        """Key of the flow."""
        packet = CODEC.decode_caller(self._write(BITS[SYN]))
        assert packet is not None
        return packet.flow

    def begin(self) -> None:
        """Open the flow."""
        self._send_opening(0)
        for copy, after in enumerate(COPY_TIMES, 1):
            self.schedule(after, lambda c=copy: self._send_opening(c))
        self.schedule(OPENING_LIMIT, self._give_up)

    def _write(self, bits: int, **parts) -> bytes:
        return make_packet(self.address, self.service, bits, **parts)

    def _send_opening(self, copy: int) -> None:
        if not self.open and not self.outcome:
            self.send(self._write(BITS[SYN], ack=copy))

    def _give_up(self) -> None:
        if not self.open and not self.outcome:
            self.outcome = "timeout"

    def send_request(self) -> None:
        """Send (again) the next request of an open flow, until it is answered."""
        if self.outcome:
            return
        seq = 1 + self.answers * len(REQUEST)
        ack = self._expected
        self.send(self._write(BITS[ACK], seq=seq, ack=ack, content=REQUEST))
        answers = self.answers
        self.schedule(RETRANSMIT, lambda: self._repeat_request(answers))

    def _repeat_request(self, answers: int) -> None:
        if self.answers == answers:
            self.send_request()

    @property
    def _expected(self) -> int:
        """Sequence number of the next answer."""
        return (self.upstream_seq + 1 + self.answers * len(ANSWER)) % SEQUENCE_SPACE

    def receive(self, data: bytes) -> None:
        """Take a packet from the system."""
        packet = CODEC.decode_upstream(data)
        assert packet is not None
        if self.outcome:
            return
        if packet.flags & RST:
            self._take_reset()
            return
        check_packet(data)
        self._take_packet(packet)

    def _take_packet(self, packet: Packet) -> None:
        if packet.flags & SYN and not self.open:
            self.open = True
            self.upstream_seq = packet.seq
            self.send_request()
        elif packet.length and packet.seq == self._expected:
            self._take_answer()

    def _take_answer(self) -> None:
        self.answers += 1
        if self.answers >= self.requests:
            self.outcome = "answered"
        else:
            self.schedule(PAUSE, self.send_request)

    def _take_reset(self) -> None:
        if self.open and self.is_held(self.flow):
            port = self.address[1]
            raise OracleError(
                f"flow of port {port} was reset while an upstream holds it"
            )
        self.outcome = "reset"
