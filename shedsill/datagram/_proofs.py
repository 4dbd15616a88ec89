"""Proof that a boot of the upstream runs, which a restarted agent asks for.

A heartbeat may arrive after its sender has ended, or after a later one of its sender.
An agent that has heard none since its start has nothing to compare it with.  It refuses
the first heartbeat of a boot: an upstream that runs calls again when a call fails.
"""

from __future__ import annotations

import math

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram._agent_state import AgentState, list_active_balancers
from shedsill.datagram._boots import has_started_within
from shedsill.datagram._effects import Effect, SendMessage
from shedsill.datagram._events import Heartbeat, HeartbeatReceived
from shedsill.datagram._known_flows import FIRST_SERIAL, update_known_flows
from shedsill.datagram._messages import BootHeard, UpstreamState


def is_proven(state: AgentState, event: HeartbeatReceived) -> bool:
    """Whether the sender of a heartbeat has shown that it runs.

    It has if it started after this agent, or has called again since it was refused.
    """
    heartbeat = event.heartbeat
    if not state.proof_needed or state.report.boot:
        return True
    if has_started_within(heartbeat.boot, state.started_ms, event.unix_ms):
        return True
    return has_called_again(state, heartbeat)


def has_called_again(state: AgentState, heartbeat: Heartbeat) -> bool:
    """Whether the sender of a heartbeat has called again since it was refused."""
    return heartbeat.serial > state.refused_serials.get(heartbeat.boot, math.inf)


def is_first_call_heard(state: AgentState, heartbeat: Heartbeat) -> bool:
    """Whether the first call of a heartbeat's boot came to this agent.

    A gap after the first heartbeat shows that this was late: the boot has called before
    it was heard here.
    """
    if heartbeat.serial == FIRST_SERIAL:
        return True
    refused_serial = state.refused_serials.get(heartbeat.boot)
    return refused_serial == FIRST_SERIAL == heartbeat.serial - 1


def refuse_unproven(state: AgentState, event: HeartbeatReceived) -> list[Effect]:
    """Refuse a heartbeat until its sender calls again.

    Flows of other boots are verified by the upstream meanwhile.  An announced end is
    final for a boot, whenever it was announced.
    """
    heartbeat = event.heartbeat
    boot, serial = heartbeat.boot, heartbeat.serial
    state.refused_serials[boot] = max(state.refused_serials.get(boot, 0), serial)
    if heartbeat.state == UpstreamState.DRAINING:
        state.draining_boots.add(boot)
    update_known_flows(state)
    fields = {"boot": boot, "serial": serial, "says": heartbeat.state.value}
    return [
        WriteLog(event=LogEvent.HEARTBEAT_UNPROVEN, fields=fields),
        *(
            SendMessage(host, _build_message(state, boot))
            for host in list_active_balancers(state, event.now)
        ),
    ]


def report_unproven(state: AgentState, balancer: str) -> list[Effect]:
    """Tell a balancer which boots were heard, while none has shown that it runs."""
    if state.report.boot:
        return []
    return [
        SendMessage(balancer, _build_message(state, boot))
        for boot in state.refused_serials
    ]


def _build_message(state: AgentState, boot: str) -> BootHeard:
    return BootHeard(
        boot=boot,
        incarnation=state.report.incarnation,
        earlier_boot=state.earlier_boot,
        earlier_serial=state.earlier_serial,
    )
