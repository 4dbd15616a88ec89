"""What every node keeps: its configuration, its peers and its heartbeat."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve, field, frozen

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill.coordination.membership import (
    FORGET_AFTER_SECONDS,
    SILENT_AFTER_SECONDS,
    Membership,
    choose_peers,
    choose_reports,
    remove_silent_members,
    list_live_members,
    merge_reports,
)
from shedsill.coordination.platform import Found, Get, StoredObject
from shedsill.coordination.propagation import (
    Propagation,
    record_applied,
    record_pull_failure,
    handle_generation,
)
from shedsill.errors import DecodeError
from shedsill.http3._configuration import (
    Configuration,
    decode_configuration,
    is_newer,
)
from shedsill.http3._effects import (
    ApplyConfiguration,
    CallPlatform,
    Effect,
    WriteLog,
    PullConfiguration,
    Send,
)
from shedsill.http3._events import PlatformAnswered
from shedsill.http3._frames import Frame, Heartbeat, Load, NodeReport
from shedsill.http3._purposes import Purpose

BEAT_INTERVAL = 1.0
READ_INTERVAL = 1.0
CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "accepted"


@frozen(kw_only=True)
class Node:
    """The part of a node's state that does not depend on its role.

    Attributes
    ----------
    seeds : tuple of Address
        Peers from the settings, for the time before others are known.
    next_beat : float
        Local time of the next heartbeat.
    next_read : float
        Local time of the next read of the accepted configuration, while there
        is none.
    listening_since : float or None
        Since when, at each beat, some other node had been heard of lately; None
        where none was at the last one.
    stopping : bool
        Whether a planned stop has begun.
    """

    name: str
    address: Address
    balancer: bool
    incarnation: int
    seeds: tuple[Address, ...] = ()
    configuration: Configuration = field(factory=Configuration)
    spread: Propagation = field(factory=Propagation)
    membership: Membership = field(factory=Membership)
    beat: int = 0
    next_beat: float = 0.0
    next_read: float = 0.0
    listening_since: float | None = None
    stopping: bool = False


@frozen(kw_only=True)
class Vitals:
    """What a heartbeat says of its sender beside the membership."""

    service: int = 0
    upstream: int = 0
    load: Load = field(factory=Load)


def make_report(node: Node) -> NodeReport:
    """Return the report that a node gives of itself."""
    return NodeReport(
        name=node.name,
        address=node.address,
        balancer=node.balancer,
        incarnation=node.incarnation,
        heartbeat_number=node.beat,
        generation=node.configuration.generation,
        leaving=node.stopping,
    )


def make_heartbeat(node: Node, vitals: Vitals, *, now: float, seed: int) -> Heartbeat:
    """Return a heartbeat that passes on what this node knows of others."""
    reports = choose_reports(node.membership, make_report(node), now, seed)
    return _fill_heartbeat(node, vitals, reports, probe=True)


def make_probe(node: Node, vitals: Vitals) -> Heartbeat:
    """Return a short heartbeat that asks a peer whether it is alive."""
    return _fill_heartbeat(node, vitals, (make_report(node),), probe=True)


def make_answer(node: Node, vitals: Vitals) -> Heartbeat:
    """Return the short heartbeat that answers one of a peer."""
    return _fill_heartbeat(node, vitals, (make_report(node),), probe=False)


def _fill_heartbeat(
    node: Node, vitals: Vitals, reports: tuple[NodeReport, ...], *, probe: bool
) -> Heartbeat:
    return Heartbeat(
        generation=node.configuration.generation,
        service=vitals.service,
        upstream=vitals.upstream,
        load=vitals.load,
        reports=reports,
        probe=probe,
    )


def send_heartbeats(
    node: Node,
    vitals: Vitals,
    extra: Iterable[Address] = (),
    *,
    now: float,
    seed: int,
) -> tuple[Node, list[Effect]]:
    """Send the heartbeats of one beat, if it is due.

    Parameters
    ----------
    extra : iterable of Address
        Peers that have to be asked whether they are alive.
    """
    if now < node.next_beat:
        return node, []
    silent = _find_silent(node, now)
    node = evolve(
        node,
        beat=node.beat + 1,
        next_beat=now + BEAT_INTERVAL,
        membership=remove_silent_members(node.membership, now),
        listening_since=_find_listening_since(node, now),
    )
    peers = choose_peers(list_peers(node, now), node.address, seed)
    frame = make_heartbeat(node, vitals, now=now, seed=seed)
    effects: list[Effect] = [Send(destination=peer, frame=frame) for peer in peers]
    probe = make_probe(node, vitals)
    asked = sorted(set(extra) - set(peers))
    effects += [Send(destination=peer, frame=probe) for peer in asked]
    return node, silent + effects


def _find_listening_since(node: Node, now: float) -> float | None:
    if not list_live_members(node.membership, now):
        return None
    return now if node.listening_since is None else node.listening_since


def is_forgotten(node: Node, name: str, now: float) -> bool:
    """Whether a member was not heard of by any node for a minute.

    A node that has just started, or has heard nobody itself, cannot tell.
    """
    if name in node.membership.members or node.listening_since is None:
        return False
    return now - node.listening_since > FORGET_AFTER_SECONDS


def _find_silent(node: Node, now: float) -> list[Effect]:
    """Note members whose silence became known since the last beat."""
    return [
        WriteLog(event=LogEvent.MEMBER_SILENT, fields={"node": member.report.name})
        for member in node.membership.members.values()
        if SILENT_AFTER_SECONDS <= now - member.last_heard_at < SILENT_AFTER_SECONDS + BEAT_INTERVAL
    ]


def list_peers(node: Node, now: float) -> tuple[tuple[Address, ...], ...]:
    """Return the groups of addresses to which a heartbeat may go."""
    live = tuple(member.report.address for member in list_live_members(node.membership, now))
    return (live, node.configuration.agent_addresses, node.seeds)


def hear_frame(
    node: Node, frame: Frame, source: Address, now: float
) -> tuple[Node, list[Effect]]:
    """Take in what any frame says: a generation, and perhaps reports."""
    effects: list[Effect] = []
    spread, pull = handle_generation(node.spread, frame.generation, source, now)
    if spread is not node.spread:
        node = evolve(node, spread=spread)
    if pull is not None:
        fields = {"peer": str(source), "generation": frame.generation}
        effects.append(WriteLog(event=LogEvent.CONFIGURATION_PULLED, fields=fields))
        effects.append(PullConfiguration(peer=pull.peer))
    if isinstance(frame, Heartbeat):
        node, joined = _hear_reports(node, frame, now)
        effects += joined
    return node, effects


def _hear_reports(
    node: Node, frame: Heartbeat, now: float
) -> tuple[Node, list[Effect]]:
    others = [report for report in frame.reports if report.name != node.name]
    before = node.membership.members
    membership = merge_reports(node.membership, others, now)
    effects: list[Effect] = [
        WriteLog(
            event=LogEvent.MEMBER_JOINED,
            fields={"node": report.name, "address": str(report.address)},
        )
        for report in others
        if report.name not in before
    ]
    return evolve(node, membership=membership), effects


def offer_configuration(
    node: Node, configuration: Configuration
) -> tuple[Node, list[Effect]]:
    """Apply a configuration if its generation is higher; never go back."""
    if not is_newer(configuration, node.configuration):
        node = evolve(node, spread=record_pull_failure(node.spread))
        if configuration.generation == node.configuration.generation:
            return node, []
        fields = {
            "offered": configuration.generation,
            "generation": node.configuration.generation,
        }
        return node, [WriteLog(event=LogEvent.CONFIGURATION_STALE, fields=fields)]
    node = evolve(
        node,
        configuration=configuration,
        spread=record_applied(node.spread, configuration.generation),
    )
    fields = {"generation": configuration.generation}
    return node, [
        WriteLog(event=LogEvent.CONFIGURATION_APPLIED, fields=fields),
        ApplyConfiguration(configuration=configuration),
    ]


def read_first(node: Node, now: float) -> tuple[Node, list[Effect]]:
    """Ask the platform for the configuration while this node has none.

    Later ones come from peers, so that the platform's load does not grow with
    the number of nodes.
    """
    if node.configuration.generation > 0 or now < node.next_read:
        return node, []
    call = Get(kind=CONFIGURATION_KIND, name=CONFIGURATION_NAME)
    effect = CallPlatform(purpose=Purpose.CONFIGURATION, call=call)
    return evolve(node, next_read=now + READ_INTERVAL), [effect]


def decode_answer(event: PlatformAnswered) -> Configuration | None:
    """Return the configuration that the platform answered with, if it did."""
    match event.outcome:
        case Found(object=StoredObject(value=value)):
            try:
                return decode_configuration(value)
            except DecodeError:
                return None
        case _:
            return None
