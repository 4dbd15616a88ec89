"""Events that the reducers handle.

Times are seconds on the node's monotonic clock; no decision uses the wall clock.
Seeds come from the runtime's random source, so that the reducers are
deterministic.
"""

from __future__ import annotations

from attrs import frozen

from shedsill._addresses import Address
from shedsill.coordination.platform import Outcome
from shedsill.http3._answers import RecordedAnswer, RequestOutcome
from shedsill.http3._configuration import Configuration
from shedsill.http3._frames import Frame
from shedsill.http3._outcomes import Transfer
from shedsill.http3._platform_purposes import Purpose


@frozen(kw_only=True)
class Tick:
    """Periodic timer event."""

    now: float
    seed: int


@frozen(kw_only=True)
class CallerDatagram:
    """A datagram arrived at the address of service number `service`."""

    service: int
    caller: Address
    datagram: bytes
    now: float


@frozen(kw_only=True)
class FrameReceived:
    """An authenticated frame arrived from another node."""

    frame: Frame
    source: Address
    now: float


@frozen(kw_only=True)
class ConfigurationOffered:
    """The platform or a peer returned a configuration."""

    configuration: Configuration
    now: float


@frozen(kw_only=True)
class PullFailed:
    """A peer did not return its configuration."""

    peer: Address


@frozen(kw_only=True)
class PlatformAnswered:
    """A call to the platform has completed or failed."""

    purpose: Purpose
    outcome: Outcome
    now: float
    name: str = ""


@frozen(kw_only=True)
class StopRequested:
    """The process was asked to stop."""

    now: float


@frozen(kw_only=True)
class FlowOpened:
    """A connection to the agent was opened."""

    flow: int
    now: float


@frozen(kw_only=True)
class FlowClosed:
    """A connection was closed."""

    flow: int
    now: float


@frozen(kw_only=True)
class RequestArrived:
    """A request has arrived and can be admitted.

    Attributes
    ----------
    request : int
        Number assigned by the runtime, in ascending order.
    flow, stream : int
        Connection and stream of the request; both -1 if another agent forwarded it.
    key : str
        Value of ``Idempotency-Key``; empty if absent.
    fingerprint : bytes
        Digest of method, path and body.
    body_complete : bool
        Whether the complete body has arrived.
    """

    request: int
    flow: int
    stream: int
    method: str
    path: str
    key: str
    fingerprint: bytes
    body_complete: bool
    now: float
    seed: int

    @property
    def from_peer(self) -> bool:
        """Whether another agent forwarded the request."""
        return self.flow < 0


@frozen(kw_only=True)
class RequestCancelled:
    """The caller cancelled the request, or its connection ended.

    Attributes
    ----------
    deliberate : bool
        Whether the caller cancelled the request explicitly.
    """

    request: int
    deliberate: bool
    now: float


@frozen(kw_only=True)
class UpstreamAnswerStarted:
    """The first part of an unbuffered answer was sent to the caller."""

    request: int
    now: float


@frozen(kw_only=True)
class UpstreamAnswered:
    """The upstream's answer is complete.

    Attributes
    ----------
    answer : RecordedAnswer or None
        None if the answer was streamed to the caller.
    shed : bool
        Whether the upstream reported that it did not run the request.
    """

    request: int
    answer: RecordedAnswer | None
    shed: bool
    now: float
    seed: int


@frozen(kw_only=True)
class UpstreamFailed:
    """The upstream request failed without a complete answer.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the upstream.
    reason : str
        Cause of the failure, for the log.
    """

    request: int
    sent: bool
    reason: str
    now: float
    seed: int


@frozen(kw_only=True)
class UpstreamLoadRead:
    """The upstream's load endpoint answered; its value may be stale or wrong."""

    busy: int
    now: float


@frozen(kw_only=True)
class PeerAnswered:
    """The agent to which a request was forwarded has answered."""

    request: int
    answer: RecordedAnswer
    outcome: RequestOutcome
    now: float


@frozen(kw_only=True)
class PeerFailed:
    """The agent to which a request was forwarded gave no usable answer.

    Attributes
    ----------
    not_accepted : bool
        Whether the agent certainly did not accept the request: it could not be
        reached, or it has handed its records over.
    """

    request: int
    not_accepted: bool
    now: float
    seed: int


@frozen(kw_only=True)
class HandoverReceived:
    """A leaving agent transfers its records of outcomes."""

    transfers: tuple[Transfer, ...]
    now: float


@frozen(kw_only=True)
class HandoverDone:
    """The successor has accepted or declined the records."""

    accepted: bool
    now: float


Event = (
    Tick
    | CallerDatagram
    | FrameReceived
    | ConfigurationOffered
    | PullFailed
    | PlatformAnswered
    | StopRequested
    | FlowOpened
    | FlowClosed
    | RequestArrived
    | RequestCancelled
    | UpstreamAnswerStarted
    | UpstreamAnswered
    | UpstreamFailed
    | UpstreamLoadRead
    | PeerAnswered
    | PeerFailed
    | HandoverReceived
    | HandoverDone
)
