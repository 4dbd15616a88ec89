"""Selection of the upstream that is offered a new flow."""

from __future__ import annotations

from msgspec.structs import replace

from shedsill.datagram._health import (
    AVOIDANCE_RESET_SECONDS,
    FIRST_AVOIDANCE_SECONDS,
    MAX_AVOIDANCE_SECONDS,
    Health,
    get_avoidance_left,
    record_crash,
)
from shedsill.datagram._messages import Load, NodeReport, Role, UpstreamState
from shedsill.datagram._selection import (
    BULK_ZONE_PENALTY,
    OFFER_WINDOW_SECONDS,
    UpstreamView,
    choose_upstream,
)

NOW = 100.0


def make_view(host: str, *, zone: str = "near", **load) -> UpstreamView:
    report = NodeReport(
        host=host,
        role=Role.AGENT,
        zone=zone,
        incarnation=1,
        state=UpstreamState.READY,
        load=Load(slots=2, **load),
    )
    return UpstreamView(report=report, last_heard_at=NOW)


def choose_host(
    views: list[UpstreamView], *, bulk: bool = False, flow: bytes = b"f"
) -> str:
    view = choose_upstream(
        views, zone="near", bulk=bulk, excluded=(), flow=flow, now=NOW
    )
    return view.report.host if view else ""


def test_least_busy_upstream_is_chosen() -> None:
    assert choose_host([make_view("a", busy=2), make_view("b", busy=1)]) == "b"


def test_local_upstream_is_chosen_until_busier_by_zone_penalty() -> None:
    far = make_view("far", zone="far")
    assert choose_host([far, make_view("near", busy=1)]) == "near"
    assert choose_host([far, make_view("near", busy=2)]) == "far"


def test_bulk_route_prefers_local_upstream_longer() -> None:
    far = make_view("far", zone="far")
    assert choose_host([far, make_view("near", busy=4)], bulk=True) == "near"
    busy = int(2 * BULK_ZONE_PENALTY) + 1
    assert choose_host([far, make_view("near", busy=busy)], bulk=True) == "far"


def test_recent_offers_count_as_busy_requests() -> None:
    a, b = make_view("a"), make_view("b", busy=1)
    a.recent_offers = [NOW, NOW]
    assert choose_host([a, b]) == "b"
    a.recent_offers = [NOW - OFFER_WINDOW_SECONDS - 0.01] * 2
    assert choose_host([a, b]) == "a"


def test_outdated_count_is_replaced_by_average() -> None:
    a, b = make_view("a", busy=9, average=0.5), make_view("b", busy=1, average=1.0)
    assert choose_host([a, b]) == "b"
    a.last_heard_at = NOW - 1.0
    assert choose_host([a, b]) == "a"


def test_cold_upstream_counts_as_busier() -> None:
    assert (
        choose_host([make_view("a", busy=2, cold=1.0), make_view("b", busy=2)]) == "b"
    )


def test_suspect_refusing_and_failing_upstreams_come_last() -> None:
    good = make_view("good", busy=9)
    suspect = make_view("suspect")
    suspect.suspect = True
    refusing = make_view("refusing")
    refusing.refused_until = NOW + 1
    failing = make_view("failing")
    failing.avoided_until = NOW + 1
    assert choose_host([suspect, refusing, failing, good]) == "good"
    assert choose_host([failing]) == "failing"


def test_upstreams_that_cannot_accept_flows_are_excluded() -> None:
    draining = make_view("draining")
    draining.report = replace(draining.report, state=UpstreamState.DRAINING)
    stopping = make_view("stopping")
    stopping.report = replace(stopping.report, stopping=True)
    lost = make_view("lost")
    lost.lost = True
    assert choose_host([draining, stopping, lost]) == ""


def test_equal_upstreams_share_flows() -> None:
    views = [make_view(host) for host in "abcd"]
    chosen = [choose_host(views, flow=bytes([n, n // 3])) for n in range(200)]
    assert min(chosen.count(host) for host in "abcd") > 25


def test_repeated_crashes_are_avoided_unlike_a_single_one() -> None:
    health = Health()
    record_crash(health, 10.0)
    assert get_avoidance_left(health, 10.0) == 0.0
    record_crash(health, 14.0)
    assert get_avoidance_left(health, 14.0) == FIRST_AVOIDANCE_SECONDS
    for now in (16.0, 18.0, 20.0, 22.0, 24.0):
        record_crash(health, now)
    assert get_avoidance_left(health, 24.0) == MAX_AVOIDANCE_SECONDS
    later = 24.0 + MAX_AVOIDANCE_SECONDS + AVOIDANCE_RESET_SECONDS + 1
    record_crash(health, later)
    record_crash(health, later + 1)
    assert get_avoidance_left(health, later + 1) == FIRST_AVOIDANCE_SECONDS
