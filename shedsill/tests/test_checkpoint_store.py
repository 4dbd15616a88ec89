"""Reads and writes of the checkpoint of open flows in the platform's store."""

from __future__ import annotations

import asyncio

import pytest

from shedsill._common_effects import WriteLog
from shedsill.coordination import MemoryPlatform
from shedsill.coordination.platform import Get, Put, Unavailable
from shedsill.datagram._messages import OpenFlow
from shedsill.datagram._runtime.checkpoints import (
    CHECKPOINT_KIND,
    CHECKPOINT_NAME,
    CheckpointStore,
)

FLOW = OpenFlow(
    flow=b"\x9cA\xc6\x12\x00\x01\x01\xbbd@\x00\x07",
    host="10.1.0.1",
    service="dispatcher",
    boot="i-1",
    caller_ack=7,
)
PARTS = {"10.0.0.1": [FLOW]}


class Recorder:
    """Records the checkpoints and log events of a checkpoint store."""

    def __init__(self) -> None:
        self.checkpoints: list[tuple[dict, bool]] = []
        self.records: list[WriteLog] = []
        self.ages: list[float] = []

    def handle_checkpoint(self, parts: dict, age: float, at_start: bool) -> None:
        self.checkpoints.append((parts, at_start))
        self.ages.append(age)

    def create_store(self, platform) -> CheckpointStore:
        return CheckpointStore(
            platform,
            write_log=self.records.append,
            handle_checkpoint=self.handle_checkpoint,
        )


def test_written_checkpoint_is_read_by_next_incarnation() -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        recorder = Recorder()
        await recorder.create_store(platform).write(PARTS)
        await recorder.create_store(platform).read()
        assert recorder.checkpoints == [(PARTS, True)]
        assert recorder.ages[0] < 1.0

    asyncio.run(scenario())


def test_first_write_of_new_collector_reads_earlier_checkpoint() -> None:
    """The first write returns a conflict; the second one replaces the object."""

    async def scenario() -> None:
        platform = MemoryPlatform()
        first, second = Recorder(), Recorder()
        await first.create_store(platform).write(PARTS)
        store = second.create_store(platform)
        await store.write({})
        assert second.checkpoints == [(PARTS, False)]
        await store.write({"10.0.0.2": []})
        found = await platform.call(Get(kind=CHECKPOINT_KIND, name=CHECKPOINT_NAME))
        assert found.object.value["parts"] == {"10.0.0.2": []}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "value", [{}, {"written_at": 1.0, "parts": 3}, {"written_at": "x", "parts": {}}]
)
def test_invalid_checkpoint_is_logged_and_replaced(value: dict) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        put = Put(kind=CHECKPOINT_KIND, name=CHECKPOINT_NAME, value=value, expected=0)
        await platform.call(put)
        recorder = Recorder()
        store = recorder.create_store(platform)
        await store.read()
        assert not recorder.checkpoints
        assert recorder.records[0].event.name == "MESSAGE_REFUSED"
        await store.write(PARTS)
        await store.read()
        assert recorder.checkpoints == [(PARTS, True)]

    asyncio.run(scenario())


class UnavailablePlatform:
    """A store that is unavailable for a number of calls."""

    def __init__(self, platform: MemoryPlatform, *, failures: int) -> None:
        self._platform = platform
        self.failures = failures

    async def call(self, call):
        self.failures -= 1
        if self.failures >= 0:
            return Unavailable(reason="away")
        return await self._platform.call(call)


def test_read_is_retried_while_store_is_unavailable() -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        recorder = Recorder()
        await recorder.create_store(platform).write(PARTS)
        await recorder.create_store(UnavailablePlatform(platform, failures=2)).read()
        assert recorder.checkpoints == [(PARTS, True)]
        await recorder.create_store(UnavailablePlatform(platform, failures=2)).write(
            PARTS
        )
        assert [record.event.name for record in recorder.records] == [
            "PLATFORM_FAILED"
        ] * 3

    asyncio.run(scenario())
