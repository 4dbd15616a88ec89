"""Broken flows and interruptions during changes of nodes, with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import time

from attrs import define, field

from benchmarks.results import Result
from shedsill.testing.client import Response, open_client
from shedsill.testing.documents import PECAN_BOTTOM_LAYOUTS
from shedsill.testing.processes import Cluster, run_cluster

FLOW_COUNT = 40
STREAM_PATH = "/stream?interval=0.1"
SERVICE = "dispatcher"
SETTLE_SECONDS = 3.0
WATCH_INTERVAL_SECONDS = 0.05


@define
class StreamWatcher:
    """Counts broken streams and records the longest time without data."""

    streams: list[Response]
    longest_silence: float = 0.0
    _last_growth: dict[int, tuple[int, float]] = field(factory=dict)

    async def run(self) -> None:
        """Check the streams repeatedly until cancelled."""
        while True:
            now = time.monotonic()
            for index, stream in enumerate(self.streams):
                size, since = self._last_growth.get(index, (-1, now))
                if len(stream.body) != size:
                    self._last_growth[index] = (len(stream.body), now)
                elif not stream.is_interrupted:
                    self.longest_silence = max(self.longest_silence, now - since)
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

    def count_broken(self) -> int:
        """Return the number of streams that were cut."""
        return sum(stream.is_interrupted for stream in self.streams)


async def _replace_balancers(cluster: Cluster) -> None:
    for name, address in cluster.balancer_addresses.items():
        await _withdraw_balancers(cluster, [address.host])
        cluster.processes[name].send_signal(signal.SIGTERM)
        await asyncio.to_thread(cluster.processes[name].wait)
        cluster.start_balancer(name, address)
        await cluster.wait_ready(name)
        await _withdraw_balancers(cluster, [])


async def _drain_upstreams(cluster: Cluster) -> None:
    names = [n for n, owner in cluster.service_by_upstream.items() if owner == SERVICE]
    for name in names[:3]:
        await asyncio.to_thread(cluster.run_command, "drain", "--no-wait", name)
        await asyncio.sleep(SETTLE_SECONDS / 3)
        await asyncio.to_thread(cluster.run_command, "undrain", name)


async def _rotate_keys(cluster: Cluster) -> None:
    for _ in range(3):
        await asyncio.to_thread(cluster.run_command, "rotate-keys")


async def _kill_balancers(cluster: Cluster) -> None:
    """Kill two of three balancers; the fabric withdraws them a second later."""
    names = list(cluster.balancer_addresses)[:2]
    for name in names:
        cluster.processes[name].send_signal(signal.SIGKILL)
    await asyncio.sleep(1.0)
    await _withdraw_balancers(
        cluster, [cluster.balancer_addresses[name].host for name in names]
    )
    await asyncio.sleep(SETTLE_SECONDS)


async def _withdraw_balancers(cluster: Cluster, hosts: list[str]) -> None:
    await cluster.fetch_json(
        f"{cluster.fabric_url}/balancers", body={"withdrawn": hosts}
    )


SCENARIOS = {
    "all balancers replaced": _replace_balancers,
    "three upstreams drained and undrained": _drain_upstreams,
    "three key rotations": _rotate_keys,
    "two of three balancers killed": _kill_balancers,
}


async def _measure(cluster: Cluster) -> list[Result]:
    results = []
    async with contextlib.AsyncExitStack() as stack:
        streams = []
        for _ in range(FLOW_COUNT):
            client = await stack.enter_async_context(
                open_client(cluster.service_addresses[SERVICE])
            )
            streams.append(client.send_request("GET", STREAM_PATH)[1])
        await asyncio.sleep(SETTLE_SECONDS)
        for name, run_scenario in SCENARIOS.items():
            watcher = StreamWatcher(streams)
            task = asyncio.create_task(watcher.run())
            await run_scenario(cluster)
            await asyncio.sleep(SETTLE_SECONDS)
            task.cancel()
            broken = float(watcher.count_broken())
            results.append(Result(f"broken of {FLOW_COUNT} flows, {name}", broken, ""))
            results.append(
                Result(f"longest silence, {name}", watcher.longest_silence, "s")
            )
    return results


def measure_changes() -> list[Result]:
    """Run the scenarios one after another on the same flows."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(PECAN_BOTTOM_LAYOUTS, directory)
        cluster.extra_options["balancer"] = ("--quiet", "0.5")
        with run_cluster(cluster):
            return asyncio.run(_measure(cluster))
