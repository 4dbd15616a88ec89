"""When a balancer reads the reports of nodes in the platform's store.

Nodes tell each other directly what they know, so that the store is needed for what
nobody has told: a node that no balancer has heard of.  Calls of the store are shared by
all nodes, and their number must not grow with balancers times changes.  So a balancer
whose readings bring nothing unknown reads ever less often, and one balancer, the
collector of checkpoints, goes on reading often and tells the others.

A flow is reset because no agent holds it only if the list of agents is recent.  Where
it is not, the store is read at once.
"""

from __future__ import annotations

from msgspec import Struct

from shedsill.datagram._effects import Effect, ReadReports

MIN_POLL_INTERVAL_SECONDS = 2.0
"""Seconds between a change of reports and the next watch, which then brings all changes
of that time in one call."""

MAX_POLL_INTERVAL_SECONDS = 16.0
"""The same after several readings without an unknown node.  What a balancer acts on it
asks for when needed, so this delays only the first flows to a node that is known to
the store and to no other balancer."""

MAX_LIST_AGE_SECONDS = MIN_POLL_INTERVAL_SECONDS
"""Seconds for which a list that was read is good enough to reset a flow by."""

READ_TIMEOUT_SECONDS = 0.5
"""Seconds that callers are made to wait for a reading; a slow store answers in 0.3 s.
After that what is known has to do, as in an outage of the store."""


class ReportPolling(Struct):
    """What a balancer notes of its readings.

    Attributes
    ----------
    read_at : float
        When reports were last read.
    requested_at : float
        When a reading was last asked for.
    interval : float
        Seconds until the next watch after a change.
    """

    read_at: float = 0.0
    requested_at: float = 0.0
    interval: float = MIN_POLL_INTERVAL_SECONDS


def record_read(
    polling: ReportPolling, now: float, *, unknown: bool, is_collector: bool
) -> None:
    """Note that reports were read, and choose when they are read next.

    Parameters
    ----------
    unknown : bool
        Whether they told of a node that was not known.
    is_collector : bool
        Whether this balancer reads for the others.

    Examples
    --------
    >>> polling = ReportPolling()
    >>> for _ in range(5):
    ...     record_read(polling, 1.0, unknown=False, is_collector=False)
    >>> polling.interval
    16.0
    >>> record_read(polling, 2.0, unknown=True, is_collector=False)
    >>> polling.interval
    2.0
    """
    polling.read_at = now
    if unknown or is_collector:
        polling.interval = MIN_POLL_INTERVAL_SECONDS
    else:
        polling.interval = min(2 * polling.interval, MAX_POLL_INTERVAL_SECONDS)


def is_recent(polling: ReportPolling, now: float) -> bool:
    """Whether the list is recent, or cannot be had within `READ_TIMEOUT_SECONDS`."""
    if now - polling.read_at <= MAX_LIST_AGE_SECONDS:
        return True
    return (
        is_read_pending(polling) and now - polling.requested_at >= READ_TIMEOUT_SECONDS
    )


def is_read_pending(polling: ReportPolling) -> bool:
    """Whether a reading was asked for that has not come."""
    return polling.requested_at > polling.read_at


def request_read(polling: ReportPolling, now: float) -> list[Effect]:
    """Ask for a reading at once."""
    if is_read_pending(polling):
        return []
    polling.requested_at = now
    return [ReadReports()]
