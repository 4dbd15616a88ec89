"""Answers of upstreams, and what callers are told of their requests."""

from __future__ import annotations

import enum

from attrs import frozen


class RequestOutcome(enum.Enum):
    """What a caller is told about its request, in ``shedsill-outcome``."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Header:
    """One field of an HTTP message."""

    name: str
    value: str


@frozen(kw_only=True)
class RecordedAnswer:
    """A whole answer of an upstream."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
