"""The balancer's daemon: service sockets around the reducer."""

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
    """What the settings say of a balancer.

    Attributes
    ----------
    address : Address
        For frames (UDP) and control (TCP).
    service_host : str
        IP number on which service ports are opened; empty to use each
        service's own.
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
    """Return the state in which a balancer starts."""
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
    """Receives callers' datagrams at one service address."""

    def __init__(self, balancer: Balancer, service: int) -> None:
        self._balancer = balancer
        self._service = service

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Dispatch one datagram."""
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
        """Pass over what ICMP says of a caller."""


class Balancer(Driver[BalancerState]):
    """One balancer process."""

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
        self._opened: dict[int, Address] = {}
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
        """Return what ``/status`` shows."""
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
        """Close service sockets too."""
        for transport in self._sockets.values():
            transport.close()
        await super().on_stop()

    def execute(self, effect: Effect) -> None:
        """Carry out an effect."""
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
        wanted = {
            accepted.number: self._get_listen_address(accepted.service.address)
            for accepted in configuration.services
        }
        for number, address in list(self._opened.items()):
            if wanted.get(number) != address:
                self._close_service(number)
        for number, address in wanted.items():
            if number not in self._opened:
                await self._open_service(number, address)

    def _close_service(self, number: int) -> None:
        del self._opened[number]
        transport = self._sockets.pop(number, None)
        if transport is not None:
            transport.close()

    def _get_listen_address(self, text: str) -> Address:
        address = parse_address(text)
        return Address(self._options.service_host or address.host, address.port)

    async def _open_service(self, number: int, address: Address) -> None:
        self._opened[number] = address
        loop = asyncio.get_running_loop()
        try:
            transport, _protocol = await loop.create_datagram_endpoint(
                lambda: ServiceProtocol(self, number), local_addr=address.pair
            )
        except OSError:
            self._opened.pop(number, None)
            raise
        enlarge_buffers(transport)
        self._sockets[number] = transport
