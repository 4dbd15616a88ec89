"""Queue of requests of a busy upstream, and the choice of the next one.

A request is fresh while it can be answered within its route's latency objective, and
late afterwards.  A late request is feasible while it can be answered before its caller
gives up.  Fresh requests are sent first, ordered by urgency and then last in, first
out, so that most meet their objective even under overload.  Late requests are
postponed until the last moment at which all feasible ones can still be started before
their deadlines; from then on they are sent first, the earliest deadline before the
others.  A temporary backlog, as after a restart of the upstreams, therefore delays
answers but loses none.  Under lasting overload each late request that is served makes
another one late: once late requests have been queued for longer than the timeout of
their callers, only one of `SLOTS_PER_LATE_REQUEST` slots goes to a late request.

A request whose caller has closed its end is sent last.  Most such callers have given
up, but one that has only shut down its sending side still gets its answer.
"""

from __future__ import annotations

import heapq

from msgspec import Struct, field

from shedsill.datagram._packet import SYN_COPY_DELAYS_SECONDS, Packet

SLOTS_PER_LATE_REQUEST = 4
"""Under lasting overload, one of this many free slots goes to a late request that would
miss its deadline otherwise.  If all of them did, every request would be late."""

LATE_SERVICE_TIME_FACTOR = 2.0
"""A late request is sent this multiple of the mean service time before its deadline:
about the longest of twenty service times whose standard deviation is half the mean."""

EARLIER_ATTEMPT_SECONDS = 1.5
"""Time that a caller may have spent on an earlier attempt of its request: callers give
up a SYN without an answer after 1.4 s and retry 0.1 s later, from another port and with
the rest of the timeout."""


class QueuedRequest(Struct):
    """A request that waits for a free slot of the upstream.

    Attributes
    ----------
    packets : list of Packet
        Packets with the request's content; others are not queued.
    queued_at : float
        When the request arrived.
    requested_at : float
        Arrival of the request less the time lost before the flow's SYN arrived.
    urgency : int
        Priority of the route; 0 is the highest.
    objective_at : float
        Time until which an answer meets the route's latency objective.
    deadline_at : float
        When the caller gives up.
    may_be_retry : bool
        Whether the caller may have tried before, and would give up sooner.
    caller_closed : bool
        Whether the caller has closed its end.
    """

    packets: list[Packet]
    queued_at: float
    requested_at: float
    urgency: int
    objective_at: float
    deadline_at: float
    may_be_retry: bool = False
    caller_closed: bool = False

    def estimate_deadline(self, answered_at: float) -> float:
        """Return when the caller is likely to give up.

        A caller that may have tried before gives up `EARLIER_ATTEMPT_SECONDS` sooner;
        if it still waits by then, it had not tried before.

        Parameters
        ----------
        answered_at : float
            When the request would be answered if it were started now.
        """
        earlier = self.deadline_at - EARLIER_ATTEMPT_SECONDS
        return (
            earlier
            if self.may_be_retry and answered_at <= earlier
            else self.deadline_at
        )


class Backlog(Struct):
    """The queued requests of one upstream.

    Attributes
    ----------
    requests : dict of bytes to QueuedRequest
        Requests by flow.
    late_since : float or None
        Time since which there has always been a late request in the queue; None if
        there was none at the last choice.
    fresh_since_late : int
        Fresh requests sent since the last late one.
    syn_lost_at : float or None
        When the latest SYN was sent of which only a copy arrived; other callers may
        have lost all of theirs around that time.
    """

    requests: dict[bytes, QueuedRequest] = field(default_factory=dict)
    late_since: float | None = None
    fresh_since_late: int = 0
    syn_lost_at: float | None = None


class Forecast(Struct, frozen=True, kw_only=True):
    """Forecast of the upstream's free slots by its mean service times.

    Attributes
    ----------
    slots : int
        Requests that the upstream runs concurrently.
    cold_until : float
        When the upstream reaches its full speed after its start.
    cold_service_time, service_time : float
        Mean seconds that a request takes until then and afterwards; 0 if unknown.
    """

    now: float
    slots: int
    cold_until: float
    cold_service_time: float
    service_time: float

    def estimate_start(self, position: int) -> float:
        """Return when a request can be started that has `position` others before it.

        Examples
        --------
        >>> forecast = Forecast(
        ...     now=10.0,
        ...     slots=2,
        ...     cold_until=10.4,
        ...     cold_service_time=0.2,
        ...     service_time=0.1,
        ... )
        >>> [round(forecast.estimate_start(n), 2) for n in (0, 4, 6)]
        [10.0, 10.4, 10.5]
        """
        start = self.now + position * self.cold_service_time / self.slots
        if start <= self.cold_until:
            return start
        warm_at = max(self.cold_until, self.now)
        if not self.cold_service_time:
            return warm_at
        left = position - (warm_at - self.now) * self.slots / self.cold_service_time
        return warm_at + left * self.service_time / self.slots

    def estimate_end(self, start: float, *, factor: float = 1.0) -> float:
        """Return when a request that starts at `start` is answered.

        Parameters
        ----------
        factor : float
            Multiple of the mean service time that it may take.
        """
        service = (
            self.cold_service_time if start < self.cold_until else self.service_time
        )
        return start + service * factor


class LateRequest(Struct, frozen=True, kw_only=True, order=True):
    """A late request that may be feasible.

    The order is that of exclusion: the least urgent first, and among these the earliest
    deadline.

    Attributes
    ----------
    deadline_at : float
        When the caller is likely to give up, see `QueuedRequest.estimate_deadline`.
    """

    negative_urgency: int
    deadline_at: float
    flow: bytes


def add_request(backlog: Backlog, flow: bytes, request: QueuedRequest) -> None:
    """Add a request, and estimate whether it may be a retry."""
    if not backlog.requests:
        backlog.late_since = None
        backlog.fresh_since_late = 0
    request.may_be_retry = _may_be_retry(backlog, request.requested_at)
    backlog.requests[flow] = request


def _may_be_retry(backlog: Backlog, requested_at: float) -> bool:
    """Whether a request of that time may be a retry.

    A caller that lost all copies of its SYN retries `EARLIER_ATTEMPT_SECONDS` after the
    first one.
    """
    lost_at = backlog.syn_lost_at
    if lost_at is None:
        return False
    return (
        requested_at < lost_at - SYN_COPY_DELAYS_SECONDS[-1] + EARLIER_ATTEMPT_SECONDS
    )


def count_open_requests(backlog: Backlog) -> int:
    """Return the number of queued requests whose callers have not closed."""
    return sum(not request.caller_closed for request in backlog.requests.values())


def choose_next_request(backlog: Backlog, forecast: Forecast) -> bytes:
    """Return the flow whose request gets the slot that is now free."""
    fresh, late = _split_by_lateness(backlog, forecast)
    feasible = _list_feasible(backlog, late, forecast)
    if fresh and not _needs_late_request(backlog, feasible, forecast):
        backlog.fresh_since_late += 1
        return min(fresh, key=lambda flow: _rank_fresh(backlog.requests[flow]))
    backlog.fresh_since_late = 0
    if feasible:
        return feasible[0].flow
    return max(late, key=lambda flow: _rank_infeasible(backlog.requests[flow]))


def _rank_fresh(request: QueuedRequest) -> tuple[int, float]:
    return request.urgency, -request.requested_at


def _rank_infeasible(request: QueuedRequest) -> tuple[bool, float]:
    return not request.caller_closed, request.deadline_at


def _split_by_lateness(
    backlog: Backlog, forecast: Forecast
) -> tuple[list[bytes], list[bytes]]:
    """Return the flows of fresh and of late requests."""
    answered_at = forecast.estimate_end(forecast.now)
    fresh = []
    late = []
    for flow, request in backlog.requests.items():
        is_fresh = answered_at <= request.objective_at and not request.caller_closed
        (fresh if is_fresh else late).append(flow)
    if not late:
        backlog.late_since = None
    elif backlog.late_since is None:
        backlog.late_since = forecast.now
    return fresh, late


def _list_feasible(
    backlog: Backlog, late: list[bytes], forecast: Forecast
) -> list[LateRequest]:
    """Return late requests that can all meet their deadlines, earliest deadline first.

    If not all of them can, the least urgent ones are excluded first, and among these
    the earliest deadlines.
    """
    answered_at = forecast.estimate_end(forecast.now)
    candidates = [
        LateRequest(
            negative_urgency=-request.urgency,
            deadline_at=request.estimate_deadline(answered_at),
            flow=flow,
        )
        for flow, request in ((flow, backlog.requests[flow]) for flow in late)
        if not request.caller_closed
    ]
    candidates.sort(key=_get_deadline)
    kept: list[LateRequest] = []
    for candidate in candidates:
        heapq.heappush(kept, candidate)
        start = forecast.estimate_start(len(kept) - 1)
        if forecast.estimate_end(start) > candidate.deadline_at:
            heapq.heappop(kept)
    kept.sort(key=_get_deadline)
    return kept


def _get_deadline(request: LateRequest) -> float:
    return request.deadline_at


def _needs_late_request(
    backlog: Backlog, feasible: list[LateRequest], forecast: Forecast
) -> bool:
    """Whether a late request would miss its deadline if a fresh one got this slot."""
    if not feasible or not _can_delay_fresh(backlog, feasible[0].flow, forecast.now):
        return False
    for position, request in enumerate(feasible, start=1):
        start = forecast.estimate_start(position)
        if (
            forecast.estimate_end(start, factor=LATE_SERVICE_TIME_FACTOR)
            > request.deadline_at
        ):
            return True
    return False


def _can_delay_fresh(backlog: Backlog, first: bytes, now: float) -> bool:
    """Whether a late request may delay fresh ones.

    It may while late requests have been queued for at most one timeout; afterwards only
    one of `SLOTS_PER_LATE_REQUEST` slots goes to a late request.

    Parameters
    ----------
    first : bytes
        Flow of the feasible request with the earliest deadline.
    """
    request = backlog.requests[first]
    timeout = request.deadline_at - request.requested_at
    is_lasting = backlog.late_since is not None and now - backlog.late_since > timeout
    return not is_lasting or backlog.fresh_since_late >= SLOTS_PER_LATE_REQUEST - 1
