"""Nodes on the platform as processes, with real packets and signals."""

from __future__ import annotations

import asyncio
import pathlib
import signal
from collections.abc import Awaitable, Callable

import pytest

from shedsill.datagram._messages import UpstreamState
from shedsill.testing.deployment import HEARTBEAT_INTERVAL_SECONDS, Deployment

BALANCERS = ("127.0.1.1", "127.0.1.2")
AGENTS = {
    "127.0.2.1": "dispatcher",
    "127.0.2.2": "dispatcher",
    "127.0.2.3": "intake",
}
BALANCER_1, BALANCER_2 = BALANCERS
AGENT_1, AGENT_2 = list(AGENTS)[:2]
LONG_REQUESTS = 16
"""Requests of a flow that is open for some 6 s."""


def run_scenario(
    folder: pathlib.Path, scenario: Callable[[Deployment], Awaitable[None]]
) -> None:
    """Run a scenario against two balancers and three agents."""

    async def run() -> None:
        async with Deployment(folder, ("dispatcher", "intake")) as deployment:
            for host, service in AGENTS.items():
                await deployment.start_agent(host, service)
            for host in BALANCERS:
                await deployment.start_balancer(host)
            for host in (*AGENTS, *BALANCERS):
                await deployment.wait_ready(host)
            await deployment.wait_agents_known()
            await scenario(deployment)
            assert deployment.errors == []

    asyncio.run(run())


def test_requests_are_answered_and_placements_logged(tmp_path: pathlib.Path) -> None:
    async def scenario(deployment: Deployment) -> None:
        services = ("dispatcher", "intake") * 6
        callers = [
            deployment.add_caller(service, BALANCERS[n % 2])
            for n, service in enumerate(services)
        ]
        await deployment.wait_for_outcomes(callers)
        assert {caller.outcome for caller in callers} == {"answered"}
        await asyncio.sleep(0.2)
        lines = deployment.read_log(BALANCER_1) + deployment.read_log(BALANCER_2)
        offered = {line["flow"] for line in lines if line["name"] == "flow_offered"}
        assert len(offered) == len(callers)

    run_scenario(tmp_path, scenario)


def test_open_flows_survive_kill_and_restart_of_all_nodes(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        callers = [deployment.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
        while not all(caller.is_open for caller in callers):
            await asyncio.sleep(0.001)
        for host in (*AGENTS, *BALANCERS):
            await deployment.kill(host)
        for host in (*AGENTS, *BALANCERS):
            await deployment.restart(host)
        await deployment.wait_for_outcomes(callers, 15.0)
        assert {caller.outcome for caller in callers} == {"answered"}

    run_scenario(tmp_path, scenario)


def test_planned_stop_exits_with_0_and_loses_no_flow(tmp_path: pathlib.Path) -> None:
    async def scenario(deployment: Deployment) -> None:
        callers = [deployment.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
        while not all(caller.is_open for caller in callers):
            await asyncio.sleep(0.001)

        async def restart_agent() -> int:
            """Restart the agent after it has stopped, as the platform does."""
            code = await deployment.stop(AGENT_1)
            await deployment.restart(AGENT_1)
            return code

        codes = await asyncio.gather(deployment.stop(BALANCER_1), restart_agent())
        assert codes == [0, 0]
        for caller in callers:
            deployment.balancer_by_flow[caller.flow] = BALANCER_2
        await deployment.wait_for_outcomes(callers)
        assert {caller.outcome for caller in callers} == {"answered"}

    run_scenario(tmp_path, scenario)


def test_requests_are_answered_while_store_is_unavailable(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.faults.failure_mode = "busy"
        callers = [deployment.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
        await deployment.wait_for_outcomes(callers)
        await deployment.drain_upstream(AGENT_1, "dispatcher")
        late = [deployment.add_caller("dispatcher", BALANCER_2) for _ in range(6)]
        await deployment.wait_for_outcomes(late)
        outcomes = {caller.outcome for caller in (*callers, *late)}
        assert outcomes == {"answered"}
        assert not any(
            c.flow in deployment.upstreams[AGENT_1].processed_flows for c in late
        )

    run_scenario(tmp_path, scenario)


def test_changed_settings_are_applied_or_rejected(tmp_path: pathlib.Path) -> None:
    """With and without SIGHUP; no node stops on invalid settings."""

    async def scenario(deployment: Deployment) -> None:
        deployment.change_settings(BALANCER_1, seeds=["127.0.1.2:99"])
        deployment.nodes[BALANCER_1].send_signal(signal.SIGHUP)
        deployment.change_settings(BALANCER_2, seeds=["127.0.1.1:99"])
        deployment.change_settings(AGENT_1, app="nowhere")
        expected_events = {
            BALANCER_1: "settings_read",
            BALANCER_2: "settings_read",
            AGENT_1: "settings_rejected",
        }
        async with asyncio.timeout(10.0):
            for host, name in expected_events.items():
                while name not in {line["name"] for line in deployment.read_log(host)}:
                    await asyncio.sleep(0.05)
        assert all(node.is_running for node in deployment.nodes.values())
        callers = [deployment.add_caller("dispatcher", BALANCER_1) for _ in range(4)]
        await deployment.wait_for_outcomes(callers)
        assert {caller.outcome for caller in callers} == {"answered"}

    run_scenario(tmp_path, scenario)


def test_second_node_on_vm_reports_address_in_use(
    tmp_path: pathlib.Path,
) -> None:
    """The error is a message without a traceback."""

    async def scenario(deployment: Deployment) -> None:
        first = deployment.nodes[BALANCER_1]
        second = await deployment.restart(BALANCER_1)
        assert second.process is not None
        assert await second.process.wait() == 2
        log = (tmp_path / f"{BALANCER_1}.log").read_text()
        assert f"setting listen address is '{BALANCER_1}:" in log
        assert "Traceback" not in log
        deployment.nodes[BALANCER_1] = first

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("failure_mode", ["", "busy"])
def test_late_heartbeats_of_ended_boot_end_no_flow(
    tmp_path: pathlib.Path, failure_mode: str, restarted: bool
) -> None:
    """Delayed by a cut, they arrive after a new boot has registered at the address."""

    async def scenario(deployment: Deployment) -> None:
        ended = deployment.upstreams[AGENT_1]
        ended.crash()
        await deployment.start_upstream(AGENT_1, "dispatcher")
        assert await deployment.send_heartbeat(AGENT_1, "dispatcher") == 200
        deployment.store.faults.failure_mode = failure_mode
        callers = [
            deployment.add_caller("dispatcher", BALANCER_1, requests=LONG_REQUESTS)
            for _ in range(6)
        ]
        while not all(caller.is_open for caller in callers):
            await asyncio.sleep(0.001)
        if restarted:
            await deployment.kill(AGENT_1)
            await deployment.restart(AGENT_1)
            await deployment.wait_for_control(AGENT_1)
        serial = ended.heartbeat_serial
        for state in (UpstreamState.READY, UpstreamState.DRAINING):
            for late in (serial, serial, serial + 1):
                status = await deployment.send_heartbeat_of(
                    ended, "dispatcher", serial=late, state=state
                )
                assert restarted or status == 409
        await deployment.wait_for_outcomes(callers, 30.0)
        assert {caller.outcome for caller in callers} == {"answered"}

    run_scenario(tmp_path, scenario)


def test_upstream_started_again_under_its_id_is_drained(
    tmp_path: pathlib.Path,
) -> None:
    """Its heartbeats count anew, and must not be confirmed without effect."""

    async def scenario(deployment: Deployment) -> None:
        await asyncio.sleep(5 * HEARTBEAT_INTERVAL_SECONDS)
        deployment.upstreams[AGENT_1].crash()
        upstream = await deployment.restart_upstream(AGENT_1, "dispatcher")
        assert await deployment.send_heartbeat(AGENT_1, "dispatcher") == 200
        assert await deployment.drain_upstream(AGENT_1, "dispatcher") == 200
        callers = [deployment.add_caller("dispatcher", BALANCER_1) for _ in range(8)]
        await deployment.wait_for_outcomes(callers)
        assert {caller.outcome for caller in callers} == {"answered"}
        assert not upstream.processed_flows

    run_scenario(tmp_path, scenario)


def test_open_flows_survive_bounced_copies_of_their_syns(
    tmp_path: pathlib.Path,
) -> None:
    """The agent forgot the flow, and a balancer reset it."""

    async def scenario(deployment: Deployment) -> None:
        for upstream in deployment.upstreams.values():
            upstream.bounces_syn_copies = True
        callers = [
            deployment.add_caller("dispatcher", BALANCER_1, requests=4)
            for _ in range(6)
        ]
        while not all(caller.is_open for caller in callers):
            await asyncio.sleep(0.001)
        for caller in callers:
            for balancer in (BALANCER_2, BALANCER_1):
                deployment.repeat_syn(caller, balancer)
        await deployment.wait_for_outcomes(callers)
        assert {caller.outcome for caller in callers} == {"answered"}

    run_scenario(tmp_path, scenario)
