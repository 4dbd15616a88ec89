"""Writes this node's report to the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.coordination.platform import Get, Platform
from shedsill.datagram._messages import NodeReport
from shedsill.datagram._report_writes import (
    REPORT_KIND,
    RETRY_BACKOFF,
    ReportWrites,
    WriteResult,
    plan_call,
    record_outcome,
    record_read,
    record_version,
    request_write,
)

__all__ = ["REPORT_KIND", "RETRY_BACKOFF", "ReportWriter"]

FINAL_WRITE_TIMEOUT_SECONDS = 0.5
"""Time for which a planned stop waits for the last write."""


class ReportWriter:
    """Writes the latest report, with retries until the store has accepted it.

    Parameters
    ----------
    handle_earlier_report : callable
        Receives the stored value of an earlier incarnation of this node, and whether
        it was read at this node's start.  If a write has conflicted with it, that is
        not repeated; the handler requests what is to be stored instead.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        write_log: Callable[[WriteLog], None],
        handle_earlier_report: Callable[[object, bool], None],
        run_in_background: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self.platform = platform
        self._handle_earlier_report = handle_earlier_report
        self._run_in_background = run_in_background
        self.write_log = write_log
        self._writes = ReportWrites()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def pending(self) -> NodeReport | None:
        """Report that is to be stored or deleted."""
        return self._writes.pending

    def store(self, report: NodeReport) -> None:
        """Store a report in the background."""
        self._request_write(report, removing=False)

    def remove(self, report: NodeReport) -> None:
        """Delete this node's report in the background."""
        self._request_write(report, removing=True)

    def record_version(self, version: int) -> None:
        """Update the version after a read of all reports, unless a write is pending."""
        record_version(self._writes, version)

    async def read_earlier_report(self, host: str) -> None:
        """Read the report of an earlier incarnation, if the store is available.

        Otherwise the first write returns it as a conflict.
        """
        outcome = await self.platform.call(Get(kind=REPORT_KIND, name=host))
        self._pass_on(record_read(self._writes, outcome), at_start=True)

    def _request_write(self, report: NodeReport, *, removing: bool) -> None:
        request_write(self._writes, report, removing=removing)
        if self._idle.is_set():
            self._idle.clear()
            self._run_in_background(self._write())

    async def wait_until_written(self) -> None:
        """Wait a limited time for the last write."""
        try:
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_SECONDS):
                await self._idle.wait()
        except TimeoutError:
            fields = {"reason": "the last report was not stored in time"}
            self.write_log(WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields))

    async def _write(self) -> None:
        while (call := plan_call(self._writes)) is not None:
            result = record_outcome(self._writes, await self.platform.call(call))
            self._pass_on(result, at_start=False)
            if result.delay:
                await asyncio.sleep(result.delay)
        self._idle.set()

    def _pass_on(self, result: WriteResult, *, at_start: bool) -> None:
        if result.log_entry is not None:
            self.write_log(result.log_entry)
        if result.earlier_value is not None:
            self._handle_earlier_report(result.earlier_value, at_start)
