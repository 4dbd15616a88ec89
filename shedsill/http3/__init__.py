"""HTTP/3 traffic: requests from callers, forwarded to HTTP/1.1 upstreams.

Balancers route packets by connection ID and keep no state per flow.  The agent
beside each upstream terminates QUIC and alone decides which requests its upstream
receives.

The private modules belong to these groups:

========================  ====================================================
group                     modules
========================  ====================================================
the reducer               ``_reducer``, ``_events``, ``_effects``,
                          ``_platform_purposes``
every node                ``_node``, ``_status``, ``_frames``, ``_keys``
configuration             ``_resources``, ``_configuration``,
                          ``_configuration_rules``, ``_acceptor``
a balancer                ``_balancer``, ``_routing``
both roles                ``_packets``, ``_placement``
an agent                  ``_agent``, ``_agent_state``, ``_flows``, ``_requests``,
                          ``_admission``, ``_request_completion``, ``_outcomes``,
                          ``_answers``, ``_peers``, ``_drain``
sockets and calls         ``_runtime``
========================  ====================================================

Opaque datagram flows, the other kind of traffic, are in `shedsill.datagram`.
Modules that both packages use are in `shedsill`.
"""

from __future__ import annotations

__all__: list[str] = []
