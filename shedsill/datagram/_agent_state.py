"""What an agent keeps, and what it tells others of it."""

from __future__ import annotations

import enum

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram._backlog import Backlog
from shedsill.datagram._effects import Effect, SendMessage, StoreReport
from shedsill.datagram._health import Health, get_avoided
from shedsill.datagram._messages import (
    Announcement,
    FlowDenied,
    Load,
    NodeReport,
    PacketReturned,
    ReturnReason,
    UpstreamState,
)
from shedsill.datagram._packet import RST, Packet, is_opening

AVERAGE_TIME = 1.0
"""Time constant, in seconds, of the average of busy requests."""

NEWS_LIMIT = 10.0
"""Seconds for which a balancer that was heard of gets news directly."""


NEWS_REPEATS = (0.3, 0.9, 2.1, 4.5)
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
    caller_end : int or None
        End of the caller's content that has been passed on.
    waiting : bool
        Whether a request has come and no answer has begun.
    working : bool
        Whether the upstream was given that request.
    last : Packet or None
        The last packet of that request, while it is at work.
    closed : bool
        Whether one end has closed it.
    delay : float
        Seconds by which the caller asked before the next request came: its first
        opening packets were lost.
    balancer : str
        Where the last packet came from.
    """

    phase: Phase
    seen: float
    balancer: str
    initial_seq: int | None = None
    taken_at: float | None = None
    caller_ack: int = 0
    caller_end: int | None = None
    waiting: bool = False
    working: bool = False
    last: Packet | None = None
    waiting_since: float = 0.0
    working_since: float = 0.0
    delay: float = 0.0
    closed: bool = False


class AgentState(Struct):
    """Everything that an agent knows.

    Attributes
    ----------
    report : NodeReport
        What it says of itself and of its upstream.
    complete : bool
        Whether `flows` has every flow of the upstream: false while some may be
        left from before the agent's start.
    balancers : dict of str to float
        When each balancer was last heard of.
    busy : int
        Requests that have come and are not answered.
    working : int
        Those of them that the upstream was given.
    backlog : Backlog
        The others.
    earlier_boot : str
        The upstream's run as an earlier run of this agent knew it; empty where
        that is not known.
    health : Health
        What the upstream's own answers say of it.
    news_at : float or None
        When this agent first told of itself, and
    news_repeats : int
        how often it has told again.
    retired : set of str
        Runs of the upstream that have ended.
    heartbeat_serial : int
        Serial of the current run's last heartbeat, and
    heartbeat_at : float
        when it came.
    heartbeat_missing_since : float
        The same, moved on by the time for which this agent stood still since.
    began_here : bool
        Whether the current run was known from its first heartbeat on.
    cold_until : float
        Local time at which the upstream works at full speed.
    owed_since : float or None
        When the first packet was passed on since the upstream's last one.
    tried : dict of bytes to str
        Packets of unknown flows that were given to the upstream, with the
        balancer that sent each.
    """

    report: NodeReport
    seeds: tuple[str, ...]
    flow_lifetime: float
    stop_limit: float
    complete: bool = False
    flows: dict[bytes, AgentFlow] = field(default_factory=dict)
    tried: dict[bytes, str] = field(default_factory=dict)
    balancers: dict[str, float] = field(default_factory=dict)
    news_at: float | None = None
    news_repeats: int = 0
    retired: set[str] = field(default_factory=set)
    heartbeat_serial: int = 0
    heartbeat_at: float = 0.0
    heartbeat_missing_since: float = 0.0
    began_here: bool = False
    cold_until: float = 0.0
    busy: int = 0
    working: int = 0
    backlog: Backlog = field(default_factory=Backlog)
    average: float = 0.0
    average_at: float = 0.0
    earlier_boot: str = ""
    health: Health = field(default_factory=Health)
    refusing_until: float = 0.0
    owed_since: float | None = None
    checked_at: float = 0.0
    checking: bool = False
    started: float = 0.0
    last_tick: float | None = None
    next_sweep: float = 0.0
    stop_at: float | None = None
    left: bool = False


def takes_flows(state: AgentState) -> bool:
    """Whether the upstream may be offered new flows.

    Before its first heartbeat it may: only this agent could have confirmed
    that it drains, and a balancer that learned of it offers it nothing.
    """
    known = state.report.state in (UpstreamState.READY, UpstreamState.UNKNOWN)
    return known and state.stop_at is None


def make_load(state: AgentState, now: float) -> Load:
    """Return how full the upstream is now."""
    update_average(state, now)
    return Load(
        busy=state.busy,
        average=round(state.average, 2),
        slots=state.report.load.slots,
        flows=len(state.flows),
        cold=round(max(state.cold_until - now, 0.0), 2),
        avoided=round(get_avoided(state.health, now), 2),
    )


def update_average(state: AgentState, now: float) -> None:
    """Bring the average of busy requests up to now."""
    share = min((now - state.average_at) / AVERAGE_TIME, 1.0)
    state.average += (state.busy - state.average) * share
    state.average_at = now


def change_busy(state: AgentState, change: int, now: float) -> None:
    """Count requests that came or ended."""
    update_average(state, now)
    state.busy = max(state.busy + change, 0)


def note_owed(state: AgentState, now: float) -> None:
    """Note that the upstream owes a packet."""
    if state.owed_since is None:
        state.owed_since = now


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
    load = make_load(state, now)
    boot = state.report.boot
    if is_opening(packet):
        message = PacketReturned(
            packet=packet.data, boot=boot, reason=reason, load=load
        )
    else:
        message = FlowDenied(flow=packet.flow, boot=boot, reason=reason, load=load)
    fields = {
        "flow": packet.flow,
        "reason": reason.value,
        "state": state.report.state.value,
        "held": len(state.backlog.held),
        "balancer": balancer,
        "complete": state.complete,
    }
    return [
        SendMessage(balancer, message),
        WriteLog(event=LogEvent.PACKET_HANDED_BACK, fields=fields),
    ]


def set_state(state: AgentState, upstream: UpstreamState, now: float) -> list[Effect]:
    """Note that the upstream takes new flows or no longer does."""
    if state.report.state == upstream:
        return []
    state.report = replace(state.report, state=upstream)
    return publish(state, now)


def publish(state: AgentState, now: float) -> list[Effect]:
    """Tell the balancers and the store what has changed."""
    state.report = replace(
        state.report, serial=state.report.serial + 1, load=make_load(state, now)
    )
    report = state.report
    if state.news_at is None:
        state.news_at = now
    fields = {
        "boot": report.boot,
        "state": report.state.value,
        "slots": report.load.slots,
        "stopping": report.stopping,
        "serial": report.serial,
    }
    effects: list[Effect] = [WriteLog(event=LogEvent.UPSTREAM_CHANGED, fields=fields)]
    effects += announce(state, now)
    if report.state != UpstreamState.GONE:
        effects.append(StoreReport(report))
    return effects


def announce(state: AgentState, now: float) -> list[Effect]:
    """Tell the balancers, but not the store, how the upstream is now."""
    report = replace(state.report, load=make_load(state, now))
    announcement = Announcement(report=report)
    return [SendMessage(host, announcement) for host in list_balancers(state, now)]


def repeat_news(state: AgentState, now: float) -> list[Effect]:
    """Tell again of this agent while no balancer has shown that it knows it."""
    if state.news_at is None or state.news_repeats >= len(NEWS_REPEATS):
        return []
    if now - state.news_at < NEWS_REPEATS[state.news_repeats]:
        return []
    state.news_repeats += 1
    if any(at > state.news_at for at in state.balancers.values()):
        state.news_repeats = len(NEWS_REPEATS)
        return []
    return announce(state, now)


def list_balancers(state: AgentState, now: float) -> list[str]:
    """Return the balancers that get news directly."""
    recent = [h for h, at in state.balancers.items() if now - at < NEWS_LIMIT]
    return sorted({*recent, *state.seeds})
