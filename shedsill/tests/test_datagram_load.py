"""How balancers learn that an upstream has become busier or freer."""

from __future__ import annotations

import pytest

from shedsill.datagram import _agent, _balancer
from shedsill.datagram._agent_state import (
    LOAD_NEWS,
    AgentState,
    change_busy,
    note_balancer,
    tell_load,
)
from shedsill.datagram._balancer_state import BalancerState
from shedsill.datagram._effects import SendMessage
from shedsill.datagram._events import MessageReceived, Tick
from shedsill.datagram._messages import (
    Load,
    LoadChanged,
    NodeReport,
    Role,
    decode_message,
    encode_message,
)
from shedsill.datagram._nodes import merge_report
from shedsill.datagram._selection import choose_upstream
from shedsill.testing.agents import make_agent_report, make_agent_state

SLOTS = 2
NEAR, FAR = "10.0.0.1", "10.0.0.2"


@pytest.fixture
def agent() -> AgentState:
    """An agent that two balancers have spoken with."""
    state = make_agent_state(slots=SLOTS)
    _agent.start(state, 1.0)
    for host in (NEAR, FAR):
        note_balancer(state, host, 1.0)
    return state


def list_told(agent: AgentState, now: float) -> dict[str, int]:
    """Return what a tick tells each balancer of the busy requests."""
    effects = _agent.take_tick(agent, Tick(now=now))
    return {
        e.host: e.message.load.busy
        for e in effects
        if isinstance(e, SendMessage) and isinstance(e.message, LoadChanged)
    }


def test_a_queue_that_has_gone_is_told_to_those_that_knew_of_it(
    agent: AgentState,
) -> None:
    """Found after power losses: balancers placed nothing at upstreams that were free
    for half a second, since they heard of the load only with what they placed."""
    change_busy(agent, 20, 1.1)
    tell_load(agent, NEAR, 1.1)
    change_busy(agent, -20, 1.5)
    assert list_told(agent, 1.5) == {NEAR: 0}


def test_a_queue_that_others_have_filled_is_told(agent: AgentState) -> None:
    change_busy(agent, 20, 1.1)
    tell_load(agent, NEAR, 1.1)
    assert list_told(agent, 1.1) == {FAR: 20}


def test_a_small_change_is_not_told(agent: AgentState) -> None:
    change_busy(agent, int(LOAD_NEWS * SLOTS) - 1, 1.1)
    assert list_told(agent, 1.1) == {}


def test_news_is_told_once(agent: AgentState) -> None:
    change_busy(agent, 20, 1.1)
    assert list_told(agent, 1.1) == {NEAR: 20, FAR: 20}
    assert list_told(agent, 1.14) == {}


def test_a_balancer_places_flows_where_the_queue_has_gone() -> None:
    report = NodeReport(host=NEAR, role=Role.BALANCER, zone="z", incarnation=1)
    state = BalancerState(report=report, seeds=(), flow_lifetime=60.0, stop_limit=5.0)
    hosts = ("10.1.0.1", "10.1.0.2")
    for host in hosts:
        load = Load(busy=20, average=20.0, slots=SLOTS)
        upstream = make_agent_report(host, load=load)
        merge_report(state.nodes, upstream, 1.0, direct=True)
    news = LoadChanged(boot="i-1", load=Load(busy=0, average=4.0, slots=SLOTS))
    message = decode_message(encode_message(news))
    event = MessageReceived(message=message, source=hosts[1], now=1.1)
    assert _balancer.take_message(state, event, None) == []
    chosen = choose_upstream(
        state.nodes.list_service("dispatcher"),
        zone="z",
        bulk=False,
        without=(),
        flow=b"f",
        now=1.1,
    )
    assert chosen is not None and chosen.report.host == hosts[1]
