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


class OracleError(AssertionError):
    """A promise of the system does not hold."""


@define(eq=False)
class Attempt:
    """One sending of a request by a caller.

    Attributes
    ----------
    work : str
        The piece of work; several attempts may ask for the same one.
    sent, answered : int
        Places in the order of all that happened; time may stand still.
    """

    number: int
    flow: CallerFlow
    work: str
    path: str
    key: str
    sent: int
    arrived: bool = False
    cancelled: bool = False
    outcome: RequestOutcome | None = None
    answered: int = 0
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
    broken: bool = False
    unsent: list[Attempt] = field(factory=list)
    attempts: list[Attempt] = field(factory=list)


@frozen
class Connected:
    """The agent's answer to a first packet."""

    flow: CallerFlow
    cid: bytes
    agent: str


@frozen
class Answered:
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
    unacknowledged: list[Connected | Answered] = field(factory=list)


@define(eq=False)
class Exchange:
    """A request at an agent: from a flow, or from a peer's call."""

    number: int
    attempt: Attempt
    flow: AgentFlow | None = None
    peer: PeerCall | None = None


@define(eq=False)
class Run:
    """One piece of work at an upstream."""

    attempt: Attempt
    agent: str
    incarnation: int
    request: int
    started: float
    running: bool = True
    cancelled: bool = False
    shed: bool = False


@frozen
class Cancel:
    """A closed connection that the upstream will notice at a time."""

    run: Run
    due: float


@define(eq=False)
class FakeUpstream:
    """An upstream with a journal; survives its agent."""

    name: str
    service: str
    slots: int
    journal: list[Run] = field(factory=list)
    cancels: list[Cancel] = field(factory=list)
    lies_idle: bool = False

    def list_running(self) -> list[Run]:
        """Return the work in slots."""
        return [r for r in self.journal if r.running and r.attempt.path != "/stream"]


@define(eq=False)
class ProcessFake:
    """A node's process: its state, and what the runtime would keep."""

    name: str
    address: Address
    state: AgentState | BalancerState
    frozen: bool = False
    exited: bool = False
    inbox: list[Event] = field(factory=list)
    flows: dict[int, AgentFlow] = field(factory=dict)
    exchanges: dict[int, Exchange] = field(factory=dict)
    numbers: itertools.count = field(factory=itertools.count)
    highest_generation: int = 0


@define(eq=False)
class ToBalancer:
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
class ToCallerMessage:
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
    asked: float


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
    answer: Answered | None = None
    gone: bool = False
    returning: bool = False


@define(eq=False)
class HandoverCall:
    """A record on its way to a successor, or the word that it was taken."""

    node: str
    peer: Address
    upstream: int
    transfers: tuple[Transfer, ...]
    returning: bool = False


Message = (
    ToBalancer
    | FrameMessage
    | ToCallerMessage
    | PlatformMessage
    | PullMessage
    | PeerCall
    | HandoverCall
)
DATAGRAMS = (ToBalancer, FrameMessage, ToCallerMessage)
