"""Cost of a datagram at a balancer, compared with a plain UDP relay."""

from __future__ import annotations

import asyncio
import os
import socket
import time
import tracemalloc

from attrs import evolve

from benchmarks.results import Result
from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill._limits import Rate
from shedsill.coordination.lease import Lease
from shedsill.coordination.platform import Call, Outcome, Unavailable
from shedsill.http3._acceptor import Acceptor
from shedsill.http3._balancer import BalancerState
from shedsill.http3._configuration import Configuration
from shedsill.http3._configuration_rules import AcceptanceInputs, accept_resources
from shedsill.http3._events import CallerDatagram, ConfigurationOffered
from shedsill.http3._frames import Load, ToCaller, encode_frame
from shedsill.http3._keys import KeyRing, Route
from shedsill.http3._node import Node
from shedsill.http3._reducer import reduce
from shedsill.http3._resources import Service, Upstream, UpstreamSet
from shedsill.http3._routing import FlowLimits, Router
from shedsill.http3._runtime.balancer import Balancer, BalancerOptions, BalancerSettings
from shedsill.http3._runtime.log import EventLog
from shedsill.testing.ports import get_free_ports

KEYS = KeyRing((bytes(range(32)),))
DATAGRAM_BYTES = 1200
DATAGRAMS_PER_BURST = 40
BURST_COUNT = 250
REDUCER_EVENT_COUNT = 20_000
FLOW_COUNT = 100_000
UNLIMITED = FlowLimits(
    per_caller=Rate(per_second=1e9, burst=1e9),
    per_service=Rate(per_second=1e9, burst=1e9),
)


def make_configuration(service_port: int, agent: Address, count: int) -> Configuration:
    """Return a configuration with one service and `count` upstreams."""
    service = Service(name="intake", address=f"127.0.0.1:{service_port}")
    members = tuple(
        Upstream(name=f"u{i}", address=str(Address(agent.host, agent.port + i)))
        for i in range(count)
    )
    group = UpstreamSet(name="intake", service="intake", upstreams=members)
    return accept_resources(
        Configuration(), AcceptanceInputs(services=(service,), upstream_sets=(group,))
    ).configuration


def make_short_packet(upstream: int, incarnation: int = 1) -> bytes:
    """Return a datagram whose connection ID routes it to an upstream."""
    route = Route(upstream, 1, incarnation)
    cid = KEYS.make_connection_id(route, epoch=1, nonce=os.urandom(6))
    return bytes([0x40]) + cid + bytes(DATAGRAM_BYTES - 1 - len(cid))


def make_initial() -> bytes:
    """Return a datagram with the header of a QUIC Initial packet."""
    cid = os.urandom(8)
    head = bytes([0xC0]) + (1).to_bytes(4, "big") + bytes([8]) + cid + bytes([0, 0])
    rest = DATAGRAM_BYTES - len(head) - 2
    return head + (0x4000 | rest).to_bytes(2, "big") + bytes(rest)


def make_state(configuration: Configuration) -> BalancerState:
    """Return the state of a balancer that has received a configuration."""
    node = Node(name="b", address=Address("127.0.0.1", 1), balancer=True, incarnation=1)
    lease = Lease(kind="lease", name="a", node="b", time_to_live=3.0)
    state = BalancerState(
        node=node,
        keys=KEYS,
        acceptor=Acceptor(lease=lease),
        router=Router(limits=UNLIMITED),
    )
    offered = ConfigurationOffered(configuration=configuration, now=0.0)
    return reduce(state, offered)[0]


def _time_events(state: BalancerState, datagrams: list[bytes]) -> float:
    caller = Address("127.0.0.1", 9)
    events = [
        CallerDatagram(service=1, caller=caller, datagram=data, now=1.0)
        for data in datagrams
    ]
    start = time.process_time()
    for event in events:
        state, _effects = reduce(state, event)
    return (time.process_time() - start) / len(events)


def measure_reducer() -> list[Result]:
    """Measure CPU time per datagram in the reducer."""
    configuration = make_configuration(4433, Address("127.0.0.1", 20_000), 7)
    state = make_state(configuration)
    packet = make_short_packet(1)
    established = _time_events(state, [packet] * REDUCER_EVENT_COUNT)
    new_flow = _time_events(
        state, [make_initial() for _ in range(REDUCER_EVENT_COUNT // 4)]
    )
    return [
        Result("reducer, established datagram", established * 1e6, "us"),
        Result("reducer, new flow", new_flow * 1e6, "us"),
    ]


def measure_flow_state() -> list[Result]:
    """Measure how much a balancer's memory grows with routed flows."""
    configuration = make_configuration(4433, Address("127.0.0.1", 20_000), 7)
    state = make_state(configuration)
    state = _route_flows(state, 1_000)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = _route_flows(state, FLOW_COUNT)
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return [Result(f"balancer memory after {FLOW_COUNT} flows", float(growth), "B")]


def _route_flows(state: BalancerState, count: int) -> BalancerState:
    for index in range(count):
        caller = Address("127.0.0.1", index % 60_000 + 1)
        packet = make_short_packet(index % 7 + 1)
        event = CallerDatagram(service=1, caller=caller, datagram=packet, now=1.0)
        state, _effects = reduce(state, event)
    return state


class _UnavailablePlatform:
    """Platform whose calls fail, so that only the datapath runs."""

    async def call(self, call: Call) -> Outcome:
        del call
        return Unavailable(reason="down")


class _Relay(asyncio.DatagramProtocol):
    """Forwards every datagram: the baseline for the balancer."""

    def __init__(self, sink: tuple[str, int]) -> None:
        self._sink = sink
        self.count = 0

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        self.count += 1
        self._transport.sendto(data, self._sink)


async def _time_bursts(target: tuple[str, int], datagrams: list[bytes], count) -> float:
    """Send bursts; return the event loop's CPU time per datagram."""
    sender = socket.socket(type=socket.SOCK_DGRAM)
    cpu_seconds = 0.0
    done = 0
    for _ in range(BURST_COUNT):
        for index in range(DATAGRAMS_PER_BURST):
            sender.sendto(datagrams[(done + index) % len(datagrams)], target)
        done += DATAGRAMS_PER_BURST
        start = time.process_time()
        while count() < done:
            await asyncio.sleep(0)
        cpu_seconds += time.process_time() - start
    sender.close()
    return cpu_seconds / done


async def measure_sockets() -> list[Result]:
    """Measure CPU time per datagram through real sockets."""
    loop = asyncio.get_running_loop()
    sink = socket.socket(type=socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    transport, relay = await loop.create_datagram_endpoint(
        lambda: _Relay(sink.getsockname()), local_addr=("127.0.0.1", 0)
    )
    address = transport.get_extra_info("sockname")
    packet = make_short_packet(1)
    baseline = await _time_bursts(address, [packet], lambda: relay.count)
    transport.close()
    sink_address = Address(*sink.getsockname())
    balancer, service = await _start_balancer(sink_address)
    event_log = balancer.event_log
    established = await _time_bursts(
        service, [packet], lambda: event_log.count(LogEvent.FLOW_ROUTED)
    )
    initials = [make_initial() for _ in range(2_000)]
    new_flow = await _time_bursts(
        service, initials, lambda: event_log.count(LogEvent.FLOW_PLACED)
    )
    replies = await _measure_replies(balancer, sink)
    await balancer.stop()
    sink.close()
    return [
        Result("bare relay", baseline * 1e6, "us"),
        Result("balancer, established datagram", established * 1e6, "us"),
        Result("balancer, new flow", new_flow * 1e6, "us"),
        Result("balancer, reply to caller", replies * 1e6, "us"),
        Result("balancer, established, datagrams/s", 1 / established, "1/s"),
        Result("balancer, new flows/s", 1 / new_flow, "1/s"),
        Result("established rate / bare relay rate", baseline / established, "ratio"),
    ]


async def _start_balancer(agent: Address) -> tuple[Balancer, tuple[str, int]]:
    port, service_port = get_free_ports(2)
    options = BalancerOptions(
        name="b",
        address=Address("127.0.0.1", port),
        incarnation=1,
        service_host="127.0.0.1",
        limits=UNLIMITED,
        settings=BalancerSettings(),
    )
    balancer = Balancer(
        options,
        keys=KEYS,
        platform=_UnavailablePlatform(),
        event_log=EventLog(node="b", level="ERROR"),
    )
    await balancer.start()
    configuration = make_configuration(service_port, agent, 1)
    configuration = evolve(configuration, generation=9)
    balancer.dispatch(
        ConfigurationOffered(configuration=configuration, now=balancer.now)
    )
    await asyncio.sleep(0.2)
    return balancer, ("127.0.0.1", service_port)


async def _measure_replies(balancer: Balancer, sink: socket.socket) -> float:
    caller = Address(*sink.getsockname())
    frame = ToCaller(
        generation=9,
        service=1,
        upstream=1,
        caller=caller,
        load=Load(),
        datagram=bytes(DATAGRAM_BYTES),
    )
    envelope = encode_frame(KEYS, frame)
    done = 0
    original = balancer.receive_frame

    def count_frame(data: bytes, source: Address) -> None:
        nonlocal done
        done += 1
        original(data, source)

    balancer.receive_frame = count_frame  # type: ignore[method-assign]
    target = balancer.node_state.node.address.pair
    return await _time_bursts(target, [envelope], lambda: done)
