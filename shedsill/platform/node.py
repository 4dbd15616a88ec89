"""Program of a node on the platform.

Settings are read from the file that `SHEDSILL_BOOT` names.  The command line is
parsed without click to keep the start short.
"""

from __future__ import annotations

import asyncio
import gc
import sys

from shedsill.datagram._messages import Role
from shedsill.datagram._runtime.node import Node
from shedsill.errors import SettingError
from shedsill.platform.packets import HeaderCodec
from shedsill.platform.settings import PlatformSettings, SettingsFile
from shedsill.platform.store import ObjectStore

EXIT_FAILED = 1
EXIT_USAGE = 2


def create_node(file: SettingsFile, settings: PlatformSettings) -> Node:
    """Create the node of a role and import only the modules it needs."""
    store = ObjectStore(settings.store)
    match settings.node.role:
        case Role.BALANCER:
            from shedsill.datagram._runtime.balancer import create_balancer
            from shedsill.platform.manifest import TABLE_SOURCE

            return create_balancer(
                settings.node,
                source=file,
                codec=HeaderCodec(),
                platform=store,
                table=TABLE_SOURCE,
            )
        case Role.AGENT:
            from shedsill.datagram._runtime.agent import create_agent
            from shedsill.platform.heartbeats import InstanceCalls

            return create_agent(
                settings.node,
                source=file,
                codec=HeaderCodec(),
                platform=store,
                heartbeats=InstanceCalls(
                    service=settings.node.service, address=str(settings.node.upstream)
                ),
            )


async def run_node(file: SettingsFile, settings: PlatformSettings) -> int:
    """Run a node until it stops, and return the exit code."""
    node = create_node(file, settings)
    gc.freeze()
    gc.enable()
    await node.run()
    return EXIT_FAILED if node.failure else 0


def main() -> int:
    """Read the command line and the settings, and run the node."""
    roles = {role.value: role for role in Role}
    if len(sys.argv) != 2 or sys.argv[1] not in roles:
        print(f"usage: python -m shedsill.platform {'|'.join(roles)}", file=sys.stderr)
        return EXIT_USAGE
    file = SettingsFile(roles[sys.argv[1]])
    try:
        return asyncio.run(run_node(file, file.read_all()))
    except SettingError as error:
        print(f"shedsill: {error}", file=sys.stderr)
        return EXIT_USAGE
