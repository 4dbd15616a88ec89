"""Requests held back from a busy upstream, and which of them it gets next.

A request is fresh while it can still be answered within its route's latency
objective, and late afterwards; a late one is worth saving until its caller gives
up.  Fresh ones go first, the more urgent route and then the latest one before the
others, so that most are in time also while more come than can be served.  Late
ones wait for the last moment at which all of them can still be started before
their deadlines, as the upstream's pace tells, and go first from then on, the
earliest deadline before the others.  So a backlog that ends, as after a restart of
the upstreams, costs callers time but no answers.  Where it does not end, each
late request saved makes another one late: after one timeout of that, only every
`SLOTS_PER_LATE_REQUEST`-th slot goes to a late one.

A request whose caller has closed its end goes last: most such callers have given
up, but one that only says that it sends no more still gets its answer.
"""

from __future__ import annotations

import heapq

from msgspec import Struct, field

from shedsill.datagram._packet import SYN_COPY_DELAYS_SECONDS, Packet

SLOTS_PER_LATE_REQUEST = 4
"""Under lasting overload, one of so many free slots goes to a late request that
would be lost otherwise.  When all of them did, every request was late."""

LATE_SERVICE_TIME_FACTOR = 2.0
"""Mean service times that a late request is given before its deadline: the
longest of twenty takes about that where times vary by half of their mean."""

EARLIER_ATTEMPT_SECONDS = 1.5
"""Seconds that a caller may have spent on an earlier try of its request: callers
give up an opening without an answer after 1.4 s and try again 0.1 s later, from
another port and with what is left of the timeout."""


class QueuedRequest(Struct):
    """A request whose upstream has no free slot.

    Attributes
    ----------
    packets : list of Packet
        The flow's content since the request began; other packets pass.
    queued_at : float
        When it came.
    requested_at : float
        When its caller first asked for it, as far as known.
    urgency : int
        Priority of its route; 0 is the highest.
    objective_at : float
        Until when an answer is within the latency objective.
    deadline_at : float
        When its caller gives up.
    may_be_retry : bool
        Whether its caller may have tried before, and give up sooner.
    caller_closed : bool
        Whether its caller has closed its end.
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
        """Return when its caller is likely to give up.

        A caller that may have tried before may give up `EARLIER_ATTEMPT_SECONDS`
        sooner; one that is still there by then had not tried before.

        Parameters
        ----------
        answered_at : float
            When it would be answered if it were started now.
        """
        earlier = self.deadline_at - EARLIER_ATTEMPT_SECONDS
        return (
            earlier
            if self.may_be_retry and answered_at <= earlier
            else self.deadline_at
        )


class Backlog(Struct):
    """The held requests of one upstream.

    Attributes
    ----------
    requests : dict of bytes to QueuedRequest
        By flow.
    late_since : float or None
        Since when there has been a late request at each choice.
    fresh_since_late : int
        Fresh requests passed on since the last late one.
    syn_lost_at : float or None
        The latest known time at which an opening packet was sent that was lost, as
        a copy of it tells: other callers may have lost all of theirs.
    """

    requests: dict[bytes, QueuedRequest] = field(default_factory=dict)
    late_since: float | None = None
    fresh_since_late: int = 0
    syn_lost_at: float | None = None


class Forecast(Struct, frozen=True, kw_only=True):
    """How soon the upstream's slots become free, from its answers so far.

    Attributes
    ----------
    slots : int
        Requests that the upstream works on at once.
    cold_until : float
        Until when it works slowly after its start.
    cold_service_time, service_time : float
        Mean seconds that a request takes until then and afterwards; 0 where
        nothing is known yet.
    """

    now: float
    slots: int
    cold_until: float
    cold_service_time: float
    service_time: float

    def estimate_start(self, position: int) -> float:
        """Return when a request can be started that has so many others before it.

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
        began = max(self.cold_until, self.now)
        if not self.cold_service_time:
            return began
        left = position - (began - self.now) * self.slots / self.cold_service_time
        return began + left * self.service_time / self.slots

    def estimate_end(self, start: float, *, margin: float = 1.0) -> float:
        """Return when a request that starts then is answered.

        Parameters
        ----------
        margin : float
            By how much longer than the mean it may take.
        """
        service = (
            self.cold_service_time if start < self.cold_until else self.service_time
        )
        return start + service * margin


class LateRequest(Struct, frozen=True, kw_only=True, order=True):
    """A late request that may be saved; those to be left out first are the least.

    Attributes
    ----------
    deadline_at : float
        When its caller is likely to give up, see `QueuedRequest.estimate_deadline`.
    """

    negative_urgency: int
    deadline_at: float
    flow: bytes


def add_request(backlog: Backlog, flow: bytes, request: QueuedRequest) -> None:
    """Add a request."""
    if not backlog.requests:
        backlog.late_since = None
        backlog.fresh_since_late = 0
    request.may_be_retry = _may_be_repeated(backlog, request.requested_at)
    backlog.requests[flow] = request


def _may_be_repeated(backlog: Backlog, asked: float) -> bool:
    """Whether a caller that asked then may have tried before.

    One whose last copy was still lost tries again `EARLIER_ATTEMPT_SECONDS` after the
    first.
    """
    lost_at = backlog.syn_lost_at
    if lost_at is None:
        return False
    return asked < lost_at - SYN_COPY_DELAYS_SECONDS[-1] + EARLIER_ATTEMPT_SECONDS


def count_open_requests(backlog: Backlog) -> int:
    """Return the held requests whose callers have not closed."""
    return sum(not request.caller_closed for request in backlog.requests.values())


def choose_next_request(backlog: Backlog, forecast: Forecast) -> bytes:
    """Return the flow whose request gets the slot that is free now."""
    fresh, late = _split_by_lateness(backlog, forecast)
    savable = _list_savable(backlog, late, forecast)
    if fresh and not _must_rescue(backlog, savable, forecast):
        backlog.fresh_since_late += 1
        return min(fresh, key=lambda flow: _rank_fresh(backlog.requests[flow]))
    backlog.fresh_since_late = 0
    if savable:
        return savable[0].flow
    return max(late, key=lambda flow: _rank_lost(backlog.requests[flow]))


def _rank_fresh(request: QueuedRequest) -> tuple[int, float]:
    return request.urgency, -request.requested_at


def _rank_lost(request: QueuedRequest) -> tuple[bool, float]:
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


def _list_savable(
    backlog: Backlog, late: list[bytes], forecast: Forecast
) -> list[LateRequest]:
    """Return late requests that can all be answered in time, by their deadlines.

    Where not all of them can, the least urgent ones that have waited the longest
    are left out.
    """
    soonest = forecast.estimate_end(forecast.now)
    candidates = [
        LateRequest(
            negative_urgency=-request.urgency,
            deadline_at=request.estimate_deadline(soonest),
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


def _must_rescue(
    backlog: Backlog, savable: list[LateRequest], forecast: Forecast
) -> bool:
    """Whether a late request would be lost if this slot went to a fresh one."""
    if not savable or not _may_rescue(backlog, savable[0].flow, forecast.now):
        return False
    for position, request in enumerate(savable, start=1):
        start = forecast.estimate_start(position)
        if (
            forecast.estimate_end(start, margin=LATE_SERVICE_TIME_FACTOR)
            > request.deadline_at
        ):
            return True
    return False


def _may_rescue(backlog: Backlog, first: bytes, now: float) -> bool:
    """Whether late requests may delay fresh ones: for one timeout, then rarely."""
    request = backlog.requests[first]
    timeout = request.deadline_at - request.requested_at
    lasting = backlog.late_since is not None and now - backlog.late_since > timeout
    return not lasting or backlog.fresh_since_late >= SLOTS_PER_LATE_REQUEST - 1
