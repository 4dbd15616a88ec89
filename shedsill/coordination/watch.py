"""A watch that resumes from the last revision it has seen."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

from shedsill.coordination.backoff import Backoff, get_delay
from shedsill.coordination.platform import (
    Changed,
    List,
    Listing,
    Platform,
    Watch,
)

DEFAULT_PATIENCE = 10.0


async def watch_kinds(
    platform: Platform,
    kinds: tuple[str, ...],
    *,
    sleep: Callable[[float], Awaitable[None]],
    patience: float = DEFAULT_PATIENCE,
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
            Watch(kinds=kinds, revision=revision, patience=patience)
        )
        if not isinstance(changed, Changed):
            failures += 1
            await sleep(get_delay(backoff, failures))
