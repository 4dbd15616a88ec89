"""Interfaces that a hosting platform's adapter implements for nodes of opaque flows.

An adapter provides a `SettingsSource`, a `PacketCodec`, a `TableSource`, a
`HeartbeatCodec` and an implementation of `shedsill.coordination.platform.Platform`.
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
        IP address of the VM.
    packets : Address
        Address that receives packets: of callers at a balancer, of balancers at an
        agent.
    messages : Address
        Address that receives messages of other nodes; all nodes use the same port.
    agent_port : int
        Port of `packets` on agents.
    caller_port : int
        Port on which callers receive packets.
    status : Address
        Address of the HTTP server that answers readiness checks.
    readiness_path : str
        Path of readiness checks.
    heartbeats : Address or None
        Address that receives heartbeats of the upstream, if any.
    upstream, outbound : Address or None
        The upstream's address, and the one to which it sends its packets; agents only.
    metrics : Address or None
        Address of the HTTP server that answers with metrics, if any.
    seeds : tuple of str
        Hosts of balancers; some may no longer exist.
    first_start : bool
        Whether no flow can be older than this process.
    flow_lifetime : float
        Seconds after which an idle flow is removed.
    stop_limit : float
        Seconds after which a planned stop ends the process.
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
    """Source of a node's settings."""

    def read(self) -> NodeSettings:
        """Read and validate the settings; raises `SettingError`."""
        ...

    def has_changed(self) -> bool:
        """Whether the settings may have changed since they were last read."""
        ...


class PacketCodec(Protocol):
    """Decodes and encodes the packets of one platform."""

    def decode_caller(self, data: bytes) -> Packet | None:
        """Decode a packet of a caller; None if it is malformed."""
        ...

    def decode_forwarded(self, data: bytes) -> tuple[Packet, int] | None:
        """Decode a balancer's packet and the hash of its service's name."""
        ...

    def decode_upstream(self, data: bytes) -> Packet | None:
        """Decode a packet of an upstream, or one that it bounced."""
        ...

    def encode_forwarded(
        self, packet: Packet, service: int, route: Route | None
    ) -> bytes:
        """Encode a caller's packet for an agent."""
        ...

    def encode_for_upstream(self, packet: Packet, balancer: str) -> bytes:
        """Encode a caller's packet for the upstream."""
        ...

    def encode_reset(self, flow: bytes, seq: int) -> bytes:
        """Encode a reset of a flow for its caller."""
        ...

    def get_caller_host(self, flow: bytes) -> str:
        """Return the host of the flow's caller."""
        ...

    def describe_flow(self, flow: bytes) -> str:
        """Return the flow's address pair in the form that the log uses."""
        ...


class TableSource(Struct, frozen=True, kw_only=True):
    """Location and format of the operator's forwarding table in the platform's store.

    Attributes
    ----------
    kind, name : str
        Kind and name of the stored object.
    decode : callable
        Decodes the stored value; raises `DecodeError`.
    """

    kind: str
    name: str
    decode: Callable[[Any], ForwardingTable]


class HeartbeatCodec(Protocol):
    """Decodes the HTTP requests by which an upstream reports its state."""

    def decode_call(
        self, method: str, path: str, body: bytes, now: float
    ) -> Heartbeat | UpstreamLeaving | None:
        """Decode one request; None if it is another one.

        Raises `DecodeError` if it is malformed.
        """
        ...
