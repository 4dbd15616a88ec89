"""Event loop of the agent."""

from __future__ import annotations

import asyncio
import time

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.coordination.platform import Platform
from shedsill.datagram import _agent
from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._effects import (
    CheckUpstream,
    Effect,
    SendToCaller,
    SendToUpstream,
)
from shedsill.datagram._events import (
    ForwardedPacket,
    Heartbeat,
    HeartbeatReceived,
    UpstreamChecked,
    UpstreamLeaving,
    UpstreamPacket,
)
from shedsill.datagram._messages import NodeReport, UpstreamState
from shedsill.datagram._runtime.http import Response
from shedsill.datagram._runtime.node import (
    HTTP_NOT_FOUND,
    HTTP_OK,
    Node,
    generate_incarnation,
)
from shedsill.datagram._upstream import is_confirmed
from shedsill.datagram.adapter import (
    HeartbeatCodec,
    NodeSettings,
    PacketCodec,
    SettingsSource,
)
from shedsill.errors import DecodeError

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
CHECK_TIMEOUT_SECONDS = 0.5
"""Time for a running upstream on the same VM to accept a connection; exceeds the
0.1 s for which a VM that has used up its CPU quota is paused."""


class AgentNode(Node):
    """Runs the agent beside one upstream."""

    state: AgentState

    def __init__(
        self,
        state: AgentState,
        *,
        settings: NodeSettings,
        source: SettingsSource,
        codec: PacketCodec,
        platform: Platform,
        heartbeats: HeartbeatCodec,
    ) -> None:
        super().__init__(
            state, settings=settings, source=source, codec=codec, platform=platform
        )
        assert settings.upstream is not None
        assert settings.outbound is not None
        self._heartbeat_codec = heartbeats
        self._upstream = settings.upstream
        self._packet_socket = self.sockets.open(
            settings.packets, self._receive_forwarded
        )
        self._outbound_socket = self.sockets.open(
            settings.outbound, self._receive_upstream
        )

    def start_role(self) -> None:
        """Start the agent and listen for heartbeats of the upstream."""
        _agent.start_agent(self.state, self.now)
        self.run_in_background(self.reports.read_earlier_report(self.settings.host))
        if self.settings.heartbeats is not None:
            self.run_in_background(
                self.serve(self.settings.heartbeats, self._handle_heartbeat_call)
            )

    @property
    def is_ready(self) -> bool:
        """Whether this node is not stopping and its upstream has not announced its end.

        A VM whose upstream has not started yet is ready.
        """
        serving = (UpstreamState.READY, UpstreamState.UNKNOWN)
        return self.state.report.state in serving and self.state.stop_at is None

    def list_gauges(self) -> list[str]:
        """Return the agent's gauges in the Prometheus text format."""
        return [
            "# TYPE shedsill_flows gauge",
            f"shedsill_flows {len(self.state.flows)}",
            "# TYPE shedsill_busy gauge",
            f"shedsill_busy {self.state.busy}",
        ]

    def execute(self, effect: Effect) -> None:
        """Execute an effect."""
        match effect:
            case SendToUpstream(packet=packet, balancer=balancer):
                data = self.codec.encode_for_upstream(packet, balancer)
                self.sockets.send(self._packet_socket, data, self._upstream.pair)
            case SendToCaller(packet=packet):
                self.send_to_caller(packet.flow, packet.data)
            case CheckUpstream():
                self.run_in_background(self._check_upstream())
            case _:
                super().execute(effect)

    def _receive_forwarded(self, data: bytes, source: str) -> None:
        decoded = self.codec.decode_forwarded(data)
        if decoded is None:
            self.log_malformed_packet(source, data)
            return
        packet, service = decoded
        self.dispatch(
            ForwardedPacket(
                packet=packet, service=service, balancer=source, now=self.now
            )
        )

    def _receive_upstream(self, data: bytes, source: str) -> None:
        packet = self.codec.decode_upstream(data)
        if packet is None:
            self.log_malformed_packet(source, data)
            return
        self.dispatch(UpstreamPacket(packet=packet, now=self.now))

    def _handle_heartbeat_call(self, method: str, path: str, body: bytes) -> Response:
        try:
            call = self._heartbeat_codec.decode_call(method, path, body, self.now)
        except DecodeError as error:
            fields = {"method": method, "path": path, "error": str(error)}
            self.write_log(WriteLog(event=LogEvent.CALL_REFUSED, fields=fields))
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        match call:
            case Heartbeat():
                event = HeartbeatReceived(
                    heartbeat=call, now=self.now, unix_ms=get_unix_ms()
                )
                self.dispatch(event)
            case UpstreamLeaving():
                self.dispatch(call)
            case None:
                return Response(status=HTTP_NOT_FOUND, body=b"{}")
        status = HTTP_OK if is_confirmed(self.state, call) else HTTP_CONFLICT
        return Response(status=status, body=b"{}")

    async def _check_upstream(self) -> None:
        opened = refused = False
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                _reader, writer = await asyncio.open_connection(*self._upstream.pair)
            opened = True
            writer.transport.abort()
        except ConnectionRefusedError:
            refused = True
        except (TimeoutError, OSError) as error:
            fields = {"upstream": str(self._upstream), "error": repr(error)}
            self.write_log(WriteLog(event=LogEvent.UPSTREAM_UNREACHED, fields=fields))
        self.dispatch(UpstreamChecked(open=opened, refused=refused, now=self.now))


def get_unix_ms() -> int:
    """Return the Unix time in milliseconds by this VM's clock."""
    return time.time_ns() // 1_000_000


def create_agent(
    settings: NodeSettings,
    *,
    source: SettingsSource,
    codec: PacketCodec,
    platform: Platform,
    heartbeats: HeartbeatCodec,
) -> AgentNode:
    """Create an agent; requires a running event loop."""
    state = AgentState(
        report=NodeReport(
            host=settings.host,
            role=settings.role,
            zone=settings.zone,
            incarnation=generate_incarnation(),
            service=settings.service,
            vm_started_ms=get_unix_ms() - time.monotonic_ns() // 1_000_000,
        ),
        seeds=settings.seeds,
        flow_lifetime=settings.flow_lifetime,
        stop_limit=settings.stop_limit,
        knows_all_flows=settings.first_start,
        started_ms=get_unix_ms(),
    )
    return AgentNode(
        state,
        settings=settings,
        source=source,
        codec=codec,
        platform=platform,
        heartbeats=heartbeats,
    )
