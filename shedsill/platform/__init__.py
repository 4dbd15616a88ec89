"""Adapter for the users' hosting platform; nothing but translation.

Its packet head, object store, heartbeats and settings are decoded here into
the types of `shedsill.datagram` and `shedsill.coordination`.
"""

from __future__ import annotations

__all__: list[str] = []
