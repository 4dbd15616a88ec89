"""Guards against removal of a draining upstream by an acceptor without live peers."""

from __future__ import annotations

import immutables
import pytest
from attrs import evolve

from shedsill._addresses import Address
from shedsill.coordination.lease import Lease
from shedsill.coordination.membership import (
    FORGET_AFTER_SECONDS,
    Member,
    Membership,
    NodeReport,
)
from shedsill.coordination.platform import Listing
from shedsill.http3._acceptor import Acceptor, handle_listing
from shedsill.http3._configuration import (
    AcceptedUpstream,
    Configuration,
    UpstreamState,
)
from shedsill.http3._node import HeartbeatPayload, Node, send_heartbeats

ADDRESS = Address("127.0.0.1", 7000)
UPSTREAM = AcceptedUpstream(
    number=4,
    service=1,
    name="dispatcher-1",
    address="127.0.0.9:7000",
    state=UpstreamState.DRAINING,
)


def make_node(now: float, *heard: str) -> Node:
    """Return a node that has just heard of others."""
    members = {
        name: Member(
            report=NodeReport(
                name=name,
                address=ADDRESS,
                balancer=False,
                incarnation=1,
                heartbeat_number=int(now),
                generation=1,
            ),
            last_heard_at=now,
        )
        for name in heard
    }
    membership = Membership(members=immutables.Map(members))
    return Node(
        name="b1", address=ADDRESS, balancer=True, incarnation=1, membership=membership
    )


def is_upstream_removed(node: Node, now: float, *listed: str) -> bool:
    """Whether the next configuration lacks the draining upstream."""
    acceptor = Acceptor(
        lease=Lease(kind="lease", name="x", node="b1", time_to_live=3.0),
        listed_machines=frozenset(listed),
    )
    base = Configuration(generation=3, upstreams=(UPSTREAM,))
    node = evolve(node, configuration=base)
    listing = Listing(objects=(), revision=9)
    acceptor, _effects = handle_listing(acceptor, node, listing, now)
    configuration = acceptor.pending_configuration or base
    return not configuration.upstreams


def send_heartbeat(node: Node, now: float, *heard: str) -> Node:
    """Send the heartbeats of a node, which then hears of others."""
    node, _effects = send_heartbeats(node, HeartbeatPayload(), now=now, seed=1)
    return evolve(node, membership=make_node(now, *heard).membership)


@pytest.mark.parametrize("listening", [0.0, FORGET_AFTER_SECONDS / 2])
def test_upstream_unknown_to_a_new_acceptor_is_not_removed(
    listening: float,
) -> None:
    node = send_heartbeat(make_node(100.0, "dispatcher-2"), 100.0, "dispatcher-2")
    node = send_heartbeat(node, 100.0 + listening, "dispatcher-2")
    assert not is_upstream_removed(node, 100.0 + listening, "dispatcher-2")


def test_upstream_not_heard_of_for_a_minute_is_removed() -> None:
    node = make_node(100.0, "dispatcher-2")
    for second in range(int(FORGET_AFTER_SECONDS) + 2):
        node = send_heartbeat(node, 100.0 + second, "dispatcher-2")
    assert is_upstream_removed(node, 101.0 + FORGET_AFTER_SECONDS, "dispatcher-2")


def test_minute_without_live_peers_does_not_remove_an_upstream() -> None:
    node = make_node(100.0, "dispatcher-2")
    for second in range(int(FORGET_AFTER_SECONDS) + 2):
        node = send_heartbeat(node, 100.0 + second)
    node = send_heartbeat(node, 102.0 + FORGET_AFTER_SECONDS, "dispatcher-2")
    assert not is_upstream_removed(node, 102.0 + FORGET_AFTER_SECONDS, "dispatcher-2")


def test_upstream_listed_by_the_platform_is_not_removed() -> None:
    node = make_node(100.0, "dispatcher-2")
    for second in range(int(FORGET_AFTER_SECONDS) + 2):
        node = send_heartbeat(node, 100.0 + second, "dispatcher-2")
    now = 101.0 + FORGET_AFTER_SECONDS
    assert not is_upstream_removed(node, now, "dispatcher-1", "dispatcher-2")
