"""Everything that the reducer can ask the runtime to do."""

from __future__ import annotations

from attrs import define, frozen

from shedsill._shared_effects import Exit, Note
from shedsill.datagram._messages import Message, NodeReport
from shedsill.datagram._packet import Packet


@define(slots=True)
class ForwardPacket:
    """Send a caller's packet to an agent.

    Attributes
    ----------
    service : int
        Number of the service that is meant, see `number_service`.
    """

    host: str
    packet: Packet
    service: int


@define(slots=True)
class SendToUpstream:
    """Give a caller's packet to the upstream beside this agent.

    Attributes
    ----------
    balancer : str
        Comes back with the packet if the upstream bounces it.
    """

    packet: Packet
    balancer: str


@define(slots=True)
class SendToCaller:
    """Send an upstream's packet to its caller."""

    packet: Packet


@define(slots=True)
class ResetFlow:
    """Tell a caller that its flow has ended.

    Attributes
    ----------
    seq : int
        What the caller expects next, as far as known.
    """

    flow: bytes
    seq: int


@define(slots=True)
class SendMessage:
    """Send a message to another node."""

    host: str
    message: Message


@frozen
class StoreReport:
    """Keep this node's report in the platform's store; the latest one counts."""

    report: NodeReport


@frozen
class RemoveReport:
    """Remove a report from the store if it is still of this incarnation."""

    report: NodeReport


@frozen
class CheckUpstream:
    """Try a connection to the upstream's port."""


@define(slots=True)
class ObserveLatency:
    """Count a duration: of an opening at a balancer, of a request at an agent."""

    seconds: float


@frozen
class PullTable:
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
    | CheckUpstream
    | PullTable
    | ObserveLatency
    | Note
    | Exit
)
