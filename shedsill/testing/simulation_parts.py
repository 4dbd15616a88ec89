"""The parts of a `Simulation`: callers, agents' flows, upstreams and messages."""

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


class InvariantError(AssertionError):
    """A promise of the system does not hold."""


@define(eq=False)
class Attempt:
    """One sending of a request by a caller.

    Attributes
    ----------
    job : str
        The piece of work; several attempts may ask for the same one.
    sent_position, answered_position : int
        Places in the order of all that happened; time may stand still.
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
    """A caller's connection."""

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
    """The agent's answer to a first packet."""

    flow: CallerFlow
    cid: bytes
    agent: str


@frozen
class AttemptAnswer:
    """The final answer to an attempt."""

    attempt: Attempt
    outcome: RequestOutcome
    body: bytes
    ticket: str
    retry_after: int


@define(eq=False)
class AgentFlow:
    """An agent's side of a connection."""

    number: int
    caller_flow: CallerFlow
    cid: bytes
    reply_to: Address
    unacknowledged: list[FlowAccepted | AttemptAnswer] = field(factory=list)


@define(eq=False)
class Exchange:
    """A request at an agent: from a flow, or from a peer's call."""

    number: int
    attempt: Attempt
    flow: AgentFlow | None = None
    peer: PeerCall | None = None


@define(eq=False)
class UpstreamRun:
    """One piece of work at an upstream."""

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
    """A closed connection that the upstream will notice at a time."""

    run: UpstreamRun
    due_at: float


@define(eq=False)
class FakeUpstream:
    """An upstream with a journal; survives its agent."""

    name: str
    service: str
    slots: int
    journal: list[UpstreamRun] = field(factory=list)
    pending_cancels: list[PendingCancel] = field(factory=list)
    reports_idle: bool = False

    def list_running(self) -> list[UpstreamRun]:
        """Return the work in slots."""
        return [r for r in self.journal if r.is_running and r.attempt.path != "/stream"]


@define(eq=False)
class FakeProcess:
    """A node's process: its state, and what the runtime would keep."""

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
    """A caller's datagram on its way to some balancer."""

    flow: CallerFlow
    datagram: bytes


@define(eq=False)
class FrameMessage:
    """A frame between nodes."""

    source: Address
    destination: Address
    frame: Frame


@define(eq=False)
class CallerReply:
    """A datagram on its way to a caller."""

    payload: int


@define(eq=False)
class PlatformMessage:
    """A call of the platform."""

    node: str
    incarnation: int
    purpose: events.Purpose
    call: Call
    name: str
    sent_at: float


@define(eq=False)
class PullMessage:
    """A pull of a peer's configuration."""

    node: str
    peer: Address


@define(eq=False)
class PeerCall:
    """A request passed to another agent, or its answer on the way back."""

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
    """A record on its way to a successor, or the word that it was taken."""

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
