"""What an agent keeps, and what it tells others of it."""

from __future__ import annotations

import enum

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram._backlog import Backlog
from shedsill.datagram._effects import Effect, SendMessage, StoreReport
from shedsill.datagram._health import Health, get_avoidance_left
from shedsill.datagram._messages import (
    Announcement,
    FlowDenied,
    Load,
    NodeReport,
    PacketReturned,
    ReturnReason,
    UpstreamState,
)
from shedsill.datagram._packet import RST, Packet, is_syn

AVERAGE_BUSY_SECONDS = 1.0
"""Time constant, in seconds, of the average of busy requests."""

RECENT_BALANCER_SECONDS = 10.0
"""Seconds for which a balancer that was heard of gets news directly."""


ANNOUNCEMENT_REPEATS_SECONDS = (0.3, 0.9, 2.1, 4.5)
"""Seconds after an agent's first news of itself at which it is told again, unless a
balancer has spoken since.  Its datagrams may be lost, and a store that turns the agent
away cannot tell of it."""


class Phase(enum.Enum):
    """How far a flow has come at this upstream."""

    HALF_OPEN = "half open"
    OPEN = "open"


class AgentFlow(Struct):
    """A flow that this upstream holds, or was offered.

    Attributes
    ----------
    initial_seq : int or None
        The upstream's first sequence number; None until it has answered.
    taken_at : float or None
        When the upstream was first seen to hold it.
    caller_ack : int
        What the caller expects next.
    caller_next_seq : int or None
        End of the caller's content that has been passed on.
    pending : bool
        Whether a request has come and no answer has begun.
    running : bool
        Whether the upstream was given that request.
    last_request_packet : Packet or None
        The last packet of that request, while it is at work.
    closed : bool
        Whether one end has closed it.
    syn_copy_delay : float
        Seconds by which the caller asked before the next request came: its first
        opening packets were lost.
    balancer : str
        Where the last packet came from.
    """

    phase: Phase
    last_packet_at: float
    balancer: str
    initial_seq: int | None = None
    taken_at: float | None = None
    caller_ack: int = 0
    caller_next_seq: int | None = None
    pending: bool = False
    running: bool = False
    last_request_packet: Packet | None = None
    request_received_at: float = 0.0
    request_sent_at: float = 0.0
    syn_copy_delay: float = 0.0
    closed: bool = False


class AgentState(Struct):
    """Everything that an agent knows.

    Attributes
    ----------
    report : NodeReport
        What it says of itself and of its upstream.
    knows_all_flows : bool
        Whether `flows` has every flow of the upstream: false while some may be
        left from before the agent's start.
    balancers : dict of str to float
        When each balancer was last heard of.
    busy : int
        Requests that have come and are not answered.
    running : int
        Those of them that the upstream was given.
    backlog : Backlog
        The others.
    earlier_boot : str
        The upstream's run as an earlier run of this agent knew it; empty where
        that is not known.
    health : Health
        What the upstream's own answers say of it.
    first_announced_at : float or None
        When this agent first told of itself, and
    announcement_repeats : int
        how often it has told again.
    ended_boots : set of str
        Runs of the upstream that have ended.
    heartbeat_serial : int
        Serial of the current run's last heartbeat, and
    last_heartbeat_at : float
        when it came.
    heartbeat_silence_started_at : float
        The same, moved on by the time for which this agent stood still since.
    first_heartbeat_received : bool
        Whether the current run was known from its first heartbeat on.
    cold_until : float
        Local time at which the upstream works at full speed.
    unanswered_since : float or None
        When the first packet was passed on since the upstream's last one.
    trial_flows : dict of bytes to str
        Packets of unknown flows that were given to the upstream, with the
        balancer that sent each.
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
    heartbeat_serial: int = 0
    last_heartbeat_at: float = 0.0
    heartbeat_silence_started_at: float = 0.0
    first_heartbeat_received: bool = False
    cold_until: float = 0.0
    busy: int = 0
    running: int = 0
    backlog: Backlog = field(default_factory=Backlog)
    average_busy: float = 0.0
    average_updated_at: float = 0.0
    earlier_boot: str = ""
    health: Health = field(default_factory=Health)
    refused_until: float = 0.0
    unanswered_since: float | None = None
    last_check_at: float = 0.0
    check_pending: bool = False
    started_at: float = 0.0
    last_tick_at: float | None = None
    next_sweep_at: float = 0.0
    stop_at: float | None = None
    upstream_leaving: bool = False


def can_accept_flows(state: AgentState) -> bool:
    """Whether the upstream may be offered new flows.

    Before its first heartbeat it may: only this agent could have confirmed
    that it drains, and a balancer that learned of it offers it nothing.
    """
    known = state.report.state in (UpstreamState.READY, UpstreamState.UNKNOWN)
    return known and state.stop_at is None


def build_load(state: AgentState, now: float) -> Load:
    """Return how full the upstream is now."""
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
    """Bring the average of busy requests up to now."""
    share = min((now - state.average_updated_at) / AVERAGE_BUSY_SECONDS, 1.0)
    state.average_busy += (state.busy - state.average_busy) * share
    state.average_updated_at = now


def update_busy(state: AgentState, change: int, now: float) -> None:
    """Count requests that came or ended."""
    update_average_busy(state, now)
    state.busy = max(state.busy + change, 0)


def record_sent_packet(state: AgentState, now: float) -> None:
    """Note that the upstream owes a packet."""
    if state.unanswered_since is None:
        state.unanswered_since = now


def return_packet(
    state: AgentState,
    packet: Packet,
    balancer: str,
    reason: ReturnReason,
    now: float,
) -> list[Effect]:
    """Hand a packet back to its balancer."""
    if packet.flags & RST:
        return []
    load = build_load(state, now)
    boot = state.report.boot
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
    }
    return [
        SendMessage(balancer, message),
        WriteLog(event=LogEvent.PACKET_HANDED_BACK, fields=fields),
    ]


def update_upstream_state(
    state: AgentState, upstream: UpstreamState, now: float
) -> list[Effect]:
    """Note that the upstream takes new flows or no longer does."""
    if state.report.state == upstream:
        return []
    state.report = replace(state.report, state=upstream)
    return publish_report(state, now)


def publish_report(state: AgentState, now: float) -> list[Effect]:
    """Tell the balancers and the store what has changed."""
    state.report = replace(
        state.report, serial=state.report.serial + 1, load=build_load(state, now)
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


def announce_report(state: AgentState, now: float) -> list[Effect]:
    """Tell the balancers, but not the store, how the upstream is now."""
    report = replace(state.report, load=build_load(state, now))
    announcement = Announcement(report=report)
    return [
        SendMessage(host, announcement) for host in list_active_balancers(state, now)
    ]


def repeat_announcement(state: AgentState, now: float) -> list[Effect]:
    """Tell again of this agent while no balancer has shown that it knows it."""
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
    """Return the balancers that get news directly."""
    recent = [
        h for h, at in state.balancers.items() if now - at < RECENT_BALANCER_SECONDS
    ]
    return sorted({*recent, *state.seeds})
