"""Growing, jittered delays between retries."""

from __future__ import annotations

import random

from attrs import frozen


@frozen(kw_only=True)
class Backoff:
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
    jitter = (generator or random).random()
    return ceiling * (0.5 + jitter / 2)
