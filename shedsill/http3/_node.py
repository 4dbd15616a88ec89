"""Configuration, membership and heartbeats, which all nodes have in common."""

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
    list_live_members,
    merge_reports,
    remove_silent_members,
)
from shedsill.coordination.platform import Found, Get, StoredObject
from shedsill.coordination.propagation import (
    Propagation,
    handle_generation,
    record_applied,
    record_pull_failure,
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
    PullConfiguration,
    Send,
    WriteLog,
)
from shedsill.http3._events import PlatformAnswered
from shedsill.http3._frames import Frame, Heartbeat, Load, NodeReport
from shedsill.http3._platform_purposes import Purpose

HEARTBEAT_INTERVAL_SECONDS = 1.0
CONFIGURATION_READ_INTERVAL_SECONDS = 1.0
CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "accepted"


@frozen(kw_only=True)
class Node:
    """State that does not depend on the role of a node.

    Attributes
    ----------
    seed_addresses : tuple of Address
        Peers from the settings, to which heartbeats go before others are known.
    heartbeat_number : int
        Number of heartbeats sent.
    next_heartbeat_at : float
        Local time of the next heartbeat.
    next_configuration_read_at : float
        Local time of the next read of the accepted configuration from the
        platform, as long as none is in force.
    peers_live_since : float or None
        Local time since which at least one other node was live at each heartbeat;
        None if none was at the last one.
    stopping : bool
        Whether a planned stop has begun.
    """

    name: str
    address: Address
    balancer: bool
    incarnation: int
    seed_addresses: tuple[Address, ...] = ()
    configuration: Configuration = field(factory=Configuration)
    propagation: Propagation = field(factory=Propagation)
    membership: Membership = field(factory=Membership)
    heartbeat_number: int = 0
    next_heartbeat_at: float = 0.0
    next_configuration_read_at: float = 0.0
    peers_live_since: float | None = None
    stopping: bool = False


@frozen(kw_only=True)
class HeartbeatPayload:
    """Numbers and load of an agent, as its heartbeats report them.

    A balancer's heartbeats contain the default values.
    """

    service: int = 0
    upstream: int = 0
    load: Load = field(factory=Load)


def make_report(node: Node) -> NodeReport:
    """Return a node's report on itself."""
    return NodeReport(
        name=node.name,
        address=node.address,
        balancer=node.balancer,
        incarnation=node.incarnation,
        heartbeat_number=node.heartbeat_number,
        generation=node.configuration.generation,
        leaving=node.stopping,
    )


def make_heartbeat(
    node: Node, payload: HeartbeatPayload, *, now: float, seed: int
) -> Heartbeat:
    """Return a heartbeat with this node's report and reports on other nodes."""
    reports = choose_reports(node.membership, make_report(node), now, seed)
    return _build_heartbeat_frame(node, payload, reports, probe=True)


def make_probe(node: Node, payload: HeartbeatPayload) -> Heartbeat:
    """Return a heartbeat with only this node's report, which requests an answer."""
    return _build_heartbeat_frame(node, payload, (make_report(node),), probe=True)


def make_probe_answer(node: Node, payload: HeartbeatPayload) -> Heartbeat:
    """Return the heartbeat that answers a peer's heartbeat or probe."""
    return _build_heartbeat_frame(node, payload, (make_report(node),), probe=False)


def _build_heartbeat_frame(
    node: Node,
    payload: HeartbeatPayload,
    reports: tuple[NodeReport, ...],
    *,
    probe: bool,
) -> Heartbeat:
    return Heartbeat(
        generation=node.configuration.generation,
        service=payload.service,
        upstream=payload.upstream,
        load=payload.load,
        reports=reports,
        probe=probe,
    )


def send_heartbeats(
    node: Node,
    payload: HeartbeatPayload,
    probed: Iterable[Address] = (),
    *,
    now: float,
    seed: int,
) -> tuple[Node, list[Effect]]:
    """Send heartbeats and probes, if they are due.

    Parameters
    ----------
    probed : iterable of Address
        Peers to probe in addition to those chosen for a heartbeat.
    """
    if now < node.next_heartbeat_at:
        return node, []
    logs = _log_silent_members(node, now)
    node = evolve(
        node,
        heartbeat_number=node.heartbeat_number + 1,
        next_heartbeat_at=now + HEARTBEAT_INTERVAL_SECONDS,
        membership=remove_silent_members(node.membership, now),
        peers_live_since=_find_peers_live_since(node, now),
    )
    peers = choose_peers(list_peer_groups(node, now), node.address, seed)
    frame = make_heartbeat(node, payload, now=now, seed=seed)
    effects: list[Effect] = [Send(destination=peer, frame=frame) for peer in peers]
    probe = make_probe(node, payload)
    probed_addresses = sorted(set(probed) - set(peers))
    effects += [Send(destination=peer, frame=probe) for peer in probed_addresses]
    return node, logs + effects


def _find_peers_live_since(node: Node, now: float) -> float | None:
    if not list_live_members(node.membership, now):
        return None
    return now if node.peers_live_since is None else node.peers_live_since


def is_lost(node: Node, name: str, now: float) -> bool:
    """Whether no node has heard of a member for `FORGET_AFTER_SECONDS`.

    False as long as this node itself has not had live peers for that time, as after
    its start, because it may have missed the reports.
    """
    if name in node.membership.members or node.peers_live_since is None:
        return False
    return now - node.peers_live_since > FORGET_AFTER_SECONDS


def _log_silent_members(node: Node, now: float) -> list[Effect]:
    """Return log effects for members that became silent since the last heartbeat."""
    return [
        WriteLog(event=LogEvent.MEMBER_SILENT, fields={"node": member.report.name})
        for member in node.membership.members.values()
        if SILENT_AFTER_SECONDS
        <= now - member.last_heard_at
        < SILENT_AFTER_SECONDS + HEARTBEAT_INTERVAL_SECONDS
    ]


def list_peer_groups(node: Node, now: float) -> tuple[tuple[Address, ...], ...]:
    """Return the groups of addresses from which heartbeat peers are chosen."""
    live = tuple(
        member.report.address for member in list_live_members(node.membership, now)
    )
    return (live, node.configuration.agent_addresses, node.seed_addresses)


def handle_gossip(
    node: Node, frame: Frame, source: Address, now: float
) -> tuple[Node, list[Effect]]:
    """Handle the generation of a frame and the node reports of a heartbeat."""
    effects: list[Effect] = []
    propagation, pull = handle_generation(
        node.propagation, frame.generation, source, now
    )
    if propagation is not node.propagation:
        node = evolve(node, propagation=propagation)
    if pull is not None:
        fields = {"peer": str(source), "generation": frame.generation}
        effects.append(WriteLog(event=LogEvent.CONFIGURATION_PULLED, fields=fields))
        effects.append(PullConfiguration(peer=pull.peer))
    if isinstance(frame, Heartbeat):
        node, joined = _merge_reports(node, frame, now)
        effects += joined
    return node, effects


def _merge_reports(
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


def apply_newer_configuration(
    node: Node, configuration: Configuration
) -> tuple[Node, list[Effect]]:
    """Apply a configuration if its generation is higher than the current one."""
    if not is_newer(configuration, node.configuration):
        node = evolve(node, propagation=record_pull_failure(node.propagation))
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
        propagation=record_applied(node.propagation, configuration.generation),
    )
    fields = {"generation": configuration.generation}
    return node, [
        WriteLog(event=LogEvent.CONFIGURATION_APPLIED, fields=fields),
        ApplyConfiguration(configuration=configuration),
    ]


def request_first_configuration(node: Node, now: float) -> tuple[Node, list[Effect]]:
    """Request the configuration from the platform as long as this node has none.

    Later configurations come from peers, so that the platform's load does not grow
    with the number of nodes.
    """
    if node.configuration.generation > 0 or now < node.next_configuration_read_at:
        return node, []
    call = Get(kind=CONFIGURATION_KIND, name=CONFIGURATION_NAME)
    effect = CallPlatform(purpose=Purpose.CONFIGURATION, call=call)
    return evolve(
        node, next_configuration_read_at=now + CONFIGURATION_READ_INTERVAL_SECONDS
    ), [effect]


def decode_configuration_answer(event: PlatformAnswered) -> Configuration | None:
    """Return the configuration in the platform's answer, if it is valid."""
    match event.outcome:
        case Found(object=StoredObject(value=value)):
            try:
                return decode_configuration(value)
            except DecodeError:
                return None
        case _:
            return None
