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
`RESCUE_EVERY`-th slot goes to a late one.

A request whose caller has closed its end goes last: most such callers have given
up, but one that only says that it sends no more still gets its answer.
"""

from __future__ import annotations

import heapq

from msgspec import Struct, field

from shedsill.datagram._packet import COPY_DELAYS, Packet

RESCUE_EVERY = 4
"""Under lasting overload, one of so many free slots goes to a late request that
would be lost otherwise.  When all of them did, every request was late."""

SERVICE_MARGIN = 2.0
"""Mean service times that a late request is given before its deadline: the
longest of twenty takes about that where times vary by half of their mean."""

EARLIER_TRY = 1.5
"""Seconds that a caller may have spent on an earlier try of its request: callers
give up an opening without an answer after 1.4 s and try again 0.1 s later, from
another port and with what is left of the timeout."""


class HeldRequest(Struct):
    """A request whose upstream has no free slot.

    Attributes
    ----------
    packets : list of Packet
        The flow's content since the request began; other packets pass.
    since : float
        When it came.
    asked : float
        When its caller first asked for it, as far as known.
    urgency : int
        Priority of its route; 0 is the highest.
    wanted_by : float
        Until when an answer is within the latency objective.
    deadline : float
        When its caller gives up.
    tried_before : bool
        Whether its caller may have tried before, and give up sooner.
    closed : bool
        Whether its caller has closed its end.
    """

    packets: list[Packet]
    since: float
    asked: float
    urgency: int
    wanted_by: float
    deadline: float
    tried_before: bool = False
    closed: bool = False

    def get_deadline(self, soonest: float) -> float:
        """Return when its caller is likely to give up.

        A caller that may have tried before may give up `EARLIER_TRY` sooner; one that
        is still there by then had not tried before.

        Parameters
        ----------
        soonest : float
            When it would be answered if it were started now.
        """
        earlier = self.deadline - EARLIER_TRY
        return earlier if self.tried_before and soonest <= earlier else self.deadline


class Backlog(Struct):
    """The held requests of one upstream.

    Attributes
    ----------
    held : dict of bytes to HeldRequest
        By flow.
    late_since : float or None
        Since when there has been a late request at each choice.
    passed_fresh : int
        Fresh requests passed on since the last late one.
    openings_lost_at : float or None
        The latest known time at which an opening packet was sent that was lost, as
        a copy of it tells: other callers may have lost all of theirs.
    """

    held: dict[bytes, HeldRequest] = field(default_factory=dict)
    late_since: float | None = None
    passed_fresh: int = 0
    openings_lost_at: float | None = None


class Forecast(Struct, frozen=True, kw_only=True):
    """How soon the upstream's slots become free, from its answers so far.

    Attributes
    ----------
    slots : int
        Requests that the upstream works on at once.
    cold_until : float
        Until when it works slowly after its start.
    cold_service, service : float
        Mean seconds that a request takes until then and afterwards; 0 where
        nothing is known yet.
    """

    now: float
    slots: int
    cold_until: float
    cold_service: float
    service: float

    def estimate_start(self, position: int) -> float:
        """Return when a request can be started that has so many others before it.

        Examples
        --------
        >>> forecast = Forecast(
        ...     now=10.0, slots=2, cold_until=10.4, cold_service=0.2, service=0.1
        ... )
        >>> [round(forecast.estimate_start(n), 2) for n in (0, 4, 6)]
        [10.0, 10.4, 10.5]
        """
        start = self.now + position * self.cold_service / self.slots
        if start <= self.cold_until:
            return start
        began = max(self.cold_until, self.now)
        if not self.cold_service:
            return began
        left = position - (began - self.now) * self.slots / self.cold_service
        return began + left * self.service / self.slots

    def estimate_end(self, start: float, *, margin: float = 1.0) -> float:
        """Return when a request that starts then is answered.

        Parameters
        ----------
        margin : float
            By how much longer than the mean it may take.
        """
        service = self.cold_service if start < self.cold_until else self.service
        return start + service * margin


class LateRequest(Struct, frozen=True, kw_only=True, order=True):
    """A late request that may be saved; those to be left out first are the least.

    Attributes
    ----------
    deadline : float
        When its caller is likely to give up, see `HeldRequest.get_deadline`.
    """

    negative_urgency: int
    deadline: float
    flow: bytes


def hold(backlog: Backlog, flow: bytes, request: HeldRequest) -> None:
    """Add a request."""
    if not backlog.held:
        backlog.late_since = None
        backlog.passed_fresh = 0
    request.tried_before = _may_be_repeated(backlog, request.asked)
    backlog.held[flow] = request


def _may_be_repeated(backlog: Backlog, asked: float) -> bool:
    """Whether a caller that asked then may have tried before.

    One whose last copy was still lost tries again `EARLIER_TRY` after the first.
    """
    lost_at = backlog.openings_lost_at
    if lost_at is None:
        return False
    return asked < lost_at - COPY_DELAYS[-1] + EARLIER_TRY


def count_waiting(backlog: Backlog) -> int:
    """Return the held requests whose callers have not closed."""
    return sum(not request.closed for request in backlog.held.values())


def choose_next(backlog: Backlog, forecast: Forecast) -> bytes:
    """Return the flow whose request gets the slot that is free now."""
    fresh, late = _split_by_lateness(backlog, forecast)
    savable = _list_savable(backlog, late, forecast)
    if fresh and not _must_rescue(backlog, savable, forecast):
        backlog.passed_fresh += 1
        return min(fresh, key=lambda flow: _rank_fresh(backlog.held[flow]))
    backlog.passed_fresh = 0
    if savable:
        return savable[0].flow
    return max(late, key=lambda flow: _rank_lost(backlog.held[flow]))


def _rank_fresh(request: HeldRequest) -> tuple[int, float]:
    return request.urgency, -request.asked


def _rank_lost(request: HeldRequest) -> tuple[bool, float]:
    return not request.closed, request.deadline


def _split_by_lateness(
    backlog: Backlog, forecast: Forecast
) -> tuple[list[bytes], list[bytes]]:
    """Return the flows of fresh and of late requests."""
    answered_at = forecast.estimate_end(forecast.now)
    fresh = []
    late = []
    for flow, request in backlog.held.items():
        is_fresh = answered_at <= request.wanted_by and not request.closed
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
            deadline=request.get_deadline(soonest),
            flow=flow,
        )
        for flow, request in ((flow, backlog.held[flow]) for flow in late)
        if not request.closed
    ]
    candidates.sort(key=_get_deadline)
    kept: list[LateRequest] = []
    for candidate in candidates:
        heapq.heappush(kept, candidate)
        start = forecast.estimate_start(len(kept) - 1)
        if forecast.estimate_end(start) > candidate.deadline:
            heapq.heappop(kept)
    kept.sort(key=_get_deadline)
    return kept


def _get_deadline(request: LateRequest) -> float:
    return request.deadline


def _must_rescue(
    backlog: Backlog, savable: list[LateRequest], forecast: Forecast
) -> bool:
    """Whether a late request would be lost if this slot went to a fresh one."""
    if not savable or not _may_rescue(backlog, savable[0].flow, forecast.now):
        return False
    for position, request in enumerate(savable, start=1):
        start = forecast.estimate_start(position)
        if forecast.estimate_end(start, margin=SERVICE_MARGIN) > request.deadline:
            return True
    return False


def _may_rescue(backlog: Backlog, first: bytes, now: float) -> bool:
    """Whether late requests may delay fresh ones: for one timeout, then rarely."""
    request = backlog.held[first]
    timeout = request.deadline - request.asked
    lasting = backlog.late_since is not None and now - backlog.late_since > timeout
    return not lasting or backlog.passed_fresh >= RESCUE_EVERY - 1
