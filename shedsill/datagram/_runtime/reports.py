"""Keeps this node's report in the platform's store."""

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
"""Kind of the objects in the platform's store, one a node, named by its host."""

RETRY_BACKOFF = Backoff(initial_delay=0.1, max_delay=1.0)
"""Delays between tries: a report has to be back 2 s after an outage."""

FINAL_WRITE_TIMEOUT_SECONDS = 0.5
"""Seconds that a planned stop waits for the last write."""


class ReportWriter:
    """Writes the latest report that was asked for, until the store has it.

    Attributes
    ----------
    version : int
        Of the stored object, as far as known; 0 where it is not.
    pending : NodeReport or None
        What the store should hold.
    handle_earlier_report : callable
        Gets the value that an earlier run of this node has left in the store, and
        whether the store answered at this node's start.
    removing : bool
        Whether `pending` is to be removed rather than stored.
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
        self.removing = False
        self._idle = asyncio.Event()
        self._idle.set()

    def store(self, report: NodeReport) -> None:
        """Have the store hold a report."""
        self._request_write(report, removing=False)

    def record_version(self, version: int) -> None:
        """Note the version of this node's report, where it was read with others."""
        if self._idle.is_set():
            self.version = version

    async def read_earlier_report(self, host: str) -> None:
        """Pass on what an earlier run of this node has left, if the store answers.

        Otherwise the first write meets it.
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
        """Have the store hold no report of this node."""
        self._request_write(report, removing=True)

    def _request_write(self, report: NodeReport, *, removing: bool) -> None:
        self.pending = report
        self.removing = removing
        if self._idle.is_set():
            self._idle.clear()
            self._run_in_background(self._write())

    async def wait_until_written(self) -> None:
        """Wait a moment for the last write."""
        try:
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_SECONDS):
                await self._idle.wait()
        except TimeoutError:
            fields = {"reason": "the last report was not stored in time"}
            self.write_log(WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields))

    async def _write(self) -> None:
        failures = 0
        while self.pending is not None:
            report, removing = self.pending, self.removing
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
                        note = WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields)
                        self.write_log(note)
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
        """Whether an earlier try, whose answer was lost, has taken effect."""
        assert isinstance(outcome, Conflict)
        if outcome.current is None:
            return removing
        return not removing and outcome.current.value == dump_report(report)

    def _clear_pending(self, report: NodeReport) -> None:
        if self.pending is report:
            self.pending = None
