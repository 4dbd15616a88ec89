"""Play days of the users' bench over several seeds, and compare working copies.

``python -m benchmarks.plays BENCH --copy before=DIR --copy after=DIR
--play SITE:DAY --seeds 5`` plays each day with each seed in each copy, several at a
time, and prints the mean and the standard deviation over the seeds.  The same seeds
are played in every copy, so that differences can be paired.  The bench is not part
of this project, so its path is given.  Each play leaves an entry in the journal of
its copy.
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
    """One day to be played with one seed in one working copy."""

    label: str
    copy: pathlib.Path
    site: pathlib.Path
    day: str
    seed: int


@define
class Outcome:
    """What the bench reports of a play; shares are of the requests of the day.

    Attributes
    ----------
    worth : float
        The day's benefit less prices, as the bench weighs it; 0 where it failed.
    in_time, late, lost : float
        Shares answered within the latency objective, after it, and never.
    broken : str
        The rules that were broken, or the fault; empty if none.
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
    """Play one day and read the bench's report."""
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
        return Outcome(broken=f"not played: {(result.stdout + result.stderr)[-300:]}")
    return read_report(json.loads(report.read_text()))


def read_report(report: dict) -> Outcome:
    """Read the figures of one report."""
    totals = report["all"]
    owed = max(totals["n"] - totals["not_owed"], 1)
    lost = totals["refused"] + totals["failed"]
    broken = [*report["breaks"], *([report["fault"]] if report["fault"] else [])]
    return Outcome(
        worth=report["G"] or 0.0,
        in_time=totals["in_aim"] / owed,
        late=totals["late"] / owed,
        lost=lost / owed,
        broken=", ".join(map(str, broken)),
    )


def format_row(label: str, site_and_day: str, outcomes: list[Outcome]) -> str:
    """Return one line of the table: means, and the spread of the worth."""
    worths = [o.worth for o in outcomes]
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    in_time, late, lost = (
        statistics.fmean(getattr(o, name) for o in outcomes)
        for name in ("in_time", "late", "lost")
    )
    broken = "; ".join(sorted({o.broken for o in outcomes if o.broken}))
    return (
        f"{site_and_day:34} {label:22} {statistics.fmean(worths):.3f} ±{spread:.3f}  "
        f"{in_time:.4f} {late:.4f} {lost:.4f}  {broken}"
    )


def parse_copy(text: str) -> tuple[str, pathlib.Path]:
    """Read ``LABEL=DIR``."""
    label, _, folder = text.partition("=")
    return label, pathlib.Path(folder)


def parse_site_and_day(text: str) -> tuple[pathlib.Path, str]:
    """Read ``SITE:DAY``."""
    site, _, day = text.rpartition(":")
    return pathlib.Path(site), day


@click.command()
@click.argument("bench")
@click.option("--copy", "copies", multiple=True, required=True, help="LABEL=DIR")
@click.option("--play", "places", multiple=True, required=True, help="SITE:DAY")
@click.option("--seeds", default=5, show_default=True, help="Seeds 1 to N.")
@click.option("--jobs", default=6, show_default=True, help="Plays at a time.")
@click.option("--why", default="compare", show_default=True, help="For the journal.")
@click.option("--no-cpu", is_flag=True, help="Charge no processor time.")
def main(
    bench: str,
    copies: tuple[str, ...],
    places: tuple[str, ...],
    seeds: int,
    jobs: int,
    why: str,
    no_cpu: bool,
) -> None:
    """Play every day with every seed in every copy, and print a table."""
    plays = [
        BenchRun(label, copy, site, day, seed)
        for site, day in map(parse_site_and_day, places)
        for label, copy in map(parse_copy, copies)
        for seed in range(1, seeds + 1)
    ]
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        outcomes = list(
            pool.map(
                lambda play: run_bench(
                    bench,
                    play,
                    journal_reason=why,
                    ignore_cpu=no_cpu,
                    report_folder=pathlib.Path(folder),
                ),
                plays,
            )
        )
    header = "day", "copy", "worth", "in time, late, lost"
    click.echo(f"{header[0]:34} {header[1]:22} {header[2]:13} {header[3]}")
    for start in range(0, len(plays), seeds):
        play = plays[start]
        place = f"{play.site.stem} {pathlib.Path(play.day).stem}"
        click.echo(format_row(play.label, place, outcomes[start : start + seeds]))


if __name__ == "__main__":
    main()
