"""Stand-ins for the cases of the second review: store, targets and consumers.

They use the standard library alone and run in the event loop of a case.  The nodes are
processes that are started with the commands of `deploy/system.toml`.  Each machine is
an address in 127.0.0.0/8; ports are alike on all machines.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent

SYN, ACK, FIN, RST, BOUNCED = 4, 128, 16, 32, 2
HEAD = struct.Struct(">B5xHHIHIIII")
HEAD_BYTES = 36
KEY = b"known to consumers and targets alone"

STORE = "127.77.8.1"
CONSUMER = "127.77.9.1"
ROUTE_HOST = "127.77.7.1"
NODES = tuple(f"127.77.{group}.{number}" for group in (1, 2, 3) for number in (1, 2))
HOSTS = (*NODES, STORE, CONSUMER)
TIME_LIMIT_S = 110.0

SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_LIMIT_S = 1.4
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
REPEAT_CALL_S = (0.03, 0.06, 0.12, 0.24)
CHECK_INTERVAL_S = 0.5
MISSED_CHECKS = 2
PORT_RANGE = (12_000, 30_000)
PORT_NAMES = ("packets", "messages", "ready", "control", "app", "outbound", "metrics")


def compute_sum(data: bytes) -> bytes:
    """Return the keyed sum over all but `pad`, `echo` and the bit BOUNCED."""
    covered = bytes([data[0] & ~BOUNCED]) + data[6:20] + data[24:32] + data[36:]
    return hashlib.blake2s(covered, key=KEY[:32], digest_size=4).digest()


def make_packet(
    source: tuple[str, int],
    target: tuple[str, int],
    flags: int,
    *,
    seq: int = 0,
    ack: int = 0,
    payload: bytes = b"",
) -> bytes:
    """Return a packet between two ends."""
    head = HEAD.pack(
        flags,
        len(payload),
        source[1],
        struct.unpack(">I", socket.inet_aton(target[0]))[0],
        target[1],
        struct.unpack(">I", socket.inet_aton(source[0]))[0],
        0,
        seq % (1 << 32),
        ack % (1 << 32),
    )
    return head + compute_sum(head + bytes(4) + payload) + payload


class Packet:
    """A decoded packet."""

    def __init__(self, data: bytes) -> None:
        flags, length, sport, dst, dport, src, _echo, seq, ack = HEAD.unpack_from(data)
        self.flags, self.seq, self.ack = flags, seq, ack
        self.source = (socket.inet_ntoa(struct.pack(">I", src)), sport)
        self.target = (socket.inet_ntoa(struct.pack(">I", dst)), dport)
        self.payload = data[HEAD_BYTES : HEAD_BYTES + length]
        self.data = data

    @property
    def is_intact(self) -> bool:
        """Whether the sum is that of the sender."""
        return self.data[32:36] == compute_sum(self.data)


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, tuple], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._receive(data, addr)


async def open_udp(
    host: str, port: int, receive: Callable[[bytes, tuple], None]
) -> asyncio.DatagramTransport:
    """Bind a UDP socket."""
    loop = asyncio.get_running_loop()
    transport, _protocol = await loop.create_datagram_endpoint(
        lambda: _Receiver(receive), local_addr=(host, port)
    )
    return transport


async def _read_http(reader: asyncio.StreamReader) -> tuple[str, dict, bytes] | None:
    """Read one HTTP message; return its first line, headers and body."""
    head = b""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        head = await reader.readuntil(b"\r\n\r\n")
    if not head:
        return None
    first, *lines = head.decode().strip().split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def call_http(
    address: tuple[str, int], method: str, path: str, body: object = None
) -> int:
    """Make one HTTP call; return the status, or 0 without an answer."""
    content = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(make_call(address, method, path, content))
            answer = await _read_http(reader)
            return int(answer[0].split()[1]) if answer else 0
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()


def make_call(address: tuple[str, int], method: str, path: str, body: bytes) -> bytes:
    """Return the bytes of an HTTP call."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class _Event(NamedTuple):
    """A change in the store's history."""

    revision: int
    kind: str
    body: dict
    at: float


class _StoreConnection:
    def __init__(self, writer: asyncio.StreamWriter, role: str) -> None:
        self.writer, self.role = writer, role
        self.silent = False


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 0
        self.era = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[_Event] = []
        self.connections: set[_StoreConnection] = set()
        self.turned_away: set[str] = set()
        self.dropped_revision = 0
        self._changed = asyncio.Event()

    def write(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as the operator does."""
        known = self.objects.get((kind, name))
        self.revision += 1
        meta = {
            "name": name,
            "rev": self.revision,
            "created": known["meta"]["created"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._add_event(kind, item, deleted=False)

    def _add_event(self, kind: str, item: dict, *, deleted: bool) -> None:
        event = {"object": item, "deleted": deleted}
        self.events.append(_Event(self.revision, kind, event, time.monotonic()))
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_history(self) -> None:
        """Forget changes that are older than the history that the store keeps."""
        oldest = time.monotonic() - HISTORY_S
        while self.events and self.events[0].at < oldest:
            self.dropped_revision = self.events.pop(0).revision

    def turn_away(self, *roles: str) -> None:
        """Answer the calls of some nodes with 503, and serve all others.

        Their waiting watches are cut; the operator is served all the time.
        """
        self.turned_away = set(roles)
        self.record.write("store turns nodes away", roles=",".join(roles) or "none")
        for connection in self.connections:
            if connection.role in roles:
                connection.writer.transport.abort()

    def make_copy(self) -> tuple[int, dict]:
        """Return a copy of the system's objects, to come back from later."""
        return self.revision, dict(self.objects)

    def come_back(self, copy: tuple[int, dict]) -> None:
        """Come back from a copy: what the system wrote since is gone.

        Revisions go back.  What the operator wrote is written again.
        """
        written = self.objects.get(("config", "main"))
        self.revision, self.objects = copy[0], dict(copy[1])
        self.events, self.dropped_revision = [], copy[0]
        self.era += 1
        for connection in self.connections:
            connection.writer.transport.abort()
        if written and written != self.objects.get(("config", "main")):
            self.write("config", "main", written["spec"])
        self.record.write("store comes back from a copy", era=self.era)

    def silence_connections(self) -> int:
        """Have all open connections say nothing more; new ones work."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    async def open(self, port: int, role: str) -> None:
        """Listen at a port for the calls of one role."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(reader, _StoreConnection(writer, role))

        await asyncio.start_server(serve, STORE, port)

    async def _serve(
        self, reader: asyncio.StreamReader, connection: _StoreConnection
    ) -> None:
        writer = connection.writer
        self.connections.add(connection)
        try:
            while message := await _read_http(reader):
                if connection.role in self.turned_away:
                    status, body = 503, {}
                else:
                    status, body = await self._answer(message)
                if connection.silent:
                    self.record.write("store: answer lost", call=message[0])
                    continue
                content = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                head += f"Store-Era: {self.era}\r\n"
                head += f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has gone, or the case ends.
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _answer(self, message: tuple[str, dict, bytes]) -> tuple[int, object]:
        method, target, _version = message[0].split()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, _, kind, *rest = url.path.split("/")
        if method == "GET" and not rest:
            return await self._list(kind, query)
        if method == "GET":
            item = self.objects.get((kind, rest[0]))
            return (200, item) if item else (404, {})
        body = json.loads(message[2] or b"{}")
        return self._write(method, kind, rest, query, body)

    async def _list(self, kind: str, query: dict) -> tuple[int, object]:
        if "watch" not in query:
            names = sorted(n for k, n in self.objects if k == kind)
            items = [self.objects[kind, n] for n in names if n > query.get("after", "")]
            answer = {"items": items, "truncated": False}
            return 200, answer | {"current_rev": self.revision}
        since, end = int(query["watch"]), time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            self._drop_history()
            if since < self.dropped_revision or since > self.revision:
                return 410, {}
            events = [
                event.body
                for event in self.events
                if event.kind == kind and event.revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _write(
        self, method: str, kind: str, rest: list[str], query: dict, body: dict
    ) -> tuple[int, object]:
        name = rest[0] if rest else body["meta"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known:
                return 409, known
            self.write(kind, name, body["spec"])
            return 201, self.objects[kind, name]
        if known is None:
            return 404, {}
        rev = body.get("meta", {}).get("rev", query.get("rev"))
        if rev is not None and int(rev) != known["meta"]["rev"]:
            return 409, known
        if method == "DELETE":
            self.revision += 1
            del self.objects[kind, name]
            self._add_event(kind, known, deleted=True)
            return 200, known
        if body["spec"] != known["spec"]:
            self.write(kind, name, body["spec"])
        return 200, self.objects[kind, name]


class Target:
    """A target beside an agent; each `start` is a new boot."""

    def __init__(self, world: World, host: str, service: str) -> None:
        self.world, self.host, self.service = world, host, service
        self.boot, self.serial, self.state = "", 0, "ready"
        self.born = 0
        self.slots, self.work_s = 3, 0.03
        self.offered: dict[tuple, int] = {}
        self.flows: dict[tuple, dict] = {}
        self.ran: list[tuple[float, str]] = []
        self.alive = False
        self.bounced = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start a new boot."""
        self.world.boots += 1
        self.boot, self.serial, self.state = f"i-{self.world.boots:04x}", 0, "ready"
        self.born = round(time.time() * 1000)
        self.offered, self.flows = {}, {}
        port = self.world.ports["app"]
        self._transport = await open_udp(self.host, port, self._receive)
        self._server = await asyncio.start_server(self._check, self.host, port)
        self.alive = True
        self.world.record.write("target starts", host=self.host, id=self.boot)
        self._task = self.world.start_task(self._send_heartbeats())

    def crash(self) -> None:
        """End without a word; all flows are forgotten."""
        self.world.record.write("target crashes", host=self.host, id=self.boot)
        self.alive = False
        assert self._transport is not None and self._server is not None
        self._transport.close()
        self._server.close()
        if self._task is not None:
            self._task.cancel()

    async def _check(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await _read_http(reader):
            ok = self.state == "ready"
            status = "200 OK" if ok else "503 leaving"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    @property
    def control(self) -> tuple[str, int]:
        """Address for heartbeats on this machine."""
        return self.host, self.world.ports["control"]

    def make_heartbeat(self) -> tuple[str, dict]:
        """Return path and body of the next heartbeat."""
        self.serial += 1
        body = {
            "service": self.service,
            "addr": f"{self.host}:{self.world.ports['app']}",
            "zone": self.world.zones.get(self.host, "z1"),
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.serial,
            "born": self.born,
        }
        return f"/-/instances/{self.boot}", body

    async def beat(self) -> int:
        """Send one heartbeat; return its status."""
        path, body = self.make_heartbeat()
        status = await call_http(self.control, "PUT", path, body)
        self.world.record.write(
            "heartbeat",
            host=self.host,
            id=self.boot,
            seq=body["seq"],
            state=body["state"],
            status=status,
        )
        return status

    async def _send_heartbeats(self) -> None:
        while True:
            for delay in (0.0, *REPEAT_CALL_S):
                await asyncio.sleep(delay)
                if 200 <= await self.beat() < 300:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self) -> float | None:
        """Say `draining`; return when it was acknowledged, in seconds of the case."""
        self.state = "draining"
        for delay in (0.0, *REPEAT_CALL_S):
            await asyncio.sleep(delay)
            if 200 <= await self.beat() < 300:
                return self.world.record.now
        return None

    def _receive(self, data: bytes, _address: tuple) -> None:
        packet = Packet(data)
        if not packet.is_intact:
            self.world.record.write("target: forged packet", host=self.host)
            self.world.broken.append("UNASKED: a target got a changed packet")
            return
        key = packet.source + packet.target
        if packet.flags == SYN:
            self._take_syn(packet, key)
            return
        if key in self.offered and packet.ack == self.offered[key] + 1:
            self.flows[key] = {"next": packet.seq, "seq": self.offered.pop(key) + 1}
            self.world.record.write("flow opens", host=self.host, port=key[1])
        flow = self.flows.get(key)
        if flow is None:
            self.bounced += 1
            self._send(bytes([data[0] | BOUNCED]) + bytes(5) + data[6:])
            return
        flow["acked"] = packet.ack
        if packet.payload and packet.seq == flow["next"]:
            flow["next"] = packet.seq + len(packet.payload)
            self.world.start_task(self._run(packet, key, flow))
        if packet.payload:
            self._send(self._reply(packet, ACK, seq=flow["seq"], ack=flow["next"]))

    def _take_syn(self, packet: Packet, key: tuple) -> None:
        if key in self.flows:
            return
        boot = (self.boot, key)
        seq = int.from_bytes(hashlib.sha256(repr(boot).encode()).digest()[:3], "big")
        self.offered[key] = seq
        self.world.record.write(
            "SYN reaches target", host=self.host, state=self.state, port=key[1]
        )
        self._send(self._reply(packet, SYN | ACK, seq=seq, ack=packet.seq + 1))

    async def _run(self, packet: Packet, key: tuple, flow: dict) -> None:
        name = packet.payload.decode()
        self.ran.append((self.world.record.now, name))
        self.world.record.write(
            "runs", host=self.host, service=self.service, state=self.state, request=name
        )
        await asyncio.sleep(self.work_s)
        if self.flows.get(key) is not flow:
            return
        answer, seq = f"answer to {name}".encode(), flow["seq"]
        flow["seq"] = end = seq + len(answer)
        for delay in (0.2, 0.4, 0.8, 1.6):
            if not self.alive or flow.get("acked", 0) >= end:
                return
            fields = {"seq": seq, "ack": flow["next"], "payload": answer}
            self._send(self._reply(packet, ACK, **fields))
            await asyncio.sleep(delay)

    def _reply(self, packet: Packet, flags: int, **fields) -> bytes:
        return make_packet(packet.target, packet.source, flags, **fields)

    def _send(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            outbound = (self.host, self.world.ports["outbound"])
            self._transport.sendto(data, outbound)


class Consumer:
    """One flow of a consumer, with requests one after the other."""

    def __init__(
        self,
        world: World,
        port: int,
        service_port: int,
        choose_balancer: Callable[[], str],
        *,
        requests: int = 1,
        pause_s: float | asyncio.Event = 0.5,
        deadline_s: float = 4.0,
    ) -> None:
        self.world, self.source = world, (CONSUMER, port)
        self.target = (ROUTE_HOST, service_port)
        self.choose_balancer = choose_balancer
        self.requests, self.pause_s, self.deadline_s = requests, pause_s, deadline_s
        self.sent_at = world.record.now
        self.outcome, self.answers = "", 0
        self.is_open = False
        self._seq, self._ack = 1, 0
        self._opened = asyncio.Event()
        self._answered = asyncio.Event()

    async def run(self) -> str:
        """Open the flow, send the requests, and return the outcome."""
        opening = self.world.start_task(self._send_syns())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OPEN_LIMIT_S):
                await self._opened.wait()
        opening.cancel()
        if not self.is_open and not self.outcome:
            self._end("no SYN+ACK")
        while self.is_open and not self.outcome:
            await self._send_request()
            if self.answers >= self.requests and not self.outcome:
                self._end("answered")
            elif not self.outcome:
                await self._pause()
        return self.outcome

    async def _pause(self) -> None:
        if isinstance(self.pause_s, asyncio.Event):
            await self.pause_s.wait()
        else:
            await asyncio.sleep(self.pause_s)

    async def _send_syns(self) -> None:
        self.world.record.write("SYN sent", port=self.source[1], to=self.target[1])
        for copy, at in enumerate(SYN_COPIES_S):
            await asyncio.sleep(at - SYN_COPIES_S[max(copy - 1, 0)])
            self._send(SYN, seq=0, ack=copy)

    async def _send_request(self) -> None:
        name = f"r-{self.source[1]}-{self.answers}".encode()
        self._answered.clear()
        end = self.world.record.now + self.deadline_s
        delay, answers = 0.2, self.answers
        self.world.record.write("request sent", request=name.decode())
        while self.world.record.now < end:
            self._send(ACK, seq=self._seq, ack=self._ack, payload=name)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await self._answered.wait()
            if self.answers > answers or self.outcome:
                self._seq += len(name)
                return
            delay = min(2 * delay, 1.6)
        self._end("deadline")

    def _send(self, flags: int, **fields) -> None:
        data = make_packet(self.source, self.target, flags, **fields)
        balancer = self.choose_balancer()
        address = (balancer, self.world.get_node_ports(balancer).packets)
        self.world.consumer_socket.sendto(data, address)

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self.world.record.write("flow ends", port=self.source[1], outcome=outcome)
        self._opened.set()
        self._answered.set()

    def receive(self, packet: Packet) -> None:
        """Handle a packet from the system."""
        if self.outcome:
            return
        if packet.flags & RST:
            self._end("reset after it was open" if self.is_open else "refused")
            return
        if not packet.is_intact:
            self.world.broken.append("MIXED: a consumer got a changed packet")
            return
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open, self._ack = True, packet.seq + 1
                self._opened.set()
            return
        expected = f"answer to r-{self.source[1]}-{self.answers}".encode()
        if packet.payload == expected:
            self._ack += len(packet.payload)
            self.answers += 1
            request_bytes = len(expected) - len("answer to ")
            self._send(ACK, seq=self._seq + request_bytes, ack=self._ack)
            self._answered.set()


class NodePorts(NamedTuple):
    """Ports at which other nodes and consumers reach a node."""

    packets: int
    messages: int


class Links:
    """Proxies between nodes, so that a case can cut the path between two of them.

    A node sends to its own port numbers at every receiver.  With links, each node has
    port numbers of its own; a proxy listens at the receiver's address and the sender's
    port, and forwards from the sender's address to the receiver's port.
    """

    def __init__(self) -> None:
        self.cut: set[frozenset[str]] = set()
        self.ports: dict[str, NodePorts] = {}
        self._senders: dict[str, socket.socket] = {}

    async def add_node(self, host: str) -> None:
        """Open the proxies between a new node and the others."""
        if host in self.ports:
            return
        self.ports[host] = NodePorts(*_find_ports(2))
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.setblocking(False)
        sender.bind((host, 0))
        self._senders[host] = sender
        for other in self.ports:
            if other != host:
                await self._open(host, other)
                await self._open(other, host)

    async def _open(self, sender: str, receiver: str) -> None:
        for index in range(len(NodePorts._fields)):
            target = (receiver, self.ports[receiver][index])

            def forward(data: bytes, _from: tuple, to: tuple = target) -> None:
                if frozenset((sender, receiver)) not in self.cut:
                    with contextlib.suppress(OSError):
                        self._senders[sender].sendto(data, to)

            await open_udp(receiver, self.ports[sender][index], forward)
        ports = self.ports
        await asyncio.start_server(
            lambda reader, writer: self._relay(sender, receiver, reader, writer),
            receiver,
            ports[sender].messages,
        )

    async def _relay(
        self,
        sender: str,
        receiver: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay a connection; while the link is cut, it hangs."""
        to = (receiver, self.ports[receiver].messages)
        while frozenset((sender, receiver)) in self.cut:
            await asyncio.sleep(0.05)
        try:
            other_reader, other_writer = await asyncio.open_connection(*to)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(_copy(reader, other_writer), _copy(other_reader, writer))


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.close()


class World:
    """All machines of a case.

    Attributes
    ----------
    links : Links or None
        Proxies between the nodes; None if they reach each other directly.
    zones : dict of str to str
        Zone of each machine; `z1` by default.
    """

    def __init__(self, folder: pathlib.Path, services: dict[str, int]) -> None:
        self.folder = folder
        self.links: Links | None = None
        self.zones: dict[str, str] = {}
        self.services = services
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.ports = dict(zip(PORT_NAMES, _find_ports(len(PORT_NAMES)), strict=True))
        self.store_ports = dict(zip(("balancer", "agent"), _find_ports(2), strict=True))
        self.nodes: dict[str, asyncio.subprocess.Process] = {}
        self.targets: dict[str, Target] = {}
        self.consumers: dict[int, Consumer] = {}
        self.broken: list[str] = []
        self.boots = 0
        self.version = 0
        self._roles: dict[str, tuple[str, str]] = {}
        self._seeds: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._starting: asyncio.Future | None = None
        self._starting_host = ""
        self._temp = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.consumer_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.consumer_socket.setblocking(False)

    async def open(self) -> None:
        """Start the store and the consumers' socket."""
        for role, port in self.store_ports.items():
            await self.store.open(port, role)
        await open_udp(CONSUMER, self.ports["packets"], self._deliver)

    def _deliver(self, data: bytes, _address: tuple) -> None:
        packet = Packet(data)
        consumer = self.consumers.get(packet.target[1])
        if consumer is not None:
            consumer.receive(packet)

    def start_task(self, coroutine: Awaitable) -> asyncio.Task:
        """Run a coroutine until the case ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def write_manifest(self, routes: dict[int, str]) -> float:
        """Write a manifest with a route for each port; return when."""
        self.version += 3
        spec = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "host": ROUTE_HOST,
                    "path_prefix": f"/{port}/",
                    "type": "unsafe",
                    "timeout_ms": 4000,
                    "slo_ms": 500,
                    "priority": 1,
                    "service": service,
                    "attempts": 2,
                }
                for port, service in routes.items()
            ],
            "services": [
                {"name": name, "health_path": "/health", "max_conns": 2000}
                for name in self.services
            ],
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.write("config", "main", spec)
        ports = ",".join(map(str, routes))
        self.record.write("manifest acknowledged", version=self.version, routes=ports)
        return self.record.now

    # Nodes

    async def start_node(
        self, host: str, role: str, service: str = "", *, bootstrap: bool = True
    ) -> None:
        """Start a node with the command of the deploy file."""
        if self.links is not None and host not in self.links.ports:
            await self.links.add_node(host)
            await open_udp(CONSUMER, self.links.ports[host].packets, self._deliver)
        self._roles[host] = (role, service)
        path = self._temp / f"{host}.json"
        path.write_text(json.dumps(self._make_settings(host, bootstrap=bootstrap)))
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SHEDSILL_BOOT": str(path),
            "SHEDSILL_METRICS_PORT": str(self.ports["metrics"]),
        }
        with (self._temp / f"{host}.log").open("ab") as log:
            starting = asyncio.create_subprocess_exec(
                *("python3", "-S", "-m", "shedsill.platform", role),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
            self._starting = asyncio.ensure_future(starting)
            self._starting_host = host
            self.nodes[host] = await asyncio.shield(self._starting)
        self.record.write("node starts", host=host, role=role)

    def get_node_ports(self, host: str) -> NodePorts:
        """Return the ports at which a node is reached."""
        if self.links is not None:
            return self.links.ports[host]
        return NodePorts(self.ports["packets"], self.ports["messages"])

    async def restart_node(self, host: str) -> None:
        """Start a node's process again."""
        await self.start_node(host, *self._roles[host], bootstrap=False)

    def set_seeds(self, hosts: list[str]) -> None:
        """Set the seeds of nodes that are started from now on."""
        self._seeds = hosts

    def _make_settings(self, host: str, *, bootstrap: bool) -> dict:
        role, service = self._roles[host]
        is_agent = role == "agent"
        ports = self.get_node_ports(host)
        listen = {
            "packet_addr": f"{host}:{ports.packets}",
            "ready": f"{host}:{self.ports['ready']}",
            "control": f"{host}:{self.ports['control']}",
        }
        if is_agent:
            listen["outbound"] = f"{host}:{self.ports['outbound']}"
        settings = {
            "node": host,
            "role": role,
            "ip": host,
            "zone": self.zones.get(host, "z1"),
            "region": f"region-of-{self.zones.get(host, 'z1')}",
            "port_range": [ports.messages, ports.messages],
            "seeds": [f"{seed}:{self.ports['control']}" for seed in self._seeds],
            "bootstrap": bootstrap,
            "heartbeat_ms": 1200,
            "hash": "mod",
            "forwarding": "agent",
            "listen": listen,
            "bounds": {"flow_ttl_s": 60, "grace_s": 6},
            "platform": {"addr": f"{STORE}:{self.store_ports[role]}"},
        }
        if is_agent:
            settings["app"] = f"{host}:{self.ports['app']}"
            settings["service"] = service
        return settings

    async def signal_node(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a node; wait for its end unless it goes on."""
        node = self.nodes[host]
        self.record.write("signal", host=host, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            node.send_signal(number)
        if number in (signal.SIGTERM, signal.SIGKILL):
            await node.wait()
            self.record.write("node ended", host=host, code=node.returncode)

    async def is_ready(self, host: str) -> bool:
        """Ask a node whether it is ready."""
        return await call_http((host, self.ports["ready"]), "GET", "/-/ready") == 200

    async def wait_out(self, host: str) -> None:
        """Wait until the routers take a balancer out: it misses two checks."""
        missed = 0
        while missed < MISSED_CHECKS:
            missed = 0 if await self.is_ready(host) else missed + 1
            await asyncio.sleep(CHECK_INTERVAL_S)
        self.record.write("routers take a balancer out", host=host)

    def is_held(self, consumer: Consumer) -> bool:
        """Return whether a living target holds a consumer's flow."""
        key = consumer.source + consumer.target
        return any(t.alive and key in t.flows for t in self.targets.values())

    async def wait_ready(self, *hosts: str) -> None:
        """Wait until nodes are ready."""
        async with asyncio.timeout(20.0):
            for host in hosts:
                while not await self.is_ready(host):
                    await asyncio.sleep(0.05)

    # Targets and consumers

    async def start_target(self, host: str, service: str) -> Target:
        """Start a target beside an agent."""
        self.targets[host] = Target(self, host, service)
        await self.targets[host].start()
        return self.targets[host]

    def add_consumer(
        self, service_port: int, choose_balancer: Callable[[], str], **options
    ) -> Consumer:
        """Add a consumer at a port of its own."""
        port = 20_000 + len(self.consumers)
        consumer = Consumer(self, port, service_port, choose_balancer, **options)
        self.consumers[port] = consumer
        return consumer

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for task in list(self._tasks):
            task.cancel()
        if self._starting is not None:
            self.nodes[self._starting_host] = await self._starting
        for node in self.nodes.values():
            if node.returncode is None:
                node.kill()
                await node.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temp, ignore_errors=True)


def _find_ports(count: int) -> list[int]:
    """Return ports that are free on all machines of the cases, for TCP and UDP.

    They are below the range from which the system takes ports of its own accord.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    for host in HOSTS:
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                stream.bind((host, port))
                udp.bind((host, port))
            except OSError:
                return False
    return True


def run_case(
    file: str,
    services: dict[str, int],
    play: Callable[[World, bool], Awaitable[bool]],
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    A case that gets SIGTERM, SIGINT or SIGHUP ends its processes and exits with 2.
    """

    async def play_once() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(pathlib.Path(file).resolve().parent, services)
        try:
            await world.open()
            async with asyncio.timeout(TIME_LIMIT_S):
                broken = await play(world, os.environ.get("TROUBLE", "1") != "0")
            world.record.write("result", broken=broken, also=world.broken)
            return broken
        finally:
            await world.close()

    try:
        broken = asyncio.run(play_once())
    except BaseException as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
