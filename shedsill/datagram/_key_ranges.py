"""Ranges of sorted keys, for lists that take several datagrams.

Each message of such a list names the range of keys that it covers and holds all items
of that range.  It is therefore meaningful by itself: messages may be lost, duplicated
or reordered, and messages of several transmissions of the list complete each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from msgspec import Struct

T = TypeVar("T")


class KeyRange(Struct, frozen=True, array_like=True):
    """Range of keys.

    Attributes
    ----------
    after : bytes
        Exclusive lower bound.
    until : bytes or None
        Inclusive upper bound; None if there is none.
    """

    after: bytes = b""
    until: bytes | None = None

    def contains(self, key: bytes) -> bool:
        """Whether a key lies in the range.

        Examples
        --------
        >>> [KeyRange(b"a", b"c").contains(key) for key in (b"a", b"b", b"c", b"d")]
        [False, True, True, False]
        """
        return self.after < key and (self.until is None or key <= self.until)


def split_by_key(items: dict[bytes, T], size: int) -> list[tuple[KeyRange, list[T]]]:
    """Split items into adjacent ranges that cover all keys, with `size` items at most.

    Examples
    --------
    >>> split_by_key({b"b": 2, b"a": 1, b"c": 3}, 2)
    [(KeyRange(after=b'', until=b'b'), [1, 2]), (KeyRange(after=b'b', until=None), [3])]
    >>> split_by_key({}, 2)
    [(KeyRange(after=b'', until=None), [])]
    """
    keys = sorted(items)
    bounds = [b"", *keys[size - 1 : -1 : size], None]
    return [
        (
            KeyRange(after=bounds[index] or b"", until=bounds[index + 1]),
            [items[key] for key in keys[index * size : (index + 1) * size]],
        )
        for index in range(len(bounds) - 1)
    ]


def subtract_range(ranges: Iterable[KeyRange], covered: KeyRange) -> list[KeyRange]:
    """Return what remains of ranges without a covered one.

    Examples
    --------
    >>> subtract_range([KeyRange()], KeyRange(b"b", b"d"))
    [KeyRange(after=b'', until=b'b'), KeyRange(after=b'd', until=None)]
    >>> subtract_range([KeyRange(b"a", b"c")], KeyRange(b"", b"c"))
    []
    """
    remaining = []
    for missing in ranges:
        ends = [end for end in (missing.until, covered.until) if end is not None]
        overlaps = max(missing.after, covered.after) < min(ends) if ends else True
        if not overlaps:
            remaining.append(missing)
            continue
        if missing.after < covered.after:
            remaining.append(KeyRange(missing.after, covered.after))
        if covered.until is not None and (
            missing.until is None or covered.until < missing.until
        ):
            remaining.append(KeyRange(covered.until, missing.until))
    return remaining
