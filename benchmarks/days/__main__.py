"""Run the project's own days on sites of the external test bench.

``python -m benchmarks.days BENCH SITE...`` runs each day of this folder on each site
and exits with 1 if a run broke a rule or had a fault.  BENCH is the path of the test
bench, which is not part of this project.  Days for sites that have `health` among
their contracts are in the folder ``health``; the project's own sites are in
``benchmarks/sites``.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

import click

DAYS = pathlib.Path(__file__).parent


@click.command()
@click.argument("bench")
@click.argument("sites", nargs=-1, required=True)
@click.option(
    "--why", default="the project's own days", help="Reason for the journal entries."
)
@click.option(
    "--health",
    is_flag=True,
    help="Run only the days for sites with the `health` contract.",
)
def main(bench: str, sites: tuple[str, ...], why: str, health: bool) -> None:
    """Run every day on every site."""
    folder = DAYS / "health" if health else DAYS
    failed = []
    for site in sites:
        for day in sorted(folder.glob("*.toml")):
            text = subprocess.run(
                [bench, "run", site, str(day), "--why", why],
                capture_output=True,
                text=True,
                check=False,
            ).stdout
            line = next((li for li in text.splitlines() if re.match(day.stem, li)), "")
            click.echo(f"{pathlib.Path(site).stem}: {line or text[-300:]}")
            if not line or "BROKEN" in line or "FAULT" in line.upper():
                failed.append(f"{site} {day.stem}")
    click.echo(f"failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
