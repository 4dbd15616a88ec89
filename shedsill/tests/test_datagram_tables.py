"""How balancers read a forwarding table from each other."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from shedsill._catalogue import LogEvent
from shedsill.coordination.platform import MemoryPlatform
from shedsill.datagram._messages import Role
from shedsill.datagram._runtime.balancer import BalancerNode, create_balancer
from shedsill.datagram._runtime.http import MAX_BODY_BYTES
from shedsill.datagram._runtime.tables import (
    TABLE_BYTES_PER_SECOND,
    ServedTable,
    compress_table,
    decompress_table,
)
from shedsill.errors import DecodeError
from shedsill.platform.manifest import TABLE_SOURCE
from shedsill.platform.packets import HeaderCodec
from shedsill.testing.nodes import PORTS, make_settings
from shedsill.testing.ports import find_ports

ROUTES = 1_646
READERS = 22
THIN_LINK = 5_000_000 / 8
"""Octets a second."""
DEAF_LIMIT = 0.5
"""Seconds for which tables may fill a thin link: below the time after which an agent
that is not heard is asked."""


def make_table(routes: int) -> dict:
    """Return a table with names that compress as badly as drawn ones do."""
    draw = random.Random(7)
    return {
        "version": 11,
        "routes": [
            {
                "name": f"r{draw.getrandbits(40):x}",
                "host": f"198.18.{draw.randrange(9)}.{draw.randrange(255)}",
                "path_prefix": f"/{draw.choice([80, 443, 8080, 8443])}/",
                "service": draw.choice(["sevo4a", "nobo86b"]),
                "timeout_ms": 4_000,
                "priority": 2,
            }
            for _ in range(routes)
        ],
    }


def test_many_readers_leave_a_thin_link_to_the_small_messages() -> None:
    """Seen: 22 readers within 1.1 s, 5.6 MB, and no answer of an agent for 5 s."""
    served = ServedTable()
    served.replace(make_table(ROUTES))
    answers = [served.get_for_sending(0.05 * number) for number in range(READERS)]
    sent = sum(len(octets) for octets in answers if octets)
    assert sent / THIN_LINK < DEAF_LIMIT
    assert sent / (0.05 * READERS) < 2 * TABLE_BYTES_PER_SECOND


def test_a_table_is_sent_in_a_fifth_of_its_octets() -> None:
    """Each reader in another availability zone costs them."""
    value = make_table(ROUTES)
    assert len(compress_table(value)) * 5 < len(msgspec.json.encode(value))


def test_all_get_the_table_in_the_end() -> None:
    served = ServedTable()
    value = make_table(ROUTES)
    served.replace(value)
    first = served.get_for_sending(10.0)
    assert first is not None
    assert served.get_for_sending(10.0) is None
    assert served.get_for_sending(10.0 + len(first) / TABLE_BYTES_PER_SECOND) == first
    assert decompress_table(first) == value


def test_a_newer_table_takes_the_place_of_the_packed_one() -> None:
    served = ServedTable()
    assert served.is_empty
    served.replace({"version": 1})
    served.get_for_sending(0.0)
    served.replace({"version": 2})
    assert decompress_table(served.get_for_sending(1.0) or b"") == {"version": 2}
    assert not served.is_empty


@pytest.mark.parametrize(
    "octets",
    [
        b"",
        b"{}",
        compress_table({"version": 1})[:-4],
        compress_table("x" * (MAX_BODY_BYTES + 1)),
    ],
)
def test_what_is_not_a_table_is_refused(octets: bytes) -> None:
    with pytest.raises(DecodeError):
        decompress_table(octets)


def make_node(host: str, ports: list[int]) -> BalancerNode:
    """Return a balancer on a loopback address, with nothing in its store."""
    settings = make_settings(host, Role.BALANCER, ports)
    return create_balancer(
        settings,
        source=None,  # type: ignore[arg-type]
        codec=HeaderCodec(),
        platform=MemoryPlatform(),
        table=TABLE_SOURCE,
    )


async def pull_tables(pulls: int) -> tuple[BalancerNode, BalancerNode]:
    """Have a balancer read another one's table, some times at once."""
    ports = find_ports(PORTS)
    ahead, behind = (make_node(host, ports) for host in ("127.0.0.2", "127.0.0.3"))
    await ahead.serve(ahead.settings.messages, ahead._handle_peer_request)
    ahead._handle_table(make_table(ROUTES), "store")
    try:
        await asyncio.gather(
            *(behind._pull_table(ahead.settings.host) for _ in range(pulls))
        )
    finally:
        ahead._close()
        behind._close()
    return ahead, behind


def test_a_balancer_reads_the_table_of_another() -> None:
    ahead, behind = asyncio.run(pull_tables(1))
    assert behind.state.table == ahead.state.table
    assert behind.log.counts[LogEvent.TABLE_NOT_READ] == 0


def test_a_balancer_that_has_sent_too_many_says_so_at_once() -> None:
    ahead, behind = asyncio.run(pull_tables(3))
    assert behind.state.table == ahead.state.table
    assert ahead.log.counts[LogEvent.TABLE_SENT] == 1
    assert behind.log.counts[LogEvent.TABLE_NOT_READ] == 2
