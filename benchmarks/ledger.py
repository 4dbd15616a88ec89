"""Where a day's worth is lost, and how much of it could have been had.

``python -m benchmarks.ledger SITE DAY --report REPORT --log LOG`` reads what the
users' bench wrote of one play (``run SITE DAY --report REPORT --log all > LOG``):
the parts and prices of the day, the seconds in which requests were late or lost,
and what the nodes did in them.  Beside it stands the bound: the same load after the
same loss of power, served by one queue over all upstreams that are there the moment
power is back, knows every caller's deadline and costs nothing.
"""

from __future__ import annotations

import collections
import heapq
import json
import math
import pathlib
import random
import statistics
import tomllib

import click
from attrs import define, frozen

from benchmarks.logs import print_figures, read_lines, sum_figures
from shedsill.datagram._backlog import (
    Backlog,
    Forecast,
    QueuedRequest,
    add_request,
    choose_next_request,
)
from shedsill.datagram._packet import SYN_COPY_DELAYS_SECONDS

WINDOW_SECONDS = 2.0
"""Seconds of the bench's windows."""

SYN_TIMEOUT_SECONDS = 1.4
RETRY_DELAY_SECONDS = 0.1
"""Seconds after which callers give up an opening, and then try again."""

BOUND_SEED_COUNT = 5


@frozen
class RequestClass:
    """One kind of request, with its share of the traffic and its times in seconds."""

    name: str
    service: str
    share: float
    service_time: float
    objective: float
    timeout: float
    urgency: int
    worth: float
    late_worth: float


@frozen
class Deployment:
    """What the bound needs of a site and a day.

    Attributes
    ----------
    request_rate : float
        Requests a second.
    slots_by_service : dict of str to int
        Slots of all upstreams of each service.
    outage : tuple of float or None
        When power goes and comes back; None on days without such an end.
    """

    classes: tuple[RequestClass, ...]
    request_rate: float
    slots_by_service: dict[str, int]
    cold_time: float
    cold_factor: float
    outage: tuple[float, float] | None
    duration: float


@define
class RequestTally:
    """What became of the requests of one window or class."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    possible_worth: float = 0.0
    earned_worth: float = 0.0

    def count_request(self, request_class: RequestClass, latency: float | None) -> None:
        """Count a request by the time after which its answer came, if any."""
        self.sent += 1
        self.possible_worth += request_class.worth
        if latency is None or latency > request_class.timeout:
            return
        in_time = latency <= request_class.objective
        self.in_time += in_time
        self.late += not in_time
        self.earned_worth += (
            request_class.worth if in_time else request_class.late_worth
        )


def read_deployment(site: dict, day_name: str) -> Deployment:
    """Read a site file; `thin` plays its traffic and slots at a share."""
    day = next(day for day in site["day"] if day["name"] == day_name)
    thin = site.get("thin", 1.0)
    traffic = day.get("traffic", site["traffic"])
    rate = sum(entry["per_s"] for entry in traffic) * thin
    mix = traffic[0]["mix"]
    counts: collections.Counter[str] = collections.Counter()
    for machines in site["machines"]:
        if machines["class"] == "side":
            counts[machines["app"]] += machines["count"]
    services = {service["name"]: service for service in site["services"]}
    first = next(iter(services.values()))
    slots = {
        name: counts[name] * max(round(service["slots"] * thin), 1)
        for name, service in services.items()
    }
    classes = tuple(
        RequestClass(
            name=entry["name"],
            service=entry["service"],
            share=mix[entry["name"]] / sum(mix.values()),
            service_time=entry["work_ms"]["mean"] / 1000,
            objective=entry["aim_ms"] / 1000,
            timeout=entry["deadline_ms"] / 1000,
            urgency=entry["priority"],
            worth=entry["worth"],
            late_worth=entry["late_worth"],
        )
        for entry in site["classes"]
    )
    closing = day.get("closing", {})
    dark = None
    if closing.get("kind") == "power_off_all":
        dark = site["length_s"], site["length_s"] + closing["down_s"]
    return Deployment(
        classes=classes,
        request_rate=rate,
        slots_by_service=slots,
        cold_time=first["cold_s"],
        cold_factor=first["cold_x"],
        outage=dark,
        duration=site["length_s"] + 6.0,
    )


def find_syn_arrival(sent_at: float, outage: tuple[float, float]) -> float | None:
    """Return when the first copy of an opening arrives, or None if none does."""
    for start in (sent_at, sent_at + SYN_TIMEOUT_SECONDS + RETRY_DELAY_SECONDS):
        for delay in SYN_COPY_DELAYS_SECONDS:
            if not outage[0] <= start + delay < outage[1]:
                return start + delay
    return None


def simulate_bound(
    deployment: Deployment, generator: random.Random
) -> tuple[dict[int, RequestTally], dict[str, RequestTally]]:
    """Serve one drawn day as well as can be; return tallies by window and by class."""
    windows: dict[int, RequestTally] = collections.defaultdict(RequestTally)
    classes: dict[str, RequestTally] = collections.defaultdict(RequestTally)
    by_service: dict[str, list[tuple[float, float, RequestClass]]] = {}
    sent = 0.0
    while sent < deployment.duration:
        sent += generator.expovariate(deployment.request_rate)
        kinds = deployment.classes
        kind = generator.choices(kinds, [kind.share for kind in kinds])[0]
        arrival = (
            find_syn_arrival(sent, deployment.outage) if deployment.outage else sent
        )
        if arrival is None:
            _count_request(windows, classes, sent, kind, None)
        else:
            entry = (arrival, sent, kind)
            by_service.setdefault(kind.service, []).append(entry)
    for service, arrivals in by_service.items():
        for sent, kind, took in _simulate_service(
            deployment, service, arrivals, generator
        ):
            _count_request(windows, classes, sent, kind, took)
    return windows, classes


def _count_request(
    windows: dict[int, RequestTally],
    classes: dict[str, RequestTally],
    sent_at: float,
    request_class: RequestClass,
    latency: float | None,
) -> None:
    windows[int(sent_at / WINDOW_SECONDS)].count_request(request_class, latency)
    classes[request_class.name].count_request(request_class, latency)


def _simulate_service(
    deployment: Deployment,
    service: str,
    arrivals: list[tuple[float, float, RequestClass]],
    generator: random.Random,
) -> list[tuple[float, RequestClass, float | None]]:
    """Serve the requests of one service; work that power cuts off is lost."""
    slots = deployment.slots_by_service[service]
    works = [
        k.service_time * k.share for k in deployment.classes if k.service == service
    ]
    shares = [k.share for k in deployment.classes if k.service == service]
    mean = sum(works) / sum(shares)
    dark = deployment.outage or (math.inf, math.inf)
    cold_until = dark[1] + deployment.cold_time
    backlog = Backlog()
    waiting: dict[bytes, tuple[float, RequestClass]] = {}
    free = [0.0] * slots
    done = []
    arrivals.sort(key=lambda entry: entry[0])
    number = 0
    while number < len(arrivals) or waiting:
        now = heapq.heappop(free)
        if not waiting:
            now = max(now, arrivals[number][0])
        while number < len(arrivals) and arrivals[number][0] <= now:
            _arrival, sent, kind = arrivals[number]
            flow = number.to_bytes(4, "big")
            waiting[flow] = sent, kind
            request = QueuedRequest(
                packets=[],
                queued_at=now,
                requested_at=sent,
                urgency=kind.urgency,
                objective_at=sent + kind.objective,
                deadline_at=sent + kind.timeout,
            )
            add_request(backlog, flow, request)
            number += 1
        cold = dark[1] <= now < cold_until
        forecast = Forecast(
            now=now,
            slots=slots,
            cold_until=cold_until if cold else 0.0,
            cold_service_time=mean * deployment.cold_factor,
            service_time=mean,
        )
        flow = choose_next_request(backlog, forecast)
        del backlog.requests[flow]
        sent, kind = waiting.pop(flow)
        work = generator.expovariate(1 / kind.service_time)
        work *= deployment.cold_factor if cold else 1.0
        end = now + work
        if now < dark[0] < end:
            done.append((sent, kind, None))
            end = dark[1]
        else:
            done.append((sent, kind, end - sent))
        heapq.heappush(free, end)
    return done


def compute_worth(
    goal: dict, windows: dict[int, RequestTally], classes: dict[str, RequestTally]
) -> float:
    """Return the worth of a day before prices, as the site's goal weighs its parts."""
    shares = sorted(
        t.earned_worth / t.possible_worth for t in windows.values() if t.possible_worth
    )
    whole = sum(t.earned_worth for t in classes.values()) / sum(
        t.possible_worth for t in classes.values()
    )
    sent = sum(t.sent for t in classes.values())
    lost = sent - sum(t.in_time + t.late for t in classes.values())
    worst_class = min(t.earned_worth / t.possible_worth for t in classes.values())
    best = goal.get("nines_best", 0.001)
    nines = min(math.log10(max(lost / sent, best)) / math.log10(best), 1.0)
    return (
        goal.get("mean", 0.0) * whole
        + goal.get("window", 0.0) * statistics.fmean(shares[:2])
        + goal.get("class", 0.0) * worst_class
        + goal.get("zone", 0.0) * whole
        + goal.get("nines", 0.0) * nines
    )


def print_report(report: dict) -> None:
    """Print the parts, the prices and the windows in which worth was lost."""
    totals = report["all"]
    click.echo(
        f"worth {report['G']:.3f}: {totals['n']} sent, {totals['in_aim']} in time, "
        f"{totals['late']} late, {totals['failed'] + totals['refused']} lost"
    )
    for name, weight, value in report["parts"]:
        click.echo(f"  {name:20} not earned {weight * (1 - value):.4f}")
    for name, _amount, price in report["prices"]:
        if price >= 0.0005:
            click.echo(f"  price: {name:30} {price:.4f}")


def count_log_events(path: pathlib.Path) -> dict[int, collections.Counter]:
    """Count, by window, what the nodes logged; times are those of the day."""
    counts: dict[int, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for line in read_lines(path):
        window = counts[int(line.at / WINDOW_SECONDS)]
        window[line.name] += 1
        if line.name == "request_passed_on":
            window["held seconds"] += line.fields["held_ms"] / 1000
    return counts


def print_windows(report: dict, log: dict[int, collections.Counter]) -> None:
    """Print the windows in which more than one in fifty was not in time."""
    events = ("node_started", "flow_offered", "request_held", "request_passed_on")
    click.echo(f"  {'window':>8} {'sent':>5} in time  late  lost  {'  '.join(events)}")
    for window in report["windows"]:
        missed = window["n"] - window["in_aim"]
        if missed * 50 < window["n"]:
            continue
        start = float(window["name"])
        counts = log.get(int(start / WINDOW_SECONDS), collections.Counter())
        cells = "  ".join(f"{counts[name]:{len(name)}}" for name in events)
        passed = max(counts["request_passed_on"], 1)
        click.echo(
            f"  {start:6.0f} s {window['n']:5} {window['in_aim']:7} "
            f"{window['late']:5} {window['failed'] + window['refused']:5}  {cells}  "
            f"held {counts['held seconds'] / passed:.2f} s"
        )


@click.command()
@click.argument("site", type=click.Path(exists=True, path_type=pathlib.Path))
@click.argument("day")
@click.option("--report", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--log", type=click.Path(exists=True, path_type=pathlib.Path))
def main(
    site: pathlib.Path,
    day: str,
    report: pathlib.Path | None,
    log: pathlib.Path | None,
) -> None:
    """Print the ledger of one play of a DAY of a SITE, and the day's bound."""
    if report is not None:
        figures = json.loads(report.read_text())
        print_report(figures)
        print_windows(figures, count_log_events(log) if log else {})
    if log is not None:
        print_figures(sum_figures(log))
    values = tomllib.loads(site.read_text())
    deployment = read_deployment(values, day)
    worths = []
    totals = RequestTally()
    for seed in range(BOUND_SEED_COUNT):
        windows, classes = simulate_bound(deployment, random.Random(seed))
        worths.append(compute_worth(values["goal"], windows, classes))
        for tally in classes.values():
            totals.sent += tally.sent
            totals.in_time += tally.in_time
            totals.late += tally.late
    lost = totals.sent - totals.in_time - totals.late
    click.echo(
        f"bound {statistics.fmean(worths):.3f} before prices: "
        f"{totals.late / BOUND_SEED_COUNT:.0f} late, {lost / BOUND_SEED_COUNT:.0f} lost"
    )


if __name__ == "__main__":
    main()
