"""Admission control for the requests of one upstream.

Two limits apply per upstream: slots for ordinary requests and connections for
streams.  The queue is bounded per request class, so that no class starves another,
and a request that would not start before its deadline is refused at once.
"""

from __future__ import annotations

import enum
import math

import immutables
from attrs import evolve, field, frozen

from shedsill.http3._outcomes import IssuerKey
from shedsill.http3._resources import RequestClass, RequestKind

SERVICE_TIME_SMOOTHING = 0.1  # weight of the newest sample
MAX_RETRY_AFTER_SECONDS = 60
RETRY_AFTER_JITTER_RATIO = 0.5
MAX_RETRY_BUDGET = 10.0  # retries that can be saved up


class RequestPhase(enum.Enum):
    """Phase of a request.

    A joined request repeats one with the same ticket and waits for its outcome; a
    forwarded one was sent to another agent.
    """

    QUEUED = "queued"
    RUNNING = "running"
    JOINED = "joined"
    FORWARDED = "forwarded"


@frozen(kw_only=True)
class Request:
    """A request that the agent has not answered yet.

    Attributes
    ----------
    number, flow, stream : int
        See `shedsill.http3._events.RequestArrived`.
    body_complete : bool
        Whether the whole body had arrived before the request was handled.
    expires_at : float
        Local time by which it has to be answered; infinite for streams.
    ticket : str
        Ticket that its answer carries, for use by a later request.
    issuer, ticket_number : IssuerKey or None, int
        Key under which its outcome is recorded.
    started_at : float
        Local time at which it was sent to the upstream.
    retried, sent : bool
        Whether this is the second attempt, and whether a byte of the first
        may have reached the upstream.
    answer_started : bool
        Whether part of the answer has been sent to the caller.
    hops : int
        How often it was forwarded to another agent.
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
        """Whether the request occupies a slot while it runs."""
        return self.request_class.kind == RequestKind.SLOT


@frozen(kw_only=True)
class AdmissionSettings:
    """Settings of an agent's admission control.

    Attributes
    ----------
    cancel_grace : float
        Seconds for which a slot stays occupied after its request was aborted.
    idle_span : float
        Seconds for which the upstream must report no load before its slots are used
        after the agent's start.  They are used at the latest after the longest
        deadline of the service.
    breaker_failures : int
        Consecutive failures after which the circuit breaker opens.
    breaker_pause : float
        Seconds before the open breaker lets one trial request through.
    retry_share : float
        Retries added to the retry budget by each first attempt.
    """

    cancel_grace: float = 0.2
    idle_span: float = 1.0
    breaker_failures: int = 5
    breaker_pause: float = 2.0
    retry_share: float = 0.1


class BreakerState(enum.Enum):
    """State of the circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@frozen(kw_only=True)
class Breaker:
    """Circuit breaker; `failures` counts consecutive failures."""

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    open_until: float = 0.0


@frozen(kw_only=True)
class Admission:
    """Admission state of one upstream.

    Attributes
    ----------
    queue : tuple of int
        Numbers of the requests that wait for a slot, oldest first.
    running, streams : int
        Requests that occupy a slot, and open streams.
    slot_release_times : tuple of float
        Local times at which the slots of aborted requests become free.
    slots_available_at : float
        Local time before which no slot is used after the agent's start.
    idle_since : float or None
        Local time since which the upstream reports no load.
    service_time : float
        Moving average of the seconds for which a request occupies a slot.
    retry_budget : float
        Retries that are currently allowed.
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
    """What to do with a new request."""

    START = "start"
    QUEUE = "queue"
    REFUSE = "refuse"


@frozen(kw_only=True)
class AdmissionResult:
    """A decision, with a reason if the request is refused."""

    decision: AdmissionDecision
    reason: str = ""


def count_free_slots(admission: Admission, now: float) -> int:
    """Return the number of slots that can be used now."""
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
    """Decide whether to start, queue or refuse a request.

    Parameters
    ----------
    class_count : int
        Number of request classes of the service, which share the queue equally.
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
    if _count_queued(admission, request) >= _get_queue_share(admission, class_count):
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


def _get_queue_share(admission: Admission, class_count: int) -> int:
    return max(admission.queue_limit // max(class_count, 1), 1)


def _count_queued(admission: Admission, request: Request) -> int:
    name = request.request_class.name
    return sum(
        1
        for number in admission.queue
        if admission.requests[number].request_class.name == name
    )


def estimate_wait(admission: Admission, now: float) -> float:
    """Estimate the seconds that a request at the end of the queue would wait."""
    startup_wait = max(admission.slots_available_at - now, 0.0)
    if admission.idle_since is not None:
        idle_wait = admission.idle_since + admission.settings.idle_span - now
        startup_wait = min(startup_wait, max(idle_wait, 0.0))
    rounds = (len(admission.queue) + 1) / max(admission.slots, 1)
    return startup_wait + rounds * admission.service_time


def get_retry_after(admission: Admission, now: float, seed: int) -> int:
    """Return the whole seconds after which a refused caller may retry.

    Based on the estimated wait, with jitter, so that refused callers do not return
    at the same time.

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
    """Return the queued request to start, of the class with the fewest running."""
    if not admission.queue or count_free_slots(admission, now) <= 0:
        return None
    running_by_class: dict[str, int] = {}
    for request in admission.requests.values():
        if request.phase == RequestPhase.RUNNING and request.needs_slot:
            name = request.request_class.name
            running_by_class[name] = running_by_class.get(name, 0) + 1

    def count_running(number: int) -> int:
        return running_by_class.get(admission.requests[number].request_class.name, 0)

    return min(admission.queue, key=count_running)


def put_request(admission: Admission, request: Request) -> Admission:
    """Add or replace a request."""
    requests = admission.requests.set(request.number, request)
    return evolve(admission, requests=requests)


def queue_request(admission: Admission, request: Request) -> Admission:
    """Append a request to the queue."""
    admission = put_request(admission, evolve(request, phase=RequestPhase.QUEUED))
    return evolve(admission, queue=(*admission.queue, request.number))


def start_request(admission: Admission, request: Request, now: float) -> Admission:
    """Remove a request from the queue and count it as running."""
    queue = tuple(n for n in admission.queue if n != request.number)
    added_retries = 0.0 if request.retried else admission.settings.retry_share
    admission = evolve(
        admission,
        queue=queue,
        running=admission.running + request.needs_slot,
        streams=admission.streams + (not request.needs_slot),
        retry_budget=min(admission.retry_budget + added_retries, MAX_RETRY_BUDGET),
    )
    return put_request(
        admission, evolve(request, phase=RequestPhase.RUNNING, started_at=now)
    )


def drop_request(
    admission: Admission, request: Request, now: float, *, aborted: bool = False
) -> Admission:
    """Remove a request; the slot of an aborted one stays occupied for a grace time.

    Does nothing if the request was removed before.
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
    """Update the average service time with that of a finished request."""
    if not request.needs_slot:
        return admission
    elapsed = now - request.started_at
    smoothed = admission.service_time + SERVICE_TIME_SMOOTHING * (
        elapsed - admission.service_time
    )
    return evolve(admission, service_time=smoothed)


def is_breaker_blocking(admission: Admission, now: float) -> bool:
    """Whether the circuit breaker blocks new requests."""
    breaker = admission.breaker
    match breaker.state:
        case BreakerState.OPEN:
            return now < breaker.open_until
        case BreakerState.HALF_OPEN:
            return admission.running > 0
        case _:
            return False


def record_failure(admission: Admission, now: float) -> Admission:
    """Count a failure of the upstream, which may open the circuit breaker."""
    settings = admission.settings
    failures = admission.breaker.failures + 1
    half_open = admission.breaker.state == BreakerState.HALF_OPEN
    if failures < settings.breaker_failures and not half_open:
        return evolve(admission, breaker=Breaker(failures=failures))
    breaker = Breaker(
        state=BreakerState.OPEN,
        failures=failures,
        open_until=now + settings.breaker_pause,
    )
    return evolve(admission, breaker=breaker)


def record_success(admission: Admission) -> Admission:
    """Close the circuit breaker."""
    if admission.breaker == Breaker():
        return admission
    return evolve(admission, breaker=Breaker())


def update_breaker(admission: Admission, now: float) -> Admission:
    """Half-open the circuit breaker once its pause is over."""
    breaker = admission.breaker
    if breaker.state == BreakerState.OPEN and now >= breaker.open_until:
        breaker = evolve(breaker, state=BreakerState.HALF_OPEN)
        return evolve(admission, breaker=breaker)
    return admission


def take_retry(admission: Admission) -> tuple[Admission, bool]:
    """Take one retry from the budget, if there is one."""
    left = admission.retry_budget
    if left < 1.0:
        return admission, False
    return evolve(admission, retry_budget=left - 1.0), True


def record_upstream_load(admission: Admission, busy: int, now: float) -> Admission:
    """Record a response of the upstream's load endpoint.

    The endpoint is not trusted for admission.  It only ends the wait after the
    agent's start: an upstream that has been idle for `idle_span` seconds has
    finished the requests of the previous agent process.
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
