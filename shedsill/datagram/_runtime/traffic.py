"""Counts of what a node asks of the store and tells other nodes."""

from __future__ import annotations

from collections import Counter

from shedsill.coordination.platform import (
    Call,
    Delete,
    Get,
    List,
    Outcome,
    Platform,
    Put,
    Watch,
)
from shedsill.datagram._runtime.metrics import format_counters


class TrafficCounters:
    """What one node has asked of the store and told other nodes since its start.

    Attributes
    ----------
    calls : Counter of str
        Calls of the store by kind of call and object.
    messages, message_bytes : Counter of str
        Messages sent to other nodes by class, and their octets.

    Examples
    --------
    >>> traffic = TrafficCounters()
    >>> traffic.count_message("Probe", 2)
    >>> traffic.format()[-1]
    'shedsill_message_octets_total{message="Probe"} 2'
    """

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.message_bytes: Counter[str] = Counter()

    def count_call(self, call: Call) -> None:
        """Count one call of the store."""
        match call:
            case List(kinds=kinds) | Watch(kinds=kinds):
                kind = ",".join(kinds)
            case Get(kind=kind) | Put(kind=kind) | Delete(kind=kind):
                pass
            case _:
                kind = ""
        self.calls[f"{type(call).__name__.lower()} {kind}".strip()] += 1

    def count_message(self, name: str, size: int) -> None:
        """Count one message to another node."""
        self.messages[name] += 1
        self.message_bytes[name] += size

    def format(self) -> list[str]:
        """Return the lines of the text form."""
        calls = format_counters(
            "shedsill_store_calls_total", "Calls of the store", "call", self.calls
        )
        messages = format_counters(
            "shedsill_messages_total", "Messages sent", "message", self.messages
        )
        octets = format_counters(
            "shedsill_message_octets_total",
            "Their octets",
            "message",
            self.message_bytes,
        )
        return [*calls, *messages, *octets]


class CountingPlatform:
    """Counts the calls that go to the platform's store."""

    def __init__(self, platform: Platform, traffic: TrafficCounters) -> None:
        self._platform = platform
        self._traffic = traffic

    async def call(self, call: Call) -> Outcome:
        """Count a call and carry it out."""
        self._traffic.count_call(call)
        return await self._platform.call(call)
