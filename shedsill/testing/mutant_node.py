"""Mutants of nodes, which show that the soak test detects faults.

``python -m shedsill.testing.mutant_node MUTATION balancer|agent`` runs a node as
``python -m shedsill.platform`` does, with one of `MUTATIONS` applied.
"""

from __future__ import annotations

import json
import os
import pathlib
import sys
from collections.abc import Callable

from shedsill.datagram import _agent, _agent_packets, _agent_state, _balancer
from shedsill.datagram._failure_detection import Nodes
from shedsill.platform import packets
from shedsill.platform.node import main


def corrupt_payloads() -> None:
    """Change one byte of each packet for an upstream."""
    encode = packets.HeaderCodec.encode_for_upstream

    def encode_corrupted(self, packet, balancer: str) -> bytes:
        data = encode(self, packet, balancer)
        return data[:27] + bytes([data[27] ^ 1]) + data[28:]

    packets.HeaderCodec.encode_for_upstream = encode_corrupted


def ignore_services() -> None:
    """Offer flows to upstreams of any service, and let agents accept them."""

    def list_any_upstreams(nodes, _service: str) -> list:
        return list(nodes.upstreams.values())

    Nodes.list_service_upstreams = list_any_upstreams
    _agent_packets.hash_service = lambda _service: 0
    packets.SERVICE = _ZeroServiceCodec()


class _ZeroServiceCodec:
    """Replaces the struct that encodes a service's number."""

    def pack(self, _number: int) -> bytes:
        return bytes(4)

    def unpack_from(self, _data: bytes, _offset: int) -> tuple[int]:
        return (0,)


def deny_earlier_flows() -> None:
    """Let a restarted agent claim to know all flows, so that it denies earlier ones."""
    start = _agent.start_agent

    def start_with_known_flows(state: _agent_state.AgentState, now: float) -> None:
        start(state, now)
        state.knows_all_flows = True

    _agent.start_agent = start_with_known_flows


def ignore_tables() -> None:
    """Let a restarted balancer ignore every table."""
    settings = json.loads(pathlib.Path(os.environ["SHEDSILL_BOOT"]).read_text())
    if not settings["bootstrap"]:
        _balancer.handle_table = lambda _state, _event: []


def break_flow_expiry() -> None:
    """Let agents crash when they first expire a flow."""
    _agent.CLOSED_FLOW_SECONDS = None
    _agent.HALF_OPEN_TIMEOUT_SECONDS = "soon"


MUTATIONS: dict[str, Callable[[], None]] = {
    "content": corrupt_payloads,
    "service": ignore_services,
    "living-flows": deny_earlier_flows,
    "recovery": ignore_tables,
    "processes": break_flow_expiry,
}

if __name__ == "__main__":
    MUTATIONS[sys.argv.pop(1)]()
    sys.exit(main())
