"""Sums of the nodes' delays against the bounds of the strictest deployment.

Guards against a timeout or interval that is raised too far; see `docs/platform.md`.
"""

from __future__ import annotations

from shedsill._connections import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MILLISECONDS,
)
from shedsill.datagram._failure_detection import LOST_AFTER_SECONDS
from shedsill.datagram._membership import TABLE_PULL_DELAY_SECONDS
from shedsill.datagram._runtime import balancer, reports
from shedsill.datagram._runtime.node import TICK_INTERVAL_SECONDS
from shedsill.datagram._runtime.tables import TABLE_BYTES_PER_SECOND, compress_table
from shedsill.platform.store import CALL_TIMEOUT_SECONDS, WATCH_MARGIN_SECONDS
from shedsill.tests.test_datagram_tables import make_table

CONTACT_SECONDS = 4.0
"""Time after the end of a fault in which a VM must be in contact again."""
CONFIGURATION_SECONDS = 3.0
"""Time after its confirmation in which a configuration must be applied."""
REPORT_SECONDS = 2.0
"""Time after an outage of the store in which a live node's report must be stored."""
LINK_BYTES_PER_SECOND = 5_000_000 / 8
"""Bandwidth of the slowest link in bytes per second."""
LARGE_TABLE_ROUTES = 2_154
"""Routes of the largest table."""
ROUTE_BYTES = 156
"""Size of one route as the store sends it."""
STORE_ANSWER_SECONDS = 0.3
"""Time in which a slow store answers."""

DEAD_CONNECTION_SECONDS = (
    KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES
)
TRANSFER_SECONDS = LARGE_TABLE_ROUTES * ROUTE_BYTES / LINK_BYTES_PER_SECOND


def test_watch_on_silent_connection_reads_change_in_time() -> None:
    delay = (
        DEAD_CONNECTION_SECONDS
        + balancer.RETRY_BACKOFF.initial_delay
        + TRANSFER_SECONDS
    )
    assert delay < CONTACT_SECONDS


def test_unanswered_watch_delays_change_by_bounded_time() -> None:
    """The collector watches again, and the other balancers pull the table from it."""
    detection = (
        balancer.COLLECTOR_WATCH_TIMEOUT_SECONDS
        + WATCH_MARGIN_SECONDS
        + balancer.RETRY_BACKOFF.initial_delay
    )
    content = len(compress_table(make_table(LARGE_TABLE_ROUTES)))
    pull = (
        TABLE_PULL_DELAY_SECONDS
        + TICK_INTERVAL_SECONDS
        + content / LINK_BYTES_PER_SECOND
    )
    assert detection + TRANSFER_SECONDS + pull < CONTACT_SECONDS


def test_call_on_silent_connection_times_out_in_time() -> None:
    delay = (
        max(USER_TIMEOUT_MILLISECONDS / 1000, CALL_TIMEOUT_SECONDS)
        + balancer.RETRY_BACKOFF.initial_delay
        + TRANSFER_SECONDS
    )
    assert delay < CONTACT_SECONDS


def test_change_during_outage_is_read_in_time_after_it() -> None:
    delay = (
        CALL_TIMEOUT_SECONDS
        + balancer.RETRY_BACKOFF.max_delay
        + STORE_ANSWER_SECONDS
        + TRANSFER_SECONDS
    )
    assert delay < CONFIGURATION_SECONDS


def test_report_is_stored_in_time_after_outage() -> None:
    delay = (
        CALL_TIMEOUT_SECONDS + reports.RETRY_BACKOFF.max_delay + STORE_ANSWER_SECONDS
    )
    assert delay <= REPORT_SECONDS + STORE_ANSWER_SECONDS


def test_table_is_pulled_from_peer_in_time() -> None:
    """The first balancer waits and pulls; later ones find more peers that have it."""
    content = len(compress_table(make_table(LARGE_TABLE_ROUTES)))
    delay = (
        TABLE_PULL_DELAY_SECONDS
        + TICK_INTERVAL_SECONDS
        + content / LINK_BYTES_PER_SECOND
    )
    queueing = content / TABLE_BYTES_PER_SECOND
    assert delay + queueing < CONFIGURATION_SECONDS / 2


def test_agent_is_lost_before_its_callers_time_out() -> None:
    """The shortest deadline of a request is 2 s; a retry needs part of it."""
    assert LOST_AFTER_SECONDS <= 2.0 / 2
