"""Flows whose upstream a balancer does not know and asks the agents for."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from msgspec import Struct, field

from shedsill.datagram._packet import Packet

LOCATE_TIMEOUT_SECONDS = 0.15
"""Seconds after which unanswered agents are asked again, if packets still wait;
some round trips between availability zones, below the 200 ms after which
callers send again."""

SEARCH_IDLE_TIMEOUT_SECONDS = 3.0
"""Seconds after which a search without new packets is dropped."""

MAX_BUFFERED_PACKETS = 16
"""Packets held for one flow: as many as one end may have under way."""

MAX_SEARCHES = 8192
"""Searches at once; above this, packets of unknown flows are dropped."""


class SearchPhase(enum.Enum):
    """What a search is waiting for."""

    ASKING = "asking"
    TRYING = "trying"


class Search(Struct):
    """One flow that is being looked for.

    Attributes
    ----------
    packets : list of Packet
        Held until the upstream is known.
    pending_hosts : set of str
        Hosts of the agents that were asked and have not answered.
    deferred_hosts : set of str
        Hosts of agents that are asked once the others have denied the flow.
    unsure_hosts : set of str
        Hosts of agents that could not tell and have not been tried yet.
    tried_count : int
        Agents that were given a packet.
    asked_at : float
        When agents were last asked.
    last_packet_at, started_at : float
        When the last packet of the flow came, and the first.
    caller_ack : int
        What the caller expects next, as its last packet said.
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
    """Return a search that starts now, without packets so far."""
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
    """Hold another packet of the flow; the oldest one goes when there are many."""
    search.last_packet_at = now
    search.caller_ack = packet.ack
    search.packets.append(packet)
    if len(search.packets) > MAX_BUFFERED_PACKETS:
        del search.packets[0]


def is_denied(search: Search) -> bool:
    """Whether every agent that was asked has denied the flow."""
    return not (search.pending_hosts or search.deferred_hosts or search.unsure_hosts)


def is_retry_due(search: Search, now: float) -> bool:
    """Whether the agents that have not answered are to be asked again."""
    return now - search.asked_at >= LOCATE_TIMEOUT_SECONDS


def is_abandoned(search: Search, now: float) -> bool:
    """Whether the caller has stopped sending, so that nobody waits."""
    return now - search.last_packet_at >= SEARCH_IDLE_TIMEOUT_SECONDS
