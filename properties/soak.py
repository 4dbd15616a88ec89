"""Randomized soak test: real node processes with injected faults.

``python -m properties.soak --seeds 1-50`` does one run per seed and exits with 1 if
an invariant was violated; ``--fresh MINUTES`` draws random seeds until the time is up.
Every run prints its seed and the number of its faults; a failed one also prints the
faults and keeps its logs.

Callers send requests while faults overlap, half of them several requests per flow.
The simulated callers and upstreams check that each packet is unchanged and reaches
the right service, that no SYN reaches an upstream 3 s after its end was confirmed, and
that no flow is reset whose upstream and VMs were undisturbed.  In runs with an even
seed the upstreams bounce copies of SYNs that they have answered.
At the end all faults are removed; then every new request must be answered, and no
request may have run on two upstreams.  No agent may have taken a heartbeat that is
older than one which it, or its earlier incarnation, has taken of the same boot.

Messages between nodes, forwarded packets and calls to the store go through loopback
proxies.  Clock and disk faults are not injected: nodes write nothing to disk and read
the time of day only for the age of a checkpoint.
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
from shedsill.testing.flow_endpoints import Caller
from shedsill.testing.links import Links
from shedsill.testing.mutant_node import MUTATIONS

BALANCER_COUNT = 3
AGENT_COUNT = 6
CALLS_PER_SECOND = 20
FAULT_PAUSE_SECONDS = (0.2, 1.2)
FAULT_DURATION_SECONDS = (0.3, 3.0)
LONG_FLOW_SHARE = 0.5
"""Share of callers that send several requests on one flow."""
REQUESTS_PER_LONG_FLOW = 12
REPEATED_SYN_SHARE = 0.2
"""Share of callers of whose SYN a late copy reaches any balancer."""
MAX_COPY_DELAY_SECONDS = 0.5
REMAP_SHARE = 0.3
"""Share of flows that the routers move to another balancer."""
NODE_PROGRAM = ("shedsill.platform",)
RECOVERY_SECONDS = 6.0
FINAL_CALL_COUNT = 24
MAX_MEMORY_KB = 80_000
MAX_LOG_BYTES = 4_000_000

REGRESSIONS = {
    7: "soak: restarted an agent of the replaced service beside the new upstream",
    11: "soak: two replacements of one upstream completed out of order",
    12: "soak: restarted a stopped agent only after it had been declared lost",
    14: "a balancer exited on an answer that named an unverified flow twice",
    24: "same as 12",
    30: "same as 12",
    37: "same as 12",
    41: "an agent took a caller's packet as selecting an upstream that had ended",
}
"""Seeds of past failures, with the cause of each."""


@define
class SoakRun:
    """One run of the soak with one seed."""

    deployment: Deployment
    seed: int
    injector: FaultInjector
    faults: list[str] = field(factory=list)
    _fault_tasks: set[asyncio.Task] = field(factory=set)

    async def run(self, seconds: float) -> list[str]:
        """Inject faults for some seconds; return the violations found."""
        for host, service in self.injector.agents.items():
            await self.deployment.start_agent(host, service)
        for host in self.injector.balancers:
            await self.deployment.start_balancer(host)
        for host in (*self.injector.agents, *self.injector.balancers):
            await self.deployment.wait_ready(host)
        await self.deployment.wait_agents_known()
        calls = asyncio.create_task(self._send_calls())
        generator = random.Random(self.seed)
        remaining = seconds
        while remaining > 0:
            self._start_fault(generator)
            pause = generator.uniform(*FAULT_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            remaining -= pause
        await asyncio.gather(*self._fault_tasks)
        calls.cancel()
        return await self._check_recovery()

    async def _send_calls(self) -> None:
        generator = random.Random(self.seed)
        while True:
            service = generator.choice(SERVICES)
            balancer = generator.choice(self.injector.balancers)
            is_long = generator.random() < LONG_FLOW_SHARE
            requests = REQUESTS_PER_LONG_FLOW if is_long else 1
            caller = self.deployment.add_caller(service, balancer, requests=requests)
            if generator.random() < REMAP_SHARE:
                self._remap_flow(caller.flow, generator)
            if generator.random() < REPEATED_SYN_SHARE:
                self._repeat_syn(caller, generator)
            await asyncio.sleep(1 / CALLS_PER_SECOND)

    def _remap_flow(self, flow: bytes, generator: random.Random) -> None:
        """Make the routers move a flow to another balancer after a short delay."""
        other = generator.choice(self.injector.balancers)
        asyncio.get_running_loop().call_later(
            generator.uniform(0.0, 0.1),
            lambda: self.deployment.balancer_by_flow.update({flow: other}),
        )

    def _repeat_syn(self, caller: Caller, generator: random.Random) -> None:
        """Deliver a copy of a SYN late, through any balancer."""
        balancer = generator.choice(self.injector.balancers)
        asyncio.get_running_loop().call_later(
            generator.uniform(0.0, MAX_COPY_DELAY_SECONDS),
            lambda: self.deployment.repeat_syn(caller, balancer),
        )

    def _start_fault(self, generator: random.Random) -> None:
        fault = generator.choice(self.injector.list_faults())
        duration = generator.uniform(*FAULT_DURATION_SECONDS)
        host = generator.choice([*self.injector.agents, *self.injector.balancers])
        fault_generator = random.Random(generator.getrandbits(32))
        name = getattr(fault, "__name__", "")
        self.faults.append(f"{name} {host} {duration:.1f}")
        task = asyncio.create_task(fault(host, duration, fault_generator))
        self._fault_tasks.add(task)
        task.add_done_callback(self._fault_tasks.discard)

    async def _check_recovery(self) -> list[str]:
        """Remove all faults, then check that every new request is answered."""
        self.injector.get_links().faults.clear()
        for host in (*self.injector.agents, *self.injector.balancers):
            await self.injector.ensure_running(host)
        for host, upstream in list(self.deployment.upstreams.items()):
            upstream.state = UpstreamState.READY
            if not upstream.alive or upstream.is_end_confirmed:
                upstream.crash()
                await self.deployment.start_upstream(host, self.injector.agents[host])
        await asyncio.sleep(RECOVERY_SECONDS)
        callers = [
            self.deployment.add_caller(
                SERVICES[n % 2],
                self.injector.balancers[n % len(self.injector.balancers)],
            )
            for n in range(FINAL_CALL_COUNT)
        ]
        # A request without an outcome is reported below as a failure.
        with contextlib.suppress(TimeoutError):
            await self.deployment.wait_for_outcomes(callers)
        violations = [f"{type(e).__name__}: {e}" for e in self.deployment.errors]
        failed = [c.outcome for c in callers if c.outcome != "answered"]
        violations += [f"request after recovery: {outcome}" for outcome in failed]
        for flow in self.deployment.find_repeated_flows():
            violations.append(f"requests of flow {flow.hex()} ran on two upstreams")
        for host, node in self.deployment.nodes.items():
            violations += self._check_process(host, node)
        for host in self.injector.agents:
            violations += self._check_statements(host)
        return violations

    def _check_statements(self, host: str) -> list[str]:
        """Check that no heartbeat took the place of a later one of its boot.

        The log is that of all incarnations of the agent.
        """
        violations = []
        last_serials: dict[str, int] = {}
        for line in self.deployment.read_log(host):
            if line["name"] != "heartbeat_taken":
                continue
            boot, serial = line["boot"], line["serial"]
            if serial < last_serials.get(boot, 0):
                last = last_serials[boot]
                violations.append(
                    f"{host} took heartbeat {serial} of {boot} after {last}"
                )
            last_serials[boot] = max(serial, last_serials.get(boot, 0))
        return violations

    def _check_process(self, host: str, node) -> list[str]:
        violations = []
        if not node.is_running:
            return [f"{host} exited unexpectedly"]
        status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
        memory = next(li for li in status.splitlines() if li.startswith("VmRSS"))
        if int(memory.split()[1]) > MAX_MEMORY_KB:
            violations.append(f"{host} exceeds {MAX_MEMORY_KB} kB of memory: {memory}")
        log = self.deployment.folder / f"{host}.log"
        if log.stat().st_size > MAX_LOG_BYTES:
            violations.append(f"{host} wrote {log.stat().st_size} bytes of log")
        if "Traceback" in log.read_text():
            violations.append(f"{host} wrote a traceback")
        return violations


def run_seed(
    seed: int,
    seconds: float,
    *,
    balancers: int = BALANCER_COUNT,
    agents: int = AGENT_COUNT,
    without: str = "",
) -> list[str]:
    """Run the soak with one seed; print and return the violations.

    Parameters
    ----------
    without : str
        Guard of `shedsill.testing.mutant_node` to disable.
    """
    program = ("shedsill.testing.mutant_node", without) if without else NODE_PROGRAM
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))

    async def run() -> tuple[list[str], list[str], int]:
        links = Links(generator=random.Random(seed))
        async with Deployment(
            folder,
            SERVICES,
            links=links,
            program=program,
            bounces_syn_copies=seed % 2 == 0,
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
            violations = await soak.run(seconds)
            return violations, soak.faults, len(deployment.callers)

    violations, faults, calls = asyncio.run(run())
    verdict = "; ".join(violations) if violations else "no violations"
    click.echo(f"seed {seed}: {len(faults)} faults, {calls} calls: {verdict}")
    if violations:
        click.echo(f"  logs: {folder}\n  faults: {', '.join(faults)}")
    else:
        shutil.rmtree(folder)
    return violations


@click.command()
@click.option(
    "--seeds", default="1-3", show_default=True, help="Range of seeds: FIRST-LAST."
)
@click.option(
    "--seconds",
    default=12.0,
    show_default=True,
    help="Seconds of fault injection per run.",
)
@click.option(
    "--fresh", default=0.0, help="Minutes to run with random seeds, instead of --seeds."
)
@click.option(
    "--balancers",
    default=BALANCER_COUNT,
    show_default=True,
    help="Number of balancers.",
)
@click.option(
    "--agents", default=AGENT_COUNT, show_default=True, help="Number of agents."
)
@click.option(
    "--without",
    default="",
    type=click.Choice(["", *MUTATIONS]),
    help="Guard to disable, to check that the soak detects it.",
)
@click.option("--regressions", is_flag=True, help="Run only seeds that failed before.")
def main(seeds: str, seconds: float, fresh: float, regressions: bool, **size) -> None:
    """Run the soak test, one run per seed."""
    failed = []
    for seed in REGRESSIONS if regressions else draw_seeds(seeds, fresh):
        if run_seed(seed, seconds, **size):
            failed.append(seed)
    click.echo(f"failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def draw_seeds(seeds: str, fresh: float) -> Iterator[int]:
    """Yield the seeds of a range, or random ones for `fresh` minutes."""
    if not fresh:
        first, _, last = seeds.partition("-")
        yield from range(int(first), int(last or first) + 1)
        return
    end = time.monotonic() + fresh * 60
    while time.monotonic() < end:
        yield random.SystemRandom().getrandbits(31)


if __name__ == "__main__":
    main()
