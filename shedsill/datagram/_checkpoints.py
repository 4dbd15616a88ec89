"""State of the checkpoints of open flows; see `_checkpoint_collection`."""

from __future__ import annotations

from msgspec import Struct, field

from shedsill.datagram._messages import OpenFlow


class Part(Struct):
    """Open flows that one balancer has sent to the collector.

    Attributes
    ----------
    number : int
        Number of the part, see `CheckpointPart`.
    taken_at : float
        When the part's first message arrived.
    flows : list of OpenFlow
        Flows received so far.
    """

    number: int
    taken_at: float
    flows: list[OpenFlow] = field(default_factory=list)


class Checkpoints(Struct):
    """State of a balancer's checkpoints.

    Attributes
    ----------
    number : int
        Number of the last part that was sent.
    next_at : float
        When the next part is due.
    collector : str
        Balancer that the last part was sent to.
    unanswered : int
        Consecutive parts that the collector has left unanswered.
    silent_until : dict of str to float
        Balancers that are not chosen as collector, and until when.
    parts : dict of str to Part
        Latest part of each balancer; used at the collector.
    stored : dict of str to list of OpenFlow
        Value that was last written to the store.
    """

    number: int = 0
    next_at: float = 0.0
    collector: str = ""
    unanswered: int = 0
    silent_until: dict[str, float] = field(default_factory=dict)
    parts: dict[str, Part] = field(default_factory=dict)
    stored: dict[str, list[OpenFlow]] = field(default_factory=dict)
