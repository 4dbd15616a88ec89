"""Records of the HTTP/3 simulation: callers, flows, upstreams and messages."""

from __future__ import annotations

import itertools

from attrs import define, field, frozen

from shedsill._addresses import Address
from shedsill.coordination.platform import Call
from shedsill.http3 import _events as events
from shedsill.http3._agent_state import AgentState
from shedsill.http3._answers import RequestOutcome
from shedsill.http3._balancer import BalancerState
from shedsill.http3._events import Event
from shedsill.http3._frames import Frame
from shedsill.http3._outcomes import Transfer


class ViolationError(AssertionError):
    """An invariant of the system does not hold."""


@define(eq=False)
class Attempt:
    """One request that a caller sent, possibly repeating an earlier one.

    Attributes
    ----------
    job : str
        Identifies what is requested; several attempts may have the same one.
    sent_position, answered_position : int
        Positions in the order of all events, as several may share a time.
    """

    number: int
    flow: CallerFlow
    job: str
    path: str
    key: str
    sent_position: int
    arrived: bool = False
    cancelled: bool = False
    outcome: RequestOutcome | None = None
    answered_position: int = 0
    body: bytes = b""
    ticket: str = ""
    retry_after: int = 0


@define(eq=False)
class CallerFlow:
    """Caller's side of a connection."""

    number: int
    service: str
    caller: Address
    first_cid: bytes
    cid: bytes = b""
    agent: str = ""
    is_broken: bool = False
    queued_attempts: list[Attempt] = field(factory=list)
    attempts: list[Attempt] = field(factory=list)


@frozen
class FlowAccepted:
    """Agent's reply to the first packet of a flow."""

    flow: CallerFlow
    cid: bytes
    agent: str


@frozen
class AttemptAnswer:
    """Final answer to an attempt."""

    attempt: Attempt
    outcome: RequestOutcome
    body: bytes
    ticket: str
    retry_after: int


@define(eq=False)
class AgentFlow:
    """Agent's side of a connection."""

    number: int
    caller_flow: CallerFlow
    cid: bytes
    reply_to: Address
    unacknowledged: list[FlowAccepted | AttemptAnswer] = field(factory=list)


@define(eq=False)
class Exchange:
    """A request at an agent, received from a flow or from another agent."""

    number: int
    attempt: Attempt
    flow: AgentFlow | None = None
    peer: PeerCall | None = None


@define(eq=False)
class UpstreamRun:
    """One run of a request at an upstream."""

    attempt: Attempt
    agent: str
    incarnation: int
    request: int
    started_at: float
    is_running: bool = True
    cancelled: bool = False
    shed: bool = False


@frozen
class PendingCancel:
    """A closed connection and when the upstream notices that it is closed."""

    run: UpstreamRun
    due_at: float


@define(eq=False)
class FakeUpstream:
    """An upstream that records what it runs; it outlives its agent."""

    name: str
    service: str
    slots: int
    journal: list[UpstreamRun] = field(factory=list)
    pending_cancels: list[PendingCancel] = field(factory=list)
    reports_idle: bool = False

    def list_running(self) -> list[UpstreamRun]:
        """Return the runs that take slots; streams take none."""
        return [r for r in self.journal if r.is_running and r.attempt.path != "/stream"]


@define(eq=False)
class FakeProcess:
    """A node's process: its state and what its runtime holds."""

    name: str
    address: Address
    state: AgentState | BalancerState
    is_suspended: bool = False
    has_exited: bool = False
    inbox: list[Event] = field(factory=list)
    flows: dict[int, AgentFlow] = field(factory=dict)
    exchanges: dict[int, Exchange] = field(factory=dict)
    sequence: itertools.count = field(factory=itertools.count)
    highest_generation: int = 0


@define(eq=False)
class CallerDatagram:
    """A caller's datagram in transit to any balancer."""

    flow: CallerFlow
    datagram: bytes


@define(eq=False)
class FrameMessage:
    """A frame in transit between nodes."""

    source: Address
    destination: Address
    frame: Frame


@define(eq=False)
class CallerReply:
    """A datagram in transit to a caller."""

    payload: int


@define(eq=False)
class PlatformMessage:
    """A call of the platform that is not answered yet."""

    node: str
    incarnation: int
    purpose: events.Purpose
    call: Call
    name: str
    sent_at: float


@define(eq=False)
class PullMessage:
    """A request for a peer's configuration."""

    node: str
    peer: Address


@define(eq=False)
class PeerCall:
    """A request forwarded to another agent, or its answer in transit back."""

    node: str
    request: int
    incarnation: int
    peer: Address
    attempt: Attempt
    answer: AttemptAnswer | None = None
    not_accepted: bool = False
    is_reply: bool = False


@define(eq=False)
class HandoverCall:
    """A record of outcomes in transit to a successor, or its acknowledgement."""

    node: str
    peer: Address
    upstream: int
    transfers: tuple[Transfer, ...]
    is_reply: bool = False


Message = (
    CallerDatagram
    | FrameMessage
    | CallerReply
    | PlatformMessage
    | PullMessage
    | PeerCall
    | HandoverCall
)
DATAGRAM_TYPES = (CallerDatagram, FrameMessage, CallerReply)
