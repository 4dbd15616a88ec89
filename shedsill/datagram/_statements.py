"""Order of what reports of an agent say of its upstream.

A statement is the boot, the state and the number of slots of an upstream.  Incarnations
of its agent are not ordered, so the later statement is that of the later boot or,
within a boot, of the heartbeat with the higher serial.
"""

from __future__ import annotations

from shedsill.datagram._boots import (
    is_earlier_boot,
    list_previous_boots,
    may_be_same_boot,
)
from shedsill.datagram._messages import NodeReport, UpstreamState

FINAL_STATES = (UpstreamState.DRAINING, UpstreamState.GONE)
"""States after which a boot takes no new flows."""


def is_superseded(known: NodeReport, by: NodeReport) -> bool:
    """Whether what a report says of an upstream is later than what is known.

    A report without a boot says nothing.

    Examples
    --------
    >>> from shedsill.datagram._messages import Role
    >>> fields = {"host": "a", "role": Role.AGENT, "zone": "z", "incarnation": 1}
    >>> first = NodeReport(boot="i-1", heartbeat_serial=4, **fields)
    >>> later = NodeReport(boot="i-1", heartbeat_serial=5, **fields)
    >>> is_superseded(first, later), is_superseded(later, first)
    (True, False)
    >>> is_superseded(first, NodeReport(**fields))
    False
    """
    if not known.boot:
        return True
    if not by.boot:
        return False
    if may_be_same_boot(known.boot, by.boot):
        is_revoked = known.state in FINAL_STATES and by.state not in FINAL_STATES
        return not is_revoked and by.heartbeat_serial >= known.heartbeat_serial
    is_before = by.boot in list_previous_boots(known)
    return not is_before and not is_earlier_boot(by.boot, known.boot)


def get_later(first: NodeReport | None, second: NodeReport) -> NodeReport:
    """Return the report with the later statement."""
    return second if first is None or is_superseded(first, second) else first
