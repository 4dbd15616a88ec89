"""What a balancer knows of the other nodes.

Agents and balancers keep a report of themselves in the platform's store, and
tell those they have heard of directly.  Direct news and the store may come in
any order; the incarnation and serial of a report tell which is later.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from shedsill.datagram._messages import Load, NodeReport, Role
from shedsill.datagram._selection import UpstreamView

SILENT_AFTER = 0.5
"""Seconds without a word after which an agent that holds flows is asked; long
enough that agents under traffic are never asked."""

ASK_INTERVAL = 0.15
"""Seconds between questions to an agent that does not answer."""

LOST_AFTER = 1.0
"""Seconds of silence after which an agent's flows are given up.  Far above the
0.1 s for which a VM out of processor quota stands still, and below the deadline
of any request, so that callers have time for another try."""

UNHEARD_LOST_AFTER = 0.5
"""The same for an agent of which only the store has told since this balancer's
start: most such reports are of VMs that are gone."""

STOPPING_LOST_AFTER = 2.5
"""The same for an agent that has said that it stops: it may be restarted beside a
living upstream, which takes 0.6 s (1.4 s on the smallest VMs, as played), and
answers until then.  One that is silent for longer has gone with its VM."""

LOST_QUESTIONS = 3
"""Questions that must have gone unanswered by then; datagrams may be lost."""

ISOLATION_SHARE = 0.5
"""Share of silent agents from which on the silence is put down to this balancer's
own VM or link; a balancer that is cut off or choked hears from none."""

ISOLATED_QUESTIONS = 4
"""Unanswered questions (0.45 s) to most agents after which a balancer asks the
routers for no more packets; others of the zone or the next one reach the agents."""

RETIRED_MEMORY = 600.0
"""Seconds for which an ended incarnation is remembered; no report of it can be
under way or come from the store any more."""

LOST_ASK_INTERVAL = 0.5
"""Seconds between questions to an agent that was given up."""


class Nodes(Struct):
    """All nodes known to one balancer.

    Attributes
    ----------
    upstreams : dict of str to UpstreamView
        Agents by host.
    balancers : dict of str to NodeReport
        Other balancers by host.
    listed : bool
        Whether the store has been read since the start.
    retired : dict of int to float
        Incarnations that have ended, and when they were replaced.
    """

    upstreams: dict[str, UpstreamView] = field(default_factory=dict)
    balancers: dict[str, NodeReport] = field(default_factory=dict)
    listed: bool = False
    retired: dict[int, float] = field(default_factory=dict)

    def list_service(self, service: str) -> list[UpstreamView]:
        """Return the upstreams of a service."""
        return [v for v in self.upstreams.values() if v.report.service == service]


def is_news(nodes: Nodes, report: NodeReport, known: NodeReport) -> bool:
    """Whether a report replaces the one known.

    Within an incarnation the serial decides.  Incarnations are not ordered, but
    one that was replaced never comes back.

    Examples
    --------
    >>> one = NodeReport(host="a", role=Role.AGENT, zone="z", incarnation=1, serial=4)
    >>> is_news(Nodes(), replace(one, serial=5), one)
    True
    >>> restarted = replace(one, incarnation=2, serial=0)
    >>> is_news(Nodes(), restarted, one)
    True
    >>> is_news(Nodes(retired={1: 0.0}), one, restarted)
    False
    """
    if report.incarnation != known.incarnation:
        return report.incarnation not in nodes.retired
    return report.serial > known.serial


def merge_report(
    nodes: Nodes, report: NodeReport, now: float, *, direct: bool
) -> NodeReport | None:
    """Take in one report; return the one that it replaced, if any.

    Parameters
    ----------
    direct : bool
        Whether it came from the node itself rather than through the store.
    """
    if report.role == Role.BALANCER:
        known = nodes.balancers.get(report.host)
        if known is None or is_news(nodes, report, known):
            nodes.balancers[report.host] = report
        return known
    view = nodes.upstreams.get(report.host)
    if view is None:
        nodes.upstreams[report.host] = UpstreamView(report=report)
        if direct:
            note_heard(nodes.upstreams[report.host], now)
        return None
    before = view.report
    if is_news(nodes, report, before):
        if report.incarnation != before.incarnation:
            nodes.retired[before.incarnation] = now
            begin_anew(view, now)
        if not direct:
            report = replace(report, load=before.load)
        view.report = report
    if direct:
        note_heard(view, now)
        view.avoided_until = now + report.load.avoided
        view.report = replace(view.report, load=report.load)
    return before


def note_heard(view: UpstreamView, now: float) -> None:
    """Note that an agent has said something."""
    view.heard = now
    view.silent_since = None
    view.questions = 0
    view.suspect = False
    view.lost = False


def begin_anew(view: UpstreamView, now: float) -> None:
    """Forget the silence of an agent's last incarnation; ask the new one."""
    view.silent_since = now
    view.asked = now - ASK_INTERVAL
    view.questions = 0
    view.suspect = False
    view.lost = False


def note_load(view: UpstreamView, load: Load, boot: str, now: float) -> None:
    """Take in the load that came with another message."""
    note_heard(view, now)
    view.avoided_until = now + load.avoided
    if boot == view.report.boot:
        view.report = replace(view.report, load=load)


def is_due(view: UpstreamView, now: float, *, wanted: bool) -> bool:
    """Whether an agent has to be asked now whether it is alive.

    Parameters
    ----------
    wanted : bool
        Whether anything depends on it: it holds flows of this balancer, or
        another agent is silent and this one shows whose fault that is.
    """
    if view.silent_since is None:
        wanted = wanted or view.suspect or not view.heard
        return wanted and now - view.heard >= SILENT_AFTER
    interval = LOST_ASK_INTERVAL if view.lost else ASK_INTERVAL
    return now - view.asked >= interval


def note_asked(view: UpstreamView, now: float) -> None:
    """Note that an agent was asked."""
    if view.silent_since is None:
        view.silent_since = now
    view.asked = now
    view.questions += 1
    if view.questions > 1:
        view.suspect = True


def suspect(view: UpstreamView, now: float) -> None:
    """Note that an agent has left something unanswered; ask it next."""
    view.suspect = True
    if view.silent_since is None:
        view.silent_since = now
        view.asked = now - ASK_INTERVAL


def is_lost(view: UpstreamView, now: float) -> bool:
    """Whether the flows of a silent agent are to be given up now."""
    if view.lost or view.silent_since is None:
        return False
    limit = LOST_AFTER if view.heard else UNHEARD_LOST_AFTER
    if view.report.stopping:
        limit = STOPPING_LOST_AFTER
    return now - view.silent_since >= limit and view.questions >= LOST_QUESTIONS


def is_isolated(
    views: Iterable[UpstreamView], now: float, *, questions: int = 2
) -> bool:
    """Whether so many agents are silent that it must be this balancer's doing.

    Parameters
    ----------
    questions : int
        Unanswered questions from which on an agent counts as silent.
    """
    silent = heard = 0
    for view in views:
        if view.lost:
            continue
        if view.silent_since is not None and view.questions >= questions:
            silent += 1
        elif view.heard and now - view.heard < LOST_AFTER:
            heard += 1
    return silent > ISOLATION_SHARE * (silent + heard)


def forget_retired(nodes: Nodes, now: float) -> None:
    """Drop incarnations that ended long ago."""
    for incarnation, at in list(nodes.retired.items()):
        if now - at > RETIRED_MEMORY:
            del nodes.retired[incarnation]


def shift_silences(views: Iterable[UpstreamView], pause: float) -> None:
    """Take back the silence that was this node's own: it did not run meanwhile."""
    for view in views:
        if view.silent_since is not None:
            view.silent_since += pause
            view.asked += pause
