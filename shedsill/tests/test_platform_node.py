"""Start of a node's process."""

from __future__ import annotations

import asyncio
import gc

import pytest

from shedsill.platform import node


class StoppedNode:
    """A node that stops immediately."""

    failure = None

    async def run(self) -> None:
        assert gc.isenabled()


def test_garbage_collection_is_enabled_when_node_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(node, "create_node", lambda file, settings: StoppedNode())
    gc.disable()
    try:
        assert asyncio.run(node.run_node(None, None)) == 0  # type: ignore[arg-type]
    finally:
        gc.enable()
        gc.unfreeze()
