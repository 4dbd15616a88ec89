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
from typing import Any

from msgspec.structs import replace

from shedsill.datagram import (
    _agent,
    _agent_packets,
    _agent_state,
    _balancer,
    _failure_detection,
    _known_flows,
    _proofs,
    _report_writes,
    _upstream,
)
from shedsill.datagram._failure_detection import Nodes
from shedsill.datagram._messages import UpstreamState
from shedsill.datagram._runtime import agent as _runtime_agent
from shedsill.platform.node import main
from shedsill.platform.packets import HeaderCodec

Replace = Callable[[object, str, Any], None]
"""Replaces an attribute of a module or class."""


class MutationError(Exception):
    """A mutation names an attribute that does not exist or would not change."""


def replace_attribute(owner: object, name: str, value: Any) -> None:
    """Replace an attribute; raise `MutationError` if that changes nothing."""
    if not hasattr(owner, name):
        raise MutationError(f"{owner!r} has no attribute {name!r}")
    if getattr(owner, name) is value:
        raise MutationError(f"{owner!r}: {name!r} already has this value")
    setattr(owner, name, value)


def corrupt_payloads(replace_in: Replace) -> None:
    """Change one byte of each packet for an upstream."""
    encode = HeaderCodec.encode_for_upstream

    def encode_corrupted(self, packet, balancer: str) -> bytes:
        data = encode(self, packet, balancer)
        return data[:27] + bytes([data[27] ^ 1]) + data[28:]

    replace_in(HeaderCodec, "encode_for_upstream", encode_corrupted)


def ignore_services(replace_in: Replace) -> None:
    """Offer flows to upstreams of any service, and let agents accept them."""
    handle_packet = _agent_packets.handle_forwarded_packet

    def list_any_upstreams(nodes, _service: str) -> list:
        return list(nodes.upstreams.values())

    def handle_any_service(state, event) -> list:
        own_service = _agent_packets.hash_service(state.report.service)
        return handle_packet(state, replace(event, service=own_service))

    replace_in(Nodes, "list_service_upstreams", list_any_upstreams)
    replace_in(_agent_packets, "handle_forwarded_packet", handle_any_service)


def deny_earlier_flows(replace_in: Replace) -> None:
    """Let a restarted agent claim to know all flows, so that it denies earlier ones."""
    start = _agent.start_agent

    def start_with_known_flows(state: _agent_state.AgentState, now: float) -> None:
        start(state, now)
        state.knows_all_flows = True

    replace_in(_agent, "start_agent", start_with_known_flows)


def ignore_tables(replace_in: Replace) -> None:
    """Let a restarted balancer ignore every table."""
    settings = json.loads(pathlib.Path(os.environ["SHEDSILL_BOOT"]).read_text())
    if not settings["bootstrap"]:
        replace_in(_balancer, "handle_table", lambda _state, _event: [])


def break_flow_expiry(replace_in: Replace) -> None:
    """Let agents crash when they first expire a flow."""
    replace_in(_agent, "CLOSED_FLOW_SECONDS", None)
    replace_in(_agent, "HALF_OPEN_TIMEOUT_SECONDS", "soon")


def confirm_without_effect(replace_in: Replace) -> None:
    """Let agents confirm the end of an upstream and go on using it."""
    for module in (_upstream, _agent_packets):
        replace_in(module, "get_serving_state", lambda _state: UpstreamState.READY)
    replace_in(_runtime_agent, "is_confirmed", lambda _state, _call: True)


def forget_copied_flows(replace_in: Replace) -> None:
    """Let agents treat each copy of a SYN as the first one."""
    replace_in(_agent_packets, "_is_syn_copy", lambda _flow, _syn: False)
    replace_in(_agent_packets, "_is_answered", lambda _flow: False)


def trust_heartbeats(replace_in: Replace) -> None:
    """Let agents take each heartbeat for one of a boot that began after them."""
    for module in (_known_flows, _proofs):
        replace_in(module, "has_started_within", lambda *_arguments: True)


def ask_for_no_proof(replace_in: Replace) -> None:
    """Let restarted agents take the first heartbeat for the newest statement."""
    replace_in(_upstream, "is_proven", lambda _state, _event: True)


def believe_restarted_agents(replace_in: Replace) -> None:
    """Let balancers take what a restarted agent reports for the latest statement."""
    replace_in(_failure_detection, "is_superseded", lambda *_reports: True)


def repeat_refused_writes(replace_in: Replace) -> None:
    """Let nodes repeat a write as it was before a conflict."""

    def take_over_version(writes, current) -> None:
        writes.version = current.version if current else 0

    replace_in(_report_writes, "_record_conflict", take_over_version)


MUTATIONS: dict[str, Callable[[Replace], None]] = {
    "content": corrupt_payloads,
    "service": ignore_services,
    "living-flows": deny_earlier_flows,
    "recovery": ignore_tables,
    "drains": confirm_without_effect,
    "syn-copies": forget_copied_flows,
    "late-heartbeats": trust_heartbeats,
    "proofs": ask_for_no_proof,
    "statements": believe_restarted_agents,
    "conflicts": repeat_refused_writes,
    "processes": break_flow_expiry,
}

if __name__ == "__main__":
    MUTATIONS[sys.argv.pop(1)](replace_attribute)
    sys.exit(main())
