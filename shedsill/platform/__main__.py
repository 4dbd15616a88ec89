"""Run a node on the platform: ``python -m shedsill.platform balancer|agent``."""

from __future__ import annotations

import gc
import sys

# Garbage collection while modules are imported finds nothing and takes 15 of the 180 ms
# of CPU of a start; `run_node` enables it again.
gc.disable()

# TLS is not used here, and asyncio works without ssl, whose import takes 15 ms of CPU.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from shedsill.platform.node import main  # noqa: E402

sys.exit(main())
