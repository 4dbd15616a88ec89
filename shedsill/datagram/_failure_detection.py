"""Reports of other nodes, and detection of agents that have failed.

Nodes keep a report of themselves in the platform's store and also send it to the
nodes that they know.  Both ways may deliver reports in any order; incarnation and
serial decide which report is later.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill.datagram._messages import Load, NodeReport, Role, UpstreamState
from shedsill.datagram._selection import UpstreamView
from shedsill.datagram._statements import get_later, is_superseded

IDLE_BEFORE_PROBE_SECONDS = 0.5
"""Time without a message after which an agent that holds flows is probed; agents that
carry traffic send messages more often."""

PROBE_INTERVAL_SECONDS = 0.15
"""Interval between probes of an agent that does not answer."""

LOST_AFTER_SECONDS = 1.0
"""Silence after which an agent is lost and its flows are reset: well above the pauses
of a throttled VM (0.1 s), and below all request deadlines, so that callers have time
for another attempt."""

STOPPING_LOST_AFTER_SECONDS = 2.5
"""The same for an agent that has announced its stop; its restart beside a running
upstream must fit into this time.  It takes 0.6 s, and took 1.4 s with 0.16 of a core;
an agent that is silent for longer has gone with its VM."""

GONE_LOST_AFTER_SECONDS = 0.3
"""The same for an agent whose upstream has announced its end: the VM is removed next,
and searches would wait for it."""

LOST_AFTER_PROBES = 3
"""Unanswered probes required before an agent is lost; datagrams may be dropped."""

SILENT_AFTER_PROBES = 2
"""Unanswered probes from which on an agent counts as silent: a single datagram may be
dropped, and the next probe follows after more than the pause of a throttled VM."""

AGENTS_PER_LINK_CHECK = 3
"""Agents that are probed to check this balancer's own link; one answer suffices."""

ISOLATION_SHARE = 0.5
"""Share of silent agents above which the fault is attributed to this balancer's own VM
or network link: one that is cut off or overloaded receives no messages at all."""

ISOLATED_AFTER_PROBES = 4
"""Unanswered probes of most agents after which a balancer is not ready any more, so
that routers use other balancers, which reach the agents; four probes take 0.45 s."""

SYNC_TIMEOUT_SECONDS = LOST_AFTER_SECONDS
"""Time for which a new balancer waits for the nodes known to its peers before it resets
flows that its agents deny; as long as a live agent may be silent."""

RETIRED_RETENTION_SECONDS = 600.0
"""Time for which an ended incarnation is kept; no report of it can arrive later."""

EARLIER_REPORT_SECONDS = 10.0
"""Time for which what an earlier incarnation of an agent has reported may contradict
the current one: several intervals of the upstream's heartbeats."""

LOST_PROBE_INTERVAL_SECONDS = 0.5
"""Interval between probes of a lost agent."""


class Nodes(Struct):
    """All nodes known to one balancer.

    Attributes
    ----------
    upstreams : dict of str to UpstreamView
        Agents by host.
    balancers : dict of str to NodeReport
        Other balancers by host.
    store_listed : bool
        Whether the store has been read since the start.
    retired_incarnations : dict of int to float
        Ended incarnations, and when each was replaced.
    """

    upstreams: dict[str, UpstreamView] = field(default_factory=dict)
    balancers: dict[str, NodeReport] = field(default_factory=dict)
    store_listed: bool = False
    retired_incarnations: dict[int, float] = field(default_factory=dict)

    def list_service_upstreams(self, service: str) -> list[UpstreamView]:
        """Return the upstreams of a service."""
        return [v for v in self.upstreams.values() if v.report.service == service]


def merge_report(
    nodes: Nodes, report: NodeReport, now: float, *, direct: bool
) -> NodeReport | None:
    """Merge a report into the known nodes.

    Within an incarnation the report with the higher serial is later.  Incarnations
    are not ordered: a report that comes from the node itself is current, while one
    from the store or another node may be outdated.  If another incarnation of an
    answering agent is reported indirectly, the agent is probed.

    Parameters
    ----------
    direct : bool
        Whether the report came from the node itself.

    Returns
    -------
    NodeReport or None
        The node's previous report.

    Examples
    --------
    >>> nodes = Nodes()
    >>> report = NodeReport(host="a", role=Role.AGENT, zone="z", incarnation=2)
    >>> merge_report(nodes, report, 1.0, direct=True)
    >>> old = replace(report, incarnation=1)
    >>> merge_report(nodes, old, 1.1, direct=False).incarnation
    2
    >>> nodes.upstreams["a"].report.incarnation
    2
    >>> is_probe_due(nodes.upstreams["a"], 1.1, needed=False)
    True
    """
    if report.role == Role.BALANCER:
        return _merge_balancer(nodes, report)
    view = nodes.upstreams.get(report.host)
    if view is None:
        view = UpstreamView(report=report)
        nodes.upstreams[report.host] = view
        if direct:
            _record_direct_report(view, report, now)
        return None
    before = view.report
    if report.incarnation == before.incarnation:
        if report.serial > before.serial:
            view.report = replace(report, load=before.load)
    elif direct:
        nodes.retired_incarnations.pop(report.incarnation, None)
        _replace_incarnation(nodes, view, report, now)
    elif report.incarnation not in nodes.retired_incarnations:
        if is_confirmed(view):
            view.reported_incarnation = report.incarnation
            schedule_probe(view, now)
        else:
            _replace_incarnation(nodes, view, report, now)
    if direct:
        _record_direct_report(view, report, now)
    _update_earlier_report(view)
    return before


def _merge_balancer(nodes: Nodes, report: NodeReport) -> NodeReport | None:
    known = nodes.balancers.get(report.host)
    is_same = known is not None and known.incarnation == report.incarnation
    if known is None or not is_same or report.serial > known.serial:
        nodes.balancers[report.host] = report
    return known


def is_confirmed(view: UpstreamView) -> bool:
    """Whether the agent itself has reported its incarnation, and is not silent."""
    return (
        view.confirmed_incarnation == view.report.incarnation
        and view.silent_since is None
    )


def _record_direct_report(view: UpstreamView, report: NodeReport, now: float) -> None:
    """Record a report that came from the agent itself."""
    record_message(view, now)
    view.confirmed_incarnation = report.incarnation
    view.avoided_until = now + report.load.avoided
    view.report = replace(view.report, load=report.load)


def _replace_incarnation(
    nodes: Nodes, view: UpstreamView, report: NodeReport, now: float
) -> None:
    """Replace an agent's incarnation, and clear the silence of the previous one."""
    nodes.retired_incarnations[view.report.incarnation] = now
    view.earlier_heard_at = view.last_heard_at
    view.earlier_boot = view.report.boot or view.earlier_boot
    view.earlier_report = get_later(view.earlier_report, view.report)
    view.replaced_at = now
    was_heard = view.confirmed_incarnation == view.report.incarnation
    view.returned_alive = was_heard and not view.lost
    view.report = replace(report, load=view.report.load)
    schedule_probe(view, now)
    view.unanswered_probes = 0
    view.suspect = False
    view.lost = False


def _update_earlier_report(view: UpstreamView) -> None:
    """Forget the report of an earlier incarnation once the current one knows better."""
    earlier = view.earlier_report
    if earlier is not None and is_superseded(earlier, view.report):
        view.earlier_report = None


def get_earlier_report(view: UpstreamView, incarnation: int) -> NodeReport | None:
    """Return what is known from incarnations of an agent before a given one."""
    if view.report.incarnation == incarnation:
        return view.earlier_report
    return get_later(view.earlier_report, view.report)


def expire_earlier_report(view: UpstreamView, now: float) -> None:
    """Forget the report of an earlier incarnation after some time.

    The agent knows it by then, and has reasons to report another boot: the clock by
    which starts are told may have been set back.
    """
    if now - view.replaced_at > EARLIER_REPORT_SECONDS:
        view.earlier_report = None


def schedule_probe(view: UpstreamView, now: float) -> None:
    """Have an agent probed at the next tick."""
    if view.silent_since is None or view.lost:
        view.silent_since = now
    view.last_probe_at = now - PROBE_INTERVAL_SECONDS


def record_message(view: UpstreamView, now: float) -> None:
    """Record that a message came from an agent."""
    view.last_heard_at = now
    view.silent_since = None
    view.unanswered_probes = 0
    view.suspect = False
    view.lost = False


def record_load(view: UpstreamView, load: Load, boot: str, now: float) -> None:
    """Record the load that came with a message."""
    record_message(view, now)
    view.avoided_until = now + load.avoided
    if boot == view.report.boot:
        view.report = replace(view.report, load=load)


def is_probe_due(view: UpstreamView, now: float, *, needed: bool) -> bool:
    """Whether an agent should be probed now.

    Parameters
    ----------
    needed : bool
        Whether the agent's liveness matters: it holds flows of this balancer, is
        leaving, or is compared with another agent that is silent.
    """
    if view.silent_since is None:
        needed = needed or view.suspect or not view.last_heard_at
        return needed and now - view.last_heard_at >= IDLE_BEFORE_PROBE_SECONDS
    interval = LOST_PROBE_INTERVAL_SECONDS if view.lost else PROBE_INTERVAL_SECONDS
    return now - view.last_probe_at >= interval


def record_probe(view: UpstreamView, now: float) -> None:
    """Record that an agent was probed."""
    if view.silent_since is None:
        view.silent_since = now
    view.last_probe_at = now
    view.unanswered_probes += 1
    if view.unanswered_probes >= SILENT_AFTER_PROBES:
        view.suspect = True


def mark_suspect(view: UpstreamView, now: float) -> None:
    """Record that an agent has left a message unanswered, and have it probed."""
    view.suspect = True
    if view.silent_since is None:
        schedule_probe(view, now)


def is_ending(view: UpstreamView) -> bool:
    """Whether an upstream has announced its end and its agent is not lost."""
    return view.report.state == UpstreamState.GONE and not view.lost


def has_timed_out(view: UpstreamView, now: float) -> bool:
    """Whether an agent was silent at a given time for so long that it is lost."""
    if view.lost or view.silent_since is None:
        return False
    if is_ending(view):
        limit = GONE_LOST_AFTER_SECONDS
    else:
        limit = (
            STOPPING_LOST_AFTER_SECONDS if view.report.stopping else LOST_AFTER_SECONDS
        )
    return (
        now - view.silent_since >= limit and view.unanswered_probes >= LOST_AFTER_PROBES
    )


def get_last_contact(views: Iterable[UpstreamView], now: float) -> float:
    """Return when the last message came from an agent that has not timed out.

    Until then this balancer would have received the messages of the other agents, too.
    """
    return max(
        (view.last_heard_at for view in views if not has_timed_out(view, now)),
        default=0.0,
    )


def list_latest_heard(views: Iterable[UpstreamView], now: float) -> list[UpstreamView]:
    """Return the agents to probe in order to check this balancer's own link."""
    answering = [
        view
        for view in views
        if not view.lost and now - view.last_probe_at >= PROBE_INTERVAL_SECONDS
    ]
    return heapq.nlargest(
        AGENTS_PER_LINK_CHECK, answering, key=lambda view: view.last_heard_at
    )


def is_isolated(
    views: Iterable[UpstreamView], now: float, *, min_probes: int = SILENT_AFTER_PROBES
) -> bool:
    """Whether so many agents are silent that this balancer must be cut off.

    Parameters
    ----------
    min_probes : int
        Unanswered probes from which on an agent counts as silent.
    """
    silent = answering = 0
    for view in views:
        if view.lost:
            continue
        if view.silent_since is not None and view.unanswered_probes >= min_probes:
            silent += 1
        elif view.last_heard_at and now - view.last_heard_at < LOST_AFTER_SECONDS:
            answering += 1
    return silent > ISOLATION_SHARE * (silent + answering)


def remove_retired(nodes: Nodes, now: float) -> None:
    """Remove incarnations that ended long ago."""
    for incarnation, at in list(nodes.retired_incarnations.items()):
        if now - at > RETIRED_RETENTION_SECONDS:
            del nodes.retired_incarnations[incarnation]


def restart_silence_timers(views: Iterable[UpstreamView], now: float) -> int:
    """Restart the timers of silent agents, after messages were dropped.

    An agent is marked as lost only after a time in which this balancer would have
    received its messages.  Restarting the timers delays the detection of a failed agent
    by up to `LOST_AFTER_SECONDS`.

    Returns
    -------
    int
        Number of silent agents.
    """
    silent = [v for v in views if v.silent_since is not None and not v.lost]
    for view in silent:
        view.silent_since = now
    return len(silent)


def is_late_answer(before: UpstreamView, after: UpstreamView) -> bool:
    """Whether an agent's message shows that earlier probes were dropped.

    An agent that was restarted, or had announced its stop, was unavailable itself.
    """
    restarted = before.report.incarnation != after.report.incarnation
    return before.unanswered_probes >= SILENT_AFTER_PROBES and not (
        restarted or before.report.stopping
    )


def shift_silence_timers(views: Iterable[UpstreamView], pause: float) -> None:
    """Exclude a pause of this node from the silence of agents."""
    for view in views:
        if view.silent_since is not None:
            view.silent_since += pause
            view.last_probe_at += pause
