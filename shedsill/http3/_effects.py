"""Everything that a reducer can ask the runtime to do, as values."""

from __future__ import annotations

from attrs import frozen

from shedsill._addresses import Address
from shedsill._common_effects import Exit, WriteLog
from shedsill.coordination.platform import Call
from shedsill.http3._answers import RecordedAnswer, RequestOutcome
from shedsill.http3._configuration import Configuration
from shedsill.http3._frames import Frame
from shedsill.http3._outcomes import Transfer
from shedsill.http3._platform_purposes import Purpose


@frozen(kw_only=True)
class Send:
    """Send a frame to another node."""

    destination: Address
    frame: Frame


@frozen(kw_only=True)
class SendToCaller:
    """Send a datagram from a service address."""

    service: int
    caller: Address
    datagram: bytes


@frozen(kw_only=True)
class Deliver:
    """Hand a datagram to QUIC; replies go through the balancer `reply_to`.

    Attributes
    ----------
    can_open_connection : bool
        Whether it may open a connection without a Retry token.
    """

    caller: Address
    datagram: bytes
    reply_to: Address
    can_open_connection: bool


@frozen(kw_only=True)
class RefuseFlow:
    """Answer an Initial with a connection close."""

    caller: Address
    datagram: bytes
    reply_to: Address


@frozen(kw_only=True)
class RequireRetry:
    """Answer an Initial with a Retry packet."""

    caller: Address
    datagram: bytes
    reply_to: Address


@frozen(kw_only=True)
class ResetFlow:
    """Answer a packet of an ended flow with a stateless reset."""

    caller: Address
    cid: bytes
    size: int
    reply_to: Address


@frozen(kw_only=True)
class MoveReplyPath:
    """Send replies that went through one balancer through another."""

    old: Address
    new: Address


@frozen(kw_only=True)
class ApplyConfiguration:
    """Bring sockets and identity in line with a new configuration."""

    configuration: Configuration


@frozen(kw_only=True)
class PullConfiguration:
    """Ask a peer for its configuration."""

    peer: Address


@frozen(kw_only=True)
class CallPlatform:
    """Call the platform; answered by `PlatformAnswered`."""

    purpose: Purpose
    call: Call
    name: str = ""


@frozen(kw_only=True)
class SendUpstreamRequest:
    """Send a request to the upstream.

    Attributes
    ----------
    buffer_answer : bool
        Whether to collect the whole answer before any of it is passed on.
    ticket : str
        For the answer's ``shedsill-ticket``; a later request may use it.
    """

    request: int
    buffer_answer: bool
    ticket: str


@frozen(kw_only=True)
class AbortUpstreamRequest:
    """Close the upstream connection of a request."""

    request: int


@frozen(kw_only=True)
class SendAnswer:
    """Give a request its whole answer."""

    request: int
    answer: RecordedAnswer
    ticket: str
    outcome: RequestOutcome = RequestOutcome.DONE


@frozen(kw_only=True)
class RefuseRequest:
    """Give a request its final answer without one of the upstream's.

    Attributes
    ----------
    retry_after : int
        Seconds; 0 where there is nothing to wait for.
    """

    request: int
    status: int
    outcome: RequestOutcome
    reason: str
    ticket: str
    retry_after: int = 0


@frozen(kw_only=True)
class ResetAnswerStream:
    """Reset a stream whose answer cannot be completed."""

    request: int


@frozen(kw_only=True)
class ForwardRequest:
    """Hand a request to the agent of another upstream."""

    request: int
    peer: Address
    upstream: int


@frozen(kw_only=True)
class DeclineForwardedRequest:
    """Tell the agent that passed a request on that its record is elsewhere."""

    request: int


@frozen(kw_only=True)
class SendHandover:
    """Hand the record of outcomes to the successor."""

    peer: Address
    upstream: int
    transfers: tuple[Transfer, ...]


@frozen(kw_only=True)
class AnnounceDrain:
    """Send GOAWAY on every connection."""


Effect = (
    Send
    | SendToCaller
    | Deliver
    | RefuseFlow
    | RequireRetry
    | ResetFlow
    | MoveReplyPath
    | ApplyConfiguration
    | PullConfiguration
    | CallPlatform
    | SendUpstreamRequest
    | AbortUpstreamRequest
    | SendAnswer
    | RefuseRequest
    | ResetAnswerStream
    | ForwardRequest
    | DeclineForwardedRequest
    | SendHandover
    | AnnounceDrain
    | WriteLog
    | Exit
)
