"""Pauses of the process: its VM was suspended or out of CPU quota.

Packets that arrive during a pause are read only after it, so that timeouts of other
nodes, callers and upstreams must not include it.
"""

from __future__ import annotations

__all__ = ["measure_pause"]

MIN_PAUSE_SECONDS = 0.3
"""Longer gaps between ticks are pauses: seven ticks of 40 ms, and more than the
0.1 s for which a VM out of quota is suspended."""


def measure_pause(last_tick_at: float | None, now: float) -> float:
    """Return the length in seconds of a pause since the last tick; 0 if none.

    Parameters
    ----------
    last_tick_at : float or None
        None at the first tick.

    Examples
    --------
    >>> measure_pause(1.0, 1.04)
    0.0
    >>> measure_pause(1.0, 4.0)
    3.0
    """
    if last_tick_at is None:
        return 0.0
    elapsed = now - last_tick_at
    return elapsed if elapsed > MIN_PAUSE_SECONDS else 0.0
