"""A watch that resumes from the last revision it has seen."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

from shedsill.coordination.backoff import Backoff, get_delay
from shedsill.coordination.platform import (
    Changed,
    HistoryGone,
    List,
    Listing,
    Platform,
    Unavailable,
    Watch,
)

DEFAULT_WATCH_TIMEOUT_SECONDS = 10.0


def get_default_timeout() -> float:
    """Return the seconds for which a watch waits where nobody says otherwise."""
    return DEFAULT_WATCH_TIMEOUT_SECONDS


async def watch_kinds(
    platform: Platform,
    kinds: tuple[str, ...],
    *,
    sleep: Callable[[float], Awaitable[None]],
    timeout: float = DEFAULT_WATCH_TIMEOUT_SECONDS,
    backoff: Backoff | None = None,
) -> AsyncIterator[Listing]:
    """Yield a listing at first and after each change.

    A stale answer, with a revision below one already seen, is passed over.
    While the platform is unavailable the watch waits with growing delays.

    Examples
    --------
    >>> import asyncio
    >>> from shedsill.coordination import MemoryPlatform, watch_kinds
    >>> async def read_first():
    ...     async for listing in watch_kinds(
    ...         MemoryPlatform(), ("service",), sleep=asyncio.sleep
    ...     ):
    ...         return listing
    >>> asyncio.run(read_first())
    Listing(objects=(), revision=0)
    """
    backoff = backoff or Backoff()
    revision = -1
    failures = 0
    while True:
        listing = await platform.call(List(kinds=kinds))
        if not isinstance(listing, Listing) or listing.revision < revision:
            failures += 1
            await sleep(get_delay(backoff, failures))
            continue
        failures = 0
        if listing.revision > revision:
            revision = listing.revision
            yield listing
        changed = await platform.call(
            Watch(kinds=kinds, revision=revision, patience=timeout)
        )
        if not isinstance(changed, Changed):
            failures += 1
            await sleep(get_delay(backoff, failures))


async def watch_changes(
    platform: Platform,
    kind: str,
    *,
    sleep: Callable[[float], Awaitable[None]],
    get_timeout: Callable[[], float] = get_default_timeout,
    delay_next_watch: Callable[[], Awaitable[float | None]] | None = None,
    backoff: Backoff | None = None,
) -> AsyncIterator[Listing | Changed | Unavailable]:
    """Yield a listing at first and then only what has changed since.

    For platforms whose watches carry the changed objects: one call a change
    instead of two.  Where history is gone, a new listing follows.  Failures are
    yielded too, so that the caller can note them.

    Parameters
    ----------
    get_timeout : callable
        Returns the seconds for which the next watch waits.
    delay_next_watch : callable
        Awaited after a listing or a change, so that changes that come close together
        are fetched in one call.  Returns the timeout of the next watch where the
        caller only wants what has changed so far, and None otherwise.

    Examples
    --------
    >>> import asyncio
    >>> from shedsill.coordination import MemoryPlatform, watch_changes
    >>> async def read_first():
    ...     async for listing in watch_changes(
    ...         MemoryPlatform(), "service", sleep=asyncio.sleep
    ...     ):
    ...         return listing
    >>> asyncio.run(read_first())
    Listing(objects=(), revision=0)
    """
    backoff = backoff or Backoff()
    revision: int | None = None
    failures = 0
    short_patience: float | None = None
    while True:
        if revision is None:
            outcome = await platform.call(List(kinds=(kind,)))
        else:
            outcome = await platform.call(
                Watch(
                    kinds=(kind,),
                    revision=revision,
                    patience=short_patience or get_timeout(),
                )
            )
        was_short = short_patience is not None
        short_patience = None
        match outcome:
            case Listing() | Changed():
                failures = 0
                revision = outcome.revision
                yield outcome
                is_news = isinstance(outcome, Listing) or outcome.names
                if delay_next_watch is not None and (is_news or was_short):
                    short_patience = await delay_next_watch()
            case HistoryGone():
                revision = None
            case Unavailable():
                failures += 1
                yield outcome
                await sleep(get_delay(backoff, failures))
