"""Outlier detection: avoids an upstream that answers too quickly or crashes repeatedly.

A status check may pass on an upstream that fails requests, and packets are opaque.  But
failures are much quicker than regular answers.  As such an upstream is never busy, it
would attract more flows than others.  An upstream that crashes repeatedly breaks the
flows that it takes between two crashes.  Both are avoided for some time: balancers
offer them flows only if there is no other upstream.  Each avoidance that follows soon
after another lasts twice as long.
"""

from __future__ import annotations

from msgspec import Struct, field

QUICK_ANSWER_RATIO = 0.12
"""An answer within this share of the mean service time is quick, a likely failure.
Failures were measured at 1 to 3 ms where regular answers take 48 ms; no regular answer
took less than 0.2 of the mean."""

QUICK_ANSWER_WEIGHT = 0.1
"""Weight of the latest answer in the moving share of quick answers."""

MAX_QUICK_SHARE = 0.25
"""Share of quick answers at which an upstream is avoided: three in a row, or a quarter
of all."""

SERVICE_TIME_WEIGHT = 0.05
"""Weight of the latest regular answer in the mean service time."""

MIN_SERVICE_TIME_ANSWERS = 8
"""Regular answers after which quick ones are detected."""

FIRST_AVOIDANCE_SECONDS = 1.0
MAX_AVOIDANCE_SECONDS = 8.0
"""Shortest and longest avoidance: long enough to prevent most failures, short enough to
notice a recovery soon."""

AVOIDANCE_RESET_SECONDS = 15.0
"""An avoidance that starts this long after the last one ended has the shortest length;
crashes that are further apart are not repeated ones."""


class ServiceTime(Struct):
    """Mean service time of regular answers.

    Attributes
    ----------
    seconds : float
        Exponentially weighted mean.
    answers : int
        Number of regular answers.
    """

    seconds: float = 0.0
    answers: int = 0


class Health(Struct):
    """Health of an upstream, as estimated by its agent.

    Attributes
    ----------
    warm, cold : ServiceTime
        Service time at full speed, and soon after a start.
    quick_share : float
        Moving share of quick answers.
    avoidance_seconds : float
        Length of the last avoidance.
    avoided_until : float
        When the last avoidance ends.
    crashed_at : float or None
        When a boot of the upstream last ended without notice.
    """

    warm: ServiceTime = field(default_factory=ServiceTime)
    cold: ServiceTime = field(default_factory=ServiceTime)
    quick_share: float = 0.0
    avoidance_seconds: float = 0.0
    avoided_until: float = 0.0
    crashed_at: float | None = None


def record_answer(
    health: Health, seconds: float, now: float, *, cold: bool = False
) -> bool:
    """Record the service time of an answer; return whether an avoidance starts.

    Parameters
    ----------
    seconds : float
        Time from sending the request to its answer.
    cold : bool
        Whether the upstream had not reached its full speed after its start.

    Examples
    --------
    >>> health = Health()
    >>> any(record_answer(health, 0.05, 1.0) for _ in range(50))
    False
    >>> [record_answer(health, 0.001, 2.0) for _ in range(3)]
    [False, False, True]
    >>> get_avoidance_left(health, 2.25)
    0.75
    """
    service_time = health.cold if cold else health.warm
    known = service_time.answers >= MIN_SERVICE_TIME_ANSWERS
    is_quick = known and seconds < QUICK_ANSWER_RATIO * service_time.seconds
    health.quick_share += (is_quick - health.quick_share) * QUICK_ANSWER_WEIGHT
    if is_quick:
        if health.quick_share < MAX_QUICK_SHARE or now < health.avoided_until:
            return False
        _start_avoidance(health, now)
        return True
    service_time.answers += 1
    weight = max(SERVICE_TIME_WEIGHT, 1 / service_time.answers)
    service_time.seconds += (seconds - service_time.seconds) * weight
    return False


def estimate_service_time(health: Health, *, cold: bool) -> float:
    """Return the mean service time in seconds; 0 if unknown.

    If only the cold or only the warm one is known, it is used for both.

    Examples
    --------
    >>> health = Health()
    >>> record_answer(health, 0.08, 1.0, cold=True)
    False
    >>> estimate_service_time(health, cold=False)
    0.08
    """
    first, second = health.warm, health.cold
    if cold:
        first, second = second, first
    return first.seconds if first.answers else second.seconds


def record_crash(health: Health, now: float) -> None:
    """Record that a boot of the upstream has ended without notice."""
    earlier = health.crashed_at
    health.crashed_at = now
    if earlier is not None and now - earlier < AVOIDANCE_RESET_SECONDS:
        _start_avoidance(health, now)


def _start_avoidance(health: Health, now: float) -> None:
    is_reset = now - health.avoided_until > AVOIDANCE_RESET_SECONDS
    doubled = min(health.avoidance_seconds * 2, MAX_AVOIDANCE_SECONDS)
    health.avoidance_seconds = (
        FIRST_AVOIDANCE_SECONDS if is_reset or not health.avoidance_seconds else doubled
    )
    health.avoided_until = now + health.avoidance_seconds
    health.quick_share = 0.0


def get_avoidance_left(health: Health, now: float) -> float:
    """Return the seconds that are left of the current avoidance."""
    return max(health.avoided_until - now, 0.0)
