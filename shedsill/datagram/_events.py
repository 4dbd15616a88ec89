"""Everything that can happen to a node that carries opaque flows.

Times are seconds on the node's monotonic clock.
"""

from __future__ import annotations

from attrs import define, frozen

from shedsill.datagram._forwarding import ForwardingTable
from shedsill.datagram._messages import Message, NodeReport, UpstreamState
from shedsill.datagram._packet import Packet


@frozen(kw_only=True)
class Tick:
    """Time has passed; comes every `TICK_INTERVAL` seconds."""

    now: float


@define(slots=True, kw_only=True)
class CallerPacket:
    """A balancer received a packet from a caller."""

    packet: Packet
    now: float


@frozen(kw_only=True)
class PacketsDrained:
    """No packet is left to be read for the moment."""

    now: float


@define(slots=True, kw_only=True)
class ForwardedPacket:
    """An agent received a caller's packet from a balancer.

    Attributes
    ----------
    service : int
        Number of the service that the balancer meant, see `number_service`.
    """

    packet: Packet
    service: int
    balancer: str
    now: float


@define(slots=True, kw_only=True)
class UpstreamPacket:
    """An agent received a packet from its upstream."""

    packet: Packet
    now: float


@frozen(kw_only=True)
class MessageReceived:
    """A message came from another node."""

    message: Message
    source: str
    now: float


@frozen(kw_only=True)
class Heartbeat:
    """What an upstream says of itself.

    Attributes
    ----------
    boot : str
        Identifier of the upstream's run.
    serial : int
        Grows with each heartbeat of one run.
    cold : float
        Seconds for which it still works slowly after its start.
    """

    boot: str
    serial: int
    state: UpstreamState
    slots: int
    cold: float = 0.0


@frozen(kw_only=True)
class HeartbeatReceived:
    """The upstream sent a heartbeat."""

    heartbeat: Heartbeat
    now: float


@frozen(kw_only=True)
class UpstreamLeft:
    """The upstream said that this run of it is about to end."""

    boot: str
    now: float


@frozen(kw_only=True)
class UpstreamChecked:
    """A connection to the upstream was tried.

    Attributes
    ----------
    open : bool
        Whether its port took the connection.
    refused : bool
        Whether the VM answered that nothing listens there.
    """

    open: bool
    refused: bool
    now: float


@frozen(kw_only=True)
class TableOffered:
    """A forwarding table came from the platform's store or a peer."""

    table: ForwardingTable
    source: str
    now: float


@frozen(kw_only=True)
class ReportsListed:
    """The store's reports of nodes were read or have changed.

    Attributes
    ----------
    whole : bool
        Whether `reports` are all there are.
    removed : tuple of str
        Hosts whose report was deleted.
    """

    reports: tuple[NodeReport, ...]
    removed: tuple[str, ...] = ()
    whole: bool = False
    now: float


@frozen(kw_only=True)
class StopRequested:
    """The process was asked to stop."""

    now: float


Event = (
    Tick
    | CallerPacket
    | PacketsDrained
    | ForwardedPacket
    | UpstreamPacket
    | MessageReceived
    | HeartbeatReceived
    | UpstreamLeft
    | UpstreamChecked
    | TableOffered
    | ReportsListed
    | StopRequested
)
