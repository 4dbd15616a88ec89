"""The balancer's loop."""

from __future__ import annotations

import asyncio

from shedsill._addresses import Address
from shedsill._catalogue import LogEvent
from shedsill._shared_effects import Note
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
    RemovePeerReport,
    ForwardPacket,
    PullTable,
    ReadCheckpoint,
    ReadReports,
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
    draw_incarnation,
)
from shedsill.datagram._runtime.reports import REPORT_KIND
from shedsill.datagram._runtime.tables import ServedTable, unpack_table
from shedsill.datagram.adapter import (
    NodeSettings,
    PacketCodec,
    SettingsSource,
    TableSource,
)
from shedsill.errors import DecodeError

TABLE_PATH = "/table/deflate"
"""Where balancers read the table from each other; see `_runtime.tables`."""

PULL_TIMEOUT = 1.0
"""Seconds for reading the table from another balancer."""

WATCH_PATIENCE = 25.0
"""Seconds for which a watch waits; each one is a call that is paid for."""

COLLECTOR_PATIENCE = 2.0
"""The same at the collector, which tells the others what it reads.  A store that keeps
a connection open and never answers is noticed after this time and the margin of a
watch, in time for a VM that must be in touch 4 s after trouble."""

READ_PATIENCE = 0.02
"""Seconds for which a watch waits that is only to tell what has changed so far."""

RETRY = Backoff(first=0.1, longest=1.0)
"""Delays between tries while the store is away; a change of the table has to be
in force within 3 s of the store's return."""


class BalancerNode(Node):
    """Runs a balancer of opaque flows."""

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
        self._served = ServedTable()
        self._pulling = False
        self._reports_wanted = asyncio.Event()
        self._resting = False
        self._checkpoints = CheckpointStore(
            self.platform, write_note=self.write_note, take=self._take_checkpoint
        )
        self._packets = self.sockets.open(settings.packets, self._take_packet)

    def begin(self) -> None:
        """Start watching the store."""
        for effect in _balancer.start(self.state, self.now):
            self.carry_out(effect)
        self.run_beside(self._watch_table())
        self.run_beside(self._watch_reports())
        self.run_beside(self._serve_peers())

    async def _serve_peers(self) -> None:
        await self.serve(self.settings.messages, self._answer_peer)
        if self.settings.heartbeats is not None:
            await self.serve(self.settings.heartbeats, self._answer_peer)

    @property
    def ready(self) -> bool:
        """Whether routers should send packets here."""
        return self.state.ready

    def list_gauges(self) -> list[str]:
        """Return the lines of figures that go up and down."""
        return [
            "# TYPE shedsill_flows gauge",
            f"shedsill_flows {len(self.state.flows)}",
            "# TYPE shedsill_searches gauge",
            f"shedsill_searches {len(self.state.searches)}",
            "# TYPE shedsill_table_version gauge",
            f"shedsill_table_version {self.state.table.version}",
        ]

    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect."""
        match effect:
            case ForwardPacket(host=host, packet=packet, service=service, route=route):
                data = self.codec.encode_forwarded(packet, service, route)
                self.sockets.send(self._packets, data, (host, self.settings.agent_port))
            case PullTable(host=host):
                if not self._pulling:
                    self._pulling = True
                    self.run_beside(self._pull_table(host))
            case RemovePeerReport(report=report):
                self.run_beside(self._forget_report(report))
            case StoreCheckpoint(parts=parts):
                self.run_beside(self._checkpoints.write(parts))
            case ReadCheckpoint():
                self.run_beside(self._checkpoints.read())
            case ReadReports():
                self._hurry_reports()
            case _:
                super().carry_out(effect)

    def _take_packet(self, data: bytes, source: str) -> None:
        packet = self.codec.decode_caller(data)
        if packet is None:
            self.note_malformed(source, data)
            return
        self.dispatch(CallerPacket(packet=packet, now=self.now))

    def _take_checkpoint(
        self, parts: dict[str, list[OpenFlow]], age: float, at_start: bool
    ) -> None:
        event = CheckpointRead(parts=parts, age=age, at_start=at_start, now=self.now)
        self.dispatch(event)

    async def _forget_report(self, report: NodeReport) -> None:
        """Remove a report unless its node has written another one since."""
        found = await self.platform.call(Get(kind=REPORT_KIND, name=report.host))
        match found:
            case Found(object=StoredObject(version=version) as item):
                kept = self._read_report(item)
                if kept is None or kept.incarnation == report.incarnation:
                    delete = Delete(
                        kind=REPORT_KIND, name=report.host, expected=version
                    )
                    await self.platform.call(delete)
            case Unavailable():
                self.note_platform(found)

    # The forwarding table

    async def _watch_table(self) -> None:
        changes = watch_changes(
            self.platform,
            self._table_source.kind,
            sleep=asyncio.sleep,
            patience=self._get_patience,
            backoff=RETRY,
        )
        async for outcome in changes:
            if isinstance(outcome, Unavailable):
                self.note_platform(outcome)
                continue
            self.note_platform(None)
            for item in outcome.objects:
                if item.name == self._table_source.name:
                    self._offer_table(item.value, "store")

    def _offer_table(self, value: object, source: str) -> None:
        try:
            table = self._table_source.decode(value)
        except DecodeError as error:
            fields = {"source": source, "error": str(error)}
            self.write_note(Note(event=LogEvent.TABLE_REJECTED, fields=fields))
            return
        if table.version > self.state.table.version:
            self._served.put(value)
        self.dispatch(TableReceived(table=table, source=source, now=self.now))

    def _answer_peer(self, method: str, path: str, body: bytes) -> Response:
        if path != TABLE_PATH or self._served.is_empty:
            return Response(status=HTTP_NOT_FOUND, body=b"{}")
        content = self._served.take(self.now)
        if content is None:
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        fields = {"version": self.state.table.version, "octets": len(content)}
        self.write_note(Note(event=LogEvent.TABLE_SENT, fields=fields))
        return Response(status=HTTP_OK, body=content)

    async def _pull_table(self, host: str) -> None:
        client = HttpClient(Address(host, self.settings.messages.port))
        try:
            response = await client.request(
                "GET", TABLE_PATH, None, timeout=PULL_TIMEOUT
            )
            if response.status == HTTP_OK:
                self._offer_table(unpack_table(response.body), host)
            else:
                self._note_not_read(host, f"status {response.status}")
        except (TimeoutError, OSError, DecodeError) as error:
            self._note_not_read(host, repr(error))
        finally:
            self._pulling = False
            client.close()

    def _note_not_read(self, host: str, reason: str) -> None:
        fields = {"source": host, "reason": reason}
        self.write_note(Note(event=LogEvent.TABLE_NOT_READ, fields=fields))

    # Reports of nodes

    async def _watch_reports(self) -> None:
        changes = watch_changes(
            self.platform,
            REPORT_KIND,
            sleep=asyncio.sleep,
            patience=self._get_patience,
            rest=self._rest_between_reports,
            backoff=RETRY,
        )
        async for outcome in changes:
            match outcome:
                case Unavailable():
                    self.note_platform(outcome)
                case Listing(objects=objects):
                    self.note_platform(None)
                    self._take_reports(objects, (), whole=True)
                case Changed(objects=objects, deleted=deleted):
                    self.note_platform(None)
                    self._take_reports(objects, deleted, whole=False)

    def _get_patience(self) -> float:
        is_collector = self.state.checkpoints.collector == self.settings.host
        return COLLECTOR_PATIENCE if is_collector else WATCH_PATIENCE

    async def _rest_between_reports(self) -> float | None:
        """Wait until the next watch is due or reports are wanted at once."""
        self._reports_wanted.clear()
        self._resting = True
        try:
            async with asyncio.timeout(self.state.polling.interval):
                await self._reports_wanted.wait()
        except TimeoutError:
            return None
        finally:
            self._resting = False
        return READ_PATIENCE

    def _hurry_reports(self) -> None:
        """End the rest between watches; a watch under way has told all there is."""
        if self._resting:
            self._reports_wanted.set()
        elif not self._platform_failed:
            self._loop.call_soon(lambda: self._take_reports((), (), whole=False))

    def _take_reports(
        self,
        objects: tuple[StoredObject, ...],
        deleted: tuple[str, ...],
        *,
        whole: bool,
    ) -> None:
        for item in objects:
            if item.name == self.settings.host:
                self.reports.note_version(item.version)
        reports = [r for r in map(self._read_report, objects) if r is not None]
        self.dispatch(
            ReportsListed(
                reports=tuple(reports), removed=deleted, complete=whole, now=self.now
            )
        )

    def _read_report(self, item: StoredObject) -> NodeReport | None:
        try:
            return load_report(item.value)
        except DecodeError as error:
            fields = {"source": f"store: {item.name}", "error": str(error)}
            self.write_note(Note(event=LogEvent.MESSAGE_REFUSED, fields=fields))
            return None


def make_balancer(
    settings: NodeSettings,
    *,
    source: SettingsSource,
    codec: PacketCodec,
    platform: Platform,
    table: TableSource,
) -> BalancerNode:
    """Return a balancer; call it inside the running loop."""
    state = BalancerState(
        report=NodeReport(
            host=settings.host,
            role=settings.role,
            zone=settings.zone,
            incarnation=draw_incarnation(),
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
