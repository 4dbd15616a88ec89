"""The platform's settings file; `deploy/settings.json.in` is its template."""

from __future__ import annotations

import os

import msgspec
from msgspec import Struct, field

from shedsill._addresses import Address, parse_address
from shedsill.datagram._messages import Role
from shedsill.datagram.adapter import NodeSettings
from shedsill.errors import DocumentError, SettingError

__all__ = ["PlatformSettings", "SettingsFile", "parse_settings"]

PATH_VARIABLE = "SHEDSILL_BOOT"
READINESS_PATH = "/-/ready"
METRICS_PORT_VARIABLE = "SHEDSILL_METRICS_PORT"
STOP_MARGIN_SECONDS = 1.0
"""Time between the end of a planned stop and the platform's SIGKILL."""


class _Listen(Struct, frozen=True, kw_only=True):
    """Addresses on this VM.

    Attributes
    ----------
    ready : str
        Address for readiness checks.
    control : str
        Address for heartbeats of upstreams.
    """

    packet_addr: str
    ready: str
    outbound: str = ""
    control: str = ""


class _Bounds(Struct, frozen=True, kw_only=True):
    flow_ttl_s: float = 60
    grace_s: float = 6


class _Store(Struct, frozen=True, kw_only=True):
    addr: str


class _File(Struct, frozen=True, kw_only=True):
    """Fields of the settings file; other ones are ignored.

    Attributes
    ----------
    port_range : tuple of int
        First and last port available for messages between nodes.
    seeds : tuple of str
        `control` addresses of up to three VMs; may be outdated.
    bootstrap : bool
        Whether the deployment starts for the first time.
    app : str
        Address of the upstream on this VM.
    """

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds = field(default_factory=_Bounds)
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    app: str = ""
    service: str = ""


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """Settings of a node, and the address of the platform's store."""

    node: NodeSettings
    store: Address


class SettingsFile:
    """Implements `shedsill.datagram.adapter.SettingsSource`."""

    def __init__(self, role: Role) -> None:
        self._role = role
        # Importing pathlib would take 6 ms at each start.
        self._path = os.environ.get(PATH_VARIABLE, "")
        self._modified_at = 0.0

    def read(self) -> NodeSettings:
        """Read and validate the node's settings; raises `SettingError`."""
        return self.read_all().node

    def read_all(self) -> PlatformSettings:
        """Read and validate all settings; raises `SettingError`."""
        try:
            self._modified_at = os.stat(self._path).st_mtime
            with open(self._path, "rb") as file:
                text = file.read()
        except OSError as error:
            allowed = "the path of a file that can be read"
            raise SettingError(PATH_VARIABLE, self._path, allowed) from error
        return parse_settings(text, self._role)

    def has_changed(self) -> bool:
        """Whether the file was modified since it was last read."""
        try:
            return os.stat(self._path).st_mtime != self._modified_at
        except OSError:
            # The file is being replaced; the next check sees the new one.
            return False


def parse_settings(text: bytes, role: Role) -> PlatformSettings:
    """Parse the content of the settings file; raises `SettingError`."""
    try:
        file = msgspec.json.decode(text, type=_File)
        return PlatformSettings(
            node=_build_node_settings(file, role),
            store=parse_address(file.platform.addr, field="platform.addr"),
        )
    except msgspec.MsgspecError as error:
        raise SettingError(PATH_VARIABLE, str(error), "the documented form") from error
    except DocumentError as error:
        raise SettingError(error.field, error.value, error.allowed) from error


def _build_node_settings(file: _File, role: Role) -> NodeSettings:
    packets = parse_address(file.listen.packet_addr, field="listen.packet_addr")
    agent = role == Role.AGENT
    seeds = [parse_address(seed, field="seeds").host for seed in file.seeds]
    return NodeSettings(
        name=file.node,
        role=role,
        host=file.ip,
        zone=file.zone,
        packets=packets,
        messages=Address(file.ip, file.port_range[0]),
        agent_port=packets.port,
        caller_port=packets.port,
        status=parse_address(file.listen.ready, field="listen.ready"),
        readiness_path=READINESS_PATH,
        service=_require_name("service", file.service) if agent else "",
        heartbeats=_parse_optional_address("listen.control", file.listen.control),
        upstream=parse_address(file.app, field="app") if agent else None,
        outbound=_parse_optional_address("listen.outbound", file.listen.outbound),
        metrics=_read_metrics_address(file.ip),
        seeds=tuple(seeds),
        first_start=file.bootstrap,
        flow_lifetime=file.bounds.flow_ttl_s,
        stop_limit=max(file.bounds.grace_s - STOP_MARGIN_SECONDS, 0.0),
    )


def _require_name(name: str, value: str) -> str:
    if not value:
        raise SettingError(name, value, "a name")
    return value


def _parse_optional_address(name: str, text: str) -> Address | None:
    return parse_address(text, field=name) if text else None


def _read_metrics_address(host: str) -> Address | None:
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    return (
        parse_address(f"{host}:{port}", field=METRICS_PORT_VARIABLE) if port else None
    )
