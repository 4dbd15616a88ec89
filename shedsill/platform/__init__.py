"""Adapter for the users' hosting platform.

Translates its packet header, object store, heartbeats and settings to the types of
`shedsill.datagram` and `shedsill.coordination`.
"""

from __future__ import annotations

__all__: list[str] = []
