"""Events of a node that carries opaque flows: the input of its reducer.

Times are seconds of the node's monotonic clock.
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
    """A timer event; see `TICK_INTERVAL_SECONDS` of the runtime."""

    now: float


class CallerPacket(Struct, kw_only=True):
    """A balancer received a packet from a caller."""

    packet: Packet
    now: float


class PacketsDrained(Struct, frozen=True, kw_only=True):
    """All packets that had arrived have been read."""

    now: float


class ForwardedPacket(Struct, kw_only=True):
    """An agent received a caller's packet from a balancer.

    Attributes
    ----------
    service : int
        Hash of the name of the service that the packet is for, see `hash_service`.
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
    """A message of another node was received."""

    message: Message
    source: str
    now: float


class Heartbeat(Struct, frozen=True, kw_only=True):
    """A heartbeat of an upstream.

    Attributes
    ----------
    boot : str
        Identifier of the upstream's boot.
    serial : int
        Grows with each heartbeat of one boot.
    cold : float
        Seconds until the upstream reaches its full speed after its start.
    """

    boot: str
    serial: int
    state: UpstreamState
    slots: int
    cold: float = 0.0


class HeartbeatReceived(Struct, frozen=True, kw_only=True):
    """The upstream sent a heartbeat.

    Attributes
    ----------
    unix_ms : int
        Unix time in milliseconds at which it arrived; 0 if unknown.
    """

    heartbeat: Heartbeat
    now: float
    unix_ms: int = 0


class UpstreamLeaving(Struct, frozen=True, kw_only=True):
    """The upstream announced the end of its current boot."""

    boot: str
    now: float


class UpstreamChecked(Struct, frozen=True, kw_only=True):
    """A connection to the upstream's port was attempted.

    Attributes
    ----------
    open : bool
        Whether the connection was accepted.
    refused : bool
        Whether the connection was refused, since nothing listens on the port.
    """

    open: bool
    refused: bool
    now: float


class TableReceived(Struct, frozen=True, kw_only=True):
    """A forwarding table was received from the platform's store or a peer."""

    table: ForwardingTable
    source: str
    now: float


class ReportsListed(Struct, frozen=True, kw_only=True):
    """Reports of nodes were read from the store, all of them or changed ones.

    Attributes
    ----------
    complete : bool
        Whether `reports` are all reports in the store.
    removed : tuple of str
        Hosts whose report was deleted.
    """

    reports: tuple[NodeReport, ...]
    removed: tuple[str, ...] = ()
    complete: bool = False
    now: float


class EarlierReportRead(Struct, frozen=True, kw_only=True):
    """The report of an earlier incarnation of this node was read from the store.

    Attributes
    ----------
    at_start : bool
        Whether it was read at this node's start, so that the store was available then.
        Otherwise a write has conflicted with it; what is to be stored is decided again.
    """

    report: NodeReport
    at_start: bool
    now: float


class CheckpointRead(Struct, frozen=True, kw_only=True):
    """The store's checkpoint of open flows was read.

    Attributes
    ----------
    parts : dict of str to list of OpenFlow
        Open flows by the balancer that reported them.
    age : float
        Seconds since it was written, by the wall clocks of the two nodes.
    at_start : bool
        Whether it was read for this balancer's start, not on a conflicting write.
    """

    parts: dict[str, list[OpenFlow]]
    age: float
    at_start: bool
    now: float


class SettingsChanged(Struct, frozen=True, kw_only=True):
    """The operator's settings of this node were reloaded.

    Attributes
    ----------
    seeds : tuple of str
        Hosts of balancers; some may no longer exist.
    flow_lifetime, stop_limit : float
        Seconds; see `NodeSettings`.
    """

    seeds: tuple[str, ...]
    flow_lifetime: float
    stop_limit: float


class StopRequested(Struct, frozen=True, kw_only=True):
    """A planned stop of the process was requested."""

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
