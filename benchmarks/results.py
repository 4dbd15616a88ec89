"""Results of benchmarks, as a table and as JSON."""

from __future__ import annotations

import json
import pathlib

from attrs import asdict, frozen


@frozen
class Result:
    """A measured value with its unit."""

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
    """Write results as a JSON array."""
    path.write_text(json.dumps([asdict(result) for result in results], indent=1))


def draw_placement(results: list[Result], path: pathlib.Path) -> None:
    """Plot the imbalance of each strategy against the lag of load reports."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    curves: dict[str, list[tuple[float, float]]] = {}
    for result in results:
        if not result.name.startswith("max/mean, steady, ") or "lag" not in result.name:
            continue
        strategy, _, lag = result.name.removeprefix("max/mean, steady, ").rpartition(
            ", lag "
        )
        point = (float(lag.removesuffix(" s")), result.value)
        curves.setdefault(strategy, []).append(point)
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for strategy, points in curves.items():
        axes.plot(*zip(*points, strict=True), marker="o", label=strategy)
    axes.axhline(1.05, color="grey", linestyle=":", label="goal")
    axes.set_xscale("symlog", linthresh=0.1)
    axes.set_xlabel("lag of load reports (s)")
    axes.set_ylabel("connections, max/mean")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
