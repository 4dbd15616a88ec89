"""How a generation spreads between nodes without the platform.

Each message between nodes carries the sender's generation.  A node that learns
of a higher one pulls the value from that peer; a lower one is never taken.
"""

from __future__ import annotations

from attrs import evolve, frozen

from shedsill._addresses import Address

PULL_TIMEOUT_SECONDS = 1.0


@frozen(kw_only=True)
class Propagation:
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


def handle_generation(
    propagation: Propagation, generation: int, peer: Address, now: float
) -> tuple[Propagation, Pull | None]:
    """Take in a generation seen in a message; maybe pull.

    Examples
    --------
    >>> peer = Address("127.0.0.1", 7000)
    >>> propagation, pull = handle_generation(Propagation(generation=3), 4, peer, 10.0)
    >>> pull
    Pull(peer=Address(host='127.0.0.1', port=7000))
    >>> handle_generation(propagation, 4, peer, 10.5)[1] is None
    True
    """
    if generation <= propagation.generation or now < propagation.pulling_until:
        return propagation, None
    return evolve(propagation, pulling_until=now + PULL_TIMEOUT_SECONDS), Pull(
        peer=peer
    )


def record_applied(propagation: Propagation, generation: int) -> Propagation:
    """Note a generation that is now in force; never goes back."""
    if generation <= propagation.generation:
        return propagation
    return evolve(propagation, generation=generation, pulling_until=0.0)


def record_pull_failure(propagation: Propagation) -> Propagation:
    """Note that a pull failed, so that the next message may start another."""
    return evolve(propagation, pulling_until=0.0)
