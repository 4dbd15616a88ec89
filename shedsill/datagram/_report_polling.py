"""Schedule of reading the reports of nodes from the platform's store.

Nodes exchange reports directly, so the store is only needed for nodes that no balancer
has heard from.  To limit the calls to the store, a balancer backs off while its reads
return no unknown node; one balancer, the collector of checkpoints, keeps reading often
and relays unknown nodes to the others.

A flow that no agent holds is reset only if the list of agents is recent; if it is not,
the store is read at once.
"""

from __future__ import annotations

from msgspec import Struct

from shedsill.datagram._effects import Effect, ReadReports

MIN_POLL_INTERVAL_SECONDS = 2.0
"""Time between a change of reports and the next watch (a call that the store answers
once something has changed), which returns all changes of that time."""

MAX_POLL_INTERVAL_SECONDS = 16.0
"""The same after several reads without an unknown node; delays only the first flows to
a node that no other balancer knows, since what a decision rests on is read at once."""

MAX_LIST_AGE_SECONDS = MIN_POLL_INTERVAL_SECONDS
"""Maximum age of a list of agents that a reset may rely on."""

READ_TIMEOUT_SECONDS = 0.5
"""Time for which a reset waits for a requested read, in case of an outage of the store;
a slow store answers within 0.3 s."""


class ReportPolling(Struct):
    """State of a balancer's reads of the store.

    Attributes
    ----------
    read_at : float
        When reports were last read.
    requested_at : float
        When a read was last requested.
    interval : float
        Time between a change and the next watch.
    """

    read_at: float = 0.0
    requested_at: float = 0.0
    interval: float = MIN_POLL_INTERVAL_SECONDS


def record_read(
    polling: ReportPolling, now: float, *, unknown: bool, is_collector: bool
) -> None:
    """Record that reports were read, and update the polling interval.

    Parameters
    ----------
    unknown : bool
        Whether the reports contained an unknown node.
    is_collector : bool
        Whether this balancer reads on behalf of the others.

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
    """Whether the list of nodes is recent, or a requested read has timed out."""
    if now - polling.read_at <= MAX_LIST_AGE_SECONDS:
        return True
    return (
        is_read_pending(polling) and now - polling.requested_at >= READ_TIMEOUT_SECONDS
    )


def is_read_pending(polling: ReportPolling) -> bool:
    """Whether a requested read has not been completed."""
    return polling.requested_at > polling.read_at


def request_read(polling: ReportPolling, now: float) -> list[Effect]:
    """Request a read without delay."""
    if is_read_pending(polling):
        return []
    polling.requested_at = now
    return [ReadReports()]
