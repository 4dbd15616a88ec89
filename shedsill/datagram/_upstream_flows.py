"""The flows of an agent's upstream after a restart: verification and resets."""

from __future__ import annotations

import math

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _slots
from shedsill.datagram._agent_state import AgentFlow, AgentState, Phase
from shedsill.datagram._effects import Effect, ResetFlow, SendToUpstream

MAX_PROBES = 3
"""Packets sent to find out whether the upstream holds a flow; it ignores them if it
does, and one may be lost."""


def verify_open_flows(state: AgentState) -> list[Effect]:
    """Find out which open flows the upstream holds.

    The current boot ignores the copy of a flow's packet if it holds the flow, and
    bounces it otherwise, so that the flow is reset at once.  A heartbeat alone does not
    show that a flow has ended: it may be delayed, or overtaken by one of another boot.
    """
    for flow in state.flows.values():
        if flow.phase == Phase.OPEN and not flow.closed and flow.probe_packet:
            flow.probes_left = MAX_PROBES
    return send_probes(state)


def send_probes(state: AgentState) -> list[Effect]:
    """Send the packets that show whether the upstream holds unverified flows."""
    effects: list[Effect] = []
    for flow in state.flows.values():
        if flow.probes_left and flow.probe_packet is not None:
            flow.probes_left -= 1
            effects.append(SendToUpstream(flow.probe_packet, flow.balancer))
    return effects


def _was_taken_after(flow: AgentFlow, since: float) -> bool:
    return flow.taken_at is not None and flow.taken_at > since


def reset_flows(
    state: AgentState,
    reason: str,
    now: float,
    *,
    taken_until: float = math.inf,
    include_unverified: bool = True,
) -> list[Effect]:
    """Reset the open flows of a boot of the upstream that has ended.

    Parameters
    ----------
    taken_until : float
        When the ended boot was last known to be alive.  Flows taken later may be of
        the next boot and are kept; it bounces packets of flows that it does not hold.
    include_unverified : bool
        Whether flows that are half open or being verified are reset, too.
    """
    effects: list[Effect] = []
    for key, flow in list(state.flows.items()):
        is_verified = flow.phase == Phase.OPEN and not flow.probes_left
        if _was_taken_after(flow, taken_until) or not (
            include_unverified or is_verified
        ):
            continue
        if flow.phase == Phase.OPEN and not flow.closed:
            effects.append(ResetFlow(key, flow.caller_ack))
        del state.flows[key]
    fields = {
        "flows": len(effects),
        "reason": reason,
        "boot": state.report.boot,
        "previous": state.report.previous_boot,
        "kept": len(state.flows),
    }
    state.trial_flows.clear()
    log_entry = WriteLog(event=LogEvent.FLOWS_FREED, fields=fields)
    return [*effects, log_entry, *_slots.drop_orphaned_requests(state, now)]
