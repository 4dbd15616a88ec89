"""Completion of requests: the final answer, and the outcome record of the ticket.

The outcome is ``not-run`` only if no byte was sent to the upstream or the upstream
reported that it shed the request.  If bytes were sent and no complete answer was
received, the outcome is unknown.
"""

from __future__ import annotations

from typing import Any

from attrs import evolve

from shedsill._catalogue import LogEvent
from shedsill.http3._admission import (
    Admission,
    Request,
    drop_request,
    get_retry_after,
)
from shedsill.http3._agent_state import AgentState
from shedsill.http3._answers import RecordedAnswer, RequestOutcome
from shedsill.http3._effects import (
    Effect,
    RefuseRequest,
    ResetAnswerStream,
    SendAnswer,
    WriteLog,
)
from shedsill.http3._events import (
    RequestArrived,
)
from shedsill.http3._outcomes import (
    MAX_RECORDED_BODY_BYTES,
    Done,
    MayHaveRun,
    Record,
    Refused,
    Running,
    find_record,
    put_record,
)

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_TOO_LARGE = 413
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504

Step = tuple[AgentState, list[Effect]]


def complete_relayed(state: AgentState, request: Request) -> Step:
    """Complete a request whose answer was relayed and is too long to record."""
    waiters = get_waiters(state, request)
    state = record_unknown(state, request)
    effects: list[Effect] = [log_request(LogEvent.REQUEST_DONE, request)]
    for number in waiters:
        state, waiter = remove_request(state, number)
        if waiter is not None:
            reason = "the request ran; its answer was too long to be kept"
            effects.append(build_unknown_answer(waiter, STATUS_CONFLICT, reason))
    return state, effects


def complete_with_answer(
    state: AgentState, request: Request, answer: RecordedAnswer
) -> Step:
    """Send the answer to the caller of a request and to those of its repeats."""
    waiters = get_waiters(state, request)
    record = find_request_record(state, request)
    if record is not None:
        fits = len(answer.body) <= MAX_RECORDED_BODY_BYTES
        final = (
            Done(
                fingerprint=record.fingerprint,
                expires_at=record.expires_at,
                answer=answer,
            )
            if fits
            else MayHaveRun(
                fingerprint=record.fingerprint, expires_at=record.expires_at
            )
        )
        state = put_request_record(state, request, final)
    effects: list[Effect] = [log_request(LogEvent.REQUEST_DONE, request)]
    for number in (request.number, *waiters):
        state, waiter = remove_request(state, number)
        ticket = waiter.ticket if waiter else request.ticket
        effects.append(SendAnswer(request=number, answer=answer, ticket=ticket))
    return state, effects


def complete_without_answer(
    state: AgentState, request: Request, reason: str, now: float, seed: int
) -> Step:
    """Refuse a request; its outcome is not-run unless bytes of it were sent."""
    if request.sent:
        state = set_admission(state, drop_request(state.admission, request, now))
        return complete_unknown(state, request, STATUS_BAD_GATEWAY, reason)
    retry_after = get_retry_after(state.admission, now, seed)
    state = set_admission(state, drop_request(state.admission, request, now))
    waiters = get_waiters(state, request)
    state = record_refusal(state, request)
    effects: list[Effect] = []
    for number in (request.number, *waiters):
        state, waiter = remove_request(state, number)
        refused = waiter or evolve(request, number=number)
        fields = {**get_log_fields(refused), "reason": reason}
        effects.append(WriteLog(event=LogEvent.REQUEST_REFUSED, fields=fields))
        effects.append(
            RefuseRequest(
                request=number,
                status=STATUS_UNAVAILABLE,
                outcome=RequestOutcome.NOT_RUN,
                reason=reason,
                ticket=refused.ticket,
                retry_after=retry_after,
            )
        )
    return state, effects


def complete_unknown(
    state: AgentState, request: Request, status: int, reason: str
) -> Step:
    """Report an unknown outcome to the callers of a request and of its repeats."""
    waiters = get_waiters(state, request)
    state = record_unknown(state, request)
    if request.answer_started:
        effects: list[Effect] = [
            log_request(LogEvent.ANSWER_CUT, request),
            ResetAnswerStream(request=request.number),
        ]
    else:
        effects = [
            log_request(LogEvent.REQUEST_UNKNOWN, request),
            build_unknown_answer(request, status, reason),
        ]
    for number in waiters:
        state, waiter = remove_request(state, number)
        if waiter is not None:
            effects.append(build_unknown_answer(waiter, status, reason))
    return state, effects


def get_waiters(state: AgentState, request: Request) -> tuple[int, ...]:
    """Return the numbers of the repeats that wait for the same outcome."""
    record = find_request_record(state, request)
    return record.waiters if isinstance(record, Running) else ()


def remove_request(state: AgentState, number: int) -> tuple[AgentState, Request | None]:
    """Remove a request and return it, or None if there is none."""
    request = state.admission.requests.get(number)
    if request is None:
        return state, None
    return set_admission(state, drop_request(state.admission, request, 0.0)), request


def find_request_record(state: AgentState, request: Request) -> Record | None:
    """Return the record of a request's ticket, or None if there is none."""
    if request.issuer is None:
        return None
    return find_record(state.outcomes, request.issuer, request.ticket_number)


def put_request_record(
    state: AgentState, request: Request, record: Record
) -> AgentState:
    """Replace the record of a request's ticket."""
    assert request.issuer is not None
    outcomes = put_record(state.outcomes, request.issuer, request.ticket_number, record)
    return evolve(state, outcomes=outcomes)


def record_refusal(state: AgentState, request: Request) -> AgentState:
    """Record that a request did not run and is never run."""
    record = find_request_record(state, request)
    if record is None:
        return state
    refused = Refused(fingerprint=record.fingerprint, expires_at=record.expires_at)
    return put_request_record(state, request, refused)


def record_unknown(state: AgentState, request: Request) -> AgentState:
    """Record that a request may have run."""
    record = find_request_record(state, request)
    if record is None:
        return state
    unknown = MayHaveRun(fingerprint=record.fingerprint, expires_at=record.expires_at)
    return put_request_record(state, request, unknown)


def set_admission(state: AgentState, admission: Admission) -> AgentState:
    """Return the state with another admission."""
    return evolve(state, admission=admission)


def build_refusal(
    state: AgentState,
    request: Request,
    status: int,
    reason: str,
    event: RequestArrived | None = None,
) -> RefuseRequest:
    """Return the effect that refuses a request that did not run."""
    retry_after = 0
    if event is not None:
        retry_after = get_retry_after(state.admission, event.now, event.seed)
    return RefuseRequest(
        request=request.number,
        status=status,
        outcome=RequestOutcome.NOT_RUN,
        reason=reason,
        ticket=request.ticket,
        retry_after=retry_after,
    )


def build_unknown_answer(request: Request, status: int, reason: str) -> RefuseRequest:
    """Return the effect that answers a request that may have run."""
    return RefuseRequest(
        request=request.number,
        status=status,
        outcome=RequestOutcome.UNKNOWN,
        reason=reason,
        ticket=request.ticket,
    )


def get_log_fields(request: Request) -> dict[str, Any]:
    """Return the log fields that identify a request."""
    return {"request": request.number, "class": request.request_class.name}


def log_request(event: LogEvent, request: Request) -> WriteLog:
    """Return the effect that logs an event of a request."""
    return WriteLog(event=event, fields=get_log_fields(request))
