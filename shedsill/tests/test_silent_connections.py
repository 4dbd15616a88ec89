"""Calls and watches when an established connection goes silent without a reset.

The store must be used over a new connection within `MAX_DELAY_SECONDS`.
"""

from __future__ import annotations

import asyncio

import msgspec

from shedsill._addresses import Address
from shedsill.coordination.platform import (
    Changed,
    Get,
    Listing,
    Put,
    Stored,
    Unavailable,
)
from shedsill.coordination.watch import watch_changes
from shedsill.datagram._runtime.balancer import (
    COLLECTOR_WATCH_TIMEOUT_SECONDS,
    RETRY_BACKOFF,
)
from shedsill.platform.store import (
    CALL_TIMEOUT_SECONDS,
    WATCH_MARGIN_SECONDS,
    ObjectStore,
)

KIND = "config"
MAX_DELAY_SECONDS = 4.0


class SilentStore:
    """A store of one object whose connections can be silenced.

    Attributes
    ----------
    silent : int
        Number of connections, in the order of their creation, that are silent.
    revision : int
        Revision of the object and of the store.
    """

    def __init__(self) -> None:
        self.silent = 0
        self.revision = 1
        self.connections = 0
        self._changed = asyncio.Event()

    def change(self) -> None:
        """Change the object and answer waiting watches."""
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of a connection until it is silent."""
        number = self.connections
        self.connections += 1
        while head := await self._read_header(reader):
            body = await self._answer(head)
            if number < self.silent:
                await asyncio.sleep(60.0)
            answer = f"HTTP/1.1 200 -\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(answer.encode() + body)

    async def _read_header(self, reader: asyncio.StreamReader) -> str:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ""
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                await reader.readexactly(int(line.partition(":")[2]))
        return head

    async def _answer(self, head: str) -> bytes:
        item = {"meta": {"name": "main", "rev": self.revision}, "spec": {"n": 1}}
        target = head.split(" ", 2)[1]
        if "watch=" in target:
            if f"watch={self.revision}&" in target:
                await self._changed.wait()
            item["meta"]["rev"] = self.revision
            events = [{"object": item, "deleted": False}]
            value = {"events": events, "current_rev": self.revision}
        elif target.endswith(f"/{KIND}"):
            value = {"items": [item], "current_rev": self.revision}
        else:
            value = item
        return msgspec.json.encode(value)


async def start_store() -> tuple[SilentStore, asyncio.Server, ObjectStore]:
    stand_in = SilentStore()
    server = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return stand_in, server, ObjectStore(Address("127.0.0.1", port))


def test_call_after_silent_connection_uses_new_one() -> None:
    assert CALL_TIMEOUT_SECONDS + RETRY_BACKOFF.initial_delay < MAX_DELAY_SECONDS

    async def scenario() -> None:
        stand_in, server, store = await start_store()
        get = Get(kind=KIND, name="main")
        await store.call(get)
        stand_in.silent = 1
        assert isinstance(await store.call(get), Unavailable)
        put = Put(kind=KIND, name="main", value={}, expected=1)
        assert isinstance(await store.call(put), Stored)
        assert stand_in.connections == 2
        server.close()

    asyncio.run(scenario())


def test_watch_of_collector_receives_change_over_new_connection() -> None:
    """The watch sends nothing while it waits, so that its timeout must be short."""
    detected_after = (
        COLLECTOR_WATCH_TIMEOUT_SECONDS
        + WATCH_MARGIN_SECONDS
        + RETRY_BACKOFF.initial_delay
    )
    assert detected_after < MAX_DELAY_SECONDS

    async def scenario() -> None:
        stand_in, server, store = await start_store()
        outcomes = watch_changes(
            store,
            KIND,
            sleep=asyncio.sleep,
            get_timeout=lambda: 0.1,
            backoff=RETRY_BACKOFF,
        )
        assert isinstance(await anext(outcomes), Listing)
        stand_in.silent = 1
        waiting = asyncio.ensure_future(anext(outcomes))
        await asyncio.sleep(0.05)
        stand_in.change()
        assert isinstance(await waiting, Unavailable)
        changed = await anext(outcomes)
        assert isinstance(changed, Changed)
        assert [item.version for item in changed.objects] == [2]
        await outcomes.aclose()
        server.close()

    asyncio.run(scenario())
