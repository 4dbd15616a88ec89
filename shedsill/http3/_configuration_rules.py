"""Derivation of the next accepted configuration from stored resources.

`accept_resources` is a pure function of the configuration in force and the stored
resources.  It never reuses an upstream number or a service number, keeps an
upstream that was removed from its set until its agent reports that the last flow
has ended, and keeps the last accepted form of a resource if the new form is
rejected.
"""

from __future__ import annotations

import enum

from attrs import evolve, frozen

from shedsill.http3._configuration import (
    AcceptedService,
    AcceptedUpstream,
    Configuration,
    Departed,
    UpstreamState,
)
from shedsill.http3._resources import Action, Change, Service, Upstream, UpstreamSet

MAX_SERVICE_NUMBER = 65_535
MAX_DEPARTED = 256


class VerdictKind(enum.Enum):
    """Result of the acceptance of a resource."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"


@frozen(kw_only=True)
class Verdict:
    """Status of one resource after an acceptance."""

    resource: str
    kind: VerdictKind
    reason: str = ""


@frozen(kw_only=True)
class Acceptance:
    """Next configuration and the verdict on each resource."""

    configuration: Configuration
    verdicts: tuple[Verdict, ...]


@frozen(kw_only=True)
class InvalidResource:
    """A stored resource that is not valid.

    Attributes
    ----------
    service : str
        Service that an invalid set of upstreams names; may be empty.
    """

    kind: str
    name: str
    reason: str
    service: str = ""


@frozen(kw_only=True)
class AcceptanceInputs:
    """Input of `accept_resources` besides the configuration in force.

    Attributes
    ----------
    drained : frozenset of int
        Numbers of upstreams that have no flow left.
    leaving : frozenset of str
        Upstreams that their agent or the platform's list of VMs reports as leaving.
    invalid : tuple of InvalidResource
        Stored resources that are not valid; their last valid form stays in force.
    """

    services: tuple[Service, ...] = ()
    upstream_sets: tuple[UpstreamSet, ...] = ()
    changes: tuple[Change, ...] = ()
    drained: frozenset[int] = frozenset()
    leaving: frozenset[str] = frozenset()
    invalid: tuple[InvalidResource, ...] = ()


def accept_resources(previous: Configuration, inputs: AcceptanceInputs) -> Acceptance:
    """Derive the next configuration.

    Returns
    -------
    Acceptance
        Its configuration has the next generation, or equals `previous` if nothing
        has changed.

    Examples
    --------
    >>> service = Service(name="intake", address="127.0.0.1:443")
    >>> inputs = AcceptanceInputs(services=(service,))
    >>> accepted = accept_resources(Configuration(), inputs)
    >>> accepted.configuration.generation
    1
    >>> again = accept_resources(accepted.configuration, inputs)
    >>> again.configuration.generation
    1
    """
    verdicts = [_reject(e.kind, e.name, e.reason) for e in inputs.invalid]
    draft = _accept_services(previous, inputs, verdicts)
    draft = _accept_sets(draft, inputs, verdicts)
    draft = _accept_changes(draft, inputs, verdicts)
    draft = _choose_successors(draft)
    if draft != previous:
        draft = evolve(draft, generation=previous.generation + 1)
    return Acceptance(configuration=draft, verdicts=tuple(verdicts))


def _accept_services(
    previous: Configuration, inputs: AcceptanceInputs, verdicts: list[Verdict]
) -> Configuration:
    known_services = {s.name: s for s in previous.services}
    address_owners: dict[str, str] = {}
    next_number = previous.next_service
    kept: list[AcceptedService] = []
    for service in sorted(
        inputs.services, key=lambda s: (s.name not in known_services, s.name)
    ):
        known = known_services.get(service.name)
        owner = address_owners.setdefault(service.address, service.name)
        reason = ""
        if owner != service.name:
            reason = f"address {service.address} belongs to service {owner}"
        elif known is None and next_number > MAX_SERVICE_NUMBER:
            reason = "no service number is left"
        if reason:
            verdicts.append(_reject("service", service.name, reason))
            if known is not None:
                kept.append(known)
            continue
        number = known.number if known else next_number
        next_number += known is None
        kept.append(AcceptedService(number=number, service=service))
        verdicts.append(_approve("service", service.name))
    names = {accepted.name for accepted in kept}
    invalid = {entry.name for entry in inputs.invalid if entry.kind == "service"}
    in_use = {u.service for u in previous.upstreams}
    for accepted in previous.services:
        needed = accepted.number in in_use or accepted.name in invalid
        if accepted.name not in names and needed:
            kept.append(accepted)
    kept.sort(key=lambda accepted: accepted.number)
    return evolve(previous, services=tuple(kept), next_service=next_number)


def _accept_sets(
    draft: Configuration, inputs: AcceptanceInputs, verdicts: list[Verdict]
) -> Configuration:
    services = {s.name: s.number for s in draft.services}
    present = {service.name for service in inputs.services}
    present |= {entry.name for entry in inputs.invalid if entry.kind == "service"}
    current = {(u.service, u.name, u.address): u for u in draft.upstreams}
    owners: dict[str, str] = {}
    kept: dict[int, AcceptedUpstream] = {}
    next_number = draft.next_upstream
    unchanged_services = _find_services_with_invalid_sets(inputs, services)
    for upstream_set in sorted(
        inputs.upstream_sets, key=lambda upstream_set: upstream_set.name
    ):
        reason = _find_set_error(upstream_set, services, present, owners)
        if reason:
            verdicts.append(_reject("upstreamset", upstream_set.name, reason))
            unchanged_services.add(services.get(upstream_set.service, 0))
            continue
        service = services[upstream_set.service]
        for member in upstream_set.upstreams:
            owners[member.address] = f"{upstream_set.name}/{member.name}"
            known = current.get((service, member.name, member.address))
            number = known.number if known else next_number
            next_number += known is None
            kept[number] = _make_upstream(number, service, member, known)
        verdicts.append(_approve("upstreamset", upstream_set.name))
    for upstream in draft.upstreams:
        if upstream.number in kept or upstream.number in inputs.drained:
            continue
        if upstream.service in unchanged_services and not upstream.removed:
            kept[upstream.number] = upstream
        else:
            kept[upstream.number] = evolve(
                upstream, state=UpstreamState.DRAINING, removed=True
            )
    ordered = tuple(kept[number] for number in sorted(kept))
    departed = tuple(
        Departed(number=u.number, successor=u.successor)
        for u in draft.upstreams
        if u.number not in kept
    )
    return evolve(
        draft,
        upstreams=ordered,
        next_upstream=next_number,
        departed=(*draft.departed, *departed)[-MAX_DEPARTED:],
    )


def _find_services_with_invalid_sets(
    inputs: AcceptanceInputs, services: dict[str, int]
) -> set[int]:
    """Return services whose upstreams are kept because a set is invalid."""
    unchanged_services: set[int] = set()
    for entry in inputs.invalid:
        if entry.kind != "upstreamset":
            continue
        number = services.get(entry.service)
        unchanged_services |= {number} if number else set(services.values())
    return unchanged_services


def _make_upstream(
    number: int, service: int, member: Upstream, known: AcceptedUpstream | None
) -> AcceptedUpstream:
    state = known.state if known and not known.removed else UpstreamState.ACTIVE
    return AcceptedUpstream(
        number=number,
        service=service,
        name=member.name,
        address=member.address,
        zone=member.zone,
        state=state,
        successor=known.successor if known else 0,
    )


def _find_set_error(
    upstream_set: UpstreamSet,
    services: dict[str, int],
    present: set[str],
    owners: dict[str, str],
) -> str:
    if upstream_set.service not in services or upstream_set.service not in present:
        return f"service {upstream_set.service!r} does not exist"
    for member in upstream_set.upstreams:
        if member.address in owners:
            return f"address {member.address} belongs to {owners[member.address]}"
    return ""


def _accept_changes(
    draft: Configuration, inputs: AcceptanceInputs, verdicts: list[Verdict]
) -> Configuration:
    draining: set[str] = set()
    stopping: set[str] = set()
    rotations = set(draft.rotations)
    epoch = draft.key_epoch
    names = {u.name for u in draft.upstreams}
    for change in sorted(inputs.changes, key=lambda change: change.name):
        match change.action:
            case Action.DRAIN | Action.UNDRAIN if change.target not in names:
                reason = f"upstream {change.target!r} does not exist"
                verdicts.append(_reject("change", change.name, reason))
                continue
            case Action.DRAIN:
                draining.add(change.target)
            case Action.UNDRAIN:
                pass
            case Action.STOP_BALANCER:
                stopping.add(change.target)
            case Action.ROTATE_KEYS if change.name not in rotations:
                rotations.add(change.name)
                epoch += 1
        verdicts.append(_approve("change", change.name))
    undrained = {c.target for c in inputs.changes if c.action == Action.UNDRAIN}
    draining -= undrained
    draining |= inputs.leaving
    change_names = {c.name for c in inputs.changes}
    return evolve(
        draft,
        upstreams=tuple(_set_state(u, draining) for u in draft.upstreams),
        stopping_balancers=tuple(sorted(stopping)),
        rotations=tuple(sorted(rotations & change_names)),
        key_epoch=epoch,
    )


def _set_state(upstream: AcceptedUpstream, draining: set[str]) -> AcceptedUpstream:
    leaving = upstream.removed or upstream.name in draining
    state = UpstreamState.DRAINING if leaving else UpstreamState.ACTIVE
    return evolve(upstream, state=state)


def _choose_successors(draft: Configuration) -> Configuration:
    return evolve(
        draft, upstreams=tuple(_choose_successor(draft, u) for u in draft.upstreams)
    )


def _choose_successor(
    draft: Configuration, upstream: AcceptedUpstream
) -> AcceptedUpstream:
    """Keep a successor that is active; otherwise choose the next active one."""
    active = [
        u.number
        for u in draft.list_upstreams(upstream.service)
        if u.state == UpstreamState.ACTIVE and u.number != upstream.number
    ]
    if upstream.successor in active or not active:
        return upstream
    later = [number for number in active if number > upstream.number]
    return evolve(upstream, successor=later[0] if later else active[0])


def _approve(kind: str, name: str) -> Verdict:
    return Verdict(resource=f"{kind}/{name}", kind=VerdictKind.ACCEPTED)


def _reject(kind: str, name: str, reason: str) -> Verdict:
    resource = f"{kind}/{name}"
    return Verdict(resource=resource, kind=VerdictKind.REJECTED, reason=reason)
