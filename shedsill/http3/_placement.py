"""Placement of new flows on upstreams.

A balancer's first candidate depends only on the service, the caller's first
connection ID and the accepted configuration, so every balancer sends all packets
of a handshake to the same agent.  That agent compares loads and either keeps the
flow or forwards it, at most once, to the alternate candidate.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from attrs import frozen

from shedsill.http3._configuration import AcceptedUpstream, UpstreamState
from shedsill.http3._frames import Candidate, Load

MIN_SLOW_START_SHARE = 0.1
SATURATION_RATIO = 2


@frozen(kw_only=True)
class HashOnly:
    """Place each flow on the first candidate that accepts new flows."""


@frozen(kw_only=True)
class TwoCandidates:
    """Forward a flow if the alternate is less utilized by more than a margin.

    A saturated upstream counts as more utilized than an unsaturated one,
    whatever their numbers of flows.

    Attributes
    ----------
    margin : float
        Difference in utilization above which a flow is forwarded, as a number of
        flows at the first agent.
    stale_after : float
        Age in seconds above which the alternate's load is ignored.
    """

    margin: float = 0.5
    stale_after: float = 3.0


Policy = HashOnly | TwoCandidates


def rank_upstreams(
    upstreams: Iterable[AcceptedUpstream], service: int, cid: bytes
) -> tuple[AcceptedUpstream, ...]:
    """Order active upstreams by rendezvous hash, first candidate first.

    Parameters
    ----------
    cid : bytes
        Connection ID that the caller chose for its first packet.
    """
    active = [u for u in upstreams if u.state == UpstreamState.ACTIVE]
    prefix = service.to_bytes(2, "big") + cid

    def get_weight(upstream: AcceptedUpstream) -> int:
        return xxhash.xxh3_64_intdigest(prefix, seed=upstream.number)

    return tuple(sorted(active, key=get_weight, reverse=True))


def get_utilization(load: Load, *, slow_start_share: float = 1.0) -> float:
    """Return the share of an upstream's flow limit that is in use.

    Parameters
    ----------
    slow_start_share : float
        Share of the limit that counts during slow start; grows from
        `MIN_SLOW_START_SHARE` to 1.

    Examples
    --------
    >>> get_utilization(Load(flows=50, flow_limit=100))
    0.5
    >>> get_utilization(Load(flows=5, flow_limit=100), slow_start_share=0.1)
    0.5
    """
    return load.flows / max(
        load.flow_limit * max(slow_start_share, MIN_SLOW_START_SHARE), 1.0
    )


def can_accept_flow(load: Load) -> bool:
    """Whether an upstream with this load accepts another flow."""
    return load.open and load.flows < load.flow_limit


def is_saturated(load: Load) -> bool:
    """Whether running and queued requests reach `SATURATION_RATIO` times the slots.

    Examples
    --------
    >>> is_saturated(Load(busy=5, slots=3)), is_saturated(Load(busy=6, slots=3))
    (False, True)
    """
    return load.busy >= SATURATION_RATIO * load.slots


def is_alternate_preferred(
    policy: Policy,
    own: Load,
    alternate: Candidate | None,
    *,
    slow_start_share: float = 1.0,
) -> bool:
    """Whether the first agent should forward a new flow to the alternate.

    Examples
    --------
    >>> other = Candidate(upstream=2, load=Load(flows=10, flow_limit=100), age=0.1)
    >>> is_alternate_preferred(TwoCandidates(), Load(flows=12, flow_limit=100), other)
    True
    >>> is_alternate_preferred(TwoCandidates(), Load(flows=10, flow_limit=100), other)
    False
    """
    if alternate is None or not can_accept_flow(alternate.load):
        return False
    if not can_accept_flow(own):
        return True
    match policy:
        case HashOnly():
            return False
        case TwoCandidates(margin=margin, stale_after=stale_after):
            if alternate.age > stale_after:
                return False
            if is_saturated(own) != is_saturated(alternate.load):
                return is_saturated(own)
            min_difference = margin / max(own.flow_limit, 1)
            difference = get_utilization(
                own, slow_start_share=slow_start_share
            ) - get_utilization(alternate.load)
            return difference > min_difference
