"""Forwarding tables that balancers pull from each other."""

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
from shedsill.testing.node_settings import NODE_PORT_COUNT, make_node_settings
from shedsill.testing.ports import get_free_ports

ROUTES = 1_646
PULL_COUNT = 22
LINK_BYTES_PER_SECOND = 5_000_000 / 8
"""Bandwidth in bytes per second."""
SATURATION_SECONDS = 0.5
"""Time for which tables may saturate the link: not above the time after which a silent
agent is probed."""


def make_table(routes: int) -> dict:
    """Return a table with random names, which compress badly."""
    rng = random.Random(7)
    return {
        "version": 11,
        "routes": [
            {
                "name": f"r{rng.getrandbits(40):x}",
                "host": f"198.18.{rng.randrange(9)}.{rng.randrange(255)}",
                "path_prefix": f"/{rng.choice([80, 443, 8080, 8443])}/",
                "service": rng.choice(["sevo4a", "nobo86b"]),
                "timeout_ms": 4_000,
                "priority": 2,
            }
            for _ in range(routes)
        ],
    }


def test_many_pulls_do_not_saturate_slow_link() -> None:
    """Guards against pulls that delay the messages between nodes."""
    served = ServedTable()
    served.replace(make_table(ROUTES))
    answers = [served.get_for_sending(0.05 * number) for number in range(PULL_COUNT)]
    sent = sum(len(octets) for octets in answers if octets)
    assert sent / LINK_BYTES_PER_SECOND < SATURATION_SECONDS
    assert sent / (0.05 * PULL_COUNT) < 2 * TABLE_BYTES_PER_SECOND


def test_table_is_compressed_to_a_fifth() -> None:
    """Traffic to balancers in other availability zones is costly."""
    value = make_table(ROUTES)
    assert len(compress_table(value)) * 5 < len(msgspec.json.encode(value))


def test_rejected_pull_succeeds_later() -> None:
    served = ServedTable()
    value = make_table(ROUTES)
    served.replace(value)
    first = served.get_for_sending(10.0)
    assert first is not None
    assert served.get_for_sending(10.0) is None
    assert served.get_for_sending(10.0 + len(first) / TABLE_BYTES_PER_SECOND) == first
    assert decompress_table(first) == value


def test_newer_table_replaces_packed_one() -> None:
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
def test_malformed_table_raises_decode_error(octets: bytes) -> None:
    with pytest.raises(DecodeError):
        decompress_table(octets)


def make_node(host: str, ports: list[int]) -> BalancerNode:
    """Return a balancer on a loopback address with an empty store."""
    settings = make_node_settings(host, Role.BALANCER, ports)
    return create_balancer(
        settings,
        source=None,  # type: ignore[arg-type]
        codec=HeaderCodec(),
        platform=MemoryPlatform(),
        table=TABLE_SOURCE,
    )


async def pull_tables(pulls: int) -> tuple[BalancerNode, BalancerNode]:
    """Have a balancer pull another one's table several times at once."""
    ports = get_free_ports(NODE_PORT_COUNT)
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


def test_balancer_pulls_table_from_peer() -> None:
    ahead, behind = asyncio.run(pull_tables(1))
    assert behind.state.table == ahead.state.table
    assert behind.log.counts[LogEvent.TABLE_NOT_READ] == 0


def test_rate_limited_pull_is_rejected_at_once() -> None:
    ahead, behind = asyncio.run(pull_tables(3))
    assert behind.state.table == ahead.state.table
    assert ahead.log.counts[LogEvent.TABLE_SENT] == 1
    assert behind.log.counts[LogEvent.TABLE_NOT_READ] == 2
