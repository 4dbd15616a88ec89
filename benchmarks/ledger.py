"""Analysis of one run of the external test bench, with an upper bound of its score.

``python -m benchmarks.ledger SITE DAY --report REPORT --log LOG`` reads the output of
``run SITE DAY --report REPORT --log all > LOG``.  It prints the parts and prices of
the score, and the windows in which requests were late or lost, with what the nodes
logged in them.  The upper bound is simulated: the same load and power outage, served
from one queue per service by all upstreams, which are back as soon as the power is and
know every request's deadline, at no price.
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
"""Length of the windows in the bench's reports."""

SYN_TIMEOUT_SECONDS = 1.4
RETRY_DELAY_SECONDS = 0.1
"""Callers retry once, this long after their SYN has timed out."""

BOUND_SEED_COUNT = 5


@frozen
class RequestClass:
    """A request class, with its share of the traffic and its times in seconds."""

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
class BoundParameters:
    """The parameters of a site and a day that the bound depends on.

    Attributes
    ----------
    request_rate : float
        Requests per second.
    slots_by_service : dict of str to int
        Slots of all upstreams of each service.
    outage : tuple of float or None
        Start and end of the power outage; None on days without one.
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
    """Outcomes of the requests of one window or class."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    possible_worth: float = 0.0
    earned_worth: float = 0.0

    def count_request(self, request_class: RequestClass, latency: float | None) -> None:
        """Count a request with the latency of its answer; None if it was lost."""
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


def read_bound_parameters(site: dict, day_name: str) -> BoundParameters:
    """Read a site; its `thin` scales traffic and slots."""
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
    outage = None
    if closing.get("kind") == "power_off_all":
        outage = site["length_s"], site["length_s"] + closing["down_s"]
    return BoundParameters(
        classes=classes,
        request_rate=rate,
        slots_by_service=slots,
        cold_time=first["cold_s"],
        cold_factor=first["cold_x"],
        outage=outage,
        duration=site["length_s"] + 6.0,
    )


def find_syn_arrival(sent_at: float, outage: tuple[float, float]) -> float | None:
    """Return when the first copy of a SYN arrives, or None if none does."""
    for start in (sent_at, sent_at + SYN_TIMEOUT_SECONDS + RETRY_DELAY_SECONDS):
        for delay in SYN_COPY_DELAYS_SECONDS:
            if not outage[0] <= start + delay < outage[1]:
                return start + delay
    return None


def simulate_bound(
    parameters: BoundParameters, generator: random.Random
) -> tuple[dict[int, RequestTally], dict[str, RequestTally]]:
    """Simulate the bound for one day; return tallies by window and by class."""
    windows: dict[int, RequestTally] = collections.defaultdict(RequestTally)
    classes: dict[str, RequestTally] = collections.defaultdict(RequestTally)
    by_service: dict[str, list[tuple[float, float, RequestClass]]] = {}
    sent_at = 0.0
    while sent_at < parameters.duration:
        sent_at += generator.expovariate(parameters.request_rate)
        request_classes = parameters.classes
        request_class = generator.choices(
            request_classes, [request_class.share for request_class in request_classes]
        )[0]
        arrival = (
            find_syn_arrival(sent_at, parameters.outage)
            if parameters.outage
            else sent_at
        )
        if arrival is None:
            _count_request(windows, classes, sent_at, request_class, None)
        else:
            entry = (arrival, sent_at, request_class)
            by_service.setdefault(request_class.service, []).append(entry)
    for service, arrivals in by_service.items():
        for sent_at, request_class, latency in _simulate_service(
            parameters, service, arrivals, generator
        ):
            _count_request(windows, classes, sent_at, request_class, latency)
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
    parameters: BoundParameters,
    service: str,
    arrivals: list[tuple[float, float, RequestClass]],
    generator: random.Random,
) -> list[tuple[float, RequestClass, float | None]]:
    """Serve the requests of one service; those running when power fails are lost."""
    slots = parameters.slots_by_service[service]
    weighted_times = [
        k.service_time * k.share for k in parameters.classes if k.service == service
    ]
    shares = [k.share for k in parameters.classes if k.service == service]
    mean_service_time = sum(weighted_times) / sum(shares)
    outage = parameters.outage or (math.inf, math.inf)
    cold_until = outage[1] + parameters.cold_time
    backlog = Backlog()
    queued: dict[bytes, tuple[float, RequestClass]] = {}
    free_at = [0.0] * slots
    outcomes = []
    arrivals.sort(key=lambda entry: entry[0])
    number = 0
    while number < len(arrivals) or queued:
        now = heapq.heappop(free_at)
        if not queued:
            now = max(now, arrivals[number][0])
        while number < len(arrivals) and arrivals[number][0] <= now:
            _arrival, sent_at, request_class = arrivals[number]
            flow = number.to_bytes(4, "big")
            queued[flow] = sent_at, request_class
            request = QueuedRequest(
                packets=[],
                queued_at=now,
                requested_at=sent_at,
                urgency=request_class.urgency,
                objective_at=sent_at + request_class.objective,
                deadline_at=sent_at + request_class.timeout,
            )
            add_request(backlog, flow, request)
            number += 1
        cold = outage[1] <= now < cold_until
        forecast = Forecast(
            now=now,
            slots=slots,
            cold_until=cold_until if cold else 0.0,
            cold_service_time=mean_service_time * parameters.cold_factor,
            service_time=mean_service_time,
        )
        flow = choose_next_request(backlog, forecast)
        del backlog.requests[flow]
        sent_at, request_class = queued.pop(flow)
        service_time = generator.expovariate(1 / request_class.service_time)
        service_time *= parameters.cold_factor if cold else 1.0
        end = now + service_time
        if now < outage[0] < end:
            outcomes.append((sent_at, request_class, None))
            end = outage[1]
        else:
            outcomes.append((sent_at, request_class, end - sent_at))
        heapq.heappush(free_at, end)
    return outcomes


def compute_worth(
    goal: dict, windows: dict[int, RequestTally], classes: dict[str, RequestTally]
) -> float:
    """Return the score of a day before prices, weighted by the site's goal."""
    shares = sorted(
        t.earned_worth / t.possible_worth for t in windows.values() if t.possible_worth
    )
    earned_share = sum(t.earned_worth for t in classes.values()) / sum(
        t.possible_worth for t in classes.values()
    )
    sent = sum(t.sent for t in classes.values())
    lost = sent - sum(t.in_time + t.late for t in classes.values())
    worst_class = min(t.earned_worth / t.possible_worth for t in classes.values())
    best = goal.get("nines_best", 0.001)
    nines = min(math.log10(max(lost / sent, best)) / math.log10(best), 1.0)
    return (
        goal.get("mean", 0.0) * earned_share
        + goal.get("window", 0.0) * statistics.fmean(shares[:2])
        + goal.get("class", 0.0) * worst_class
        + goal.get("zone", 0.0) * earned_share
        + goal.get("nines", 0.0) * nines
    )


def print_report(report: dict) -> None:
    """Print the parts and the prices of the score."""
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
    """Count log events of the nodes by window of the day."""
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
    """Print the windows in which at least 2 % of the requests were not in time."""
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
@click.option(
    "--report",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="JSON report of the run.",
)
@click.option(
    "--log",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Output of the run with the nodes' log lines.",
)
def main(
    site: pathlib.Path,
    day: str,
    report: pathlib.Path | None,
    log: pathlib.Path | None,
) -> None:
    """Analyse one run of DAY on SITE and print the upper bound of its score.

    SITE is a site file of the test bench, DAY the name of one of its days.
    """
    if report is not None:
        figures = json.loads(report.read_text())
        print_report(figures)
        print_windows(figures, count_log_events(log) if log else {})
    if log is not None:
        print_figures(sum_figures(log))
    values = tomllib.loads(site.read_text())
    parameters = read_bound_parameters(values, day)
    scores = []
    totals = RequestTally()
    for seed in range(BOUND_SEED_COUNT):
        windows, classes = simulate_bound(parameters, random.Random(seed))
        scores.append(compute_worth(values["goal"], windows, classes))
        for tally in classes.values():
            totals.sent += tally.sent
            totals.in_time += tally.in_time
            totals.late += tally.late
    lost = totals.sent - totals.in_time - totals.late
    click.echo(
        f"bound {statistics.fmean(scores):.3f} before prices: "
        f"{totals.late / BOUND_SEED_COUNT:.0f} late, {lost / BOUND_SEED_COUNT:.0f} lost"
    )


if __name__ == "__main__":
    main()
