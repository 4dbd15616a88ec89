"""Upstream answers, and the outcome of a request as reported to its caller."""

from __future__ import annotations

import enum

from attrs import frozen


class RequestOutcome(enum.Enum):
    """Value of the ``shedsill-outcome`` header of an answer."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Header:
    """A header field of an HTTP message."""

    name: str
    value: str


@frozen(kw_only=True)
class RecordedAnswer:
    """A complete HTTP response of an upstream."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
