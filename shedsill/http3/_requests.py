"""Agent handlers for requests, from arrival to the final answer."""

from __future__ import annotations

import math

from attrs import evolve

from shedsill._catalogue import LogEvent
from shedsill.http3._admission import (
    AdmissionDecision,
    Request,
    RequestPhase,
    choose_next_request,
    decide_admission,
    drop_request,
    put_request,
    queue_request,
    record_failure,
    record_success,
    start_request,
    take_retry,
    update_service_time,
)
from shedsill.http3._agent_state import AgentState
from shedsill.http3._effects import (
    AbortUpstreamRequest,
    DeclineForwardedRequest,
    Effect,
    ForwardRequest,
    SendAnswer,
    SendUpstreamRequest,
    WriteLog,
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
    MAX_RECORDED_BODY_BYTES,
    TICKET_LIFETIME_SECONDS,
    Done,
    IssuerKey,
    MayHaveRun,
    Record,
    Refused,
    Running,
    find_record,
    get_local_expiry,
    has_issuer,
    is_full,
)
from shedsill.http3._request_completion import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_TIMEOUT,
    STATUS_TOO_LARGE,
    STATUS_UNAVAILABLE,
    build_refusal,
    build_unknown_answer,
    complete_relayed,
    complete_unknown,
    complete_with_answer,
    complete_without_answer,
    find_request_record,
    get_log_fields,
    log_request,
    put_request_record,
    record_refusal,
    record_unknown,
    set_admission,
)
from shedsill.http3._resources import RequestClass, RequestKind, match_class

MAX_HOPS = 2  # times that a request is forwarded to another agent

Step = tuple[AgentState, list[Effect]]


def handle_request(state: AgentState, event: RequestArrived) -> Step:
    """Start, queue, forward or refuse a new request, or answer a repeated one."""
    state, request = _make_request(state, event)
    if not event.key:
        return _admit_request(state, request, event.now, event.seed)
    ticket = state.keys.decrypt_ticket(event.key)
    if ticket is None:
        reason = "Idempotency-Key is not a ticket that this service issued"
        return state, [build_refusal(state, request, STATUS_BAD_REQUEST, reason)]
    if not event.body_complete:
        reason = f"a body above {MAX_RECORDED_BODY_BYTES} octets cannot carry a ticket"
        return state, [build_refusal(state, request, STATUS_TOO_LARGE, reason)]
    return _handle_ticket(state, request, ticket, event)


def _make_request(
    state: AgentState, event: RequestArrived
) -> tuple[AgentState, Request]:
    request_class = match_class(
        _get_classes(state), method=event.method, path=event.path
    )
    is_stream = request_class.kind == RequestKind.STREAM
    ticket = Ticket(
        state.upstream,
        state.incarnation,
        state.next_ticket,
        event.now + TICKET_LIFETIME_SECONDS,
    )
    request = Request(
        number=event.request,
        flow=event.flow,
        stream=event.stream,
        request_class=request_class,
        fingerprint=event.fingerprint,
        body_complete=event.body_complete,
        expires_at=math.inf if is_stream else event.now + request_class.deadline,
        ticket=state.keys.encrypt_ticket(ticket),
        idempotency_key=event.key,
    )
    return evolve(state, next_ticket=state.next_ticket + 1), request


def _get_classes(state: AgentState) -> tuple[RequestClass, ...]:
    accepted = state.node.configuration.find_service(state.service)
    return accepted.service.classes if accepted else ()


def _handle_ticket(
    state: AgentState, request: Request, ticket: Ticket, event: RequestArrived
) -> Step:
    issuer = IssuerKey(ticket.upstream, ticket.incarnation)
    if not has_issuer(state.outcomes, issuer):
        return _forward_request(state, request, issuer, event)
    request = evolve(request, issuer=issuer, ticket_number=ticket.number)
    record = find_record(state.outcomes, issuer, ticket.number)
    if record is None:
        return _handle_unused_ticket(state, request, ticket, event)
    if record.fingerprint != request.fingerprint:
        reason = "the ticket was used for another request"
        return state, [build_refusal(state, request, STATUS_CONFLICT, reason)]
    return _handle_repeat(state, request, record, event)


def _handle_unused_ticket(
    state: AgentState, request: Request, ticket: Ticket, event: RequestArrived
) -> Step:
    assert request.issuer is not None
    expires_at = get_local_expiry(state.outcomes, request.issuer, ticket.expires_at)
    if expires_at <= event.now:
        return state, [
            build_unknown_answer(request, STATUS_CONFLICT, "the ticket has expired")
        ]
    if is_full(state.outcomes):
        refused = Refused(fingerprint=request.fingerprint, expires_at=expires_at)
        state = put_request_record(state, request, refused)
        reason = "the record of outcomes is full"
        return state, [build_refusal(state, request, STATUS_UNAVAILABLE, reason, event)]
    running = Running(
        fingerprint=request.fingerprint, expires_at=expires_at, request=request.number
    )
    state = put_request_record(state, request, running)
    return _admit_request(state, request, event.now, event.seed)


def _handle_repeat(
    state: AgentState, request: Request, record: Record, event: RequestArrived
) -> Step:
    """Answer a request whose ticket has been used before."""
    match record:
        case Done(answer=answer):
            log = log_request(LogEvent.REQUEST_REPLAYED, request)
            effect = SendAnswer(
                request=request.number, answer=answer, ticket=request.ticket
            )
            return state, [log, effect]
        case MayHaveRun():
            reason = "an earlier attempt may have run"
            return state, [build_unknown_answer(request, STATUS_CONFLICT, reason)]
        case Refused():
            reason = "an attempt with this ticket was refused; use the new ticket"
            return state, [
                build_refusal(state, request, STATUS_UNAVAILABLE, reason, event)
            ]
        case Running():
            joined = evolve(record, waiters=(*record.waiters, request.number))
            state = put_request_record(state, request, joined)
            waiting = evolve(request, phase=RequestPhase.JOINED)
            state = set_admission(state, put_request(state.admission, waiting))
            return state, [log_request(LogEvent.REQUEST_JOINED, request)]


def _forward_request(
    state: AgentState, request: Request, issuer: IssuerKey, event: RequestArrived
) -> Step:
    """Forward a request to the agent that answers for its ticket."""
    if event.from_peer:
        return state, [DeclineForwardedRequest(request=request.number)]
    issuing_upstream = state.node.configuration.find_upstream(issuer.upstream)
    if issuing_upstream is not None and issuing_upstream.service != state.service:
        reason = "Idempotency-Key is a ticket of another service"
        return state, [build_refusal(state, request, STATUS_BAD_REQUEST, reason)]
    target = state.record_successors.get(issuer, issuer.upstream)
    request = evolve(request, issuer=issuer)
    if issuing_upstream is None and target == issuer.upstream:
        return _forward_to_successor(state, request, target)
    return _forward_to_upstream(state, request, target)


def _forward_to_upstream(state: AgentState, request: Request, target: int) -> Step:
    """Forward a request, but neither to this agent nor to another service."""
    upstream = state.node.configuration.find_upstream(target)
    unusable = upstream is None or upstream.service != state.service
    if unusable or target == state.upstream or request.hops >= MAX_HOPS:
        state = set_admission(state, drop_request(state.admission, request, 0.0))
        reason = "the ticket's issuer is gone"
        return state, [build_unknown_answer(request, STATUS_CONFLICT, reason)]
    assert upstream is not None
    forwarded = evolve(request, phase=RequestPhase.FORWARDED, hops=request.hops + 1)
    state = set_admission(state, put_request(state.admission, forwarded))
    fields = {**get_log_fields(request), "upstream": upstream.name}
    effect = ForwardRequest(
        request=request.number, peer=upstream.socket_address, upstream=target
    )
    return state, [WriteLog(event=LogEvent.REQUEST_PASSED, fields=fields), effect]


def _forward_to_successor(state: AgentState, request: Request, departed: int) -> Step:
    """Forward a request to the successor of an upstream that has left."""
    successor = state.node.configuration.find_successor(departed)
    return _forward_to_upstream(state, request, successor)


def handle_peer_answer(state: AgentState, event: PeerAnswered) -> Step:
    """Answer a request with the answer of another agent."""
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
    return state, [log_request(LogEvent.REQUEST_DONE, request), effect]


def handle_peer_failure(state: AgentState, event: PeerFailed) -> Step:
    """Try the successor of the agent to which a request was forwarded, or give up."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    if event.not_accepted and request.issuer is not None:
        return _forward_to_successor(state, request, request.issuer.upstream)
    state = set_admission(state, drop_request(state.admission, request, event.now))
    reason = "the ticket's issuer did not answer"
    return state, [build_unknown_answer(request, STATUS_TIMEOUT, reason)]


def _admit_request(state: AgentState, request: Request, now: float, seed: int) -> Step:
    if state.drain is not None:
        return complete_without_answer(state, request, "upstream is leaving", now, seed)
    count = len(_get_classes(state)) + 1
    result = decide_admission(state.admission, request, count, now)
    match result.decision:
        case AdmissionDecision.START:
            return _start_request(state, request, now)
        case AdmissionDecision.QUEUE:
            state = set_admission(state, queue_request(state.admission, request))
            return state, [log_request(LogEvent.REQUEST_QUEUED, request)]
        case AdmissionDecision.REFUSE:
            return complete_without_answer(state, request, result.reason, now, seed)


def _start_request(state: AgentState, request: Request, now: float) -> Step:
    state = set_admission(state, start_request(state.admission, request, now))
    buffered = request.needs_slot
    effect = SendUpstreamRequest(
        request=request.number, buffer_answer=buffered, ticket=request.ticket
    )
    return state, [log_request(LogEvent.REQUEST_STARTED, request), effect]


def start_queued_requests(state: AgentState, now: float, seed: int) -> Step:
    """Start queued requests while there are free slots."""
    effects: list[Effect] = []
    while (number := choose_next_request(state.admission, now)) is not None:
        request = state.admission.requests[number]
        if request.expires_at - now < state.admission.service_time / 2:
            state, more = complete_without_answer(
                state, request, "no time left", now, seed
            )
        else:
            state, more = _start_request(state, request, now)
        effects += more
    return state, effects


def expire_requests(state: AgentState, now: float, seed: int) -> Step:
    """End the requests whose deadline has passed or can no longer be met."""
    effects: list[Effect] = []
    for request in list(state.admission.requests.values()):
        more: list[Effect] = []
        if request.phase == RequestPhase.QUEUED:
            needed = min(state.admission.service_time, request.request_class.deadline)
            if request.expires_at - now < needed / 2:
                state, more = complete_without_answer(
                    state, request, "no time left", now, seed
                )
        elif request.expires_at <= now:
            state, more = _expire_request(state, request, now)
        effects += more
    return state, effects


def _expire_request(state: AgentState, request: Request, now: float) -> Step:
    effects: list[Effect] = [log_request(LogEvent.REQUEST_EXPIRED, request)]
    was_running = request.phase == RequestPhase.RUNNING
    if was_running:
        effects.append(AbortUpstreamRequest(request=request.number))
    if request.phase == RequestPhase.JOINED:
        state = _remove_waiter(state, request)
    admission = drop_request(state.admission, request, now, aborted=was_running)
    state = set_admission(state, admission)
    if not was_running:
        reason = "no answer before the deadline"
        return state, [*effects, build_unknown_answer(request, STATUS_TIMEOUT, reason)]
    state, more = complete_unknown(state, request, STATUS_TIMEOUT, "deadline passed")
    return state, effects + more


def handle_cancellation(state: AgentState, event: RequestCancelled) -> Step:
    """Abort a request that its caller has cancelled.

    A request with a ticket goes on if other requests wait for its outcome, or if the
    caller's connection ended without a cancellation: the caller may repeat it.
    """
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    log = log_request(LogEvent.REQUEST_CANCELLED, request)
    if request.phase == RequestPhase.JOINED:
        state = _remove_waiter(state, request)
        return set_admission(
            state, drop_request(state.admission, request, event.now)
        ), [log]
    record = find_request_record(state, request)
    has_waiters = isinstance(record, Running) and bool(record.waiters)
    may_be_repeated = request.issuer is not None and not event.deliberate
    if has_waiters or (may_be_repeated and request.phase != RequestPhase.FORWARDED):
        return state, [log]
    was_running = request.phase == RequestPhase.RUNNING
    admission = drop_request(state.admission, request, event.now, aborted=was_running)
    state = set_admission(state, admission)
    if not was_running:
        return record_refusal(state, request), [log]
    state = record_unknown(state, request)
    return state, [log, AbortUpstreamRequest(request=request.number)]


def _remove_waiter(state: AgentState, request: Request) -> AgentState:
    record = find_request_record(state, request)
    if not isinstance(record, Running):
        return state
    waiters = tuple(n for n in record.waiters if n != request.number)
    return put_request_record(state, request, evolve(record, waiters=waiters))


def handle_answer_started(state: AgentState, event: UpstreamAnswerStarted) -> Step:
    """Record that part of the answer has been sent to the caller."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    return set_admission(
        state, put_request(state.admission, evolve(request, answer_started=True))
    ), []


def handle_upstream_answer(state: AgentState, event: UpstreamAnswered) -> Step:
    """Complete a request with the upstream's answer."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    admission = update_service_time(state.admission, request, event.now)
    admission = drop_request(admission, request, event.now)
    failed = event.shed or (event.answer is not None and event.answer.status >= 500)
    if failed:
        state, effects = _record_failure(set_admission(state, admission), event.now)
    else:
        state, effects = _record_success(set_admission(state, admission))
    if event.shed:
        reason = "the upstream shed the request"
        state, more = complete_without_answer(
            state, request, reason, event.now, event.seed
        )
    elif event.answer is None:
        state, more = complete_relayed(state, request)
    else:
        state, more = complete_with_answer(state, request, event.answer)
    effects += more
    state, more = start_queued_requests(state, event.now, event.seed)
    return state, effects + more


def handle_upstream_failure(state: AgentState, event: UpstreamFailed) -> Step:
    """Retry or complete a request to which the upstream gave no complete answer."""
    request = state.admission.requests.get(event.request)
    if request is None:
        return state, []
    fields = {**get_log_fields(request), "sent": event.sent, "reason": event.reason}
    log_entry = WriteLog(event=LogEvent.UPSTREAM_CALL_FAILED, fields=fields)
    state, effects = _record_failure(state, event.now)
    effects.append(log_entry)
    state, more = _retry_or_complete(state, request, event)
    effects += more
    state, more = start_queued_requests(state, event.now, event.seed)
    return state, effects + more


def _retry_or_complete(
    state: AgentState, request: Request, event: UpstreamFailed
) -> Step:
    repeatable = request.request_class.repeatable or not event.sent
    allowed = (
        repeatable
        and request.body_complete
        and not (request.retried or request.answer_started)
    )
    if allowed and state.drain is None and event.now < request.expires_at:
        admission, taken = take_retry(state.admission)
        state = set_admission(state, admission)
        if taken:
            return _queue_retry(state, request, event)
    admission = drop_request(state.admission, request, event.now, aborted=event.sent)
    state = set_admission(state, admission)
    if not event.sent:
        reason = "the upstream could not be reached"
        return complete_without_answer(state, request, reason, event.now, event.seed)
    reason = "the upstream gave no whole answer"
    return complete_unknown(state, request, STATUS_BAD_GATEWAY, reason)


def _queue_retry(state: AgentState, request: Request, event: UpstreamFailed) -> Step:
    """Queue a request for a retry; its aborted attempt keeps the slot for a while."""
    admission = drop_request(state.admission, request, event.now, aborted=event.sent)
    sent = request.sent or event.sent
    retry = evolve(request, retried=True, sent=sent, phase=RequestPhase.QUEUED)
    state = set_admission(state, queue_request(admission, retry))
    return state, [log_request(LogEvent.REQUEST_RETRIED, request)]


def _record_failure(state: AgentState, now: float) -> Step:
    before = state.admission.breaker.state
    state = set_admission(state, record_failure(state.admission, now))
    if state.admission.breaker.state == before:
        return state, []
    fields = {"failures": state.admission.breaker.failures}
    return state, [WriteLog(event=LogEvent.BREAKER_OPENED, fields=fields)]


def _record_success(state: AgentState) -> Step:
    settings = state.admission.settings
    breaker_was_open = state.admission.breaker.failures >= settings.breaker_failures
    state = set_admission(state, record_success(state.admission))
    if not breaker_was_open:
        return state, []
    return state, [WriteLog(event=LogEvent.BREAKER_CLOSED, fields={})]
