"""A balancer's decisions on opaque flows.

The state is changed in place: a copy for each packet would cost more than the
packet.  Nothing else is touched; what has to be done comes back as effects.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill._catalogue import LogEvent
from shedsill._shared_effects import Exit, Note
from shedsill.datagram import _nodes, _searches
from shedsill.datagram._effects import (
    Effect,
    ForwardPacket,
    ObserveLatency,
    PullTable,
    RemoveReport,
    ResetFlow,
    SendMessage,
    StoreReport,
)
from shedsill.datagram._events import (
    CallerPacket,
    MessageReceived,
    PacketsDrained,
    ReportsListed,
    StopRequested,
    TableOffered,
    Tick,
)
from shedsill.datagram._forwarding import (
    ForwardingTable,
    Route,
    choose_service,
    is_newer,
)
from shedsill.datagram._messages import (
    Announcement,
    FlowTaken,
    Locate,
    Located,
    NodeReport,
    PacketReturned,
    Probe,
    ReturnReason,
    Role,
    Roster,
)
from shedsill.datagram._nodes import Nodes
from shedsill.datagram._packet import FIN, RST, Packet, is_opening, measure_advance
from shedsill.datagram._searches import Phase, Search
from shedsill.datagram._selection import (
    REFUSAL_PAUSE,
    UpstreamView,
    can_take,
    choose_upstream,
    number_service,
)

ANSWER_TIMEOUT = 0.08
"""Seconds after which an opening packet without an answer is offered to another
upstream: above the processor pauses of a loaded VM, and below the 200 ms after
which the caller would send its next copy."""

MAX_OFFERS = 4
"""Upstreams that one opening packet is offered to."""

RECEIVE_WINDOW = 76_800
"""Octets by which an acknowledgement may be ahead of a flow's first one for it
to be the caller's first packet after the opening."""

MAX_FLOWS = 200_000
"""Flows remembered; a flow forgotten is found again by asking the agents."""

RESET_MEMORY = 2.0
"""Seconds for which a reset flow is remembered, so that its packets that are
still under way are answered in the same way and not searched for again."""

CLOSED_LINGER = 3.0
"""Seconds for which a flow is remembered after its caller has closed it; its
last packets may be sent again."""

PAUSE = 0.3
"""A gap between ticks (s) that shows that this process did not run."""

STOP_QUIET = 1.0
"""Seconds without packets from callers after which a planned stop ends."""

PEER_INTERVAL = 1.0
"""Seconds between exchanges of table versions with another balancer."""

LOOK_AFTER_FLOWS = 0.25
"""Seconds between looks at which agents hold flows of this balancer."""


class BalancerFlow(Struct):
    """A flow as one balancer remembers it.

    Attributes
    ----------
    host : str
        The agent that holds it; empty until the caller has chosen one.
    boot : str
        The upstream's run when it took the flow.
    offered : dict of str to int or None
        Agents that were offered the opening packet, with the sequence number
        that their upstream answered with.
    refused : set of str
        Agents that have handed the opening packet back.
    opening : Packet or None
        The opening packet, until an upstream has answered.
    caller_ack : int
        What the caller expects next, as its last packet said.
    """

    service: str
    seen: float
    host: str = ""
    boot: str = ""
    offered: dict[str, int | None] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    opening: Packet | None = None
    offered_at: float = 0.0
    caller_ack: int = 0
    closed: bool = False


class BalancerState(Struct):
    """Everything that a balancer knows.

    Attributes
    ----------
    report : NodeReport
        What it says of itself.
    placing : dict of bytes to BalancerFlow
        The flows whose opening packet has no answer yet.
    resets : dict of bytes to float
        Flows that were reset lately, and when.
    to_locate : dict of str to list of bytes
        Flows to ask each agent for when the sockets are drained.
    """

    report: NodeReport
    seeds: tuple[str, ...]
    flow_lifetime: float
    stop_limit: float
    table: ForwardingTable = field(default_factory=ForwardingTable)
    nodes: Nodes = field(default_factory=Nodes)
    flows: dict[bytes, BalancerFlow] = field(default_factory=dict)
    placing: dict[bytes, BalancerFlow] = field(default_factory=dict)
    searches: dict[bytes, Search] = field(default_factory=dict)
    resets: dict[bytes, float] = field(default_factory=dict)
    to_locate: dict[str, list[bytes]] = field(default_factory=dict)
    holding_hosts: set[str] = field(default_factory=set)
    last_tick: float = 0.0
    last_packet: float = 0.0
    next_peer_exchange: float = 0.0
    peer_exchanges: int = 0
    next_look: float = 0.0
    stop_at: float | None = None

    @property
    def ready(self) -> bool:
        """Whether routers should send packets here."""
        usable = any(can_take(v) for v in self.nodes.upstreams.values())
        return self.table.version > 0 and usable and self.stop_at is None


def start(state: BalancerState, now: float) -> list[Effect]:
    """Make this balancer known, and ask the seeds for the nodes they know."""
    state.last_tick = state.last_packet = now
    effects: list[Effect] = [StoreReport(state.report)]
    effects += [
        SendMessage(seed, Probe(report=state.report))
        for seed in state.seeds
        if seed != state.report.host
    ]
    return effects


# Packets of callers


def take_packet(state: BalancerState, event: CallerPacket) -> list[Effect]:
    """Decide where a caller's packet goes."""
    packet = event.packet
    state.last_packet = event.now
    route = state.table.routes.get(packet.endpoint)
    if route is None:
        return _refuse_without_route(state, packet)
    flow = state.flows.get(packet.flow)
    if is_opening(packet):
        if flow is None:
            return _place(state, packet, route, event.now)
        return _repeat_opening(state, flow, packet, route, event.now)
    if flow is None:
        return _search(state, packet, event.now)
    flow.seen = event.now
    flow.caller_ack = packet.ack
    if packet.flags & (FIN | RST):
        flow.closed = True
    if flow.host:
        return [ForwardPacket(flow.host, packet, number_service(flow.service))]
    return _settle(state, flow, packet)


def _refuse_without_route(state: BalancerState, packet: Packet) -> list[Effect]:
    if state.table.version == 0 or packet.flags & RST:
        return []
    state.flows.pop(packet.flow, None)
    state.placing.pop(packet.flow, None)
    fields = {"flow": packet.flow, "table": state.table.version}
    return [
        ResetFlow(packet.flow, packet.ack),
        Note(event=LogEvent.FLOW_UNROUTED, fields=fields),
    ]


def _place(
    state: BalancerState, packet: Packet, route: Route, now: float
) -> list[Effect]:
    service = choose_service(route, packet.flow)
    flow = BalancerFlow(service=service, seen=now, opening=packet)
    if len(state.flows) >= MAX_FLOWS:
        state.flows.pop(next(iter(state.flows)))
    state.flows[packet.flow] = flow
    state.placing[packet.flow] = flow
    return _offer(state, flow, packet, route, now)


def _offer(
    state: BalancerState,
    flow: BalancerFlow,
    packet: Packet,
    route: Route,
    now: float,
) -> list[Effect]:
    """Offer an opening packet to an upstream that has not been offered it."""
    view = choose_upstream(
        state.nodes.list_service(flow.service),
        zone=state.report.zone,
        bulk=route.bulk,
        without=flow.offered.keys() | flow.refused,
        flow=packet.flow,
        now=now,
    )
    flow.offered_at = now
    if view is None:
        return _give_up_opening(state, flow, packet)
    flow.offered[view.report.host] = None
    view.offers.append(now)
    fields = {
        "flow": packet.flow,
        "service": flow.service,
        "upstream": view.report.host,
        "busy": view.report.load.busy,
        "offers": len(view.offers),
        "age": round(now - view.heard, 3) if view.heard else None,
        "attempt": len(flow.offered),
        "table": state.table.version,
    }
    return [
        ForwardPacket(view.report.host, packet, number_service(flow.service)),
        Note(event=LogEvent.FLOW_OFFERED, fields=fields),
    ]


def _give_up_opening(
    state: BalancerState, flow: BalancerFlow, packet: Packet
) -> list[Effect]:
    """Reset an opening that nobody can take; nothing of it has run.

    While an upstream that was offered it may still answer, nothing is given up.
    Neither is it while this balancer does not know the nodes yet.
    """
    known = state.nodes.list_service(flow.service)
    fields = {"flow": packet.flow, "service": flow.service, "known": len(known)}
    if flow.offered or not known:
        return [Note(event=LogEvent.NO_CANDIDATE, fields=fields)]
    state.flows.pop(packet.flow, None)
    state.placing.pop(packet.flow, None)
    return [
        ResetFlow(packet.flow, packet.ack),
        Note(event=LogEvent.FLOW_REFUSED, fields=fields),
    ]


def _repeat_opening(
    state: BalancerState,
    flow: BalancerFlow,
    packet: Packet,
    route: Route,
    now: float,
) -> list[Effect]:
    """Send a copy to an upstream that has answered, or else to another one."""
    flow.seen = now
    answered = [host for host, seq in flow.offered.items() if seq is not None]
    host = flow.host or (answered[0] if answered else "")
    if host:
        return [ForwardPacket(host, packet, number_service(flow.service))]
    flow.opening = packet
    if len(flow.offered) >= MAX_OFFERS:
        flow.offered.clear()
        flow.refused.clear()
    return _offer(state, flow, packet, route, now)


def _settle(state: BalancerState, flow: BalancerFlow, packet: Packet) -> list[Effect]:
    """Find which upstream the caller has chosen, by what it acknowledges."""
    state.placing.pop(packet.flow, None)
    number = number_service(flow.service)
    for host, initial_seq in flow.offered.items():
        if initial_seq is None:
            continue
        if measure_advance(packet.ack, initial_seq) <= RECEIVE_WINDOW:
            _hold_at(state, flow, host)
            return [ForwardPacket(host, packet, number)]
    if len(flow.offered) == 1:
        _hold_at(state, flow, next(iter(flow.offered)))
    return [ForwardPacket(host, packet, number) for host in flow.offered]


def _hold_at(state: BalancerState, flow: BalancerFlow, host: str) -> None:
    flow.host = host
    flow.offered.clear()
    flow.opening = None
    view = state.nodes.upstreams.get(host)
    flow.boot = view.report.boot if view else ""
    state.holding_hosts.add(host)


# Flows that this balancer does not know


def _search(state: BalancerState, packet: Packet, now: float) -> list[Effect]:
    if packet.flags & RST:
        return []
    if packet.flow in state.resets:
        return [ResetFlow(packet.flow, packet.ack)]
    search = state.searches.get(packet.flow)
    if search is None:
        if len(state.searches) >= _searches.MAX_SEARCHES:
            return [Note(event=LogEvent.SEARCH_DROPPED, fields={"flow": packet.flow})]
        hosts = _list_answering(state)
        state.searches[packet.flow] = _searches.begin_search(packet, hosts, now)
        _ask(state, packet.flow, hosts)
        return []
    _searches.hold_packet(search, packet, now)
    if _searches.is_due(search, now):
        return _ask_again(state, packet.flow, search, now)
    return _conclude(state, packet.flow, search)


def _list_answering(state: BalancerState) -> list[str]:
    return [host for host, view in state.nodes.upstreams.items() if not view.lost]


def _ask(state: BalancerState, flow: bytes, hosts: Iterable[str]) -> None:
    for host in hosts:
        state.to_locate.setdefault(host, []).append(flow)


def _ask_again(
    state: BalancerState, flow: bytes, search: Search, now: float
) -> list[Effect]:
    search.asked = now
    if search.phase == Phase.TRYING:
        search.phase = Phase.ASKING
        search.waiting |= search.unsure
        search.unsure.clear()
    if not search.waiting:
        search.waiting = set(_list_answering(state))
    _ask(state, flow, search.waiting)
    return []


def take_drained(state: BalancerState, event: PacketsDrained) -> list[Effect]:
    """Send the questions that came up since the sockets were last drained."""
    if not state.to_locate:
        return []
    asked, state.to_locate = state.to_locate, {}
    return [SendMessage(h, Locate(flows=flows)) for h, flows in asked.items()]


def _take_located(
    state: BalancerState, located: Located, host: str, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    for flow in located.held:
        effects += _found(state, flow, host, located.boot, now)
    for flow in located.unknown:
        search = state.searches.get(flow)
        if search is not None and host in search.waiting:
            search.waiting.discard(host)
            effects += _conclude(state, flow, search)
    for flow in located.unsure:
        search = state.searches.get(flow)
        if search is not None and host in search.waiting:
            search.waiting.discard(host)
            search.unsure.add(host)
            effects += _conclude(state, flow, search)
    return effects


def _found(
    state: BalancerState, flow: bytes, host: str, boot: str, now: float
) -> list[Effect]:
    view = state.nodes.upstreams.get(host)
    search = state.searches.pop(flow, None)
    if view is None or search is None:
        return []
    known = BalancerFlow(service=view.report.service, seen=now, host=host, boot=boot)
    state.flows[flow] = known
    state.holding_hosts.add(host)
    number = number_service(known.service)
    fields = {"flow": flow, "upstream": host, "after": round(now - search.asked, 3)}
    effects: list[Effect] = [Note(event=LogEvent.FLOW_FOUND, fields=fields)]
    for packet in search.packets:
        known.caller_ack = packet.ack
        effects.append(ForwardPacket(host, packet, number))
    return effects


def _conclude(state: BalancerState, flow: bytes, search: Search) -> list[Effect]:
    """Act on a search that every agent has answered."""
    if search.waiting or not search.packets:
        return []
    if search.phase == Phase.ASKING and search.unsure:
        search.phase = Phase.TRYING
        search.waiting = set(search.unsure)
        return _try_packet(state, search, search.packets[0])
    if not state.nodes.listed or not state.nodes.upstreams:
        return []
    packet = search.packets[-1]
    del state.searches[flow]
    state.resets[flow] = search.seen
    fields = {"flow": flow, "asked": len(state.nodes.upstreams)}
    return [
        ResetFlow(flow, packet.ack),
        Note(event=LogEvent.FLOW_ORPHANED, fields=fields),
    ]


def _try_packet(state: BalancerState, search: Search, packet: Packet) -> list[Effect]:
    """Give a packet to the upstreams that may hold its flow; others bounce it."""
    effects: list[Effect] = []
    for host in search.waiting:
        view = state.nodes.upstreams.get(host)
        if view is not None:
            number = number_service(view.report.service)
            effects.append(ForwardPacket(host, packet, number))
    return effects


# Messages of other nodes


def take_message(
    state: BalancerState, event: MessageReceived, returned: Packet | None
) -> list[Effect]:
    """Take in a message of an agent or another balancer.

    Parameters
    ----------
    returned : Packet or None
        The packet inside a `PacketReturned`.
    """
    message, source, now = event.message, event.source, event.now
    match message:
        case Announcement(report=report):
            return _take_report(state, report, now)
        case Probe(report=report):
            effects = _take_report(state, report, now)
            return [*effects, *_answer_probe(state, source)]
        case Roster(reports=reports):
            return _take_reports(state, reports, now)
        case FlowTaken():
            _note_load(state, source, message, now)
            return _take_taken(state, message, source, now)
        case Located():
            _note_load(state, source, message, now)
            return _take_located(state, message, source, now)
        case PacketReturned():
            _note_load(state, source, message, now)
            assert returned is not None
            return _take_returned(state, message, returned, source, now)
    return []


def _answer_probe(state: BalancerState, source: str) -> list[Effect]:
    reports = [v.report for v in state.nodes.upstreams.values() if not v.lost]
    reports += state.nodes.balancers.values()
    return [
        SendMessage(source, Announcement(report=state.report)),
        SendMessage(source, Roster(reports=reports)),
    ]


def _note_load(
    state: BalancerState,
    source: str,
    message: FlowTaken | Located | PacketReturned,
    now: float,
) -> None:
    view = state.nodes.upstreams.get(source)
    if view is not None:
        _nodes.note_load(view, message.load, message.boot, now)


def _take_taken(
    state: BalancerState, taken: FlowTaken, source: str, now: float
) -> list[Effect]:
    flow = state.placing.pop(taken.flow, None)
    if flow is None:
        flow = state.flows.get(taken.flow)
    if flow is not None and not flow.host:
        flow.offered[source] = taken.initial_seq
        flow.opening = None
        return [ObserveLatency(now - flow.offered_at)]
    return []


def _take_returned(
    state: BalancerState,
    returned: PacketReturned,
    packet: Packet,
    source: str,
    now: float,
) -> list[Effect]:
    fields = {
        "flow": packet.flow,
        "upstream": source,
        "reason": returned.reason.value,
    }
    note = Note(event=LogEvent.PACKET_RETURNED, fields=fields)
    if is_opening(packet):
        view = state.nodes.upstreams.get(source)
        if view is not None:
            view.refused_until = now + REFUSAL_PAUSE
        return [note, *_offer_elsewhere(state, packet, source, now)]
    flow = state.flows.get(packet.flow)
    if flow is not None and source in flow.offered:
        del flow.offered[source]
    if flow is not None and (flow.host == source or not (flow.host or flow.offered)):
        del state.flows[packet.flow]
        flow = None
    if flow is not None:
        return [note]
    return [note, *_search_without(state, packet, source, returned.reason, now)]


def _offer_elsewhere(
    state: BalancerState, packet: Packet, source: str, now: float
) -> list[Effect]:
    flow = state.flows.get(packet.flow)
    route = state.table.routes.get(packet.endpoint)
    if flow is None or flow.host or route is None:
        return []
    if flow.offered.get(source, 0) is not None:
        return []
    del flow.offered[source]
    flow.refused.add(source)
    return _offer(state, flow, packet, route, now)


def _search_without(
    state: BalancerState,
    packet: Packet,
    source: str,
    reason: ReturnReason,
    now: float,
) -> list[Effect]:
    """Look for a flow whose packet an agent has handed back."""
    search = state.searches.get(packet.flow)
    if packet.flow in state.resets:
        return []
    if search is None:
        if packet.flags & RST or len(state.searches) >= _searches.MAX_SEARCHES:
            return []
        hosts = [host for host in _list_answering(state) if host != source]
        search = _searches.begin_search(packet, hosts, now)
        state.searches[packet.flow] = search
        _ask(state, packet.flow, hosts)
    search.waiting.discard(source)
    if reason == ReturnReason.WRONG_SERVICE:
        search.unsure.discard(source)
    return _conclude(state, packet.flow, search)


# Reports of nodes


def _take_report(state: BalancerState, report: NodeReport, now: float) -> list[Effect]:
    if report.host == state.report.host:
        return []
    before = _nodes.merge_report(state.nodes, report, now, direct=True)
    effects = _note_report(state, report, before, now)
    if report.role == Role.BALANCER and report.version > state.table.version:
        effects.append(PullTable(report.host))
    return effects


def _take_reports(
    state: BalancerState, reports: Iterable[NodeReport], now: float
) -> list[Effect]:
    effects: list[Effect] = []
    for report in reports:
        if report.host == state.report.host:
            continue
        before = _nodes.merge_report(state.nodes, report, now, direct=False)
        effects += _note_report(state, report, before, now)
    return effects


def _note_report(
    state: BalancerState,
    report: NodeReport,
    before: NodeReport | None,
    now: float,
) -> list[Effect]:
    """Log what has changed, and free the flows of a run that has ended."""
    view = state.nodes.upstreams.get(report.host)
    if view is None or view.report is before:
        return []
    changed = before is None or (
        (before.boot, before.state, before.stopping, before.service)
        != (report.boot, report.state, report.stopping, report.service)
    )
    if not changed:
        return []
    fields = {
        "upstream": report.host,
        "service": report.service,
        "boot": report.boot,
        "state": report.state.value,
        "stopping": report.stopping,
        "serial": report.serial,
    }
    effects: list[Effect] = [Note(event=LogEvent.UPSTREAM_CHANGED, fields=fields)]
    if before is not None and report.boot and before.boot != report.boot:
        effects += _free_flows(state, report.host, report.boot, now)
    return effects


def _free_flows(state: BalancerState, host: str, boot: str, now: float) -> list[Effect]:
    """Reset the flows that an earlier run of an upstream held.

    They died with it.  Their callers may be waiting for an answer with nothing
    left to send, so that no packet of theirs would tell them.
    """
    dead = [
        key
        for key, flow in state.flows.items()
        if flow.host == host and flow.boot and flow.boot != boot
    ]
    return _reset_flows(state, dead, host, "upstream restarted")


def _reset_flows(
    state: BalancerState, keys: list[bytes], host: str, reason: str
) -> list[Effect]:
    effects: list[Effect] = []
    for key in keys:
        flow = state.flows.pop(key)
        state.placing.pop(key, None)
        if not flow.closed:
            state.resets[key] = flow.seen
            effects.append(ResetFlow(key, flow.caller_ack))
    if keys:
        fields = {"upstream": host, "flows": len(keys), "reason": reason}
        effects.append(Note(event=LogEvent.FLOWS_FREED, fields=fields))
    return effects


def take_listed(state: BalancerState, event: ReportsListed) -> list[Effect]:
    """Take in the reports that the store holds."""
    effects = _take_reports(state, event.reports, event.now)
    for host in event.removed:
        view = state.nodes.upstreams.get(host)
        if view is not None and (view.suspect or view.lost):
            effects += _forget_upstream(state, host)
        state.nodes.balancers.pop(host, None)
    if event.whole:
        state.nodes.listed = True
    return effects


def _forget_upstream(state: BalancerState, host: str) -> list[Effect]:
    state.nodes.upstreams.pop(host, None)
    keys = [key for key, flow in state.flows.items() if flow.host == host]
    effects = _reset_flows(state, keys, host, "upstream left")
    for key, search in list(state.searches.items()):
        search.waiting.discard(host)
        search.unsure.discard(host)
        effects += _conclude(state, key, search)
    return effects


# The forwarding table


def take_table(state: BalancerState, event: TableOffered) -> list[Effect]:
    """Put a newer table in force, and tell the other balancers."""
    if not is_newer(event.table, state.table):
        return []
    fields = {
        "version": event.table.version,
        "before": state.table.version,
        "routes": len(event.table.routes),
        "source": event.source,
    }
    state.table = event.table
    state.report = replace(
        state.report, version=event.table.version, serial=state.report.serial + 1
    )
    note = Note(event=LogEvent.TABLE_APPLIED, fields=fields)
    announcement = Announcement(report=state.report)
    hosts = state.nodes.balancers
    return [note, *(SendMessage(host, announcement) for host in hosts)]


# Time


def take_tick(state: BalancerState, event: Tick) -> list[Effect]:
    """Do what has become due."""
    now = event.now
    pause = now - state.last_tick
    state.last_tick = now
    if pause > PAUSE:
        _nodes.shift_silences(state.nodes.upstreams.values(), pause)
    effects = _offer_again(state, now)
    effects += _ask_searched(state, now)
    effects += _look_after_flows(state, now)
    effects += _ask_silent(state, now)
    effects += _exchange_with_peers(state, now)
    effects += _finish_stop(state, now)
    return effects


def _offer_again(state: BalancerState, now: float) -> list[Effect]:
    """Offer openings that were not answered in time to another upstream."""
    effects: list[Effect] = []
    for key, flow in list(state.placing.items()):
        if now - flow.offered_at < ANSWER_TIMEOUT:
            continue
        for host, answer in flow.offered.items():
            view = state.nodes.upstreams.get(host)
            if answer is None and view is not None and view.heard < flow.offered_at:
                _nodes.suspect(view, now)
        packet = flow.opening
        route = state.table.routes.get(packet.endpoint) if packet else None
        if packet is None or route is None or len(flow.offered) >= MAX_OFFERS:
            del state.placing[key]
            continue
        effects += _offer(state, flow, packet, route, now)
    return effects


def _ask_searched(state: BalancerState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for key, search in list(state.searches.items()):
        if _searches.is_over(search, now):
            del state.searches[key]
            fields = {
                "flow": key,
                "silent": sorted(search.waiting)[:4],
                "known": len(state.nodes.upstreams),
            }
            effects.append(Note(event=LogEvent.SEARCH_ENDED, fields=fields))
        elif _searches.is_due(search, now):
            effects += _ask_again(state, key, search, now)
    return [*effects, *take_drained(state, PacketsDrained(now=now))]


def _look_after_flows(state: BalancerState, now: float) -> list[Effect]:
    """Forget flows that have rested for too long; note who holds the others."""
    if now < state.next_look:
        return []
    state.next_look = now + LOOK_AFTER_FLOWS
    limit = min(state.table.idle_timeout, state.flow_lifetime)
    holding: set[str] = set()
    for key, flow in list(state.flows.items()):
        rest = now - flow.seen
        if rest > limit or (flow.closed and rest > CLOSED_LINGER):
            del state.flows[key]
            state.placing.pop(key, None)
        elif flow.host and not flow.closed:
            holding.add(flow.host)
    state.holding_hosts = holding
    for key, at in list(state.resets.items()):
        if now - at > RESET_MEMORY:
            del state.resets[key]
    return []


def _ask_silent(state: BalancerState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    probe = Probe(report=state.report)
    for host, view in state.nodes.upstreams.items():
        holds = host in state.holding_hosts
        if _nodes.is_due(view, now, holds_flows=holds):
            _nodes.note_asked(view, now)
            effects.append(SendMessage(host, probe))
        if _nodes.is_lost(view, now):
            effects += _give_up_agent(state, host, view, now)
    return effects


def _give_up_agent(
    state: BalancerState, host: str, view: UpstreamView, now: float
) -> list[Effect]:
    """Free the callers of an agent that is silent: its VM is down or cut off."""
    view.lost = True
    fields = {"upstream": host, "silent": round(now - view.heard, 3)}
    effects: list[Effect] = [Note(event=LogEvent.UPSTREAM_LOST, fields=fields)]
    keys = [key for key, flow in state.flows.items() if flow.host == host]
    effects += _reset_flows(state, keys, host, "agent is silent")
    for key, search in list(state.searches.items()):
        search.waiting.discard(host)
        search.unsure.discard(host)
        effects += _conclude(state, key, search)
    return effects


def _exchange_with_peers(state: BalancerState, now: float) -> list[Effect]:
    """Tell one other balancer the version in force, in case news was lost."""
    if now < state.next_peer_exchange:
        return []
    state.next_peer_exchange = now + PEER_INTERVAL
    hosts = sorted(state.nodes.balancers) or [
        seed for seed in state.seeds if seed != state.report.host
    ]
    if not hosts:
        return []
    state.peer_exchanges += 1
    host = hosts[state.peer_exchanges % len(hosts)]
    return [SendMessage(host, Announcement(report=state.report))]


def take_stop(state: BalancerState, event: StopRequested) -> list[Effect]:
    """Begin a planned stop: not ready any more, but packets still move."""
    if state.stop_at is not None:
        return []
    state.stop_at = event.now + state.stop_limit
    state.last_packet = event.now
    state.report = replace(state.report, stopping=True, serial=state.report.serial + 1)
    announcement = Announcement(report=state.report)
    return [
        Note(event=LogEvent.NODE_STOPPING, fields={"flows": len(state.flows)}),
        *(SendMessage(host, announcement) for host in state.nodes.balancers),
        RemoveReport(state.report),
    ]


def _finish_stop(state: BalancerState, now: float) -> list[Effect]:
    if state.stop_at is None:
        return []
    quiet = now - state.last_packet >= STOP_QUIET
    if not quiet and now < state.stop_at:
        return []
    return [Note(event=LogEvent.NODE_STOPPED), Exit()]
