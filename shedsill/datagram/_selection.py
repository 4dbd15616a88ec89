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

BULK_ZONE_PENALTY = 4.0
"""The same for routes with large bodies, whose octets cost more than a wait."""

COLD_FACTOR = 1.6
"""How much slower an upstream works just after its start (users' figures)."""

OFFER_WINDOW = 0.15
"""Seconds for which an offered flow counts as a busy request, beside what the
agent reports: an opening's report comes before its request does."""

FRESH_FOR = 0.2
"""Seconds over which a reported count of busy requests gives way to its
average: requests of these services take 0.05 to 0.1 s."""

REFUSAL_PAUSE = 0.3
"""Seconds without openings for an upstream that has refused one: it is leaving,
full, or not up yet, and each further try costs its caller a round trip."""

DEFAULT_SLOTS = 2
"""Slots assumed of an upstream whose first heartbeat has not come yet; the
fewest of any deployment described."""

TAKING = (UpstreamState.READY, UpstreamState.UNKNOWN)


class UpstreamView(Struct):
    """What a balancer knows of one agent and its upstream.

    Attributes
    ----------
    heard : float
        When the agent's last message came.
    offers : list of float
        When flows were offered lately, see `OFFER_WINDOW`.
    avoided_until : float
        Until when its agent asks for no flows, see `Load.avoided`.
    refused_until : float
        Until when it is passed over because it has refused a flow.
    silent_since : float or None
        When the first of the questions was sent that it has not answered.
    asked : float
        When it was last asked.
    questions : int
        Questions sent since `silent_since`.
    suspect : bool
        Whether it left an offered flow or a probe unanswered.
    lost : bool
        Whether it has been silent for so long that its flows were given up.
    lost_at : float
        When that was.
    """

    report: NodeReport
    heard: float = 0.0
    offers: list[float] = field(default_factory=list)
    avoided_until: float = 0.0
    refused_until: float = 0.0
    silent_since: float | None = None
    asked: float = 0.0
    questions: int = 0
    suspect: bool = False
    lost: bool = False
    lost_at: float = 0.0


def number_service(service: str) -> int:
    """Return the 32-bit number that packets between nodes carry of a service."""
    return zlib.crc32(service.encode())


def can_take(view: UpstreamView) -> bool:
    """Whether an upstream may be offered new flows."""
    report = view.report
    return report.state in TAKING and not report.stopping and not view.lost


def count_offers(view: UpstreamView, now: float) -> int:
    """Return the flows offered within `OFFER_WINDOW`; older ones are dropped."""
    offers = view.offers
    while offers and now - offers[0] > OFFER_WINDOW:
        del offers[0]
    return len(offers)


def measure_fullness(view: UpstreamView, now: float) -> float:
    """Return the requests per slot that a new flow would meet.

    A count that has just been reported stands as it is; an older one gives way
    to the average over a second.
    """
    load = view.report.load
    freshness = max(1.0 - (now - view.heard) / FRESH_FOR, 0.0)
    busy = load.average + (load.busy - load.average) * freshness
    busy += count_offers(view, now)
    slots = load.slots or DEFAULT_SLOTS
    factor = COLD_FACTOR if load.cold > 0 else 1.0
    return busy * factor / slots


def choose_upstream(
    views: Iterable[UpstreamView],
    *,
    zone: str,
    bulk: bool,
    without: Collection[str],
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
    without : collection of str
        Hosts that were offered the flow before.
    flow : bytes
        Key of the flow; breaks ties.
    """
    penalty = BULK_ZONE_PENALTY if bulk else ZONE_PENALTY
    best: UpstreamView | None = None
    best_score = (True, 0.0, 0)
    for view in views:
        if not can_take(view) or view.report.host in without:
            continue
        distance = 0.0 if view.report.zone == zone else penalty
        avoided = view.suspect or now < max(view.refused_until, view.avoided_until)
        fullness = measure_fullness(view, now)
        score = (avoided, fullness + distance, _break_tie(flow, view))
        if best is None or score < best_score:
            best, best_score = view, score
    return best


def _break_tie(flow: bytes, view: UpstreamView) -> int:
    """Return a number that differs between flows and hosts, but not in time."""
    return zlib.crc32(view.report.host.encode(), zlib.crc32(flow))
