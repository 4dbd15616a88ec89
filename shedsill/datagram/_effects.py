"""Effects that the reducer returns for the runtime to execute."""

from __future__ import annotations

from msgspec import Struct

from shedsill._common_effects import Exit, WriteLog
from shedsill.datagram._forwarding_table import Route
from shedsill.datagram._messages import Message, NodeReport, OpenFlow
from shedsill.datagram._packet import Packet


class ForwardPacket(Struct):
    """Forward a caller's packet to an agent.

    Attributes
    ----------
    service : int
        Hash of the name of the service that the packet is for, see `hash_service`.
    route : Route or None
        The flow's route in the forwarding table; None if unknown.
    """

    host: str
    packet: Packet
    service: int
    route: Route | None = None


class SendToUpstream(Struct):
    """Send a caller's packet to the agent's upstream.

    Attributes
    ----------
    balancer : str
        Host that a bounced packet carries back.
    """

    packet: Packet
    balancer: str


class SendToCaller(Struct):
    """Send an upstream's packet to its caller."""

    packet: Packet


class ResetFlow(Struct):
    """Send a reset of a flow to its caller.

    Attributes
    ----------
    seq : int
        Sequence number that the caller expects next, as far as known.
    """

    flow: bytes
    seq: int


class SendMessage(Struct):
    """Send a message to another node."""

    host: str
    message: Message


class StoreReport(Struct, frozen=True):
    """Store this node's report in the platform's store; a later one replaces it."""

    report: NodeReport


class RemoveReport(Struct, frozen=True):
    """Remove this node's report, or that of an earlier incarnation, from the store."""

    report: NodeReport


class RemovePeerReport(Struct, frozen=True):
    """Remove another node's report from the store if it is unchanged."""

    report: NodeReport


class StoreCheckpoint(Struct, frozen=True):
    """Store the open flows of all balancers in the platform's store.

    Attributes
    ----------
    parts : dict of str to list of OpenFlow
        Open flows by balancer.
    """

    parts: dict[str, list[OpenFlow]]


class ReadCheckpoint(Struct, frozen=True):
    """Read the flows that were open before this balancer's start from the store."""


class ReadReports(Struct, frozen=True):
    """Read the changed reports of nodes from the store at once."""


class CheckUpstream(Struct, frozen=True):
    """Attempt a connection to the upstream's port."""


class ObserveLatency(Struct):
    """Record a latency: of a flow's opening at a balancer, of a request at an agent."""

    seconds: float


class PullTable(Struct, frozen=True):
    """Request the forwarding table from another balancer."""

    host: str


Effect = (
    ForwardPacket
    | SendToUpstream
    | SendToCaller
    | ResetFlow
    | SendMessage
    | StoreReport
    | RemoveReport
    | RemovePeerReport
    | StoreCheckpoint
    | ReadCheckpoint
    | ReadReports
    | CheckUpstream
    | PullTable
    | ObserveLatency
    | WriteLog
    | Exit
)
