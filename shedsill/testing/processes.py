"""Runs the system as separate processes on loopback, for tests and benchmarks."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import aiohttp
from attrs import define, field

from shedsill._addresses import Address
from shedsill.testing.certificates import TestCertificate, make_certificate
from shedsill.testing.documents import ServiceLayout, make_documents
from shedsill.testing.ports import get_free_ports

SECRET = "5e" * 32
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 15.0


@define
class Process:
    """A started process and its log file."""

    name: str
    handle: subprocess.Popen
    log: Any

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is still running."""
        if self.handle.poll() is None:
            os.kill(self.handle.pid, signal_number)

    def wait(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait until the process exits; return its exit code."""
        return self.handle.wait(timeout)


@define
class Cluster:
    """The processes of one test and their addresses.

    Attributes
    ----------
    layouts : tuple of ServiceLayout
        Services and their upstreams.
    service_addresses : dict of str to Address
        Address of each service at the fabric, for callers.
    """

    layouts: tuple[ServiceLayout, ...]
    directory: str
    balancer_count: int = 3
    extra_options: dict[str, tuple[str, ...]] = field(factory=dict)
    processes: dict[str, Process] = field(factory=dict)
    platform_url: str = ""
    fabric_url: str = ""
    service_addresses: dict[str, Address] = field(factory=dict)
    balancer_addresses: dict[str, Address] = field(factory=dict)
    agent_addresses: dict[str, Address] = field(factory=dict)
    upstream_urls: dict[str, str] = field(factory=dict)
    service_by_upstream: dict[str, str] = field(factory=dict)
    documents: str = ""
    certificate: TestCertificate | None = None
    _service_ports: dict[str, int] = field(factory=dict)

    def start(self) -> None:
        """Start all processes, apply the documents and wait until nodes are ready."""
        self._assign_addresses()
        self._start_platform()
        for name, address in self.balancer_addresses.items():
            self.start_balancer(name, address)
        for name in self.agent_addresses:
            self.start_upstream(name)
            self.start_agent(name)
        self._start_fabric()
        self.run_command(
            "apply", "-f", self._write_file("documents.yaml", self.documents)
        )
        asyncio.run(self.wait_ready())

    def _assign_addresses(self) -> None:
        names = [u for layout in self.layouts for u in layout.upstreams]
        count = 2 + self.balancer_count + 2 * len(names) + 2 * len(self.layouts)
        ports = iter(get_free_ports(count))
        self.platform_url = f"http://127.0.0.1:{next(ports)}"
        self.fabric_url = f"http://127.0.0.1:{next(ports)}"
        for index in range(self.balancer_count):
            host = f"127.0.1.{index + 1}"
            self.balancer_addresses[f"balancer-{index + 1}"] = Address(
                host, next(ports)
            )
        for layout in self.layouts:
            self._service_ports[layout.name] = next(ports)
            self.service_addresses[layout.name] = Address("127.0.0.1", next(ports))
            for name in layout.upstreams:
                self.service_by_upstream[name] = layout.name
                self.agent_addresses[name] = Address("127.0.0.1", next(ports))
                self.upstream_urls[name] = f"http://127.0.0.1:{next(ports)}"
        self.documents = make_documents(
            self.layouts, self._service_ports, self.agent_addresses
        )
        self.certificate = make_certificate()

    def _write_file(self, name: str, text: str) -> str:
        path = os.path.join(self.directory, name)
        with open(path, "w") as file:
            file.write(text)
        return path

    def _start_platform(self) -> None:
        port = self.platform_url.rpartition(":")[2]
        self.start_process(
            "platform", "-m", "shedsill.testing.platform", "--port", port
        )
        asyncio.run(self._wait_for_url(f"{self.platform_url}/calls"))

    def _start_fabric(self) -> None:
        command = ["-m", "shedsill.testing.fabric"]
        for layout in self.layouts:
            port = self._service_ports[layout.name]
            targets = [f"{b.host}:{port}" for b in self.balancer_addresses.values()]
            command += [
                "--route",
                str(self.service_addresses[layout.name]),
                ",".join(targets),
            ]
        control = self.fabric_url.rpartition(":")[2]
        self.start_process("fabric", *command, "--control", control)

    def start_balancer(self, name: str, address: Address) -> None:
        """Start or restart a balancer."""
        options = [
            "--service-host",
            address.host,
            *self.extra_options.get("balancer", ()),
        ]
        self._start_node("balancer", name, address, options)

    def start_upstream(self, name: str) -> None:
        """Start or restart the stand-in of an upstream."""
        port = self.upstream_urls[name].rpartition(":")[2]
        command = ["-m", "shedsill.testing.upstream", "--name", name, "--port", port]
        self.start_process(
            f"upstream-{name}", *command, *self.extra_options.get("upstream", ())
        )

    def start_agent(self, name: str) -> None:
        """Start or restart the agent of an upstream."""
        assert self.certificate is not None
        options = [
            "--service",
            self.service_by_upstream[name],
            "--upstream-url",
            self.upstream_urls[name],
            "--certificate",
            self.certificate.certificate,
            "--private-key",
            self.certificate.private_key,
            *self.extra_options.get("agent", ()),
        ]
        self._start_node("agent", name, self.agent_addresses[name], options)

    def _start_node(
        self, role: str, name: str, address: Address, options: list[str]
    ) -> None:
        peers = ",".join(str(b) for b in self.balancer_addresses.values())
        self.start_process(
            name,
            "-m",
            "shedsill",
            role,
            "--name",
            name,
            "--address",
            str(address),
            "--platform",
            self.platform_url,
            "--peers",
            peers,
            "--cluster-secret",
            SECRET,
            *options,
        )

    def start_process(self, name: str, *command: str) -> Process:
        """Start a Python process; its output is appended to ``NAME.log``."""
        log = open(os.path.join(self.directory, f"{name}.log"), "ab")  # noqa: SIM115
        handle = subprocess.Popen(
            [sys.executable, *command], stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        process = self.processes[name] = Process(name, handle, log)
        return process

    def run_command(self, *command: str, check: bool = True) -> str:
        """Run a command of the command line and return its output."""
        environment = {**os.environ, "SHEDSILL_PLATFORM": self.platform_url}
        result = subprocess.run(
            [sys.executable, "-m", "shedsill", *command],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and result.returncode != 0:
            raise AssertionError(f"{command}: {result.stdout}{result.stderr}")
        return result.stdout

    async def _wait_for_url(self, url: str) -> dict[str, Any]:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return {"text": await response.text()}
                if time.monotonic() > deadline:
                    raise AssertionError(
                        f"{url} did not answer 200 within {START_TIMEOUT_SECONDS} s"
                    )
                await asyncio.sleep(0.05)

    async def wait_ready(self, *names: str) -> None:
        """Wait until the named nodes, or all nodes, are ready."""
        addresses = {**self.balancer_addresses, **self.agent_addresses}
        for name in names or tuple(addresses):
            await self._wait_for_url(f"http://{addresses[name]}/readyz")

    async def fetch_json(self, url: str, *, body: Any = None) -> dict[str, Any]:
        """Send a GET, or a POST with a JSON body, and return the JSON response."""
        async with aiohttp.ClientSession() as session:
            method = "GET" if body is None else "POST"
            async with session.request(method, url, json=body) as response:
                return await response.json()

    async def read_journals(self, service: str) -> list[dict[str, Any]]:
        """Return the journal entries of all upstreams of a service."""
        entries = []
        for name, owner in self.service_by_upstream.items():
            if owner == service:
                journal = await self.fetch_json(f"{self.upstream_urls[name]}/journal")
                entries += journal["entries"]
        return entries

    def stop(self) -> None:
        """Kill all processes that this cluster started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
            process.log.close()


@contextlib.contextmanager
def run_cluster(cluster: Cluster) -> Iterator[Cluster]:
    """Start a cluster and stop it on exit."""
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()
