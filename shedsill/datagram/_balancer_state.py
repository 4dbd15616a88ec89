"""What a balancer keeps of nodes, flows and the forwarding table."""

from __future__ import annotations

from msgspec import Struct, field

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram._checkpoints import Checkpoints
from shedsill.datagram._effects import Effect, ForwardPacket, ResetFlow
from shedsill.datagram._failure_detection import Nodes
from shedsill.datagram._forwarding_table import ForwardingTable
from shedsill.datagram._messages import NodeReport
from shedsill.datagram._packet import Packet
from shedsill.datagram._report_polling import ReportPolling
from shedsill.datagram._search_state import Search
from shedsill.datagram._selection import can_accept_flows, hash_service


class BalancerFlow(Struct):
    """A flow as one balancer remembers it.

    Attributes
    ----------
    host : str
        The agent that holds it; empty until the caller has chosen one.
    boot : str
        The upstream's run when it took the flow, as its agent said; empty where
        the agent did not know it yet.  A run that has just begun takes flows before
        its agent knows of it, so that the one named may be the last one.
    unverified : bool
        Whether its agent has told of another run since and is asked for it.
    boot_by_host : dict of str to str
        The same of each agent whose upstream has answered the opening packet.
    offered : dict of str to int or None
        Agents that were offered the opening packet, with the sequence number
        that their upstream answered with.
    refused_by : set of str
        Agents that have handed the opening packet back.
    overloaded_count : int
        How many of them because they could not answer in time.
    syn : Packet or None
        The opening packet, until an upstream has answered.
    caller_ack : int
        What the caller expects next, as its last packet said.
    started_at : float
        Since when it is known here.
    restored : bool
        Whether it is known from a checkpoint only.
    """

    service: str
    last_packet_at: float
    started_at: float = 0.0
    host: str = ""
    boot: str = ""
    unverified: bool = False
    offered: dict[str, int | None] = field(default_factory=dict)
    boot_by_host: dict[str, str] = field(default_factory=dict)
    refused_by: set[str] = field(default_factory=set)
    overloaded_count: int = 0
    syn: Packet | None = None
    offered_at: float = 0.0
    caller_ack: int = 0
    closed: bool = False
    restored: bool = False


class BalancerState(Struct):
    """Everything that a balancer knows.

    Attributes
    ----------
    report : NodeReport
        What it says of itself.
    pending_flows : dict of bytes to BalancerFlow
        The flows whose opening packet has no answer yet.
    started_at : float
        When this balancer started.
    isolated : bool
        Whether this balancer hears from so few agents that it is to blame.
    peers_synced : bool
        Whether another balancer has told which nodes it knows.
    sync_attempts : int
        How often others were asked for that, and
    next_sync_at : float
        when they are next.
    peers_ahead : dict of str to str
        Balancers that have a newer table, with their availability zones.
    behind_since : float
        When the first of them said so, or was last asked for it.
    resets : dict of bytes to float
        Flows that were reset lately, and when.
    pending_locates : dict of str to list of bytes
        Flows to ask each agent for when the sockets are drained.
    """

    report: NodeReport
    seeds: tuple[str, ...]
    flow_lifetime: float
    stop_limit: float
    table: ForwardingTable = field(default_factory=ForwardingTable)
    nodes: Nodes = field(default_factory=Nodes)
    polling: ReportPolling = field(default_factory=ReportPolling)
    flows: dict[bytes, BalancerFlow] = field(default_factory=dict)
    pending_flows: dict[bytes, BalancerFlow] = field(default_factory=dict)
    searches: dict[bytes, Search] = field(default_factory=dict)
    started_at: float = 0.0
    isolated: bool = False
    peers_synced: bool = False
    sync_attempts: int = 0
    next_sync_at: float = 0.0
    peers_ahead: dict[str, str] = field(default_factory=dict)
    behind_since: float = 0.0
    resets: dict[bytes, float] = field(default_factory=dict)
    pending_locates: dict[str, list[bytes]] = field(default_factory=dict)
    hosts_with_flows: set[str] = field(default_factory=set)
    checkpoints: Checkpoints = field(default_factory=Checkpoints)
    last_tick_at: float = 0.0
    last_packet_at: float = 0.0
    next_peer_exchange_at: float = 0.0
    peer_exchanges: int = 0
    next_flow_sweep_at: float = 0.0
    stop_at: float | None = None

    @property
    def ready(self) -> bool:
        """Whether routers should send packets here."""
        usable = any(can_accept_flows(v) for v in self.nodes.upstreams.values())
        stopping = self.stop_at is not None
        return self.table.version > 0 and usable and not (stopping or self.isolated)


def reset_flows(
    state: BalancerState, keys: list[bytes], host: str, reason: str
) -> list[Effect]:
    """Reset flows whose upstream has ended, and log why."""
    effects: list[Effect] = []
    for key in keys:
        flow = state.flows.pop(key)
        state.pending_flows.pop(key, None)
        if not flow.closed:
            state.resets[key] = flow.last_packet_at
            effects.append(ResetFlow(key, flow.caller_ack))
    if keys:
        fields = {"upstream": host, "flows": len(keys), "reason": reason}
        effects.append(WriteLog(event=LogEvent.FLOWS_FREED, fields=fields))
    return effects


def forward_packet(
    state: BalancerState, host: str, service: str, packet: Packet
) -> Effect:
    """Return the effect that sends a caller's packet to an agent."""
    route = state.table.routes.get(packet.endpoint)
    return ForwardPacket(host, packet, hash_service(service), route)
