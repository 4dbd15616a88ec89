"""Growing, jittered delays between retries."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    import random


class Backoff(Struct, frozen=True, kw_only=True):
    """Delays that double from `first` to `longest`, each jittered by half.

    Attributes
    ----------
    first, longest : float
        Seconds.
    """

    first: float = 0.2
    longest: float = 10.0


def get_delay(
    backoff: Backoff, failures: int, *, generator: random.Random | None = None
) -> float:
    """Return the seconds to wait after this many failures in a row.

    Examples
    --------
    >>> 0.1 <= get_delay(Backoff(first=0.2), 1) <= 0.2
    True
    >>> get_delay(Backoff(longest=5.0), 40) <= 5.0
    True
    """
    doublings = min(max(failures - 1, 0), 30)
    ceiling = min(backoff.first * 2**doublings, backoff.longest)
    jitter = generator.random() if generator else _draw()
    return ceiling * (0.5 + jitter / 2)


def _draw() -> float:
    """Return a number from 0 to 1, without the cost of importing `random`."""
    return os.getrandom(1)[0] / 255
