"""Counters of store calls and of messages to other nodes."""

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
    """Counters of one node since its start.

    Attributes
    ----------
    calls : Counter of str
        Store calls by kind of call and object.
    messages, message_bytes : Counter of str
        Number and total size of messages to other nodes, by class.

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
        """Count a store call."""
        match call:
            case List(kinds=kinds) | Watch(kinds=kinds):
                kind = ",".join(kinds)
            case Get(kind=kind) | Put(kind=kind) | Delete(kind=kind):
                pass
            case _:
                kind = ""
        self.calls[f"{type(call).__name__.lower()} {kind}".strip()] += 1

    def count_message(self, name: str, size: int) -> None:
        """Count a message to another node."""
        self.messages[name] += 1
        self.message_bytes[name] += size

    def format(self) -> list[str]:
        """Return the counters in the Prometheus text format."""
        calls = format_counters(
            "shedsill_store_calls_total", "Calls of the store", "call", self.calls
        )
        messages = format_counters(
            "shedsill_messages_total", "Messages sent", "message", self.messages
        )
        sizes = format_counters(
            "shedsill_message_octets_total",
            "Their octets",
            "message",
            self.message_bytes,
        )
        return [*calls, *messages, *sizes]


class CountingPlatform:
    """Platform that counts the calls passed to another one."""

    def __init__(self, platform: Platform, traffic: TrafficCounters) -> None:
        self._platform = platform
        self._traffic = traffic

    async def call(self, call: Call) -> Outcome:
        """Count and execute a call."""
        self._traffic.count_call(call)
        return await self._platform.call(call)
