"""Settings of datagram nodes that tests run in their own process."""

from __future__ import annotations

from typing import Any

from shedsill._addresses import Address
from shedsill.datagram._messages import Role
from shedsill.datagram.adapter import NodeSettings

__all__ = ["NODE_PORT_COUNT", "make_node_settings"]

NODE_PORT_COUNT = 4
"""Ports per node: packets, messages, packets of other nodes, and status."""


def make_node_settings(
    host: str, role: Role, ports: list[int], **fields: Any
) -> NodeSettings:
    """Return the settings of a node on a loopback address.

    Parameters
    ----------
    ports : list of int
        At least `NODE_PORT_COUNT` free ports.
    **fields
        Other fields of `NodeSettings`.
    """
    packets, messages, other, status = ports[:NODE_PORT_COUNT]
    return NodeSettings(
        name=host,
        role=role,
        host=host,
        zone="z",
        packets=Address(host, packets),
        messages=Address(host, messages),
        agent_port=other,
        caller_port=other,
        status=Address(host, status),
        readiness_path="/ready",
        **fields,
    )
