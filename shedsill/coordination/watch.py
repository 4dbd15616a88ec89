"""Watches that resume from the last revision seen."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from shedsill.coordination.backoff import Backoff, get_delay
from shedsill.coordination.platform import (
    Changed,
    HistoryGone,
    List,
    Listing,
    Outcome,
    Platform,
    Unavailable,
    Watch,
)

DEFAULT_WATCH_TIMEOUT_SECONDS = 10.0


def get_default_timeout() -> float:
    """Return the default timeout of a watch in seconds."""
    return DEFAULT_WATCH_TIMEOUT_SECONDS


async def watch_kinds(
    platform: Platform,
    kinds: tuple[str, ...],
    *,
    sleep: Callable[[float], Awaitable[None]],
    timeout: float = DEFAULT_WATCH_TIMEOUT_SECONDS,
    backoff: Backoff | None = None,
) -> AsyncIterator[Listing]:
    """Yield a listing initially and after each change.

    A stale listing, with a lower revision than an earlier one, is ignored.  While the
    store is unavailable, calls are retried with growing delays.

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
    interrupt_watch: Callable[[], Awaitable[float]] | None = None,
    backoff: Backoff | None = None,
) -> AsyncIterator[Listing | Changed | Unavailable]:
    """Yield a listing initially and then only changes.

    For stores that return the changed objects from watches, which takes one call for
    each change instead of two.  If the history is gone, a new listing follows.
    Failures are yielded, too.

    Parameters
    ----------
    get_timeout : callable
        Returns the timeout of the next watch in seconds.
    delay_next_watch : callable
        Awaited after a listing or a change, so that the next watch returns several
        changes at once.  Returns a short timeout in seconds if that watch should not
        wait for further changes, and None otherwise.
    interrupt_watch : callable
        Awaited beside each watch.  When it returns, the watch is given up, as it may
        never be answered, and repeated with the returned timeout in seconds.

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
    short_timeout: float | None = None
    was_interrupted = False
    while True:
        if revision is None:
            outcome = await platform.call(List(kinds=(kind,)))
        else:
            patience = short_timeout or get_timeout()
            watch = Watch(kinds=(kind,), revision=revision, patience=patience)
            outcome = await _call_with_interrupt(platform, watch, interrupt_watch)
        was_delayed = short_timeout is not None and not was_interrupted
        was_interrupted = isinstance(outcome, float)
        short_timeout = None
        match outcome:
            case float():
                short_timeout = outcome
            case Listing() | Changed():
                failures = 0
                revision = outcome.revision
                yield outcome
                has_changes = isinstance(outcome, Listing) or outcome.names
                if delay_next_watch is not None and (has_changes or was_delayed):
                    short_timeout = await delay_next_watch()
            case HistoryGone():
                revision = None
            case Unavailable():
                failures += 1
                yield outcome
                await sleep(get_delay(backoff, failures))


async def _call_with_interrupt(
    platform: Platform,
    watch: Watch,
    interrupt_watch: Callable[[], Awaitable[float]] | None,
) -> Outcome | float:
    """Return a watch's outcome, or the timeout of the next one if interrupted."""
    if interrupt_watch is None:
        return await platform.call(watch)
    call = asyncio.ensure_future(platform.call(watch))
    interrupt = asyncio.ensure_future(interrupt_watch())
    try:
        await asyncio.wait((call, interrupt), return_when=asyncio.FIRST_COMPLETED)
        return call.result() if call.done() else interrupt.result()
    finally:
        call.cancel()
        interrupt.cancel()
