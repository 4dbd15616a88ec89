"""Run a node on the platform: ``python -m shedsill.platform balancer|agent``."""

from __future__ import annotations

import gc
import sys

# Nothing that an import makes is garbage, but the collector looks through all of it
# again and again: 15 ms of the 180 ms of CPU that a start takes.  `run_node`
# turns it on again.
gc.disable()

# asyncio works without ssl, nothing here speaks TLS, and loading OpenSSL costs
# 15 ms of CPU at each start.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from shedsill.platform.node import main  # noqa: E402

sys.exit(main())
