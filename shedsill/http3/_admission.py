"""How many requests one upstream works on, and which wait.

Two limits hold per upstream: slots, for requests that are work, and
connections, for streams.  What waits is bounded per request class, so that no
class starves another, and what cannot start in time is refused at once.
"""

from __future__ import annotations

import enum
import math

import immutables
from attrs import evolve, field, frozen

from shedsill.http3._outcomes import IssuerKey
from shedsill.http3._resources import RequestClass, RequestKind

SERVICE_TIME_SMOOTHING = 0.1
MAX_RETRY_AFTER_SECONDS = 60
RETRY_AFTER_JITTER_RATIO = 0.5
MAX_RETRY_BUDGET = 10.0


class RequestPhase(enum.Enum):
    """Where a request stands."""

    QUEUED = "queued"
    RUNNING = "running"
    JOINED = "joined"
    FORWARDED = "forwarded"


@frozen(kw_only=True)
class Request:
    """One request that the agent has not answered yet.

    Attributes
    ----------
    number, flow, stream : int
        See `shedsill.http3._events.RequestArrived`.
    expires_at : float
        Local time by which it has to be answered; infinite for streams.
    issuer, ticket_number : IssuerKey or None, int
        Where its outcome is recorded.
    ticket : str
        The ticket that its answer will carry for a later request.
    started_at : float
        Local time at which it was sent to the upstream.
    retried, sent : bool
        Whether this is the second attempt, and whether a byte of the first
        may have reached the upstream.
    answer_started : bool
        Whether part of the answer has gone to the caller.
    """

    number: int
    flow: int
    stream: int
    request_class: RequestClass
    fingerprint: bytes
    body_complete: bool
    expires_at: float
    ticket: str
    phase: RequestPhase = RequestPhase.QUEUED
    issuer: IssuerKey | None = None
    ticket_number: int = 0
    started_at: float = 0.0
    retried: bool = False
    sent: bool = False
    answer_started: bool = False
    hops: int = 0
    idempotency_key: str = ""

    @property
    def needs_slot(self) -> bool:
        """Whether the request takes a slot while it runs."""
        return self.request_class.kind == RequestKind.SLOT


@frozen(kw_only=True)
class AdmissionSettings:
    """Settings of an agent's admission.

    Attributes
    ----------
    cancel_grace : float
        Seconds for which a slot stays taken after its request was aborted.
    idle_span : float
        Seconds for which the upstream must be seen idle after a start before
        slots are used; the longest deadline at most.
    breaker_failures : int
        Failures in a row after which the upstream gets no new work.
    breaker_pause : float
        Seconds before one request tries it again.
    retry_share : float
        Second attempts allowed for each first one.
    """

    cancel_grace: float = 0.2
    idle_span: float = 1.0
    breaker_failures: int = 5
    breaker_pause: float = 2.0
    retry_share: float = 0.1


class BreakerState(enum.Enum):
    """Whether new work goes to the upstream."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@frozen(kw_only=True)
class Breaker:
    """Counts failures in a row; `open_until` is the end of the pause."""

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    open_until: float = 0.0


@frozen(kw_only=True)
class Admission:
    """The state of one upstream's admission.

    Attributes
    ----------
    queue : tuple of int
        Numbers of the requests that wait for a slot, oldest first.
    slot_release_times : tuple of float
        Local times at which slots of aborted requests become free.
    slots_available_at : float
        Local time until which no slot is used after a start.
    idle_since : float or None
        Local time since which the upstream has shown itself idle.
    service_time : float
        Smoothed seconds that a request takes a slot.
    retry_budget : float
        Second attempts that first ones have paid for.
    """

    settings: AdmissionSettings = field(factory=AdmissionSettings)
    slots: int = 0
    queue_limit: int = 0
    stream_limit: int = 0
    requests: immutables.Map[int, Request] = field(factory=immutables.Map)
    queue: tuple[int, ...] = ()
    running: int = 0
    streams: int = 0
    slot_release_times: tuple[float, ...] = ()
    slots_available_at: float = 0.0
    idle_since: float | None = None
    service_time: float = 0.05
    breaker: Breaker = field(factory=Breaker)
    retry_budget: float = 0.0


class AdmissionDecision(enum.Enum):
    """What to do with a request that has just arrived."""

    START = "start"
    QUEUE = "queue"
    REFUSE = "refuse"


@frozen(kw_only=True)
class AdmissionResult:
    """A decision and, for a refusal, its reason."""

    decision: AdmissionDecision
    reason: str = ""


def count_free_slots(admission: Admission, now: float) -> int:
    """Return how many slots can be taken now."""
    if now < admission.slots_available_at:
        return 0
    releasing = sum(1 for end in admission.slot_release_times if end > now)
    free = admission.slots - admission.running - releasing
    if admission.breaker.state == BreakerState.HALF_OPEN:
        return min(free, 1 - admission.running)
    return free


def decide_admission(
    admission: Admission, request: Request, class_count: int, now: float
) -> AdmissionResult:
    """Decide on one request.

    Parameters
    ----------
    class_count : int
        Number of request classes of the service; each may fill its share of
        the queue.
    """
    if is_breaker_blocking(admission, now):
        return AdmissionResult(
            decision=AdmissionDecision.REFUSE, reason="upstream fails"
        )
    if not request.needs_slot:
        if admission.streams >= admission.stream_limit:
            return AdmissionResult(
                decision=AdmissionDecision.REFUSE, reason="too many streams"
            )
        return AdmissionResult(decision=AdmissionDecision.START)
    if count_free_slots(admission, now) > 0 and not admission.queue:
        return AdmissionResult(decision=AdmissionDecision.START)
    if _count_queued(admission, request) >= _get_share(admission, class_count):
        return AdmissionResult(
            decision=AdmissionDecision.REFUSE, reason="queue is full"
        )
    if (
        now + estimate_wait(admission, now) + admission.service_time
        > request.expires_at
    ):
        return AdmissionResult(
            decision=AdmissionDecision.REFUSE, reason="would not start in time"
        )
    return AdmissionResult(decision=AdmissionDecision.QUEUE)


def _get_share(admission: Admission, class_count: int) -> int:
    return max(admission.queue_limit // max(class_count, 1), 1)


def _count_queued(admission: Admission, request: Request) -> int:
    name = request.request_class.name
    return sum(
        1
        for number in admission.queue
        if admission.requests[number].request_class.name == name
    )


def estimate_wait(admission: Admission, now: float) -> float:
    """Return the seconds that a request at the end of the queue would wait."""
    held = max(admission.slots_available_at - now, 0.0)
    if admission.idle_since is not None:
        proof = admission.idle_since + admission.settings.idle_span - now
        held = min(held, max(proof, 0.0))
    rounds = (len(admission.queue) + 1) / max(admission.slots, 1)
    return held + rounds * admission.service_time


def get_retry_after(admission: Admission, now: float, seed: int) -> int:
    """Return whole seconds after which a refused caller may come back.

    Worked out from how fast the queue drains, and jittered, so that refused
    callers do not return together.

    Examples
    --------
    >>> get_retry_after(Admission(slots=4), 0.0, seed=1)
    1
    """
    wait = estimate_wait(admission, now)
    if is_breaker_blocking(admission, now):
        wait = max(wait, admission.breaker.open_until - now)
    spread = 1.0 + RETRY_AFTER_JITTER_RATIO * (seed % 1000) / 1000
    return max(1, min(math.ceil(wait * spread), MAX_RETRY_AFTER_SECONDS))


def choose_next_request(admission: Admission, now: float) -> int | None:
    """Return the queued request to start: the class with least at work first."""
    if not admission.queue or count_free_slots(admission, now) <= 0:
        return None
    at_work: dict[str, int] = {}
    for request in admission.requests.values():
        if request.phase == RequestPhase.RUNNING and request.needs_slot:
            name = request.request_class.name
            at_work[name] = at_work.get(name, 0) + 1

    def weigh(number: int) -> int:
        return at_work.get(admission.requests[number].request_class.name, 0)

    return min(admission.queue, key=weigh)


def put_request(admission: Admission, request: Request) -> Admission:
    """Add or replace a request."""
    requests = admission.requests.set(request.number, request)
    return evolve(admission, requests=requests)


def queue_request(admission: Admission, request: Request) -> Admission:
    """Put a request at the end of the queue."""
    admission = put_request(admission, evolve(request, phase=RequestPhase.QUEUED))
    return evolve(admission, queue=(*admission.queue, request.number))


def start_request(admission: Admission, request: Request, now: float) -> Admission:
    """Count a request as running."""
    queue = tuple(n for n in admission.queue if n != request.number)
    earned = 0.0 if request.retried else admission.settings.retry_share
    admission = evolve(
        admission,
        queue=queue,
        running=admission.running + request.needs_slot,
        streams=admission.streams + (not request.needs_slot),
        retry_budget=min(admission.retry_budget + earned, MAX_RETRY_BUDGET),
    )
    return put_request(
        admission, evolve(request, phase=RequestPhase.RUNNING, started_at=now)
    )


def drop_request(
    admission: Admission, request: Request, now: float, *, aborted: bool = False
) -> Admission:
    """Take a request out; an aborted one keeps its slot for the grace time.

    Dropping a request that is no longer there changes nothing.
    """
    known = admission.requests.get(request.number)
    if known is None:
        return admission
    admission = evolve(
        admission,
        requests=admission.requests.delete(request.number),
        queue=tuple(n for n in admission.queue if n != request.number),
    )
    if known.phase != RequestPhase.RUNNING:
        return admission
    if not known.needs_slot:
        return evolve(admission, streams=admission.streams - 1)
    releasing = tuple(end for end in admission.slot_release_times if end > now)
    if aborted:
        releasing = (*releasing, now + admission.settings.cancel_grace)
    return evolve(
        admission, running=admission.running - 1, slot_release_times=releasing
    )


def update_service_time(
    admission: Admission, request: Request, now: float
) -> Admission:
    """Take in how long a finished request held its slot."""
    if not request.needs_slot:
        return admission
    elapsed = now - request.started_at
    smoothed = admission.service_time + SERVICE_TIME_SMOOTHING * (
        elapsed - admission.service_time
    )
    return evolve(admission, service_time=smoothed)


def is_breaker_blocking(admission: Admission, now: float) -> bool:
    """Whether the upstream gets no new work because it fails."""
    breaker = admission.breaker
    match breaker.state:
        case BreakerState.OPEN:
            return now < breaker.open_until
        case BreakerState.HALF_OPEN:
            return admission.running > 0
        case _:
            return False


def record_failure(admission: Admission, now: float) -> Admission:
    """Count a failure of the upstream; maybe open the breaker."""
    settings = admission.settings
    failures = admission.breaker.failures + 1
    trying = admission.breaker.state == BreakerState.HALF_OPEN
    if failures < settings.breaker_failures and not trying:
        return evolve(admission, breaker=Breaker(failures=failures))
    breaker = Breaker(
        state=BreakerState.OPEN,
        failures=failures,
        open_until=now + settings.breaker_pause,
    )
    return evolve(admission, breaker=breaker)


def record_success(admission: Admission) -> Admission:
    """Close the breaker."""
    if admission.breaker == Breaker():
        return admission
    return evolve(admission, breaker=Breaker())


def update_breaker(admission: Admission, now: float) -> Admission:
    """After the pause let one request try the upstream."""
    breaker = admission.breaker
    if breaker.state == BreakerState.OPEN and now >= breaker.open_until:
        breaker = evolve(breaker, state=BreakerState.HALF_OPEN)
        return evolve(admission, breaker=breaker)
    return admission


def take_retry(admission: Admission) -> tuple[Admission, bool]:
    """Take one retry from the budget, if first attempts have paid for it."""
    left = admission.retry_budget
    if left < 1.0:
        return admission, False
    return evolve(admission, retry_budget=left - 1.0), True


def record_upstream_load(admission: Admission, busy: int, now: float) -> Admission:
    """Take in a reading of the upstream's load endpoint.

    It may lag or mislead, so it counts for one thing only: an upstream that
    shows itself idle for a while after this agent's start has nothing left of
    what an earlier agent sent.
    """
    if now >= admission.slots_available_at:
        return admission
    if busy > 0:
        return evolve(admission, idle_since=None)
    if admission.idle_since is None:
        return evolve(admission, idle_since=now)
    if now - admission.idle_since >= admission.settings.idle_span:
        return evolve(admission, slots_available_at=now)
    return admission
