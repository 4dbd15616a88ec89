"""Reducer of nodes that carry opaque flows.

It uses no clock, random numbers, sockets or store; it updates the state in place and
returns the effects to execute.
"""

from __future__ import annotations

from shedsill._catalogue import LogEvent
from shedsill._common_effects import WriteLog
from shedsill.datagram import (
    _agent,
    _agent_packets,
    _balancer,
    _checkpoint_collection,
    _membership,
    _upstream,
)
from shedsill.datagram._agent_state import AgentState
from shedsill.datagram._balancer_state import BalancerState
from shedsill.datagram._effects import Effect
from shedsill.datagram._events import (
    CallerPacket,
    CheckpointRead,
    EarlierReportRead,
    Event,
    ForwardedPacket,
    HeartbeatReceived,
    MessageReceived,
    PacketsDrained,
    ReportsListed,
    SettingsChanged,
    StopRequested,
    TableReceived,
    Tick,
    UpstreamChecked,
    UpstreamLeaving,
    UpstreamPacket,
)
from shedsill.datagram._packet import Packet
from shedsill.errors import InvariantError

__all__ = ["reduce"]


def reduce(
    state: BalancerState | AgentState, event: Event, returned: Packet | None = None
) -> list[Effect]:
    """Handle one event and return the effects to execute.

    Parameters
    ----------
    state : BalancerState or AgentState
        Changed in place.
    returned : Packet or None
        The decoded packet of a `PacketReturned`.

    Raises
    ------
    InvariantError
        If the event is not one of this node's role.
    """
    if isinstance(event, SettingsChanged):
        return _update_settings(state, event)
    match state:
        case BalancerState():
            return _reduce_balancer(state, event, returned)
        case AgentState():
            return _reduce_agent(state, event)


def _update_settings(
    state: BalancerState | AgentState, event: SettingsChanged
) -> list[Effect]:
    state.seeds = event.seeds
    state.flow_lifetime = event.flow_lifetime
    state.stop_limit = event.stop_limit
    fields = {
        "seeds": list(event.seeds),
        "flow_lifetime": event.flow_lifetime,
        "stop_limit": event.stop_limit,
    }
    return [WriteLog(event=LogEvent.SETTINGS_READ, fields=fields)]


def _reduce_balancer(
    state: BalancerState, event: Event, returned: Packet | None
) -> list[Effect]:
    match event:
        case CallerPacket():
            return _balancer.handle_caller_packet(state, event)
        case PacketsDrained():
            return _balancer.handle_packets_drained(state, event)
        case MessageReceived():
            return _balancer.handle_message(state, event, returned)
        case Tick():
            return _balancer.handle_tick(state, event)
        case EarlierReportRead():
            return _balancer.store_report(state)
        case ReportsListed():
            return _membership.handle_reports_listed(state, event)
        case CheckpointRead():
            return _checkpoint_collection.handle_checkpoint_read(state, event)
        case TableReceived():
            return _balancer.handle_table(state, event)
        case StopRequested():
            return _balancer.handle_stop(state, event)
        case _:
            raise InvariantError(f"balancer received {type(event).__name__}")


def _reduce_agent(state: AgentState, event: Event) -> list[Effect]:
    match event:
        case ForwardedPacket():
            return _agent_packets.handle_forwarded_packet(state, event)
        case UpstreamPacket():
            return _agent_packets.handle_upstream_packet(state, event)
        case PacketsDrained():
            return []
        case MessageReceived():
            return _agent.handle_message(state, event)
        case Tick():
            return _agent.handle_tick(state, event)
        case HeartbeatReceived():
            return _upstream.handle_heartbeat(state, event)
        case UpstreamLeaving():
            return _upstream.handle_leave(state, event)
        case EarlierReportRead():
            return _upstream.handle_earlier_report(state, event)
        case UpstreamChecked():
            return _upstream.handle_check_result(state, event)
        case StopRequested():
            return _agent.handle_stop(state, event)
        case _:
            raise InvariantError(f"agent received {type(event).__name__}")
