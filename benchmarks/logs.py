"""What the nodes logged on a day that the users' bench has played.

The bench puts the time of the day, in seconds, and the node's name before each line.
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
"""Counters in the lines `node_figures`."""


@frozen
class LogLine:
    """One line of one node.

    Attributes
    ----------
    at : float
        Seconds of the day.
    name : str
        Of the event.
    """

    at: float
    node: str
    name: str
    fields: dict[str, Any]


def read_lines(path: pathlib.Path) -> Iterator[LogLine]:
    """Yield the nodes' log lines; all else that a file holds is passed over."""
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
    """Sum what all nodes asked of the store and told each other, by role.

    Nodes log their counts every few seconds; the last ones before a node's end or
    restart count, so that what it did after them is missing.

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

    def settle(node: str) -> None:
        for group, counts in latest.pop(node, {}).items():
            sums[roles.get(node, "?"), group].update(counts)

    for line in read_lines(path):
        if line.name == "node_started":
            settle(line.node)
            roles[line.node] = line.fields["role"]
        elif line.name == "node_figures":
            latest[line.node] = {group: line.fields[group] for group in GROUPS}
    for node in list(latest):
        settle(node)
    return sums


def print_figures(sums: dict[tuple[str, str], collections.Counter]) -> None:
    """Print calls of the store by kind, and messages with their octets."""
    for (role, group), counts in sorted(sums.items()):
        if group == "octets":
            continue
        octets = sums[role, "octets"]
        for name, count in counts.most_common():
            cell = f"  {octets[name] / 1000:8.0f} kB" if group == "messages" else ""
            click.echo(f"  {role:9} {group:8} {name:24} {count:7}{cell}")
