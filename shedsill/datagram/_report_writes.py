"""Conditional writes of a node's report to the platform's store.

Pure logic of the next call and of what its outcome means; the runtime's writer executes
the calls, and so does the simulation.  A report is written with the version that the
node has read.  A conflict shows the report of an earlier incarnation of the node, whose
last write may take effect late.  What was to be stored was decided without it, so it is
dropped: the reducer, which is told of the conflict, decides again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.coordination.backoff import Backoff, get_delay
from shedsill.coordination.platform import (
    Conflict,
    Delete,
    Found,
    Outcome,
    Put,
    Stored,
    StoredObject,
    Unavailable,
)
from shedsill.datagram._messages import NodeReport, dump_report, load_report
from shedsill.errors import DecodeError, InvariantError

if TYPE_CHECKING:
    import random

REPORT_KIND = "shedsill-nodes"
"""Kind of the stored objects; there is one for each node, named by its host."""

RETRY_BACKOFF = Backoff(initial_delay=0.1, max_delay=1.0)
"""Delays between retries; a report has to be stored within 2 s after an outage."""


class WriteResult(Struct, frozen=True, kw_only=True):
    """What follows from the outcome of a call.

    Attributes
    ----------
    earlier_value : object
        Stored value of an earlier incarnation, of which the reducer has to be told
        before the next call; None if there is none.
    delay : float
        Seconds until the next call, if one is pending then.
    log_entry : WriteLog or None
        Entry for the log.
    """

    earlier_value: Any = None
    delay: float = 0.0
    log_entry: WriteLog | None = None


class ReportWrites(Struct):
    """State of the writes of one incarnation of a node.

    Attributes
    ----------
    version : int
        Version of the stored object; 0 if unknown.
    pending : NodeReport or None
        Report that is to be stored or deleted.
    pending_removal : bool
        Whether `pending` is to be deleted rather than stored.
    sent, sent_removal : NodeReport or None, bool
        The same of the call whose outcome is awaited.
    failures, conflicts : int
        Consecutive calls that the store did not answer, and that conflicted.
    """

    version: int = 0
    pending: NodeReport | None = None
    pending_removal: bool = False
    sent: NodeReport | None = None
    sent_removal: bool = False
    failures: int = 0
    conflicts: int = 0


def request_write(writes: ReportWrites, report: NodeReport, *, removing: bool) -> None:
    """Have a report stored or deleted, instead of what is pending."""
    writes.pending = report
    writes.pending_removal = removing


def plan_call(writes: ReportWrites) -> Put | Delete | None:
    """Return the next call, or None if nothing is pending."""
    report = writes.sent = writes.pending
    removing = writes.sent_removal = writes.pending_removal
    if report is None:
        return None
    name, expected = report.host, writes.version
    if removing:
        return Delete(kind=REPORT_KIND, name=name, expected=expected)
    value = dump_report(report)
    return Put(kind=REPORT_KIND, name=name, value=value, expected=expected)


def record_outcome(
    writes: ReportWrites, outcome: Outcome, *, generator: random.Random | None = None
) -> WriteResult:
    """Update the state by the outcome of the last planned call.

    The first retry after a conflict has the version that it shows, and needs no delay.

    Parameters
    ----------
    generator : random.Random, optional
        Source of the jitter of delays, for repeatable runs.

    Raises
    ------
    InvariantError
        If the outcome is not that of a write.
    """
    match outcome:
        case Stored(version=version):
            writes.version = 0 if writes.sent_removal else version
            writes.failures = writes.conflicts = 0
            _complete(writes)
            return WriteResult()
        case Conflict(current=current):
            delay = 0.0
            if writes.conflicts:
                delay = get_delay(RETRY_BACKOFF, writes.conflicts, generator=generator)
            writes.failures = 0
            writes.conflicts += 1
            earlier_value = _record_conflict(writes, current)
            return WriteResult(earlier_value=earlier_value, delay=delay)
        case Unavailable(reason=reason):
            writes.failures += 1
            writes.conflicts = 0
            delay = get_delay(RETRY_BACKOFF, writes.failures, generator=generator)
            fields = {"reason": reason, "call": "report"}
            log_entry = WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields)
            is_first = writes.failures == 1
            return WriteResult(delay=delay, log_entry=log_entry if is_first else None)
    raise InvariantError(f"no outcome of a write: {outcome!r}")


def _complete(writes: ReportWrites) -> None:
    if writes.pending is writes.sent:
        writes.pending = None


def _record_conflict(writes: ReportWrites, current: StoredObject | None) -> Any:
    """Return the stored value if it is not of this incarnation."""
    assert writes.sent is not None
    if current is None:
        writes.version = 0
        if writes.sent_removal:
            _complete(writes)
        return None
    writes.version = current.version
    try:
        stored = load_report(current.value)
    except DecodeError:
        # A value that says nothing leaves the decision as it is.
        return current.value
    if stored.incarnation != writes.sent.incarnation:
        writes.pending = None
        return current.value
    if not writes.sent_removal and stored == writes.sent:
        # An earlier attempt has taken effect, and its answer was lost.
        _complete(writes)
    return None


def record_version(writes: ReportWrites, version: int) -> None:
    """Update the version after a read of all reports, unless a write is pending."""
    if writes.pending is None:
        writes.version = version


def record_read(writes: ReportWrites, outcome: Outcome) -> WriteResult:
    """Update the state by a read of the stored report at the node's start."""
    match outcome:
        case Found(object=StoredObject(version=version, value=value)):
            if writes.version in (0, version):
                writes.version = version
                return WriteResult(earlier_value=value)
        case Unavailable(reason=reason):
            fields = {"reason": reason, "call": "earlier report"}
            log_entry = WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields)
            return WriteResult(log_entry=log_entry)
    return WriteResult()
