"""Which nodes are alive, by heartbeats that pass reports on.

Each node counts its own beats.  A report with a higher incarnation or beat
replaces an older one, whoever hands it on; a node whose beat has not grown for
a while counts as silent.  No clock is compared between nodes.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import immutables
from attrs import field, frozen

from shedsill._addresses import Address

SILENT_AFTER_SECONDS = 5.0
FORGET_AFTER_SECONDS = 60.0
FAN_OUT = 3
REPORTS_PER_HEARTBEAT = 8
DRAWS_PER_PEER = 4
MAX_MEMBERS = 512


@frozen(kw_only=True)
class NodeReport:
    """What is known of one node.

    Attributes
    ----------
    heartbeat_number : int
        Counts the heartbeats of one incarnation; the higher one is newer.
    """

    name: str
    address: Address
    balancer: bool
    incarnation: int
    heartbeat_number: int
    generation: int
    leaving: bool = False


@frozen(kw_only=True)
class Member:
    """A report and the local time at which it was news."""

    report: NodeReport
    last_heard_at: float


@frozen(kw_only=True)
class Membership:
    """The members known to one node.

    Examples
    --------
    >>> address = Address("127.0.0.1", 7000)
    >>> report = NodeReport(
    ...     name="b1", address=address, balancer=True,
    ...     incarnation=1, heartbeat_number=4, generation=2,
    ... )
    >>> view = merge_reports(Membership(), (report,), now=10.0)
    >>> [m.report.name for m in list_live_members(view, now=11.0)]
    ['b1']
    >>> list_live_members(view, now=20.0)
    ()
    """

    members: immutables.Map[str, Member] = field(factory=immutables.Map)


def is_newer(report: NodeReport, known: NodeReport) -> bool:
    """Whether a report is newer than the one known.

    Incarnations grow with each start of a node.
    """
    if report.incarnation != known.incarnation:
        return report.incarnation > known.incarnation
    return report.heartbeat_number > known.heartbeat_number


def merge_reports(
    membership: Membership, reports: Iterable[NodeReport], now: float
) -> Membership:
    """Take in the reports of one heartbeat.

    A node whose clock went back starts with a lower incarnation; it is believed
    once the higher one has fallen silent.  A view holds `MAX_MEMBERS` at most;
    where there are more nodes it is a sample of them.
    """
    members = membership.members
    for report in reports:
        known = members.get(report.name)
        silent = known is not None and now - known.last_heard_at >= SILENT_AFTER_SECONDS
        if known is None and len(members) >= MAX_MEMBERS:
            continue
        restarted = silent and report.incarnation != known.report.incarnation
        if known is None or restarted or is_newer(report, known.report):
            members = members.set(report.name, Member(report=report, last_heard_at=now))
    if members is membership.members:
        return membership
    return Membership(members=members)


def remove_silent_members(membership: Membership, now: float) -> Membership:
    """Drop members that have long been silent."""
    members = membership.members
    for name, member in membership.members.items():
        if now - member.last_heard_at > FORGET_AFTER_SECONDS:
            members = members.delete(name)
    return Membership(members=members)


def list_live_members(membership: Membership, now: float) -> tuple[Member, ...]:
    """Return the members heard of lately, by name."""
    found = [
        m
        for m in membership.members.values()
        if now - m.last_heard_at < SILENT_AFTER_SECONDS
    ]
    return tuple(sorted(found, key=lambda m: m.report.name))


def choose_reports(
    membership: Membership, own: NodeReport, now: float, seed: int
) -> tuple[NodeReport, ...]:
    """Choose the reports that one heartbeat carries, the node's own first."""
    live = [
        m.report
        for m in list_live_members(membership, now)
        if m.report.name != own.name
    ]
    wanted = min(len(live), REPORTS_PER_HEARTBEAT - 1)
    return (own, *random.Random(seed).sample(live, wanted))


def choose_peers(
    groups: Sequence[Sequence[Address]], own: Address, seed: int
) -> tuple[Address, ...]:
    """Choose the few peers to which this beat goes.

    Takes as long for many peers as for few.  A peer in several groups is
    chosen more often.

    Examples
    --------
    >>> here, there = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
    >>> choose_peers([[here, there], []], here, seed=1)
    (Address(host='127.0.0.1', port=2),)
    """
    generator = random.Random(seed)
    filled = [group for group in groups if group]
    chosen: set[Address] = set()
    for _ in range(FAN_OUT * DRAWS_PER_PEER):
        if not filled or len(chosen) == FAN_OUT:
            break
        group = generator.choices(filled, [len(group) for group in filled])[0]
        peer = group[generator.randrange(len(group))]
        if peer != own:
            chosen.add(peer)
    return tuple(sorted(chosen))
