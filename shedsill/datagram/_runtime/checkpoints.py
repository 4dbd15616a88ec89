"""Checkpoint of open flows in the platform's store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec
from msgspec import Struct

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.coordination.backoff import Backoff, get_delay
from shedsill.coordination.platform import (
    Conflict,
    Found,
    Get,
    Platform,
    Put,
    Stored,
    StoredObject,
    Unavailable,
)
from shedsill.datagram._messages import OpenFlow

CHECKPOINT_KIND = "shedsill-flows"
"""Kind of the stored object."""

CHECKPOINT_NAME = "open"

MAX_READ_ATTEMPTS = 4
"""Attempts to read the checkpoint at a balancer's start, before the collector
overwrites it some seconds later."""

RETRY_BACKOFF = Backoff(initial_delay=0.1, max_delay=0.5)
"""Delays between these attempts."""


class Checkpoint(Struct, frozen=True, kw_only=True):
    """The stored checkpoint.

    Attributes
    ----------
    written_at : float
        Unix time by the clock of the node that wrote it.  Clocks of nodes may differ
        by some seconds and may step.
    parts : dict of str to list of OpenFlow
        Open flows of each balancer, by its host.
    """

    written_at: float
    parts: dict[str, list[OpenFlow]]


CheckpointHandler = Callable[[dict[str, list[OpenFlow]], float, bool], None]
"""Receives the parts, their age in seconds, and whether they were read at the start."""


class CheckpointStore:
    """Reads and writes the checkpoint.

    Attributes
    ----------
    version : int
        Version of the stored object; 0 if unknown.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        write_log: Callable[[WriteLog], None],
        handle_checkpoint: CheckpointHandler,
    ) -> None:
        self.version = 0
        self._platform = platform
        self._write_log = write_log
        self._handle_checkpoint = handle_checkpoint
        self._writing = False

    async def read(self) -> None:
        """Read the checkpoint at this node's start, with retries."""
        call = Get(kind=CHECKPOINT_KIND, name=CHECKPOINT_NAME)
        for failures in range(1, MAX_READ_ATTEMPTS + 1):
            match await self._platform.call(call):
                case Found(object=found):
                    if found is not None:
                        self._handle_object(found, at_start=True)
                    return
                case Unavailable(reason=reason):
                    self._log_failure(reason)
            await asyncio.sleep(get_delay(RETRY_BACKOFF, failures))

    async def write(self, parts: dict[str, list[OpenFlow]]) -> None:
        """Replace the checkpoint; skipped while an earlier write is running.

        There are no retries, since the next checkpoint follows soon.
        """
        if self._writing:
            return
        self._writing = True
        value = msgspec.to_builtins(Checkpoint(written_at=time.time(), parts=parts))
        call = Put(
            kind=CHECKPOINT_KIND,
            name=CHECKPOINT_NAME,
            value=value,
            expected=self.version,
        )
        outcome = await self._platform.call(call)
        self._writing = False
        match outcome:
            case Stored(version=version):
                self.version = version
            case Conflict(current=None):
                self.version = 0
            case Conflict(current=StoredObject() as current):
                self._handle_object(current, at_start=False)
            case Unavailable(reason=reason):
                self._log_failure(reason)

    def _handle_object(self, found: StoredObject, *, at_start: bool) -> None:
        self.version = found.version
        try:
            checkpoint = msgspec.convert(found.value, Checkpoint)
        except msgspec.ValidationError as error:
            fields = {"source": "store: checkpoint", "error": str(error)}
            self._write_log(WriteLog(event=LogEvent.MESSAGE_REFUSED, fields=fields))
            return
        age = abs(time.time() - checkpoint.written_at)
        self._handle_checkpoint(checkpoint.parts, age, at_start)

    def _log_failure(self, reason: str) -> None:
        fields = {"reason": reason, "call": "checkpoint"}
        self._write_log(WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields))
