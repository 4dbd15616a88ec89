"""Flows whose upstream a balancer does not know and asks the agents for."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from msgspec import Struct, field

from shedsill.datagram._packet import Packet

SEARCH_TIMEOUT = 0.15
"""Seconds after which unanswered agents are asked again, if packets still wait;
some round trips between availability zones, below the 200 ms after which
callers send again."""

FORGET_AFTER = 3.0
"""Seconds after which a search without new packets is dropped."""

MAX_HELD_PACKETS = 16
"""Packets held for one flow: as many as one end may have under way."""

MAX_SEARCHES = 8192
"""Searches at once; above this, packets of unknown flows are dropped."""


class Phase(enum.Enum):
    """What a search is waiting for."""

    ASKING = "asking"
    TRYING = "trying"


class Search(Struct):
    """One flow that is being looked for.

    Attributes
    ----------
    packets : list of Packet
        Held until the upstream is known.
    waiting : set of str
        Hosts of the agents that were asked and have not answered.
    later : set of str
        Hosts of agents that are asked once the others have denied the flow.
    unsure : set of str
        Hosts of agents that could not tell and have not been tried yet.
    tried : int
        Agents that were given a packet.
    asked : float
        When agents were last asked.
    seen, begun : float
        When the last packet of the flow came, and the first.
    caller_ack : int
        What the caller expects next, as its last packet said.
    """

    packets: list[Packet]
    waiting: set[str]
    asked: float
    seen: float
    begun: float
    caller_ack: int
    phase: Phase = Phase.ASKING
    unsure: set[str] = field(default_factory=set)
    tried: int = 0
    later: set[str] = field(default_factory=set)


def begin_search(
    caller_ack: int, hosts: Iterable[str], later: Iterable[str], now: float
) -> Search:
    """Return a search that starts now, without packets so far."""
    return Search(
        packets=[],
        waiting=set(hosts),
        later=set(later),
        asked=now,
        seen=now,
        begun=now,
        caller_ack=caller_ack,
    )


def hold_packet(search: Search, packet: Packet, now: float) -> None:
    """Hold another packet of the flow; the oldest one goes when there are many."""
    search.seen = now
    search.caller_ack = packet.ack
    search.packets.append(packet)
    if len(search.packets) > MAX_HELD_PACKETS:
        del search.packets[0]


def is_denied(search: Search) -> bool:
    """Whether every agent that was asked has denied the flow."""
    return not (search.waiting or search.later or search.unsure)


def is_due(search: Search, now: float) -> bool:
    """Whether the agents that have not answered are to be asked again."""
    return now - search.asked >= SEARCH_TIMEOUT


def is_over(search: Search, now: float) -> bool:
    """Whether the caller has stopped sending, so that nobody waits."""
    return now - search.seen >= FORGET_AFTER
