"""Results of benchmarks, as a table and as JSON."""

from __future__ import annotations

import json
import pathlib

from attrs import asdict, frozen


@frozen
class Result:
    """One measured figure."""

    name: str
    value: float
    unit: str


def print_table(results: list[Result]) -> None:
    """Print results as a Markdown table."""
    print("| figure | value | unit |")
    print("| --- | ---: | --- |")
    for result in results:
        print(f"| {result.name} | {result.value:,.2f} | {result.unit} |")


def write_json(results: list[Result], path: pathlib.Path) -> None:
    """Write results for programs."""
    path.write_text(json.dumps([asdict(result) for result in results], indent=1))
