"""An advisory lease in the platform's store.

The lease makes it unlikely that two nodes do the same work, but does not exclude it:
a holder that was paused may act late, so that its writes need conditional updates.
Clocks of nodes are not compared: a lease has expired if its version has not changed
for its time to live on the observer's monotonic clock.
"""

from __future__ import annotations

from attrs import evolve, frozen

from shedsill.coordination.platform import (
    Call,
    Conflict,
    Found,
    Get,
    Outcome,
    Put,
    Stored,
    StoredObject,
)

RENEWALS_PER_TIME_TO_LIVE = 3


@frozen(kw_only=True)
class Lease:
    """State of a lease as observed by one node.

    Attributes
    ----------
    time_to_live : float
        Seconds without renewal after which other nodes may acquire the lease.
    version, holder : int, str
        Version and holder as last observed.
    observed_at : float
        Local time at which `version` was first observed.
    version_known : bool
        Whether `version` is up to date, so that a write may succeed.
    held_until : float
        Local time until which this node holds the lease; 0 if it does not.
    next_call_at : float
        Local time at which the next call is due.
    called_at : float
        Local time of the last call.
    """

    kind: str
    name: str
    node: str
    time_to_live: float
    version: int = 0
    holder: str = ""
    observed_at: float | None = None
    version_known: bool = False
    held_until: float = 0.0
    next_call_at: float = 0.0
    called_at: float = 0.0


def is_held(lease: Lease, now: float) -> bool:
    """Whether this node holds the lease."""
    return now < lease.held_until


def plan_call(lease: Lease, now: float) -> tuple[Lease, Call | None]:
    """Return the next call if it is due.

    The time to live starts when the call is sent, not when its result arrives.

    Examples
    --------
    >>> from shedsill.coordination import MemoryPlatform
    >>> store = MemoryPlatform()
    >>> a = Lease(kind="lease", name="x", node="a", time_to_live=3.0)
    >>> for now in (0.0, 1.0):
    ...     a, call = plan_call(a, now)
    ...     a = record_outcome(a, store.apply(call), now + 0.1)
    >>> is_held(a, 3.9), is_held(a, 4.1)
    (True, False)
    """
    if now < lease.next_call_at:
        return lease, None
    interval = lease.time_to_live / RENEWALS_PER_TIME_TO_LIVE
    return evolve(lease, called_at=now, next_call_at=now + interval), _build_call(
        lease, now
    )


def _build_call(lease: Lease, now: float) -> Call:
    expired = (
        lease.observed_at is not None and now - lease.observed_at >= lease.time_to_live
    )
    if lease.version_known and (expired or lease.holder in ("", lease.node)):
        return Put(
            kind=lease.kind,
            name=lease.name,
            value={"holder": lease.node},
            expected=lease.version,
        )
    return Get(kind=lease.kind, name=lease.name)


def record_outcome(lease: Lease, outcome: Outcome, now: float) -> Lease:
    """Update the lease by the outcome of the last call."""
    match outcome:
        case Stored(version=version):
            return evolve(
                lease,
                version=version,
                holder=lease.node,
                observed_at=now,
                version_known=True,
                held_until=lease.called_at + lease.time_to_live,
            )
        case Conflict(current=current):
            return _record_version(lease, current, now, may_be_held=False)
        case Found(object=current):
            return _record_version(lease, current, now, may_be_held=True)
        case _:
            return evolve(lease, version_known=False)


def _record_version(
    lease: Lease, current: StoredObject | None, now: float, *, may_be_held: bool
) -> Lease:
    version = current.version if current else 0
    holder = str(current.value.get("holder", "")) if current else ""
    changed = version != lease.version or lease.observed_at is None
    held = may_be_held and holder == lease.node
    return evolve(
        lease,
        version=version,
        holder=holder,
        observed_at=now if changed else lease.observed_at,
        version_known=True,
        held_until=lease.held_until if held else 0.0,
    )
