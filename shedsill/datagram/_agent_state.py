"""State of an agent and the announcements of its report."""

from __future__ import annotations

import enum

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram._backlog import Backlog
from shedsill.datagram._effects import (
    Effect,
    RemoveReport,
    SendMessage,
    StoreReport,
)
from shedsill.datagram._health import Health, get_avoidance_left
from shedsill.datagram._messages import (
    Announcement,
    FlowDenied,
    Load,
    NodeReport,
    PacketReturned,
    ReturnReason,
    UpstreamState,
    remove_stored_fields,
)
from shedsill.datagram._packet import RST, Packet, is_syn

BOOT_SILENCE_SECONDS = 3.0
"""Time without a heartbeat of the current boot after which a later heartbeat of another
boot is accepted: two and a half heartbeat intervals of 1.2 s."""

AVERAGE_BUSY_SECONDS = 1.0
"""Time constant of the moving average of busy requests."""

RECENT_BALANCER_SECONDS = 10.0
"""A balancer gets announcements for this long after its last packet or message."""

ANNOUNCEMENT_REPEATS_SECONDS = (0.3, 0.9, 2.1, 4.5)
"""Delays after an agent's first announcement at which it is repeated, until a balancer
sends a packet or message: datagrams may be lost, and the store may be unavailable."""


class Phase(enum.Enum):
    """State of a flow at this upstream."""

    HALF_OPEN = "half open"
    OPEN = "open"


class AgentFlow(Struct):
    """A flow that this upstream holds or was offered.

    Attributes
    ----------
    syn_seq : int or None
        The caller's initial sequence number; None if its SYN is not known.
    initial_seq : int or None
        The upstream's initial sequence number; None until it has answered.
    taken_at : float or None
        When the upstream first answered on the flow.
    caller_ack : int
        Acknowledgement number of the caller's last packet.
    caller_next_seq : int or None
        Sequence number that follows the last content sent to the upstream; None if
        there was none.
    pending : bool
        Whether a request has arrived whose answer has not begun.
    running : bool
        Whether that request was sent to the upstream.
    probe_packet : Packet or None
        Smallest packet of the open flow that was sent to the upstream; sent again to
        find out whether the upstream still holds the flow.
    probes_left : int
        How often that is to be repeated while the upstream sends no packet.
    closed : bool
        Whether one end has closed the flow.
    syn_copy_delay : float
        Seconds between the caller's first SYN and the one that arrived; added to
        the age of the flow's first request.
    balancer : str
        Host of the balancer that sent the last packet.
    """

    phase: Phase
    last_packet_at: float
    balancer: str
    syn_seq: int | None = None
    initial_seq: int | None = None
    taken_at: float | None = None
    caller_ack: int = 0
    caller_next_seq: int | None = None
    pending: bool = False
    running: bool = False
    request_received_at: float = 0.0
    request_sent_at: float = 0.0
    syn_copy_delay: float = 0.0
    probe_packet: Packet | None = None
    probes_left: int = 0
    closed: bool = False


class AgentState(Struct):
    """State of an agent.

    Attributes
    ----------
    report : NodeReport
        The agent's report of itself and of its upstream.
    knows_all_flows : bool
        Whether `flows` has every flow of the upstream; false while flows from
        before the agent's start may remain.
    balancers : dict of str to float
        When the last packet or message of each balancer arrived.
    busy : int
        Requests that have arrived and are not answered.
    running : int
        Busy requests that were sent to the upstream.
    backlog : Backlog
        Busy requests that are queued.
    earlier_boot : str
        The upstream's boot in the latest known report of an earlier incarnation of this
        agent, from the store or a balancer; empty if unknown.
    earlier_serial : int
        Serial of the heartbeat that this report rests on.
    earlier_report_read : bool
        Whether the stored one was read.
    vm_restarted : bool
        Whether the VM has restarted since the report that was stored at this agent's
        start was written.
    health : Health
        Health of the upstream, estimated from its answers.
    first_announced_at : float or None
        When this agent first announced its report.
    announcement_repeats : int
        How often that announcement was repeated.
    ended_boots : set of str
        Boots of the upstream that have certainly ended.
    proof_needed : bool
        Whether a boot has to show that it runs before a heartbeat of it is taken, while
        no boot is current; false only at the first start of the system.
    refused_serials : dict of str to int
        Boots that were refused since they have not shown that, with the highest serial
        of their heartbeats.
    superseded_boots : dict of str to int
        Boots after which the upstream sent heartbeats of another one, with the serial
        of their last heartbeat, or 0 if unknown.
    draining_boots : set of str
        Boots that have announced their end; it is final for a boot.
    heartbeat_serial : int
        Serial of the current boot's last heartbeat.
    last_heartbeat_at : float
        When it arrived.
    heartbeat_silence_started_at : float
        `last_heartbeat_at` plus the time for which this process did not run since.
    first_heartbeat_received : bool
        Whether the current boot's first heartbeat was received.
    boot_may_be_old : bool
        Whether the current boot was the current one before, here or at an earlier
        incarnation of this agent, or may have been without being stored.
    earlier_boot_heard : bool
        Whether the stored boot has sent a heartbeat since the current one was accepted,
        so that either may be alive.
    may_hold_recent : bool
        Whether `knows_all_flows` rests on the stored report alone, so that the current
        boot may have begun shortly before this agent's start.
    started_ms : int
        Unix time of this agent's start in milliseconds, by the clock that tells the
        starts of boots; 0 if unknown.
    cold_until : float
        When the upstream reaches its full speed after its start.
    refused_until : float
        Until when new flows are returned, after the upstream has refused one.
    unanswered_since : float or None
        When the first packet since the upstream's last one was sent to it.
    check_started_at : float
        When the last check of the upstream's port was started.
    trial_flows : dict of bytes to str
        Unknown flows of which a packet was sent to the upstream, with the balancer
        that forwarded each.
    upstream_leaving : bool
        Whether the upstream has announced the end of its current boot.
    """

    report: NodeReport
    seeds: tuple[str, ...]
    flow_lifetime: float
    stop_limit: float
    knows_all_flows: bool = False
    flows: dict[bytes, AgentFlow] = field(default_factory=dict)
    trial_flows: dict[bytes, str] = field(default_factory=dict)
    balancers: dict[str, float] = field(default_factory=dict)
    first_announced_at: float | None = None
    announcement_repeats: int = 0
    ended_boots: set[str] = field(default_factory=set)
    proof_needed: bool = False
    refused_serials: dict[str, int] = field(default_factory=dict)
    superseded_boots: dict[str, int] = field(default_factory=dict)
    draining_boots: set[str] = field(default_factory=set)
    heartbeat_serial: int = 0
    last_heartbeat_at: float = 0.0
    heartbeat_silence_started_at: float = 0.0
    first_heartbeat_received: bool = False
    boot_may_be_old: bool = False
    earlier_boot_heard: bool = False
    may_hold_recent: bool = False
    started_ms: int = 0
    cold_until: float = 0.0
    busy: int = 0
    running: int = 0
    backlog: Backlog = field(default_factory=Backlog)
    average_busy: float = 0.0
    average_updated_at: float = 0.0
    earlier_boot: str = ""
    earlier_serial: int = 0
    earlier_report_read: bool = False
    vm_restarted: bool = False
    health: Health = field(default_factory=Health)
    refused_until: float = 0.0
    unanswered_since: float | None = None
    last_check_at: float = 0.0
    check_started_at: float = 0.0
    check_pending: bool = False
    started_at: float = 0.0
    last_tick_at: float | None = None
    next_sweep_at: float = 0.0
    stop_at: float | None = None
    upstream_leaving: bool = False


def can_accept_flows(state: AgentState, now: float) -> bool:
    """Whether the upstream may be offered new flows.

    It may be before its first heartbeat, if no previous incarnation of this agent has
    stored that the upstream is draining, and only for a limited time: it may have
    confirmed that without being able to store it.
    """
    if state.stop_at is not None:
        return False
    match state.report.state:
        case UpstreamState.READY:
            return True
        case UpstreamState.UNKNOWN:
            is_drain_known = state.earlier_report_read or state.knows_all_flows
            silence = now - state.heartbeat_silence_started_at
            return is_drain_known and silence < BOOT_SILENCE_SECONDS
    return False


def get_serving_state(state: AgentState) -> UpstreamState:
    """Return the state of an upstream that is known to be alive."""
    boot = state.report.boot or state.earlier_boot
    is_draining = boot in state.draining_boots
    return UpstreamState.DRAINING if is_draining else UpstreamState.READY


def build_load(state: AgentState, now: float) -> Load:
    """Return the upstream's current load."""
    update_average_busy(state, now)
    return Load(
        busy=state.busy,
        average=round(state.average_busy, 2),
        slots=state.report.load.slots,
        flows=len(state.flows),
        cold=round(max(state.cold_until - now, 0.0), 2),
        avoided=round(get_avoidance_left(state.health, now), 2),
    )


def update_average_busy(state: AgentState, now: float) -> None:
    """Update the moving average of busy requests."""
    share = min((now - state.average_updated_at) / AVERAGE_BUSY_SECONDS, 1.0)
    state.average_busy += (state.busy - state.average_busy) * share
    state.average_updated_at = now


def update_busy(state: AgentState, change: int, now: float) -> None:
    """Add `change` to the number of busy requests."""
    update_average_busy(state, now)
    state.busy = max(state.busy + change, 0)


def record_sent_packet(state: AgentState, now: float) -> None:
    """Record that a packet was sent to the upstream, which is expected to answer."""
    if state.unanswered_since is None:
        state.unanswered_since = now


def record_probe_packet(flow: AgentFlow, packet: Packet) -> None:
    """Keep a packet that was sent to the upstream if it is the flow's smallest one."""
    known = flow.probe_packet
    if known is None or len(packet.data) < len(known.data):
        flow.probe_packet = packet


def return_packet(
    state: AgentState,
    packet: Packet,
    balancer: str,
    reason: ReturnReason,
    now: float,
) -> list[Effect]:
    """Return a SYN to its balancer, or tell it that the packet's flow is denied."""
    if packet.flags & RST:
        return []
    load = build_load(state, now)
    boot = state.report.boot
    flow = state.flows.get(packet.flow)
    if is_syn(packet):
        message = PacketReturned(
            packet=packet.data, boot=boot, reason=reason, load=load
        )
    else:
        message = FlowDenied(flow=packet.flow, boot=boot, reason=reason, load=load)
    fields = {
        "flow": packet.flow,
        "reason": reason.value,
        "state": state.report.state.value,
        "held": len(state.backlog.requests),
        "balancer": balancer,
        "complete": state.knows_all_flows,
        "phase": flow.phase.value if flow else "",
        "copy": packet.copy,
    }
    return [
        SendMessage(balancer, message),
        WriteLog(event=LogEvent.PACKET_HANDED_BACK, fields=fields),
    ]


def update_upstream_state(
    state: AgentState, upstream_state: UpstreamState, now: float
) -> list[Effect]:
    """Set the state of the upstream and publish the report if it changed."""
    if state.report.state == upstream_state:
        return []
    state.report = replace(state.report, state=upstream_state)
    return publish_report(state, now)


def publish_report(state: AgentState, now: float) -> list[Effect]:
    """Send the changed report to the balancers and the store."""
    state.report = replace(
        state.report,
        serial=state.report.serial + 1,
        load=build_load(state, now),
        heartbeat_serial=state.heartbeat_serial,
    )
    report = state.report
    if state.first_announced_at is None:
        state.first_announced_at = now
    fields = {
        "boot": report.boot,
        "state": report.state.value,
        "slots": report.load.slots,
        "stopping": report.stopping,
        "serial": report.serial,
    }
    effects: list[Effect] = [WriteLog(event=LogEvent.UPSTREAM_CHANGED, fields=fields)]
    effects += announce_report(state, now)
    if report.state != UpstreamState.GONE:
        effects.append(StoreReport(report))
    return effects


def store_report(state: AgentState) -> list[Effect]:
    """Store what is known now, after a conflict with an earlier incarnation's report.

    That report stays valid until this incarnation knows the upstream's boot.
    """
    if state.report.state == UpstreamState.GONE:
        return [RemoveReport(state.report)]
    return [StoreReport(state.report)] if state.report.boot else []


def build_announcement(state: AgentState, now: float) -> Announcement:
    """Return the report with the current load, as balancers receive it."""
    report = replace(state.report, load=build_load(state, now))
    return Announcement(report=remove_stored_fields(report))


def announce_report(state: AgentState, now: float) -> list[Effect]:
    """Send the report with the current load to the balancers, but not to the store."""
    announcement = build_announcement(state, now)
    return [
        SendMessage(host, announcement) for host in list_active_balancers(state, now)
    ]


def repeat_announcement(state: AgentState, now: float) -> list[Effect]:
    """Repeat the first announcement until a balancer sends a packet or message."""
    if state.first_announced_at is None or state.announcement_repeats >= len(
        ANNOUNCEMENT_REPEATS_SECONDS
    ):
        return []
    if (
        now - state.first_announced_at
        < ANNOUNCEMENT_REPEATS_SECONDS[state.announcement_repeats]
    ):
        return []
    state.announcement_repeats += 1
    if any(at > state.first_announced_at for at in state.balancers.values()):
        state.announcement_repeats = len(ANNOUNCEMENT_REPEATS_SECONDS)
        return []
    return announce_report(state, now)


def list_active_balancers(state: AgentState, now: float) -> list[str]:
    """Return the hosts of balancers to which reports are announced."""
    recent = [
        h for h, at in state.balancers.items() if now - at < RECENT_BALANCER_SECONDS
    ]
    return sorted({*recent, *state.seeds})
