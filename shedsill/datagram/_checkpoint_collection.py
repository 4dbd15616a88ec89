"""Checkpoints of open flows, for callers whose flow nobody remembers.

When balancer, agent and upstream of a flow lose power together, a caller that waits
for an answer has had everything acknowledged.  It sends nothing, and no node that
starts afterwards knows that it is there, so that it would wait until its deadline.

So each balancer tells the collector, the first balancer by host that answers, which
flows have been open for a while, and the collector keeps them all in one object of the
platform's store.  A balancer that starts after an end without notice reads what its
last run had told, and treats these flows as doubted: each one's agent is asked, and
the caller is reset if the agent denies the flow.  An agent that holds it, or cannot
tell, leaves the flow alone.
"""

from __future__ import annotations

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import _flow_search
from shedsill.datagram._balancer_state import BalancerFlow, BalancerState
from shedsill.datagram._checkpoints import Checkpoints, Part
from shedsill.datagram._effects import Effect, SendMessage, StoreCheckpoint
from shedsill.datagram._events import CheckpointRead
from shedsill.datagram._messages import (
    CheckpointPart,
    CheckpointTaken,
    OpenFlow,
    split_into_chunks,
)
from shedsill.datagram._packet import SEQUENCE_SPACE, measure_advance

CHECKPOINT_INTERVAL_SECONDS = 2.0
"""Seconds between checkpoints.  Each one is one call of the store for the whole
deployment; flows opened since the last one are not in it."""

MIN_FLOW_DURATION_SECONDS = 0.5
"""Seconds for which a caller has used a flow before it is kept: those of a single
request are over by then, and cost no write."""

MAX_FLOW_IDLE_SECONDS = 10.0
"""Seconds within which a caller has sent a packet on a flow that is kept.  Callers of
long flows pause for some seconds, and one that asks again in the dark on a flow that
has ended is as badly off as one whose request was at work."""

PART_LIFETIME_SECONDS = 10.0
"""Seconds for which the collector keeps what a balancer has told: long enough for that
balancer to lose its power, start and read it."""

MAX_CHECKPOINT_AGE_SECONDS = 30.0
"""Seconds after which a checkpoint is not used any more: half of the 60 s in which a
caller's end does not use the same address and port again for the same endpoint, so
that no flow but the one meant can be reset."""

MAX_UNANSWERED_PARTS = 2
"""Parts in a row that a collector may leave unanswered; datagrams may be lost."""

SILENT_COLLECTOR_BACKOFF_SECONDS = 30.0
"""Seconds for which a balancer that did not answer is not chosen as collector."""

FLOWS_PER_MESSAGE = 18
"""Flows in one message; up to 64 octets each, so that they fit a packet."""

MAX_CHECKPOINT_FLOWS = 4000
"""Flows in one checkpoint, of each balancer the latest ones; about 110 octets each in
the store, whose values may be of 1 MB."""


def choose_collector(state: BalancerState, now: float) -> str:
    """Return the first balancer by host that is believed to answer."""
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
    """Tell the collector of the open flows, or store what it was told."""
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
        checkpoints.parts[collector] = Part(checkpoints.number, now, flows)
        return _store_checkpoint(checkpoints, now)
    checkpoints.unanswered += 1
    return _send_part(collector, checkpoints.number, flows)


def _update_collector_backoff(checkpoints: Checkpoints, now: float) -> None:
    if checkpoints.unanswered >= MAX_UNANSWERED_PARTS:
        checkpoints.silent_until[checkpoints.collector] = (
            now + SILENT_COLLECTOR_BACKOFF_SECONDS
        )


def _send_part(collector: str, number: int, flows: list[OpenFlow]) -> list[Effect]:
    return [
        SendMessage(collector, CheckpointPart(number=number, flows=part))
        for part in split_into_chunks(flows, FLOWS_PER_MESSAGE)
    ]


def _list_open_flows(state: BalancerState, now: float) -> list[OpenFlow]:
    """Return the flows whose callers may be waiting for an answer."""
    kept = [
        (key, flow)
        for key, flow in state.flows.items()
        if flow.host
        and flow.boot
        and not flow.closed
        and flow.last_packet_at - flow.started_at >= MIN_FLOW_DURATION_SECONDS
        and now - flow.last_packet_at <= MAX_FLOW_IDLE_SECONDS
    ]
    if len(kept) > MAX_CHECKPOINT_FLOWS:
        kept.sort(key=lambda entry: entry[1].last_packet_at)
        del kept[:-MAX_CHECKPOINT_FLOWS]
    return [
        OpenFlow(
            flow=key,
            host=flow.host,
            service=flow.service,
            boot=flow.boot,
            caller_ack=flow.caller_ack,
        )
        for key, flow in kept
    ]


def _store_checkpoint(checkpoints: Checkpoints, now: float) -> list[Effect]:
    parts = checkpoints.parts
    for host, part in list(parts.items()):
        if now - part.taken_at > PART_LIFETIME_SECONDS:
            del parts[host]
    value = _merge_parts(parts)
    if value == checkpoints.stored:
        return []
    checkpoints.stored = value
    return [StoreCheckpoint(value)]


def _merge_parts(parts: dict[str, Part]) -> dict[str, list[OpenFlow]]:
    """Return each flow once, from the balancer that has seen most of it.

    After a change of the routers the one before still remembers it, but does not know
    how far the caller has got, which a reset has to name.
    """
    latest: dict[bytes, tuple[str, OpenFlow]] = {}
    for host, part in sorted(parts.items()):
        for flow in part.flows:
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
    """Take in what another balancer tells its collector."""
    parts = state.checkpoints.parts
    part = parts.get(source)
    if part is None or part.number != message.number:
        part = parts[source] = Part(message.number, now)
    part.flows += message.flows[: MAX_CHECKPOINT_FLOWS - len(part.flows)]
    return [SendMessage(source, CheckpointTaken())]


def handle_checkpoint_taken(state: BalancerState, source: str) -> list[Effect]:
    """Note that the collector is there."""
    state.checkpoints.silent_until.pop(source, None)
    if source == state.checkpoints.collector:
        state.checkpoints.unanswered = 0
    return []


def handle_checkpoint_read(state: BalancerState, event: CheckpointRead) -> list[Effect]:
    """Keep what others have told; doubt the flows of this balancer's last run."""
    if event.age > MAX_CHECKPOINT_AGE_SECONDS:
        return []
    for host, flows in event.parts.items():
        if host not in state.checkpoints.parts:
            state.checkpoints.parts[host] = Part(0, event.now, flows)
    if not event.at_start:
        return []
    restored = [
        flow
        for flow in event.parts.get(state.report.host, [])
        if _restore_flow(state, flow, event.now)
    ]
    fields = {"flows": len(restored), "age": round(event.age, 1)}
    return [WriteLog(event=LogEvent.CHECKPOINT_READ, fields=fields)]


def _restore_flow(state: BalancerState, kept: OpenFlow, now: float) -> bool:
    """Have the agent of a flow asked for it, unless something newer is known."""
    key = kept.flow
    if key in state.flows or key in state.searches or key in state.resets:
        return False
    flow = BalancerFlow(
        service=kept.service,
        last_packet_at=now,
        started_at=now,
        host=kept.host,
        boot=kept.boot,
        caller_ack=kept.caller_ack,
        unverified=True,
        restored=True,
    )
    state.flows[key] = flow
    state.hosts_with_flows.add(kept.host)
    _flow_search.verify_flow(state, key, flow)
    return True
