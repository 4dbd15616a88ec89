"""A randomized soak: the real programs as processes, faults from outside.

``python -m properties.soak --seeds 1-50`` plays one run a seed and ends with 1
if a promise was broken; ``--fresh MINUTES`` draws seeds until the time is over.
Every run prints its seed and its faults, and keeps its logs if it fails.

While faults overlap, callers go on; the stand-ins check each packet (unchanged,
right service, no reset of a flow whose upstream and VMs were undisturbed).  At
the end all faults are taken back, and every new request must be answered.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import click
from attrs import define, field

from shedsill.datagram._messages import UpstreamState
from shedsill.testing.deployment import Deployment

BALANCERS = tuple(f"127.0.1.{n}" for n in range(1, 4))
AGENTS = {f"127.0.2.{n}": "intake" if n % 3 == 0 else "dispatcher" for n in range(1, 7)}
SERVICES = ("dispatcher", "intake")
CALLS_PER_SECOND = 20
FAULT_PAUSE = (0.2, 1.2)
FAULT_TIME = (0.3, 3.0)
RECOVERY_TIME = 6.0
FINAL_CALLS = 24
MAX_MEMORY_KB = 80_000
MAX_LOG_OCTETS = 4_000_000
STORE_FAULTS = ("busy", "reset", "silent", "slow", "lost", "forgotten")


@define
class Soak:
    """One run with one seed."""

    deployment: Deployment
    generator: random.Random
    faults: list[str] = field(factory=list)
    _open: set[asyncio.Task] = field(factory=set)

    async def play(self, seconds: float) -> list[str]:
        """Play the run and return what was broken."""
        for host, service in AGENTS.items():
            await self.deployment.start_agent(host, service)
        for host in BALANCERS:
            await self.deployment.start_balancer(host)
        for host in (*AGENTS, *BALANCERS):
            await self.deployment.wait_ready(host)
        await self.deployment.wait_known()
        calls = asyncio.create_task(self._call_steadily())
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._begin_fault()
            await asyncio.sleep(self.generator.uniform(*FAULT_PAUSE))
        await asyncio.gather(*self._open)
        calls.cancel()
        return await self._check_recovery()

    async def _call_steadily(self) -> None:
        while True:
            service = self.generator.choice(SERVICES)
            caller = self.deployment.call(service, self.generator.choice(BALANCERS))
            if self.generator.random() < 0.3:
                self._remap(caller.flow)
            await asyncio.sleep(1 / CALLS_PER_SECOND)

    def _remap(self, flow: bytes) -> None:
        """Have the routers send a flow to another balancer soon."""
        other = self.generator.choice(BALANCERS)
        asyncio.get_running_loop().call_later(
            self.generator.uniform(0.0, 0.1),
            lambda: self.deployment.routers.update({flow: other}),
        )

    def _begin_fault(self) -> None:
        kinds = (
            self._kill,
            self._freeze,
            self._stop,
            self._hang_up,
            self._crash_upstream,
            self._drain_upstream,
            self._disturb_store,
            self._change_table,
        )
        fault = self.generator.choice(kinds)
        span = self.generator.uniform(*FAULT_TIME)
        host = self.generator.choice([*AGENTS, *BALANCERS])
        self.faults.append(f"{fault.__name__[1:]} {host} {span:.1f}")
        task = asyncio.create_task(fault(host, span))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _kill(self, host: str, span: float) -> None:
        self.deployment.disturb(host, span)
        await self.deployment.kill(host)
        await asyncio.sleep(span)
        await self._ensure(host)

    async def _freeze(self, host: str, span: float) -> None:
        self.deployment.disturb(host, span)
        node = self.deployment.nodes[host]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        node.signal(signal.SIGCONT)

    async def _stop(self, host: str, span: float) -> None:
        node = self.deployment.nodes[host]
        node.signal(signal.SIGTERM)
        await asyncio.sleep(span)
        if node.process is not None:
            await node.process.wait()
        await self._ensure(host)

    async def _hang_up(self, host: str, span: float) -> None:
        self.deployment.change_settings(host, seeds=[f"{BALANCERS[0]}:1"])
        self.deployment.nodes[host].signal(signal.SIGHUP)

    async def _crash_upstream(self, host: str, span: float) -> None:
        host = self.generator.choice(list(AGENTS))
        self.deployment.disturb(host, span)
        self.deployment.upstreams[host].crash()
        await asyncio.sleep(span)
        await self.deployment.start_upstream(host, AGENTS[host])

    async def _drain_upstream(self, host: str, span: float) -> None:
        host = self.generator.choice(list(AGENTS))
        self.deployment.upstreams[host].state = UpstreamState.DRAINING
        await asyncio.sleep(span)
        self.deployment.upstreams[host].state = UpstreamState.READY

    async def _disturb_store(self, host: str, span: float) -> None:
        faults = self.deployment.store.faults
        match self.generator.choice(STORE_FAULTS):
            case "slow":
                faults.delay = 0.3
            case "lost":
                faults.lose_answers = 3
            case "forgotten":
                self.deployment.store.forget_history()
            case down:
                faults.down = down
        await asyncio.sleep(span)
        faults.down, faults.delay, faults.lose_answers = "", 0.0, 0

    async def _change_table(self, host: str, span: float) -> None:
        self.deployment.write_table()

    async def _ensure(self, host: str) -> None:
        if not self.deployment.nodes[host].running:
            await self.deployment.restart(host)

    async def _check_recovery(self) -> list[str]:
        """Take the last faults back; then every request must be answered."""
        for host in (*AGENTS, *BALANCERS):
            await self._ensure(host)
        for host, upstream in list(self.deployment.upstreams.items()):
            upstream.state = UpstreamState.READY
            if not upstream.alive:
                await self.deployment.start_upstream(host, AGENTS[host])
        await asyncio.sleep(RECOVERY_TIME)
        callers = [
            self.deployment.call(SERVICES[n % 2], BALANCERS[n % len(BALANCERS)])
            for n in range(FINAL_CALLS)
        ]
        await self.deployment.settle(callers)
        broken = [f"{type(e).__name__}: {e}" for e in self.deployment.errors]
        failed = [c.outcome for c in callers if c.outcome != "answered"]
        broken += [f"a request after the recovery: {outcome}" for outcome in failed]
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
        if log.stat().st_size > MAX_LOG_OCTETS:
            broken.append(f"{host} wrote {log.stat().st_size} octets of log")
        if "Traceback" in log.read_text():
            broken.append(f"{host} wrote a traceback")
        return broken


def run_seed(seed: int, seconds: float) -> list[str]:
    """Play one run; print and return what was broken."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))

    async def run() -> tuple[list[str], list[str], int]:
        async with Deployment(folder, SERVICES) as deployment:
            soak = Soak(deployment=deployment, generator=random.Random(seed))
            broken = await soak.play(seconds)
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
def main(seeds: str, seconds: float, fresh: float) -> None:
    """Run the soak."""
    first, _, last = seeds.partition("-")
    numbers = list(range(int(first), int(last or first) + 1))
    failed = []
    if fresh:
        end = time.monotonic() + fresh * 60
        while time.monotonic() < end:
            seed = random.SystemRandom().getrandbits(31)
            failed += [seed] if run_seed(seed, seconds) else []
    else:
        failed = [seed for seed in numbers if run_seed(seed, seconds)]
    click.echo(f"failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
