"""Times at which a node did not run: its VM stood still or was out of processor quota.

Whatever came meanwhile waits to be read, so that nothing may be taken for silent
because of that time.
"""

from __future__ import annotations

__all__ = ["measure_pause"]

MIN_PAUSE_SECONDS = 0.3
"""A gap between ticks (s) that shows that the process did not run: seven ticks, and
more than the 0.1 s for which a VM out of quota stands still."""


def measure_pause(last_tick_at: float | None, now: float) -> float:
    """Return the seconds for which this node did not run; 0 if it did.

    Parameters
    ----------
    last_tick_at : float or None
        None where this is the first tick.

    Examples
    --------
    >>> measure_pause(1.0, 1.04)
    0.0
    >>> measure_pause(1.0, 4.0)
    3.0
    """
    if last_tick_at is None:
        return 0.0
    gap = now - last_tick_at
    return gap if gap > MIN_PAUSE_SECONDS else 0.0
