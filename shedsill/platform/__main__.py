"""Run a node on the platform: ``python -m shedsill.platform balancer|agent``."""

from __future__ import annotations

import sys

# asyncio works without ssl, nothing here speaks TLS, and loading OpenSSL costs
# 15 ms of CPU at each start.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from shedsill.platform.node import main  # noqa: E402

sys.exit(main())
