"""Client of the platform's object store, against a test server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from shedsill._addresses import Address
from shedsill.coordination.platform import (
    Changed,
    Conflict,
    Delete,
    Found,
    Get,
    HistoryGone,
    List,
    Listing,
    ListMachines,
    Outcome,
    Put,
    Stored,
    Unavailable,
    Watch,
)
from shedsill.coordination.watch import watch_changes
from shedsill.datagram._messages import NodeReport, Role, dump_report
from shedsill.datagram._runtime.http import Response
from shedsill.datagram._runtime.reports import REPORT_KIND, ReportWriter
from shedsill.platform import store as store_module
from shedsill.platform.store import ObjectStore
from shedsill.testing.object_store import ObjectStoreStandIn
from shedsill.testing.ports import get_free_ports

Scenario = Callable[[ObjectStoreStandIn, ObjectStore], Awaitable[None]]
KIND = "things"


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario against a new test server."""

    async def run() -> None:
        stand_in = ObjectStoreStandIn()
        runner = web.AppRunner(stand_in.make_app(), shutdown_timeout=0.1)
        await runner.setup()
        port = get_free_ports(1)[0]
        await web.TCPSite(runner, "127.0.0.1", port).start()
        try:
            await scenario(stand_in, ObjectStore(Address("127.0.0.1", port)))
        finally:
            await runner.cleanup()

    asyncio.run(run())


async def put(store: ObjectStore, name: str, expected: int = 0) -> Outcome:
    call = Put(kind=KIND, name=name, value={"n": name}, expected=expected)
    return await store.call(call)


def test_object_is_created_read_changed_and_deleted() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        assert await put(store, "a") == Stored(version=1)
        found = await store.call(Get(kind=KIND, name="a"))
        assert isinstance(found, Found) and found.object is not None
        assert (found.object.value, found.object.version) == ({"n": "a"}, 1)
        change = Put(kind=KIND, name="a", value={"n": 2}, expected=1)
        assert await store.call(change) == Stored(version=2)
        deleted = await store.call(Delete(kind=KIND, name="a", expected=2))
        assert isinstance(deleted, Stored)
        assert await store.call(Get(kind=KIND, name="a")) == Found(object=None)

    run_scenario(scenario)


def test_write_of_outdated_version_is_conflict() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        await put(store, "a")
        outcome = await put(store, "a")
        assert isinstance(outcome, Conflict)
        assert outcome.current is not None and outcome.current.version == 1
        gone = await store.call(Delete(kind=KIND, name="b", expected=0))
        assert gone == Conflict(current=None)

    run_scenario(scenario)


def test_list_of_several_pages_is_complete() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        stand_in.page_size = 3
        for number in range(8):
            stand_in.write(KIND, f"o{number}", {"n": number})
        listing = await store.call(List(kinds=(KIND,)))
        assert isinstance(listing, Listing)
        assert [o.value["n"] for o in listing.objects] == list(range(8))
        assert listing.revision == 8

    run_scenario(scenario)


def test_change_of_a_page_that_was_read_is_watched() -> None:
    """An agent that registers between two pages would be unknown until it changes."""

    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        stand_in.page_size = 3
        for number in range(5):
            stand_in.write(KIND, f"o{number}", {"n": number})
        stand_in.after_list = lambda: (
            stand_in.revision == 5 and stand_in.write(KIND, "a-new", {"n": 9})
        )
        listing = await store.call(List(kinds=(KIND,)))
        assert isinstance(listing, Listing)
        assert len(listing.objects) == 5
        watch = Watch(kinds=(KIND,), revision=listing.revision, patience=0.05)
        changed = await store.call(watch)
        assert isinstance(changed, Changed)
        assert [item.name for item in changed.objects] == ["a-new"]

    run_scenario(scenario)


def test_watch_returns_changed_and_deleted_objects() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        await put(store, "a")
        await put(store, "b")
        await store.call(Delete(kind=KIND, name="a", expected=1))
        changed = await store.call(Watch(kinds=(KIND,), revision=0, patience=1.0))
        assert isinstance(changed, Changed)
        assert [o.name for o in changed.objects] == ["b"]
        assert changed.deleted == ("a",)
        idle = Watch(kinds=(KIND,), revision=changed.revision, patience=0.05)
        assert await store.call(idle) == Changed(names=(), revision=3)

    run_scenario(scenario)


def test_watch_from_compacted_revision_is_history_gone() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        await put(store, "a")
        stand_in.drop_history()
        watch = Watch(kinds=(KIND,), revision=0, patience=1.0)
        assert await store.call(watch) == HistoryGone()

    run_scenario(scenario)


def test_watch_changes_lists_again_after_history_gone() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        await put(store, "a")
        outcomes = watch_changes(
            store, KIND, sleep=asyncio.sleep, get_timeout=lambda: 0.05
        )
        assert isinstance(await anext(outcomes), Listing)
        await put(store, "b")
        stand_in.drop_history()
        listing = await anext(outcomes)
        assert isinstance(listing, Listing) and len(listing.objects) == 2
        await outcomes.aclose()

    run_scenario(scenario)


@pytest.mark.parametrize("down", ["busy", "reset", "silent"])
def test_store_that_is_down_is_unavailable(
    down: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    timeout = store_module.CALL_TIMEOUT_SECONDS

    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        stand_in.faults.failure_mode = down
        with monkeypatch.context() as patch:
            patch.setattr(store_module, "CALL_TIMEOUT_SECONDS", timeout / 20)
            async with asyncio.timeout(0.9 * timeout):
                outcome = await store.call(Get(kind=KIND, name="a"))
        assert isinstance(outcome, Unavailable)
        stand_in.faults.failure_mode = ""
        assert await store.call(Get(kind=KIND, name="a")) == Found(object=None)

    run_scenario(scenario)


def test_write_with_lost_response_is_perhaps_applied() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        stand_in.faults.lose_answers = 1
        outcome = await put(store, "a")
        assert isinstance(outcome, Unavailable) and outcome.perhaps_applied
        assert (KIND, "a") in stand_in.objects

    run_scenario(scenario)


def test_unsupported_calls_are_unavailable() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        assert isinstance(await store.call(ListMachines()), Unavailable)
        assert isinstance(await store.call(List(kinds=("a", "b"))), Unavailable)
        assert stand_in.calls == 0

    run_scenario(scenario)


REPORT = NodeReport(host="10.1.0.1", role=Role.AGENT, zone="z", incarnation=1)


async def wait_until_written(writer: ReportWriter) -> None:
    for _ in range(300):
        if writer.pending is None:
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the report was not written in time")


def create_writer(
    store: ObjectStore, handle_earlier_report=lambda value, at_start: None
) -> ReportWriter:
    tasks = set()

    def run_in_background(coroutine) -> None:
        tasks.add(asyncio.get_running_loop().create_task(coroutine))

    return ReportWriter(
        platform=store,
        write_log=lambda note: None,
        handle_earlier_report=handle_earlier_report,
        run_in_background=run_in_background,
    )


def test_report_replaces_one_of_earlier_incarnation() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        stand_in.write(REPORT_KIND, REPORT.host, {"old": True})
        writer = create_writer(store)
        writer.store(REPORT)
        await wait_until_written(writer)
        stored = stand_in.objects[REPORT_KIND, REPORT.host]
        assert stored["spec"] == dump_report(REPORT)

    run_scenario(scenario)


def test_earlier_report_that_was_read_is_replaced_without_conflict() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        stand_in.write(REPORT_KIND, REPORT.host, {"old": True})
        read = []
        writer = create_writer(store, lambda *call: read.append(call))
        await writer.read_earlier_report(REPORT.host)
        assert read == [({"old": True}, True)]
        writer.store(REPORT)
        await wait_until_written(writer)
        assert stand_in.objects[REPORT_KIND, REPORT.host]["spec"] == dump_report(REPORT)
        assert read == [({"old": True}, True)]

    run_scenario(scenario)


def test_earlier_report_is_read_by_first_write_after_outage() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        stand_in.write(REPORT_KIND, REPORT.host, {"old": True})
        read = []
        writer = create_writer(store, lambda *call: read.append(call))
        stand_in.faults.failure_mode = "busy"
        await writer.read_earlier_report(REPORT.host)
        assert read == []
        stand_in.faults.failure_mode = ""
        writer.store(REPORT)
        await wait_until_written(writer)
        assert read == [({"old": True}, False)]

    run_scenario(scenario)


def test_report_is_written_after_lost_response_and_removed_after_outage() -> None:
    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        writer = create_writer(store)
        stand_in.faults.lose_answers = 1
        writer.store(REPORT)
        await wait_until_written(writer)
        stand_in.faults.failure_mode = "busy"
        writer.remove(REPORT)
        await asyncio.sleep(0.2)
        assert (REPORT_KIND, REPORT.host) in stand_in.objects
        stand_in.faults.failure_mode = ""
        await wait_until_written(writer)
        assert (REPORT_KIND, REPORT.host) not in stand_in.objects

    run_scenario(scenario)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["items", "events", "meta", "spec", "name", "rev", "current_rev"]
                + ["truncated", "deleted", "object"]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
CALLS = (
    Get(kind="config", name="main"),
    List(kinds=("config",)),
    Watch(kinds=("config",), revision=1, patience=0.1),
    Put(kind="config", name="main", value={}, expected=0),
    Delete(kind="config", name="main", expected=3),
)


@settings(max_examples=300, deadline=None)
@given(
    call=st.sampled_from(CALLS),
    status=st.sampled_from([200, 201, 404, 409, 410, 429, 503]),
    body=JSON.map(msgspec.json.encode) | st.binary(max_size=40),
)
def test_arbitrary_response_of_store_is_an_outcome(call, status, body) -> None:
    """An exception would end the watch of a balancer."""

    class FixedResponseClient:
        async def request(self, *_arguments, **_options) -> Response:
            return Response(status=status, body=body)

    store = ObjectStore(Address("127.0.0.1", 1))
    store._client = FixedResponseClient()
    outcome = asyncio.run(store.call(call))
    assert isinstance(outcome, Outcome)


def test_unanswered_watch_is_retried() -> None:
    """The store keeps the connection open but no longer responds on it."""

    async def scenario(stand_in: ObjectStoreStandIn, store: ObjectStore) -> None:
        await put(store, "a")
        outcomes = watch_changes(
            store, KIND, sleep=asyncio.sleep, get_timeout=lambda: 0.05
        )
        assert isinstance(await anext(outcomes), Listing)
        stand_in.faults.failure_mode = "silent"
        waiting = asyncio.ensure_future(anext(outcomes))
        await asyncio.sleep(0.02)
        stand_in.faults.failure_mode = ""
        await put(store, "b")
        assert isinstance(await waiting, Unavailable)
        changed = await anext(outcomes)
        assert isinstance(changed, Changed)
        assert changed.names == (f"{KIND}/b",)
        await outcomes.aclose()

    run_scenario(scenario)
