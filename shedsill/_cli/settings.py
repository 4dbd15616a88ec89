"""Options shared by commands, and checks of their values."""

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
INCARNATION_EPOCH_SECONDS = 1_577_836_800  # 2020-01-01T00:00:00Z
INCARNATION_RANDOM_BITS = 4
INCARNATION_LIMIT = 1 << 32


def node_options(function: Callable) -> Callable:
    """Add the options that balancers and agents share."""
    options = (
        click.option("--name", required=True, help="Unique name of this node."),
        click.option(
            "--address",
            required=True,
            metavar="IP:PORT",
            help="Address of this node: UDP to other nodes, TCP for its HTTP API.",
        ),
        click.option("--platform", required=True, help="URL of the platform's API."),
        click.option(
            "--peers",
            default="",
            help="Addresses of other nodes, IP:PORT, separated by commas.",
        ),
        click.option(
            "--cluster-secret",
            required=True,
            help="64 hexadecimal digits, the same on all nodes.",
        ),
        click.option(
            "--second-secret",
            default="",
            help="Second secret that is accepted while secrets are replaced.",
        ),
        click.option("--zone", default="", help="Availability zone of this VM."),
        click.option(
            "--log-level",
            default="INFO",
            show_default=True,
            help="Lowest level logged: TRACE, DEBUG, INFO, WARNING or ERROR.",
        ),
        click.option(
            "--log-format",
            default="text",
            show_default=True,
            help="text, or json for one JSON object per line.",
        ),
        click.option(
            "--log-sample",
            type=int,
            default=1,
            show_default=True,
            help="Log one in this many TRACE and DEBUG lines per event; 1 to 1000000.",
        ),
    )
    for option in reversed(options):
        function = option(function)
    return function


def parse_address_setting(setting: str, text: str) -> Address:
    """Parse an address; raise `SettingError` if it is invalid."""
    try:
        return parse_address(text)
    except DocumentError as error:
        raise SettingError(setting, error.value, error.allowed) from None


def parse_address_list(setting: str, text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas."""
    parts = [part.strip() for part in text.split(",")]
    return tuple(parse_address_setting(setting, part) for part in parts if part)


def parse_cluster_secrets(secret: str, second_secret: str) -> KeyRing:
    """Parse the cluster secret and, if set, the second one."""
    secrets = [parse_secret("--cluster-secret", secret)]
    if second_secret:
        secrets.append(parse_secret("--second-secret", second_secret))
    return KeyRing(tuple(secrets))


def check_choice(setting: str, value: str, allowed: tuple[str, ...]) -> str:
    """Return the value if it is allowed; raise `SettingError` otherwise."""
    if value not in allowed:
        raise SettingError(setting, value, "one of " + ", ".join(allowed))
    return value


def check_number(setting: str, value: float, minimum: float, maximum: float) -> Any:
    """Return the value if it is within bounds; raise `SettingError` otherwise."""
    if not minimum <= value <= maximum:
        raise SettingError(setting, value, f"a number from {minimum} to {maximum}")
    return value


def parse_rate(setting: str, text: str) -> Rate:
    """Parse a rate of the form ``PER_SECOND/BURST``.

    Examples
    --------
    >>> parse_rate("--x", "50/500")
    Rate(per_second=50.0, burst=500.0)
    """
    allowed = "PER_SECOND/BURST, such as 50/500; above 0, BURST at least 1"
    per_second, _, burst = text.partition("/")
    try:
        rate = Rate(per_second=float(per_second), burst=float(burst))
    except ValueError:
        raise SettingError(setting, text, allowed) from None
    if rate.per_second <= 0 or rate.burst < 1:
        raise SettingError(setting, text, allowed)
    return rate


def check_url(setting: str, text: str) -> str:
    """Return the text if it is an HTTP URL; raise `SettingError` otherwise."""
    if not text.startswith(("http://", "https://")):
        raise SettingError(setting, text, "a URL that starts with http:// or https://")
    return text


def generate_incarnation() -> int:
    """Return an incarnation that grows with time and differs for each start."""
    seconds = int(time.time()) - INCARNATION_EPOCH_SECONDS
    incarnation = (
        seconds << INCARNATION_RANDOM_BITS
    ) | random.SystemRandom().getrandbits(INCARNATION_RANDOM_BITS)
    return incarnation % INCARNATION_LIMIT
