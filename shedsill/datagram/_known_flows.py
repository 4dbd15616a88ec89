"""Which flows of its upstream an agent knows, by what shows when the boot began.

An agent knows every flow of a boot that began after the agent itself, since all packets
pass through it.  A heartbeat alone does not show when a boot began, nor that it is the
current one: a heartbeat may arrive after its sender has ended and another boot has
registered.  These facts show it:

- the start that the boot tells is after the agent's own, by the clock of their VM, and
  the boot is not one that was current before the agent started: the clock may have been
  set back in between;
- the port of the upstream has refused a connection since the agent's start;
- the agent runs since the first start of the system, or for longer than any flow lasts.

If the store was available at the agent's start, the stored report of its earlier
incarnation names the boot that was current when it was written.  That incarnation may
have served a later boot without storing it: in an outage, or until the write took
effect.  Such a boot has called before.  So a boot that is not among the stored ones,
and whose first call came to this agent, holds no flow of an earlier incarnation but
those that it accepted shortly before that call.  If the VM has restarted since that
report was written, all earlier flows have ended with it, and the calls before the first
one that is heard found no agent.  Otherwise only the upstream's answer to a packet
shows whether it holds a flow.
"""

from __future__ import annotations

import math

from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._boots import (
    has_started_within,
    is_earlier_boot,
    list_previous_boots,
    may_be_same_boot,
    split_boot,
)
from shedsill.datagram._messages import NodeReport

FIRST_SERIAL = 1
"""Serial of the first heartbeat of an upstream's boot."""

MAX_FAILED_CALLS = 8
"""Calls of a boot that may find no agent on a VM that has restarted: an upstream calls
again after 0.03 s and then less often, and an agent starts within 0.6 s."""

MAX_CLOCK_STEP_SECONDS = 60.0
"""Change of the VM's start, by its clocks, beyond which the VM has restarted; a clock
that is corrected steps by seconds."""

MAX_START_LEAD_SECONDS = 1.5
"""Time before the agent's start up to which a boot began with this agent or while that
was away: an agent starts within 1.4 s on a VM whose power is back.  The first call of
an older boot is late."""


def is_complete(state: AgentState) -> bool:
    """Whether every flow that the upstream holds is known."""
    return state.knows_all_flows and not state.may_hold_recent


def describe_known_flows(state: AgentState) -> dict[str, bool]:
    """Return the fields of log entries that tell what a denial would rest on."""
    return {"complete": is_complete(state), "by_report": state.may_hold_recent}


def record_all_flows_known(state: AgentState) -> None:
    """Record that every flow that the upstream holds is known from now on."""
    state.knows_all_flows = True
    state.may_hold_recent = False


def update_known_flows(state: AgentState, unix_ms: int = 0) -> None:
    """Update which flows are known after a change of the current or the stored boot.

    Parameters
    ----------
    unix_ms : int
        Unix time in milliseconds at which the current boot was accepted; 0 if it was
        not just accepted.  A start after it shows that the clock was set back.
    """
    boot = state.report.boot
    if boot and may_be_same_boot(boot, state.earlier_boot):
        if has_started_within(boot, state.started_ms, math.inf):
            # The clock was set back before the agent started.
            state.knows_all_flows = state.may_hold_recent = False
    elif has_started_within(boot, state.started_ms, unix_ms):
        record_all_flows_known(state)
    if not is_complete(state):
        is_later = _follows_stored_boot(state) or _have_flows_ended_with_vm(state)
        state.knows_all_flows = state.may_hold_recent = is_later


def _have_flows_ended_with_vm(state: AgentState) -> bool:
    """Whether a boot heard before any has shown that it runs is one of a restarted VM.

    All earlier flows have ended then, whichever boot runs.
    """
    if state.report.boot or not state.vm_restarted:
        return False
    refused = state.refused_serials.items()
    return any(not may_be_old_boot(state, boot, serial) for boot, serial in refused)


def _follows_stored_boot(state: AgentState) -> bool:
    """Whether the current boot came after the one that was read at the start."""
    boot, stored = state.report.boot, state.earlier_boot
    if not boot or not stored or may_be_same_boot(boot, stored):
        return False
    is_doubtful = state.boot_may_be_old or state.earlier_boot_heard
    return not is_doubtful and not is_earlier_boot(boot, stored)


def record_heartbeat_of_earlier_boot(state: AgentState, boot: str) -> None:
    """Record an ignored heartbeat: if it is of the stored boot, that may be alive.

    Either boot may be the current one then, unless the order of their starts is known.
    """
    if not may_be_same_boot(boot, state.earlier_boot):
        return
    if not is_earlier_boot(boot, state.report.boot):
        state.earlier_boot_heard = True
        update_known_flows(state)


def may_be_old_boot(state: AgentState, boot: str, serial: int) -> bool:
    """Whether an earlier incarnation may have served a boot that is heard now.

    It was the current one before by what this agent has heard or read, or it has called
    before, so that it may have been, without being stored.
    """
    report = state.report
    known = (*list_previous_boots(report), *state.superseded_boots)
    if boot in known or may_be_same_boot(boot, state.earlier_boot):
        return True
    start_ms = split_boot(boot)[1]
    if start_ms and state.started_ms:
        lead_ms = state.started_ms - start_ms
        if lead_ms > MAX_START_LEAD_SECONDS * 1000:
            return True
    if state.vm_restarted and serial <= MAX_FAILED_CALLS + 1:
        return False
    return not state.first_heartbeat_received


def record_vm_start(state: AgentState, earlier: NodeReport) -> None:
    """Record whether the VM has restarted since a stored report was written."""
    starts = (earlier.vm_started_ms, state.report.vm_started_ms)
    change_ms = abs(starts[1] - starts[0]) if all(starts) else 0
    state.vm_restarted = change_ms > MAX_CLOCK_STEP_SECONDS * 1000
    boot = state.report.boot
    if state.vm_restarted and boot:
        state.boot_may_be_old = may_be_old_boot(state, boot, state.heartbeat_serial)
