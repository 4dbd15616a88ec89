"""An agent is stopped as planned again, soon after its restart.

Two rolling restarts overlap, so that an agent is stopped a second time half a second
after it was ready.  Its balancers hear nothing of the second stop.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import World, run_case

BALANCERS = ("127.77.1.1", "127.77.1.2")
AGENTS = ("127.77.2.1", "127.77.2.2")
PORT = 443
RESTART_DELAY_S = 1.5
"""Time between the end of a process and its next start."""
AFTER_HEARTBEAT_S = 0.3
"""Time from a heartbeat to the first stop; the target calls again every 1.2 s."""
SOON_S = 0.5
CALM_S = 6.0
"""Time between the start of an agent and its next stop, with and without trouble."""


async def restart(world: World, host: str) -> None:
    """Stop a node as planned, and start it again after a short delay."""
    await world.signal_node(host, signal.SIGTERM)
    await asyncio.sleep(RESTART_DELAY_S)
    await world.restart_node(host)


async def play(world: World, trouble: bool) -> bool:
    """Return whether FLOW was broken."""
    world.set_seeds(list(BALANCERS))
    world.write_manifest({PORT: "claims"})
    for host in AGENTS:
        await world.start_node(host, "agent", "claims")
        await world.start_target(host, "claims")
    for host in BALANCERS:
        await world.start_node(host, "balancer")
    await world.wait_ready(*BALANCERS)
    await asyncio.sleep(5.0)
    flows = [
        world.add_consumer(
            PORT, lambda n=number: BALANCERS[n % 2], requests=8, pause_s=2.0
        )
        for number in range(8)
    ]
    running = [world.start_task(flow.run()) for flow in flows]
    await asyncio.sleep(1.0)
    assert all(flow.is_open and not flow.outcome for flow in flows)
    await world.targets[AGENTS[0]].wait_for_heartbeat()
    await asyncio.sleep(AFTER_HEARTBEAT_S)
    await restart(world, AGENTS[0])
    await world.wait_ready(AGENTS[0])
    await asyncio.sleep(SOON_S if trouble else CALM_S)
    await restart(world, AGENTS[0])
    outcomes = await asyncio.gather(*running)
    world.record.write("judged", outcomes=outcomes)
    return any(f.outcome.startswith("reset") and world.is_held(f) for f in flows)


run_case(__file__, {"claims": PORT}, play)
