"""Settings shared by commands, checked before anything starts."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import click

from shedsill._addresses import Address, parse_address
from shedsill._limits import Rate
from shedsill.errors import DocumentError, SettingError
from shedsill.http3._keys import KeyRing, parse_secret

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
LOG_FORMATS = ("text", "json")
INCARNATION_EPOCH_SECONDS = 1_577_836_800
INCARNATION_RANDOM_BITS = 4
INCARNATION_LIMIT = 1 << 32


def node_options(function: Callable) -> Callable:
    """Add the options that both daemons have."""
    options = (
        click.option("--name", required=True, help="Name of this node; unique."),
        click.option(
            "--address",
            required=True,
            metavar="IP:PORT",
            help="Own address: frames over UDP, control over TCP.",
        ),
        click.option("--platform", required=True, help="URL of the platform's API."),
        click.option(
            "--peers", default="", help="Addresses of other nodes, with commas."
        ),
        click.option(
            "--cluster-secret", required=True, help="64 hex digits; same on all nodes."
        ),
        click.option(
            "--second-secret", default="", help="Also accepted, during a replacement."
        ),
        click.option("--zone", default="", help="Availability zone of this VM."),
        click.option(
            "--log-level",
            default="INFO",
            show_default=True,
            help="Lowest level that is written: TRACE to ERROR.",
        ),
        click.option(
            "--log-format",
            default="text",
            show_default=True,
            help="text, or json for one JSON object a line.",
        ),
        click.option(
            "--log-sample",
            type=int,
            default=1,
            show_default=True,
            help="Write one of this many TRACE and DEBUG lines per event.",
        ),
    )
    for option in reversed(options):
        function = option(function)
    return function


def parse_address_setting(setting: str, text: str) -> Address:
    """Read an address; a bad one is a `SettingError`."""
    try:
        return parse_address(text)
    except DocumentError as error:
        raise SettingError(setting, error.value, error.allowed) from None


def parse_address_list(setting: str, text: str) -> tuple[Address, ...]:
    """Read addresses separated by commas."""
    parts = [part.strip() for part in text.split(",")]
    return tuple(parse_address_setting(setting, part) for part in parts if part)


def parse_cluster_secrets(secret: str, second_secret: str) -> KeyRing:
    """Read the cluster secrets."""
    secrets = [parse_secret("--cluster-secret", secret)]
    if second_secret:
        secrets.append(parse_secret("--second-secret", second_secret))
    return KeyRing(tuple(secrets))


def check_choice(setting: str, value: str, allowed: tuple[str, ...]) -> str:
    """Return a value that is one of a few."""
    if value not in allowed:
        raise SettingError(setting, value, "one of " + ", ".join(allowed))
    return value


def check_number(setting: str, value: float, minimum: float, maximum: float) -> Any:
    """Return a number within bounds."""
    if not minimum <= value <= maximum:
        raise SettingError(setting, value, f"a number from {minimum} to {maximum}")
    return value


def parse_rate(setting: str, text: str) -> Rate:
    """Read ``PER_SECOND/BURST``.

    Examples
    --------
    >>> parse_rate("--x", "50/500")
    Rate(per_second=50.0, burst=500.0)
    """
    allowed = "PER_SECOND/BURST, both above 0, such as 50/500"
    per_second, _, burst = text.partition("/")
    try:
        rate = Rate(per_second=float(per_second), burst=float(burst))
    except ValueError:
        raise SettingError(setting, text, allowed) from None
    if rate.per_second <= 0 or rate.burst < 1:
        raise SettingError(setting, text, allowed)
    return rate


def check_url(setting: str, text: str) -> str:
    """Return an HTTP URL."""
    if not text.startswith(("http://", "https://")):
        raise SettingError(setting, text, "a URL that starts with http:// or https://")
    return text


def generate_incarnation() -> int:
    """Draw the number of this start: grows with time, differs at each start."""
    seconds = int(time.time()) - INCARNATION_EPOCH_SECONDS
    incarnation = (
        seconds << INCARNATION_RANDOM_BITS
    ) | random.SystemRandom().getrandbits(INCARNATION_RANDOM_BITS)
    return incarnation % INCARNATION_LIMIT
