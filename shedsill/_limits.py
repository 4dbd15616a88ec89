"""Token buckets for rate limits."""

from __future__ import annotations

from msgspec import Struct


class Bucket(Struct, frozen=True):
    """Tokens left, as of a local time."""

    tokens: float
    updated_at: float


class Rate(Struct, frozen=True, kw_only=True):
    """A rate limit in tokens per second, and the capacity for bursts."""

    per_second: float
    burst: float


def take_token(bucket: Bucket | None, rate: Rate, now: float) -> tuple[Bucket, bool]:
    """Refill a bucket and take a token; also returns whether one was available.

    Examples
    --------
    >>> rate = Rate(per_second=1.0, burst=2.0)
    >>> bucket, allowed = take_token(None, rate, 0.0)
    >>> bucket, allowed = take_token(bucket, rate, 0.0)
    >>> bucket, allowed = take_token(bucket, rate, 0.0)
    >>> allowed, take_token(bucket, rate, 1.0)[1]
    (False, True)
    """
    if bucket is None:
        bucket = Bucket(rate.burst, now)
    elapsed = max(now - bucket.updated_at, 0.0)
    tokens = min(bucket.tokens + elapsed * rate.per_second, rate.burst)
    if tokens < 1.0:
        return Bucket(tokens, now), False
    return Bucket(tokens - 1.0, now), True
