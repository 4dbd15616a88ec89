"""Log lines of the nodes in the output of the external test bench.

The bench prefixes each line with the time in seconds and the name of the node.
"""

from __future__ import annotations

import collections
import json
import pathlib
import re
from collections.abc import Iterator
from typing import Any

import click
from attrs import frozen

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")

GROUPS = ("calls", "messages", "octets")
"""Fields of the event `node_figures` that hold counters by kind."""


@frozen
class LogLine:
    """One log line of a node.

    Attributes
    ----------
    at : float
        Seconds since the start of the day.
    name : str
        Name of the log event.
    """

    at: float
    node: str
    name: str
    fields: dict[str, Any]


def read_lines(path: pathlib.Path) -> Iterator[LogLine]:
    """Yield the log lines of nodes; other lines of the file are skipped."""
    for text in path.open(errors="replace"):
        match = LINE.match(text)
        if match is None:
            continue
        try:
            fields = json.loads(match[3])
        except json.JSONDecodeError:
            continue
        yield LogLine(
            at=float(match[1]), node=match[2], name=fields["name"], fields=fields
        )


def sum_figures(path: pathlib.Path) -> dict[tuple[str, str], collections.Counter]:
    """Sum the store calls and messages of all nodes, by role.

    Nodes log their counters periodically.  The last line before a node exits is
    summed, so what it did after that line is missing.

    Returns
    -------
    dict
        Counts by kind, for each pair of a role and ``calls``, ``messages`` or
        ``octets``.
    """
    roles: dict[str, str] = {}
    latest: dict[str, dict] = {}
    sums: dict[tuple[str, str], collections.Counter] = collections.defaultdict(
        collections.Counter
    )

    def add_latest_counts(node: str) -> None:
        for group, counts in latest.pop(node, {}).items():
            sums[roles.get(node, "?"), group].update(counts)

    for line in read_lines(path):
        if line.name == "node_started":
            add_latest_counts(line.node)
            roles[line.node] = line.fields["role"]
        elif line.name == "node_figures":
            latest[line.node] = {group: line.fields[group] for group in GROUPS}
    for node in list(latest):
        add_latest_counts(node)
    return sums


def print_figures(sums: dict[tuple[str, str], collections.Counter]) -> None:
    """Print store calls and messages by kind; messages with their size."""
    for (role, group), counts in sorted(sums.items()):
        if group == "octets":
            continue
        message_bytes = sums[role, "octets"]
        for name, count in counts.most_common():
            cell = (
                f"  {message_bytes[name] / 1000:8.0f} kB" if group == "messages" else ""
            )
            click.echo(f"  {role:9} {group:8} {name:24} {count:7}{cell}")
