"""The forwarding table: which services new flows to an endpoint may go to."""

from __future__ import annotations

import zlib

from msgspec import Struct, field


class ServiceShare(Struct, frozen=True, kw_only=True):
    """A service and its share of a route's new flows."""

    service: str
    weight: int = 1


class Route(Struct, frozen=True, kw_only=True):
    """What the operator declared for one endpoint.

    Attributes
    ----------
    urgency : int
        Priority among the requests of an upstream; 0 is the highest.
    timeout : float
        Seconds after which callers give a request up.
    objective : float
        Seconds within which callers want the answer; 0 where that is not said.
    bulk : bool
        Whether callers mostly send large bodies, so that the place of the
        upstream matters more than its load.
    """

    name: str
    shares: tuple[ServiceShare, ...]
    urgency: int = 0
    timeout: float = 0.0
    objective: float = 0.0
    bulk: bool = False


class ForwardingTable(Struct, frozen=True, kw_only=True):
    """All routes, as of one version of the operator's configuration.

    Attributes
    ----------
    version : int
        Grows with each change; 0 is the empty table before the first.
    routes : dict of bytes to Route
        By endpoint, see `Packet.endpoint`.
    idle_timeout : float
        Seconds of silence after which a flow may be forgotten.
    """

    version: int = 0
    routes: dict[bytes, Route] = field(default_factory=dict)
    idle_timeout: float = 60.0


def choose_service(route: Route, flow: bytes) -> str:
    """Return the service for a new flow, by the weights of the route.

    Each copy of an opening packet gets the same service at any balancer.

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
    """Whether a table may replace the one in force; none is ever taken back."""
    return offered.version > current.version
