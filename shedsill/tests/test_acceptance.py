"""When the acceptor takes an upstream for drained without its agent's word.

Found by looking in this product for the cause that `test_datagram_deafness.py` tells
of: an acceptor that had just started had heard of no node yet, and took that for a
minute in which none had been heard.  An upstream that drained on a VM which the
platform's list lagged behind on was taken out under its flows.
"""

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
    """Return a node that heard of others just now."""
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


def is_taken_out(node: Node, now: float, *listed: str) -> bool:
    """Whether the next configuration lacks the upstream that drains."""
    acceptor = Acceptor(
        lease=Lease(kind="lease", name="x", node="b1", time_to_live=3.0),
        listed_machines=frozenset(listed),
    )
    base = Configuration(generation=3, upstreams=(UPSTREAM,))
    node = evolve(node, configuration=base)
    listing = Listing(objects=(), revision=9)
    acceptor, _effects = handle_listing(acceptor, node, listing, now)
    wanted = acceptor.pending_configuration or base
    return not wanted.upstreams


def beat(node: Node, now: float, *heard: str) -> Node:
    """Let a beat pass at which a node has just heard of others."""
    node, _effects = send_heartbeats(node, HeartbeatPayload(), now=now, seed=1)
    return evolve(node, membership=make_node(now, *heard).membership)


@pytest.mark.parametrize("listening", [0.0, FORGET_AFTER_SECONDS / 2])
def test_an_upstream_never_heard_of_by_a_new_acceptor_is_not_drained(
    listening: float,
) -> None:
    node = beat(make_node(100.0, "dispatcher-2"), 100.0, "dispatcher-2")
    node = beat(node, 100.0 + listening, "dispatcher-2")
    assert not is_taken_out(node, 100.0 + listening, "dispatcher-2")


def test_one_that_nobody_heard_of_for_a_minute_is_drained() -> None:
    node = make_node(100.0, "dispatcher-2")
    for second in range(int(FORGET_AFTER_SECONDS) + 2):
        node = beat(node, 100.0 + second, "dispatcher-2")
    assert is_taken_out(node, 101.0 + FORGET_AFTER_SECONDS, "dispatcher-2")


def test_a_minute_in_which_the_acceptor_heard_nobody_does_not_count() -> None:
    node = make_node(100.0, "dispatcher-2")
    for second in range(int(FORGET_AFTER_SECONDS) + 2):
        node = beat(node, 100.0 + second)
    node = beat(node, 102.0 + FORGET_AFTER_SECONDS, "dispatcher-2")
    assert not is_taken_out(node, 102.0 + FORGET_AFTER_SECONDS, "dispatcher-2")


def test_one_that_the_platform_lists_is_never_taken_out() -> None:
    node = make_node(100.0, "dispatcher-2")
    for second in range(int(FORGET_AFTER_SECONDS) + 2):
        node = beat(node, 100.0 + second, "dispatcher-2")
    now = 101.0 + FORGET_AFTER_SECONDS
    assert not is_taken_out(node, now, "dispatcher-1", "dispatcher-2")
