"""What an upstream's own behaviour says of its health.

Its status check may lie, and packets are opaque, but time is not: an upstream
that fails requests answers far quicker than the work takes.  Left alone, it
would even draw more flows, since it is never busy.  One that crashes again and
again breaks the flows that it is given in between.  Both are avoided for a
while: balancers offer them flows only if there is no other upstream.  Each pause
that follows soon after another is twice as long.
"""

from __future__ import annotations

from msgspec import Struct, field

QUICK_ANSWER_RATIO = 0.12
"""An answer that came within this share of the usual time counts as a failure.
Measured: failures take 1 to 3 ms where work takes 48; no answer of a healthy
upstream took less than 0.2 of the mean."""

QUICK_ANSWER_WEIGHT = 0.1
"""Weight of the latest answer in the share of quick ones."""

MAX_QUICK_SHARE = 0.25
"""Share of quick answers from which on an upstream is avoided: three in a row,
or a quarter of all."""

SERVICE_TIME_WEIGHT = 0.05
"""Weight of the latest ordinary answer in the usual time."""

MIN_SERVICE_TIME_ANSWERS = 8
"""Answers needed before the usual time is believed."""

FIRST_AVOIDANCE_SECONDS = 1.0
MAX_AVOIDANCE_SECONDS = 8.0
"""Seconds for which an upstream is avoided: long enough to spare callers most
failures, short enough to find soon that it has recovered."""

AVOIDANCE_RESET_SECONDS = 15.0
"""Seconds without a new reason after which pauses begin short again."""


class ServiceTime(Struct):
    """Mean time of the ordinary answers.

    Attributes
    ----------
    seconds : float
        The mean, in which later answers weigh more.
    answers : int
        Answers seen.
    """

    seconds: float = 0.0
    answers: int = 0


class Health(Struct):
    """What an agent has seen of its upstream.

    Attributes
    ----------
    warm, cold : ServiceTime
        How long requests take at full speed, and just after a start.
    quick_share : float
        Share of quick answers among the latest ones.
    avoidance_seconds : float
        Length of the last pause.
    avoided_until : float
        Local time until which the upstream is avoided.
    crashed_at : float or None
        When its last run ended without notice.
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
    """Take in the time of one answer; return whether a pause begins.

    Parameters
    ----------
    cold : bool
        Whether the upstream still worked slowly after its start.

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
    usual = health.cold if cold else health.warm
    known = usual.answers >= MIN_SERVICE_TIME_ANSWERS
    is_quick = known and seconds < QUICK_ANSWER_RATIO * usual.seconds
    health.quick_share += (is_quick - health.quick_share) * QUICK_ANSWER_WEIGHT
    if is_quick:
        if health.quick_share < MAX_QUICK_SHARE or now < health.avoided_until:
            return False
        _begin_pause(health, now)
        return True
    usual.answers += 1
    weight = max(SERVICE_TIME_WEIGHT, 1 / usual.answers)
    usual.seconds += (seconds - usual.seconds) * weight
    return False


def estimate_service_time(health: Health, *, cold: bool) -> float:
    """Return the mean seconds of a request; 0 where no answer has been seen.

    What has been seen only in the other state of warmth is taken for both.

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
    """Note that a run of the upstream has ended without notice."""
    earlier = health.crashed_at
    health.crashed_at = now
    if earlier is not None and now - earlier < AVOIDANCE_RESET_SECONDS:
        _begin_pause(health, now)


def _begin_pause(health: Health, now: float) -> None:
    forgiven = now - health.avoided_until > AVOIDANCE_RESET_SECONDS
    longer = min(health.avoidance_seconds * 2, MAX_AVOIDANCE_SECONDS)
    health.avoidance_seconds = (
        FIRST_AVOIDANCE_SECONDS if forgiven or not health.avoidance_seconds else longer
    )
    health.avoided_until = now + health.avoidance_seconds
    health.quick_share = 0.0


def get_avoidance_left(health: Health, now: float) -> float:
    """Return the seconds for which the upstream is still to be avoided."""
    return max(health.avoided_until - now, 0.0)
