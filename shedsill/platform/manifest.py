"""Decoding of the operator's configuration in the platform's store."""

from __future__ import annotations

import socket
import struct

import msgspec
from msgspec import Struct, field

from shedsill.datagram._forwarding_table import ForwardingTable, Route, ServiceShare
from shedsill.datagram.adapter import TableSource
from shedsill.errors import DecodeError

__all__ = ["TABLE_SOURCE", "decode_table"]


class _Backend(Struct, frozen=True, kw_only=True):
    service: str
    weight: int


class _Route(Struct, frozen=True, kw_only=True):
    """Route from an endpoint to a service, or to several with weights.

    Attributes
    ----------
    host : str
        IP address of the endpoint, not a host name.
    path_prefix : str
        Port of the endpoint between slashes, not a path.
    type : str
        ``safe`` (may be repeated), ``unsafe`` or ``upload`` (large bodies).
    slo_ms : int
        Latency objective in milliseconds.
    """

    name: str
    host: str
    path_prefix: str
    type: str = "safe"
    priority: int = 0
    timeout_ms: int = 0
    slo_ms: int = 0
    service: str = ""
    backends: tuple[_Backend, ...] = ()


class _Service(Struct, frozen=True, kw_only=True):
    """Service, decoded only to validate the configuration."""

    name: str
    health_path: str = "/health"


class _Limits(Struct, frozen=True, kw_only=True):
    idle_timeout_ms: int = 60_000


class _Manifest(Struct, frozen=True, kw_only=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = field(default_factory=_Limits)


def decode_table(value: object) -> ForwardingTable:
    """Decode the stored configuration.

    Raises
    ------
    DecodeError
        If the configuration is invalid.
    """
    try:
        manifest = msgspec.convert(value, _Manifest)
        return ForwardingTable(
            version=manifest.version,
            routes={_parse_endpoint(r): _build_route(r) for r in manifest.routes},
            idle_timeout=manifest.limits.idle_timeout_ms / 1000,
        )
    except (msgspec.ValidationError, OSError, ValueError, struct.error) as error:
        raise DecodeError(f"invalid configuration: {error}") from error


def _parse_endpoint(route: _Route) -> bytes:
    port = int(route.path_prefix.strip("/"))
    return socket.inet_aton(route.host) + struct.pack(">H", port)


def _build_route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(service=b.service, weight=b.weight) for b in route.backends
    )
    if not shares:
        shares = (ServiceShare(service=route.service),)
    return Route(
        name=route.name,
        shares=shares,
        urgency=route.priority,
        timeout=route.timeout_ms / 1000,
        objective=route.slo_ms / 1000,
        bulk=route.type == "upload",
    )


TABLE_SOURCE = TableSource(kind="config", name="main", decode=decode_table)
