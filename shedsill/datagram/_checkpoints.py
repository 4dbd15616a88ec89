"""State of the checkpoints of open flows; see `_checkpoint_collection`."""

from __future__ import annotations

from msgspec import Struct, field

from shedsill.datagram._messages import OpenFlow


class TimedFlow(Struct, frozen=True):
    """An open flow, and when it was reported."""

    flow: OpenFlow
    reported_at: float


class Part(Struct):
    """Open flows that one balancer has sent to the collector.

    Attributes
    ----------
    incarnation, number : int
        Incarnation of the balancer and number of its latest list, see
        `CheckpointPart`.
    earlier_incarnations : set of int
        Incarnations of the balancer that have ended.
    received_at : float
        When the last message arrived.
    keys : list of bytes
        Sorted keys of `flows`.
    flows : dict of bytes to TimedFlow
        Flows by key.  A range of keys is replaced when a message that covers it
        arrives; until then, the flows of earlier lists are kept.
    """

    incarnation: int = 0
    number: int = 0
    earlier_incarnations: set[int] = field(default_factory=set)
    received_at: float = 0.0
    keys: list[bytes] = field(default_factory=list)
    flows: dict[bytes, TimedFlow] = field(default_factory=dict)


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
