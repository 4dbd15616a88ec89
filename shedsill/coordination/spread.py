"""How a generation spreads between nodes without the platform.

Each message between nodes carries the sender's generation.  A node that learns
of a higher one pulls the value from that peer; a lower one is never taken.
"""

from __future__ import annotations

from attrs import evolve, frozen

from shedsill._addresses import Address

PULL_TIMEOUT = 1.0


@frozen(kw_only=True)
class Spread:
    """What a node knows of the generation it should have.

    Attributes
    ----------
    generation : int
        In force at this node.
    pulling_until : float
        Local time until which an earlier pull may still answer.
    """

    generation: int = 0
    pulling_until: float = 0.0


@frozen(kw_only=True)
class Pull:
    """The peer from which to pull."""

    peer: Address


def note_generation(
    spread: Spread, generation: int, peer: Address, now: float
) -> tuple[Spread, Pull | None]:
    """Take in a generation seen in a message; maybe pull.

    Examples
    --------
    >>> peer = Address("127.0.0.1", 7000)
    >>> spread, pull = note_generation(Spread(generation=3), 4, peer, 10.0)
    >>> pull
    Pull(peer=Address(host='127.0.0.1', port=7000))
    >>> note_generation(spread, 4, peer, 10.5)[1] is None
    True
    """
    if generation <= spread.generation or now < spread.pulling_until:
        return spread, None
    return evolve(spread, pulling_until=now + PULL_TIMEOUT), Pull(peer=peer)


def note_applied(spread: Spread, generation: int) -> Spread:
    """Note a generation that is now in force; never goes back."""
    if generation <= spread.generation:
        return spread
    return evolve(spread, generation=generation, pulling_until=0.0)


def note_failure(spread: Spread) -> Spread:
    """Note that a pull failed, so that the next message may start another."""
    return evolve(spread, pulling_until=0.0)
