"""State of a balancer: known nodes, flows and the forwarding table."""

from __future__ import annotations

import math

from msgspec import Struct, field

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram._checkpoints import Checkpoints
from shedsill.datagram._effects import Effect, ForwardPacket, ResetFlow
from shedsill.datagram._failure_detection import Nodes
from shedsill.datagram._forwarding_table import ForwardingTable
from shedsill.datagram._key_ranges import KeyRange
from shedsill.datagram._messages import NodeReport
from shedsill.datagram._packet import Packet
from shedsill.datagram._report_polling import ReportPolling
from shedsill.datagram._search_state import Search
from shedsill.datagram._selection import can_accept_flows, hash_service


class BalancerFlow(Struct):
    """One balancer's record of a flow.

    Attributes
    ----------
    service : str
        Service that the flow belongs to.
    last_packet_at : float
        When the caller last sent a packet on the flow.
    started_at : float
        When this balancer first recorded the flow.
    host : str
        Agent that holds the flow; empty until the caller has acknowledged the
        answer of one upstream.
    boot : str
        Upstream boot that accepted the flow, as reported by its agent; empty if
        the agent did not know it.  A new boot may accept flows before its agent
        has seen the first heartbeat, in which case this is the previous boot.
    unverified : bool
        Whether the agent is being asked if it still holds the flow, because its
        upstream has been restarted or the flow comes from a checkpoint.
    probe_packet : Packet or None
        Smallest packet of the open flow; sent again to find out whether the upstream
        still holds the flow, if the agent is unsure.
    probes_left : int
        How often the agent may be unsure of an unverified flow before that is kept.
    offered : dict of str to int or None
        Agents that were offered the SYN, with the initial sequence number of
        their upstream's answer, or None while there is no answer.
    boot_by_host : dict of str to str
        Upstream boot reported by each agent that has answered the SYN.
    refused_by : set of str
        Agents that have returned the SYN.
    unsure_hosts : set of str
        Those of them whose upstream may have refused a copy of its own flow's SYN.
    overloaded_count : int
        Number of agents that returned the SYN because of overload.
    began_with_copy : bool
        Whether this balancer has not seen the caller's first SYN; another one may have
        placed the flow.
    possible_holders : set of str or None
        Agents that were asked whether they hold the flow, and have not denied it;
        None if none was asked.
    syn : Packet or None
        The SYN, until an upstream has answered it.
    offered_at : float
        When the SYN was last offered.
    caller_ack : int
        Acknowledgement number of the caller's last packet.
    closed : bool
        Whether the caller has sent a FIN or RST.
    restored : bool
        Whether the flow is known only from a checkpoint.
    """

    service: str
    last_packet_at: float
    started_at: float = 0.0
    host: str = ""
    boot: str = ""
    unverified: bool = False
    probe_packet: Packet | None = None
    probes_left: int = 0
    offered: dict[str, int | None] = field(default_factory=dict)
    boot_by_host: dict[str, str] = field(default_factory=dict)
    refused_by: set[str] = field(default_factory=set)
    unsure_hosts: set[str] = field(default_factory=set)
    overloaded_count: int = 0
    began_with_copy: bool = False
    possible_holders: set[str] | None = None
    syn: Packet | None = None
    offered_at: float = 0.0
    caller_ack: int = 0
    closed: bool = False
    restored: bool = False


class BalancerState(Struct):
    """Complete state of a balancer.

    Attributes
    ----------
    report : NodeReport
        This balancer's own report.
    seeds : tuple of str
        Hosts of balancers named in the settings; some may be gone.
    flow_lifetime, stop_limit : float
        Settings of the node, in seconds.
    flows : dict of bytes to BalancerFlow
        Known flows by key.
    pending_flows : dict of bytes to BalancerFlow
        Flows whose SYN has not been answered.
    searches : dict of bytes to Search
        Flows whose agent is being located.
    started_at : float
        When this balancer started.
    isolated : bool
        Whether this balancer is cut off from most agents.
    hosts_to_sync : list of KeyRange
        Ranges of hosts for which no balancer with a complete list of agents has sent
        the nodes that it knows.
    sync_attempts : int
        Number of rounds in which other balancers were asked for their nodes.
    next_sync_at : float
        When the next such round is due.
    peers_ahead : dict of str to str
        Balancers that have a newer table, with their availability zones.
    behind_since : float
        When a newer table was first announced or last requested.
    unrouted_since : dict of bytes to float
        Flows without a route, with the time of the first packet that was dropped.
    version_announced_at : float
        When the other balancers were last asked for a newer table.
    resets : dict of bytes to float
        Recently reset flows, with the time of their last packet.
    pending_locates : dict of str to list of bytes
        Flows to ask each agent about once the sockets are drained.
    hosts_with_flows : set of str
        Agents that hold open flows of this balancer.
    peer_exchanges : int
        Counter that rotates exchanges and table pulls over the peers.
    stop_at : float or None
        When a planned stop ends at the latest; None if none is in progress.
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
    hosts_to_sync: list[KeyRange] = field(default_factory=lambda: [KeyRange()])
    sync_attempts: int = 0
    next_sync_at: float = 0.0
    peers_ahead: dict[str, str] = field(default_factory=dict)
    behind_since: float = 0.0
    unrouted_since: dict[bytes, float] = field(default_factory=dict)
    version_announced_at: float = -math.inf
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
    def peers_synced(self) -> bool:
        """Whether other balancers have sent a complete list of agents."""
        return not self.hosts_to_sync

    @property
    def knows_all_agents(self) -> bool:
        """Whether the store or other balancers have sent a complete list of agents."""
        return self.nodes.store_listed or self.peers_synced

    @property
    def ready(self) -> bool:
        """Whether routers should send packets to this balancer."""
        usable = any(can_accept_flows(v) for v in self.nodes.upstreams.values())
        stopping = self.stop_at is not None
        return self.table.version > 0 and usable and not (stopping or self.isolated)


def reset_flows(
    state: BalancerState, keys: list[bytes], host: str, reason: str
) -> list[Effect]:
    """Reset flows whose upstream has ended, and log the reason."""
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
