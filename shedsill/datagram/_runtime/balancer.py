"""Event loop of the balancer."""

from __future__ import annotations

import asyncio

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.coordination.backoff import Backoff
from shedsill.coordination.platform import (
    Changed,
    Delete,
    Found,
    Get,
    Listing,
    Platform,
    StoredObject,
    Unavailable,
)
from shedsill.coordination.watch import watch_changes
from shedsill.datagram import _balancer
from shedsill.datagram._balancer_state import BalancerState
from shedsill.datagram._effects import (
    Effect,
    ForwardPacket,
    PullTable,
    ReadCheckpoint,
    ReadReports,
    RemovePeerReport,
    StoreCheckpoint,
)
from shedsill.datagram._events import (
    CallerPacket,
    CheckpointRead,
    ReportsListed,
    TableReceived,
)
from shedsill.datagram._messages import NodeReport, OpenFlow, load_report
from shedsill.datagram._runtime.checkpoints import CheckpointStore
from shedsill.datagram._runtime.http import HttpClient, Response
from shedsill.datagram._runtime.node import (
    HTTP_NOT_FOUND,
    HTTP_OK,
    HTTP_UNAVAILABLE,
    Node,
    generate_incarnation,
)
from shedsill.datagram._runtime.reports import REPORT_KIND
from shedsill.datagram._runtime.tables import ServedTable, decompress_table
from shedsill.datagram.adapter import (
    NodeSettings,
    PacketCodec,
    SettingsSource,
    TableSource,
)
from shedsill.errors import DecodeError

TABLE_PATH = "/table/deflate"
"""Path at which balancers read the forwarding table from each other."""

PULL_TIMEOUT_SECONDS = 1.0
"""Timeout for reading the forwarding table from another balancer."""

WATCH_TIMEOUT_SECONDS = 25.0
"""Timeout of a watch; a long one saves store calls."""

COLLECTOR_WATCH_TIMEOUT_SECONDS = 2.0
"""Timeout of a watch at the collector; a store that stops answering on an open
connection is detected after this time and the margin of a watch, within the 4 s after
which a VM has to work normally again."""

SHORT_WATCH_TIMEOUT_SECONDS = 0.02
"""Timeout of a watch that only fetches the changes up to now."""

RETRY_BACKOFF = Backoff(initial_delay=0.1, max_delay=1.0)
"""Delays between retries while the store is unavailable.  A changed table has to be
applied within 3 s after an outage."""


class BalancerNode(Node):
    """Runs a balancer for opaque flows."""

    state: BalancerState

    def __init__(
        self,
        state: BalancerState,
        *,
        settings: NodeSettings,
        source: SettingsSource,
        codec: PacketCodec,
        platform: Platform,
        table: TableSource,
    ) -> None:
        super().__init__(
            state, settings=settings, source=source, codec=codec, platform=platform
        )
        self._table_source = table
        self._served_table = ServedTable()
        self._pulling_table = False
        self._reports_requested = asyncio.Event()
        self._checkpoints = CheckpointStore(
            self.platform,
            write_log=self.write_log,
            handle_checkpoint=self._handle_checkpoint,
        )
        self._packet_socket = self.sockets.open(settings.packets, self._receive_packet)

    def start_role(self) -> None:
        """Watch the store and serve the other balancers."""
        for effect in _balancer.start(self.state, self.now):
            self.execute(effect)
        self.run_in_background(self._watch_table())
        self.run_in_background(self._watch_reports())
        self.run_in_background(self._serve_peers())

    async def _serve_peers(self) -> None:
        await self.serve(self.settings.messages, self._handle_peer_request)
        if self.settings.heartbeats is not None:
            await self.serve(self.settings.heartbeats, self._handle_peer_request)

    @property
    def is_ready(self) -> bool:
        """Whether routers should send packets to this balancer."""
        return self.state.ready

    def list_gauges(self) -> list[str]:
        """Return the balancer's gauges in the Prometheus text format."""
        return [
            "# TYPE shedsill_flows gauge",
            f"shedsill_flows {len(self.state.flows)}",
            "# TYPE shedsill_searches gauge",
            f"shedsill_searches {len(self.state.searches)}",
            "# TYPE shedsill_table_version gauge",
            f"shedsill_table_version {self.state.table.version}",
        ]

    def execute(self, effect: Effect) -> None:
        """Execute an effect."""
        match effect:
            case ForwardPacket(host=host, packet=packet, service=service, route=route):
                data = self.codec.encode_forwarded(packet, service, route)
                self.sockets.send(
                    self._packet_socket, data, (host, self.settings.agent_port)
                )
            case PullTable(host=host):
                if not self._pulling_table:
                    self._pulling_table = True
                    self.run_in_background(self._pull_table(host))
            case RemovePeerReport(report=report):
                self.run_in_background(self._delete_report(report))
            case StoreCheckpoint(parts=parts):
                self.run_in_background(self._checkpoints.write(parts))
            case ReadCheckpoint():
                self.run_in_background(self._checkpoints.read())
            case ReadReports():
                self._reports_requested.set()
            case _:
                super().execute(effect)

    def _receive_packet(self, data: bytes, source: str) -> None:
        packet = self.codec.decode_caller(data)
        if packet is None:
            self.log_malformed_packet(source, data)
            return
        self.dispatch(CallerPacket(packet=packet, now=self.now))

    def _handle_checkpoint(
        self, parts: dict[str, list[OpenFlow]], age: float, at_start: bool
    ) -> None:
        event = CheckpointRead(parts=parts, age=age, at_start=at_start, now=self.now)
        self.dispatch(event)

    async def _delete_report(self, report: NodeReport) -> None:
        """Delete a report unless a newer incarnation of its node has replaced it."""
        found = await self.platform.call(Get(kind=REPORT_KIND, name=report.host))
        match found:
            case Found(object=StoredObject(version=version) as item):
                stored = self._read_report(item)
                if stored is None or stored.incarnation == report.incarnation:
                    delete = Delete(
                        kind=REPORT_KIND, name=report.host, expected=version
                    )
                    await self.platform.call(delete)
            case Unavailable():
                self.update_platform_status(found)

    # The forwarding table

    async def _watch_table(self) -> None:
        changes = watch_changes(
            self.platform,
            self._table_source.kind,
            sleep=asyncio.sleep,
            get_timeout=self._choose_watch_timeout,
            backoff=RETRY_BACKOFF,
        )
        async for outcome in changes:
            if isinstance(outcome, Unavailable):
                self.update_platform_status(outcome)
                continue
            self.update_platform_status(None)
            for item in outcome.objects:
                if item.name == self._table_source.name:
                    self._handle_table(item.value, "store")

    def _handle_table(self, value: object, source: str) -> None:
        try:
            table = self._table_source.decode(value)
        except DecodeError as error:
            fields = {"source": source, "error": str(error)}
            self.write_log(WriteLog(event=LogEvent.TABLE_REJECTED, fields=fields))
            return
        if table.version > self.state.table.version:
            self._served_table.replace(value)
        self.dispatch(TableReceived(table=table, source=source, now=self.now))

    def _handle_peer_request(self, method: str, path: str, body: bytes) -> Response:
        if path != TABLE_PATH or self._served_table.is_empty:
            return Response(status=HTTP_NOT_FOUND, body=b"{}")
        content = self._served_table.get_for_sending(self.now)
        if content is None:
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        fields = {"version": self.state.table.version, "octets": len(content)}
        self.write_log(WriteLog(event=LogEvent.TABLE_SENT, fields=fields))
        return Response(status=HTTP_OK, body=content)

    async def _pull_table(self, host: str) -> None:
        client = HttpClient(Address(host, self.settings.messages.port))
        try:
            response = await client.request(
                "GET", TABLE_PATH, None, timeout=PULL_TIMEOUT_SECONDS
            )
            if response.status == HTTP_OK:
                self._handle_table(decompress_table(response.body), host)
            else:
                self._log_pull_failure(host, f"status {response.status}")
        except (TimeoutError, OSError, DecodeError) as error:
            self._log_pull_failure(host, repr(error))
        finally:
            self._pulling_table = False
            client.close()

    def _log_pull_failure(self, host: str, reason: str) -> None:
        fields = {"source": host, "reason": reason}
        self.write_log(WriteLog(event=LogEvent.TABLE_NOT_READ, fields=fields))

    # Reports of nodes

    async def _watch_reports(self) -> None:
        changes = watch_changes(
            self.platform,
            REPORT_KIND,
            sleep=asyncio.sleep,
            get_timeout=self._choose_watch_timeout,
            delay_next_watch=self._wait_between_watches,
            interrupt_watch=self._wait_for_report_request,
            backoff=RETRY_BACKOFF,
        )
        async for outcome in changes:
            match outcome:
                case Unavailable():
                    self.update_platform_status(outcome)
                case Listing(objects=objects):
                    self.update_platform_status(None)
                    self._handle_reports(objects, (), complete=True)
                case Changed(objects=objects, deleted=deleted):
                    self.update_platform_status(None)
                    self._handle_reports(objects, deleted, complete=False)

    def _choose_watch_timeout(self) -> float:
        is_collector = self.state.checkpoints.collector == self.settings.host
        return (
            COLLECTOR_WATCH_TIMEOUT_SECONDS if is_collector else WATCH_TIMEOUT_SECONDS
        )

    async def _wait_between_watches(self) -> float | None:
        """Delay the next watch until it is due or reports are requested.

        Returns the timeout of the next watch; None for the usual one.
        """
        try:
            async with asyncio.timeout(self.state.polling.interval):
                return await self._wait_for_report_request()
        except TimeoutError:
            return None

    async def _wait_for_report_request(self) -> float:
        """Wait until reports are requested; return the timeout of the next watch.

        A running watch does not show that all changes up to now are known: the store
        may never answer it.
        """
        await self._reports_requested.wait()
        self._reports_requested.clear()
        return SHORT_WATCH_TIMEOUT_SECONDS

    def _handle_reports(
        self,
        objects: tuple[StoredObject, ...],
        deleted: tuple[str, ...],
        *,
        complete: bool,
    ) -> None:
        for item in objects:
            if item.name == self.settings.host:
                self.reports.record_version(item.version)
        reports = [r for r in map(self._read_report, objects) if r is not None]
        self.dispatch(
            ReportsListed(
                reports=tuple(reports), removed=deleted, complete=complete, now=self.now
            )
        )

    def _read_report(self, item: StoredObject) -> NodeReport | None:
        try:
            return load_report(item.value)
        except DecodeError as error:
            fields = {"source": f"store: {item.name}", "error": str(error)}
            self.write_log(WriteLog(event=LogEvent.MESSAGE_REFUSED, fields=fields))
            return None


def create_balancer(
    settings: NodeSettings,
    *,
    source: SettingsSource,
    codec: PacketCodec,
    platform: Platform,
    table: TableSource,
) -> BalancerNode:
    """Create a balancer; requires a running event loop."""
    state = BalancerState(
        report=NodeReport(
            host=settings.host,
            role=settings.role,
            zone=settings.zone,
            incarnation=generate_incarnation(),
        ),
        seeds=settings.seeds,
        flow_lifetime=settings.flow_lifetime,
        stop_limit=settings.stop_limit,
    )
    return BalancerNode(
        state,
        settings=settings,
        source=source,
        codec=codec,
        platform=platform,
        table=table,
    )
