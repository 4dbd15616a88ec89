"""``shedsill quickstart``: everything in one process, on loopback."""

from __future__ import annotations

import click


@click.command()
def quickstart() -> None:
    """Run the whole path in one process."""
    raise click.ClickException("not built yet")
