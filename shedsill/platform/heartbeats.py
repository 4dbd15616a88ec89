"""Decoding of the calls by which upstreams report their state."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from shedsill.datagram._events import Heartbeat, UpstreamLeaving
from shedsill.datagram._messages import UpstreamState
from shedsill.errors import DecodeError

__all__ = ["InstanceCalls"]

INSTANCES_PATH = "/-/instances/"


class _Beat(Struct, frozen=True, kw_only=True):
    """Body of a heartbeat.

    Attributes
    ----------
    cold_left_ms : int
        Remaining time for which the upstream is slow after its start.
    seq : int
        Increases with each call of one boot.
    """

    seq: int
    state: UpstreamState
    slots: int
    cold_left_ms: int = 0


_DECODER = msgspec.json.Decoder(_Beat)


class InstanceCalls:
    """Implements `shedsill.datagram.adapter.HeartbeatCodec`."""

    def decode_call(
        self, method: str, path: str, body: bytes, now: float
    ) -> Heartbeat | UpstreamLeaving | None:
        """Decode a call; None if it does not concern an instance."""
        boot = path.partition("?")[0].removeprefix(INSTANCES_PATH)
        if boot == path or not boot:
            return None
        match method:
            case "PUT":
                return _decode_heartbeat(boot, body)
            case "DELETE":
                return UpstreamLeaving(boot=boot, now=now)
        return None


def _decode_heartbeat(boot: str, body: bytes) -> Heartbeat:
    try:
        call = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise DecodeError(f"invalid heartbeat: {error}") from error
    return Heartbeat(
        boot=boot,
        serial=call.seq,
        state=call.state,
        slots=call.slots,
        cold=call.cold_left_ms / 1000,
    )
