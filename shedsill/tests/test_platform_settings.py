"""Decoding of the platform's settings file, configuration and heartbeats."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shedsill._addresses import Address
from shedsill.datagram._events import Heartbeat, UpstreamLeaving
from shedsill.datagram._forwarding_table import ServiceShare, choose_service
from shedsill.datagram._messages import Role, UpstreamState, decode_message
from shedsill.errors import DecodeError, SettingError
from shedsill.platform.heartbeats import InstanceCalls
from shedsill.platform.manifest import decode_table
from shedsill.platform.settings import parse_settings

FILE: dict[str, Any] = {
    "node": "side-a-1",
    "ip": "10.1.0.11",
    "zone": "a",
    "port_range": [7720, 7735],
    "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
    "bootstrap": True,
    "app": "10.1.0.11:8165",
    "service": "dispatcher",
    "unknown": {"is": "ignored"},
    "listen": {
        "packet_addr": "10.1.0.11:8172",
        "outbound": "10.1.0.11:8162",
        "ready": "10.1.0.11:8167",
        "control": "10.1.0.11:8166",
    },
    "bounds": {"flow_ttl_s": 60, "grace_s": 6},
    "platform": {"addr": "10.200.1.7:8169"},
}


def parse_file(role: Role = Role.AGENT, **changes: Any):
    return parse_settings(json.dumps({**FILE, **changes}).encode(), role)


def test_settings_of_agent_are_parsed() -> None:
    settings = parse_file()
    node = settings.node
    assert settings.store == Address("10.200.1.7", 8169)
    assert node.messages == Address("10.1.0.11", 7720)
    assert node.upstream == Address("10.1.0.11", 8165)
    assert node.seeds == ("10.1.0.10", "10.2.0.40")
    assert node.first_start
    assert node.stop_limit == 5.0


def test_balancer_needs_no_upstream() -> None:
    node = parse_file(Role.BALANCER, app="", service="").node
    assert node.upstream is None


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"app": "nowhere"}, "app"),
        ({"service": ""}, "service"),
        ({"platform": {"addr": "10.0.0.1"}}, "platform.addr"),
        ({"seeds": ["x"]}, "seeds"),
        ({"port_range": "7720"}, "port_range"),
    ],
)
def test_invalid_setting_is_named_in_error(changes: dict[str, Any], named: str) -> None:
    with pytest.raises(SettingError, match=named):
        parse_file(**changes)


def test_node_without_settings_exits_with_2() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "shedsill.platform", "balancer"],
        env={"SHEDSILL_BOOT": "/nowhere", "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == 2
    assert "SHEDSILL_BOOT" in run.stderr


LARGE_MODULES = ("attr", "aiohttp", "capnp", "aioquic", "cryptography", "loguru", "ssl")


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_node_does_not_import_large_modules(role: str) -> None:
    """CPU time and memory at the start of a node are limited."""
    script = (
        "import sys; sys.modules['ssl'] = None\n"
        f"import shedsill.platform.node, shedsill.datagram._runtime.{role}\n"
        "import shedsill.platform.manifest, shedsill.platform.heartbeats\n"
        "loaded = {name.partition('.')[0] for name in sys.modules}\n"
        f"loaded &= set({LARGE_MODULES!r}) - {{'ssl'}}\n"
        "print(sorted(loaded))"
    )
    run = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    # Modules that the interpreter loads by itself, as for an editable install.
    bare = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys; print(sorted({n.partition('.')[0] for n in sys.modules}))",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    extra = set(json.loads(run.stdout.replace("'", '"')))
    assert not extra - set(json.loads(bare.stdout.replace("'", '"')))


ROUTE = {"name": "r", "host": "198.18.0.1", "path_prefix": "/443/", "service": "a"}


def test_configuration_is_decoded() -> None:
    weighted = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    table = decode_table(
        {
            "version": 7,
            "routes": [
                {**ROUTE, "type": "upload", "priority": 2, "timeout_ms": 5000},
                {
                    "name": "w",
                    "host": "198.18.0.1",
                    "path_prefix": "/80/",
                    "backends": weighted,
                },
            ],
            "services": [{"name": "a", "health_path": "/health", "max_conns": 9}],
            "limits": {"idle_timeout_ms": 15000, "max_body_bytes": 1},
        }
    )
    upload = table.routes[bytes.fromhex("c612000101bb")]
    assert (table.version, table.idle_timeout) == (7, 15.0)
    assert (upload.bulk, upload.urgency, upload.timeout) == (True, 2, 5.0)
    assert upload.shares == (ServiceShare(service="a"),)
    split = table.routes[bytes.fromhex("c61200010050")]
    chosen = [choose_service(split, bytes([n, 7, n])) for n in range(250)]
    assert 200 <= chosen.count("a") < 250


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        {"version": "x", "routes": []},
        {"version": 1, "routes": [{**ROUTE, "host": "no.number"}]},
        {"version": 1, "routes": [{**ROUTE, "path_prefix": "/http/"}]},
        {"version": 1, "routes": [{**ROUTE, "path_prefix": "/70000/"}]},
    ],
)
def test_invalid_configuration_is_rejected(value: object) -> None:
    with pytest.raises(DecodeError):
        decode_table(value)


HEARTBEAT = {
    "service": "a",
    "addr": "10.0.0.1:1",
    "slots": 4,
    "state": "draining",
    "seq": 9,
    "cold_left_ms": 1500,
}


def test_heartbeat_and_leave_calls_are_decoded() -> None:
    calls = InstanceCalls()
    heartbeat = calls.decode_call(
        "PUT", "/-/instances/i-1", json.dumps(HEARTBEAT).encode(), 5.0
    )
    assert heartbeat == Heartbeat(
        boot="i-1", serial=9, state=UpstreamState.DRAINING, slots=4, cold=1.5
    )
    born = json.dumps({**HEARTBEAT, "born": 1700}).encode()
    started = calls.decode_call("PUT", "/-/instances/i-1", born, 5.0)
    assert isinstance(started, Heartbeat) and started.boot == "i-1/1700"
    left = calls.decode_call("DELETE", "/-/instances/i-1", b'{"born": 1700}', 5.0)
    assert left == UpstreamLeaving(boot="i-1/1700", now=5.0)
    left = calls.decode_call("DELETE", "/-/instances/i-1", b"", 5.0)
    assert left == UpstreamLeaving(boot="i-1", now=5.0)
    assert calls.decode_call("GET", "/-/instances/i-1", b"", 5.0) is None
    assert calls.decode_call("PUT", "/elsewhere", b"{}", 5.0) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "b"},
        {"addr": "10.0.0.2:1"},
        {"state": "gone"},
        {"state": "unheard"},
        {"service": None},
        {"addr": 7},
        {"born": "yesterday"},
        {"born": -1},
    ],
)
def test_heartbeat_of_another_writer_is_refused(changes: dict) -> None:
    """It was taken for one of the upstream's next boot, and ended all flows."""
    calls = InstanceCalls(service="a", address="10.0.0.1:1")
    path, body = "/-/instances/i-1", json.dumps(HEARTBEAT).encode()
    assert isinstance(calls.decode_call("PUT", path, body, 5.0), Heartbeat)
    with pytest.raises(DecodeError):
        body = json.dumps({**HEARTBEAT, **changes}).encode()
        calls.decode_call("PUT", path, body, 5.0)


@given(st.binary(max_size=200))
def test_arbitrary_heartbeat_body_is_decoded_or_rejected(body: bytes) -> None:
    try:
        InstanceCalls().decode_call("PUT", "/-/instances/i-1", body, 5.0)
    except DecodeError:
        return


@given(st.binary(max_size=200))
def test_arbitrary_settings_are_parsed_or_rejected(text: bytes) -> None:
    try:
        parse_settings(text, Role.AGENT)
    except SettingError:
        return


@given(st.binary(max_size=200))
def test_arbitrary_message_is_decoded_or_rejected(data: bytes) -> None:
    try:
        decode_message(data)
    except DecodeError:
        return


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["version", "routes", "limits", "host", "x"]), inner
        )
    ),
    max_leaves=12,
)


@given(JSON)
def test_arbitrary_configuration_is_decoded_or_rejected(value: object) -> None:
    try:
        decode_table(value)
    except DecodeError:
        return
