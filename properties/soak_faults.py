"""The faults and planned steps of the soak, each played on one host or all.

Each takes a host, a length in seconds and a source of the numbers that it draws itself,
and ends once its fault has been taken back.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from attrs import define, field

from shedsill.datagram._messages import UpstreamState
from shedsill.testing.deployment import STORE_HOST, Deployment
from shedsill.testing.links import LinkFault, Links

SERVICES = ("dispatcher", "intake")
PLANNED_ONLY_DIVISOR = 3
"""Each seed that this divides has planned steps only."""
LOSSY_SEED_MODULUS, LOSSY_SEED_REMAINDER = 5, 3
"""Each seed with this rest has balancers that hear little; no VM counts as disturbed by
that, since what a balancer does not hear must end no flow."""
LOSS_SECONDS = (1.0, 4.0)
FLAP_COUNT = 3
DEGRADED_LINK = LinkFault(delay=0.02, jitter=0.1, loss=0.1, copies=0.2)
LOSSY_LINK = LinkFault(loss=0.5)
CUT_LINK = LinkFault(cut=True)
STORE_FAULTS = ("busy", "reset", "silent", "slow", "lost", "forgotten")

Fault = Callable[[str, float, random.Random], Awaitable[None]]
"""A host, seconds, and where it draws the rest from."""


@define
class FaultInjector:
    """Plays faults on one deployment."""

    deployment: Deployment
    seed: int
    balancers: tuple[str, ...]
    agents: dict[str, str]
    _start_locks: dict[str, asyncio.Lock] = field(factory=dict)

    def list_faults(self) -> tuple[Fault, ...]:
        """Return the faults of this run; every third seed has planned steps only,
        so that no VM counts as disturbed and every reset is judged."""
        planned = (
            self.stop_node,
            self.reload_settings,
            self.drain_upstream,
            self.change_table,
        )
        if self.seed % PLANNED_ONLY_DIVISOR == 0:
            return planned
        deaf = (self.lose_balancer_packets,) * 4
        return (
            *planned,
            *(deaf if self.seed % LOSSY_SEED_MODULUS == LOSSY_SEED_REMAINDER else ()),
            self.kill_node,
            self.freeze_node,
            self.crash_upstream,
            self.flap_upstream,
            self.replace_upstream,
            self.degrade_store,
            self.cut_link,
            self.cut_node,
            self.degrade_node_links,
            self.reset_connections,
        )

    async def kill_node(self, host: str, span: float, draw: random.Random) -> None:
        self.deployment.disturb(host, span)
        await self.deployment.kill(host)
        await asyncio.sleep(span)
        await self.ensure_running(host)

    async def freeze_node(self, host: str, span: float, draw: random.Random) -> None:
        self.deployment.disturb(host, span)
        node = self.deployment.nodes[host]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        node.signal(signal.SIGCONT)

    async def stop_node(self, host: str, span: float, draw: random.Random) -> None:
        """Ask a node to stop; it starts again when it has ended."""
        node = self.deployment.nodes[host]
        node.signal(signal.SIGTERM)
        if node.process is not None:
            await node.process.wait()
        await self.ensure_running(host)

    async def reload_settings(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        self.deployment.change_settings(host, seeds=[f"{self.balancers[0]}:1"])
        self.deployment.nodes[host].signal(signal.SIGHUP)

    async def crash_upstream(self, host: str, span: float, draw: random.Random) -> None:
        host = draw.choice(list(self.agents))
        self.deployment.disturb(host, span)
        self.deployment.upstreams[host].crash()
        await asyncio.sleep(span)
        await self.deployment.start_upstream(host, self.agents[host])

    async def drain_upstream(self, host: str, span: float, draw: random.Random) -> None:
        host = draw.choice(list(self.agents))
        self.deployment.upstreams[host].state = UpstreamState.DRAINING
        await asyncio.sleep(span)
        self.deployment.upstreams[host].state = UpstreamState.READY

    async def flap_upstream(self, host: str, span: float, draw: random.Random) -> None:
        for _ in range(FLAP_COUNT):
            await self.crash_upstream(host, span / FLAP_COUNT, draw)
            await asyncio.sleep(span / FLAP_COUNT)

    async def replace_upstream(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        """Have an upstream of the other service take over an address."""
        host = draw.choice(list(self.agents))
        if list(self.agents.values()).count(self.agents[host]) == 1:
            return
        self.deployment.disturb(host, span)
        async with self._get_start_lock(host):
            # No other fault may start the old agent beside the new upstream.
            self.deployment.upstreams[host].crash()
            await self.deployment.kill(host)
            service = next(s for s in SERVICES if s != self.agents[host])
            self.agents[host] = service
            self.deployment.replace_service(host, service)
        await asyncio.sleep(span)
        if not self.deployment.upstreams[host].alive:
            await self.deployment.start_upstream(host, self.agents[host])
        await self.ensure_running(host)

    async def cut_link(self, host: str, span: float, draw: random.Random) -> None:
        """Cut one direction between two nodes."""
        others = [*self.agents, *self.balancers, STORE_HOST]
        other = draw.choice([other for other in others if other != host])
        await self._break_links([(host, other)], CUT_LINK, span)

    async def cut_node(self, host: str, span: float, draw: random.Random) -> None:
        """Cut a node off, from all others or only from the store."""
        others = [*self.agents, *self.balancers, STORE_HOST]
        if draw.random() < 0.5:
            others = [STORE_HOST]
        links = [link for o in others for link in ((host, o), (o, host))]
        await self._break_links(links, CUT_LINK, span)

    async def degrade_node_links(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        """Delay, lose, double and reorder what goes to and from a node."""
        others = [*self.agents, *self.balancers]
        links = [link for o in others for link in ((host, o), (o, host))]
        await self._break_links(links, DEGRADED_LINK, span)

    async def lose_balancer_packets(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        """Lose half of what goes between a balancer and the agents."""
        host = draw.choice(self.balancers)
        faults = self.get_links().faults
        links = [link for a in self.agents for link in ((host, a), (a, host))]
        faults.update(dict.fromkeys(links, LOSSY_LINK))
        await asyncio.sleep(draw.uniform(*LOSS_SECONDS))
        for link in links:
            faults.pop(link, None)

    async def _break_links(
        self, links: list[tuple[str, str]], fault: LinkFault, span: float
    ) -> None:
        faults = self.get_links().faults
        for link in links:
            for host in link:
                self.deployment.disturb(host, span)
            faults[link] = fault
        await asyncio.sleep(span)
        for link in links:
            faults.pop(link, None)

    async def reset_connections(
        self, host: str, span: float, draw: random.Random
    ) -> None:
        self.deployment.disturb(host, 0.0)
        self.get_links().reset(host)

    def get_links(self) -> Links:
        assert self.deployment.links is not None
        return self.deployment.links

    async def degrade_store(self, host: str, span: float, draw: random.Random) -> None:
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

    async def change_table(self, host: str, span: float, draw: random.Random) -> None:
        self.deployment.write_table()

    def _get_start_lock(self, host: str) -> asyncio.Lock:
        return self._start_locks.setdefault(host, asyncio.Lock())

    async def ensure_running(self, host: str) -> None:
        """Start a node that has ended; overlapping faults start it only once."""
        async with self._get_start_lock(host):
            if not self.deployment.nodes[host].running:
                await self.deployment.restart(host)
