"""Everything that the reducer can ask the runtime to do."""

from __future__ import annotations

from msgspec import Struct

from shedsill._common_effects import Exit, WriteLog
from shedsill.datagram._forwarding_table import Route
from shedsill.datagram._messages import Message, NodeReport, OpenFlow
from shedsill.datagram._packet import Packet


class ForwardPacket(Struct):
    """Send a caller's packet to an agent.

    Attributes
    ----------
    service : int
        Number of the service that is meant, see `hash_service`.
    route : Route or None
        What the operator declared for the flow; None where it is not known.
    """

    host: str
    packet: Packet
    service: int
    route: Route | None = None


class SendToUpstream(Struct):
    """Give a caller's packet to the upstream beside this agent.

    Attributes
    ----------
    balancer : str
        Comes back with the packet if the upstream bounces it.
    """

    packet: Packet
    balancer: str


class SendToCaller(Struct):
    """Send an upstream's packet to its caller."""

    packet: Packet


class ResetFlow(Struct):
    """Tell a caller that its flow has ended.

    Attributes
    ----------
    seq : int
        What the caller expects next, as far as known.
    """

    flow: bytes
    seq: int


class SendMessage(Struct):
    """Send a message to another node."""

    host: str
    message: Message


class StoreReport(Struct, frozen=True):
    """Keep this node's report in the platform's store; the latest one counts."""

    report: NodeReport


class RemoveReport(Struct, frozen=True):
    """Remove a report from the store if it is still of this incarnation."""

    report: NodeReport


class RemovePeerReport(Struct, frozen=True):
    """Remove another node's report from the store if it is still this one."""

    report: NodeReport


class StoreCheckpoint(Struct, frozen=True):
    """Keep the open flows of all balancers in the platform's store.

    Attributes
    ----------
    parts : dict of str to list of OpenFlow
        By balancer.
    """

    parts: dict[str, list[OpenFlow]]


class ReadCheckpoint(Struct, frozen=True):
    """Read which flows were open before this balancer's start."""


class ReadReports(Struct, frozen=True):
    """Read at once what has changed in the reports of nodes."""


class CheckUpstream(Struct, frozen=True):
    """Try a connection to the upstream's port."""


class ObserveLatency(Struct):
    """Count a duration: of an opening at a balancer, of a request at an agent."""

    seconds: float


class PullTable(Struct, frozen=True):
    """Read the forwarding table from another balancer."""

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
