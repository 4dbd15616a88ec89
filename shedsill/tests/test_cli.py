"""Commands: invalid settings, conflicts, exit codes, and pages that list the code."""

from __future__ import annotations

import asyncio
import json
import pathlib
import threading
from collections.abc import Iterator

import pytest
from aiohttp import web
from click.testing import CliRunner, Result

from shedsill import __version__
from shedsill._catalogue import LogEvent
from shedsill._cli import cli
from shedsill._cli.daemons import agent, balancer
from shedsill.errors import SettingError
from shedsill.testing.platform import PlatformStandIn
from shedsill.testing.ports import get_free_ports

DOCS = pathlib.Path(__file__).parents[2] / "docs"
CLUSTER_SECRET = "ab" * 32
BALANCER_OPTIONS = {
    "--name": "b1",
    "--address": "127.0.0.1:7000",
    "--platform": "http://127.0.0.1:1",
    "--cluster-secret": CLUSTER_SECRET,
}
SERVICE_DOCUMENT = (
    "kind: Service\nname: intake\nspec: {address: '127.0.0.1:443', slots: %s}\n"
)


@pytest.fixture
def platform_url() -> Iterator[str]:
    (port,) = get_free_ports(1)
    loop = asyncio.new_event_loop()
    runner = web.AppRunner(PlatformStandIn().make_app(), shutdown_timeout=0.1)

    async def start() -> None:
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()

    loop.run_until_complete(start())
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{port}"
    asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result(5)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5)
    loop.close()


def run_command(*arguments: str, stdin: str | None = None) -> Result:
    return CliRunner().invoke(cli, arguments, input=stdin)


@pytest.mark.parametrize(
    ("setting", "value", "allowed"),
    [
        ("--address", "localhost", "a port from 1 to 65535"),
        ("--platform", "127.0.0.1", "http://"),
        ("--cluster-secret", "12", "64 hexadecimal digits"),
        ("--log-level", "LOUD", "one of TRACE"),
        ("--caller-rate", "many", "PER_SECOND/BURST"),
        ("--quiet", "-1", "a number from 0.1"),
        ("--lease-time", "0", "a number from 0.2"),
    ],
)
def test_invalid_setting_raises_error_with_allowed_values(
    setting: str, value: str, allowed: str
) -> None:
    settings = {**BALANCER_OPTIONS, setting: value}
    result = run_command(
        "balancer", *(part for pair in settings.items() for part in pair)
    )
    assert isinstance(result.exception, SettingError)
    assert setting in str(result.exception)
    assert allowed in str(result.exception)


def test_version_option_prints_version() -> None:
    assert __version__ in run_command("--version").output


def test_dry_run_writes_nothing_and_invalid_field_is_named(platform_url: str) -> None:
    valid = run_command(
        "apply",
        "--platform",
        platform_url,
        "--dry-run",
        "-f",
        "-",
        stdin=SERVICE_DOCUMENT % 3,
    )
    assert valid.exit_code == 0
    listed = run_command("get", "--platform", platform_url, "-o", "json", "service")
    assert json.loads(listed.output) == []
    invalid = run_command(
        "apply", "--platform", platform_url, "-f", "-", stdin=SERVICE_DOCUMENT % "x"
    )
    assert "spec.slots" in str(invalid.exception)
    assert "a whole number" in str(invalid.exception)


def test_edit_of_earlier_version_exits_with_conflict_and_shows_both(
    platform_url: str,
) -> None:
    options = ("apply", "--platform", platform_url, "-o", "json", "-f", "-")
    first = json.loads(run_command(*options, stdin=SERVICE_DOCUMENT % 3).output)
    versioned = f"version: {first['version']}\n"
    assert run_command(*options, stdin=versioned + SERVICE_DOCUMENT % 4).exit_code == 0
    edit = run_command(*options, stdin=versioned + SERVICE_DOCUMENT % 5)
    assert edit.exit_code == 3
    conflict = json.loads(edit.output)
    assert conflict["your_version"] == first["version"]
    assert conflict["your_spec"]["slots"] == 5
    assert conflict["stored"]["spec"]["slots"] == 4
    assert run_command(*options, stdin=SERVICE_DOCUMENT % 4).exit_code == 0


def test_missing_resource_and_unreachable_platform_have_own_exit_codes(
    platform_url: str,
) -> None:
    missing = run_command("get", "--platform", platform_url, "service", "nope")
    assert missing.exit_code == 1
    unreachable = run_command("get", "--platform", "http://127.0.0.1:9", "service")
    assert unreachable.exit_code == 5


def test_events_page_lists_all_log_events() -> None:
    page = (DOCS / "events.md").read_text()
    for event in LogEvent:
        entry = event.value
        row = f"| {entry.number} | {entry.level.value} | {event.name.lower()} | "
        assert row + entry.text in page
    assert page.count("\n| ") == len(LogEvent) + 2
    numbers = [event.value.number for event in LogEvent]
    assert len(set(numbers)) == len(numbers)


def test_settings_page_lists_all_options() -> None:
    page = (DOCS / "settings.md").read_text()
    for command in (balancer, agent):
        for parameter in command.params:
            assert f"`{parameter.opts[0]}`" in page
