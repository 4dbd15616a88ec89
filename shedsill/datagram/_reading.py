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

FIRST_PAUSE = 2.0
"""Seconds between a change of reports and the next watch, which then brings all changes
of that time in one call."""

LONGEST_PAUSE = 16.0
"""The same after several readings without an unknown node.  What a balancer acts on it
asks for when needed, so this delays only the first flows to a node that is known to
the store and to no other balancer."""

RECENT = FIRST_PAUSE
"""Seconds for which a list that was read is good enough to reset a flow by."""

READ_LIMIT = 0.5
"""Seconds that callers are made to wait for a reading; a slow store answers in 0.3 s.
After that what is known has to do, as in an outage of the store."""


class Reading(Struct):
    """What a balancer notes of its readings.

    Attributes
    ----------
    read_at : float
        When reports were last read.
    wanted_at : float
        When a reading was last asked for.
    pause : float
        Seconds until the next watch after a change.
    """

    read_at: float = 0.0
    wanted_at: float = 0.0
    pause: float = FIRST_PAUSE


def note_read(reading: Reading, now: float, *, unknown: bool, first: bool) -> None:
    """Note that reports were read, and choose when they are read next.

    Parameters
    ----------
    unknown : bool
        Whether they told of a node that was not known.
    first : bool
        Whether this balancer reads for the others.

    Examples
    --------
    >>> reading = Reading()
    >>> for _ in range(5):
    ...     note_read(reading, 1.0, unknown=False, first=False)
    >>> reading.pause
    16.0
    >>> note_read(reading, 2.0, unknown=True, first=False)
    >>> reading.pause
    2.0
    """
    reading.read_at = now
    if unknown or first:
        reading.pause = FIRST_PAUSE
    else:
        reading.pause = min(2 * reading.pause, LONGEST_PAUSE)


def is_recent(reading: Reading, now: float) -> bool:
    """Whether the list of nodes is recent, or cannot be had within `READ_LIMIT`."""
    if now - reading.read_at <= RECENT:
        return True
    return is_wanted(reading) and now - reading.wanted_at >= READ_LIMIT


def is_wanted(reading: Reading) -> bool:
    """Whether a reading was asked for that has not come."""
    return reading.wanted_at > reading.read_at


def want(reading: Reading, now: float) -> list[Effect]:
    """Ask for a reading at once."""
    if is_wanted(reading):
        return []
    reading.wanted_at = now
    return [ReadReports()]
