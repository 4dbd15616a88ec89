"""How the lease holder turns stored resources into the accepted configuration.

Correctness rests on conditional updates alone: the accepted configuration is
one object, and a write that finds another version than the one it was worked
out from has no effect.  The lease only saves calls.
"""

from __future__ import annotations

from typing import Any

import immutables
from attrs import evolve, field, frozen

from shedsill._catalogue import LogEvent
from shedsill.coordination.lease import Lease, is_held
from shedsill.coordination.membership import list_live_members
from shedsill.coordination.platform import List as ListCall
from shedsill.coordination.platform import (
    Listing,
    ListMachines,
    Machines,
    Put,
    StoredObject,
    Watch,
)
from shedsill.errors import DecodeError, DocumentError
from shedsill.http3._accepting import (
    Acceptance,
    Inputs,
    InvalidResource,
    Verdict,
    VerdictKind,
    accept,
)
from shedsill.http3._configuration import (
    Configuration,
    UpstreamState,
    decode_configuration,
    encode_configuration,
    is_newer,
)
from shedsill.http3._effects import CallPlatform, Effect, WriteLog
from shedsill.http3._node import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    Node,
    is_forgotten,
)
from shedsill.http3._purposes import Purpose
from shedsill.http3._resources import (
    KINDS,
    Action,
    Change,
    Service,
    UpstreamSet,
    decode_spec,
)
from shedsill.http3._status import NODE_KIND, NodeStatus

STATUS_KIND = "status"
CLUSTER_STATUS = "cluster"
WATCHED_KINDS = (*KINDS, NODE_KIND, CONFIGURATION_KIND)
LISTED_KINDS = (*WATCHED_KINDS, STATUS_KIND)
WATCH_PATIENCE = 10.0
MAX_STATUS_WRITES = 20
RETRY_PAUSE = 0.5
MACHINES_INTERVAL = 3.0
CLUSTER_STATUS_INTERVAL = 1.0
MAX_CANDIDATES = 3


@frozen(kw_only=True)
class Acceptor:
    """The acceptance part of a balancer's state.

    Attributes
    ----------
    calling : frozenset of Purpose
        Calls that have not been answered.
    revision : int
        Highest revision of the platform seen.
    current : bool
        Whether the last listing has been dealt with, so that a watch is due.
    failing : bool
        Whether the last answer of the platform was none.
    pending : Configuration or None
        What was written and is not yet known to be stored.
    gone : frozenset of str
        VMs that the platform's list does not have.
    """

    lease: Lease
    calling: frozenset[Purpose] = frozenset()
    revision: int = -1
    current: bool = False
    next_list: float = 0.0
    next_machines: float = 0.0
    next_cluster: float = 0.0
    pending: Configuration | None = None
    leaving: frozenset[str] = frozenset()
    present: frozenset[str] = frozenset()
    failing: bool = False
    cluster_version: int = 0
    cluster_value: immutables.Map[str, Any] = field(factory=immutables.Map)


def is_candidate(node: Node, now: float) -> bool:
    """Whether this balancer is among the few that try for the lease."""
    others = [
        member.report.name
        for member in list_live_members(node.membership, now)
        if member.report.balancer and not member.report.leaving
    ]
    names = sorted({*others, node.name})
    return not node.stopping and node.name in names[:MAX_CANDIDATES]


def plan_calls(
    acceptor: Acceptor, node: Node, now: float
) -> tuple[Acceptor, list[Effect]]:
    """Return the platform calls that the lease holder has to make now."""
    effects: list[Effect] = []
    if not is_held(acceptor.lease, now):
        return acceptor, effects
    if _is_due(acceptor, Purpose.MACHINES, acceptor.next_machines, now):
        acceptor = start_call(acceptor, Purpose.MACHINES)
        effects.append(CallPlatform(purpose=Purpose.MACHINES, call=ListMachines()))
    acceptor, more = _plan_cluster_status(acceptor, node, now)
    effects += more
    busy = {Purpose.LIST, Purpose.WATCH, Purpose.ACCEPT} & acceptor.calling
    if busy or now < acceptor.next_list:
        return acceptor, effects
    if acceptor.current:
        call = Watch(
            kinds=WATCHED_KINDS, revision=acceptor.revision, patience=WATCH_PATIENCE
        )
        effects.append(CallPlatform(purpose=Purpose.WATCH, call=call))
        return start_call(acceptor, Purpose.WATCH), effects
    effects.append(
        CallPlatform(purpose=Purpose.LIST, call=ListCall(kinds=LISTED_KINDS))
    )
    return start_call(acceptor, Purpose.LIST), effects


def _is_due(acceptor: Acceptor, purpose: Purpose, at: float, now: float) -> bool:
    return purpose not in acceptor.calling and now >= at


def start_call(acceptor: Acceptor, purpose: Purpose) -> Acceptor:
    """Note that a call was sent."""
    return evolve(acceptor, calling=acceptor.calling | {purpose})


def end_call(acceptor: Acceptor, purpose: Purpose) -> Acceptor:
    """Note that a call was answered."""
    return evolve(acceptor, calling=acceptor.calling - {purpose})


def list_again(acceptor: Acceptor, now: float, *, pause: float) -> Acceptor:
    """Have the resources listed once more after a pause."""
    return evolve(acceptor, current=False, next_list=now + pause)


def take_machines(acceptor: Acceptor, machines: Machines, now: float) -> Acceptor:
    """Take in the platform's list of VMs."""
    before = acceptor.leaving
    leaving = frozenset(m.name for m in machines.machines if m.leaving)
    present = frozenset(m.name for m in machines.machines)
    acceptor = evolve(
        acceptor,
        leaving=leaving,
        present=present,
        next_machines=now + MACHINES_INTERVAL,
    )
    if leaving == before:
        return acceptor
    return list_again(acceptor, now, pause=0.0)


def take_listing(
    acceptor: Acceptor, node: Node, listing: Listing, now: float
) -> tuple[Acceptor, list[Effect]]:
    """Work out the next configuration, or else write the statuses that differ."""
    if listing.revision < acceptor.revision:
        return list_again(acceptor, now, pause=RETRY_PAUSE), []
    acceptor = evolve(acceptor, revision=listing.revision)
    index = {(o.kind, o.name): o for o in listing.objects}
    stored = index.get((CONFIGURATION_KIND, CONFIGURATION_NAME))
    base = _read_stored(stored)
    if base is None or is_newer(node.configuration, base):
        base = node.configuration
    if _has_lost_resources(base, listing):
        fields = {"generation": base.generation}
        note = WriteLog(event=LogEvent.RESOURCES_MISSING, fields=fields)
        return evolve(acceptor, current=True), [note]
    inputs = _make_inputs(acceptor, node, listing, base, now)
    acceptance = accept(base, inputs)
    wanted = acceptance.configuration
    if stored is None or wanted != _read_stored(stored):
        version = stored.version if stored else 0
        return _write_configuration(acceptor, wanted, base, version)
    acceptor, effects = _write_statuses(acceptor, acceptance, inputs, index)
    return evolve(acceptor, current=True), effects


def _has_lost_resources(base: Configuration, listing: Listing) -> bool:
    """Whether the platform holds no service at all although some are in force.

    A platform that came back empty must not drain every upstream.
    """
    names = {item.kind for item in listing.objects}
    return bool(base.services) and "service" not in names


def read_accepted(listing: Listing) -> Configuration | None:
    """Return the accepted configuration that a listing holds, if it has one."""
    for item in listing.objects:
        if (item.kind, item.name) == (CONFIGURATION_KIND, CONFIGURATION_NAME):
            return _read_stored(item)
    return None


def _read_stored(stored: StoredObject | None) -> Configuration | None:
    if stored is None:
        return None
    try:
        return decode_configuration(stored.value)
    except DecodeError:
        return None


def _write_configuration(
    acceptor: Acceptor, wanted: Configuration, base: Configuration, version: int
) -> tuple[Acceptor, list[Effect]]:
    if wanted.generation == 0:
        return evolve(acceptor, current=True), []
    call = Put(
        kind=CONFIGURATION_KIND,
        name=CONFIGURATION_NAME,
        value=encode_configuration(wanted),
        expected=version,
    )
    acceptor = evolve(start_call(acceptor, Purpose.ACCEPT), pending=wanted)
    return acceptor, [CallPlatform(purpose=Purpose.ACCEPT, call=call)]


def _make_inputs(
    acceptor: Acceptor, node: Node, listing: Listing, base: Configuration, now: float
) -> Inputs:
    services: list[Service] = []
    sets: list[UpstreamSet] = []
    changes: list[Change] = []
    invalid: list[InvalidResource] = []
    for item in listing.objects:
        if item.kind not in KINDS:
            continue
        try:
            resource = decode_spec(item.kind, item.name, item.value.get("spec", {}))
        except DocumentError as error:
            invalid.append(_make_invalid(item, str(error)))
            continue
        match resource:
            case Service():
                services.append(resource)
            case UpstreamSet():
                sets.append(resource)
            case Change():
                changes.append(resource)
    return Inputs(
        services=tuple(services),
        sets=tuple(sets),
        changes=tuple(changes),
        drained=_find_drained(acceptor, node, listing, base, now),
        leaving=acceptor.leaving | _find_leaving(listing),
        invalid=tuple(invalid),
    )


def _make_invalid(item: StoredObject, reason: str) -> InvalidResource:
    spec = item.value.get("spec")
    service = spec.get("service", "") if isinstance(spec, dict) else ""
    return InvalidResource(
        kind=item.kind, name=item.name, reason=reason, service=str(service)
    )


def _find_leaving(listing: Listing) -> frozenset[str]:
    """Return upstreams that leave by their agent's own word."""
    words = {NodeStatus.DRAINING.value, NodeStatus.DRAINED.value}
    return frozenset(
        item.name
        for item in listing.objects
        if item.kind == NODE_KIND
        and item.value.get("status") in words
        and item.value.get("stopping")
    )


def _find_drained(
    acceptor: Acceptor,
    node: Node,
    listing: Listing,
    base: Configuration,
    now: float,
) -> frozenset[int]:
    """Return upstreams taken out of their set on which no flow can be left.

    Either the agent says so, or its VM is neither on the platform's list nor
    heard of by any node for a minute.
    """
    reported = {
        item.value.get("upstream")
        for item in listing.objects
        if item.kind == NODE_KIND
        and item.value.get("status") == NodeStatus.DRAINED.value
    }
    drained = set()
    for upstream in base.upstreams:
        if upstream.state != UpstreamState.DRAINING:
            continue
        listed = not acceptor.present or upstream.name in acceptor.present
        dead = not listed and is_forgotten(node, upstream.name, now)
        if upstream.number in reported or dead:
            drained.add(upstream.number)
    return frozenset(drained)


def _write_statuses(
    acceptor: Acceptor,
    acceptance: Acceptance,
    inputs: Inputs,
    index: dict[tuple[str, str], StoredObject],
) -> tuple[Acceptor, list[Effect]]:
    effects: list[Effect] = []
    for verdict in acceptance.verdicts:
        kind, _, name = verdict.resource.partition("/")
        item = index.get((kind, name))
        status_name = f"{kind}.{name}"
        stored = index.get((STATUS_KIND, status_name))
        value = {
            "phase": _get_phase(verdict, acceptance.configuration, inputs, index),
            "reason": verdict.reason,
            "observed_version": item.version if item else 0,
        }
        if stored is not None and _is_same(stored.value, value):
            continue
        value["generation"] = acceptance.configuration.generation
        call = Put(
            kind=STATUS_KIND,
            name=status_name,
            value=value,
            expected=stored.version if stored else 0,
        )
        effects.append(
            CallPlatform(purpose=Purpose.STATUS, call=call, name=status_name)
        )
        if verdict.kind == VerdictKind.REJECTED:
            fields = {"resource": verdict.resource, "reason": verdict.reason}
            effects.append(WriteLog(event=LogEvent.RESOURCE_REJECTED, fields=fields))
    cluster = index.get((STATUS_KIND, CLUSTER_STATUS))
    if cluster is not None:
        acceptor = evolve(acceptor, cluster_version=cluster.version)
    return acceptor, effects[:MAX_STATUS_WRITES]


def _is_same(stored: dict[str, Any], value: dict[str, Any]) -> bool:
    return all(stored.get(key) == item for key, item in value.items())


def _get_phase(
    verdict: Verdict,
    configuration: Configuration,
    inputs: Inputs,
    index: dict[tuple[str, str], StoredObject],
) -> str:
    """Return ``accepted``, ``rejected``, or ``done`` for a finished change."""
    kind, _, name = verdict.resource.partition("/")
    if verdict.kind == VerdictKind.REJECTED or kind != "change":
        return verdict.kind.value
    change = next(c for c in inputs.changes if c.name == name)
    done = False
    match change.action:
        case Action.ROTATE_KEYS | Action.UNDRAIN:
            done = True
        case Action.STOP_BALANCER:
            node = index.get((NODE_KIND, change.target))
            status = node.value.get("status") if node else ""
            done = status == NodeStatus.STOPPED.value
        case Action.DRAIN:
            numbers = {u.number for u in configuration.upstreams}
            targets = [u for u in configuration.upstreams if u.name == change.target]
            done = all(u.number in inputs.drained & numbers for u in targets)
    return "done" if done else verdict.kind.value


def _plan_cluster_status(
    acceptor: Acceptor, node: Node, now: float
) -> tuple[Acceptor, list[Effect]]:
    """Write how many nodes have the generation in force, when that changes."""
    generation = node.configuration.generation
    if generation == 0 or not acceptor.current:
        return acceptor, []
    if not _is_due(acceptor, Purpose.STATUS, acceptor.next_cluster, now):
        return acceptor, []
    reports = [member.report for member in list_live_members(node.membership, now)]
    in_force = 1 + sum(1 for report in reports if report.generation >= generation)
    value = {
        "generation": generation,
        "in_force": in_force,
        "nodes": 1 + len(reports),
        "holder": node.name,
    }
    acceptor = evolve(acceptor, next_cluster=now + CLUSTER_STATUS_INTERVAL)
    if immutables.Map(value) == acceptor.cluster_value:
        return acceptor, []
    call = Put(
        kind=STATUS_KIND,
        name=CLUSTER_STATUS,
        value=value,
        expected=acceptor.cluster_version,
    )
    acceptor = start_call(acceptor, Purpose.STATUS)
    acceptor = evolve(acceptor, cluster_value=immutables.Map(value))
    effect = CallPlatform(purpose=Purpose.STATUS, call=call, name=CLUSTER_STATUS)
    return acceptor, [effect]
