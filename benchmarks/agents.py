"""Cost of connections at an agent, and latency of requests on the whole path."""

from __future__ import annotations

import asyncio
import contextlib
import os
import ssl
import tempfile
import time
import tracemalloc

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from hdrh.histogram import HdrHistogram

from benchmarks.results import Result
from shedsill._addresses import Address
from shedsill.http3._effects import Deliver
from shedsill.http3._frames import ToCaller, ToUpstream, decode_frame, encode_frame
from shedsill.http3._keys import KeyRing, Route
from shedsill.http3._runtime.certificates import parse_certificate
from shedsill.http3._runtime.flows import FlowCallbacks, FlowTable
from shedsill.http3._runtime.quic import ConnectionIdGenerator, make_quic_configuration
from shedsill.testing.certificates import make_certificate
from shedsill.testing.client import open_client
from shedsill.testing.documents import make_layout
from shedsill.testing.processes import SECRET, Cluster, run_cluster

HANDSHAKE_COUNT = 300
REQUEST_COUNT = 300
BALANCER = Address("127.0.0.1", 1)
KEYS = KeyRing((bytes.fromhex(SECRET),))


class _ResourceMeter:
    """Sums CPU time and allocated memory of the agent's part of a handshake."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.allocated_bytes = 0

    @contextlib.contextmanager
    def measure(self):
        start, before = time.process_time(), tracemalloc.get_traced_memory()[0]
        yield
        self.seconds += time.process_time() - start
        self.allocated_bytes += tracemalloc.get_traced_memory()[0] - before


def _make_table(outbox: list[tuple[Address, bytes]]) -> FlowTable:
    def generate_connection_id() -> bytes:
        return KEYS.make_connection_id(Route(1, 1, 1), epoch=1, nonce=os.urandom(6))

    callbacks = FlowCallbacks(
        send_datagram=lambda caller, data, _balancer: outbox.append((caller, data)),
        on_opened=lambda _flow: None,
        on_closed=lambda _flow: None,
        on_request=lambda _exchange: None,
        on_cancelled=lambda _exchange, _deliberate: None,
        on_unknown_flow=lambda _caller, _datagram, _balancer: None,
        on_failed=lambda _flow, _error: None,
    )
    table = FlowTable(
        ConnectionIdGenerator(
            generate=generate_connection_id, make_reset_token=KEYS.make_reset_token
        ),
        callbacks,
    )
    pair = make_certificate()
    loaded = parse_certificate(pair.certificate, pair.private_key)
    table.configuration = make_quic_configuration()
    table.configuration.certificate = loaded.certificate
    table.configuration.private_key = loaded.private_key
    return table


async def _complete_handshakes(count: int) -> _ResourceMeter:
    outbox: list[tuple[Address, bytes]] = []
    table = _make_table(outbox)
    meter = _ResourceMeter()
    loop = asyncio.get_running_loop()
    clients = []
    for index in range(count):
        caller = Address("127.0.0.1", index + 1)
        client = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
            )
        )
        client.connect(("127.0.0.1", 443), now=loop.time())
        for _ in range(3):
            for data, _address in client.datagrams_to_send(now=loop.time()):
                deliver = Deliver(
                    caller=caller,
                    datagram=data,
                    reply_to=BALANCER,
                    can_open_connection=True,
                )
                with meter.measure():
                    table.deliver_datagram(deliver)
            for _caller, data in outbox:
                client.receive_datagram(data, ("127.0.0.1", 443), now=loop.time())
            outbox.clear()
        assert client._handshake_complete
        clients.append(client)
    return meter


async def measure_connections() -> list[Result]:
    """Measure CPU time per handshake and memory per connection at the agent."""
    timing_run = await _complete_handshakes(HANDSHAKE_COUNT)
    tracemalloc.start()
    memory_run = await _complete_handshakes(HANDSHAKE_COUNT)
    tracemalloc.stop()
    cost = timing_run.seconds / HANDSHAKE_COUNT
    return [
        Result("agent, handshake", cost * 1e3, "ms"),
        Result("agent, handshakes/s", 1 / cost, "1/s"),
        Result(
            "agent, memory per connection",
            memory_run.allocated_bytes / HANDSHAKE_COUNT / 1e3,
            "kB",
        ),
    ]


class _DirectRelay(asyncio.DatagramProtocol):
    """Relays one caller's datagrams to an agent, in place of a balancer."""

    def __init__(self, agent: Address, upstream: int, service: int) -> None:
        self._agent = agent
        self._upstream = upstream
        self._service = service
        self._caller: tuple | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        if addr == self._agent.pair:
            frame = decode_frame(KEYS, data)
            if isinstance(frame, ToCaller) and self._caller is not None:
                self._transport.sendto(frame.datagram, self._caller)
            return
        self._caller = addr
        frame = ToUpstream(
            generation=0,
            service=self._service,
            upstream=self._upstream,
            caller=Address(*addr),
            datagram=data,
        )
        self._transport.sendto(encode_frame(KEYS, frame), self._agent.pair)


async def _time_requests(address: Address) -> HdrHistogram:
    histogram = HdrHistogram(1, 60_000_000, 3)
    async with open_client(address) as client:
        for _ in range(REQUEST_COUNT):
            start = time.perf_counter()
            response = await client.request("GET", "/read")
            assert response.status == 200, response
            histogram.record_value(int((time.perf_counter() - start) * 1e6))
    return histogram


async def _time_paths(cluster: Cluster) -> list[Result]:
    balanced = await _time_requests(cluster.service_addresses["intake"])
    loop = asyncio.get_running_loop()
    agent = cluster.agent_addresses["intake-1"]
    transport, _direct = await loop.create_datagram_endpoint(
        lambda: _DirectRelay(agent, 1, 1), local_addr=("127.0.0.1", 0)
    )
    address = Address(*transport.get_extra_info("sockname"))
    direct = await _time_requests(address)
    transport.close()
    results = []
    for name, histogram in (("whole path", balanced), ("direct to agent", direct)):
        for percentile in (50, 99):
            value = histogram.get_value_at_percentile(percentile) / 1e3
            results.append(Result(f"request, {name}, p{percentile}", value, "ms"))
    return results


def measure_latency() -> list[Result]:
    """Measure latency through a balancer and directly to an agent."""
    layout = make_layout("intake", count=1, slots=4)
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster((layout,), directory)
        cluster.extra_options["upstream"] = ("--work", "0.001")
        with run_cluster(cluster):
            return asyncio.run(_time_paths(cluster))
