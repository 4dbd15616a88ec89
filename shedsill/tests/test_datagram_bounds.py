"""The delays of nodes, added up against the bounds of the strictest deployment.

`docs/platform.md` tells which bound rests on which delays.  A constant that is raised
past one of them fails here.
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

CONTACT = 4.0
"""Seconds after the end of trouble from which on a calm VM must be in touch."""
CONFIGURATION = 3.0
"""Seconds after a confirmation in which a configuration must be in force."""
REPORT_BACK = 2.0
"""Seconds after an outage in which the report of a living node must be back."""
THIN_LINK = 5_000_000 / 8
"""Octets a second of the thinnest link."""
LARGE_TABLE = 2_154
"""Routes of the largest table described."""
ROUTE_OCTETS = 156
"""Of one route as the store sends it: 255,475 octets for 1,646."""
STORE_ANSWER = 0.3
"""Seconds in which a slow store answers."""

NOTICE = KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES
TRANSFER = LARGE_TABLE * ROUTE_OCTETS / THIN_LINK


def test_a_watch_on_a_silent_connection_reads_the_change_in_time() -> None:
    delay = NOTICE + balancer.RETRY_BACKOFF.initial_delay + TRANSFER
    assert delay < CONTACT


def test_a_watch_that_is_never_answered_delays_no_change_for_long() -> None:
    """The store keeps the collector's connection and says nothing more.

    The collector watches again, and the others read the table from it.
    """
    noticed = (
        balancer.COLLECTOR_WATCH_TIMEOUT_SECONDS
        + WATCH_MARGIN_SECONDS
        + balancer.RETRY_BACKOFF.initial_delay
    )
    content = len(compress_table(make_table(LARGE_TABLE)))
    spread = TABLE_PULL_DELAY_SECONDS + TICK_INTERVAL_SECONDS + content / THIN_LINK
    assert noticed + TRANSFER + spread < CONTACT


def test_a_call_on_a_silent_connection_is_given_up_in_time() -> None:
    delay = (
        max(USER_TIMEOUT_MILLISECONDS / 1000, CALL_TIMEOUT_SECONDS)
        + balancer.RETRY_BACKOFF.initial_delay
        + TRANSFER
    )
    assert delay < CONTACT


def test_a_change_made_in_an_outage_is_read_in_time_after_it() -> None:
    delay = (
        CALL_TIMEOUT_SECONDS
        + balancer.RETRY_BACKOFF.max_delay
        + STORE_ANSWER
        + TRANSFER
    )
    assert delay < CONFIGURATION


def test_a_report_is_back_in_time_after_an_outage() -> None:
    delay = CALL_TIMEOUT_SECONDS + reports.RETRY_BACKOFF.max_delay + STORE_ANSWER
    assert delay <= REPORT_BACK + STORE_ANSWER


def test_a_table_comes_from_another_balancer_in_time() -> None:
    """The first reader waits and reads; later ones find more that have it."""
    content = len(compress_table(make_table(LARGE_TABLE)))
    delay = TABLE_PULL_DELAY_SECONDS + TICK_INTERVAL_SECONDS + content / THIN_LINK
    queue = content / TABLE_BYTES_PER_SECOND
    assert delay + queue < CONFIGURATION / 2


def test_an_agent_is_given_up_before_its_callers_give_up() -> None:
    """The shortest deadline of a request is 2 s; a second try needs some of it."""
    assert LOST_AFTER_SECONDS <= 2.0 / 2
