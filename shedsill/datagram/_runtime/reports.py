"""Writes this node's report to the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.coordination.backoff import Backoff, get_delay
from shedsill.coordination.platform import (
    Conflict,
    Delete,
    Found,
    Get,
    Outcome,
    Platform,
    Put,
    Stored,
    StoredObject,
    Unavailable,
)
from shedsill.datagram._messages import NodeReport, dump_report

REPORT_KIND = "shedsill-nodes"
"""Kind of the stored objects; there is one for each node, named by its host."""

RETRY_BACKOFF = Backoff(initial_delay=0.1, max_delay=1.0)
"""Delays between retries; a report has to be stored within 2 s after an outage."""

FINAL_WRITE_TIMEOUT_SECONDS = 0.5
"""Time for which a planned stop waits for the last write."""


class ReportWriter:
    """Writes the latest report, with retries until the store has accepted it.

    Parameters
    ----------
    handle_earlier_report : callable
        Receives the stored value of an earlier incarnation of this node, and whether
        it was read at this node's start.

    Attributes
    ----------
    version : int
        Version of the stored object; 0 if unknown.
    pending : NodeReport or None
        Report that is to be stored or deleted.
    pending_removal : bool
        Whether `pending` is to be deleted rather than stored.
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
        self.version = 0
        self.pending: NodeReport | None = None
        self.pending_removal = False
        self._idle = asyncio.Event()
        self._idle.set()

    def store(self, report: NodeReport) -> None:
        """Store a report in the background."""
        self._request_write(report, removing=False)

    def record_version(self, version: int) -> None:
        """Update the version after a read of all reports, unless a write is running."""
        if self._idle.is_set():
            self.version = version

    async def read_earlier_report(self, host: str) -> None:
        """Read the report of an earlier incarnation, if the store is available.

        Otherwise the first write returns it as a conflict.
        """
        match await self.platform.call(Get(kind=REPORT_KIND, name=host)):
            case Found(object=StoredObject(version=version, value=value)):
                if self.version == 0:
                    self.version = version
                    self._handle_earlier_report(value, True)
            case Unavailable(reason=reason):
                fields = {"reason": reason, "call": "earlier report"}
                self.write_log(WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields))

    def remove(self, report: NodeReport) -> None:
        """Delete this node's report in the background."""
        self._request_write(report, removing=True)

    def _request_write(self, report: NodeReport, *, removing: bool) -> None:
        self.pending = report
        self.pending_removal = removing
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
        failures = 0
        while self.pending is not None:
            report, removing = self.pending, self.pending_removal
            outcome = await self.platform.call(self._build_call(report, removing))
            match outcome:
                case Stored(version=version):
                    self.version = 0 if removing else version
                    failures = 0
                    self._clear_pending(report)
                case Conflict(current=current):
                    if current is not None and self.version == 0:
                        self._handle_earlier_report(current.value, False)
                    self.version = current.version if current else 0
                    failures += 1
                    if self._has_taken_effect(outcome, report, removing):
                        self._clear_pending(report)
                    elif failures > 1:
                        await asyncio.sleep(get_delay(RETRY_BACKOFF, failures - 1))
                case Unavailable(reason=reason):
                    failures += 1
                    if failures == 1:
                        fields = {"reason": reason, "call": "report"}
                        log_entry = WriteLog(
                            event=LogEvent.PLATFORM_FAILED, fields=fields
                        )
                        self.write_log(log_entry)
                    await asyncio.sleep(get_delay(RETRY_BACKOFF, failures))
        self._idle.set()

    def _build_call(self, report: NodeReport, removing: bool) -> Put | Delete:
        if removing:
            return Delete(kind=REPORT_KIND, name=report.host, expected=self.version)
        return Put(
            kind=REPORT_KIND,
            name=report.host,
            value=dump_report(report),
            expected=self.version,
        )

    def _has_taken_effect(
        self, outcome: Outcome, report: NodeReport, removing: bool
    ) -> bool:
        """Whether an earlier attempt whose response was lost has taken effect."""
        assert isinstance(outcome, Conflict)
        if outcome.current is None:
            return removing
        return not removing and outcome.current.value == dump_report(report)

    def _clear_pending(self, report: NodeReport) -> None:
        if self.pending is report:
            self.pending = None
