"""HTTP/3 traffic: requests from callers, carried to HTTP/1.1 upstreams.

Balancers route packets by connection ID and keep no flow state; the agent beside
each upstream ends QUIC and is the one authority on what its upstream is given.

The private modules belong to these groups:

========================  ====================================================
what                      modules
========================  ====================================================
the reducer               ``_reducer``, ``_events``, ``_effects``,
                          ``_platform_purposes``
every node                ``_node``, ``_status``, ``_frames``, ``_keys``
configuration             ``_resources``, ``_configuration``, ``_configuration_rules``,
                          ``_acceptor``
a balancer                ``_balancer``, ``_routing``, ``_packets``,
                          ``_placement``, ``_flows``
an agent                  ``_agent``, ``_agent_state``, ``_requests``,
                          ``_admission``, ``_request_completion``, ``_outcomes``,
                          ``_answers``, ``_peers``, ``_drain``
sockets and calls         ``_runtime``
========================  ====================================================

Opaque datagram flows, the other kind of traffic, are in `shedsill.datagram`;
what both use stands beside these two packages.
"""

from __future__ import annotations

__all__: list[str] = []
