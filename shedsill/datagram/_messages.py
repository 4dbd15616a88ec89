"""Messages between balancers and agents, one per UDP datagram.

A message is one byte for its class and the msgpack encoding of its attributes as an
array, since names would double its size.  Decoding validates the types.  pycapnp,
which encodes the frames of the HTTP/3 product, needs too much CPU and memory at the
start of a node.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import msgspec
from msgspec import Struct, field

from shedsill.datagram._key_ranges import KeyRange
from shedsill.errors import DecodeError

T = TypeVar("T")


class Role(enum.Enum):
    """Role of a node."""

    BALANCER = "balancer"
    AGENT = "agent"


class UpstreamState(enum.Enum):
    """State of an upstream, as its agent knows it."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    UNRESPONSIVE = "unresponsive"
    GONE = "gone"


class Load(Struct, frozen=True, kw_only=True, array_like=True):
    """Load of an upstream, as its agent counts it.

    Attributes
    ----------
    busy : int
        Requests that have arrived at the agent and are not answered.
    average : float
        Moving average of `busy`, see `AVERAGE_BUSY_SECONDS` of the agent.
    slots : int
        Requests that the upstream runs concurrently; 0 if unknown.
    flows : int
        Open flows.
    cold : float
        Seconds until the upstream reaches its full speed after its start.
    avoided : float
        Seconds for which it is offered flows only if there is no other upstream.
    """

    busy: int = 0
    average: float = 0.0
    slots: int = 0
    flows: int = 0
    cold: float = 0.0
    avoided: float = 0.0


class NodeReport(Struct, frozen=True, kw_only=True, array_like=True):
    """Report of a node about itself, also stored in the platform's store.

    Attributes
    ----------
    host : str
        IP address; ports are the same on all nodes.
    incarnation : int
        Random number drawn at each start of the process.
    serial : int
        Grows with each change within one incarnation.
    service : str
        The upstream's service; empty for a balancer.
    boot : str
        Identifier of the upstream's current boot; empty if unknown.
    stopping : bool
        Whether a planned stop of the process has begun; the upstream may stay up.
    version : int
        Version of the forwarding table in use; 0 for agents.
    previous_boot : str
        The upstream's boot before the current one; empty if unknown.
    older_boots : tuple of str
        Boots before that one, the latest first; only in the store.
    heartbeat_serial : int
        Serial of the heartbeat that `state` and the slots rest on; 0 if unknown.
    vm_started_ms : int
        Unix time of the VM's start in milliseconds, by its clocks; 0 if unknown; only
        in the store.
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
    previous_boot: str = ""
    older_boots: tuple[str, ...] = ()
    heartbeat_serial: int = 0
    vm_started_ms: int = 0


class Announcement(Struct, frozen=True, kw_only=True, array_like=True):
    """A node's report, sent when it changes and in answer to a `Probe`."""

    report: NodeReport


class Probe(Struct, frozen=True, kw_only=True, array_like=True):
    """Requests an `Announcement`.

    Attributes
    ----------
    report : NodeReport or None
        Report of the sender, if the receiver may not have it.
    """

    report: NodeReport | None = None


class Roster(Struct, frozen=True, kw_only=True, array_like=True):
    """Reports of other nodes.

    A balancer sends those of all nodes that it knows in answer to a `Probe`, in several
    messages, and relays that of an agent that starts or leaves.

    Attributes
    ----------
    hosts : KeyRange or None
        Range of hosts in which the sender knows no other nodes; None for a relayed
        report.
    complete : bool
        Whether the sender's own list of agents is complete.
    requester : int
        Incarnation of the balancer that sent the `Probe`.
    """

    reports: list[NodeReport]
    hosts: KeyRange | None = None
    complete: bool = False
    requester: int = 0


class FlowTaken(Struct, frozen=True, kw_only=True, array_like=True):
    """The upstream has answered a SYN.

    Attributes
    ----------
    initial_seq : int
        Initial sequence number of the upstream.
    """

    flow: bytes
    boot: str
    initial_seq: int
    load: Load


class Locate(Struct, frozen=True, kw_only=True, array_like=True):
    """Requests a `Located` from an agent: which of these flows its upstream holds."""

    flows: list[bytes]


class Located(Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to `Locate`; each requested flow is in one of the lists.

    Attributes
    ----------
    held : list of bytes
        Flows that the upstream holds.
    unknown : list of bytes
        Flows that the upstream does not hold.
    unsure : list of bytes
        Flows that the upstream may have held since before the agent's start; only its
        answer to a packet of the flow shows it.
    may_hold_recent : bool
        Whether the upstream may hold some of the `unknown` flows that were opened
        shortly before the end of the agent's previous incarnation.
    """

    boot: str
    held: list[bytes]
    unknown: list[bytes]
    unsure: list[bytes]
    load: Load
    may_hold_recent: bool = False


class ReturnReason(enum.Enum):
    """Why an agent returned a packet or denied its flow."""

    REFUSED = "refused"
    COPY_REFUSED = "copy refused, flow may be held"
    NOT_TAKING = "not taking new flows"
    OVERLOADED = "more requests wait than can be answered before this one's deadline"
    NOT_HELD = "flow is not held"
    WRONG_SERVICE = "another service"


class FlowDenied(Struct, frozen=True, kw_only=True, array_like=True):
    """The agent's upstream does not hold the flow of a packet.

    The packet itself is not returned: it may be large, and a restart of many nodes
    denies many flows at once.
    """

    flow: bytes
    boot: str
    reason: ReturnReason
    load: Load


class PacketReturned(Struct, frozen=True, kw_only=True, array_like=True):
    """A SYN that the agent's upstream did not accept.

    Attributes
    ----------
    packet : bytes
        The packet as the caller sent it.
    """

    packet: bytes
    boot: str
    reason: ReturnReason
    load: Load


class OpenFlow(Struct, frozen=True, kw_only=True, array_like=True):
    """A flow whose caller may wait for an answer, as its balancer knows it.

    Attributes
    ----------
    host, boot : str
        The agent whose upstream holds the flow, and the boot of the upstream.
    caller_ack : int
        Acknowledgement number of the caller's last packet.
    """

    flow: bytes
    host: str
    service: str
    boot: str
    caller_ack: int


class CheckpointPart(Struct, frozen=True, kw_only=True, array_like=True):
    """Open flows of one balancer, for the balancer that stores those of all.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sender.
    number : int
        Number of the sender's list of flows, which may take several messages; grows
        within an incarnation.
    keys : KeyRange
        Range of flow keys in which the sender has no other flows to report.
    """

    incarnation: int
    number: int
    keys: KeyRange
    flows: list[OpenFlow]


class CheckpointTaken(Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to `CheckpointPart`."""


class BootHeard(Struct, frozen=True, kw_only=True, array_like=True):
    """A restarted agent has heard a boot, which has not shown yet that it runs.

    Flows of other boots may have ended.  A balancer that knows a later statement of an
    earlier incarnation answers with an `EarlierReport`.

    Attributes
    ----------
    incarnation : int
        Incarnation of the agent.
    earlier_boot, earlier_serial : str, int
        Boot and heartbeat of the latest report of an earlier incarnation that the agent
        knows; empty and 0 if there is none.
    """

    boot: str
    incarnation: int
    earlier_boot: str = ""
    earlier_serial: int = 0


class EarlierReport(Struct, frozen=True, kw_only=True, array_like=True):
    """The last known report of an earlier incarnation of the receiver."""

    report: NodeReport


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
    | BootHeard
    | EarlierReport
)

# The position of a class is its code on the wire.
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
    BootHeard,
    EarlierReport,
)
_CODES = {cls: bytes([code]) for code, cls in enumerate(_CLASSES)}
_DECODERS = [msgspec.msgpack.Decoder(cls) for cls in _CLASSES]
_ENCODER = msgspec.msgpack.Encoder()


def split_into_chunks(items: list[T], size: int) -> list[list[T]]:
    """Split a list into chunks of at most `size`; one empty chunk for an empty list.

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
    """Encode a message.

    Examples
    --------
    >>> decode_message(encode_message(Locate(flows=[b"a"])))
    Locate(flows=[b'a'])
    """
    return _CODES[type(message)] + _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    DecodeError
        If the data is not a message of a known class.
    """
    if not data or data[0] >= len(_DECODERS):
        raise DecodeError(f"unknown message class {data[:1]!r}")
    try:
        return _DECODERS[data[0]].decode(data[1:])
    except msgspec.MsgspecError as error:
        raise DecodeError(f"malformed message: {error}") from error


def remove_stored_fields(report: NodeReport) -> NodeReport:
    """Return a report without the fields that are only in the store."""
    if not (report.older_boots or report.vm_started_ms):
        return report
    return msgspec.structs.replace(report, older_boots=(), vm_started_ms=0)


def dump_report(report: NodeReport) -> dict:
    """Return the JSON value of a report for the platform's store."""
    value = msgspec.structs.asdict(report)
    value["load"] = msgspec.structs.asdict(report.load)
    value["older_boots"] = list(report.older_boots)
    return msgspec.to_builtins(value)


def load_report(value: object) -> NodeReport:
    """Decode a report from its JSON value; raises `DecodeError`."""
    try:
        fields = dict(value)  # type: ignore[call-overload]
        fields["load"] = [fields["load"][name] for name in Load.__struct_fields__]
        fields.setdefault("previous_boot", "")
        fields.setdefault("older_boots", ())
        fields.setdefault("heartbeat_serial", 0)
        fields.setdefault("vm_started_ms", 0)
        ordered = [fields[name] for name in NodeReport.__struct_fields__]
        return msgspec.convert(ordered, NodeReport)
    except (msgspec.MsgspecError, LookupError, TypeError, ValueError) as error:
        raise DecodeError(f"malformed report: {error!r}") from error
