"""Selection of the upstream that is offered a new flow."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable

from msgspec import Struct, field

from shedsill.datagram._messages import NodeReport, UpstreamState
from shedsill.datagram._statements import FINAL_STATES

ZONE_PENALTY = 0.75
"""Utilization (busy requests per slot) added for upstreams in other availability zones;
below 1, so that a free remote slot is preferred to a local queue."""

PREFERRED_HOST_COUNT = 4
"""Agents in the balancer's zone that are preferred for a flow; a few, so that many
balancers do not choose the same least loaded agent at once.  Choosing among a few
random ones spreads load nearly as evenly as choosing among all."""

UNPREFERRED_PENALTY = 0.5
"""Utilization added for agents in the same zone that are not preferred: one request on
an upstream with two slots."""

HASH_MULTIPLIER = 0x9E37_79B1
"""Multiplier that breaks the linearity of CRC-32 (2**32 over the golden ratio)."""

BULK_ZONE_PENALTY = 4.0
"""The same as `ZONE_PENALTY` for routes with large bodies, whose transfer between zones
costs more than a delay."""

COLD_SLOWDOWN_FACTOR = 1.6
"""How much slower an upstream works just after its start, as its operators state; what
agents measure is not sent to balancers."""

OFFER_WINDOW_SECONDS = 0.15
"""Time for which an offered flow counts as a busy request, in addition to the agent's
report, which does not include its request yet."""

LOAD_FRESHNESS_SECONDS = 0.2
"""Time over which the reported count of busy requests is replaced by its average;
longer than a short request, which takes 0.05 to 0.1 s."""

REFUSAL_BACKOFF_SECONDS = 0.3
"""Time for which an upstream that has refused a flow is avoided; it is leaving, full or
not started yet, and each refusal costs a caller one round trip."""

DEFAULT_SLOTS = 1
"""Slots assumed while the agent has not reported any: the minimum, so that the upstream
is not overloaded."""

ACCEPTING_STATES = (UpstreamState.READY, UpstreamState.UNKNOWN)
"""States in which an upstream may be offered new flows."""


class UpstreamView(Struct):
    """State of one agent and its upstream, as a balancer knows it.

    Attributes
    ----------
    report : NodeReport
        Latest known report of the agent.
    last_heard_at : float
        When the agent's last message arrived; 0 if there was none.
    recent_offers : list of float
        Times of recently offered flows, see `OFFER_WINDOW_SECONDS`.
    avoided_until : float
        Until when its agent asks that the upstream be avoided, see `Load.avoided`.
    refused_until : float
        Until when it is avoided because it has refused a flow.
    silent_since : float or None
        When the first unanswered probe was sent or scheduled; None if there is none.
    last_probe_at : float
        When it was last probed.
    unanswered_probes : int
        Probes sent since `silent_since`.
    suspect : bool
        Whether it left an offered flow, a search or a probe unanswered.
    lost : bool
        Whether it was silent for so long that its flows were reset.
    lost_at : float
        When it was marked as lost.
    confirmed_incarnation : int
        Incarnation last reported by the agent itself; 0 if there is none.
    reported_incarnation : int
        Another incarnation reported indirectly since.
    confirmed_boot : str
        Upstream boot last reported by the agent itself; empty if there is none.
    earlier_heard_at : float
        When the last message of the agent's previous incarnation arrived.
    earlier_boot : str
        Upstream boot last reported by a previous incarnation of the agent.
    heard_boot : str
        Boot that the restarted agent has heard last, before that showed that it runs.
    earlier_report : NodeReport or None
        What an earlier incarnation of the agent has reported of its upstream, until the
        current one reports a later statement; None if it has, or there is none.
    replaced_at : float
        When the current incarnation was first reported.
    returned_alive : bool
        Whether this balancer has a report of the agent's previous incarnation from that
        itself, and had not lost the agent when the current one replaced it.
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
    earlier_heard_at: float = 0.0
    earlier_boot: str = ""
    heard_boot: str = ""
    earlier_report: NodeReport | None = None
    replaced_at: float = 0.0
    returned_alive: bool = False


def hash_service(service: str) -> int:
    """Return the 32-bit identifier of a service in packets between nodes."""
    return zlib.crc32(service.encode())


def can_accept_flows(view: UpstreamView) -> bool:
    """Whether an upstream may be offered new flows.

    A restarted agent may not know that its upstream is draining.
    """
    report, earlier = view.report, view.earlier_report
    if earlier is not None and earlier.state in FINAL_STATES:
        return False
    return report.state in ACCEPTING_STATES and not report.stopping and not view.lost


def count_recent_offers(view: UpstreamView, now: float) -> int:
    """Drop offers older than `OFFER_WINDOW_SECONDS` and count the others."""
    offers = view.recent_offers
    while offers and now - offers[0] > OFFER_WINDOW_SECONDS:
        del offers[0]
    return len(offers)


def compute_utilization(view: UpstreamView, now: float) -> float:
    """Return the estimated busy requests per slot of an upstream.

    A fresh count of busy requests is used as it is; with its age it is replaced by the
    reported average.
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
    """Return the best upstream for a new flow, or None if there is none.

    Parameters
    ----------
    views : iterable of UpstreamView
        Upstreams of the service.
    zone : str
        Availability zone of the balancer, which is also the caller's.
    bulk : bool
        Whether the route carries large bodies.
    excluded : collection of str
        Hosts that were already offered the flow.
    flow : bytes
        Key of the flow; decides between upstreams of equal utilization.
    """
    candidates = [
        v for v in views if can_accept_flows(v) and v.report.host not in excluded
    ]
    preferred = list_preferred_hosts(
        (v.report for v in candidates), zone=zone, flow=flow
    )
    zone_penalty = BULK_ZONE_PENALTY if bulk else ZONE_PENALTY
    best: UpstreamView | None = None
    best_score = (True, 0.0, 0)
    for view in candidates:
        report = view.report
        avoided = view.suspect or now < max(view.refused_until, view.avoided_until)
        utilization = compute_utilization(view, now)
        if report.zone != zone:
            utilization += zone_penalty
        elif report.host not in preferred:
            utilization += UNPREFERRED_PENALTY
        score = (avoided, utilization, compute_host_weight(flow, report.host))
        if best is None or score < best_score:
            best, best_score = view, score
    return best


def list_preferred_hosts(
    reports: Iterable[NodeReport], *, zone: str, flow: bytes
) -> tuple[str, ...]:
    """Return the agents in a zone that are preferred for a flow.

    They depend only on the flow and the agents (rendezvous hashing), so that any
    balancer can search for an unknown flow there first.
    """
    zone_hosts = [report.host for report in reports if report.zone == zone]
    zone_hosts.sort(key=lambda host: compute_host_weight(flow, host))
    return tuple(zone_hosts[:PREFERRED_HOST_COUNT])


def compute_host_weight(flow: bytes, host: str) -> int:
    """Return a uniformly distributed hash of a flow and a host."""
    checksum = zlib.crc32(host.encode(), zlib.crc32(flow))
    return checksum * HASH_MULTIPLIER % (1 << 32)
