"""Load balancing of opaque flows: packets between callers and upstreams.

A flow is identified by the address pair in its packets.  Its content is neither read
nor changed.  Balancers choose an upstream for each new flow.  Each upstream has an
agent, which is the authority on the flows that it holds.

`shedsill.datagram` has the decisions; `shedsill.platform` adapts it to the packets,
store and settings of one hosting platform.
"""

from __future__ import annotations

__all__: list[str] = []
