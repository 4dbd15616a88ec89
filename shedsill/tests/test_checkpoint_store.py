"""The checkpoint of open flows as it is written and read."""

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
    """Gets what a checkpoint store reads and notes."""

    def __init__(self) -> None:
        self.taken: list[tuple[dict, bool]] = []
        self.notes: list[WriteLog] = []
        self.ages: list[float] = []

    def take(self, parts: dict, age: float, at_start: bool) -> None:
        self.taken.append((parts, at_start))
        self.ages.append(age)

    def make_store(self, platform) -> CheckpointStore:
        return CheckpointStore(
            platform, write_log=self.notes.append, handle_checkpoint=self.take
        )


def test_what_was_written_is_read_by_another_run() -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        recorder = Recorder()
        await recorder.make_store(platform).write(PARTS)
        await recorder.make_store(platform).read()
        assert recorder.taken == [(PARTS, True)]
        assert recorder.ages[0] < 1.0

    asyncio.run(scenario())


def test_a_new_collector_takes_over_what_the_last_one_has_written() -> None:
    """Its first write meets the object; the second one replaces it."""

    async def scenario() -> None:
        platform = MemoryPlatform()
        first, second = Recorder(), Recorder()
        await first.make_store(platform).write(PARTS)
        store = second.make_store(platform)
        await store.write({})
        assert second.taken == [(PARTS, False)]
        await store.write({"10.0.0.2": []})
        found = await platform.call(Get(kind=CHECKPOINT_KIND, name=CHECKPOINT_NAME))
        assert found.object.value["parts"] == {"10.0.0.2": []}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "value", [{}, {"written_at": 1.0, "parts": 3}, {"written_at": "x", "parts": {}}]
)
def test_a_value_of_another_form_is_logged_and_replaced(value: dict) -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        put = Put(kind=CHECKPOINT_KIND, name=CHECKPOINT_NAME, value=value, expected=0)
        await platform.call(put)
        recorder = Recorder()
        store = recorder.make_store(platform)
        await store.read()
        assert not recorder.taken
        assert recorder.notes[0].event.name == "MESSAGE_REFUSED"
        await store.write(PARTS)
        await store.read()
        assert recorder.taken == [(PARTS, True)]

    asyncio.run(scenario())


class AwayPlatform:
    """A store that answers nothing for a number of calls."""

    def __init__(self, platform: MemoryPlatform, *, away: int) -> None:
        self._platform = platform
        self.away = away

    async def call(self, call):
        self.away -= 1
        if self.away >= 0:
            return Unavailable(reason="away")
        return await self._platform.call(call)


def test_a_store_that_is_away_at_the_start_is_asked_again() -> None:
    async def scenario() -> None:
        platform = MemoryPlatform()
        recorder = Recorder()
        await recorder.make_store(platform).write(PARTS)
        await recorder.make_store(AwayPlatform(platform, away=2)).read()
        assert recorder.taken == [(PARTS, True)]
        await recorder.make_store(AwayPlatform(platform, away=2)).write(PARTS)
        assert [note.event.name for note in recorder.notes] == ["PLATFORM_FAILED"] * 3

    asyncio.run(scenario())
