"""Balancers, agents and all stand-ins in one process, on loopback."""

from __future__ import annotations

import asyncio
import random

from aiohttp import web
from attrs import define, field

from shedsill._addresses import Address
from shedsill._cli.settings import generate_incarnation
from shedsill.http3._admission import AdmissionSettings
from shedsill.http3._agent_state import AgentSettings
from shedsill.http3._balancer import BalancerSettings
from shedsill.http3._keys import KeyRing
from shedsill.http3._placement import TwoCandidates
from shedsill.http3._routing import FlowLimits
from shedsill.http3._runtime.agent import Agent, AgentOptions
from shedsill.http3._runtime.balancer import Balancer, BalancerOptions
from shedsill.http3._runtime.certificates import CertificateLoader
from shedsill.http3._runtime.log import EventLog
from shedsill.http3._runtime.platform import HttpPlatform
from shedsill.http3._runtime.upstream import UpstreamClient
from shedsill.testing.certificates import TestCertificate, make_certificate
from shedsill.testing.documents import ServiceLayout, make_documents
from shedsill.testing.fabric import Fabric
from shedsill.testing.platform import PlatformStandIn
from shedsill.testing.ports import get_free_ports
from shedsill.testing.upstream import UpstreamStandIn, serve_upstream

HOST = "127.0.0.1"
IDLE_SPAN_SECONDS = 0.3
STOP_IDLE_SECONDS = 1.0
READY_POLL_SECONDS = 0.05


@define
class EmbeddedSystem:
    """A small system of balancers, agents, upstreams, fabric and platform.

    Attributes
    ----------
    layouts : tuple of ServiceLayout
        Services with their upstreams.
    service_addresses : dict of str to Address
        Address at which callers reach each service.
    """

    layouts: tuple[ServiceLayout, ...]
    balancer_count: int = 2
    log_level: str = "WARNING"
    seed: int = 1
    platform: PlatformStandIn = field(factory=PlatformStandIn)
    platform_url: str = ""
    certificate: TestCertificate = field(factory=make_certificate)
    keys: KeyRing = field(factory=lambda: KeyRing((bytes(range(32)),)))
    fabric: Fabric | None = None
    service_addresses: dict[str, Address] = field(factory=dict)
    balancers: dict[str, Balancer] = field(factory=dict)
    agents: dict[str, Agent] = field(factory=dict)
    upstreams: dict[str, UpstreamStandIn] = field(factory=dict)
    documents: str = ""
    _runners: list[web.AppRunner] = field(factory=list)
    _clients: list[HttpPlatform] = field(factory=list)
    _seeds: tuple[Address, ...] = ()

    async def start(self) -> None:
        """Start all components; resources must be applied separately."""
        names = [name for layout in self.layouts for name in layout.upstreams]
        count = 1 + self.balancer_count + 2 * len(names) + 2 * len(self.layouts)
        ports = iter(get_free_ports(count))
        await self._start_platform(next(ports))
        nodes = {
            f"balancer-{index + 1}": Address(f"127.0.1.{index + 1}", next(ports))
            for index in range(self.balancer_count)
        }
        self._seeds = tuple(nodes.values())
        addresses = {name: Address(HOST, next(ports)) for name in names}
        service_ports = {layout.name: next(ports) for layout in self.layouts}
        self.documents = make_documents(self.layouts, service_ports, addresses)
        for name, address in nodes.items():
            await self._start_balancer(name, address)
        for layout in self.layouts:
            for name in layout.upstreams:
                url = await self._start_upstream(name, next(ports))
                await self._start_agent(name, layout.name, addresses[name], url)
        await self._start_fabric(service_ports, ports)

    async def _start_platform(self, port: int) -> None:
        runner = web.AppRunner(
            self.platform.make_app(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        self._runners.append(runner)
        self.platform_url = f"http://{HOST}:{port}"

    def make_platform_client(self) -> HttpPlatform:
        """Return a client of the platform stand-in; `stop` closes it."""
        client = HttpPlatform(self.platform_url)
        self._clients.append(client)
        return client

    async def _start_balancer(self, name: str, address: Address) -> None:
        options = BalancerOptions(
            name=name,
            address=address,
            incarnation=generate_incarnation(),
            seed_addresses=self._seeds,
            service_host=address.host,
            limits=FlowLimits(),
            settings=BalancerSettings(stop_idle_timeout=STOP_IDLE_SECONDS),
        )
        balancer = Balancer(
            options,
            keys=self.keys,
            platform=self.make_platform_client(),
            event_log=EventLog(node=name, level=self.log_level),
        )
        await balancer.start()
        self.balancers[name] = balancer

    async def _start_upstream(self, name: str, port: int) -> str:
        stand_in = self.upstreams[name] = UpstreamStandIn(name=name)
        self._runners.append(await serve_upstream(stand_in, port))
        return f"http://{HOST}:{port}"

    async def _start_agent(
        self, name: str, service: str, address: Address, url: str
    ) -> None:
        options = AgentOptions(
            name=name,
            upstream=name,
            service=service,
            address=address,
            incarnation=generate_incarnation(),
            seed_addresses=self._seeds,
            settings=AgentSettings(),
            admission=AdmissionSettings(idle_span=IDLE_SPAN_SECONDS),
            policy=TwoCandidates(),
        )
        agent = Agent(
            options,
            keys=self.keys,
            platform=self.make_platform_client(),
            event_log=EventLog(node=name, level=self.log_level),
            upstream=UpstreamClient(
                url, shed_statuses=frozenset((429, 503)), load_path="/load"
            ),
            certificates=CertificateLoader(
                self.certificate.certificate, self.certificate.private_key
            ),
        )
        await agent.start()
        self.agents[name] = agent

    async def _start_fabric(self, service_ports: dict[str, int], ports) -> None:
        self.fabric = Fabric(generator=random.Random(self.seed))
        hosts = [address.host for address in self._seeds]
        for layout in self.layouts:
            address = self.service_addresses[layout.name] = Address(HOST, next(ports))
            port = service_ports[layout.name]
            targets = tuple(Address(host, port) for host in hosts)
            await self.fabric.listen(address, targets)

    async def wait_ready(self, timeout: float = 20.0) -> None:
        """Wait until every node is ready."""
        nodes = [*self.balancers.values(), *self.agents.values()]
        async with asyncio.timeout(timeout):
            while not all(node.get_status()["ready"] for node in nodes):
                await asyncio.sleep(READY_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop all components."""
        for node in [*self.agents.values(), *self.balancers.values()]:
            await node.stop()
        if self.fabric is not None:
            self.fabric.close()
        for client in self._clients:
            await client.close()
        for runner in self._runners:
            await runner.cleanup()
