"""Checkpoints of open flows, for failures of all nodes that know a flow.

When balancer, agent and upstream of a flow fail together, a caller that waits for an
answer sends no further packet, so the restarted nodes would never learn of the flow and
the caller would wait until its deadline.

Each balancer therefore sends its open flows, except short ones, to the collector, which
is the live balancer with the lowest host.  This list is the balancer's part of the
checkpoint; it may take several `CheckpointPart` messages.  The collector writes the
parts of all balancers to one object in the platform's store.

A balancer that restarts after a crash restores the flows of its previous incarnation as
unverified: it asks their agents and resets the flows that these deny.  A flow that its
agent holds or is unsure about is kept.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _flow_search
from shedsill.datagram._balancer_state import BalancerFlow, BalancerState
from shedsill.datagram._checkpoints import Checkpoints, Part, TimedFlow
from shedsill.datagram._effects import Effect, SendMessage, StoreCheckpoint
from shedsill.datagram._events import CheckpointRead
from shedsill.datagram._key_ranges import KeyRange, split_by_key
from shedsill.datagram._messages import (
    CheckpointPart,
    CheckpointTaken,
    OpenFlow,
)
from shedsill.datagram._packet import SEQUENCE_SPACE, measure_advance

CHECKPOINT_INTERVAL_SECONDS = 2.0
"""Interval between checkpoints; each one costs one call to the store for the whole
deployment.  Flows opened since the last one are not in it."""

MIN_FLOW_DURATION_SECONDS = 0.5
"""Minimum duration of a flow that is included; most flows of a single request are
shorter and cost no write."""

MAX_FLOW_IDLE_SECONDS = 10.0
"""Maximum time since the last packet of a flow that is included; longer than the pauses
between the requests of a caller.  A caller that sends its next request on a flow that
has ended waits like one whose request was running."""

FLOW_LIFETIME_SECONDS = 10.0
"""Time for which the collector keeps a flow that is not reported again; long enough for
its balancer to crash, restart and read it."""

MAX_CHECKPOINT_AGE_SECONDS = 30.0
"""Age from which a checkpoint is ignored: half of the 60 s for which a caller does not
reuse its address and port, so that no newer flow can be reset by mistake."""

MAX_UNANSWERED_PARTS = 2
"""Consecutive parts that a collector may leave unanswered; datagrams may be dropped."""

SILENT_COLLECTOR_BACKOFF_SECONDS = 30.0
"""Time for which a balancer that did not answer is not chosen as collector."""

FLOWS_PER_MESSAGE = 17
"""Flows in one message; at up to 64 bytes each they fit into one datagram."""

MAX_CHECKPOINT_FLOWS = 4000
"""Flows in one checkpoint, and in the part of one balancer; at about 110 bytes each
they fit into a stored value, which is limited to 1 MB.  A balancer reports its latest
ones."""


def choose_collector(state: BalancerState, now: float) -> str:
    """Return the balancer with the lowest host among those believed to be alive."""
    silent_until = state.checkpoints.silent_until
    others = [
        host
        for host, report in state.nodes.balancers.items()
        if not report.stopping and silent_until.get(host, 0.0) <= now
    ]
    if state.stop_at is None or not others:
        others.append(state.report.host)
    return min(others)


def is_collector(state: BalancerState, now: float) -> bool:
    """Whether this balancer is the collector, as far as it knows."""
    return choose_collector(state, now) == state.report.host


def handle_tick(state: BalancerState, now: float) -> list[Effect]:
    """Send the open flows to the collector, or store all parts as the collector."""
    checkpoints = state.checkpoints
    if now < checkpoints.next_at:
        return []
    checkpoints.next_at = now + CHECKPOINT_INTERVAL_SECONDS
    checkpoints.number += 1
    _update_collector_backoff(checkpoints, now)
    flows = _list_open_flows(state, now)
    collector = choose_collector(state, now)
    if collector != checkpoints.collector:
        checkpoints.collector = collector
        checkpoints.unanswered = 0
    if collector == state.report.host:
        part = checkpoints.parts.setdefault(collector, Part())
        _replace_flows(part, KeyRange(), flows.values(), now)
        return _store_checkpoint(checkpoints, now)
    checkpoints.unanswered += 1
    return [
        SendMessage(
            collector,
            CheckpointPart(
                incarnation=state.report.incarnation,
                number=checkpoints.number,
                keys=keys,
                flows=chunk,
            ),
        )
        for keys, chunk in split_by_key(flows, FLOWS_PER_MESSAGE)
    ]


def _update_collector_backoff(checkpoints: Checkpoints, now: float) -> None:
    if checkpoints.unanswered >= MAX_UNANSWERED_PARTS:
        checkpoints.silent_until[checkpoints.collector] = (
            now + SILENT_COLLECTOR_BACKOFF_SECONDS
        )


def _list_open_flows(state: BalancerState, now: float) -> dict[bytes, OpenFlow]:
    """Return the latest flows whose callers may be waiting for an answer."""
    entries = [
        (key, flow)
        for key, flow in state.flows.items()
        if flow.host
        and flow.boot
        and not flow.closed
        and flow.last_packet_at - flow.started_at >= MIN_FLOW_DURATION_SECONDS
        and now - flow.last_packet_at <= MAX_FLOW_IDLE_SECONDS
    ]
    if len(entries) > MAX_CHECKPOINT_FLOWS:
        entries.sort(key=lambda entry: entry[1].last_packet_at)
        del entries[:-MAX_CHECKPOINT_FLOWS]
    return {
        key: OpenFlow(
            flow=key,
            host=flow.host,
            service=flow.service,
            boot=flow.boot,
            caller_ack=flow.caller_ack,
        )
        for key, flow in entries
    }


def _replace_flows(
    part: Part, keys: KeyRange, flows: Iterable[OpenFlow], now: float
) -> None:
    """Replace the flows of a range of keys."""
    part.received_at = now
    start = bisect.bisect_right(part.keys, keys.after)
    end = (
        len(part.keys)
        if keys.until is None
        else max(bisect.bisect_right(part.keys, keys.until), start)
    )
    for key in part.keys[start:end]:
        del part.flows[key]
    capacity = MAX_CHECKPOINT_FLOWS - len(part.flows)
    reported = {flow.flow: flow for flow in flows if keys.contains(flow.flow)}
    part.keys[start:end] = sorted(reported)[:capacity]
    for key in part.keys[start : start + min(len(reported), capacity)]:
        part.flows[key] = TimedFlow(reported[key], now)


def _expire_flows(part: Part, now: float) -> None:
    """Remove flows whose balancer has not reported them again."""
    part.flows = {
        key: timed
        for key, timed in part.flows.items()
        if now - timed.reported_at <= FLOW_LIFETIME_SECONDS
    }
    part.keys = sorted(part.flows)


def _store_checkpoint(checkpoints: Checkpoints, now: float) -> list[Effect]:
    parts = checkpoints.parts
    for host, part in list(parts.items()):
        _expire_flows(part, now)
        if now - part.received_at > FLOW_LIFETIME_SECONDS:
            del parts[host]
    value = _merge_parts(parts)
    if value == checkpoints.stored:
        return []
    checkpoints.stored = value
    return [StoreCheckpoint(value)]


def _merge_parts(parts: dict[str, Part]) -> dict[str, list[OpenFlow]]:
    """Return each flow once, from the balancer that saw its latest packet.

    After routers have moved a flow to another balancer, the previous one still reports
    it, but with an outdated acknowledgement number.  A reset needs the latest one.
    """
    latest: dict[bytes, tuple[str, OpenFlow]] = {}
    for host, part in sorted(parts.items()):
        for flow in (timed.flow for timed in part.flows.values()):
            known = latest.get(flow.flow)
            if known is None or _is_ahead(flow, known[1]):
                latest[flow.flow] = host, flow
    value: dict[str, list[OpenFlow]] = {}
    for host, flow in list(latest.values())[:MAX_CHECKPOINT_FLOWS]:
        value.setdefault(host, []).append(flow)
    return value


def _is_ahead(flow: OpenFlow, known: OpenFlow) -> bool:
    advance = measure_advance(flow.caller_ack, known.caller_ack)
    return 0 < advance < SEQUENCE_SPACE // 2


def handle_checkpoint_part(
    state: BalancerState, message: CheckpointPart, source: str, now: float
) -> list[Effect]:
    """Handle the open flows of another balancer, as its collector."""
    part = state.checkpoints.parts.setdefault(source, Part())
    if not _is_outdated(part, message):
        if message.incarnation != part.incarnation:
            part.earlier_incarnations.add(part.incarnation)
            part.incarnation = message.incarnation
        part.number = message.number
        _replace_flows(part, message.keys, message.flows, now)
    return [SendMessage(source, CheckpointTaken())]


def _is_outdated(part: Part, message: CheckpointPart) -> bool:
    """Whether a message belongs to an earlier list than the latest one."""
    if message.incarnation == part.incarnation:
        return message.number < part.number
    return message.incarnation in part.earlier_incarnations


def handle_checkpoint_taken(state: BalancerState, source: str) -> list[Effect]:
    """Record that the collector has answered."""
    state.checkpoints.silent_until.pop(source, None)
    if source == state.checkpoints.collector:
        state.checkpoints.unanswered = 0
    return []


def handle_checkpoint_read(state: BalancerState, event: CheckpointRead) -> list[Effect]:
    """Keep the parts of all balancers, and restore this one's flows at its start."""
    if event.age > MAX_CHECKPOINT_AGE_SECONDS:
        return []
    for host, flows in event.parts.items():
        if host not in state.checkpoints.parts:
            part = state.checkpoints.parts[host] = Part()
            _replace_flows(part, KeyRange(), flows, event.now)
    if not event.at_start:
        return []
    restored = [
        flow
        for flow in event.parts.get(state.report.host, [])
        if _restore_flow(state, flow, event.now)
    ]
    fields = {"flows": len(restored), "age": round(event.age, 1)}
    return [WriteLog(event=LogEvent.CHECKPOINT_READ, fields=fields)]


def _restore_flow(state: BalancerState, stored: OpenFlow, now: float) -> bool:
    """Restore a flow and ask its agent for it, unless something newer is known."""
    key = stored.flow
    if key in state.flows or key in state.searches or key in state.resets:
        return False
    flow = BalancerFlow(
        service=stored.service,
        last_packet_at=now,
        started_at=now,
        host=stored.host,
        boot=stored.boot,
        caller_ack=stored.caller_ack,
        restored=True,
    )
    state.flows[key] = flow
    state.hosts_with_flows.add(stored.host)
    _flow_search.request_verification(state, key, flow)
    return True
