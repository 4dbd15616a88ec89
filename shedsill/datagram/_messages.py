"""Messages between balancers and agents, one in a UDP datagram.

A message is one octet for its class and the msgpack form of its attributes, in
their order and without their names, which would be half of the octets.
pycapnp, which frames of the HTTP/3 product use, costs a third of the CPU and
memory that a node may spend on its start here; msgspec checks the types too.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import msgspec
from msgspec import Struct, field

from shedsill.errors import DecodeError

T = TypeVar("T")


class Role(enum.Enum):
    """What a node does."""

    BALANCER = "balancer"
    AGENT = "agent"


class UpstreamState(enum.Enum):
    """Whether an upstream takes new flows, as its agent knows."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    UNRESPONSIVE = "unresponsive"
    GONE = "gone"


class Load(Struct, frozen=True, kw_only=True, array_like=True):
    """How full an upstream is, as its agent counts it.

    Attributes
    ----------
    busy : int
        Requests sent and not answered yet.
    average : float
        `busy`, averaged over the last second or two.
    slots : int
        Requests that the upstream works on at once; 0 where not known yet.
    flows : int
        Open flows.
    cold : float
        Seconds for which the upstream still works slowly after its start.
    avoided : float
        Seconds for which it should be offered flows only if there is no other.
    """

    busy: int = 0
    average: float = 0.0
    slots: int = 0
    flows: int = 0
    cold: float = 0.0
    avoided: float = 0.0


class NodeReport(Struct, frozen=True, kw_only=True, array_like=True):
    """What a node says of itself; kept in the platform's store too.

    Attributes
    ----------
    host : str
        IP number; ports are the same on all nodes.
    incarnation : int
        Drawn at each start of the process.
    serial : int
        Grows with each change within one incarnation.
    service : str
        The upstream's service; empty for a balancer.
    boot : str
        Identifier of the upstream's current run; empty where not known yet.
    stopping : bool
        Whether the process has been asked to stop; the upstream may live on.
    version : int
        Version of the forwarding table in force; 0 for agents.
    """

    host: str
    role: Role
    zone: str
    incarnation: int
    serial: int = 0
    service: str = ""
    boot: str = ""
    state: UpstreamState = UpstreamState.UNKNOWN
    stopping: bool = False
    load: Load = field(default_factory=Load)
    version: int = 0


class Announcement(Struct, frozen=True, kw_only=True, array_like=True):
    """A node's report, sent when it changes and as an answer to `Probe`."""

    report: NodeReport


class Probe(Struct, frozen=True, kw_only=True, array_like=True):
    """Asks for an `Announcement`.

    Attributes
    ----------
    report : NodeReport or None
        The asking node's own, where that may be news.
    """

    report: NodeReport | None = None


class Roster(Struct, frozen=True, kw_only=True, array_like=True):
    """Nodes that a balancer knows, for one that has just started.

    Attributes
    ----------
    last : bool
        Whether no more messages of this kind follow.
    """

    reports: list[NodeReport]
    last: bool


class FlowTaken(Struct, frozen=True, kw_only=True, array_like=True):
    """The upstream has answered an opening packet.

    Attributes
    ----------
    initial_seq : int
        The sequence number that the upstream chose for the flow.
    """

    flow: bytes
    boot: str
    initial_seq: int
    load: Load


class Locate(Struct, frozen=True, kw_only=True, array_like=True):
    """Asks an agent which of these flows its upstream holds."""

    flows: list[bytes]


class Located(Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to `Locate`; each flow asked for is in one of the lists.

    Attributes
    ----------
    held : list of bytes
        Flows that the upstream holds.
    unknown : list of bytes
        Flows that the upstream certainly does not hold.
    unsure : list of bytes
        Flows that it may have held since before the agent's start; only a
        packet of the flow, given to the upstream, can tell.
    """

    boot: str
    held: list[bytes]
    unknown: list[bytes]
    unsure: list[bytes]
    load: Load


class ReturnReason(enum.Enum):
    """Why a packet came back to the balancer."""

    REFUSED = "refused"
    NOT_TAKING = "not taking new flows"
    OVERLOADED = "more requests wait than can be answered before this one's deadline"
    NOT_HELD = "flow is not held"
    WRONG_SERVICE = "another service"


class FlowDenied(Struct, frozen=True, kw_only=True, array_like=True):
    """A packet came whose flow the agent's upstream does not hold.

    The packet does not come back: it may be large, and a restart of many nodes
    denies many flows at once.
    """

    flow: bytes
    boot: str
    reason: ReturnReason
    load: Load


class PacketReturned(Struct, frozen=True, kw_only=True, array_like=True):
    """An opening packet that the agent's upstream did not take.

    Attributes
    ----------
    packet : bytes
        The packet, as it came from the caller.
    """

    packet: bytes
    boot: str
    reason: ReturnReason
    load: Load


class OpenFlow(Struct, frozen=True, kw_only=True, array_like=True):
    """A flow that a caller may be waiting on, as its balancer knows it.

    Attributes
    ----------
    host, boot : str
        The agent that holds it, and the run of the upstream that took it.
    caller_ack : int
        What the caller expects next, as its last packet said.
    """

    flow: bytes
    host: str
    service: str
    boot: str
    caller_ack: int


class CheckpointPart(Struct, frozen=True, kw_only=True, array_like=True):
    """Open flows of one balancer, for the one that stores those of all.

    Attributes
    ----------
    number : int
        Messages of one number belong together; the next number replaces them.
    """

    number: int
    flows: list[OpenFlow]


class CheckpointTaken(Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to `CheckpointPart`."""


Message = (
    Announcement
    | Probe
    | Roster
    | FlowTaken
    | Locate
    | Located
    | PacketReturned
    | FlowDenied
    | CheckpointPart
    | CheckpointTaken
)

_CLASSES: tuple[type, ...] = (
    Announcement,
    Probe,
    Roster,
    FlowTaken,
    Locate,
    Located,
    PacketReturned,
    FlowDenied,
    CheckpointPart,
    CheckpointTaken,
)
_CODES = {cls: bytes([code]) for code, cls in enumerate(_CLASSES)}
_DECODERS = [msgspec.msgpack.Decoder(cls) for cls in _CLASSES]
_ENCODER = msgspec.msgpack.Encoder()


def split_into_chunks(items: list[T], size: int) -> list[list[T]]:
    """Return a list in parts of at most `size`; one empty part where there is nothing.

    Examples
    --------
    >>> split_into_chunks([1, 2, 3], 2)
    [[1, 2], [3]]
    >>> split_into_chunks([], 2)
    [[]]
    """
    starts = range(0, max(len(items), 1), size)
    return [items[start : start + size] for start in starts]


def encode_message(message: Message) -> bytes:
    """Return the octets of a message.

    Examples
    --------
    >>> decode_message(encode_message(Locate(flows=[b"a"])))
    Locate(flows=[b'a'])
    """
    return _CODES[type(message)] + _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Read a message.

    Raises
    ------
    DecodeError
        If the octets are not a message of a known class.
    """
    if not data or data[0] >= len(_DECODERS):
        raise DecodeError(f"no message class {data[:1]!r}")
    try:
        return _DECODERS[data[0]].decode(data[1:])
    except msgspec.MsgspecError as error:
        raise DecodeError(f"not a message: {error}") from error


def dump_report(report: NodeReport) -> dict:
    """Return a report in the JSON form that the platform's store keeps."""
    value = msgspec.structs.asdict(report)
    value["load"] = msgspec.structs.asdict(report.load)
    return msgspec.to_builtins(value)


def load_report(value: object) -> NodeReport:
    """Read a report from its JSON form; raises `DecodeError`."""
    try:
        fields = dict(value)  # type: ignore[call-overload]
        fields["load"] = [fields["load"][name] for name in Load.__struct_fields__]
        ordered = [fields[name] for name in NodeReport.__struct_fields__]
        return msgspec.convert(ordered, NodeReport)
    except (msgspec.MsgspecError, LookupError, TypeError, ValueError) as error:
        raise DecodeError(f"not a node's report: {error!r}") from error
