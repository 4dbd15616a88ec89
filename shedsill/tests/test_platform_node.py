"""How a node's process begins."""

from __future__ import annotations

import asyncio
import gc

import pytest

from shedsill.platform import node


class Ended:
    """A node that ends at once."""

    failure = None

    async def run(self) -> None:
        assert gc.isenabled()


def test_the_collector_runs_again_once_the_node_is_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(node, "create_node", lambda file, settings: Ended())
    gc.disable()
    try:
        assert asyncio.run(node.run_node(None, None)) == 0  # type: ignore[arg-type]
    finally:
        gc.enable()
        gc.unfreeze()
