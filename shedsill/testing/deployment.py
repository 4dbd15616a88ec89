"""Nodes as processes on loopback, with simulated callers, upstreams and store.

Each node has its own IP address in 127.0.0.0/8, so that all nodes use the same ports,
as on the platform.  Callers, upstreams, routers and the store run in the test's event
loop.  Only processes started here are signalled.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import time
from collections.abc import Callable

import aiohttp
from aiohttp import web
from attrs import define, field

from shedsill.datagram._messages import UpstreamState
from shedsill.testing.flow_endpoints import (
    CODEC,
    FIRST_PORT,
    REPEATED_CALL_DELAYS_SECONDS,
    SERVICE_HOST,
    Caller,
    Upstream,
)
from shedsill.testing.links import Links, NodePorts
from shedsill.testing.object_store import ObjectStoreStandIn
from shedsill.testing.ports import get_free_ports

HTTP_OK = 200
CONTACT_SECONDS = 4.0
"""Time after a kill of a node for which the platform does not judge what reaches a
drained upstream on its VM."""
HEARTBEAT_INTERVAL_SECONDS = 0.3
FAULT_RECOVERY_SECONDS = 4.0
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.02
CALLER_HOST = "127.0.9.1"
STORE_HOST = "127.0.8.1"
PORT_NAMES = ("packets", "messages", "ready", "control", "app", "outbound", "store")


@define(eq=False)
class NodeProcess:
    """A node and its process.

    Attributes
    ----------
    is_suspended : bool
        Whether the process was stopped with SIGSTOP.
    """

    host: str
    role: str
    service: str = ""
    process: asyncio.subprocess.Process | None = None
    is_suspended: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._receive(data)


@define(eq=False)
class Deployment:
    """Balancers, agents, upstreams, callers and the store.

    Attributes
    ----------
    errors : list of Exception
        Violations detected by callers and upstreams.
    disturbed_until : dict of str to float
        Time until which a reset of a flow through each VM is tolerated.
    killed_until : dict of str to float
        Time until which new flows at a drained upstream are tolerated on each VM.
    links : Links or None
        Proxies between the nodes and in front of the store; None for direct traffic.
    ended_upstreams : list of Upstream
        Upstreams that were replaced by a later boot.
    bounces_syn_copies : bool
        Whether upstreams bounce a SYN of a flow that they hold or were offered.
    program : tuple of str
        Module run as a node, and arguments that precede the role.
    """

    folder: pathlib.Path
    services: tuple[str, ...]
    store: ObjectStoreStandIn = field(factory=ObjectStoreStandIn)
    nodes: dict[str, NodeProcess] = field(factory=dict)
    upstreams: dict[str, Upstream] = field(factory=dict)
    callers: dict[bytes, Caller] = field(factory=dict)
    balancer_by_flow: dict[bytes, str] = field(factory=dict)
    errors: list[Exception] = field(factory=list)
    links: Links | None = None
    ended_upstreams: list[Upstream] = field(factory=list)
    bounces_syn_copies: bool = False
    program: tuple[str, ...] = ("shedsill.platform",)
    table_version: int = 0
    disturbed_until: dict[str, float] = field(factory=dict)
    killed_until: dict[str, float] = field(factory=dict)
    ports: dict[str, int] = field(factory=dict)
    _started_hosts: set[str] = field(factory=set)
    _boot_count: int = 0
    _store_ports: dict[str, int] = field(factory=dict)
    _transports: list = field(factory=list)
    _senders: dict[str, socket.socket] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _runner: web.AppRunner | None = None
    _http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Deployment:
        self.ports = dict(zip(PORT_NAMES, get_free_ports(len(PORT_NAMES)), strict=True))
        self._http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self._runner = web.AppRunner(self.store.make_app(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, STORE_HOST, self.ports["store"]).start()
        await self._listen(CALLER_HOST, self.ports["packets"], self._deliver_to_caller)
        self.write_table()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            await self.kill(node.host)
        if self.links is not None:
            self.links.close()
        for transport in self._transports:
            transport.close()
        for sender in self._senders.values():
            sender.close()
        assert self._http is not None and self._runner is not None
        await self._http.close()
        await self._runner.cleanup()

    # Platform

    def write_table(self, *, excluded: str = "") -> None:
        """Write a configuration with one route per service, except an excluded one."""
        self.table_version += 1
        routes = [
            {
                "name": f"r-{service}",
                "host": socket.inet_ntoa(struct.pack(">I", SERVICE_HOST)),
                "path_prefix": f"/{self._get_port(service)}/",
                "type": "safe",
                "timeout_ms": 2000,
                "priority": 1,
                "service": service,
            }
            for service in self.services
            if service != excluded
        ]
        value = {
            "version": self.table_version,
            "routes": routes,
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.write("config", "main", value)

    def _get_port(self, service: str) -> int:
        return FIRST_PORT + self.services.index(service)

    async def _listen(
        self, host: str, port: int, receive: Callable[[bytes], None]
    ) -> asyncio.DatagramTransport:
        loop = asyncio.get_running_loop()
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(
                lambda data: self._call_and_collect_errors(receive, data)
            ),
            local_addr=(host, port),
        )
        self._transports.append(transport)
        return transport

    def _call_and_collect_errors(self, action: Callable, *arguments: object) -> None:
        """Call a function and collect its assertion errors for the end of the test."""
        try:
            action(*arguments)
        except AssertionError as error:
            self.errors.append(error)

    def _schedule(self, after: float, action: Callable[[], object]) -> None:
        asyncio.get_running_loop().call_later(
            after, self._call_and_collect_errors, action
        )

    # Nodes

    async def start_balancer(self, host: str) -> NodeProcess:
        """Start a balancer."""
        return await self._start(NodeProcess(host=host, role="balancer"))

    async def start_agent(self, host: str, service: str) -> NodeProcess:
        """Start an agent, and its upstream unless the VM has one."""
        if host not in self.upstreams:
            await self.start_upstream(host, service)
        return await self._start(NodeProcess(host=host, role="agent", service=service))

    async def restart(self, host: str) -> NodeProcess:
        """Start a new process of a known node."""
        known = self.nodes[host]
        fresh = NodeProcess(host=host, role=known.role, service=known.service)
        return await self._start(fresh)

    async def _start(self, node: NodeProcess) -> NodeProcess:
        self.nodes[node.host] = node
        if self.links is not None:
            await self._open_links(self.links, node.host)
        path = self.folder / f"{node.host}.json"
        path.write_text(json.dumps(self._make_settings(node)))
        self._started_hosts.add(node.host)
        with (self.folder / f"{node.host}.log").open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self.program,
                node.role,
                env={**os.environ, "SHEDSILL_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )
        return node

    def replace_service(self, host: str, service: str) -> None:
        """Set the service of the next agent and upstream on a VM."""
        self.nodes[host].service = service

    async def _open_links(self, links: Links, host: str) -> None:
        """Open the proxies between a node, the other nodes and the store."""
        if host in links.ports:
            return
        ports = await links.add_node(host)
        await self._listen(CALLER_HOST, ports.packets, self._deliver_to_caller)
        self._store_ports[host] = await links.open_stream(
            (host, STORE_HOST), STORE_HOST, (STORE_HOST, self.ports["store"])
        )

    def _get_ports(self, host: str) -> NodePorts:
        if self.links is not None:
            return self.links.ports[host]
        return NodePorts(self.ports["packets"], self.ports["messages"])

    def change_settings(self, host: str, **changes: object) -> None:
        """Rewrite a node's settings file without signalling the node."""
        settings = {**self._make_settings(self.nodes[host]), **changes}
        (self.folder / f"{host}.json").write_text(json.dumps(settings))

    def _make_settings(self, node: NodeProcess) -> dict:
        def address(name: str) -> str:
            return f"{node.host}:{self.ports[name]}"

        ports = self._get_ports(node.host)
        store_port = self._store_ports.get(node.host, self.ports["store"])
        return {
            "node": node.host,
            "ip": node.host,
            "zone": "z1",
            "port_range": [ports.messages, ports.messages],
            "seeds": [],
            "bootstrap": node.host not in self._started_hosts,
            "app": address("app") if node.role == "agent" else "",
            "service": node.service,
            "listen": {
                "packet_addr": f"{node.host}:{ports.packets}",
                "ready": address("ready"),
                "control": address("control"),
                "outbound": address("outbound"),
            },
            "bounds": {"flow_ttl_s": 60, "grace_s": 6},
            "platform": {"addr": f"{STORE_HOST}:{store_port}"},
        }

    async def wait_ready(self, host: str) -> None:
        """Wait until a node reports that it is ready."""
        assert self._http is not None
        url = f"http://{host}:{self.ports['ready']}/-/ready"
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with self._http.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(POLL_SECONDS)

    async def wait_agents_known(self) -> None:
        """Wait until each balancer has logged every agent's upstream as ready."""
        agents = {h for h, node in self.nodes.items() if node.role == "agent"}
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for host, node in self.nodes.items():
                while node.role == "balancer" and agents - self._list_known_upstreams(
                    host
                ):
                    await asyncio.sleep(POLL_SECONDS)

    def _list_known_upstreams(self, balancer: str) -> set[str]:
        return {
            line["upstream"]
            for line in self.read_log(balancer)
            if line["name"] == "upstream_changed" and line["state"] == "ready"
        }

    async def kill(self, host: str) -> None:
        """Kill a node's process and wait for it to exit."""
        node = self.nodes[host]
        if node.is_running:
            assert node.process is not None
            node.process.kill()
            await node.process.wait()

    async def stop(self, host: str) -> int:
        """Stop a node with SIGTERM; return its exit code."""
        node = self.nodes[host]
        assert node.process is not None
        node.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            return await node.process.wait()

    # Upstreams

    async def restart_upstream(self, host: str, service: str) -> Upstream:
        """Start the upstream of a VM again under its ID."""
        boot = self.upstreams[host].boot
        upstream = await self.start_upstream(host, service)
        upstream.boot = boot
        upstream.started_ms = round(time.time() * 1000)
        return upstream

    async def start_upstream(self, host: str, service: str) -> Upstream:
        """Start the upstream of a VM with a new boot ID."""
        self._boot_count += 1
        known = self.upstreams.get(host)
        if known is None:
            transport = await self._listen(
                host, self.ports["app"], lambda data: self.upstreams[host].receive(data)
            )
            server = await asyncio.start_server(
                lambda _reader, writer: self._handle_connection(host, writer),
                host,
                self.ports["app"],
            )
            self._transports.append(server)
            outbound = (host, self.ports["outbound"])

            def send(data: bytes) -> None:
                if not transport.is_closing():
                    transport.sendto(data, outbound)

            self._start_task(self._run_heartbeats(host))
        else:
            send = known.send
            self.ended_upstreams.append(known)
        self.upstreams[host] = Upstream(
            host=host,
            port=self._get_port(service),
            boot=f"i-{self._boot_count}",
            send=send,
            schedule=self._schedule,
            bounces_syn_copies=self.bounces_syn_copies,
            is_disturbed=lambda: self._is_disturbed(host) or self._was_killed(host),
        )
        return self.upstreams[host]

    def _handle_connection(self, host: str, writer: asyncio.StreamWriter) -> None:
        if not self.upstreams[host].alive:
            writer.transport.abort()
        writer.close()

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_heartbeats(self, host: str) -> None:
        while True:
            service = self.services[self.upstreams[host].port - FIRST_PORT]
            for delay in (0.0, *REPEATED_CALL_DELAYS_SECONDS):
                await asyncio.sleep(delay)
                status = 0
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    status = await self.send_heartbeat(host, service)
                if status == HTTP_OK:
                    break
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def send_heartbeat(self, host: str, service: str) -> int:
        """Send a heartbeat; return the HTTP status, or 0 if the upstream is down."""
        upstream = self.upstreams[host]
        if not upstream.alive:
            return 0
        upstream.heartbeat_serial += 1
        upstream.told_slots[upstream.heartbeat_serial] = upstream.slots
        return await self.send_heartbeat_of(
            upstream, service, serial=upstream.heartbeat_serial, state=upstream.state
        )

    async def send_heartbeat_of(
        self,
        upstream: Upstream,
        service: str,
        *,
        serial: int,
        state: UpstreamState,
        slots: int | None = None,
    ) -> int:
        """Send a heartbeat of any boot, ended or not; return the HTTP status.

        Parameters
        ----------
        slots : int, optional
            Number of slots that it tells; that of the upstream by default.
        """
        assert self._http is not None
        body = {
            "service": service,
            "addr": f"{upstream.host}:{self.ports['app']}",
            "slots": slots or upstream.slots,
            "state": state.value,
            "cold_left_ms": 0,
            "seq": serial,
        }
        if upstream.started_ms:
            body["born"] = upstream.started_ms
        address = f"{upstream.host}:{self.ports['control']}"
        url = f"http://{address}/-/instances/{upstream.boot}"
        async with self._http.put(url, json=body) as response:
            if response.status == HTTP_OK and state == UpstreamState.DRAINING:
                upstream.handle_confirmation()
            return response.status

    async def announce_end(self, host: str) -> int:
        """Have an upstream announce that it ends; return the HTTP status."""
        assert self._http is not None
        upstream = self.upstreams[host]
        address = f"{host}:{self.ports['control']}"
        url = f"http://{address}/-/instances/{upstream.boot}"
        body = {"born": upstream.started_ms} if upstream.started_ms else {}
        async with self._http.delete(url, json=body) as response:
            if response.status == 200:
                upstream.handle_confirmation()
            return response.status

    async def wait_for_control(self, host: str) -> None:
        """Wait until an agent listens for heartbeats."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    _reader, writer = await asyncio.open_connection(
                        host, self.ports["control"]
                    )
                    writer.close()
                    return
                await asyncio.sleep(0.005)

    async def drain_upstream(self, host: str, service: str) -> int:
        """Have an upstream report that it is draining; return the HTTP status."""
        self.upstreams[host].state = UpstreamState.DRAINING
        return await self.send_heartbeat(host, service)

    # Callers

    def add_caller(self, service: str, balancer: str, *, requests: int = 1) -> Caller:
        """Add a caller that opens a flow through a balancer and sends requests."""
        address = (
            struct.unpack(">I", socket.inet_aton(CALLER_HOST))[0],
            10_000 + len(self.callers),
        )
        caller = Caller(
            address=address,
            service=(SERVICE_HOST, self._get_port(service)),
            send=lambda data: self._send_to_balancer(caller, data),
            schedule=self._schedule,
            is_flow_held=self._is_flow_held,
            requests=requests,
        )
        self.callers[caller.flow] = caller
        self.balancer_by_flow[caller.flow] = balancer
        caller.open_flow()
        return caller

    def repeat_syn(self, caller: Caller, balancer: str) -> None:
        """Deliver a copy of a caller's SYN through a balancer."""
        own = self.balancer_by_flow[caller.flow]
        self.balancer_by_flow[caller.flow] = balancer
        caller.repeat_syn()
        self.balancer_by_flow[caller.flow] = own

    def record_fault(self, host: str, seconds: float) -> None:
        """Tolerate resets through a VM during a fault and its recovery."""
        until = asyncio.get_running_loop().time() + seconds + FAULT_RECOVERY_SECONDS
        self.disturbed_until[host] = max(self.disturbed_until.get(host, 0.0), until)

    def record_kill(self, host: str) -> None:
        """Tolerate new flows at a drained upstream of a VM whose node is killed.

        If the drain could not be stored and all balancers are killed, too, nobody but
        the upstream can tell the next agent of it.
        """
        now = asyncio.get_running_loop().time()
        self.killed_until[host] = now + CONTACT_SECONDS

    def _was_killed(self, host: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now < self.killed_until.get(host, 0.0)

    def _is_disturbed(self, host: str) -> bool:
        """Return whether a VM has a fault or recovers from one."""
        now = asyncio.get_running_loop().time()
        return now < self.disturbed_until.get(host, 0.0)

    def _is_flow_held(self, flow: bytes) -> bool:
        """Return whether a flow is held, and neither of its VMs is disturbed."""
        return any(
            upstream.alive
            and flow in upstream.flows
            and not self._is_disturbed(host)
            and not self._is_disturbed(self.balancer_by_flow[flow])
            for host, upstream in self.upstreams.items()
        )

    def _send_to_balancer(self, caller: Caller, data: bytes) -> None:
        sender = self._senders.get(CALLER_HOST)
        if sender is None:
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender.setblocking(False)
            self._senders[CALLER_HOST] = sender
        balancer = self.balancer_by_flow[caller.flow]
        target = (balancer, self._get_ports(balancer).packets)
        with contextlib.suppress(OSError):
            sender.sendto(data, target)

    def _deliver_to_caller(self, data: bytes) -> None:
        packet = CODEC.decode_upstream(data)
        assert packet is not None
        self.callers[packet.flow].receive(data)

    def find_repeated_flows(self) -> set[bytes]:
        """Return the flows with requests that ran on more than one upstream boot."""
        seen: set[bytes] = set()
        repeated: set[bytes] = set()
        for upstream in (*self.ended_upstreams, *self.upstreams.values()):
            flows = set(upstream.processed_flows)
            repeated |= flows & seen
            seen |= flows
        return repeated

    async def wait_for_outcomes(
        self, callers: list[Caller], limit: float = 10.0
    ) -> None:
        """Wait until each caller has an outcome."""
        async with asyncio.timeout(limit):
            while not all(caller.outcome for caller in callers):
                await asyncio.sleep(POLL_SECONDS)

    def read_log(self, host: str) -> list[dict]:
        """Return the log records that a node has written."""
        text = (self.folder / f"{host}.log").read_text()
        lines = text[: text.rfind("\n") + 1].splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]
