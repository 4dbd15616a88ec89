"""Run the benchmarks."""

from __future__ import annotations

import asyncio
import pathlib

import click

from benchmarks import agents, datapath
from benchmarks.results import print_table, write_json


@click.command()
@click.option("--output", type=click.Path(path_type=pathlib.Path), default=None)
def main(output: pathlib.Path | None) -> None:
    """Run every benchmark, print a table and write JSON."""
    results = datapath.measure_reducer()
    results += datapath.measure_flow_state()
    results += asyncio.run(datapath.measure_sockets())
    results += asyncio.run(agents.measure_connections())
    results += agents.measure_latency()
    print_table(results)
    if output is not None:
        write_json(results, output)


if __name__ == "__main__":
    main()
