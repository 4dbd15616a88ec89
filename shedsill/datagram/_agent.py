"""An agent's decisions on the opaque flows of the upstream beside it.

The agent sees each packet of its upstream in both directions, and nothing
reaches the upstream but through it.  So it is the authority on the flows that
the upstream holds, on how busy it is, and on whether it takes new ones.  The
state is changed in place, as the balancer's is.
"""

from __future__ import annotations

import enum

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._shared_effects import Exit, Note
from shedsill.datagram._effects import (
    CheckUpstream,
    Effect,
    ObserveLatency,
    RemoveReport,
    ResetFlow,
    SendMessage,
    SendToCaller,
    SendToUpstream,
    StoreReport,
)
from shedsill.datagram._events import (
    ForwardedPacket,
    Heartbeat,
    HeartbeatReceived,
    MessageReceived,
    StopRequested,
    Tick,
    UpstreamChecked,
    UpstreamLeft,
    UpstreamPacket,
)
from shedsill.datagram._messages import (
    Announcement,
    FlowTaken,
    Load,
    Locate,
    Located,
    NodeReport,
    PacketReturned,
    Probe,
    ReturnReason,
    Roster,
    UpstreamState,
)
from shedsill.datagram._packet import (
    BOUNCED,
    FIN,
    RST,
    SEQUENCE_SPACE,
    SYN,
    Packet,
    is_opening,
    measure_advance,
)
from shedsill.datagram._selection import REFUSAL_PAUSE, number_service

FIRST_SERIAL = 1
"""Number of the first heartbeat of an upstream's run."""

RECEIVE_WINDOW = 76_800
"""Octets by which an acknowledgement may be ahead of a flow's first one."""

UNANSWERED_LIMIT = 0.4
"""Seconds without any packet of the upstream, while it owes one, after which
its port is tried.  It acknowledges within milliseconds, and callers send again
after 0.2 s, so two sendings have gone unanswered by then."""

CHECK_INTERVAL = 0.4
"""Seconds between tries of the port of an upstream that does not answer."""

CLOSED_LINGER = 3.0
"""Seconds for which a closed flow is kept, for packets that are sent again."""

HALF_OPEN_LIMIT = 5.0
"""Seconds after which a flow that its caller never opened here is forgotten;
callers give an opening up after 1.4 s."""

AVERAGE_TIME = 1.0
"""Time constant, in seconds, of the average of busy requests."""

NEWS_LIMIT = 10.0
"""Seconds for which a balancer that was heard of gets news directly."""

SWEEP_INTERVAL = 0.5
"""Seconds between looks for flows to forget."""

MAX_FLOWS = 50_000
"""Flows remembered; far above the connections that one upstream may have."""


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
    caller_ack : int
        What the caller expects next.
    caller_end : int or None
        End of the caller's content that has been passed on.
    waiting : bool
        Whether a request was passed on and no answer has begun.
    balancer : str
        Where the last packet came from.
    """

    phase: Phase
    seen: float
    balancer: str
    initial_seq: int | None = None
    caller_ack: int = 0
    caller_end: int | None = None
    waiting: bool = False
    waiting_since: float = 0.0
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
    retired: set[str] = field(default_factory=set)
    heartbeat_serial: int = 0
    cold_until: float = 0.0
    busy: int = 0
    average: float = 0.0
    average_at: float = 0.0
    refusing_until: float = 0.0
    owed_since: float | None = None
    checked_at: float = 0.0
    checking: bool = False
    started: float = 0.0
    next_sweep: float = 0.0
    stop_at: float | None = None
    left: bool = False


def start(state: AgentState, now: float) -> list[Effect]:
    """Make this agent known."""
    state.started = state.average_at = now
    return _publish(state, now)


# Packets from balancers


def take_forwarded(state: AgentState, event: ForwardedPacket) -> list[Effect]:
    """Decide whether the upstream gets a packet."""
    packet, now = event.packet, event.now
    state.balancers[event.balancer] = now
    if event.service != number_service(state.report.service):
        return _return(state, packet, event.balancer, ReturnReason.WRONG_SERVICE, now)
    if is_opening(packet):
        return _take_opening(state, packet, event.balancer, now)
    flow = state.flows.get(packet.flow)
    if flow is None:
        return _take_unknown(state, packet, event.balancer, now)
    if flow.phase == Phase.HALF_OPEN and not _opens(flow, packet):
        del state.flows[packet.flow]
        return _return(state, packet, event.balancer, ReturnReason.NOT_HELD, now)
    flow.phase = Phase.OPEN
    flow.seen = now
    flow.balancer = event.balancer
    flow.caller_ack = packet.ack
    if packet.flags & RST:
        _close(state, flow, now)
    elif packet.flags & FIN:
        flow.closed = True
    if packet.length:
        _note_request(state, flow, packet, now)
    return [SendToUpstream(packet, event.balancer)]


def _opens(flow: AgentFlow, packet: Packet) -> bool:
    """Whether the caller has chosen this upstream, by what it acknowledges."""
    if flow.initial_seq is None:
        return True
    return measure_advance(packet.ack, flow.initial_seq) <= RECEIVE_WINDOW


def _take_opening(
    state: AgentState, packet: Packet, balancer: str, now: float
) -> list[Effect]:
    if not takes_flows(state) or now < state.refusing_until:
        return _return(state, packet, balancer, ReturnReason.NOT_TAKING, now)
    flow = state.flows.get(packet.flow)
    if flow is None:
        if len(state.flows) >= MAX_FLOWS:
            return _return(state, packet, balancer, ReturnReason.NOT_TAKING, now)
        flow = AgentFlow(phase=Phase.HALF_OPEN, seen=now, balancer=balancer)
        state.flows[packet.flow] = flow
    flow.seen = now
    flow.balancer = balancer
    _note_owed(state, now)
    return [SendToUpstream(packet, balancer)]


def takes_flows(state: AgentState) -> bool:
    """Whether the upstream may be offered new flows.

    Before its first heartbeat it may: only this agent could have confirmed
    that it drains, and a balancer that learned of it offers it nothing.
    """
    known = state.report.state in (UpstreamState.READY, UpstreamState.UNKNOWN)
    return known and state.stop_at is None


def _take_unknown(
    state: AgentState, packet: Packet, balancer: str, now: float
) -> list[Effect]:
    """Hand a packet back, or let the upstream tell whether it holds the flow."""
    if state.complete or state.report.state == UpstreamState.GONE:
        return _return(state, packet, balancer, ReturnReason.NOT_HELD, now)
    if len(state.tried) < MAX_FLOWS:
        state.tried[packet.flow] = balancer
    _note_owed(state, now)
    return [SendToUpstream(packet, balancer)]


def _return(
    state: AgentState,
    packet: Packet,
    balancer: str,
    reason: ReturnReason,
    now: float,
) -> list[Effect]:
    if packet.flags & RST:
        return []
    message = PacketReturned(
        packet=packet.data,
        boot=state.report.boot,
        reason=reason,
        load=make_load(state, now),
    )
    fields = {
        "flow": packet.flow,
        "reason": reason.value,
        "state": state.report.state.value,
        "balancer": balancer,
        "complete": state.complete,
    }
    return [
        SendMessage(balancer, message),
        Note(event=LogEvent.PACKET_HANDED_BACK, fields=fields),
    ]


def _note_owed(state: AgentState, now: float) -> None:
    if state.owed_since is None:
        state.owed_since = now


def _note_request(
    state: AgentState, flow: AgentFlow, packet: Packet, now: float
) -> None:
    """Count a request when content comes that was not passed on before."""
    _note_owed(state, now)
    end = (packet.seq + packet.length) % SEQUENCE_SPACE
    if flow.caller_end is not None:
        advance = measure_advance(end, flow.caller_end)
        if advance == 0 or advance > SEQUENCE_SPACE // 2:
            return
    flow.caller_end = end
    if not flow.waiting:
        flow.waiting = True
        flow.waiting_since = now
        _change_busy(state, 1, now)


def _change_busy(state: AgentState, change: int, now: float) -> None:
    _update_average(state, now)
    state.busy = max(state.busy + change, 0)


def _update_average(state: AgentState, now: float) -> None:
    share = min((now - state.average_at) / AVERAGE_TIME, 1.0)
    state.average += (state.busy - state.average) * share
    state.average_at = now


def _close(state: AgentState, flow: AgentFlow, now: float) -> None:
    flow.closed = True
    if flow.waiting:
        flow.waiting = False
        _change_busy(state, -1, now)


def make_load(state: AgentState, now: float) -> Load:
    """Return how full the upstream is now."""
    _update_average(state, now)
    return Load(
        busy=state.busy,
        average=round(state.average, 2),
        slots=state.report.load.slots,
        flows=len(state.flows),
        cold=round(max(state.cold_until - now, 0.0), 2),
    )


# Packets from the upstream


def take_upstream_packet(state: AgentState, event: UpstreamPacket) -> list[Effect]:
    """Pass a packet on to its caller, and learn from it."""
    packet, now = event.packet, event.now
    state.owed_since = None
    effects: list[Effect] = []
    if state.report.state == UpstreamState.UNRESPONSIVE:
        effects += _set_state(state, UpstreamState.READY, now)
    if packet.flags & BOUNCED:
        return effects + _take_bounced(state, packet, now)
    flow = state.flows.get(packet.flow)
    if packet.flags & SYN:
        effects += _take_opening_answer(state, flow, packet, now)
    else:
        effects += _take_content(state, flow, packet, now)
    effects.append(SendToCaller(packet))
    return effects


def _take_opening_answer(
    state: AgentState, flow: AgentFlow | None, packet: Packet, now: float
) -> list[Effect]:
    if flow is None or flow.phase == Phase.OPEN:
        return []
    repeated = flow.initial_seq == packet.seq
    flow.initial_seq = packet.seq
    if repeated:
        return []
    taken = FlowTaken(
        flow=packet.flow,
        boot=state.report.boot,
        initial_seq=packet.seq,
        load=make_load(state, now),
    )
    return [SendMessage(flow.balancer, taken)]


def _take_content(
    state: AgentState, flow: AgentFlow | None, packet: Packet, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    if flow is None and packet.flags & RST:
        state.tried.pop(packet.flow, None)
        return effects
    if flow is None:
        flow = AgentFlow(phase=Phase.OPEN, seen=now, balancer="")
        state.flows[packet.flow] = flow
        effects += _report_found(state, packet.flow, now)
    flow.phase = Phase.OPEN
    flow.seen = now
    if packet.flags & (FIN | RST):
        _close(state, flow, now)
    elif packet.length and flow.waiting:
        flow.waiting = False
        _change_busy(state, -1, now)
        effects.append(ObserveLatency(now - flow.waiting_since))
    return effects


def _report_found(state: AgentState, key: bytes, now: float) -> list[Effect]:
    """Tell a balancer that the upstream holds the flow that it asked for."""
    balancer = state.tried.pop(key, "")
    fields = {"flow": key, "balancer": balancer, "boot": state.report.boot}
    note = Note(event=LogEvent.FLOW_RELEARNED, fields=fields)
    if not balancer:
        return [note]
    located = Located(
        boot=state.report.boot,
        held=[key],
        unknown=[],
        unsure=[],
        load=make_load(state, now),
    )
    return [note, SendMessage(balancer, located)]


def _take_bounced(state: AgentState, packet: Packet, now: float) -> list[Effect]:
    """Hand back what the upstream did not take; it holds no such flow."""
    state.tried.pop(packet.flow, None)
    flow = state.flows.pop(packet.flow, None)
    if flow is not None:
        _close(state, flow, now)
    opening = is_opening(packet)
    if opening:
        state.refusing_until = now + REFUSAL_PAUSE
    reason = ReturnReason.REFUSED if opening else ReturnReason.NOT_HELD
    balancer = packet.balancer or (flow.balancer if flow else "")
    if not balancer:
        return []
    return _return(state, packet, balancer, reason, now)


# Heartbeats of the upstream


def take_heartbeat(state: AgentState, event: HeartbeatReceived) -> list[Effect]:
    """Take in what the upstream says of itself."""
    heartbeat, now = event.heartbeat, event.now
    report = state.report
    if heartbeat.boot in state.retired:
        return []
    effects: list[Effect] = []
    if heartbeat.boot != report.boot:
        effects += _change_boot(state, heartbeat, now)
    elif heartbeat.serial <= state.heartbeat_serial:
        return []
    state.heartbeat_serial = heartbeat.serial
    state.cold_until = now + heartbeat.cold
    changed = (heartbeat.boot, heartbeat.state, heartbeat.slots) != (
        report.boot,
        report.state,
        report.load.slots,
    )
    if not changed:
        return effects
    state.report = replace(
        state.report,
        state=heartbeat.state,
        load=replace(state.report.load, slots=heartbeat.slots),
    )
    effects += _publish(state, now)
    fields = {"boot": heartbeat.boot, "serial": heartbeat.serial}
    fields |= {"cold": heartbeat.cold, "complete": state.complete}
    return [*effects, Note(event=LogEvent.HEARTBEAT_TAKEN, fields=fields)]


def _change_boot(state: AgentState, heartbeat: Heartbeat, now: float) -> list[Effect]:
    """Follow the upstream into a new run; the flows of the last one are gone.

    The first heartbeat of a run shows that the run began under this agent, so
    that it holds no flow from before the agent's start.
    """
    before = state.report.boot
    state.report = replace(state.report, boot=heartbeat.boot)
    state.heartbeat_serial = 0
    if heartbeat.serial == FIRST_SERIAL:
        state.complete = True
    if not before:
        return []
    state.retired.add(before)
    state.complete = True
    return _free_flows(state, "upstream restarted", now)


def _free_flows(state: AgentState, reason: str, now: float) -> list[Effect]:
    """Reset every open flow: the run of the upstream that held them has ended."""
    effects: list[Effect] = []
    for key, flow in state.flows.items():
        if flow.phase == Phase.OPEN and not flow.closed:
            effects.append(ResetFlow(key, flow.caller_ack))
    fields = {"flows": len(effects), "reason": reason, "boot": state.report.boot}
    state.flows.clear()
    state.tried.clear()
    _change_busy(state, -state.busy, now)
    return [*effects, Note(event=LogEvent.FLOWS_FREED, fields=fields)]


def take_leave(state: AgentState, event: UpstreamLeft) -> list[Effect]:
    """Note that the upstream's run is about to end, as it said."""
    if event.boot != state.report.boot:
        return []
    state.left = True
    state.checked_at = event.now
    return [
        *_set_state(state, UpstreamState.GONE, event.now),
        RemoveReport(state.report),
    ]


def _set_state(state: AgentState, upstream: UpstreamState, now: float) -> list[Effect]:
    if state.report.state == upstream:
        return []
    state.report = replace(state.report, state=upstream)
    return _publish(state, now)


def _publish(state: AgentState, now: float) -> list[Effect]:
    """Tell the balancers and the store what has changed."""
    state.report = replace(
        state.report, serial=state.report.serial + 1, load=make_load(state, now)
    )
    report = state.report
    fields = {
        "boot": report.boot,
        "state": report.state.value,
        "slots": report.load.slots,
        "stopping": report.stopping,
        "serial": report.serial,
    }
    effects: list[Effect] = [Note(event=LogEvent.UPSTREAM_CHANGED, fields=fields)]
    announcement = Announcement(report=report)
    effects += [SendMessage(h, announcement) for h in _list_balancers(state, now)]
    if report.state != UpstreamState.GONE:
        effects.append(StoreReport(report))
    return effects


def _list_balancers(state: AgentState, now: float) -> list[str]:
    recent = [h for h, at in state.balancers.items() if now - at < NEWS_LIMIT]
    return sorted({*recent, *state.seeds})


# Messages of balancers


def take_message(state: AgentState, event: MessageReceived) -> list[Effect]:
    """Answer a balancer."""
    now = event.now
    state.balancers[event.source] = now
    match event.message:
        case Probe():
            report = replace(state.report, load=make_load(state, now))
            return [SendMessage(event.source, Announcement(report=report))]
        case Locate(flows=flows):
            return [SendMessage(event.source, _locate(state, flows, now))]
        case Roster() | Announcement():
            return []
    return []


def _locate(state: AgentState, flows: list[bytes], now: float) -> Located:
    located = Located(
        boot=state.report.boot,
        held=[],
        unknown=[],
        unsure=[],
        load=make_load(state, now),
    )
    for key in flows:
        flow = state.flows.get(key)
        if flow is not None and (
            flow.phase == Phase.OPEN or flow.initial_seq is not None
        ):
            located.held.append(key)
        elif state.complete or state.report.state == UpstreamState.GONE:
            located.unknown.append(key)
        else:
            located.unsure.append(key)
    return located


# Time


def take_tick(state: AgentState, event: Tick) -> list[Effect]:
    """Do what has become due."""
    now = event.now
    effects: list[Effect] = []
    if now >= state.next_sweep:
        state.next_sweep = now + SWEEP_INTERVAL
        _sweep(state, now)
    if _wants_check(state, now):
        state.checking = True
        state.checked_at = now
        effects.append(CheckUpstream())
    return effects + _finish_stop(state, now)


def _sweep(state: AgentState, now: float) -> None:
    for key, flow in list(state.flows.items()):
        rest = now - flow.seen
        limit = HALF_OPEN_LIMIT if flow.phase == Phase.HALF_OPEN else None
        if flow.closed:
            limit = CLOSED_LINGER
        if rest > (limit or state.flow_lifetime):
            _close(state, flow, now)
            del state.flows[key]
    if not state.complete and now - state.started > state.flow_lifetime:
        state.complete = True


def _wants_check(state: AgentState, now: float) -> bool:
    if state.checking or now - state.checked_at < CHECK_INTERVAL:
        return False
    if state.report.state == UpstreamState.UNRESPONSIVE or state.left:
        return bool(state.flows) or not state.left
    return state.owed_since is not None and now - state.owed_since > UNANSWERED_LIMIT


def take_checked(state: AgentState, event: UpstreamChecked) -> list[Effect]:
    """Act on whether the upstream's port takes connections."""
    state.checking = False
    now = event.now
    if event.open:
        state.owed_since = None
        if state.report.state == UpstreamState.UNRESPONSIVE:
            return _set_state(state, UpstreamState.READY, now)
        return []
    if state.owed_since is None and not state.left:
        return []
    effects: list[Effect] = []
    if state.report.state in (UpstreamState.READY, UpstreamState.UNKNOWN):
        fields = {"refused": event.refused, "flows": len(state.flows)}
        effects.append(Note(event=LogEvent.UPSTREAM_SILENT, fields=fields))
        effects += _set_state(state, UpstreamState.UNRESPONSIVE, now)
    if event.refused:
        state.complete = True
        effects += _free_flows(state, "upstream refuses connections", now)
    return effects


def take_stop(state: AgentState, event: StopRequested) -> list[Effect]:
    """Begin a planned stop: no new flows, and end when no request is waiting."""
    if state.stop_at is not None:
        return []
    state.stop_at = event.now + state.stop_limit
    state.report = replace(state.report, stopping=True)
    note = Note(event=LogEvent.NODE_STOPPING, fields={"flows": len(state.flows)})
    return [note, *_publish(state, event.now)]


def _finish_stop(state: AgentState, now: float) -> list[Effect]:
    if state.stop_at is None:
        return []
    if state.busy and now < state.stop_at:
        return []
    return [Note(event=LogEvent.NODE_STOPPED, fields={"busy": state.busy}), Exit()]
