"""A stand-in for the network fabric that sprays packets over the balancers.

Run it with ``python -m shedsill.testing.fabric --route IP:PORT IP:PORT,IP:PORT
--control PORT``, with one ``--route`` per listening address and its balancers.

Each datagram received at a listening address is sent to a random balancer.  Each
caller has its own socket towards the balancers, so that any of them can answer.
``POST /balancers`` with ``{"withdrawn": ["IP"]}`` withdraws balancers; ``POST /faults``
sets the shares of datagrams that are dropped, duplicated or reordered.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import click
from aiohttp import web
from attrs import define, field

from shedsill._addresses import Address, parse_address

MAX_CALLERS = 20_000
REORDER_DELAY_SECONDS = 0.02


@define
class FabricFaults:
    """Shares of datagrams, from 0 to 1, that each fault affects."""

    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


@define
class Fabric:
    """Sprays datagrams received at one or more addresses over balancers."""

    generator: random.Random
    faults: FabricFaults = field(factory=FabricFaults)
    withdrawn: set[str] = field(factory=set)
    transports: list[asyncio.DatagramTransport] = field(factory=list)
    forwarded: int = 0

    async def listen(self, address: Address, balancers: tuple[Address, ...]) -> None:
        """Spray the datagrams received at an address over some balancers."""
        loop = asyncio.get_running_loop()
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: _ServiceListener(self, balancers), local_addr=address.pair
        )
        self.transports.append(transport)

    def choose_balancer(self, balancers: tuple[Address, ...]) -> Address | None:
        """Choose a random balancer that is not withdrawn."""
        live = [b for b in balancers if b.host not in self.withdrawn]
        return self.generator.choice(live) if live else None

    def forward_datagram(self, send: Any, data: bytes) -> None:
        """Send a datagram, subject to the faults."""
        self.forwarded += 1
        if self.generator.random() < self.faults.drop:
            return
        copies = 2 if self.generator.random() < self.faults.duplicate else 1
        for _ in range(copies):
            if self.generator.random() < self.faults.reorder:
                delay = self.generator.uniform(0, REORDER_DELAY_SECONDS)
                asyncio.get_running_loop().call_later(delay, send, data)
            else:
                send(data)

    def close(self) -> None:
        """Close all sockets."""
        for transport in self.transports:
            transport.close()


class _ServiceListener(asyncio.DatagramProtocol):
    """Receives the datagrams that callers send to one service address."""

    def __init__(self, fabric: Fabric, balancers: tuple[Address, ...]) -> None:
        self._fabric = fabric
        self._balancers = balancers
        self._callers: dict[tuple, _CallerSocket] = {}
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        caller_socket = self._callers.get(addr)
        if caller_socket is None:
            if len(self._callers) >= MAX_CALLERS:
                return
            caller_socket = self._callers[addr] = _CallerSocket(
                self._fabric, self, addr
            )
            asyncio.get_running_loop().create_task(caller_socket.open())
        self._fabric.forward_datagram(
            lambda payload: caller_socket.send(
                self._fabric.choose_balancer(self._balancers), payload
            ),
            data,
        )


class _CallerSocket(asyncio.DatagramProtocol):
    """Socket of one caller towards the balancers."""

    def __init__(
        self, fabric: Fabric, listener: _ServiceListener, caller: tuple
    ) -> None:
        self._fabric = fabric
        self._listener = listener
        self._caller = caller
        self._transport: Any = None
        self._unsent: list[tuple[Address, bytes]] = []

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _protocol = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self._fabric.transports.append(self._transport)
        for destination, data in self._unsent:
            self._transport.sendto(data, destination.pair)
        self._unsent.clear()

    def send(self, destination: Address | None, data: bytes) -> None:
        if destination is None:
            return
        if self._transport is None:
            self._unsent.append((destination, data))
        elif not self._transport.is_closing():
            self._transport.sendto(data, destination.pair)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        del addr
        self._fabric.forward_datagram(self._answer, data)

    def _answer(self, data: bytes) -> None:
        if not self._listener.transport.is_closing():
            self._listener.transport.sendto(data, self._caller)

    def error_received(self, exc: Exception) -> None:
        del exc


def make_control(fabric: Fabric) -> web.Application:
    """Return the HTTP application that controls balancers and faults."""

    async def set_balancers(request: web.Request) -> web.Response:
        fabric.withdrawn = set((await request.json())["withdrawn"])
        return web.json_response({})

    async def set_faults(request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(fabric.faults, name, value)
        return web.json_response({})

    app = web.Application()
    app.router.add_post("/balancers", set_balancers)
    app.router.add_post("/faults", set_faults)
    return app


async def _run(
    routes: list[tuple[str, str]], control: int, seed: int
) -> None:  # pragma: no cover
    fabric = Fabric(generator=random.Random(seed))
    for address, balancers in routes:
        targets = tuple(parse_address(text) for text in balancers.split(","))
        await fabric.listen(parse_address(address), targets)
    runner = web.AppRunner(make_control(fabric), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", control).start()
    await asyncio.Event().wait()


@click.command()
@click.option(
    "--route",
    nargs=2,
    multiple=True,
    required=True,
    help="Listening address and its balancers: IP:PORT IP:PORT,IP:PORT",
)
@click.option("--control", type=int, required=True)
@click.option("--seed", type=int, default=1, show_default=True)
def main(route: tuple[tuple[str, str], ...], control: int, seed: int) -> None:
    """Spray datagrams over balancers until interrupted."""
    asyncio.run(_run(list(route), control, seed))


if __name__ == "__main__":
    main()
