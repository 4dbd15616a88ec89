"""Loopback proxies between the processes of a deployment, with fault injection.

A node sends to the same port number at every receiver, so each node gets its own port
numbers.  The proxy listens at ``(receiver, port of the sender)`` and forwards to
``(receiver, port of the receiver)`` from a socket at the sender's IP address, by which
nodes identify each other.  The nodes themselves run unmodified.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

from attrs import define, field, frozen

from shedsill.testing.ports import get_free_ports

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.05

Link = tuple[str, str]
"""Sender and receiver, by host."""


@frozen
class LinkFault:
    """Faults of one direction of a link.

    Attributes
    ----------
    delay, jitter : float
        Fixed delay in seconds, and the maximum of a random delay added to it; with
        jitter, datagrams are reordered.
    loss_share, duplicate_share : float
        Shares of datagrams that are lost and duplicated.
    blocked : bool
        Whether all traffic is blocked: datagrams are lost, streams are stalled.
    """

    delay: float = 0.0
    jitter: float = 0.0
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    blocked: bool = False


@frozen
class NodePorts:
    """Ports of one node that other nodes reach through the proxy."""

    packets: int
    messages: int


class _LinkReceiver(asyncio.DatagramProtocol):
    """Receives the datagrams that one node sends to another."""

    def __init__(self, links: Links, link: Link, channel: str) -> None:
        self._links = links
        self._link = link
        self._channel = channel

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._links.forward_datagram(self._link, self._channel, data)


@define(eq=False)
class Links:
    """All links of a deployment.

    Attributes
    ----------
    faults : dict of Link to LinkFault
        Active faults; may be changed at any time.
    ports : dict of str to NodePorts
        Ports by host.
    """

    generator: random.Random
    faults: dict[Link, LinkFault] = field(factory=dict)
    ports: dict[str, NodePorts] = field(factory=dict)
    _senders: dict[str, socket.socket] = field(factory=dict)
    _listeners: list = field(factory=list)
    _writers: dict[asyncio.StreamWriter, Link] = field(factory=dict)

    async def add_node(self, host: str) -> NodePorts:
        """Open the proxies between a new node and all others; return its ports."""
        if host in self.ports:
            return self.ports[host]
        ports = NodePorts(*get_free_ports(2))
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.setblocking(False)
        sender.bind((host, 0))
        self._senders[host] = sender
        for other, known in self.ports.items():
            await self._listen(host, ports, other)
            await self._listen(other, known, host)
        self.ports[host] = ports
        return ports

    async def _listen(self, sender: str, ports: NodePorts, receiver: str) -> None:
        """Listen at the receiver's IP address for traffic of the sender."""
        loop = asyncio.get_running_loop()
        link = (sender, receiver)
        for channel in ("packets", "messages"):
            transport, _protocol = await loop.create_datagram_endpoint(
                lambda c=channel: _LinkReceiver(self, link, c),
                local_addr=(receiver, getattr(ports, channel)),
            )
            self._listeners.append(transport)

        async def relay_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            target = (receiver, self.ports[receiver].messages)
            await self.relay_connection(link, target, reader, writer)

        server = await asyncio.start_server(relay_connection, receiver, ports.messages)
        self._listeners.append(server)

    async def open_stream(self, link: Link, host: str, target: tuple) -> int:
        """Open a proxy for TCP connections to a target; return its port."""
        (port,) = get_free_ports(1)

        async def relay_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self.relay_connection(link, target, reader, writer)

        self._listeners.append(await asyncio.start_server(relay_connection, host, port))
        return port

    # Datagrams

    def forward_datagram(self, link: Link, channel: str, data: bytes) -> None:
        """Forward a datagram, subject to the link's fault."""
        fault = self.faults.get(link)
        if fault is None:
            self._send_datagram(link, channel, data)
            return
        if fault.blocked or self.generator.random() < fault.loss_share:
            return
        copies = 2 if self.generator.random() < fault.duplicate_share else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            after = fault.delay + self.generator.uniform(0.0, fault.jitter)
            loop.call_later(after, self._send_datagram, link, channel, data)

    def _send_datagram(self, link: Link, channel: str, data: bytes) -> None:
        sender, receiver = link
        target = (receiver, getattr(self.ports[receiver], channel))
        # A full buffer or a closed port drops the datagram, as a network would.
        with contextlib.suppress(OSError):
            self._senders[sender].sendto(data, target)

    # Connections

    async def relay_connection(
        self,
        link: Link,
        target: tuple,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay one connection in both directions."""
        try:
            target_reader, target_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        reverse = (link[1], link[0])
        self._writers |= {writer: link, target_writer: link}
        try:
            await asyncio.gather(
                self._relay_bytes(link, reader, target_writer),
                self._relay_bytes(reverse, target_reader, writer),
            )
        except OSError:
            # Propagates a reset by one end, or by `reset_connections`, to both ends.
            target_writer.transport.abort()
            writer.transport.abort()
        finally:
            del self._writers[writer], self._writers[target_writer]

    async def _relay_bytes(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while (fault := self.faults.get(link)) and fault.blocked:
                await asyncio.sleep(POLL_SECONDS)
            if fault is not None:
                await asyncio.sleep(fault.delay)
            writer.write(data)
            await writer.drain()
        writer.close()

    def reset_connections(self, host: str) -> None:
        """Reset all connections of a node."""
        for writer, link in list(self._writers.items()):
            if host in link:
                writer.transport.abort()

    def close(self) -> None:
        """Close all proxies and connections."""
        for writer in list(self._writers):
            writer.transport.abort()
        for listener in self._listeners:
            listener.close()
        for sender in self._senders.values():
            sender.close()
