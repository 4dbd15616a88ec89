"""Selected cases of the fault matrix, with processes on loopback."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import socket
from collections.abc import Iterator

import aiohttp
import pytest
import yaml

from shedsill.testing.client import HttpClient, Response, open_client, wait_for_body
from shedsill.testing.documents import make_layout
from shedsill.testing.processes import Cluster, run_cluster

SERVICE = "dispatcher"
STREAM = "/stream?interval=0.05"
MORE_BYTES = 60
MALFORMED_DATAGRAMS = 200


@pytest.fixture
def cluster(tmp_path) -> Iterator[Cluster]:
    layouts = (
        make_layout(SERVICE, count=3, slots=3),
        make_layout("intake", count=2, slots=3),
    )
    cluster = Cluster(layouts, str(tmp_path))
    cluster.extra_options["balancer"] = ("--quiet", "0.5")
    cluster.extra_options["agent"] = ("--idle-span", "0.3")
    with run_cluster(cluster):
        yield cluster


async def expect_progress(streams: list[Response]) -> None:
    """Assert that each stream receives more bytes and is not cut."""
    for stream in streams:
        await wait_for_body(stream, len(stream.body) + MORE_BYTES)
        assert not stream.is_interrupted


def open_streams(client: HttpClient, count: int) -> list[Response]:
    return [client.send_request("GET", STREAM)[1] for _ in range(count)]


def get_upstream_name(response: Response) -> str:
    return response.body.split()[0].decode()


def apply_upstreams(cluster: Cluster, name: str, leaving: bool) -> None:
    """Apply the upstream sets, without one upstream if `leaving`."""
    documents = list(yaml.safe_load_all(cluster.documents))
    for document in documents:
        spec = document["spec"]
        if leaving and "upstreams" in spec:
            kept = [u for u in spec["upstreams"] if u["name"] != name]
            spec["upstreams"] = kept
    path = pathlib.Path(cluster.directory) / "changed.yaml"
    path.write_text(yaml.safe_dump_all(documents))
    cluster.run_command("apply", "--force", "--wait", "-f", str(path))


async def withdraw(cluster: Cluster, *names: str) -> None:
    hosts = [cluster.balancer_addresses[name].host for name in names]
    body = {"withdrawn": hosts}
    await cluster.fetch_json(f"{cluster.fabric_url}/balancers", body=body)


def test_streams_survive_rolling_replacement(cluster: Cluster) -> None:
    """Replaces every balancer; an upstream drains, leaves and joins; keys rotate."""

    async def replace(name: str) -> None:
        await withdraw(cluster, name)
        cluster.processes[name].send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(cluster.processes[name].wait) == 0
        cluster.start_balancer(name, cluster.balancer_addresses[name])
        await cluster.wait_ready(name)
        await withdraw(cluster)

    async def run() -> None:
        front = cluster.service_addresses[SERVICE]
        async with open_client(front) as one, open_client(front) as two:
            streams = open_streams(one, 2) + open_streams(two, 2)
            await expect_progress(streams)
            drained = get_upstream_name(streams[0])
            await asyncio.to_thread(cluster.run_command, "drain", "--no-wait", drained)
            for name in cluster.balancer_addresses:
                await replace(name)
                rotate = ("rotate-keys", "--timeout", "20")
                await asyncio.to_thread(cluster.run_command, *rotate)
                await expect_progress(streams)
            await asyncio.to_thread(cluster.run_command, "undrain", drained)
            await expect_progress(streams)
            for leaving in (True, False):
                await asyncio.to_thread(apply_upstreams, cluster, drained, leaving)
                await expect_progress(streams)
        async with open_client(front) as client:
            claim = await client.request("POST", "/claim", body=b"after")
            assert claim.status == 200

    asyncio.run(run())


@pytest.mark.parametrize("fault_signal", [signal.SIGKILL, signal.SIGSTOP])
def test_streams_survive_a_killed_or_stopped_balancer(
    cluster: Cluster, fault_signal: signal.Signals
) -> None:
    async def run() -> None:
        async with open_client(cluster.service_addresses[SERVICE]) as client:
            streams = open_streams(client, 2)
            await expect_progress(streams)
            cluster.processes["balancer-1"].send_signal(fault_signal)
            await expect_progress(streams)
            await withdraw(cluster, "balancer-1")
            await asyncio.sleep(2.5)
            await expect_progress(streams)
            cluster.processes["balancer-1"].send_signal(signal.SIGCONT)
            await withdraw(cluster)
            await expect_progress(streams)
            claim = await client.request("POST", "/claim", body=b"x")
            assert claim.outcome == "done"

    asyncio.run(run())


def test_platform_outage_affects_neither_callers_nor_new_nodes(
    cluster: Cluster,
) -> None:
    async def run() -> None:
        cluster.processes["platform"].send_signal(signal.SIGSTOP)
        name = "balancer-2"
        cluster.processes[name].send_signal(signal.SIGKILL)
        await asyncio.to_thread(cluster.processes[name].wait)
        cluster.start_balancer(name, cluster.balancer_addresses[name])
        await cluster.wait_ready(name)
        async with open_client(cluster.service_addresses[SERVICE]) as client:
            claim = await client.request("POST", "/claim", body=b"x")
            assert claim.outcome == "done"
        cluster.processes["platform"].send_signal(signal.SIGCONT)
        await asyncio.to_thread(cluster.run_command, "rotate-keys", "--timeout", "30")

    asyncio.run(run())


def test_killed_agent_never_runs_a_request_twice(cluster: Cluster) -> None:
    async def run() -> None:
        front = cluster.service_addresses[SERVICE]
        async with open_client(front) as client:
            first = await client.request("GET", "/read")
            key = {"idempotency-key": first.ticket}
            name = get_upstream_name(first)
            faults = f"{cluster.upstream_urls[name]}/faults"
            await cluster.fetch_json(faults, body={"slow": 1.0})
            client.send_request("POST", "/claim", body=b"once", headers=key)
            await asyncio.sleep(0.3)
            cluster.processes[name].send_signal(signal.SIGKILL)
        await cluster.fetch_json(faults, body={"slow": 0.0})
        cluster.start_agent(name)
        await cluster.wait_ready(name)
        async with open_client(front) as client:
            again = await client.request("POST", "/claim", body=b"once", headers=key)
            assert (again.status, again.outcome) == (409, "unknown")
        entries = await cluster.read_journals(SERVICE)
        assert sum(entry["body"] == "once" for entry in entries) == 1

    asyncio.run(run())


def test_planned_stop_of_an_agent_finishes_requests_and_hands_over(
    cluster: Cluster,
) -> None:
    async def run() -> None:
        front = cluster.service_addresses[SERVICE]
        async with open_client(front) as client:
            first = await client.request("GET", "/read")
            key = {"idempotency-key": first.ticket}
            name = get_upstream_name(first)
            faults = f"{cluster.upstream_urls[name]}/faults"
            await cluster.fetch_json(faults, body={"slow": 0.6})
            _stream, running = client.send_request(
                "POST", "/claim", body=b"once", headers=key
            )
            await asyncio.sleep(0.2)
            cluster.processes[name].send_signal(signal.SIGTERM)
            await wait_for_body(running, 5)
            assert (running.status, running.outcome) == (200, "done")
        assert await asyncio.to_thread(cluster.processes[name].wait) == 0
        async with open_client(front) as client:
            again = await client.request("POST", "/claim", body=b"once", headers=key)
            assert (again.outcome, again.body) == ("done", running.body)
        entries = await cluster.read_journals(SERVICE)
        assert sum(entry["body"] == "once" for entry in entries) == 1

    asyncio.run(run())


def test_lossy_network_neither_loses_nor_repeats_requests(cluster: Cluster) -> None:
    async def run() -> None:
        faults = {"drop": 0.05, "duplicate": 0.1, "reorder": 0.2}
        await cluster.fetch_json(f"{cluster.fabric_url}/faults", body=faults)
        async with open_client(cluster.service_addresses[SERVICE]) as client:
            for index in range(30):
                body = f"claim-{index}".encode()
                claim = await client.request("POST", "/claim", body=body)
                assert claim.outcome == "done"
                assert body in claim.body
        entries = await cluster.read_journals(SERVICE)
        bodies = [entry["body"] for entry in entries]
        assert sorted(bodies) == sorted(f"claim-{index}" for index in range(30))

    asyncio.run(run())


@pytest.mark.parametrize(
    ("fault", "status", "outcome"),
    [
        ("cut", 502, "unknown"),
        ("shed", 503, "not-run"),
        ("fail", 500, "done"),
        ("odd", 200, "done"),
    ],
)
def test_faulty_answers_have_distinct_outcomes(
    cluster: Cluster, fault: str, status: int, outcome: str
) -> None:
    async def run() -> None:
        for url in cluster.upstream_urls.values():
            await cluster.fetch_json(f"{url}/faults", body={fault: True})
        async with open_client(cluster.service_addresses[SERVICE]) as client:
            claim = await client.request("POST", "/claim", body=b"x")
            assert (claim.status, claim.outcome) == (status, outcome)
            assert ("retry-after" in claim.headers) == (outcome == "not-run")
        entries = await cluster.read_journals(SERVICE)
        assert len(entries) == (0 if outcome == "not-run" else 1)

    asyncio.run(run())


def test_stream_cut_by_its_upstream_is_not_reported_as_complete(
    cluster: Cluster,
) -> None:
    async def run() -> None:
        async with open_client(cluster.service_addresses[SERVICE]) as client:
            (stream,) = open_streams(client, 1)
            await expect_progress([stream])
            name = get_upstream_name(stream)
            cluster.processes[f"upstream-{name}"].send_signal(signal.SIGKILL)
            async with asyncio.timeout(10):
                while not (stream.is_interrupted or stream.is_complete):
                    stream.changed.clear()
                    await stream.changed.wait()
            assert (stream.is_interrupted, stream.is_complete) == (True, False)

    asyncio.run(run())


def test_callers_validate_their_address_above_the_handshake_rate(
    tmp_path,
) -> None:
    async def run(cluster: Cluster) -> None:
        for _ in range(6):
            async with open_client(cluster.service_addresses["intake"]) as client:
                claim = await client.request("POST", "/claim", body=b"x")
                assert claim.outcome == "done"
        address = cluster.agent_addresses["intake-1"]
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/metrics") as response,
        ):
            text = await response.text()
        retries = text.partition('shedsill_events_total{event="206"}')[2].split()[0]
        assert float(retries) >= 3

    layout = make_layout("intake", count=1, slots=3)
    cluster = Cluster((layout,), str(tmp_path))
    cluster.extra_options["agent"] = (
        "--handshake-rate",
        "0.01/2",
        "--idle-span",
        "0.3",
    )
    with run_cluster(cluster):
        asyncio.run(run(cluster))


def test_upstreams_never_run_more_requests_than_slots(cluster: Cluster) -> None:
    async def run() -> None:
        for url in cluster.upstream_urls.values():
            await cluster.fetch_json(f"{url}/faults", body={"slow": 0.1})
        async with open_client(cluster.service_addresses[SERVICE]) as client:
            answers = await asyncio.gather(
                *(client.request("POST", "/claim", body=b"x") for _ in range(60))
            )
        refused = [a for a in answers if a.outcome == "not-run"]
        assert refused
        assert all(int(a.headers["retry-after"]) >= 1 for a in refused)
        journals = [
            await cluster.fetch_json(f"{url}/journal")
            for url in cluster.upstream_urls.values()
        ]
        assert max(journal["most_busy"] for journal in journals) <= 3
        done = [a for a in answers if a.outcome == "done"]
        assert sum(len(journal["entries"]) for journal in journals) == len(done)

    asyncio.run(run())


def test_malformed_datagrams_are_counted_and_service_continues(
    cluster: Cluster,
) -> None:
    async def read_metrics(name: str, number: int) -> float:
        address = {**cluster.balancer_addresses, **cluster.agent_addresses}[name]
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/metrics") as response,
        ):
            text = await response.text()
        metric = f'shedsill_events_total{{event="{number}"}}'
        return float(text.partition(metric)[2].split()[0])

    async def run() -> None:
        port = cluster._service_ports[SERVICE]
        sender = socket.socket(type=socket.SOCK_DGRAM)
        balancer = cluster.balancer_addresses["balancer-1"]
        agent = cluster.agent_addresses["dispatcher-1"]
        for size in range(MALFORMED_DATAGRAMS):
            data = os.urandom(size * 7)
            for target in ((balancer.host, port), balancer.pair, agent.pair):
                sender.sendto(data, target)
        sender.close()
        await asyncio.sleep(0.5)
        drops = [await read_metrics("balancer-1", n) for n in (300, 301)]
        assert sum(drops) > MALFORMED_DATAGRAMS * 0.9
        assert await read_metrics("balancer-1", 303) > MALFORMED_DATAGRAMS * 0.9
        assert await read_metrics("dispatcher-1", 303) > MALFORMED_DATAGRAMS * 0.9
        async with open_client(cluster.service_addresses[SERVICE]) as client:
            claim = await client.request("POST", "/claim", body=b"x")
            assert claim.outcome == "done"

    asyncio.run(run())
