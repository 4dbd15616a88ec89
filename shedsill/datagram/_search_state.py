"""State of the searches for flows whose agent a balancer does not know."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from msgspec import Struct, field

from shedsill.datagram._packet import Packet

LOCATE_TIMEOUT_SECONDS = 0.15
"""Time after which agents without an answer are asked again: several round trips
between availability zones, below the callers' retransmission delay of 200 ms."""

SEARCH_IDLE_TIMEOUT_SECONDS = 3.0
"""Time without packets from the caller after which a search is dropped."""

MAX_BUFFERED_PACKETS = 16
"""Packets buffered for one flow: as many as a caller may have in flight."""

MAX_SEARCHES = 8192
"""Concurrent searches; beyond these, packets of unknown flows are dropped."""


class SearchPhase(enum.Enum):
    """What a search is waiting for: answers to `Locate` or to a forwarded packet."""

    ASKING = "asking"
    TRYING = "trying"


class Search(Struct):
    """Search for one flow.

    Attributes
    ----------
    packets : list of Packet
        Buffered until the agent is known.
    pending_hosts : set of str
        Agents that were asked and have not answered.
    deferred_hosts : set of str
        Agents that are asked once the others have denied the flow.
    unsure_hosts : set of str
        Agents that are unsure and have not been sent a packet of the flow yet.
    tried_count : int
        Number of unsure agents that were sent a packet of the flow.
    asked_at : float
        When agents were last asked.
    last_packet_at : float
        When the flow's last packet arrived.
    started_at : float
        When the search started.
    caller_ack : int
        Acknowledgement number of the caller's last packet.
    """

    packets: list[Packet]
    pending_hosts: set[str]
    asked_at: float
    last_packet_at: float
    started_at: float
    caller_ack: int
    phase: SearchPhase = SearchPhase.ASKING
    unsure_hosts: set[str] = field(default_factory=set)
    tried_count: int = 0
    deferred_hosts: set[str] = field(default_factory=set)


def create_search(
    caller_ack: int, hosts: Iterable[str], deferred_hosts: Iterable[str], now: float
) -> Search:
    """Return a new search without packets."""
    return Search(
        packets=[],
        pending_hosts=set(hosts),
        deferred_hosts=set(deferred_hosts),
        asked_at=now,
        last_packet_at=now,
        started_at=now,
        caller_ack=caller_ack,
    )


def buffer_packet(search: Search, packet: Packet, now: float) -> None:
    """Buffer a packet of the flow; the oldest one is dropped if there are too many."""
    search.last_packet_at = now
    search.caller_ack = packet.ack
    search.packets.append(packet)
    if len(search.packets) > MAX_BUFFERED_PACKETS:
        del search.packets[0]


def is_denied(search: Search) -> bool:
    """Whether every agent that was asked has denied the flow."""
    return not (search.pending_hosts or search.deferred_hosts or search.unsure_hosts)


def is_retry_due(search: Search, now: float) -> bool:
    """Whether agents without an answer should be asked again."""
    return now - search.asked_at >= LOCATE_TIMEOUT_SECONDS


def is_abandoned(search: Search, now: float) -> bool:
    """Whether the caller has stopped sending."""
    return now - search.last_packet_at >= SEARCH_IDLE_TIMEOUT_SECONDS
