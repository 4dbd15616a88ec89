"""Gossip membership: heartbeats that carry reports of other nodes.

Each node numbers its heartbeats.  A report with a higher incarnation or heartbeat
number replaces an older one, regardless of its sender.  A node whose heartbeat number
has not increased for `SILENT_AFTER_SECONDS` is silent.  Clocks of nodes are not
compared.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import immutables
from attrs import field, frozen

from shedsill._addresses import Address

SILENT_AFTER_SECONDS = 5.0  # without a newer report
FORGET_AFTER_SECONDS = 60.0  # without a newer report
FAN_OUT = 3  # peers to which each heartbeat is sent
REPORTS_PER_HEARTBEAT = 8
DRAWS_PER_PEER = 4  # a draw may repeat a peer or yield the node itself
MAX_MEMBERS = 512


@frozen(kw_only=True)
class NodeReport:
    """State of a node as spread by heartbeats.

    Attributes
    ----------
    balancer : bool
        Whether the node is a balancer.
    heartbeat_number : int
        Number of heartbeats sent by this incarnation.
    generation : int
        Generation of the configuration that the node has applied.
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
    """The newest report of a node.

    Attributes
    ----------
    last_heard_at : float
        Local time at which the report was first received, from any node.
    """

    report: NodeReport
    last_heard_at: float


@frozen(kw_only=True)
class Membership:
    """Members as known to one node.

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
    """Whether a report is newer than the known one.

    Incarnations increase with each start of a node.
    """
    if report.incarnation != known.incarnation:
        return report.incarnation > known.incarnation
    return report.heartbeat_number > known.heartbeat_number


def merge_reports(
    membership: Membership, reports: Iterable[NodeReport], now: float
) -> Membership:
    """Merge the reports of a heartbeat.

    A node whose clock went back starts with a lower incarnation, which is accepted
    once the higher one is silent.  The number of members is limited to
    `MAX_MEMBERS`; with more nodes, they are a sample.
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
    """Remove members that have been silent for `FORGET_AFTER_SECONDS`."""
    members = membership.members
    for name, member in membership.members.items():
        if now - member.last_heard_at > FORGET_AFTER_SECONDS:
            members = members.delete(name)
    return Membership(members=members)


def list_live_members(membership: Membership, now: float) -> tuple[Member, ...]:
    """Return the members that are not silent, sorted by name."""
    found = [
        m
        for m in membership.members.values()
        if now - m.last_heard_at < SILENT_AFTER_SECONDS
    ]
    return tuple(sorted(found, key=lambda m: m.report.name))


def choose_reports(
    membership: Membership, own: NodeReport, now: float, seed: int
) -> tuple[NodeReport, ...]:
    """Choose the reports of a heartbeat: the node's own and a sample of others."""
    live = [
        m.report
        for m in list_live_members(membership, now)
        if m.report.name != own.name
    ]
    count = min(len(live), REPORTS_PER_HEARTBEAT - 1)
    return (own, *random.Random(seed).sample(live, count))


def choose_peers(
    groups: Sequence[Sequence[Address]], own: Address, seed: int
) -> tuple[Address, ...]:
    """Choose the peers to which a heartbeat is sent.

    The time taken does not depend on the number of peers.  A peer in several groups
    is chosen more often.

    Examples
    --------
    >>> here, there = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
    >>> choose_peers([[here, there], []], here, seed=1)
    (Address(host='127.0.0.1', port=2),)
    """
    generator = random.Random(seed)
    nonempty = [group for group in groups if group]
    chosen: set[Address] = set()
    for _ in range(FAN_OUT * DRAWS_PER_PEER):
        if not nonempty or len(chosen) == FAN_OUT:
            break
        group = generator.choices(nonempty, [len(group) for group in nonempty])[0]
        peer = group[generator.randrange(len(group))]
        if peer != own:
            chosen.add(peer)
    return tuple(sorted(chosen))
