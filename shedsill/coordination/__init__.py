"""Reusable building blocks for coordination between nodes.

Each one is a pure state machine, or a coroutine on top of `Platform`, an interface
that adapters implement for versioned object stores.
"""

from __future__ import annotations

import importlib
from typing import Any

# Imported on first use (PEP 562) to keep the start of a node short.
_MODULES = {
    "shedsill._addresses": ("Address",),
    "shedsill.coordination.backoff": (
        "Backoff",
        "get_delay",
    ),
    "shedsill.coordination.lease": (
        "Lease",
        "is_held",
        "plan_call",
        "record_outcome",
    ),
    "shedsill.coordination.membership": (
        "Member",
        "Membership",
        "NodeReport",
        "choose_peers",
        "choose_reports",
        "list_live_members",
        "merge_reports",
    ),
    "shedsill.coordination.platform": (
        "Call",
        "Changed",
        "Conflict",
        "Delete",
        "Found",
        "Get",
        "HistoryGone",
        "List",
        "ListMachines",
        "Listing",
        "Machine",
        "Machines",
        "MemoryPlatform",
        "Outcome",
        "Platform",
        "Put",
        "Stored",
        "StoredObject",
        "Unavailable",
        "Watch",
    ),
    "shedsill.coordination.propagation": (
        "Propagation",
        "Pull",
        "handle_generation",
        "record_applied",
        "record_pull_failure",
    ),
    "shedsill.coordination.update": (
        "Unchanged",
        "update_object",
    ),
    "shedsill.coordination.watch": (
        "watch_changes",
        "watch_kinds",
    ),
}
_MODULE_BY_NAME = {name: module for module, names in _MODULES.items() for name in names}

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
    "Propagation",
    "Pull",
    "Put",
    "Stored",
    "StoredObject",
    "Unavailable",
    "Unchanged",
    "Watch",
    "choose_peers",
    "choose_reports",
    "get_delay",
    "handle_generation",
    "is_held",
    "list_live_members",
    "merge_reports",
    "plan_call",
    "record_applied",
    "record_outcome",
    "record_pull_failure",
    "update_object",
    "watch_changes",
    "watch_kinds",
]


def __getattr__(name: str) -> Any:
    """Import the module that defines a public name."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)


def __dir__() -> list[str]:
    return sorted(__all__)
