"""Counters and histograms in the Prometheus text format.

Importing prometheus_client takes 0.1 s of CPU and 12 MB, which is too much for the
start of a node.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping

from shedsill._catalogue import LogEvent

LATENCY_BOUNDS_SECONDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
"""Upper bounds of the buckets, up to the callers' deadlines."""


class Histogram:
    """Histogram of durations.

    Examples
    --------
    >>> histogram = Histogram("wait_seconds", "Waiting time")
    >>> histogram.observe(0.002)
    >>> histogram.format()[3]
    'wait_seconds_bucket{le="0.003"} 1'
    """

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.text = text
        self._counts = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration."""
        self._counts[bisect.bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self._sum += seconds

    def format(self) -> list[str]:
        """Return the histogram in the Prometheus text format."""
        lines = [f"# HELP {self.name} {self.text}", f"# TYPE {self.name} histogram"]
        total = 0
        bounds = [*map(str, LATENCY_BOUNDS_SECONDS), "+Inf"]
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            lines.append(f'{self.name}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{self.name}_sum {self._sum:.6f}")
        lines.append(f"{self.name}_count {total}")
        return lines


def format_counters(
    name: str, text: str, label: str, counts: Mapping[str, int]
) -> list[str]:
    """Return a counter with one label in the Prometheus text format."""
    lines = [f"# HELP {name} {text}", f"# TYPE {name} counter"]
    lines += [f'{name}{{{label}="{key}"}} {counts[key]}' for key in sorted(counts)]
    return lines


def format_events(counts: Mapping[LogEvent, int]) -> list[str]:
    """Return the counter of log events by number in the Prometheus text format."""
    numbers = {str(event.value.number): count for event, count in counts.items()}
    text = "Events by number; see the catalogue"
    return format_counters("shedsill_events_total", text, "event", numbers)
