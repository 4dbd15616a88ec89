"""Names of an upstream's boots, and their order.

A boot is named by the ID of the upstream and, if the upstream tells it, by the time of
its start, since an upstream may start again under its ID.
"""

from __future__ import annotations

from shedsill.datagram._messages import NodeReport

SEPARATOR = "/"
"""Between ID and start; an ID is one segment of a path."""

MAX_OLDER_BOOTS = 6
"""Boots in the stored report, besides the current and the previous one."""


def format_boot(upstream_id: str, started_ms: int) -> str:
    """Return the name of a boot.

    Parameters
    ----------
    started_ms : int
        Unix time of its start in milliseconds; 0 if unknown.

    Examples
    --------
    >>> format_boot("i-1", 1700), format_boot("i-1", 0)
    ('i-1/1700', 'i-1')
    """
    return f"{upstream_id}{SEPARATOR}{started_ms}" if started_ms else upstream_id


def split_boot(boot: str) -> tuple[str, int]:
    """Return the ID of the upstream and the time of the boot's start, or 0.

    Examples
    --------
    >>> split_boot("i-1/1700"), split_boot("i-1")
    (('i-1', 1700), ('i-1', 0))
    """
    upstream_id, _, start = boot.partition(SEPARATOR)
    return upstream_id, int(start) if start.isdecimal() else 0


def may_be_same_boot(first: str, second: str) -> bool:
    """Whether two names may be those of one boot; one may lack the start.

    Examples
    --------
    >>> may_be_same_boot("i-1", "i-1/1700"), may_be_same_boot("i-1/1600", "i-1/1700")
    (True, False)
    """
    first_id, first_start = split_boot(first)
    second_id, second_start = split_boot(second)
    same_start = first_start == second_start or not (first_start and second_start)
    return first_id == second_id and same_start


def is_earlier_boot(first: str, second: str) -> bool:
    """Whether the first boot is known to have started before the second one.

    Examples
    --------
    >>> is_earlier_boot("i-2/1600", "i-1/1700"), is_earlier_boot("i-2", "i-1/1700")
    (True, False)
    """
    first_start, second_start = split_boot(first)[1], split_boot(second)[1]
    return 0 < first_start < second_start


def has_started_within(boot: str, after_ms: int, until_ms: float) -> bool:
    """Whether a boot is known to have started within a period, its begin excluded.

    Parameters
    ----------
    after_ms : int
        Unix time in milliseconds by the clock of the upstream's VM; 0 if unknown.
    until_ms : float
        The same; may be infinite.

    Examples
    --------
    >>> has_started_within("i-1/1700", 1600, 1800)
    True
    >>> has_started_within("i-1", 1600, 1800)
    False
    """
    return 0 < after_ms < split_boot(boot)[1] <= until_ms


def list_previous_boots(report: NodeReport) -> tuple[str, ...]:
    """Return the boots before a report's current one, the latest first."""
    return tuple(boot for boot in (report.previous_boot, *report.older_boots) if boot)


def build_previous_boots(boot: str, *earlier: str) -> dict[str, str | tuple[str, ...]]:
    """Return the fields of a report that name the boots before its current one.

    Parameters
    ----------
    earlier : str
        Boots that were current before, the latest first; some may be empty.

    Examples
    --------
    >>> build_previous_boots("i-3", "", "i-2", "i-3", "i-1", "i-2")
    {'previous_boot': 'i-2', 'older_boots': ('i-1',)}
    """
    names = [name for name in dict.fromkeys(earlier) if name not in ("", boot)]
    previous, *older = names or [""]
    return {"previous_boot": previous, "older_boots": tuple(older[:MAX_OLDER_BOOTS])}
