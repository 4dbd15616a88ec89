"""A randomized soak: the real programs as processes, faults from outside.

``python -m properties.soak --seeds 1-50`` plays one run a seed and ends with 1
if a promise was broken; ``--fresh MINUTES`` draws seeds until the time is over.
Every run prints its seed and its faults, and keeps its logs if it fails.

While faults overlap, callers go on, half of them with several requests on a flow;
the stand-ins check each packet (unchanged, right service, no reset of a flow whose
upstream and VMs were undisturbed).  At the end all faults are taken back, every new
request must be answered, and no request may have run on two upstreams.

All messages between nodes, forwarded packets and calls of the store go through
loopback proxies.  The nodes' decisions read no time of day and keep nothing on
storage, so there are no faults of clocks and storage.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator

import click
from attrs import define, field

from shedsill.datagram._messages import UpstreamState
from shedsill.testing.deployment import STORE_HOST, Deployment
from shedsill.testing.links import LinkFault, Links
from shedsill.testing.weakened import GUARDS

BALANCERS = 3
AGENTS = 6
SERVICES = ("dispatcher", "intake")
CALLS_PER_SECOND = 20
FAULT_PAUSE = (0.2, 1.2)
FAULT_TIME = (0.3, 3.0)
LONG_SHARE = 0.5
"""Share of callers that send several requests on their flow."""
LONG_REQUESTS = 12
REMAP_SHARE = 0.3
"""Share of flows that the routers soon send to another balancer."""
PLANNED_ONLY = 3
"""Each seed that this divides has planned steps only."""
DEAF_RUNS, DEAF_REST = 5, 3
"""Each seed with this rest has balancers that hear little; no VM counts as disturbed by
that, since what a balancer does not hear must end no flow."""
DEAF_TIME = (1.0, 4.0)
FLAPS = 3
NODE = ("shedsill.platform",)
WEAK_LINK = LinkFault(delay=0.02, jitter=0.1, loss=0.1, copies=0.2)
DEAF_LINK = LinkFault(loss=0.5)
CUT = LinkFault(cut=True)
RECOVERY_TIME = 6.0
FINAL_CALLS = 24
MAX_MEMORY_KB = 80_000
MAX_LOG_OCTETS = 4_000_000
STORE_FAULTS = ("busy", "reset", "silent", "slow", "lost", "forgotten")

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

Fault = Callable[[str, float, random.Random], Awaitable[None]]
"""A host, seconds, and where it draws the rest from."""


@define
class Soak:
    """One run with one seed."""

    deployment: Deployment
    seed: int
    balancers: tuple[str, ...]
    agents: dict[str, str]
    faults: list[str] = field(factory=list)
    _open: set[asyncio.Task] = field(factory=set)
    _starting: dict[str, asyncio.Lock] = field(factory=dict)

    async def play(self, seconds: float) -> list[str]:
        """Play the run and return what was broken."""
        for host, service in self.agents.items():
            await self.deployment.start_agent(host, service)
        for host in self.balancers:
            await self.deployment.start_balancer(host)
        for host in (*self.agents, *self.balancers):
            await self.deployment.wait_ready(host)
        await self.deployment.wait_known()
        calls = asyncio.create_task(self._call_steadily())
        plan = random.Random(self.seed)
        left = seconds
        while left > 0:
            self._begin_fault(plan)
            pause = plan.uniform(*FAULT_PAUSE)
            await asyncio.sleep(pause)
            left -= pause
        await asyncio.gather(*self._open)
        calls.cancel()
        return await self._check_recovery()

    async def _call_steadily(self) -> None:
        draw = random.Random(self.seed)
        while True:
            service = draw.choice(SERVICES)
            balancer = draw.choice(self.balancers)
            is_long = draw.random() < LONG_SHARE
            requests = LONG_REQUESTS if is_long else 1
            caller = self.deployment.call(service, balancer, requests=requests)
            if draw.random() < REMAP_SHARE:
                self._remap(caller.flow, draw)
            await asyncio.sleep(1 / CALLS_PER_SECOND)

    def _remap(self, flow: bytes, draw: random.Random) -> None:
        """Have the routers send a flow to another balancer soon."""
        other = draw.choice(self.balancers)
        asyncio.get_running_loop().call_later(
            draw.uniform(0.0, 0.1),
            lambda: self.deployment.routers.update({flow: other}),
        )

    def _list_kinds(self) -> tuple[Fault, ...]:
        """Return the faults of this run; every third seed has planned steps only,
        so that no VM counts as disturbed and every reset is judged."""
        planned = (
            self._stop,
            self._hang_up,
            self._drain_upstream,
            self._change_table,
        )
        if self.seed % PLANNED_ONLY == 0:
            return planned
        deaf = (self._deafen_balancer,) * 4
        return (
            *planned,
            *(deaf if self.seed % DEAF_RUNS == DEAF_REST else ()),
            self._kill,
            self._freeze,
            self._crash_upstream,
            self._flap_upstream,
            self._replace_upstream,
            self._disturb_store,
            self._cut_link,
            self._cut_node,
            self._weaken_node,
            self._reset_connections,
        )

    def _begin_fault(self, plan: random.Random) -> None:
        fault = plan.choice(self._list_kinds())
        span = plan.uniform(*FAULT_TIME)
        host = plan.choice([*self.agents, *self.balancers])
        draw = random.Random(plan.getrandbits(32))
        name = getattr(fault, "__name__", "")[1:]
        self.faults.append(f"{name} {host} {span:.1f}")
        task = asyncio.create_task(fault(host, span, draw))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _kill(self, host: str, span: float, draw: random.Random) -> None:
        self.deployment.disturb(host, span)
        await self.deployment.kill(host)
        await asyncio.sleep(span)
        await self._ensure(host)

    async def _freeze(self, host: str, span: float, draw: random.Random) -> None:
        self.deployment.disturb(host, span)
        node = self.deployment.nodes[host]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        node.signal(signal.SIGCONT)

    async def _stop(self, host: str, span: float, draw: random.Random) -> None:
        """Ask a node to stop; it starts again when it has ended."""
        node = self.deployment.nodes[host]
        node.signal(signal.SIGTERM)
        if node.process is not None:
            await node.process.wait()
        await self._ensure(host)

    async def _hang_up(self, host: str, span: float, draw: random.Random) -> None:
        self.deployment.change_settings(host, seeds=[f"{self.balancers[0]}:1"])
        self.deployment.nodes[host].signal(signal.SIGHUP)

    async def _crash_upstream(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        host = draw.choice(list(self.agents))
        self.deployment.disturb(host, span)
        self.deployment.upstreams[host].crash()
        await asyncio.sleep(span)
        await self.deployment.start_upstream(host, self.agents[host])

    async def _drain_upstream(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        host = draw.choice(list(self.agents))
        self.deployment.upstreams[host].state = UpstreamState.DRAINING
        await asyncio.sleep(span)
        self.deployment.upstreams[host].state = UpstreamState.READY

    async def _flap_upstream(self, host: str, span: float, draw: random.Random) -> None:
        for _ in range(FLAPS):
            await self._crash_upstream(host, span / FLAPS, draw)
            await asyncio.sleep(span / FLAPS)

    async def _replace_upstream(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        """Have an upstream of the other service take over an address."""
        host = draw.choice(list(self.agents))
        if list(self.agents.values()).count(self.agents[host]) == 1:
            return
        self.deployment.disturb(host, span)
        async with self._get_lock(host):
            # No other fault may start the old agent beside the new upstream.
            self.deployment.upstreams[host].crash()
            await self.deployment.kill(host)
            service = next(s for s in SERVICES if s != self.agents[host])
            self.agents[host] = service
            self.deployment.replace_service(host, service)
        await asyncio.sleep(span)
        if not self.deployment.upstreams[host].alive:
            await self.deployment.start_upstream(host, self.agents[host])
        await self._ensure(host)

    async def _cut_link(self, host: str, span: float, draw: random.Random) -> None:
        """Cut one direction between two nodes."""
        others = [*self.agents, *self.balancers, STORE_HOST]
        other = draw.choice([other for other in others if other != host])
        await self._break_links([(host, other)], CUT, span)

    async def _cut_node(self, host: str, span: float, draw: random.Random) -> None:
        """Cut a node off, from all others or only from the store."""
        others = [*self.agents, *self.balancers, STORE_HOST]
        if draw.random() < 0.5:
            others = [STORE_HOST]
        links = [link for o in others for link in ((host, o), (o, host))]
        await self._break_links(links, CUT, span)

    async def _weaken_node(self, host: str, span: float, draw: random.Random) -> None:
        """Delay, lose, double and reorder what goes to and from a node."""
        others = [*self.agents, *self.balancers]
        links = [link for o in others for link in ((host, o), (o, host))]
        await self._break_links(links, WEAK_LINK, span)

    async def _deafen_balancer(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        """Lose half of what goes between a balancer and the agents."""
        host = draw.choice(self.balancers)
        faults = self._get_links().faults
        links = [link for a in self.agents for link in ((host, a), (a, host))]
        faults.update(dict.fromkeys(links, DEAF_LINK))
        await asyncio.sleep(draw.uniform(*DEAF_TIME))
        for link in links:
            faults.pop(link, None)

    async def _break_links(
        self, links: list[tuple[str, str]], fault: LinkFault, span: float
    ) -> None:
        faults = self._get_links().faults
        for link in links:
            for host in link:
                self.deployment.disturb(host, span)
            faults[link] = fault
        await asyncio.sleep(span)
        for link in links:
            faults.pop(link, None)

    async def _reset_connections(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        self.deployment.disturb(host, 0.0)
        self._get_links().reset(host)

    def _get_links(self) -> Links:
        assert self.deployment.links is not None
        return self.deployment.links

    async def _disturb_store(self, host: str, span: float, draw: random.Random) -> None:
        faults = self.deployment.store.faults
        match draw.choice(STORE_FAULTS):
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

    async def _change_table(self, host: str, span: float, draw: random.Random) -> None:
        self.deployment.write_table()

    def _get_lock(self, host: str) -> asyncio.Lock:
        return self._starting.setdefault(host, asyncio.Lock())

    async def _ensure(self, host: str) -> None:
        """Start a node that has ended; overlapping faults start it only once."""
        async with self._get_lock(host):
            if not self.deployment.nodes[host].running:
                await self.deployment.restart(host)

    async def _check_recovery(self) -> list[str]:
        """Take the last faults back; then every request must be answered."""
        self._get_links().faults.clear()
        for host in (*self.agents, *self.balancers):
            await self._ensure(host)
        for host, upstream in list(self.deployment.upstreams.items()):
            upstream.state = UpstreamState.READY
            if not upstream.alive:
                await self.deployment.start_upstream(host, self.agents[host])
        await asyncio.sleep(RECOVERY_TIME)
        callers = [
            self.deployment.call(
                SERVICES[n % 2], self.balancers[n % len(self.balancers)]
            )
            for n in range(FINAL_CALLS)
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
        if log.stat().st_size > MAX_LOG_OCTETS:
            broken.append(f"{host} wrote {log.stat().st_size} octets of log")
        if "Traceback" in log.read_text():
            broken.append(f"{host} wrote a traceback")
        return broken


def run_seed(
    seed: int,
    seconds: float,
    *,
    balancers: int = BALANCERS,
    agents: int = AGENTS,
    without: str = "",
) -> list[str]:
    """Play one run; print and return what was broken.

    Parameters
    ----------
    without : str
        A guard of `shedsill.testing.weakened` that is taken out.
    """
    program = ("shedsill.testing.weakened", without) if without else NODE
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))

    async def run() -> tuple[list[str], list[str], int]:
        links = Links(generator=random.Random(seed))
        async with Deployment(
            folder, SERVICES, links=links, program=program
        ) as deployment:
            soak = Soak(
                deployment=deployment,
                seed=seed,
                balancers=tuple(f"127.0.1.{n + 1}" for n in range(balancers)),
                agents={
                    f"127.0.2.{n + 1}": SERVICES[n % 3 == 2] for n in range(agents)
                },
            )
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
@click.option("--balancers", default=BALANCERS, show_default=True)
@click.option("--agents", default=AGENTS, show_default=True)
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
