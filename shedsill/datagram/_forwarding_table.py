"""The forwarding table, which maps endpoints to services."""

from __future__ import annotations

import zlib

from msgspec import Struct, field


class ServiceShare(Struct, frozen=True, kw_only=True):
    """A service and its weight in a route."""

    service: str
    weight: int = 1


class Route(Struct, frozen=True, kw_only=True):
    """Configuration of one endpoint.

    Attributes
    ----------
    urgency : int
        Priority among the requests of an upstream; 0 is the highest.
    timeout : float
        Seconds after which callers give up a request; 0 if not configured.
    objective : float
        Seconds within which callers expect the answer; 0 if not configured.
    bulk : bool
        Whether callers mostly send large bodies, so that an upstream in the same
        zone matters more than its load.
    """

    name: str
    shares: tuple[ServiceShare, ...]
    urgency: int = 0
    timeout: float = 0.0
    objective: float = 0.0
    bulk: bool = False


class ForwardingTable(Struct, frozen=True, kw_only=True):
    """All routes of one version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each change; 0 for the empty initial table.
    routes : dict of bytes to Route
        Routes by endpoint, see `Packet.endpoint`.
    idle_timeout : float
        Seconds without packets after which a flow may be dropped.
    """

    version: int = 0
    routes: dict[bytes, Route] = field(default_factory=dict)
    idle_timeout: float = 60.0


def choose_service(route: Route, flow: bytes) -> str:
    """Return the service for a new flow, by the weights of the route.

    The choice depends only on the flow, so retransmitted SYNs get the same service
    at any balancer.

    Examples
    --------
    >>> one = ServiceShare(service="dispatcher")
    >>> choose_service(Route(name="r", shares=(one,)), b"any flow")
    'dispatcher'
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    point = zlib.crc32(flow) % sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def is_newer(offered: ForwardingTable, current: ForwardingTable) -> bool:
    """Whether a table may replace the current one; versions never go back."""
    return offered.version > current.version
