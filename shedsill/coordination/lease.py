"""A lease in the platform that saves calls, and protects nothing.

At most one node is meant to do some work.  The lease only makes it unlikely
that two do: a holder that was paused may act late, so whatever it does must be
guarded by a conditional update.  No clock is compared between nodes: a lease
counts as lapsed when its version has not changed for its time to live on the
observer's own monotonic clock.
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

RENEWALS_PER_TERM = 3


@frozen(kw_only=True)
class Lease:
    """What one node knows of a lease.

    Attributes
    ----------
    time_to_live : float
        Seconds without renewal after which others may take it.
    version, holder : int, str
        As last observed.
    observed_at : float
        Local time at which `version` was first seen.
    held_until : float
        Local time until which this node may act; 0 where it doesn't hold it.
    next_call_at : float
        Local time of the next call.
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
    """Whether this node may act as the holder."""
    return now < lease.held_until


def plan_call(lease: Lease, now: float) -> tuple[Lease, Call | None]:
    """Return the call that is due, if one is.

    A term that is won counts from the sending of the call, not its answer.

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
    pause = lease.time_to_live / RENEWALS_PER_TERM
    return evolve(lease, called_at=now, next_call_at=now + pause), _build_call(
        lease, now
    )


def _build_call(lease: Lease, now: float) -> Call:
    lapsed = (
        lease.observed_at is not None and now - lease.observed_at >= lease.time_to_live
    )
    if lease.version_known and (lapsed or lease.holder in ("", lease.node)):
        return Put(
            kind=lease.kind,
            name=lease.name,
            value={"holder": lease.node},
            expected=lease.version,
        )
    return Get(kind=lease.kind, name=lease.name)


def record_outcome(lease: Lease, outcome: Outcome, now: float) -> Lease:
    """Take in the outcome of the last call."""
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
            return _record_version(lease, current, now, ours=False)
        case Found(object=current):
            return _record_version(lease, current, now, ours=True)
        case _:
            return evolve(lease, version_known=False)


def _record_version(
    lease: Lease, current: StoredObject | None, now: float, *, ours: bool
) -> Lease:
    version = current.version if current else 0
    holder = str(current.value.get("holder", "")) if current else ""
    changed = version != lease.version or lease.observed_at is None
    kept = ours and holder == lease.node
    return evolve(
        lease,
        version=version,
        holder=holder,
        observed_at=now if changed else lease.observed_at,
        version_known=True,
        held_until=lease.held_until if kept else 0.0,
    )
