"""Purposes of platform calls, by which their outcomes are dispatched."""

from __future__ import annotations

import enum


class Purpose(enum.Enum):
    """Purpose of a platform call."""

    LEASE = "lease"
    LIST = "list"
    WATCH = "watch"
    MACHINES = "machines"
    ACCEPT = "accept"
    STATUS = "status"
    NODE = "node"
    CONFIGURATION = "configuration"
