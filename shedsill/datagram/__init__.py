"""Opaque datagram flows: packets are carried between callers and upstreams.

A flow is known by the address pair in its packets.  Its content is never read
or changed.  Balancers choose an upstream for each new flow; the agent beside
an upstream is the authority on the flows that its upstream holds.

`shedsill.datagram` decides; `shedsill.platform` translates between it and one
hosting platform's packets, store and settings.
"""

from __future__ import annotations

__all__: list[str] = []
