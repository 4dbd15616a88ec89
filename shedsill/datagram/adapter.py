"""What a hosting platform's adapter provides to nodes that carry opaque flows.

An adapter has a `PacketCodec`, a `TableCodec`, the node's `NodeSettings` and an
implementation of `shedsill.coordination.platform.Platform`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from msgspec import Struct

from shedsill._addresses import Address
from shedsill.datagram._events import Heartbeat, UpstreamLeaving
from shedsill.datagram._forwarding_table import ForwardingTable, Route
from shedsill.datagram._messages import Role
from shedsill.datagram._packet import Packet

__all__ = [
    "HeartbeatCodec",
    "NodeSettings",
    "PacketCodec",
    "SettingsSource",
    "TableSource",
]


class NodeSettings(Struct, frozen=True, kw_only=True):
    """Settings of one node.

    Attributes
    ----------
    host : str
        IP number of the VM.
    packets : Address
        Where packets come in: from callers at a balancer, from balancers at an
        agent.
    messages : Address
        Where messages of other nodes come in; the port is the same everywhere.
    agent_port : int
        Port of `packets` on agents.
    caller_port : int
        Port at which callers take packets.
    status : Address
        Where ``GET`` of the readiness path is answered.
    readiness_path : str
        The path by which routers ask whether this node is ready.
    heartbeats : Address or None
        Where heartbeats of upstreams are taken.
    upstream, outbound : Address or None
        The upstream's address, and where it sends its packets; agents only.
    seeds : tuple of str
        Hosts of balancers, some of which may be gone.
    first_start : bool
        Whether no flow can be older than this process.
    flow_lifetime : float
        Seconds after which a flow may be forgotten.
    stop_limit : float
        Seconds in which a planned stop must end.
    """

    name: str
    role: Role
    host: str
    zone: str
    packets: Address
    messages: Address
    agent_port: int
    caller_port: int
    status: Address
    readiness_path: str
    service: str = ""
    heartbeats: Address | None = None
    upstream: Address | None = None
    outbound: Address | None = None
    metrics: Address | None = None
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    flow_lifetime: float = 60.0
    stop_limit: float = 5.0


class SettingsSource(Protocol):
    """Where a node's settings come from."""

    def read(self) -> NodeSettings:
        """Read and check the settings; raises `SettingError`."""
        ...

    def has_changed(self) -> bool:
        """Whether the settings may differ from those read last."""
        ...


class PacketCodec(Protocol):
    """Reads and writes the packets of one platform."""

    def decode_caller(self, data: bytes) -> Packet | None:
        """Read a packet from a caller; None if it is not one."""
        ...

    def decode_forwarded(self, data: bytes) -> tuple[Packet, int] | None:
        """Read a packet from a balancer, and the number of its service."""
        ...

    def decode_upstream(self, data: bytes) -> Packet | None:
        """Read a packet from an upstream, or one that it bounced."""
        ...

    def encode_forwarded(
        self, packet: Packet, service: int, route: Route | None
    ) -> bytes:
        """Write a caller's packet for an agent."""
        ...

    def encode_for_upstream(self, packet: Packet, balancer: str) -> bytes:
        """Write a caller's packet for the upstream."""
        ...

    def encode_reset(self, flow: bytes, seq: int) -> bytes:
        """Write a reset of this system's own for a caller."""
        ...

    def get_caller_host(self, flow: bytes) -> str:
        """Return the host of the flow's caller."""
        ...

    def describe_flow(self, flow: bytes) -> str:
        """Return the flow's address pair as text, for the log."""
        ...


class TableSource(Struct, frozen=True, kw_only=True):
    """Where the operator's forwarding table is kept, and how it is read.

    Attributes
    ----------
    decode : callable
        Makes a `ForwardingTable` of the stored value; raises `DecodeError`.
    """

    kind: str
    name: str
    decode: Callable[[Any], ForwardingTable]


class HeartbeatCodec(Protocol):
    """Reads the calls by which an upstream tells its state."""

    def decode_call(
        self, method: str, path: str, body: bytes, now: float
    ) -> Heartbeat | UpstreamLeaving | None:
        """Read one call; None if it is not of these, `DecodeError` if broken."""
        ...
