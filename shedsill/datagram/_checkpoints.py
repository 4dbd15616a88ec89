"""What a balancer keeps for checkpoints of open flows; see `_checkpoint_collection`."""

from __future__ import annotations

from msgspec import Struct, field

from shedsill.datagram._messages import OpenFlow


class Part(Struct):
    """What one balancer has told the collector.

    Attributes
    ----------
    number : int
        Of the part, see `CheckpointPart`.
    """

    number: int
    taken_at: float
    flows: list[OpenFlow] = field(default_factory=list)


class Checkpoints(Struct):
    """What a balancer keeps for checkpoints.

    Attributes
    ----------
    number : int
        Of the last part that was sent.
    next_at : float
        When the next one is due.
    collector : str
        Who was sent the last one.
    unanswered : int
        Parts that it has left unanswered in a row.
    silent_until : dict of str to float
        Balancers that are not chosen as collector, and until when.
    parts : dict of str to Part
        By balancer; at the collector.
    stored : dict of str to list of OpenFlow
        What was given to the store last.
    """

    number: int = 0
    next_at: float = 0.0
    collector: str = ""
    unanswered: int = 0
    silent_until: dict[str, float] = field(default_factory=dict)
    parts: dict[str, Part] = field(default_factory=dict)
    stored: dict[str, list[OpenFlow]] = field(default_factory=dict)
