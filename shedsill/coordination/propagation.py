"""Propagation of a configuration between nodes, independent of the platform.

Each message between nodes carries the sender's generation.  A node that receives a
higher one than its own pulls the configuration from that peer.
"""

from __future__ import annotations

from attrs import evolve, frozen

from shedsill._addresses import Address

PULL_TIMEOUT_SECONDS = 1.0


@frozen(kw_only=True)
class Propagation:
    """Generation of a node, and whether it pulls a newer one.

    Attributes
    ----------
    generation : int
        Generation applied at this node.
    pulling_until : float
        Local time before which no further pull is started.
    """

    generation: int = 0
    pulling_until: float = 0.0


@frozen(kw_only=True)
class Pull:
    """Request to pull the configuration from a peer."""

    peer: Address


def handle_generation(
    propagation: Propagation, generation: int, peer: Address, now: float
) -> tuple[Propagation, Pull | None]:
    """Handle the generation of a peer; returns a pull if it is newer.

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
    """Record an applied generation; lower ones are ignored."""
    if generation <= propagation.generation:
        return propagation
    return evolve(propagation, generation=generation, pulling_until=0.0)


def record_pull_failure(propagation: Propagation) -> Propagation:
    """Record that a pull failed, so that the next message may start another one."""
    return evolve(propagation, pulling_until=0.0)
