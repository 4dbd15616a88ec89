"""The reducer, which dispatches every event of a process to its handler.

It is a pure function: it uses no clock, random source, socket or store.
"""

from __future__ import annotations

from typing import TypeVar

from attrs import evolve

from shedsill.coordination.propagation import record_pull_failure
from shedsill.errors import InvariantError
from shedsill.http3 import _agent, _balancer, _drain, _requests
from shedsill.http3._agent_state import AgentState
from shedsill.http3._balancer import BalancerState
from shedsill.http3._effects import Effect
from shedsill.http3._events import (
    CallerDatagram,
    ConfigurationOffered,
    Event,
    FlowClosed,
    FlowOpened,
    FrameReceived,
    HandoverDone,
    HandoverReceived,
    PeerAnswered,
    PeerFailed,
    PlatformAnswered,
    PullFailed,
    RequestArrived,
    RequestCancelled,
    StopRequested,
    Tick,
    UpstreamAnswered,
    UpstreamAnswerStarted,
    UpstreamFailed,
    UpstreamLoadRead,
)
from shedsill.http3._node import (
    decode_configuration_answer,
    request_first_configuration,
)
from shedsill.http3._platform_purposes import Purpose
from shedsill.http3._status import record_status_outcome

State = TypeVar("State", AgentState, BalancerState)


def reduce(state: State, event: Event) -> tuple[State, list[Effect]]:
    """Return the next state and the effects to execute.

    Parameters
    ----------
    state : AgentState or BalancerState
    event : Event

    Raises
    ------
    InvariantError
        If a node of this role cannot receive the event.
    """
    match event:
        case Tick():
            node, effects = request_first_configuration(state.node, event.now)
            state, more = _handle_tick(evolve(state, node=node), event)
            return state, effects + more
        case PlatformAnswered(purpose=Purpose.CONFIGURATION):
            configuration = decode_configuration_answer(event)
            if configuration is None:
                return state, []
            offered = ConfigurationOffered(configuration=configuration, now=event.now)
            return reduce(state, offered)
        case PullFailed():
            node = evolve(
                state.node, propagation=record_pull_failure(state.node.propagation)
            )
            return evolve(state, node=node), []
    match state:
        case BalancerState():
            return _reduce_balancer(state, event)
        case AgentState():
            return _reduce_agent(state, event)


def _handle_tick(state: State, event: Tick) -> tuple[State, list[Effect]]:
    match state:
        case BalancerState():
            return _balancer.handle_tick(state, event)
        case AgentState():
            return _agent.handle_tick(state, event)


def _reduce_balancer(
    state: BalancerState, event: Event
) -> tuple[BalancerState, list[Effect]]:
    match event:
        case CallerDatagram():
            return _balancer.handle_datagram(state, event)
        case FrameReceived():
            return _balancer.handle_frame(state, event)
        case ConfigurationOffered():
            return _balancer.handle_configuration(state, event)
        case PlatformAnswered():
            return _balancer.handle_platform_answer(state, event)
        case StopRequested():
            return _balancer.handle_stop(state, event)
        case _:
            raise InvariantError(f"balancer received {type(event).__name__}")


def _reduce_agent(state: AgentState, event: Event) -> tuple[AgentState, list[Effect]]:
    match event:
        case FrameReceived():
            return _agent.handle_frame(state, event)
        case FlowOpened():
            return _agent.handle_flow_opened(state, event)
        case FlowClosed():
            return _agent.handle_flow_closed(state, event)
        case RequestArrived():
            return _requests.handle_request(state, event)
        case RequestCancelled():
            return _requests.handle_cancellation(state, event)
        case UpstreamAnswerStarted():
            return _requests.handle_answer_started(state, event)
        case UpstreamAnswered():
            return _requests.handle_upstream_answer(state, event)
        case UpstreamFailed():
            return _requests.handle_upstream_failure(state, event)
        case PeerAnswered():
            return _requests.handle_peer_answer(state, event)
        case PeerFailed():
            return _requests.handle_peer_failure(state, event)
        case UpstreamLoadRead():
            return _agent.handle_upstream_load(state, event)
        case ConfigurationOffered():
            return _agent.handle_configuration(state, event)
        case HandoverReceived():
            return _agent.handle_handover(state, event)
        case HandoverDone():
            return _drain.handle_handover_result(state, event)
        case PlatformAnswered():
            return evolve(
                state, status_writer=record_status_outcome(state.status_writer, event)
            ), []
        case StopRequested():
            return _agent.handle_stop(state, event)
        case _:
            raise InvariantError(f"agent received {type(event).__name__}")
