"""Acceptance of stored resources by the lease holder.

The accepted configuration is one object, written by conditional updates: a write
fails if the stored version is not the one that it was derived from.  The lease is
not needed for correctness; it only avoids redundant calls.
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
from shedsill.http3._configuration import (
    Configuration,
    UpstreamState,
    decode_configuration,
    encode_configuration,
    is_newer,
)
from shedsill.http3._configuration_rules import (
    Acceptance,
    AcceptanceInputs,
    InvalidResource,
    Verdict,
    VerdictKind,
    accept_resources,
)
from shedsill.http3._effects import CallPlatform, Effect, WriteLog
from shedsill.http3._node import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    Node,
    is_lost,
)
from shedsill.http3._platform_purposes import Purpose
from shedsill.http3._resources import (
    RESOURCE_KINDS,
    Action,
    Change,
    Service,
    UpstreamSet,
    decode_spec,
)
from shedsill.http3._status import NODE_KIND, NodeStatus

STATUS_KIND = "status"
CLUSTER_STATUS_NAME = "cluster"
WATCHED_KINDS = (*RESOURCE_KINDS, NODE_KIND, CONFIGURATION_KIND)
LISTED_KINDS = (*WATCHED_KINDS, STATUS_KIND)
WATCH_TIMEOUT_SECONDS = 10.0
MAX_STATUS_WRITES = 20
RETRY_DELAY_SECONDS = 0.5
MACHINES_INTERVAL_SECONDS = 3.0
CLUSTER_STATUS_INTERVAL_SECONDS = 1.0
MAX_LEASE_CANDIDATES = 3


@frozen(kw_only=True)
class Acceptor:
    """Acceptance state of a balancer.

    Attributes
    ----------
    pending_calls : frozenset of Purpose
        Calls that have not been answered.
    revision : int
        Highest revision of the platform seen.
    listing_processed : bool
        Whether the last listing was processed, so that a watch can follow it.
    next_list_at, next_machines_at, next_cluster_status_at : float
        Local times of the next list, list of VMs and write of the cluster status.
    pending_configuration : Configuration or None
        Configuration whose write has not been confirmed.
    listed_machines, leaving_machines : frozenset of str
        VMs on the platform's last list, and those that it reports as leaving.
    platform_failing : bool
        Whether the last call to the platform was not answered.
    cluster_status_version, cluster_status_value : int, Map
        Cluster status as last stored, and as last written.
    """

    lease: Lease
    pending_calls: frozenset[Purpose] = frozenset()
    revision: int = -1
    listing_processed: bool = False
    next_list_at: float = 0.0
    next_machines_at: float = 0.0
    next_cluster_status_at: float = 0.0
    pending_configuration: Configuration | None = None
    leaving_machines: frozenset[str] = frozenset()
    listed_machines: frozenset[str] = frozenset()
    platform_failing: bool = False
    cluster_status_version: int = 0
    cluster_status_value: immutables.Map[str, Any] = field(factory=immutables.Map)


def is_lease_candidate(node: Node, now: float) -> bool:
    """Whether this balancer is among the few that compete for the lease."""
    others = [
        member.report.name
        for member in list_live_members(node.membership, now)
        if member.report.balancer and not member.report.leaving
    ]
    names = sorted({*others, node.name})
    return not node.stopping and node.name in names[:MAX_LEASE_CANDIDATES]


def plan_calls(
    acceptor: Acceptor, node: Node, now: float
) -> tuple[Acceptor, list[Effect]]:
    """Return the platform calls that are due, if this balancer holds the lease."""
    effects: list[Effect] = []
    if not is_held(acceptor.lease, now):
        return acceptor, effects
    if _is_due(acceptor, Purpose.MACHINES, acceptor.next_machines_at, now):
        acceptor = record_call_started(acceptor, Purpose.MACHINES)
        effects.append(CallPlatform(purpose=Purpose.MACHINES, call=ListMachines()))
    acceptor, more = _plan_cluster_status(acceptor, node, now)
    effects += more
    busy = {Purpose.LIST, Purpose.WATCH, Purpose.ACCEPT} & acceptor.pending_calls
    if busy or now < acceptor.next_list_at:
        return acceptor, effects
    if acceptor.listing_processed:
        call = Watch(
            kinds=WATCHED_KINDS,
            revision=acceptor.revision,
            patience=WATCH_TIMEOUT_SECONDS,
        )
        effects.append(CallPlatform(purpose=Purpose.WATCH, call=call))
        return record_call_started(acceptor, Purpose.WATCH), effects
    effects.append(
        CallPlatform(purpose=Purpose.LIST, call=ListCall(kinds=LISTED_KINDS))
    )
    return record_call_started(acceptor, Purpose.LIST), effects


def _is_due(acceptor: Acceptor, purpose: Purpose, at: float, now: float) -> bool:
    return purpose not in acceptor.pending_calls and now >= at


def record_call_started(acceptor: Acceptor, purpose: Purpose) -> Acceptor:
    """Record that a call was sent."""
    return evolve(acceptor, pending_calls=acceptor.pending_calls | {purpose})


def record_call_ended(acceptor: Acceptor, purpose: Purpose) -> Acceptor:
    """Record that a call was answered."""
    return evolve(acceptor, pending_calls=acceptor.pending_calls - {purpose})


def schedule_list(acceptor: Acceptor, now: float, *, delay: float) -> Acceptor:
    """Schedule a new list of the resources after a delay."""
    return evolve(acceptor, listing_processed=False, next_list_at=now + delay)


def record_machines(acceptor: Acceptor, machines: Machines, now: float) -> Acceptor:
    """Record the platform's list of VMs; list resources if the leaving VMs changed."""
    before = acceptor.leaving_machines
    leaving = frozenset(m.name for m in machines.machines if m.leaving)
    present = frozenset(m.name for m in machines.machines)
    acceptor = evolve(
        acceptor,
        leaving_machines=leaving,
        listed_machines=present,
        next_machines_at=now + MACHINES_INTERVAL_SECONDS,
    )
    if leaving == before:
        return acceptor
    return schedule_list(acceptor, now, delay=0.0)


def handle_listing(
    acceptor: Acceptor, node: Node, listing: Listing, now: float
) -> tuple[Acceptor, list[Effect]]:
    """Write the next configuration; if it is unchanged, write changed statuses."""
    if listing.revision < acceptor.revision:
        return schedule_list(acceptor, now, delay=RETRY_DELAY_SECONDS), []
    acceptor = evolve(acceptor, revision=listing.revision)
    index = {(o.kind, o.name): o for o in listing.objects}
    stored = index.get((CONFIGURATION_KIND, CONFIGURATION_NAME))
    base = _decode_stored(stored)
    if base is None or is_newer(node.configuration, base):
        base = node.configuration
    if _has_lost_resources(base, listing):
        fields = {"generation": base.generation}
        log = WriteLog(event=LogEvent.RESOURCES_MISSING, fields=fields)
        return evolve(acceptor, listing_processed=True), [log]
    inputs = _make_inputs(acceptor, node, listing, base, now)
    acceptance = accept_resources(base, inputs)
    configuration = acceptance.configuration
    if stored is None or configuration != _decode_stored(stored):
        version = stored.version if stored else 0
        return _write_configuration(acceptor, configuration, base, version)
    acceptor, effects = _write_statuses(acceptor, acceptance, inputs, index)
    return evolve(acceptor, listing_processed=True), effects


def _has_lost_resources(base: Configuration, listing: Listing) -> bool:
    """Whether the platform lists no service although some are in force.

    Prevents a platform that lost its data from draining every upstream.
    """
    names = {item.kind for item in listing.objects}
    return bool(base.services) and "service" not in names


def find_accepted_configuration(listing: Listing) -> Configuration | None:
    """Return the accepted configuration from a listing, if there is one."""
    for item in listing.objects:
        if (item.kind, item.name) == (CONFIGURATION_KIND, CONFIGURATION_NAME):
            return _decode_stored(item)
    return None


def _decode_stored(stored: StoredObject | None) -> Configuration | None:
    if stored is None:
        return None
    try:
        return decode_configuration(stored.value)
    except DecodeError:
        return None


def _write_configuration(
    acceptor: Acceptor, configuration: Configuration, base: Configuration, version: int
) -> tuple[Acceptor, list[Effect]]:
    if configuration.generation == 0:
        return evolve(acceptor, listing_processed=True), []
    call = Put(
        kind=CONFIGURATION_KIND,
        name=CONFIGURATION_NAME,
        value=encode_configuration(configuration),
        expected=version,
    )
    acceptor = evolve(
        record_call_started(acceptor, Purpose.ACCEPT),
        pending_configuration=configuration,
    )
    return acceptor, [CallPlatform(purpose=Purpose.ACCEPT, call=call)]


def _make_inputs(
    acceptor: Acceptor, node: Node, listing: Listing, base: Configuration, now: float
) -> AcceptanceInputs:
    services: list[Service] = []
    sets: list[UpstreamSet] = []
    changes: list[Change] = []
    invalid: list[InvalidResource] = []
    for item in listing.objects:
        if item.kind not in RESOURCE_KINDS:
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
    return AcceptanceInputs(
        services=tuple(services),
        upstream_sets=tuple(sets),
        changes=tuple(changes),
        drained=_find_drained(acceptor, node, listing, base, now),
        leaving=acceptor.leaving_machines | _find_leaving(listing),
        invalid=tuple(invalid),
    )


def _make_invalid(item: StoredObject, reason: str) -> InvalidResource:
    spec = item.value.get("spec")
    service = spec.get("service", "") if isinstance(spec, dict) else ""
    return InvalidResource(
        kind=item.kind, name=item.name, reason=reason, service=str(service)
    )


def _find_leaving(listing: Listing) -> frozenset[str]:
    """Return upstreams whose agents report that they are leaving."""
    statuses = {NodeStatus.DRAINING.value, NodeStatus.DRAINED.value}
    return frozenset(
        item.name
        for item in listing.objects
        if item.kind == NODE_KIND
        and item.value.get("status") in statuses
        and item.value.get("stopping")
    )


def _find_drained(
    acceptor: Acceptor,
    node: Node,
    listing: Listing,
    base: Configuration,
    now: float,
) -> frozenset[int]:
    """Return draining upstreams that cannot have any flow left.

    Either the agent reports it, or its VM is lost: not on the platform's list and
    not heard of by any node for `FORGET_AFTER_SECONDS`.
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
        listed = (
            not acceptor.listed_machines or upstream.name in acceptor.listed_machines
        )
        lost = not listed and is_lost(node, upstream.name, now)
        if upstream.number in reported or lost:
            drained.add(upstream.number)
    return frozenset(drained)


def _write_statuses(
    acceptor: Acceptor,
    acceptance: Acceptance,
    inputs: AcceptanceInputs,
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
        if stored is not None and _has_same_fields(stored.value, value):
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
    cluster = index.get((STATUS_KIND, CLUSTER_STATUS_NAME))
    if cluster is not None:
        acceptor = evolve(acceptor, cluster_status_version=cluster.version)
    return acceptor, effects[:MAX_STATUS_WRITES]


def _has_same_fields(stored: dict[str, Any], value: dict[str, Any]) -> bool:
    return all(stored.get(key) == item for key, item in value.items())


def _get_phase(
    verdict: Verdict,
    configuration: Configuration,
    inputs: AcceptanceInputs,
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
    """Write how many nodes have applied the generation in force, if that changed."""
    generation = node.configuration.generation
    if generation == 0 or not acceptor.listing_processed:
        return acceptor, []
    if not _is_due(acceptor, Purpose.STATUS, acceptor.next_cluster_status_at, now):
        return acceptor, []
    reports = [member.report for member in list_live_members(node.membership, now)]
    in_force = 1 + sum(1 for report in reports if report.generation >= generation)
    value = {
        "generation": generation,
        "in_force": in_force,
        "nodes": 1 + len(reports),
        "holder": node.name,
    }
    acceptor = evolve(
        acceptor, next_cluster_status_at=now + CLUSTER_STATUS_INTERVAL_SECONDS
    )
    if immutables.Map(value) == acceptor.cluster_status_value:
        return acceptor, []
    call = Put(
        kind=STATUS_KIND,
        name=CLUSTER_STATUS_NAME,
        value=value,
        expected=acceptor.cluster_status_version,
    )
    acceptor = record_call_started(acceptor, Purpose.STATUS)
    acceptor = evolve(acceptor, cluster_status_value=immutables.Map(value))
    effect = CallPlatform(purpose=Purpose.STATUS, call=call, name=CLUSTER_STATUS_NAME)
    return acceptor, [effect]
