"""Everything that can happen to a node that carries opaque flows.

Times are seconds on the node's monotonic clock.
"""

from __future__ import annotations

from msgspec import Struct

from shedsill.datagram._forwarding_table import ForwardingTable
from shedsill.datagram._messages import (
    Message,
    NodeReport,
    OpenFlow,
    UpstreamState,
)
from shedsill.datagram._packet import Packet


class Tick(Struct, frozen=True, kw_only=True):
    """Time has passed; comes every `TICK_INTERVAL` seconds."""

    now: float


class CallerPacket(Struct, kw_only=True):
    """A balancer received a packet from a caller."""

    packet: Packet
    now: float


class PacketsDrained(Struct, frozen=True, kw_only=True):
    """No packet is left to be read for the moment."""

    now: float


class ForwardedPacket(Struct, kw_only=True):
    """An agent received a caller's packet from a balancer.

    Attributes
    ----------
    service : int
        Number of the service that the balancer meant, see `hash_service`.
    """

    packet: Packet
    service: int
    balancer: str
    now: float


class UpstreamPacket(Struct, kw_only=True):
    """An agent received a packet from its upstream."""

    packet: Packet
    now: float


class MessageReceived(Struct, frozen=True, kw_only=True):
    """A message came from another node."""

    message: Message
    source: str
    now: float


class Heartbeat(Struct, frozen=True, kw_only=True):
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


class HeartbeatReceived(Struct, frozen=True, kw_only=True):
    """The upstream sent a heartbeat."""

    heartbeat: Heartbeat
    now: float


class UpstreamLeaving(Struct, frozen=True, kw_only=True):
    """The upstream said that this run of it is about to end."""

    boot: str
    now: float


class UpstreamChecked(Struct, frozen=True, kw_only=True):
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


class TableReceived(Struct, frozen=True, kw_only=True):
    """A forwarding table came from the platform's store or a peer."""

    table: ForwardingTable
    source: str
    now: float


class ReportsListed(Struct, frozen=True, kw_only=True):
    """The store's reports of nodes were read or have changed.

    Attributes
    ----------
    complete : bool
        Whether `reports` are all there are.
    removed : tuple of str
        Hosts whose report was deleted.
    """

    reports: tuple[NodeReport, ...]
    removed: tuple[str, ...] = ()
    complete: bool = False
    now: float


class EarlierReportRead(Struct, frozen=True, kw_only=True):
    """The store holds a report that an earlier run of this node has left.

    Attributes
    ----------
    at_start : bool
        Whether it was read as soon as this node started, so that the store was
        not away then.
    """

    report: NodeReport
    at_start: bool
    now: float


class CheckpointRead(Struct, frozen=True, kw_only=True):
    """The store's checkpoint of open flows was read.

    Attributes
    ----------
    parts : dict of str to list of OpenFlow
        By the balancer that told of them.
    age : float
        Seconds since it was written, by the wall clocks of two nodes.
    at_start : bool
        Whether it was read for this balancer's start, rather than met by a write.
    """

    parts: dict[str, list[OpenFlow]]
    age: float
    at_start: bool
    now: float


class SettingsChanged(Struct, frozen=True, kw_only=True):
    """The operator's settings for this node were read again.

    Attributes
    ----------
    seeds : tuple of str
        Hosts of balancers, some of which may be gone.
    flow_lifetime, stop_limit : float
        Seconds; see `NodeSettings`.
    """

    seeds: tuple[str, ...]
    flow_lifetime: float
    stop_limit: float


class StopRequested(Struct, frozen=True, kw_only=True):
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
    | UpstreamLeaving
    | UpstreamChecked
    | TableReceived
    | ReportsListed
    | EarlierReportRead
    | CheckpointRead
    | SettingsChanged
    | StopRequested
)
