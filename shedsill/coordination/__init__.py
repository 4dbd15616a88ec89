"""Coordination parts that others can embed.

Each part is a pure state machine or a short coroutine over `Platform`, a
documented interface that an adapter for any versioned object store can
implement.
"""

from __future__ import annotations

from shedsill._addresses import Address
from shedsill.coordination.backoff import Backoff, get_delay
from shedsill.coordination.lease import (
    Lease,
    is_held,
    note_outcome,
    plan_call,
)
from shedsill.coordination.membership import (
    Member,
    Membership,
    NodeReport,
    choose_peers,
    choose_reports,
    list_live,
    merge_reports,
)
from shedsill.coordination.platform import (
    Call,
    Changed,
    Conflict,
    Delete,
    Found,
    Get,
    HistoryGone,
    List,
    Listing,
    ListMachines,
    Machine,
    Machines,
    MemoryPlatform,
    Outcome,
    Platform,
    Put,
    Stored,
    StoredObject,
    Unavailable,
    Watch,
)
from shedsill.coordination.spread import (
    Pull,
    Spread,
    note_applied,
    note_failure,
    note_generation,
)
from shedsill.coordination.update import Unchanged, update_object
from shedsill.coordination.watch import watch_changes, watch_kinds

__all__ = [
    "Address",
    "Backoff",
    "Call",
    "Changed",
    "Conflict",
    "Delete",
    "Found",
    "Get",
    "HistoryGone",
    "Lease",
    "List",
    "ListMachines",
    "Listing",
    "Machine",
    "Machines",
    "Member",
    "Membership",
    "MemoryPlatform",
    "NodeReport",
    "Outcome",
    "Platform",
    "Pull",
    "Put",
    "Spread",
    "Stored",
    "StoredObject",
    "Unavailable",
    "Unchanged",
    "Watch",
    "choose_peers",
    "choose_reports",
    "get_delay",
    "is_held",
    "list_live",
    "merge_reports",
    "note_applied",
    "note_failure",
    "note_generation",
    "note_outcome",
    "plan_call",
    "update_object",
    "watch_changes",
    "watch_kinds",
]
