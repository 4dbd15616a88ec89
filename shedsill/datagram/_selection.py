"""Which upstream is offered a new flow."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable

from msgspec import Struct, field

from shedsill.datagram._messages import NodeReport, UpstreamState

ZONE_PENALTY = 0.75
"""Fullness (busy requests per slot) that an upstream of the balancer's own
availability zone may have above a remote one before the remote one is taken;
below 1, so that a free remote slot comes before a queue."""

PREFERRED_HOST_COUNT = 4
"""Near agents preferred for a flow.  Choosing the least full of a few drawn at
random is nearly as even as choosing among all, and less prone to many balancers
running after the same report."""

UNPREFERRED_PENALTY = 0.5
"""Fullness by which the preferred ones must exceed another near one before that
is taken: one request on an upstream of two slots."""

HASH_MULTIPLIER = 0x9E37_79B1
"""Multiplier that breaks the linearity of CRC-32 (2**32 over the golden ratio)."""

BULK_ZONE_PENALTY = 4.0
"""The same for routes with large bodies, whose octets cost more than a wait."""

COLD_SLOWDOWN_FACTOR = 1.6
"""How much slower an upstream works just after its start, as the operators of the
upstreams say; what agents observe is not told to balancers."""

OFFER_WINDOW_SECONDS = 0.15
"""Seconds for which an offered flow counts as a busy request, beside what the
agent reports: an opening's report comes before its request does."""

LOAD_FRESHNESS_SECONDS = 0.2
"""Seconds over which a reported count of busy requests gives way to its
average: longer than a short request of 0.05 to 0.1 s takes."""

REFUSAL_BACKOFF_SECONDS = 0.3
"""Seconds without openings for an upstream that has refused one: it is leaving,
full, or not up yet, and each further try costs its caller a round trip."""

DEFAULT_SLOTS = 1
"""Slots assumed of an upstream of which neither a heartbeat nor an earlier report
has told: the fewest that it can have, so that it never gets more than it takes."""

ACCEPTING_STATES = (UpstreamState.READY, UpstreamState.UNKNOWN)


class UpstreamView(Struct):
    """What a balancer knows of one agent and its upstream.

    Attributes
    ----------
    last_heard_at : float
        When the agent's last message came.
    recent_offers : list of float
        When flows were offered lately, see `OFFER_WINDOW_SECONDS`.
    avoided_until : float
        Until when its agent asks for no flows, see `Load.avoided`.
    refused_until : float
        Until when it is passed over because it has refused a flow.
    silent_since : float or None
        When the first of the questions was sent that it has not answered.
    last_probe_at : float
        When it was last asked.
    unanswered_probes : int
        Questions sent since `silent_since`.
    suspect : bool
        Whether it left an offered flow or a probe unanswered.
    lost : bool
        Whether it has been silent for so long that its flows were given up.
    lost_at : float
        When that was.
    confirmed_incarnation : int
        The incarnation that the agent itself told last; 0 where it has not.
    reported_incarnation : int
        Another incarnation that others have told of since.
    confirmed_boot : str
        The upstream's run as the agent itself told it last; empty where it has not.
    """

    report: NodeReport
    last_heard_at: float = 0.0
    recent_offers: list[float] = field(default_factory=list)
    avoided_until: float = 0.0
    refused_until: float = 0.0
    silent_since: float | None = None
    last_probe_at: float = 0.0
    unanswered_probes: int = 0
    suspect: bool = False
    lost: bool = False
    lost_at: float = 0.0
    confirmed_incarnation: int = 0
    reported_incarnation: int = 0
    confirmed_boot: str = ""


def hash_service(service: str) -> int:
    """Return the 32-bit number that packets between nodes carry of a service."""
    return zlib.crc32(service.encode())


def can_accept_flows(view: UpstreamView) -> bool:
    """Whether an upstream may be offered new flows."""
    report = view.report
    return report.state in ACCEPTING_STATES and not report.stopping and not view.lost


def count_recent_offers(view: UpstreamView, now: float) -> int:
    """Return the flows offered within `OFFER_WINDOW_SECONDS`; drop older ones."""
    offers = view.recent_offers
    while offers and now - offers[0] > OFFER_WINDOW_SECONDS:
        del offers[0]
    return len(offers)


def compute_utilization(view: UpstreamView, now: float) -> float:
    """Return the requests per slot that a new flow would meet.

    A count that has just been reported stands as it is; an older one gives way
    to the average over a second.
    """
    load = view.report.load
    freshness = max(1.0 - (now - view.last_heard_at) / LOAD_FRESHNESS_SECONDS, 0.0)
    busy = load.average + (load.busy - load.average) * freshness
    busy += count_recent_offers(view, now)
    slots = load.slots or DEFAULT_SLOTS
    factor = COLD_SLOWDOWN_FACTOR if load.cold > 0 else 1.0
    return busy * factor / slots


def choose_upstream(
    views: Iterable[UpstreamView],
    *,
    zone: str,
    bulk: bool,
    excluded: Collection[str],
    flow: bytes,
    now: float,
) -> UpstreamView | None:
    """Return the upstream for a new flow, or None if there is none.

    Parameters
    ----------
    views : iterable of UpstreamView
        Upstreams of the service.
    zone : str
        The balancer's availability zone, which is the caller's.
    bulk : bool
        Whether the route carries large bodies.
    excluded : collection of str
        Hosts that were offered the flow before.
    flow : bytes
        Key of the flow; breaks ties.
    """
    takers = [v for v in views if can_accept_flows(v) and v.report.host not in excluded]
    preferred = list_preferred_hosts((v.report for v in takers), zone=zone, flow=flow)
    far = BULK_ZONE_PENALTY if bulk else ZONE_PENALTY
    best: UpstreamView | None = None
    best_score = (True, 0.0, 0)
    for view in takers:
        report = view.report
        avoided = view.suspect or now < max(view.refused_until, view.avoided_until)
        fullness = compute_utilization(view, now)
        if report.zone != zone:
            fullness += far
        elif report.host not in preferred:
            fullness += UNPREFERRED_PENALTY
        score = (avoided, fullness, compute_host_weight(flow, report.host))
        if best is None or score < best_score:
            best, best_score = view, score
    return best


def list_preferred_hosts(
    reports: Iterable[NodeReport], *, zone: str, flow: bytes
) -> tuple[str, ...]:
    """Return the few near agents where a flow is placed if load allows.

    They depend on the flow and the agents only (rendezvous hashing), so that any
    balancer knows where to look first for a flow that it does not know.
    """
    near = [report.host for report in reports if report.zone == zone]
    near.sort(key=lambda host: compute_host_weight(flow, host))
    return tuple(near[:PREFERRED_HOST_COUNT])


def compute_host_weight(flow: bytes, host: str) -> int:
    """Return a number that is evenly spread over flows and hosts."""
    mixed = zlib.crc32(host.encode(), zlib.crc32(flow))
    return mixed * HASH_MULTIPLIER % (1 << 32)
