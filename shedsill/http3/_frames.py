"""Frames exchanged by nodes over UDP, and their Cap'n Proto encoding."""

from __future__ import annotations

import pathlib

import capnp
from attrs import frozen

from shedsill._addresses import Address
from shedsill.coordination.membership import NodeReport
from shedsill.errors import DecodeError
from shedsill.http3._keys import KeyRing, sign_message, verify_message

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("frames.capnp")))

MAX_UINT32 = 0xFFFF_FFFF


@frozen(kw_only=True)
class Load:
    """Load of an upstream, as counted by its agent.

    Attributes
    ----------
    flows, flow_limit : int
        Number of open connections and its limit.
    busy, slots : int
        Number of running and queued requests, and the limit of running ones.
    open : bool
        Whether the agent accepts new flows.
    """

    flows: int = 0
    flow_limit: int = 1
    busy: int = 0
    slots: int = 1
    open: bool = True


@frozen(kw_only=True)
class Candidate:
    """Alternate upstream for a flow, with its load as known to a balancer.

    Attributes
    ----------
    age : float
        Seconds since the balancer received this load.
    """

    upstream: int
    load: Load
    age: float


@frozen(kw_only=True)
class ToUpstream:
    """A caller's datagram, forwarded to an agent.

    Attributes
    ----------
    alternate : Candidate or None
        Another upstream to which the agent may forward a new flow.
    reply_to : Address or None
        Balancer that received the datagram, if another agent forwarded it.
    """

    generation: int
    service: int
    upstream: int
    caller: Address
    datagram: bytes
    alternate: Candidate | None = None
    reply_to: Address | None = None

    @property
    def is_forwarded(self) -> bool:
        """Whether another agent forwarded this datagram."""
        return self.reply_to is not None


@frozen(kw_only=True)
class ToCaller:
    """An agent's datagram, to be forwarded to a caller."""

    generation: int
    service: int
    upstream: int
    caller: Address
    load: Load
    datagram: bytes


@frozen(kw_only=True)
class Heartbeat:
    """Liveness, load and generation of a node, with reports on other nodes.

    Attributes
    ----------
    upstream : int
        Number of the sending agent's upstream; 0 if a balancer sends it.
    probe : bool
        Whether the receiver has to answer.
    """

    generation: int
    service: int
    upstream: int
    load: Load
    reports: tuple[NodeReport, ...]
    probe: bool


Frame = ToUpstream | ToCaller | Heartbeat


def encode_frame(ring: KeyRing, frame: Frame) -> bytes:
    """Encode a frame and prepend its authentication tag."""
    message = SCHEMA.Frame.new_message(
        generation=frame.generation, service=frame.service
    )
    match frame:
        case ToUpstream():
            _fill_to_upstream(message.init("toUpstream"), frame)
        case ToCaller():
            body = message.init("toCaller")
            body.upstream = frame.upstream
            body.host = frame.caller.host
            body.port = frame.caller.port
            body.datagram = frame.datagram
            _fill_load(body.init("load"), frame.load)
        case Heartbeat():
            _fill_heartbeat(message.init("heartbeat"), frame)
    return sign_message(ring, message.to_bytes())


def _fill_to_upstream(body: capnp._DynamicStructBuilder, frame: ToUpstream) -> None:
    body.upstream = frame.upstream
    body.host = frame.caller.host
    body.port = frame.caller.port
    body.datagram = frame.datagram
    if frame.alternate is not None:
        alternate = body.init("alternate")
        alternate.upstream = frame.alternate.upstream
        alternate.ageMillis = min(int(frame.alternate.age * 1000), MAX_UINT32)
        _fill_load(alternate.init("load"), frame.alternate.load)
    if frame.reply_to is not None:
        body.passed = True
        body.replyHost = frame.reply_to.host
        body.replyPort = frame.reply_to.port


def _fill_load(body: capnp._DynamicStructBuilder, load: Load) -> None:
    body.flows = load.flows
    body.flowLimit = load.flow_limit
    body.busy = load.busy
    body.slots = load.slots
    body.open = load.open


def _fill_heartbeat(body: capnp._DynamicStructBuilder, frame: Heartbeat) -> None:
    body.upstream = frame.upstream
    body.probe = frame.probe
    _fill_load(body.init("load"), frame.load)
    reports = body.init("reports", len(frame.reports))
    for entry, report in zip(reports, frame.reports, strict=True):
        entry.name = report.name
        entry.host = report.address.host
        entry.port = report.address.port
        entry.balancer = report.balancer
        entry.incarnation = report.incarnation
        entry.beat = report.heartbeat_number
        entry.generation = report.generation
        entry.leaving = report.leaving


def decode_frame(ring: KeyRing, data: bytes) -> Frame:
    """Verify and decode a frame.

    Raises
    ------
    DecodeError
        If the tag is wrong or the message is not a valid frame.
    """
    message = verify_message(ring, data)
    try:
        with SCHEMA.Frame.from_bytes(message) as reader:
            return _read_frame(reader)
    except (capnp.KjException, ValueError) as error:
        raise DecodeError(f"frame is not valid: {error}") from error


def _read_frame(reader: capnp._DynamicStructReader) -> Frame:
    match str(reader.which()):
        case "toUpstream":
            return _read_to_upstream(reader)
        case "toCaller":
            body = reader.toCaller
            return ToCaller(
                generation=reader.generation,
                service=reader.service,
                upstream=body.upstream,
                caller=Address(body.host, body.port),
                load=_read_load(body.load),
                datagram=bytes(body.datagram),
            )
        case _:
            body = reader.heartbeat
            return Heartbeat(
                generation=reader.generation,
                service=reader.service,
                upstream=body.upstream,
                load=_read_load(body.load),
                reports=tuple(_read_report(entry) for entry in body.reports),
                probe=body.probe,
            )


def _read_to_upstream(reader: capnp._DynamicStructReader) -> ToUpstream:
    body = reader.toUpstream
    alternate = None
    if body.alternate.upstream:
        alternate = Candidate(
            upstream=body.alternate.upstream,
            load=_read_load(body.alternate.load),
            age=body.alternate.ageMillis / 1000,
        )
    return ToUpstream(
        generation=reader.generation,
        service=reader.service,
        upstream=body.upstream,
        caller=Address(body.host, body.port),
        datagram=bytes(body.datagram),
        alternate=alternate,
        reply_to=Address(body.replyHost, body.replyPort) if body.passed else None,
    )


def _read_load(body: capnp._DynamicStructReader) -> Load:
    return Load(
        flows=body.flows,
        flow_limit=body.flowLimit,
        busy=body.busy,
        slots=body.slots,
        open=body.open,
    )


def _read_report(body: capnp._DynamicStructReader) -> NodeReport:
    return NodeReport(
        name=body.name,
        address=Address(body.host, body.port),
        balancer=body.balancer,
        incarnation=body.incarnation,
        heartbeat_number=body.beat,
        generation=body.generation,
        leaving=body.leaving,
    )
