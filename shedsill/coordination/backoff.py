"""Exponential backoff with jitter."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    import random


class Backoff(Struct, frozen=True, kw_only=True):
    """Delays that double with each failure, each reduced at random by up to half.

    Attributes
    ----------
    initial_delay, max_delay : float
        Limits before the random reduction, in seconds.
    """

    initial_delay: float = 0.2
    max_delay: float = 10.0


def get_delay(
    backoff: Backoff, failures: int, *, generator: random.Random | None = None
) -> float:
    """Return the delay in seconds after a number of consecutive failures.

    Examples
    --------
    >>> 0.1 <= get_delay(Backoff(initial_delay=0.2), 1) <= 0.2
    True
    >>> get_delay(Backoff(max_delay=5.0), 40) <= 5.0
    True
    """
    doublings = min(max(failures - 1, 0), 30)  # avoids an overflow
    ceiling = min(backoff.initial_delay * 2**doublings, backoff.max_delay)
    jitter = generator.random() if generator else _draw_jitter()
    return ceiling * (0.5 + jitter / 2)


def _draw_jitter() -> float:
    """Return a random number from 0 to 1; importing `random` would delay the start."""
    return os.getrandom(1)[0] / 255
