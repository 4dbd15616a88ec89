"""Placement of new flows by an agent."""

from __future__ import annotations

import immutables
import pytest
from attrs import evolve

from shedsill._addresses import Address
from shedsill.http3._agent_state import AgentState, DrainProgress, PlacementDecision
from shedsill.http3._effects import Deliver, RefuseFlow, Send
from shedsill.http3._events import ConfigurationOffered, FrameReceived
from shedsill.http3._frames import ToUpstream
from shedsill.http3._node import Node
from shedsill.http3._reducer import reduce
from shedsill.tests.test_routing import CONFIGURATION, KEYS, make_initial

CID = b"12345678"
BALANCER = Address("10.0.9.1", 7000)


def make_agent() -> AgentState:
    """Return the agent of upstream 1 (d1) with a configuration."""
    node = Node(
        name="d1", address=Address("10.1.0.1", 7000), balancer=False, incarnation=1
    )
    state = AgentState(
        node=node, keys=KEYS, upstream_name="d1", service_name="dispatcher"
    )
    offered = ConfigurationOffered(configuration=CONFIGURATION, now=1.0)
    return reduce(state, offered)[0]


def handle_initial(state: AgentState, *, passed: bool) -> list[type]:
    """Have the agent handle an Initial packet; return the classes of its effects."""
    frame = ToUpstream(
        generation=1,
        service=1,
        upstream=1,
        caller=Address("10.9.0.1", 5),
        datagram=make_initial(CID),
        reply_to=BALANCER if passed else None,
    )
    event = FrameReceived(frame=frame, source=BALANCER, now=2.0)
    _state, effects = reduce(state, event)
    flow_effects = (Deliver, RefuseFlow, Send)
    return [type(effect) for effect in effects if isinstance(effect, flow_effects)]


@pytest.mark.parametrize(
    ("passed", "draining", "effect"),
    [
        (False, False, Send),
        (True, False, Deliver),
        (False, True, Send),
        (True, True, RefuseFlow),
    ],
)
def test_forwarded_flow_is_not_forwarded_again(
    passed: bool, draining: bool, effect: type
) -> None:
    """Guards against two agents that forward a flow to each other forever."""
    decisions = immutables.Map({CID: PlacementDecision(upstream=2, decided_at=1.9)})
    state = evolve(make_agent(), decisions=decisions)
    if draining:
        state = evolve(state, drain=DrainProgress(started_at=1.0))
    assert handle_initial(state, passed=passed) == [effect]
