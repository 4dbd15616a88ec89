"""Effects that the reducers return and the runtime executes."""

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
    """Deliver a datagram to the QUIC endpoint.

    Attributes
    ----------
    reply_to : Address
        Balancer through which replies are sent.
    can_open_connection : bool
        Whether the datagram may open a connection without a Retry token.
    """

    caller: Address
    datagram: bytes
    reply_to: Address
    can_open_connection: bool


@frozen(kw_only=True)
class RefuseFlow:
    """Answer an Initial packet with CONNECTION_CLOSE."""

    caller: Address
    datagram: bytes
    reply_to: Address


@frozen(kw_only=True)
class RequireRetry:
    """Answer an Initial packet with a Retry packet."""

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
    """Send the replies of flows that use one balancer through another one."""

    old: Address
    new: Address


@frozen(kw_only=True)
class ApplyConfiguration:
    """Update sockets and identity to a new configuration."""

    configuration: Configuration


@frozen(kw_only=True)
class PullConfiguration:
    """Request the configuration from a peer."""

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
        Whether to buffer the complete answer before forwarding any of it.
    ticket : str
        Value of the answer's ``shedsill-ticket``, for a later request.
    """

    request: int
    buffer_answer: bool
    ticket: str


@frozen(kw_only=True)
class AbortUpstreamRequest:
    """Abort a request by closing its upstream connection."""

    request: int


@frozen(kw_only=True)
class SendAnswer:
    """Send a complete answer to a request."""

    request: int
    answer: RecordedAnswer
    ticket: str
    outcome: RequestOutcome = RequestOutcome.DONE


@frozen(kw_only=True)
class RefuseRequest:
    """Answer a request with an error response of the agent's own.

    Attributes
    ----------
    retry_after : int
        Seconds for ``Retry-After``; 0 to omit the header.
    """

    request: int
    status: int
    outcome: RequestOutcome
    reason: str
    ticket: str
    retry_after: int = 0


@frozen(kw_only=True)
class ResetAnswerStream:
    """Reset the stream of an answer that cannot be completed."""

    request: int


@frozen(kw_only=True)
class ForwardRequest:
    """Forward a request to the agent of another upstream."""

    request: int
    peer: Address
    upstream: int


@frozen(kw_only=True)
class DeclineForwardedRequest:
    """Decline a forwarded request whose records another agent holds."""

    request: int


@frozen(kw_only=True)
class SendHandover:
    """Transfer the records of outcomes to the successor."""

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
