"""Decoding of the calls by which upstreams report their state."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Struct

from shedsill.datagram._boots import SEPARATOR, format_boot
from shedsill.datagram._events import Heartbeat, UpstreamLeaving
from shedsill.datagram._messages import UpstreamState
from shedsill.errors import DecodeError

__all__ = ["InstanceCalls"]

INSTANCES_PATH = "/-/instances/"


Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class _Beat(Struct, frozen=True, kw_only=True):
    """Body of a heartbeat.

    Attributes
    ----------
    cold_left_ms : int
        Remaining time for which the upstream is slow after its start.
    seq : int
        Increases with each call of one boot.
    born : int
        Unix time of the boot's start in milliseconds; 0 if missing.
    """

    seq: int
    state: UpstreamState
    slots: int
    cold_left_ms: int = 0
    born: Milliseconds = 0


class _Leave(Struct, frozen=True, kw_only=True):
    """Body of the call that announces an end; it may be empty."""

    born: Milliseconds = 0


_BEAT_DECODER = msgspec.json.Decoder(_Beat)
_LEAVE_DECODER = msgspec.json.Decoder(_Leave)


class InstanceCalls:
    """Implements `shedsill.datagram.adapter.HeartbeatCodec`."""

    def decode_call(
        self, method: str, path: str, body: bytes, now: float
    ) -> Heartbeat | UpstreamLeaving | None:
        """Decode a call; None if it does not concern an instance."""
        route = path.partition("?")[0]
        name = route.removeprefix(INSTANCES_PATH)
        if name == route or not name or SEPARATOR in name:
            return None
        try:
            match method:
                case "PUT":
                    return _decode_heartbeat(name, body)
                case "DELETE":
                    leave = _LEAVE_DECODER.decode(body or b"{}")
                    boot = format_boot(name, leave.born)
                    return UpstreamLeaving(boot=boot, now=now)
        except msgspec.MsgspecError as error:
            raise DecodeError(f"invalid call of an upstream: {error}") from error
        return None


def _decode_heartbeat(name: str, body: bytes) -> Heartbeat:
    call = _BEAT_DECODER.decode(body)
    return Heartbeat(
        boot=format_boot(name, call.born),
        serial=call.seq,
        state=call.state,
        slots=call.slots,
        cold=call.cold_left_ms / 1000,
    )
