"""Exit codes, as documented in ``docs/OPERATIONS.md``."""

from __future__ import annotations

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_REJECTED = 4
EXIT_UNAVAILABLE = 5
