"""Event loop of a node: passes events to the reducer and executes its effects."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Coroutine
from typing import Any

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill._common_effects import Exit, WriteLog
from shedsill.coordination.platform import Platform, Unavailable
from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._balancer_state import BalancerState
from shedsill.datagram._effects import (
    Effect,
    ObserveLatency,
    RemoveReport,
    ResetFlow,
    SendMessage,
    StoreReport,
)
from shedsill.datagram._events import (
    EarlierReportRead,
    Event,
    MessageReceived,
    PacketsDrained,
    SettingsChanged,
    StopRequested,
    Tick,
)
from shedsill.datagram._messages import (
    PacketReturned,
    decode_message,
    encode_message,
    load_report,
)
from shedsill.datagram._reducer import reduce
from shedsill.datagram._runtime.http import Handler, Response, serve_http
from shedsill.datagram._runtime.log import JsonLog
from shedsill.datagram._runtime.metrics import Histogram, format_events
from shedsill.datagram._runtime.reports import ReportWriter
from shedsill.datagram._runtime.sockets import DatagramSockets, build_address_error
from shedsill.datagram._runtime.traffic import CountingPlatform, TrafficCounters
from shedsill.datagram.adapter import NodeSettings, PacketCodec, SettingsSource
from shedsill.errors import DecodeError, InvariantError, SettingError

TICK_INTERVAL_SECONDS = 0.04
"""Half of the shortest timeout that is checked on ticks."""

SETTINGS_CHECK_INTERVAL_SECONDS = 1.0
"""Interval between checks for changed settings."""

TRAFFIC_LOG_INTERVAL_SECONDS = 5.0
"""Interval between log lines with traffic counters.  The counters of a killed node
are only found in its log."""

METRICS_PATH = "/metrics"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class Node:
    """Base class of balancer and agent.

    Attributes
    ----------
    state : BalancerState or AgentState
        Changed only by the reducer.
    failure : Exception or None
        The error that stopped the node, if any.
    """

    def __init__(
        self,
        state: BalancerState | AgentState,
        *,
        settings: NodeSettings,
        source: SettingsSource,
        codec: PacketCodec,
        platform: Platform,
    ) -> None:
        self.state = state
        self.settings = settings
        self._settings_source = source
        self.codec = codec
        self.traffic = TrafficCounters()
        self.platform = CountingPlatform(platform, self.traffic)
        self.failure: Exception | None = None
        self.log = JsonLog(node=settings.name, describe_flow=codec.describe_flow)
        self.latency = Histogram(
            "shedsill_latency_seconds",
            "Balancer: offer to answer of an opening; agent: request to answer",
        )
        self.reports = ReportWriter(
            platform=self.platform,
            write_log=self.write_log,
            handle_earlier_report=self._handle_earlier_report,
            run_in_background=self.run_in_background,
        )
        self._loop = asyncio.get_running_loop()
        self._exited = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self.sockets = DatagramSockets(
            write_log=self.write_log,
            on_drained=lambda: self.dispatch(PacketsDrained(now=self.now)),
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._platform_failed = False
        self._message_socket = self.sockets.open(
            settings.messages, self._receive_message
        )

    @property
    def now(self) -> float:
        """Current time of the monotonic clock in seconds."""
        return self._loop.time()

    # Lifecycle

    async def run(self) -> None:
        """Run until a planned stop is complete or the reducer fails."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._request_stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._read_settings)
        self.run_in_background(self._watch_settings())
        await self.serve(self.settings.status, self.handle_status_request)
        if self.settings.metrics is not None:
            await self.serve(self.settings.metrics, self._handle_metrics_request)
        fields = {
            "role": self.settings.role.value,
            "host": self.settings.host,
            "zone": self.settings.zone,
            "service": self.settings.service,
            "incarnation": self.state.report.incarnation,
            "first_start": self.settings.first_start,
        }
        self.write_log(WriteLog(event=LogEvent.NODE_STARTED, fields=fields))
        self.start_role()
        self._tick()
        self._loop.call_later(TRAFFIC_LOG_INTERVAL_SECONDS, self._log_traffic)
        await self._exited.wait()
        await self.reports.wait_until_written()
        self._close()

    def start_role(self) -> None:
        """Start the tasks and servers of the node's role."""
        raise NotImplementedError

    def _request_stop(self) -> None:
        self.dispatch(StopRequested(now=self.now))

    async def _watch_settings(self) -> None:
        """Reload settings that change without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
            if self._settings_source.has_changed():
                self._read_settings()

    def _read_settings(self) -> None:
        """Apply changed settings; invalid ones are logged and ignored."""
        try:
            settings = self._settings_source.read()
        except SettingError as error:
            fields = {"error": str(error)}
            self.write_log(WriteLog(event=LogEvent.SETTINGS_REJECTED, fields=fields))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.dispatch(
            SettingsChanged(
                seeds=settings.seeds,
                flow_lifetime=settings.flow_lifetime,
                stop_limit=settings.stop_limit,
            )
        )

    def _handle_earlier_report(self, value: object, at_start: bool) -> None:
        """Dispatch the stored report of an earlier incarnation of this node."""
        try:
            report = load_report(value)
        except DecodeError as error:
            fields = {"source": "store: own report", "error": str(error)}
            self.write_log(WriteLog(event=LogEvent.MESSAGE_REFUSED, fields=fields))
            return
        event = EarlierReportRead(report=report, at_start=at_start, now=self.now)
        self.dispatch(event)

    def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for server in self._servers:
            server.close()
        self.sockets.close()
        self.log.flush()

    def _tick(self) -> None:
        self.dispatch(Tick(now=self.now))
        self.log.flush()
        if not self._exited.is_set():
            self._loop.call_later(TICK_INTERVAL_SECONDS, self._tick)

    def _log_traffic(self) -> None:
        """Log the counts of store calls and messages since the start."""
        fields = {
            "calls": self.traffic.calls,
            "messages": self.traffic.messages,
            "octets": self.traffic.message_bytes,
        }
        self.write_log(WriteLog(event=LogEvent.NODE_FIGURES, fields=fields))
        if not self._exited.is_set():
            self._loop.call_later(TRAFFIC_LOG_INTERVAL_SECONDS, self._log_traffic)

    # Events

    def _receive_message(self, data: bytes, source: str) -> None:
        try:
            message = decode_message(data)
        except DecodeError as error:
            fields = {"source": source, "error": str(error)}
            self.write_log(WriteLog(event=LogEvent.MESSAGE_REFUSED, fields=fields))
            return
        returned_packet = None
        if isinstance(message, PacketReturned):
            returned_packet = self.codec.decode_caller(message.packet)
            if returned_packet is None:
                self.log_malformed_packet(source, message.packet)
                return
        event = MessageReceived(message=message, source=source, now=self.now)
        self._reduce(event, returned_packet)

    def log_malformed_packet(self, source: str, data: bytes) -> None:
        """Log a datagram that is not a valid packet."""
        fields = {"source": source, "octets": len(data)}
        self.write_log(WriteLog(event=LogEvent.PACKET_MALFORMED, fields=fields))

    async def serve(self, address: Address, handler: Handler) -> None:
        """Start an HTTP server at an address."""
        try:
            server = await serve_http(address, handler)
        except OSError as error:
            raise build_address_error(address, error) from error
        self._servers.append(server)

    def handle_status_request(self, method: str, path: str, body: bytes) -> Response:
        """Answer a readiness check."""
        if path.partition("?")[0] != self.settings.readiness_path:
            return Response(status=HTTP_NOT_FOUND, body=b"{}")
        status = HTTP_OK if self.is_ready else HTTP_UNAVAILABLE
        return Response(status=status, body=b"{}")

    @property
    def is_ready(self) -> bool:
        """Whether routers should send packets to this node."""
        raise NotImplementedError

    def _handle_metrics_request(self, method: str, path: str, body: bytes) -> Response:
        if path.partition("?")[0] != METRICS_PATH:
            return Response(status=HTTP_NOT_FOUND, body=b"")
        lines = [*format_events(self.log.counts), *self.latency.format()]
        lines += self.traffic.format()
        lines += self.list_gauges()
        return Response(status=HTTP_OK, body="\n".join([*lines, ""]).encode())

    def list_gauges(self) -> list[str]:
        """Return the role's gauges in the Prometheus text format."""
        raise NotImplementedError

    # Effects

    def dispatch(self, event: Event) -> None:
        """Pass an event to the reducer and execute the effects it returns."""
        self._reduce(event, None)

    def _reduce(self, event: Event, returned_packet: Any) -> None:
        try:
            for effect in reduce(self.state, event, returned_packet):
                self.execute(effect)
        except Exception as error:
            self._fail(error)
            raise

    def _fail(self, error: Exception) -> None:
        """Log an error of the reducer and stop the process."""
        self.failure = error
        fields = {"error": f"{type(error).__name__}: {error}"}
        self.write_log(WriteLog(event=LogEvent.INVARIANT_BROKEN, fields=fields))
        self._exited.set()

    def execute(self, effect: Effect) -> None:
        """Execute an effect that both roles have."""
        match effect:
            case WriteLog():
                self.write_log(effect)
            case SendMessage(host=host, message=message):
                data = encode_message(message)
                self.traffic.count_message(type(message).__name__, len(data))
                target = (host, self.settings.messages.port)
                self.sockets.send(self._message_socket, data, target)
            case ResetFlow(flow=flow, seq=seq):
                self.send_to_caller(flow, self.codec.encode_reset(flow, seq))
            case ObserveLatency(seconds=seconds):
                self.latency.observe(seconds)
            case StoreReport(report=report):
                self.reports.store(report)
            case RemoveReport(report=report):
                self.reports.remove(report)
            case Exit():
                self._exited.set()
            case _:
                raise InvariantError(
                    f"this role cannot execute {type(effect).__name__}"
                )

    def send_to_caller(self, flow: bytes, data: bytes) -> None:
        """Send a packet to the caller of a flow."""
        target = (self.codec.get_caller_host(flow), self.settings.caller_port)
        self.sockets.send(self._message_socket, data, target)

    def write_log(self, log_entry: WriteLog) -> None:
        """Count a log event and queue its line."""
        self.log.write(log_entry, self.now)

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task that is cancelled when the node stops."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        fields = {"error": repr(task.exception())}
        self.write_log(WriteLog(event=LogEvent.TASK_FAILED, fields=fields))

    def update_platform_status(self, failure: Unavailable | None) -> None:
        """Log when the platform's store becomes unavailable or available again.

        Parameters
        ----------
        failure : Unavailable or None
            Outcome of the last call; None if it succeeded.
        """
        if failure is not None and not self._platform_failed:
            fields = {"reason": failure.reason}
            self.write_log(WriteLog(event=LogEvent.PLATFORM_FAILED, fields=fields))
        if failure is None and self._platform_failed:
            self.write_log(WriteLog(event=LogEvent.PLATFORM_BACK))
        self._platform_failed = failure is not None


def generate_incarnation() -> int:
    """Return a random number that identifies this start of the process."""
    return int.from_bytes(os.getrandom(6), "big")
