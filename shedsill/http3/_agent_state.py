"""State of an agent, as one immutable value."""

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
    """Settings of an agent.

    Attributes
    ----------
    handshake_rate : Rate
        Rate of new flows above which callers must validate their address (Retry).
    slow_start : float
        Seconds over which a new agent's share of new flows grows.
    handover_attempts : int
        How often a draining agent offers its outcome records to its successor
        before it stops without a handover.
    drain_limit : float
        Seconds after which a drain ends although flows remain; 0 for no limit.
    """

    handshake_rate: Rate = field(factory=lambda: Rate(per_second=100.0, burst=200.0))
    slow_start: float = 10.0
    handover_attempts: int = 5
    drain_limit: float = 0.0


@frozen(kw_only=True)
class PlacementDecision:
    """Placement of the flow with a given initial connection ID.

    Attributes
    ----------
    upstream : int
        Number of the upstream that gets the flow.
    decided_at : float
        Local time of the decision.
    """

    upstream: int
    decided_at: float


@frozen(kw_only=True)
class PeerLoad:
    """Newest load report of another upstream.

    Attributes
    ----------
    reported_at : float
        Local time at which a balancer received the report.
    own_flows : int
        Flows of this agent when it received the report.
    forwarded_flows : int
        Flows that this agent has forwarded to the upstream since.
    """

    load: Load
    reported_at: float
    own_flows: int
    forwarded_flows: int = 0


@frozen(kw_only=True)
class DrainProgress:
    """Progress of a drain.

    Attributes
    ----------
    started_at : float
        Local time at which the drain started.
    successor : int
        Number of the upstream that takes the outcome records over; 0 for none.
    pending_transfers : tuple of Transfer
        Records that the successor has not confirmed yet.
    handover_prepared : bool
        Whether the records are ready for the handover, as all flows have ended or
        `drain_limit` has passed.
    last_offer_at, offers_made : float, int
        When the records were last offered, and how often.
    drained : bool
        Whether the drain is complete.
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
    """State of an agent.

    Attributes
    ----------
    upstream_name, service_name : str
        Names from the settings; the configuration maps them to numbers.
    upstream, service : int
        0 while the configuration does not list this agent.
    flow_count : int
        Number of open connections.
    slow_start_at : float
        Local time at which slow start began.
    decisions : Map
        Recent placement decisions, by initial connection ID.
    peer_loads : Map
        Loads of other upstreams, by number.
    reply_paths : Map
        Balancers through which replies can be sent, and when each was last heard.
    record_successors : Map
        Upstream that took over the records of each incarnation.
    drain : DrainProgress or None
        None while the agent accepts new work.
    status_writer : StatusWriter
        State of this node's status object in the platform.
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
        """Incarnation number in this agent's connection IDs and tickets."""
        return self.node.incarnation

    @property
    def issuer(self) -> IssuerKey:
        """Key of the outcome records of this incarnation."""
        return IssuerKey(self.upstream, self.incarnation)


def get_load(state: AgentState) -> Load:
    """Return the current load of this agent's upstream."""
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
    """Return the payload of this agent's heartbeats."""
    return HeartbeatPayload(
        service=state.service, upstream=state.upstream, load=get_load(state)
    )
