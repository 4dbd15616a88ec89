"""Token buckets as values."""

from __future__ import annotations

from msgspec import Struct


class Bucket(Struct, frozen=True):
    """Tokens left, and the local time at which they were counted."""

    tokens: float
    updated_at: float


class Rate(Struct, frozen=True, kw_only=True):
    """A steady rate per second and the burst that may go beyond it."""

    per_second: float
    burst: float


def take_token(bucket: Bucket | None, rate: Rate, now: float) -> tuple[Bucket, bool]:
    """Refill a bucket and take one token; the flag says whether one was left.

    Examples
    --------
    >>> rate = Rate(per_second=1.0, burst=2.0)
    >>> bucket, taken = take_token(None, rate, 0.0)
    >>> bucket, taken = take_token(bucket, rate, 0.0)
    >>> bucket, taken = take_token(bucket, rate, 0.0)
    >>> taken, take_token(bucket, rate, 1.0)[1]
    (False, True)
    """
    if bucket is None:
        bucket = Bucket(rate.burst, now)
    elapsed = max(now - bucket.updated_at, 0.0)
    tokens = min(bucket.tokens + elapsed * rate.per_second, rate.burst)
    if tokens < 1.0:
        return Bucket(tokens, now), False
    return Bucket(tokens - 1.0, now), True
