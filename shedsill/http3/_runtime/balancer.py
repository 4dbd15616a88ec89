"""The balancer's service: service sockets around the reducer."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import frozen
from prometheus_client import Gauge

from shedsill._addresses import Address, parse_address
from shedsill.coordination.lease import Lease
from shedsill.coordination.membership import list_live_members
from shedsill.coordination.platform import Platform
from shedsill.http3._acceptor import Acceptor
from shedsill.http3._balancer import BalancerSettings, BalancerState
from shedsill.http3._configuration import Configuration
from shedsill.http3._effects import ApplyConfiguration, Effect, SendToCaller
from shedsill.http3._events import CallerDatagram
from shedsill.http3._keys import KeyRing
from shedsill.http3._node import Node
from shedsill.http3._routing import FlowLimits, Router
from shedsill.http3._runtime.control import ControlServer
from shedsill.http3._runtime.driver import Driver, enlarge_buffers
from shedsill.http3._runtime.log import EventLog

LEASE_KIND = "lease"
LEASE_NAME = "acceptor"
LEASE_SECONDS = 3.0


@frozen(kw_only=True)
class BalancerOptions:
    """Options of a balancer, from its settings.

    Attributes
    ----------
    address : Address
        Address for frames (UDP) and the control server (TCP).
    service_host : str
        IP address on which service ports are opened; empty to use each service's own
        address.
    lease_time : float
        Seconds for which the acceptor's lease is valid.
    """

    name: str
    address: Address
    incarnation: int
    seed_addresses: tuple[Address, ...] = ()
    zone: str = ""
    service_host: str = ""
    lease_time: float = LEASE_SECONDS
    limits: FlowLimits
    settings: BalancerSettings


def make_balancer_state(options: BalancerOptions, keys: KeyRing) -> BalancerState:
    """Return the initial state of a balancer."""
    node = Node(
        name=options.name,
        address=options.address,
        balancer=True,
        incarnation=options.incarnation,
        seed_addresses=options.seed_addresses,
    )
    lease = Lease(
        kind=LEASE_KIND,
        name=LEASE_NAME,
        node=options.name,
        time_to_live=options.lease_time,
    )
    return BalancerState(
        node=node,
        keys=keys,
        acceptor=Acceptor(lease=lease),
        settings=options.settings,
        router=Router(limits=options.limits),
    )


class ServiceProtocol(asyncio.DatagramProtocol):
    """Receives callers' datagrams on one service address."""

    def __init__(self, balancer: Balancer, service: int) -> None:
        self._balancer = balancer
        self._service = service

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Dispatch a datagram."""
        balancer = self._balancer
        balancer.dispatch(
            CallerDatagram(
                service=self._service,
                caller=Address(addr[0], addr[1]),
                datagram=data,
                now=balancer.now,
            )
        )

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors caused by datagrams to callers."""


class Balancer(Driver[BalancerState]):
    """The service of a balancer process."""

    def __init__(
        self,
        options: BalancerOptions,
        *,
        keys: KeyRing,
        platform: Platform,
        event_log: EventLog,
    ) -> None:
        state = make_balancer_state(options, keys)
        super().__init__(state, keys=keys, platform=platform, event_log=event_log)
        self._options = options
        self._sockets: dict[int, asyncio.DatagramTransport] = {}
        self._listen_addresses: dict[int, Address] = {}
        members = Gauge(
            "shedsill_live_nodes", "Nodes heard of", registry=event_log.registry
        )
        members.set_function(
            lambda: len(list_live_members(self.node_state.node.membership, self.now))
        )
        self.control = self.add_dependency(
            ControlServer(
                options.address,
                keys=keys,
                registry=event_log.registry,
                get_configuration=lambda: self.node_state.node.configuration,
                get_status=self.get_status,
            )
        )

    def _count_members(self) -> int:
        return len(list_live_members(self.node_state.node.membership, self.now))

    def get_status(self) -> dict[str, Any]:
        """Return the content of ``/status``."""
        node = self.node_state.node
        reports = [m.report for m in list_live_members(node.membership, self.now)]
        return {
            "name": node.name,
            "role": "balancer",
            "zone": self._options.zone,
            "generation": node.configuration.generation,
            "key_epoch": node.configuration.key_epoch,
            "ready": node.configuration.generation > 0 and not node.stopping,
            "stopping": node.stopping,
            "nodes": {report.name: report.generation for report in reports},
        }

    async def on_stop(self) -> None:
        """Close the service sockets and those of the node."""
        for transport in self._sockets.values():
            transport.close()
        await super().on_stop()

    def execute(self, effect: Effect) -> None:
        """Execute an effect."""
        match effect:
            case SendToCaller(service=service, caller=caller, datagram=datagram):
                transport = self._sockets.get(service)
                if transport is not None:
                    transport.sendto(datagram, caller.pair)
            case ApplyConfiguration(configuration=configuration):
                self.start_task(self._open_services(configuration))
            case _:
                super().execute(effect)

    async def _open_services(self, configuration: Configuration) -> None:
        needed = {
            accepted.number: self._get_listen_address(accepted.service.address)
            for accepted in configuration.services
        }
        for number, address in list(self._listen_addresses.items()):
            if needed.get(number) != address:
                self._close_service(number)
        for number, address in needed.items():
            if number not in self._listen_addresses:
                await self._open_service(number, address)

    def _close_service(self, number: int) -> None:
        del self._listen_addresses[number]
        transport = self._sockets.pop(number, None)
        if transport is not None:
            transport.close()

    def _get_listen_address(self, text: str) -> Address:
        address = parse_address(text)
        return Address(self._options.service_host or address.host, address.port)

    async def _open_service(self, number: int, address: Address) -> None:
        self._listen_addresses[number] = address
        loop = asyncio.get_running_loop()
        try:
            transport, _protocol = await loop.create_datagram_endpoint(
                lambda: ServiceProtocol(self, number), local_addr=address.pair
            )
        except OSError:
            self._listen_addresses.pop(number, None)
            raise
        enlarge_buffers(transport)
        self._sockets[number] = transport
