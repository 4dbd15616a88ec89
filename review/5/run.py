"""The store comes back from a copy; later a planned restart resets live flows.

The copy is from before the report of a newly added agent was written.  Nobody writes it
again.  After a planned restart of the balancer, that agent is unknown for good.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import World, run_case

BALANCER = "127.77.1.1"
FIRST, ADDED = "127.77.2.1", "127.77.2.2"
PORT = 443
COPY_AGE_S = 3.0
AWAY_S = 1.5
RESTART_DELAY_S = 0.5
CONTACT_S = 4.0


async def play(world: World, trouble: bool) -> bool:
    """Return whether FLOW was broken."""
    world.set_seeds([BALANCER])
    world.write_manifest({PORT: "claims"})
    await world.start_node(BALANCER, "balancer")
    await world.start_node(FIRST, "agent", "claims")
    await world.start_target(FIRST, "claims")
    await world.wait_ready(BALANCER)
    await asyncio.sleep(6.0)
    copy = world.store.make_copy()
    await asyncio.sleep(0.5)
    await world.start_node(ADDED, "agent", "claims", bootstrap=False)
    await world.start_target(ADDED, "claims")
    await asyncio.sleep(COPY_AGE_S - 0.5)
    if trouble:
        world.store.turn_away("balancer", "agent")
        await asyncio.sleep(AWAY_S)
        world.store.come_back(copy)
        world.store.turn_away()
    await asyncio.sleep(CONTACT_S + 4.0)
    flows = [
        world.add_consumer(PORT, lambda: BALANCER, requests=14, pause_s=0.8)
        for _ in range(12)
    ]
    running = [world.start_task(flow.run()) for flow in flows]
    await asyncio.sleep(1.5)
    assert all(flow.is_open and not flow.outcome for flow in flows)
    await world.signal_node(BALANCER, signal.SIGTERM)
    await asyncio.sleep(RESTART_DELAY_S)
    await world.restart_node(BALANCER)
    outcomes = await asyncio.gather(*running)
    world.record.write("judged", outcomes=outcomes)
    return any(f.outcome.startswith("reset") and world.is_held(f) for f in flows)


run_case(__file__, {"claims": PORT}, play)
