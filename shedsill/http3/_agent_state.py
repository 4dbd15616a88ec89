"""The state of an agent, as one value."""

from __future__ import annotations

import immutables
from attrs import field, frozen

from shedsill._addresses import Address
from shedsill._limits import Bucket, Rate
from shedsill.http3._admission import Admission
from shedsill.http3._frames import Load
from shedsill.http3._keys import KeyRing
from shedsill.http3._node import HeartbeatPayload, Node
from shedsill.http3._outcomes import IssuerKey, OutcomeTable, Transfer
from shedsill.http3._placement import Policy, TwoCandidates
from shedsill.http3._status import StatusWriter


@frozen(kw_only=True)
class AgentSettings:
    """Settings of an agent's decisions.

    Attributes
    ----------
    handshake_rate : Rate
        Above this rate of new flows, callers must prove their address (Retry).
    slow_start : float
        Seconds over which a new agent's share of new flows grows.
    handover_attempts : int
        How often a leaver offers its record before it leaves without.
    drain_limit : float
        Seconds after which a planned stop ends although flows remain; 0 for
        no limit.
    """

    handshake_rate: Rate = field(factory=lambda: Rate(per_second=100.0, burst=200.0))
    slow_start: float = 10.0
    handover_attempts: int = 5
    drain_limit: float = 0.0


@frozen(kw_only=True)
class PlacementDecision:
    """What was decided for a caller's first connection ID.

    Attributes
    ----------
    upstream : int
        Number of the upstream that takes the flow.
    decided_at : float
        Local time of the decision.
    """

    upstream: int
    decided_at: float


@frozen(kw_only=True)
class PeerLoad:
    """The freshest report of another upstream's load.

    Attributes
    ----------
    reported_at : float
        Local time at which some balancer heard it.
    own_flows : int
        Flows of this agent when it learned of the report.
    forwarded_flows : int
        Flows that this agent has passed on to it since.
    """

    load: Load
    reported_at: float
    own_flows: int
    forwarded_flows: int = 0


@frozen(kw_only=True)
class DrainProgress:
    """How far a drain has come.

    Attributes
    ----------
    started_at : float
        Local time at which it began.
    pending_transfers : tuple of Transfer
        Records that the successor has not yet taken.
    last_offer_at, offers_made : float, int
        When the record was last offered, and how often.
    drained : bool
        Whether no flow is left and the record is handed over.
    """

    started_at: float
    successor: int = 0
    pending_transfers: tuple[Transfer, ...] = ()
    handover_prepared: bool = False
    last_offer_at: float = 0.0
    offers_made: int = 0
    drained: bool = False


@frozen(kw_only=True)
class AgentState:
    """Everything an agent knows.

    Attributes
    ----------
    upstream_name, service_name : str
        From the settings; the numbers come from the configuration.
    upstream, service : int
        0 while the configuration does not name this agent.
    flow_count : int
        Open connections.
    slow_start_at : float
        Local time from which slow start counts.
    decisions : Map
        What was decided for callers' first connection IDs, for some seconds.
    peer_loads : Map
        Loads of other upstreams, by number.
    reply_paths : Map
        Balancers that delivered datagrams, and when they were last heard.
    record_successors : Map
        The upstream that took over each incarnation's records.
    status_writer : StatusWriter
        What is known of this node's object in the platform.
    """

    node: Node
    keys: KeyRing
    upstream_name: str
    service_name: str
    settings: AgentSettings = field(factory=AgentSettings)
    policy: Policy = field(factory=TwoCandidates)
    admission: Admission = field(factory=Admission)
    outcomes: OutcomeTable = field(factory=OutcomeTable)
    upstream: int = 0
    service: int = 0
    flow_count: int = 0
    slow_start_at: float = 0.0
    next_ticket: int = 1
    decisions: immutables.Map[bytes, PlacementDecision] = field(factory=immutables.Map)
    peer_loads: immutables.Map[int, PeerLoad] = field(factory=immutables.Map)
    reply_paths: immutables.Map[Address, float] = field(factory=immutables.Map)
    record_successors: immutables.Map[IssuerKey, int] = field(factory=immutables.Map)
    handshake_bucket: Bucket | None = None
    drain: DrainProgress | None = None
    status_writer: StatusWriter = field(factory=StatusWriter)

    @property
    def incarnation(self) -> int:
        """The number that connection IDs and tickets of this run carry."""
        return self.node.incarnation

    @property
    def issuer(self) -> IssuerKey:
        """Key of the records of this run."""
        return IssuerKey(self.upstream, self.incarnation)


def get_load(state: AgentState) -> Load:
    """Return the load as this agent counts it."""
    admission = state.admission
    broken = admission.breaker.failures >= admission.settings.breaker_failures
    return Load(
        flows=state.flow_count,
        flow_limit=max(admission.stream_limit, 1),
        busy=admission.running + len(admission.queue),
        slots=max(admission.slots, 1),
        open=state.drain is None and not broken and state.upstream != 0,
    )


def get_heartbeat_payload(state: AgentState) -> HeartbeatPayload:
    """Return what heartbeats say of this agent."""
    return HeartbeatPayload(
        service=state.service, upstream=state.upstream, load=get_load(state)
    )
