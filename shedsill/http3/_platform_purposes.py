"""Why the platform is called, so that its answers find their way back."""

from __future__ import annotations

import enum


class Purpose(enum.Enum):
    """Why the platform was called."""

    LEASE = "lease"
    LIST = "list"
    WATCH = "watch"
    MACHINES = "machines"
    ACCEPT = "accept"
    STATUS = "status"
    NODE = "node"
    CONFIGURATION = "configuration"
