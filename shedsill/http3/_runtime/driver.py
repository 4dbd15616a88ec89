"""Event loop that feeds a reducer and executes its effects."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

import aiohttp
import mode
from prometheus_client import Counter, Gauge

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill.coordination.platform import Platform
from shedsill.errors import DecodeError, InvariantError
from shedsill.http3._configuration import Configuration, decode_configuration_text
from shedsill.http3._effects import (
    CallPlatform,
    Effect,
    Exit,
    PullConfiguration,
    Send,
    WriteLog,
)
from shedsill.http3._events import (
    ConfigurationOffered,
    Event,
    FrameReceived,
    PlatformAnswered,
    PullFailed,
    StopRequested,
    Tick,
)
from shedsill.http3._frames import Heartbeat, decode_frame, encode_frame
from shedsill.http3._keys import KeyRing, verify_message
from shedsill.http3._reducer import reduce
from shedsill.http3._runtime.connections import make_connector, make_timeout
from shedsill.http3._runtime.log import EventLog

TICK_INTERVAL_SECONDS = 0.05
PEER_TIMEOUT_SECONDS = 2.0  # per connect and read
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
_State = TypeVar("_State")


class FrameProtocol(asyncio.DatagramProtocol):
    """Receives frames from other nodes."""

    def __init__(self, driver: Driver) -> None:
        self._driver = driver

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Check, decode and dispatch one frame."""
        self._driver.receive_frame(data, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; heartbeats detect silent peers."""


class Driver(mode.Service, Generic[_State]):
    """Base class of the balancer's and the agent's services.

    Attributes
    ----------
    node_state : BalancerState or AgentState
        Current state, replaced by the reducer at each event.
    exited : asyncio.Event
        Set when a planned stop is complete or a failure stops the process.
    failure : BaseException or None
        Exception that stops the process.
    """

    def __init__(
        self, state: Any, *, keys: KeyRing, platform: Platform, event_log: EventLog
    ) -> None:
        super().__init__()
        self.node_state = state
        self.keys = keys
        self.platform = platform
        self.event_log = event_log
        self.exited = asyncio.Event()
        self.failure: BaseException | None = None
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._random = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task] = set()
        self.http: aiohttp.ClientSession | None = None
        registry = event_log.registry
        self._generation = Gauge(
            "shedsill_generation", "Configuration in force", registry=registry
        )
        self._heartbeat_bytes = Counter(
            "shedsill_control_octets", "Octets of heartbeats sent", registry=registry
        )

    @property
    def now(self) -> float:
        """Time on the monotonic clock, in seconds."""
        return asyncio.get_running_loop().time()

    def draw_seed(self) -> int:
        """Return a random seed for an event."""
        return self._random.getrandbits(32)

    async def on_start(self) -> None:
        """Open the frame socket."""
        loop = asyncio.get_running_loop()
        self.http = aiohttp.ClientSession(
            connector=make_connector(), timeout=make_timeout(PEER_TIMEOUT_SECONDS)
        )
        address = self.node_state.node.address
        self._transport, _protocol = await loop.create_datagram_endpoint(
            lambda: FrameProtocol(self), local_addr=address.pair
        )
        enlarge_buffers(self._transport)
        fields = {"name": self.node_state.node.name, "address": str(address)}
        self.write_log(WriteLog(event=LogEvent.NODE_STARTED, fields=fields))

    async def on_stop(self) -> None:
        """Close sockets and cancel tasks."""
        for task in list(self._tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self.http is not None:
            await self.http.close()

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            self.dispatch(Tick(now=self.now, seed=self.draw_seed()))
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    def dispatch(self, event: Event) -> None:
        """Reduce an event and those that its effects dispatch."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self.node_state, effects = reduce(
                    self.node_state, self._events.popleft()
                )
                for effect in effects:
                    self.execute(effect)
        except Exception as error:
            self._stop_on_error(error)
            raise
        finally:
            self._dispatching = False

    def _stop_on_error(self, error: Exception) -> None:
        """Stop the process after an unexpected exception."""
        self.failure = error
        fields = {"error": f"{type(error).__name__}: {error}"}
        self.write_log(WriteLog(event=LogEvent.INVARIANT_BROKEN, fields=fields))
        self.exited.set()

    def receive_frame(self, data: bytes, source: Address) -> None:
        """Check, decode and dispatch one frame."""
        try:
            frame = decode_frame(self.keys, data)
        except DecodeError:
            fields = {"source": str(source), "octets": len(data)}
            self.write_log(WriteLog(event=LogEvent.FRAME_REFUSED, fields=fields))
            return
        self.dispatch(FrameReceived(frame=frame, source=source, now=self.now))

    def execute(self, effect: Effect) -> None:
        """Execute an effect that both roles have."""
        match effect:
            case Send(destination=destination, frame=frame):
                envelope = encode_frame(self.keys, frame)
                if isinstance(frame, Heartbeat):
                    self._heartbeat_bytes.inc(len(envelope))
                self.send_envelope(destination, envelope)
            case WriteLog():
                self.write_log(effect)
            case CallPlatform():
                self.start_task(self._call_platform(effect))
            case PullConfiguration(peer=peer):
                self.start_task(self._pull_configuration(peer))
            case Exit():
                self.write_log(WriteLog(event=LogEvent.NODE_STOPPED, fields={}))
                self.exited.set()
            case _:
                raise InvariantError(f"unhandled effect {type(effect).__name__}")

    def send_envelope(self, destination: Address, envelope: bytes) -> None:
        """Send an encoded frame to another node."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(envelope, destination.pair)

    def write_log(self, entry: WriteLog) -> None:
        """Log and count an event."""
        if entry.event == LogEvent.CONFIGURATION_APPLIED:
            self._generation.set(entry.fields["generation"])
        self.event_log.write(entry, self.now)

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a coroutine as a task, which is cancelled when the service stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        fields = {"error": repr(task.exception())}
        self.write_log(WriteLog(event=LogEvent.TASK_FAILED, fields=fields))

    async def _call_platform(self, effect: CallPlatform) -> None:
        outcome = await self.platform.call(effect.call)
        self.dispatch(
            PlatformAnswered(
                purpose=effect.purpose, outcome=outcome, now=self.now, name=effect.name
            )
        )

    async def _pull_configuration(self, peer: Address) -> None:
        configuration = await self.fetch_configuration(peer)
        if configuration is None:
            self.dispatch(PullFailed(peer=peer))
            return
        self.dispatch(ConfigurationOffered(configuration=configuration, now=self.now))

    async def fetch_configuration(self, peer: Address) -> Configuration | None:
        """Fetch a peer's configuration; return None on failure."""
        assert self.http is not None
        try:
            async with self.http.get(f"http://{peer}/peer/configuration") as response:
                envelope = await response.read()
            return decode_configuration_text(verify_message(self.keys, envelope))
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError):
            return None

    def request_stop(self) -> None:
        """Start a planned stop."""
        self.dispatch(StopRequested(now=self.now))


def enlarge_buffers(transport: asyncio.DatagramTransport) -> None:
    """Enlarge a socket's buffers, to hold a burst of datagrams."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
