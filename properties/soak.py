"""A randomized soak: the real programs as processes, faults from outside.

``python -m properties.soak --seeds 1-50`` plays one run a seed and ends with 1
if a promise was broken; ``--fresh MINUTES`` draws seeds until the time is over.
Every run prints its seed and its faults, and keeps its logs if it fails.

While faults overlap, callers go on, half of them with several requests on a flow;
the stand-ins check each packet (unchanged, right service, no reset of a flow whose
upstream and VMs were undisturbed).  At the end all faults are taken back, every new
request must be answered, and no request may have run on two upstreams.

All messages between nodes, forwarded packets and calls of the store go through
loopback proxies.  The nodes keep nothing on storage, and read the time of day only for
the age of a checkpoint, so there are no faults of clocks and storage.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import shutil
import sys
import tempfile
import time
from collections.abc import Iterator

import click
from attrs import define, field

from properties.soak_faults import SERVICES, FaultInjector
from shedsill.datagram._messages import UpstreamState
from shedsill.testing.deployment import Deployment
from shedsill.testing.links import Links
from shedsill.testing.weakened import GUARDS

BALANCER_COUNT = 3
AGENT_COUNT = 6
CALLS_PER_SECOND = 20
FAULT_PAUSE_SECONDS = (0.2, 1.2)
FAULT_DURATION_SECONDS = (0.3, 3.0)
LONG_FLOW_SHARE = 0.5
"""Share of callers that send several requests on their flow."""
REQUESTS_PER_LONG_FLOW = 12
REMAP_SHARE = 0.3
"""Share of flows that the routers soon send to another balancer."""
NODE_PROGRAM = ("shedsill.platform",)
RECOVERY_SECONDS = 6.0
FINAL_CALL_COUNT = 24
MAX_MEMORY_KB = 80_000
MAX_LOG_BYTES = 4_000_000

REGRESSIONS = {
    7: "soak: an agent of the old service restarted beside the new upstream",
    11: "soak: two replacements of one upstream ended in the wrong order",
    12: "soak: a stopped agent was started again only after seconds, and given up",
    14: "a balancer ended on an answer that named a doubted flow twice",
    24: "as 12",
    30: "as 12",
    37: "as 12",
    41: "an agent took a caller's packet for its choice of an upstream that had ended",
}
"""Seeds that have failed once, with the cause."""


@define
class SoakRun:
    """One run with one seed."""

    deployment: Deployment
    seed: int
    injector: FaultInjector
    faults: list[str] = field(factory=list)
    _fault_tasks: set[asyncio.Task] = field(factory=set)

    async def run(self, seconds: float) -> list[str]:
        """Play the run and return what was broken."""
        for host, service in self.injector.agents.items():
            await self.deployment.start_agent(host, service)
        for host in self.injector.balancers:
            await self.deployment.start_balancer(host)
        for host in (*self.injector.agents, *self.injector.balancers):
            await self.deployment.wait_ready(host)
        await self.deployment.wait_known()
        calls = asyncio.create_task(self._send_calls())
        plan = random.Random(self.seed)
        left = seconds
        while left > 0:
            self._start_fault(plan)
            pause = plan.uniform(*FAULT_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            left -= pause
        await asyncio.gather(*self._fault_tasks)
        calls.cancel()
        return await self._check_recovery()

    async def _send_calls(self) -> None:
        draw = random.Random(self.seed)
        while True:
            service = draw.choice(SERVICES)
            balancer = draw.choice(self.injector.balancers)
            is_long = draw.random() < LONG_FLOW_SHARE
            requests = REQUESTS_PER_LONG_FLOW if is_long else 1
            caller = self.deployment.call(service, balancer, requests=requests)
            if draw.random() < REMAP_SHARE:
                self._remap_flow(caller.flow, draw)
            await asyncio.sleep(1 / CALLS_PER_SECOND)

    def _remap_flow(self, flow: bytes, draw: random.Random) -> None:
        """Have the routers send a flow to another balancer soon."""
        other = draw.choice(self.injector.balancers)
        asyncio.get_running_loop().call_later(
            draw.uniform(0.0, 0.1),
            lambda: self.deployment.routers.update({flow: other}),
        )

    def _start_fault(self, plan: random.Random) -> None:
        fault = plan.choice(self.injector.list_faults())
        span = plan.uniform(*FAULT_DURATION_SECONDS)
        host = plan.choice([*self.injector.agents, *self.injector.balancers])
        draw = random.Random(plan.getrandbits(32))
        name = getattr(fault, "__name__", "")
        self.faults.append(f"{name} {host} {span:.1f}")
        task = asyncio.create_task(fault(host, span, draw))
        self._fault_tasks.add(task)
        task.add_done_callback(self._fault_tasks.discard)

    async def _check_recovery(self) -> list[str]:
        """Take the last faults back; then every request must be answered."""
        self.injector.get_links().faults.clear()
        for host in (*self.injector.agents, *self.injector.balancers):
            await self.injector.ensure_running(host)
        for host, upstream in list(self.deployment.upstreams.items()):
            upstream.state = UpstreamState.READY
            if not upstream.alive:
                await self.deployment.start_upstream(host, self.injector.agents[host])
        await asyncio.sleep(RECOVERY_SECONDS)
        callers = [
            self.deployment.call(
                SERVICES[n % 2],
                self.injector.balancers[n % len(self.injector.balancers)],
            )
            for n in range(FINAL_CALL_COUNT)
        ]
        # A request without any outcome is reported below, as the others are.
        with contextlib.suppress(TimeoutError):
            await self.deployment.settle(callers)
        broken = [f"{type(e).__name__}: {e}" for e in self.deployment.errors]
        failed = [c.outcome for c in callers if c.outcome != "answered"]
        broken += [f"a request after the recovery: {outcome}" for outcome in failed]
        for flow in self.deployment.find_doubled():
            broken.append(f"requests of {flow.hex()} ran on two upstreams")
        for host, node in self.deployment.nodes.items():
            broken += self._check_process(host, node)
        return broken

    def _check_process(self, host: str, node) -> list[str]:
        broken = []
        if not node.running:
            return [f"{host} has ended by itself"]
        status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
        memory = next(li for li in status.splitlines() if li.startswith("VmRSS"))
        if int(memory.split()[1]) > MAX_MEMORY_KB:
            broken.append(f"{host} holds {memory}")
        log = self.deployment.folder / f"{host}.log"
        if log.stat().st_size > MAX_LOG_BYTES:
            broken.append(f"{host} wrote {log.stat().st_size} octets of log")
        if "Traceback" in log.read_text():
            broken.append(f"{host} wrote a traceback")
        return broken


def run_seed(
    seed: int,
    seconds: float,
    *,
    balancers: int = BALANCER_COUNT,
    agents: int = AGENT_COUNT,
    without: str = "",
) -> list[str]:
    """Play one run; print and return what was broken.

    Parameters
    ----------
    without : str
        A guard of `shedsill.testing.weakened` that is taken out.
    """
    program = ("shedsill.testing.weakened", without) if without else NODE_PROGRAM
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))

    async def run() -> tuple[list[str], list[str], int]:
        links = Links(generator=random.Random(seed))
        async with Deployment(
            folder, SERVICES, links=links, program=program
        ) as deployment:
            injector = FaultInjector(
                deployment=deployment,
                seed=seed,
                balancers=tuple(f"127.0.1.{n + 1}" for n in range(balancers)),
                agents={
                    f"127.0.2.{n + 1}": SERVICES[n % 3 == 2] for n in range(agents)
                },
            )
            soak = SoakRun(deployment=deployment, seed=seed, injector=injector)
            broken = await soak.run(seconds)
            return broken, soak.faults, len(deployment.callers)

    broken, faults, calls = asyncio.run(run())
    verdict = "; ".join(broken) if broken else "kept every promise"
    click.echo(f"seed {seed}: {len(faults)} faults, {calls} calls: {verdict}")
    if broken:
        click.echo(f"  logs: {folder}\n  faults: {', '.join(faults)}")
    else:
        shutil.rmtree(folder)
    return broken


@click.command()
@click.option("--seeds", default="1-3", show_default=True, help="FIRST-LAST.")
@click.option("--seconds", default=12.0, show_default=True, help="Faults in a run.")
@click.option("--fresh", default=0.0, help="Minutes of runs with fresh seeds.")
@click.option("--balancers", default=BALANCER_COUNT, show_default=True)
@click.option("--agents", default=AGENT_COUNT, show_default=True)
@click.option("--without", default="", type=click.Choice(["", *GUARDS]))
@click.option("--regressions", is_flag=True, help="Only seeds that failed once.")
def main(seeds: str, seconds: float, fresh: float, regressions: bool, **size) -> None:
    """Run the soak."""
    failed = []
    for seed in REGRESSIONS if regressions else draw_seeds(seeds, fresh):
        if run_seed(seed, seconds, **size):
            failed.append(seed)
    click.echo(f"failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def draw_seeds(seeds: str, fresh: float) -> Iterator[int]:
    """Yield the seeds of a range, or fresh ones until some minutes are over."""
    if not fresh:
        first, _, last = seeds.partition("-")
        yield from range(int(first), int(last or first) + 1)
        return
    end = time.monotonic() + fresh * 60
    while time.monotonic() < end:
        yield random.SystemRandom().getrandbits(31)


if __name__ == "__main__":
    main()
