"""What a balancer knows of the other nodes.

Agents and balancers keep a report of themselves in the platform's store, and
tell those they have heard of directly.  Direct news and the store may come in
any order; the incarnation and serial of a report tell which is later.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill.datagram._messages import Load, NodeReport, Role, UpstreamState
from shedsill.datagram._selection import UpstreamView

IDLE_BEFORE_PROBE_SECONDS = 0.5
"""Seconds without a word after which an agent that holds flows is asked; long
enough that agents under traffic are never asked."""

PROBE_INTERVAL_SECONDS = 0.15
"""Seconds between questions to an agent that does not answer."""

LOST_AFTER_SECONDS = 1.0
"""Seconds of silence after which an agent's flows are given up.  Far above the
0.1 s for which a VM out of processor quota stands still, and below the deadline
of any request, so that callers have time for another try."""

STOPPING_LOST_AFTER_SECONDS = 2.5
"""The same for an agent that has said that it stops: it may be restarted beside a
living upstream, which takes 0.6 s (1.4 s measured with 0.16 of a core), and
answers until then.  One that is silent for longer has gone with its VM."""

GONE_LOST_AFTER_SECONDS = 0.3
"""The same for an agent whose upstream has said that it ends: their VM goes next, and
each search for a flow would wait for it."""

LOST_AFTER_PROBES = 3
"""Questions that must have gone unanswered by then; datagrams may be lost."""

SILENT_AFTER_PROBES = 2
"""Unanswered questions from which on an agent counts as silent: one datagram may be
lost, and the second question follows after 0.15 s, longer than a VM out of processor
quota stands still."""

ISOLATION_SHARE = 0.5
"""Share of silent agents from which on the silence is put down to this balancer's
own VM or link; a balancer that is cut off or choked hears from none."""

ISOLATED_AFTER_PROBES = 4
"""Unanswered questions (0.45 s) to most agents after which a balancer asks the
routers for no more packets; others of the zone or the next one reach the agents."""

SYNC_TIMEOUT_SECONDS = LOST_AFTER_SECONDS
"""Seconds in which a new balancer asks others which nodes they know.  It resets no
flow that its agents deny before one has told, or before this time has passed where
none answers: as long as an agent may be silent before it is given up."""

RETIRED_RETENTION_SECONDS = 600.0
"""Seconds for which an ended incarnation is remembered; no report of it can be
under way or come from the store any more."""

LOST_PROBE_INTERVAL_SECONDS = 0.5
"""Seconds between questions to an agent that was given up."""


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
        Incarnations that have ended, and when they were replaced.
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
    """Take in one report; return the one that it replaced, if any.

    Within an incarnation the serial decides which report is later.  Incarnations
    are not ordered: what a node says itself is true at that moment, and what the
    store or others say of it may be old.  An agent that is answering is asked
    itself when others tell of another incarnation.

    Parameters
    ----------
    direct : bool
        Whether it came from the node itself rather than through the store.

    Examples
    --------
    >>> nodes = Nodes()
    >>> run = NodeReport(host="a", role=Role.AGENT, zone="z", incarnation=2)
    >>> merge_report(nodes, run, 1.0, direct=True)
    >>> old = replace(run, incarnation=1)
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
    return before


def _merge_balancer(nodes: Nodes, report: NodeReport) -> NodeReport | None:
    known = nodes.balancers.get(report.host)
    is_same = known is not None and known.incarnation == report.incarnation
    if known is None or not is_same or report.serial > known.serial:
        nodes.balancers[report.host] = report
    return known


def is_confirmed(view: UpstreamView) -> bool:
    """Whether an agent has told its incarnation itself and is not silent."""
    return (
        view.confirmed_incarnation == view.report.incarnation
        and view.silent_since is None
    )


def _record_direct_report(view: UpstreamView, report: NodeReport, now: float) -> None:
    """Note what an agent says of itself."""
    record_message(view, now)
    view.confirmed_incarnation = report.incarnation
    view.avoided_until = now + report.load.avoided
    view.report = replace(view.report, load=report.load)


def _replace_incarnation(
    nodes: Nodes, view: UpstreamView, report: NodeReport, now: float
) -> None:
    """Replace an agent's incarnation; forget the silence of the last one."""
    nodes.retired_incarnations[view.report.incarnation] = now
    view.report = replace(report, load=view.report.load)
    schedule_probe(view, now)
    view.unanswered_probes = 0
    view.suspect = False
    view.lost = False


def schedule_probe(view: UpstreamView, now: float) -> None:
    """Have an agent asked at the next tick."""
    if view.silent_since is None or view.lost:
        view.silent_since = now
    view.last_probe_at = now - PROBE_INTERVAL_SECONDS


def record_message(view: UpstreamView, now: float) -> None:
    """Note that an agent has said something."""
    view.last_heard_at = now
    view.silent_since = None
    view.unanswered_probes = 0
    view.suspect = False
    view.lost = False


def record_load(view: UpstreamView, load: Load, boot: str, now: float) -> None:
    """Take in the load that came with another message."""
    record_message(view, now)
    view.avoided_until = now + load.avoided
    if boot == view.report.boot:
        view.report = replace(view.report, load=load)


def is_probe_due(view: UpstreamView, now: float, *, needed: bool) -> bool:
    """Whether an agent has to be asked now whether it is alive.

    Parameters
    ----------
    needed : bool
        Whether anything depends on it: it holds flows of this balancer, or
        another agent is silent and this one shows whose fault that is.
    """
    if view.silent_since is None:
        needed = needed or view.suspect or not view.last_heard_at
        return needed and now - view.last_heard_at >= IDLE_BEFORE_PROBE_SECONDS
    interval = LOST_PROBE_INTERVAL_SECONDS if view.lost else PROBE_INTERVAL_SECONDS
    return now - view.last_probe_at >= interval


def record_probe(view: UpstreamView, now: float) -> None:
    """Note that an agent was asked."""
    if view.silent_since is None:
        view.silent_since = now
    view.last_probe_at = now
    view.unanswered_probes += 1
    if view.unanswered_probes >= SILENT_AFTER_PROBES:
        view.suspect = True


def mark_suspect(view: UpstreamView, now: float) -> None:
    """Note that an agent has left something unanswered; ask it next."""
    view.suspect = True
    if view.silent_since is None:
        schedule_probe(view, now)


def is_ending(view: UpstreamView) -> bool:
    """Whether an upstream has said that it ends, and its agent still answers."""
    return view.report.state == UpstreamState.GONE and not view.lost


def has_timed_out(view: UpstreamView, now: float) -> bool:
    """Whether the flows of a silent agent are to be given up now."""
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


def is_isolated(
    views: Iterable[UpstreamView], now: float, *, min_probes: int = SILENT_AFTER_PROBES
) -> bool:
    """Whether so many agents are silent that it must be this balancer's doing.

    Parameters
    ----------
    min_probes : int
        Unanswered questions from which on an agent counts as silent.
    """
    silent = heard = 0
    for view in views:
        if view.lost:
            continue
        if view.silent_since is not None and view.unanswered_probes >= min_probes:
            silent += 1
        elif view.last_heard_at and now - view.last_heard_at < LOST_AFTER_SECONDS:
            heard += 1
    return silent > ISOLATION_SHARE * (silent + heard)


def remove_retired(nodes: Nodes, now: float) -> None:
    """Drop incarnations that ended long ago."""
    for incarnation, at in list(nodes.retired_incarnations.items()):
        if now - at > RETIRED_RETENTION_SECONDS:
            del nodes.retired_incarnations[incarnation]


def restart_silence_timers(views: Iterable[UpstreamView], now: float) -> int:
    """Count the silence of agents anew: messages to or from this balancer were lost.

    An agent is given up only after a time in which this balancer would have heard it
    if it lived.  After a sign that this was not so, that time begins again; giving a
    dead agent up takes up to `LOST_AFTER_SECONDS` longer then.

    Returns
    -------
    int
        The agents that are silent.
    """
    silent = [v for v in views if v.silent_since is not None and not v.lost]
    for view in silent:
        view.silent_since = now
    return len(silent)


def is_late_answer(before: UpstreamView, after: UpstreamView) -> bool:
    """Whether an agent that has just spoken shows that questions were lost.

    One that was restarted, or had said that it stops, was away itself.
    """
    away = before.report.incarnation != after.report.incarnation
    return before.unanswered_probes >= SILENT_AFTER_PROBES and not (
        away or before.report.stopping
    )


def shift_silence_timers(views: Iterable[UpstreamView], pause: float) -> None:
    """Take back the silence that was this node's own: it did not run meanwhile."""
    for view in views:
        if view.silent_since is not None:
            view.silent_since += pause
            view.last_probe_at += pause
