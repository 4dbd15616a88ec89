"""Cost of datagram flows in the reducers: time per packet, memory per flow."""

from __future__ import annotations

import struct
import time
import tracemalloc

from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._balancer_state import BalancerState
from shedsill.datagram._events import (
    CallerPacket,
    ForwardedPacket,
    MessageReceived,
    TableReceived,
)
from shedsill.datagram._failure_detection import merge_report
from shedsill.datagram._forwarding_table import ForwardingTable, Route, ServiceShare
from shedsill.datagram._messages import (
    FlowTaken,
    Load,
    NodeReport,
    Role,
    UpstreamState,
)
from shedsill.datagram._reducer import reduce
from shedsill.datagram._selection import hash_service
from shedsill.platform.packets import HeaderCodec
from shedsill.testing.flow_endpoints import SERVICE_HOST, make_packet

CODEC = HeaderCodec()
FLOW_COUNT = 20_000
SERVICE = "dispatcher"
AGENT_COUNT = 55


def make_balancer(agents: int = AGENT_COUNT) -> BalancerState:
    """Return the state of a balancer that knows `agents` agents of one service."""
    report = NodeReport(host="10.0.0.1", role=Role.BALANCER, zone="z", incarnation=1)
    state = BalancerState(report=report, seeds=(), flow_lifetime=60.0, stop_limit=5.0)
    route = Route(name="r", shares=(ServiceShare(service=SERVICE),))
    endpoint = struct.pack(">IH", SERVICE_HOST, 443)
    table = ForwardingTable(version=1, routes={endpoint: route}, idle_timeout=60.0)
    reduce(state, TableReceived(table=table, source="", now=1.0))
    for number in range(agents):
        upstream = NodeReport(
            host=f"10.1.0.{number}",
            role=Role.AGENT,
            zone="z" if number % 4 == 0 else "y",
            incarnation=2,
            service=SERVICE,
            boot="i-1",
            state=UpstreamState.READY,
            load=Load(slots=2),
        )
        merge_report(state.nodes, upstream, 1.0, direct=True)
    return state


def make_data(number: int, bits: int, content: bytes = b"") -> bytes:
    """Return a packet of flow `number` with some TCP flags."""
    caller = (0x64400000 + number // 50_000, 1024 + number % 50_000)
    return make_packet(caller, (SERVICE_HOST, 443), bits, seq=1, ack=8, payload=content)


def open_flows(state: BalancerState, count: int) -> None:
    """Open flows at a balancer, each accepted by the first agent it is offered to."""
    for number in range(count):
        packet = CODEC.decode_caller(make_data(number, 4))
        assert packet is not None
        reduce(state, CallerPacket(packet=packet, now=1.0 + number / 1000))
        host = next(iter(state.flows[packet.flow].offered))
        taken = FlowTaken(flow=packet.flow, boot="i-1", initial_seq=7, load=Load())
        message = MessageReceived(message=taken, source=host, now=1.0 + number / 1000)
        reduce(state, message)
        packet = CODEC.decode_caller(make_data(number, 128))
        assert packet is not None
        reduce(state, CallerPacket(packet=packet, now=1.0 + number / 1000))


def measure_reducers() -> dict[str, float]:
    """Return microseconds per packet and bytes per flow."""
    tracemalloc.start()
    state = make_balancer()
    before = tracemalloc.get_traced_memory()[0]
    open_flows(state, FLOW_COUNT)
    flow_bytes = (tracemalloc.get_traced_memory()[0] - before) / FLOW_COUNT
    tracemalloc.stop()
    return {
        "balancer, octets a flow": flow_bytes,
        "balancer, us an opening (55 agents)": _time_flow_openings(),
        "balancer, us a packet of a known flow": _time_balancer_packets(state),
        "agent, us a packet of a known flow": _time_agent_packets(),
    }


def _time_flow_openings() -> float:
    state = make_balancer()
    started_at = time.perf_counter()
    open_flows(state, FLOW_COUNT)
    return (time.perf_counter() - started_at) / FLOW_COUNT * 1e6


def _time_balancer_packets(state: BalancerState) -> float:
    packets = [make_data(number, 128, b"x" * 900) for number in range(FLOW_COUNT)]
    started_at = time.perf_counter()
    for data in packets:
        packet = CODEC.decode_caller(data)
        assert packet is not None
        for effect in reduce(state, CallerPacket(packet=packet, now=30.0)):
            CODEC.encode_forwarded(effect.packet, effect.service, effect.route)
    return (time.perf_counter() - started_at) / FLOW_COUNT * 1e6


def _time_agent_packets() -> float:
    report = NodeReport(
        host="10.1.0.1",
        role=Role.AGENT,
        zone="z",
        incarnation=1,
        service=SERVICE,
        state=UpstreamState.READY,
    )
    state = AgentState(report=report, seeds=(), flow_lifetime=60.0, stop_limit=5.0)
    number = hash_service(SERVICE)
    for flow in range(2000):
        packet = CODEC.decode_caller(make_data(flow, 4))
        assert packet is not None
        syn = ForwardedPacket(packet=packet, service=number, balancer="b", now=1.0)
        reduce(state, syn)
    packets = [make_data(flow % 2000, 128) for flow in range(FLOW_COUNT)]
    started_at = time.perf_counter()
    for data in packets:
        packet = CODEC.decode_caller(data)
        assert packet is not None
        event = ForwardedPacket(packet=packet, service=number, balancer="b", now=2.0)
        for effect in reduce(state, event):
            CODEC.encode_for_upstream(effect.packet, "10.0.0.1")
    return (time.perf_counter() - started_at) / FLOW_COUNT * 1e6


if __name__ == "__main__":
    for name, value in measure_reducers().items():
        print(f"{name}: {value:.1f}")
