"""Everything that can happen to a node, as values.

Times are seconds on the node's monotonic clock; no decision looks at the wall
clock.  Seeds come from the runtime's random source, so that
the reducers need none.
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
    """Time has passed."""

    now: float
    seed: int


@frozen(kw_only=True)
class CallerDatagram:
    """A datagram came to a service address; `service` is its number."""

    service: int
    caller: Address
    datagram: bytes
    now: float


@frozen(kw_only=True)
class FrameReceived:
    """A frame came from another node, tag checked."""

    frame: Frame
    source: Address
    now: float


@frozen(kw_only=True)
class ConfigurationOffered:
    """A configuration came from the platform or a peer."""

    configuration: Configuration
    now: float


@frozen(kw_only=True)
class PullFailed:
    """A peer did not hand on its configuration."""

    peer: Address


@frozen(kw_only=True)
class PlatformAnswered:
    """The platform answered a call, or will not."""

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
    """The agent began to serve a connection."""

    flow: int
    now: float


@frozen(kw_only=True)
class FlowClosed:
    """A connection has ended."""

    flow: int
    now: float


@frozen(kw_only=True)
class RequestArrived:
    """A request can be decided on.

    Attributes
    ----------
    request : int
        Number that the runtime gave it; grows.
    flow, stream : int
        Where it came from; both -1 where another agent passed it on.
    key : str
        Text of ``Idempotency-Key``; empty where there was none.
    fingerprint : bytes
        Digest of method, path and body.
    body_complete : bool
        Whether the whole body has arrived.
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
        """Whether another agent passed the request on."""
        return self.flow < 0


@frozen(kw_only=True)
class RequestCancelled:
    """The caller gave the request up, or its connection ended.

    Attributes
    ----------
    deliberate : bool
        Whether the caller said so, rather than its connection ending.
    """

    request: int
    deliberate: bool
    now: float


@frozen(kw_only=True)
class UpstreamAnswerStarted:
    """The first part of an answer that is not held back went to the caller."""

    request: int
    now: float


@frozen(kw_only=True)
class UpstreamAnswered:
    """The whole answer has come.

    Attributes
    ----------
    answer : RecordedAnswer or None
        None where the answer went to the caller as it came.
    shed : bool
        Whether the upstream said that it did not run the request.
    """

    request: int
    answer: RecordedAnswer | None
    shed: bool
    now: float
    seed: int


@frozen(kw_only=True)
class UpstreamFailed:
    """No whole answer will come.

    Attributes
    ----------
    sent : bool
        Whether a byte of the request may have reached the upstream.
    """

    request: int
    sent: bool
    now: float
    seed: int


@frozen(kw_only=True)
class UpstreamLoadRead:
    """The upstream's load endpoint answered; it may lag or mislead."""

    busy: int
    now: float


@frozen(kw_only=True)
class PeerAnswered:
    """The agent to which a request was passed has answered."""

    request: int
    answer: RecordedAnswer
    outcome: RequestOutcome
    now: float


@frozen(kw_only=True)
class PeerFailed:
    """The agent to which a request was passed gave no usable answer.

    Attributes
    ----------
    not_accepted : bool
        Whether it certainly did not take the request: it could not be reached,
        or it has handed its record over.
    """

    request: int
    not_accepted: bool
    now: float
    seed: int


@frozen(kw_only=True)
class HandoverReceived:
    """A leaving agent hands over its record of outcomes."""

    transfers: tuple[Transfer, ...]
    now: float


@frozen(kw_only=True)
class HandoverDone:
    """The successor has taken the record, or not."""

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
