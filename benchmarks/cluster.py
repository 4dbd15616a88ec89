"""Control traffic and propagation time of a change, with real processes."""

from __future__ import annotations

import asyncio
import tempfile
import time

import aiohttp

from benchmarks.results import Result
from shedsill.testing.documents import PECAN_BOTTOM_LAYOUTS
from shedsill.testing.processes import Cluster, run_cluster

IDLE_SECONDS = 10.0
CHANGE_COUNT = 5
POLL_INTERVAL_SECONDS = 0.02
SENT_BYTES_METRIC = "shedsill_control_octets_total "


def measure_cluster() -> list[Result]:
    """Measure a cluster of 3 balancers and 11 agents."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(PECAN_BOTTOM_LAYOUTS, directory)
        with run_cluster(cluster):
            return asyncio.run(_measure(cluster))


async def _measure(cluster: Cluster) -> list[Result]:
    nodes = {**cluster.balancer_addresses, **cluster.agent_addresses}
    async with aiohttp.ClientSession() as session:
        before = [await _read_sent_bytes(session, a) for a in nodes.values()]
        start = time.monotonic()
        await asyncio.sleep(IDLE_SECONDS)
        after = [await _read_sent_bytes(session, a) for a in nodes.values()]
        elapsed = time.monotonic() - start
        rates = [(b - a) / elapsed / 1e3 for a, b in zip(before, after, strict=True)]
        propagation_times = [
            await _time_change(session, cluster) for _ in range(CHANGE_COUNT)
        ]
    mean = sum(rates) / len(rates)
    return [
        Result("control sent per node, 14 nodes, mean", mean, "kB/s"),
        Result("control sent per node, 14 nodes, most", max(rates), "kB/s"),
        Result(
            "change in force on 14 nodes, mean",
            sum(propagation_times) / CHANGE_COUNT,
            "s",
        ),
        Result("change in force on 14 nodes, longest", max(propagation_times), "s"),
    ]


async def _read_sent_bytes(session: aiohttp.ClientSession, address) -> float:
    async with session.get(f"http://{address}/metrics") as response:
        text = await response.text()
    return float(text.partition(f"\n{SENT_BYTES_METRIC}")[2].split()[0])


async def _time_change(session: aiohttp.ClientSession, cluster: Cluster) -> float:
    """Return the seconds from a write until all nodes have its generation."""
    nodes = [*cluster.balancer_addresses.values(), *cluster.agent_addresses.values()]
    expected = 1 + max([await _read_generation(session, a) for a in nodes])
    await asyncio.to_thread(cluster.run_command, "rotate-keys", "--no-wait")
    start = time.monotonic()
    for address in nodes:
        while await _read_generation(session, address) < expected:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return time.monotonic() - start


async def _read_generation(session: aiohttp.ClientSession, address) -> int:
    async with session.get(f"http://{address}/status") as response:
        return (await response.json())["generation"]
