"""Compare working copies by runs of the external test bench over several seeds.

``python -m benchmarks.plays BENCH --copy before=DIR --copy after=DIR
--play SITE:DAY --seeds 5`` runs each day with each seed in each copy, several runs at
a time, and prints the mean and the standard stdev over the seeds.  All copies use
the same seeds, so that differences can be paired.  BENCH is the path of the test bench,
which is not part of this project.  Each run adds an entry to the journal of its copy.
"""

from __future__ import annotations

import json
import pathlib
import statistics
import subprocess
import tempfile
from concurrent.futures import ThreadPoolExecutor

import click
from attrs import define, frozen


@frozen
class BenchRun:
    """One run: a day of a site with one seed in one working copy."""

    label: str
    copy: pathlib.Path
    site: pathlib.Path
    day: str
    seed: int


@define
class Outcome:
    """Result of one run; shares are of the requests of the day.

    Attributes
    ----------
    worth : float
        Score of the day after prices, as reported by the bench; 0 if it failed.
    in_time, late, lost : float
        Shares answered within the latency objective, after it, and not at all.
    broken : str
        Rules that were broken and the fault, if any.
    """

    worth: float = 0.0
    in_time: float = 0.0
    late: float = 0.0
    lost: float = 0.0
    broken: str = ""


def run_bench(
    bench: str,
    run: BenchRun,
    *,
    journal_reason: str,
    ignore_cpu: bool,
    report_folder: pathlib.Path,
) -> Outcome:
    """Run the bench once and return the result from its report."""
    name = f"{run.label}-{run.site.stem}-{pathlib.Path(run.day).stem}-{run.seed}"
    report = report_folder / f"{name}.json"
    command = [bench, "run", str(run.site), run.day, "--seed", str(run.seed)]
    command += ["--report", str(report), "--why", f"{journal_reason} [{name}]"]
    if ignore_cpu:
        command.append("--no-cpu")
    result = subprocess.run(
        command, cwd=run.copy, capture_output=True, text=True, check=False
    )
    if not report.exists():
        return Outcome(
            broken=f"bench wrote no report: {(result.stdout + result.stderr)[-300:]}"
        )
    return read_report(json.loads(report.read_text()))


def read_report(report: dict) -> Outcome:
    """Return the result in a report of the bench."""
    totals = report["all"]
    answerable = max(totals["n"] - totals["not_owed"], 1)
    lost = totals["refused"] + totals["failed"]
    broken = [*report["breaks"], *([report["fault"]] if report["fault"] else [])]
    return Outcome(
        worth=report["G"] or 0.0,
        in_time=totals["in_aim"] / answerable,
        late=totals["late"] / answerable,
        lost=lost / answerable,
        broken=", ".join(map(str, broken)),
    )


def format_row(label: str, site_and_day: str, outcomes: list[Outcome]) -> str:
    """Return a row of the table: means, and the standard stdev of the score."""
    scores = [o.worth for o in outcomes]
    stdev = statistics.stdev(scores) if len(scores) > 1 else 0.0
    in_time, late, lost = (
        statistics.fmean(getattr(o, name) for o in outcomes)
        for name in ("in_time", "late", "lost")
    )
    broken = "; ".join(sorted({o.broken for o in outcomes if o.broken}))
    return (
        f"{site_and_day:34} {label:22} {statistics.fmean(scores):.3f} ±{stdev:.3f}  "
        f"{in_time:.4f} {late:.4f} {lost:.4f}  {broken}"
    )


def parse_copy(text: str) -> tuple[str, pathlib.Path]:
    """Parse ``LABEL=DIR``."""
    label, _, folder = text.partition("=")
    return label, pathlib.Path(folder)


def parse_site_and_day(text: str) -> tuple[pathlib.Path, str]:
    """Parse ``SITE:DAY``."""
    site, _, day = text.rpartition(":")
    return pathlib.Path(site), day


@click.command()
@click.argument("bench")
@click.option(
    "--copy",
    "copies",
    multiple=True,
    required=True,
    help="Working copy to run in, as LABEL=DIR; may be repeated.",
)
@click.option(
    "--play",
    "sites_and_days",
    multiple=True,
    required=True,
    help="Site file and day to run, as SITE:DAY; may be repeated.",
)
@click.option("--seeds", default=5, show_default=True, help="Seeds 1 to N.")
@click.option("--jobs", default=6, show_default=True, help="Number of concurrent runs.")
@click.option(
    "--why",
    default="compare",
    show_default=True,
    help="Reason for the journal entries.",
)
@click.option("--no-cpu", is_flag=True, help="Do not charge CPU time.")
def main(
    bench: str,
    copies: tuple[str, ...],
    sites_and_days: tuple[str, ...],
    seeds: int,
    jobs: int,
    why: str,
    no_cpu: bool,
) -> None:
    """Run every day with every seed in every copy, and print a table."""
    runs = [
        BenchRun(label, copy, site, day, seed)
        for site, day in map(parse_site_and_day, sites_and_days)
        for label, copy in map(parse_copy, copies)
        for seed in range(1, seeds + 1)
    ]
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        outcomes = list(
            pool.map(
                lambda run: run_bench(
                    bench,
                    run,
                    journal_reason=why,
                    ignore_cpu=no_cpu,
                    report_folder=pathlib.Path(folder),
                ),
                runs,
            )
        )
    header = "day", "copy", "worth", "in time, late, lost"
    click.echo(f"{header[0]:34} {header[1]:22} {header[2]:13} {header[3]}")
    for start in range(0, len(runs), seeds):
        run = runs[start]
        site_and_day = f"{run.site.stem} {pathlib.Path(run.day).stem}"
        click.echo(format_row(run.label, site_and_day, outcomes[start : start + seeds]))


if __name__ == "__main__":
    main()
