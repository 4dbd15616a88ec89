"""Command line of the benchmarks."""

from __future__ import annotations

import asyncio
import pathlib

import click

from benchmarks import agents, capacity, changes, cluster, datapath, overload, placement
from benchmarks.results import Result, draw_placement, print_table, write_json


def _measure_datapath() -> list[Result]:
    results = datapath.measure_reducer() + datapath.measure_flow_state()
    return results + asyncio.run(datapath.measure_sockets())


def _measure_agents() -> list[Result]:
    return asyncio.run(agents.measure_connections()) + agents.measure_latency()


GROUPS = {
    "datapath": _measure_datapath,
    "agents": _measure_agents,
    "cluster": cluster.measure_cluster,
    "changes": changes.measure_changes,
    "placement": placement.measure_placement,
    "overload": overload.measure_overload,
    "capacity": capacity.measure_capacity,
}


@click.command()
@click.option(
    "--only",
    multiple=True,
    type=click.Choice(list(GROUPS)),
    help="Group to run; may be repeated.  [default: all]",
)
@click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="File for the results, as JSON.",
)
@click.option(
    "--plot",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="File for a plot of the placement results.",
)
def main(
    only: tuple[str, ...], output: pathlib.Path | None, plot: pathlib.Path | None
) -> None:
    """Run the benchmarks and print a table of the results."""
    results: list[Result] = []
    for name in only or tuple(GROUPS):
        results += GROUPS[name]()
    print_table(results)
    if output is not None:
        write_json(results, output)
    if plot is not None:
        draw_placement(results, plot)


if __name__ == "__main__":
    main()
