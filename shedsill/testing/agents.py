"""Initial states of datagram agents for unit tests."""

from __future__ import annotations

from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._messages import Load, NodeReport, Role, UpstreamState

__all__ = ["make_agent_report", "make_agent_state"]


def make_agent_report(
    host: str = "10.1.0.1", *, service: str = "dispatcher", load: Load | None = None
) -> NodeReport:
    """Return the report of an agent whose upstream is ready."""
    return NodeReport(
        host=host,
        role=Role.AGENT,
        zone="z",
        incarnation=1,
        service=service,
        boot="i-1",
        state=UpstreamState.READY,
        load=load or Load(),
    )


def make_agent_state(*, slots: int) -> AgentState:
    """Return the state of an agent that knows its upstream has no flows."""
    return AgentState(
        report=make_agent_report(load=Load(slots=slots)),
        seeds=(),
        flow_lifetime=60.0,
        stop_limit=5.0,
        knows_all_flows=True,
    )
