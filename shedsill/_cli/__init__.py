"""Command-line interface."""

from __future__ import annotations

import sys

import click

from shedsill import __version__
from shedsill._cli.daemons import agent, balancer
from shedsill._cli.exit_codes import EXIT_USAGE
from shedsill._cli.operator import (
    apply,
    delete,
    drain,
    events,
    get,
    rotate_keys,
    status,
    stop_balancer,
    undrain,
    watch,
)
from shedsill._cli.quickstart import quickstart
from shedsill.errors import DocumentError, SettingError

ENVIRONMENT_PREFIX = "SHEDSILL"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="shedsill")
def cli() -> None:
    """Shedsill: a layer-4 load balancer for a few huge, fragile upstreams.

    Every option can also be set by an environment variable named
    SHEDSILL_<COMMAND>_<OPTION>, such as SHEDSILL_AGENT_LOG_LEVEL.
    Commands other than balancer and agent read --platform from SHEDSILL_PLATFORM.
    """


for command in (
    balancer,
    agent,
    apply,
    get,
    watch,
    delete,
    drain,
    undrain,
    stop_balancer,
    rotate_keys,
    status,
    events,
    quickstart,
):
    cli.add_command(command)


def main() -> None:
    """Run the command line; exit with 2 if a setting or document is invalid."""
    try:
        cli(auto_envvar_prefix=ENVIRONMENT_PREFIX)
    except (SettingError, DocumentError) as error:
        click.echo(f"shedsill: {error}", err=True)
        sys.exit(EXIT_USAGE)
