"""Decoding of the calls by which upstreams report their state."""

from __future__ import annotations

from typing import Annotated, Literal

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
    service, addr : str
        Service and address of the upstream.
    seq : int
        Increases with each call of one boot.
    born : int
        Unix time of the boot's start in milliseconds; 0 if missing.
    """

    service: str
    addr: str
    seq: int
    state: Literal["ready", "draining"]
    slots: int
    cold_left_ms: int = 0
    born: Milliseconds = 0


class _Leave(Struct, frozen=True, kw_only=True):
    """Body of the call that announces an end; it may be empty."""

    born: Milliseconds = 0


_BEAT_DECODER = msgspec.json.Decoder(_Beat)
_LEAVE_DECODER = msgspec.json.Decoder(_Leave)


class InstanceCalls:
    """Implements `shedsill.datagram.adapter.HeartbeatCodec`.

    Parameters
    ----------
    service, address : str
        Service and address of the upstream whose calls are decoded; a heartbeat of
        another one is invalid.  Empty for any.
    """

    def __init__(self, *, service: str = "", address: str = "") -> None:
        self._service = service
        self._address = address

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
                    return self._decode_heartbeat(name, body)
                case "DELETE":
                    leave = _LEAVE_DECODER.decode(body or b"{}")
                    boot = format_boot(name, leave.born)
                    return UpstreamLeaving(boot=boot, now=now)
        except msgspec.MsgspecError as error:
            raise DecodeError(f"invalid call of an upstream: {error}") from error
        return None

    def _decode_heartbeat(self, name: str, body: bytes) -> Heartbeat:
        call = _BEAT_DECODER.decode(body)
        if call.service != (self._service or call.service):
            raise DecodeError(f"heartbeat of another service: {call.service!r}")
        if call.addr != (self._address or call.addr):
            raise DecodeError(f"heartbeat of another upstream: {call.addr!r}")
        return Heartbeat(
            boot=format_boot(name, call.born),
            serial=call.seq,
            state=UpstreamState(call.state),
            slots=call.slots,
            cold=call.cold_left_ms / 1000,
        )
