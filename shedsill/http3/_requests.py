"""What an agent does with each request, from arrival to its final answer."""

from __future__ import annotations

import math

from attrs import evolve

from shedsill._catalogue import LogEvent
from shedsill.http3._admission import (
    Admit,
    Phase,
    Request,
    choose_next,
    decide_admission,
    drop_request,
    note_failure,
    note_service_time,
    note_success,
    put_request,
    queue_request,
    start_request,
    take_retry,
)
from shedsill.http3._agent_state import AgentState
from shedsill.http3._effects import (
    AbortUpstreamRequest,
    SendAnswer,
    DeclineForwardedRequest,
    Effect,
    WriteLog,
    ForwardRequest,
    SendUpstreamRequest,
)
from shedsill.http3._events import (
    PeerAnswered,
    PeerFailed,
    RequestArrived,
    RequestCancelled,
    UpstreamAnswered,
    UpstreamAnswerStarted,
    UpstreamFailed,
)
from shedsill.http3._keys import Ticket
from shedsill.http3._outcomes import (
    MAX_RECORDED_BODY,
    TICKET_LIFETIME,
    Done,
    MayHaveRun,
    OutcomeKey,
    Record,
    Refused,
    Running,
    find_record,
    get_local_expiry,
    has_origin,
    is_full,
)
from shedsill.http3._resources import RequestClass, RequestKind, match_class
from shedsill.http3._settling import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_TIMEOUT,
    STATUS_TOO_LARGE,
    STATUS_UNAVAILABLE,
    describe_request,
    find_own_record,
    give_up,
    note_request,
    put_outcome,
    record_refusal,
    record_unknown,
    refuse_request,
    say_unknown,
    set_admission,
    settle_done,
    settle_relayed,
    settle_unknown,
)

MAX_HOPS = 2

Step = tuple[AgentState, list[Effect]]


def take_request(state: AgentState, event: RequestArrived) -> Step:
    """Decide on a request that has just arrived."""
    state, request = _make_request(state, event)
    if not event.key:
        return _admit(state, request, event.now, event.seed)
    ticket = state.keys.decrypt_ticket(event.key)
    if ticket is None:
        reason = "Idempotency-Key is not a ticket that this service issued"
        return state, [refuse_request(state, request, STATUS_BAD_REQUEST, reason)]
    if not event.body_complete:
        reason = f"a body above {MAX_RECORDED_BODY} octets cannot carry a ticket"
        return state, [refuse_request(state, request, STATUS_TOO_LARGE, reason)]
    return _take_ticket(state, request, ticket, event)


def _make_request(
    state: AgentState, event: RequestArrived
) -> tuple[AgentState, Request]:
    request_class = match_class(
        _get_classes(state), method=event.method, path=event.path
    )
    stream = request_class.kind == RequestKind.STREAM
    issued = Ticket(
        state.upstream,
        state.incarnation,
        state.next_ticket,
        event.now + TICKET_LIFETIME,
    )
    request = Request(
        number=event.request,
        flow=event.flow,
        stream=event.stream,
        request_class=request_class,
        fingerprint=event.fingerprint,
        whole=event.body_complete,
        expires=math.inf if stream else event.now + request_class.deadline,
        ticket=state.keys.encrypt_ticket(issued),
        key=event.key,
    )
    return evolve(state, next_ticket=state.next_ticket + 1), request


def _get_classes(state: AgentState) -> tuple[RequestClass, ...]:
    accepted = state.node.configuration.find_service(state.service)
    return accepted.service.classes if accepted else ()


def _take_ticket(
    state: AgentState, request: Request, ticket: Ticket, event: RequestArrived
) -> Step:
    origin = OutcomeKey(ticket.upstream, ticket.incarnation)
    if not has_origin(state.ledger, origin):
        return _pass_request(state, request, origin, event)
    request = evolve(request, origin=origin, ticket_number=ticket.number)
    record = find_record(state.ledger, origin, ticket.number)
    if record is None:
        return _take_unused_ticket(state, request, ticket, event)
    if record.fingerprint != request.fingerprint:
        reason = "the ticket was used for another request"
        return state, [refuse_request(state, request, STATUS_CONFLICT, reason)]
    return _repeat(state, request, record, event)


def _take_unused_ticket(
    state: AgentState, request: Request, ticket: Ticket, event: RequestArrived
) -> Step:
    assert request.origin is not None
    expires = get_local_expiry(state.ledger, request.origin, ticket.expires_at)
    if expires <= event.now:
        return state, [say_unknown(request, STATUS_CONFLICT, "the ticket has expired")]
    if is_full(state.ledger):
        refused = Refused(fingerprint=request.fingerprint, expires=expires)
        state = put_outcome(state, request, refused)
        reason = "the record of outcomes is full"
        return state, [
            refuse_request(state, request, STATUS_UNAVAILABLE, reason, event)
        ]
    running = Running(
        fingerprint=request.fingerprint, expires=expires, request=request.number
    )
    state = put_outcome(state, request, running)
    return _admit(state, request, event.now, event.seed)


def _repeat(
    state: AgentState, request: Request, record: Record, event: RequestArrived
) -> Step:
    """Answer a ticket that has come back."""
    match record:
        case Done(answer=answer):
            note = note_request(LogEvent.REQUEST_REPLAYED, request)
            effect = SendAnswer(
                request=request.number, answer=answer, ticket=request.ticket
            )
            return state, [note, effect]
        case MayHaveRun():
            reason = "an earlier attempt may have run"
            return state, [say_unknown(request, STATUS_CONFLICT, reason)]
        case Refused():
            reason = "an attempt with this ticket was refused; use the new ticket"
            return state, [
                refuse_request(state, request, STATUS_UNAVAILABLE, reason, event)
            ]
        case Running():
            joined = evolve(record, waiters=(*record.waiters, request.number))
            state = put_outcome(state, request, joined)
            waiting = evolve(request, phase=Phase.JOINED)
            state = set_admission(state, put_request(state.admission, waiting))
            return state, [note_request(LogEvent.REQUEST_JOINED, request)]


def _pass_request(
    state: AgentState, request: Request, origin: OutcomeKey, event: RequestArrived
) -> Step:
    """Hand a request to the agent that answers for its ticket."""
    if event.from_peer:
        return state, [DeclineForwardedRequest(request=request.number)]
    issuer = state.node.configuration.find_upstream(origin.upstream)
    if issuer is not None and issuer.service != state.service:
        reason = "Idempotency-Key is a ticket of another service"
        return state, [refuse_request(state, request, STATUS_BAD_REQUEST, reason)]
    target = state.handed_to.get(origin, origin.upstream)
    request = evolve(request, origin=origin)
    if issuer is None and target == origin.upstream:
        return _try_successor(state, request, target)
    return _send_to_peer(state, request, target)


def _send_to_peer(state: AgentState, request: Request, target: int) -> Step:
    """Pass a request on; no agent passes to itself or to another service."""
    upstream = state.node.configuration.find_upstream(target)
    unusable = upstream is None or upstream.service != state.service
    if unusable or target == state.upstream or request.hops >= MAX_HOPS:
        state = set_admission(state, drop_request(state.admission, request, 0.0))
        reason = "the ticket's issuer is gone"
        return state, [say_unknown(request, STATUS_CONFLICT, reason)]
    assert upstream is not None
    waiting = evolve(request, phase=Phase.PASSED, hops=request.hops + 1)
    state = set_admission(state, put_request(state.admission, waiting))
    fields = {**describe_request(request), "upstream": upstream.name}
    effect = ForwardRequest(
        request=request.number, peer=upstream.socket_address, upstream=target
    )
    return state, [WriteLog(event=LogEvent.REQUEST_PASSED, fields=fields), effect]


def _try_successor(state: AgentState, request: Request, departed: int) -> Step:
    """Ask the upstream that took over from one that is gone."""
    successor = state.node.configuration.find_successor(departed)
    return _send_to_peer(state, request, successor)


def take_peer_answer(state: AgentState, event: PeerAnswered) -> Step:
    """Give a caller the answer that another agent gave."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    state = set_admission(state, drop_request(state.admission, request, event.now))
    effect = SendAnswer(
        request=request.number,
        answer=event.answer,
        ticket=request.ticket,
        outcome=event.outcome,
    )
    return state, [note_request(LogEvent.REQUEST_DONE, request), effect]


def take_peer_failure(state: AgentState, event: PeerFailed) -> Step:
    """Go on without the agent to which a request was passed."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    if event.not_accepted and request.origin is not None:
        return _try_successor(state, request, request.origin.upstream)
    state = set_admission(state, drop_request(state.admission, request, event.now))
    reason = "the ticket's issuer did not answer"
    return state, [say_unknown(request, STATUS_TIMEOUT, reason)]


def _admit(state: AgentState, request: Request, now: float, seed: int) -> Step:
    if state.leaving is not None:
        return give_up(state, request, "upstream is leaving", now, seed)
    count = len(_get_classes(state)) + 1
    admittance = decide_admission(state.admission, request, count, now)
    match admittance.decision:
        case Admit.START:
            return _start(state, request, now)
        case Admit.QUEUE:
            state = set_admission(state, queue_request(state.admission, request))
            return state, [note_request(LogEvent.REQUEST_QUEUED, request)]
        case Admit.REFUSE:
            return give_up(state, request, admittance.reason, now, seed)


def _start(state: AgentState, request: Request, now: float) -> Step:
    state = set_admission(state, start_request(state.admission, request, now))
    hold = request.takes_slot
    effect = SendUpstreamRequest(
        request=request.number, buffer_answer=hold, ticket=request.ticket
    )
    return state, [note_request(LogEvent.REQUEST_STARTED, request), effect]


def start_waiting(state: AgentState, now: float, seed: int) -> Step:
    """Start as many queued requests as there are free slots."""
    effects: list[Effect] = []
    while (number := choose_next(state.admission, now)) is not None:
        request = state.admission.requests[number]
        if request.expires - now < state.admission.service_time / 2:
            state, more = give_up(state, request, "no time left", now, seed)
        else:
            state, more = _start(state, request, now)
        effects += more
    return state, effects


def expire_requests(state: AgentState, now: float, seed: int) -> Step:
    """End the requests whose deadline has passed, or cannot be kept."""
    effects: list[Effect] = []
    for request in list(state.admission.requests.values()):
        more: list[Effect] = []
        if request.phase == Phase.QUEUED:
            needed = min(state.admission.service_time, request.request_class.deadline)
            if request.expires - now < needed / 2:
                state, more = give_up(state, request, "no time left", now, seed)
        elif request.expires <= now:
            state, more = _expire(state, request, now)
        effects += more
    return state, effects


def _expire(state: AgentState, request: Request, now: float) -> Step:
    effects: list[Effect] = [note_request(LogEvent.REQUEST_EXPIRED, request)]
    aborted = request.phase == Phase.RUNNING
    if aborted:
        effects.append(AbortUpstreamRequest(request=request.number))
    if request.phase == Phase.JOINED:
        state = _leave_waiters(state, request)
    admission = drop_request(state.admission, request, now, aborted=aborted)
    state = set_admission(state, admission)
    if not aborted:
        reason = "no answer before the deadline"
        return state, [*effects, say_unknown(request, STATUS_TIMEOUT, reason)]
    state, more = settle_unknown(state, request, STATUS_TIMEOUT, "deadline passed")
    return state, effects + more


def take_cancellation(state: AgentState, event: RequestCancelled) -> Step:
    """Free what a request held that its caller gave up."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    note = note_request(LogEvent.REQUEST_CANCELLED, request)
    if request.phase == Phase.JOINED:
        state = _leave_waiters(state, request)
        return set_admission(
            state, drop_request(state.admission, request, event.now)
        ), [note]
    record = find_own_record(state, request)
    has_waiters = isinstance(record, Running) and bool(record.waiters)
    lost_caller = request.origin is not None and not event.deliberate
    if has_waiters or (lost_caller and request.phase != Phase.PASSED):
        return state, [note]
    aborted = request.phase == Phase.RUNNING
    admission = drop_request(state.admission, request, event.now, aborted=aborted)
    state = set_admission(state, admission)
    if not aborted:
        return record_refusal(state, request), [note]
    state = record_unknown(state, request)
    return state, [note, AbortUpstreamRequest(request=request.number)]


def _leave_waiters(state: AgentState, request: Request) -> AgentState:
    record = find_own_record(state, request)
    if not isinstance(record, Running):
        return state
    waiters = tuple(n for n in record.waiters if n != request.number)
    return put_outcome(state, request, evolve(record, waiters=waiters))


def take_beginning(state: AgentState, event: UpstreamAnswerStarted) -> Step:
    """Note that part of an answer has gone to the caller."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    return set_admission(
        state, put_request(state.admission, evolve(request, began=True))
    ), []


def take_answer(state: AgentState, event: UpstreamAnswered) -> Step:
    """Give a request the upstream's whole answer."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    admission = note_service_time(state.admission, request, event.now)
    admission = drop_request(admission, request, event.now)
    failed = event.shed or (event.answer is not None and event.answer.status >= 500)
    if failed:
        state, effects = _note_failure(set_admission(state, admission), event.now)
    else:
        state, effects = _note_success(set_admission(state, admission))
    if event.shed:
        reason = "the upstream shed the request"
        state, more = give_up(state, request, reason, event.now, event.seed)
    elif event.answer is None:
        state, more = settle_relayed(state, request)
    else:
        state, more = settle_done(state, request, event.answer)
    effects += more
    state, more = start_waiting(state, event.now, event.seed)
    return state, effects + more


def take_failure(state: AgentState, event: UpstreamFailed) -> Step:
    """Go on after the upstream gave no whole answer."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    state, effects = _note_failure(state, event.now)
    state, more = _retry_or_settle(state, request, event)
    effects += more
    state, more = start_waiting(state, event.now, event.seed)
    return state, effects + more


def _retry_or_settle(
    state: AgentState, request: Request, event: UpstreamFailed
) -> Step:
    repeatable = request.request_class.repeatable or not event.sent
    allowed = repeatable and request.whole and not (request.retried or request.began)
    if allowed and state.leaving is None and event.now < request.expires:
        admission, taken = take_retry(state.admission)
        state = set_admission(state, admission)
        if taken:
            return _send_again(state, request, event)
    admission = drop_request(state.admission, request, event.now, aborted=event.sent)
    state = set_admission(state, admission)
    if not event.sent:
        reason = "the upstream could not be reached"
        return give_up(state, request, reason, event.now, event.seed)
    reason = "the upstream gave no whole answer"
    return settle_unknown(state, request, STATUS_BAD_GATEWAY, reason)


def _send_again(state: AgentState, request: Request, event: UpstreamFailed) -> Step:
    """Queue a request once more, behind the slot that its attempt held."""
    admission = drop_request(state.admission, request, event.now, aborted=event.sent)
    sent = request.sent or event.sent
    again = evolve(request, retried=True, sent=sent, phase=Phase.QUEUED)
    state = set_admission(state, queue_request(admission, again))
    return state, [note_request(LogEvent.REQUEST_RETRIED, request)]


def _note_failure(state: AgentState, now: float) -> Step:
    before = state.admission.breaker.state
    state = set_admission(state, note_failure(state.admission, now))
    if state.admission.breaker.state == before:
        return state, []
    fields = {"failures": state.admission.breaker.failures}
    return state, [WriteLog(event=LogEvent.BREAKER_OPENED, fields=fields)]


def _note_success(state: AgentState) -> Step:
    settings = state.admission.settings
    was_broken = state.admission.breaker.failures >= settings.breaker_failures
    state = set_admission(state, note_success(state.admission))
    if not was_broken:
        return state, []
    return state, [WriteLog(event=LogEvent.BREAKER_CLOSED, fields={})]
