"""Commands that run a node: ``shedsill balancer`` and ``shedsill agent``."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Any

import click

from shedsill._cli.exit_codes import EXIT_FAILED
from shedsill._cli.settings import (
    LOG_FORMATS,
    LOG_LEVELS,
    check_choice,
    check_number,
    check_url,
    generate_incarnation,
    node_options,
    parse_address_list,
    parse_address_setting,
    parse_cluster_secrets,
    parse_rate,
)
from shedsill.errors import SettingError
from shedsill.http3._admission import AdmissionSettings
from shedsill.http3._agent_state import AgentSettings
from shedsill.http3._balancer import BalancerSettings
from shedsill.http3._placement import HashOnly, Policy, TwoCandidates
from shedsill.http3._routing import FlowLimits
from shedsill.http3._runtime.agent import Agent, AgentOptions
from shedsill.http3._runtime.balancer import LEASE_SECONDS, Balancer, BalancerOptions
from shedsill.http3._runtime.certificates import CertificateLoader, check_certificate
from shedsill.http3._runtime.driver import Driver
from shedsill.http3._runtime.log import EventLog, configure_logging
from shedsill.http3._runtime.platform import HttpPlatform
from shedsill.http3._runtime.upstream import UpstreamClient

POLICIES: dict[str, Policy] = {
    "two-candidates": TwoCandidates(),
    "hash": HashOnly(),
}


def _configure_event_log(settings: dict[str, Any]) -> EventLog:
    level = check_choice("--log-level", settings["log_level"], LOG_LEVELS)
    log_format = check_choice("--log-format", settings["log_format"], LOG_FORMATS)
    sample = check_number("--log-sample", settings["log_sample"], 1, 1_000_000)
    configure_logging(level=level, as_json=log_format == "json")
    return EventLog(node=settings["name"], level=level, sample=sample)


@click.command()
@node_options
@click.option(
    "--service-host",
    default="",
    help="IP address to bind service ports on; default: each service's own.",
)
@click.option(
    "--caller-rate",
    default="50/500",
    show_default=True,
    help="Limit on new flows per caller IP address: PER_SECOND/BURST.",
)
@click.option(
    "--flow-rate",
    default="4000/8000",
    show_default=True,
    help="Limit on new flows per service at this balancer: PER_SECOND/BURST.",
)
@click.option(
    "--lease-time",
    type=float,
    default=LEASE_SECONDS,
    show_default=True,
    help="Seconds after which a silent acceptor is replaced; 0.2 to 3600.",
)
@click.option(
    "--quiet",
    type=float,
    default=5.0,
    show_default=True,
    help="Seconds without datagrams that end a planned stop; 0.1 to 86400.",
)
def balancer(**settings: Any) -> None:
    """Run a balancer on an entry VM."""
    event_log = _configure_event_log(settings)
    keys = parse_cluster_secrets(settings["cluster_secret"], settings["second_secret"])
    options = BalancerOptions(
        name=settings["name"],
        address=parse_address_setting("--address", settings["address"]),
        incarnation=generate_incarnation(),
        seed_addresses=parse_address_list("--peers", settings["peers"]),
        zone=settings["zone"],
        service_host=settings["service_host"],
        lease_time=check_number("--lease-time", settings["lease_time"], 0.2, 3600),
        limits=FlowLimits(
            per_caller=parse_rate("--caller-rate", settings["caller_rate"]),
            per_service=parse_rate("--flow-rate", settings["flow_rate"]),
        ),
        settings=BalancerSettings(
            stop_idle_timeout=check_number("--quiet", settings["quiet"], 0.1, 86_400)
        ),
    )
    platform = HttpPlatform(check_url("--platform", settings["platform"]))

    def create_driver() -> Driver:
        return Balancer(options, keys=keys, platform=platform, event_log=event_log)

    sys.exit(asyncio.run(run_daemon(create_driver, platform)))


@click.command()
@node_options
@click.option(
    "--service", required=True, help="Name of the service that the upstream belongs to."
)
@click.option(
    "--upstream", default="", help="Name of the upstream; default: the node's name."
)
@click.option(
    "--upstream-url", required=True, help="HTTP URL of the upstream on this VM."
)
@click.option(
    "--load-path",
    default="/load",
    show_default=True,
    help="Upstream path that answers {busy: N}; read only after a start.",
)
@click.option(
    "--shed-statuses",
    default="429,503",
    show_default=True,
    help="HTTP statuses, with commas, that mean a request was not run.",
)
@click.option(
    "--certificate",
    required=True,
    help="Certificate: PEM text, a file, or platform:NAME.",
)
@click.option("--private-key", default="", help="Private key: PEM text or a file.")
@click.option(
    "--policy",
    default="two-candidates",
    show_default=True,
    help="Placement policy for new flows: two-candidates or hash.",
)
@click.option(
    "--handshake-rate",
    default="100/200",
    show_default=True,
    help="Rate of new flows above which Retry is sent: PER_SECOND/BURST.",
)
@click.option(
    "--slow-start",
    type=float,
    default=10.0,
    show_default=True,
    help="Seconds over which a new agent's share of flows grows; 0 to 3600.",
)
@click.option(
    "--drain-limit",
    type=float,
    default=0.0,
    show_default=True,
    help="Seconds after which a planned stop ends with flows open; 0: never.",
)
@click.option(
    "--cancel-grace",
    type=float,
    default=0.2,
    show_default=True,
    help="Seconds for which an aborted request keeps its slot; 0 to 60.",
)
@click.option(
    "--idle-span",
    type=float,
    default=1.0,
    show_default=True,
    help="Seconds the upstream must be idle after a start; 0 to 3600.",
)
@click.option(
    "--breaker-failures",
    type=int,
    default=5,
    show_default=True,
    help="Consecutive failures that open the circuit breaker; 1 to 1000.",
)
@click.option(
    "--breaker-pause",
    type=float,
    default=2.0,
    show_default=True,
    help="Seconds before an open breaker lets one request through; 0.05 to 3600.",
)
@click.option(
    "--retry-share",
    type=float,
    default=0.1,
    show_default=True,
    help="Retries to the upstream allowed per first attempt; 0 to 1.",
)
def agent(**settings: Any) -> None:
    """Run the agent beside an upstream."""
    event_log = _configure_event_log(settings)
    keys = parse_cluster_secrets(settings["cluster_secret"], settings["second_secret"])
    check_certificate("--certificate", settings["certificate"], settings["private_key"])
    policy = check_choice("--policy", settings["policy"], tuple(POLICIES))
    options = AgentOptions(
        name=settings["name"],
        upstream=settings["upstream"] or settings["name"],
        service=settings["service"],
        address=parse_address_setting("--address", settings["address"]),
        incarnation=generate_incarnation(),
        seed_addresses=parse_address_list("--peers", settings["peers"]),
        zone=settings["zone"],
        settings=AgentSettings(
            handshake_rate=parse_rate("--handshake-rate", settings["handshake_rate"]),
            slow_start=check_number("--slow-start", settings["slow_start"], 0, 3600),
            drain_limit=check_number(
                "--drain-limit", settings["drain_limit"], 0, 604_800
            ),
        ),
        admission=_parse_admission_settings(settings),
        policy=POLICIES[policy],
    )
    platform = HttpPlatform(check_url("--platform", settings["platform"]))
    upstream = UpstreamClient(
        check_url("--upstream-url", settings["upstream_url"]),
        shed_statuses=_parse_statuses(settings["shed_statuses"]),
        load_path=settings["load_path"],
    )
    certificates = CertificateLoader(settings["certificate"], settings["private_key"])

    def create_driver() -> Driver:
        return Agent(
            options,
            keys=keys,
            platform=platform,
            event_log=event_log,
            upstream=upstream,
            certificates=certificates,
        )

    sys.exit(asyncio.run(run_daemon(create_driver, platform)))


def _parse_admission_settings(settings: dict[str, Any]) -> AdmissionSettings:
    return AdmissionSettings(
        cancel_grace=check_number("--cancel-grace", settings["cancel_grace"], 0, 60),
        idle_span=check_number("--idle-span", settings["idle_span"], 0, 3600),
        breaker_failures=check_number(
            "--breaker-failures", settings["breaker_failures"], 1, 1000
        ),
        breaker_pause=check_number(
            "--breaker-pause", settings["breaker_pause"], 0.05, 3600
        ),
        retry_share=check_number("--retry-share", settings["retry_share"], 0, 1),
    )


def _parse_statuses(text: str) -> frozenset[int]:
    try:
        return frozenset(int(part) for part in text.split(",") if part.strip())
    except ValueError:
        raise SettingError(
            "--shed-statuses", text, "numbers separated by commas"
        ) from None


async def run_daemon(create_driver: Any, platform: HttpPlatform) -> int:
    """Run a node until its planned stop is complete; return the exit code.

    Parameters
    ----------
    create_driver : callable
        Creates the node's driver inside the running event loop.
    """
    driver = create_driver()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, driver.request_stop)
    try:
        await driver.start()
        await driver.exited.wait()
    finally:
        await driver.stop()
        await platform.close()
    return EXIT_FAILED if driver.failure or driver.crashed else 0
