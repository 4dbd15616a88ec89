"""Catalogue of log events.

Each event has a log line and a counter in the metrics.  The numbers are stable; a
test compares `docs/events.md` with this module.
"""

from __future__ import annotations

import enum

from msgspec import Struct


class Level(enum.Enum):
    """Severity of a log line, named as in loguru."""

    TRACE = "TRACE"
    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class Entry(Struct, frozen=True):
    """Number, level and text of an event."""

    number: int
    level: Level
    text: str


class LogEvent(enum.Enum):
    """All events that the daemons log."""

    NODE_STARTED = Entry(100, Level.INFO, "node started")
    NODE_STOPPING = Entry(101, Level.INFO, "planned stop started")
    NODE_STOPPED = Entry(102, Level.INFO, "planned stop is complete")
    INVARIANT_BROKEN = Entry(103, Level.ERROR, "invariant violated; stopping")
    TASK_FAILED = Entry(104, Level.ERROR, "background task failed")
    MEMBER_JOINED = Entry(110, Level.INFO, "node discovered")
    MEMBER_SILENT = Entry(111, Level.WARNING, "node is silent")

    FLOW_ROUTED = Entry(200, Level.TRACE, "datagram routed by its connection ID")
    FLOW_PLACED = Entry(201, Level.DEBUG, "new flow sent to its first candidate")
    FLOW_KEPT = Entry(202, Level.DEBUG, "new flow accepted by this agent")
    FLOW_PASSED = Entry(203, Level.DEBUG, "new flow forwarded to the alternate")
    FLOW_REFUSED = Entry(204, Level.INFO, "new flow refused: no capacity")
    FLOW_LIMITED = Entry(205, Level.INFO, "new flow dropped by a rate limit")
    FLOW_FAILED = Entry(212, Level.WARNING, "QUIC could not process a datagram")
    FLOW_RETRIED = Entry(206, Level.INFO, "address validation requested by Retry")
    FLOW_OPENED = Entry(207, Level.DEBUG, "flow opened")
    FLOW_CLOSED = Entry(208, Level.DEBUG, "flow closed")
    FLOW_RESET = Entry(209, Level.INFO, "flow of an earlier incarnation reset")
    AGENT_SUSPECTED = Entry(210, Level.WARNING, "agent does not answer new flows")
    REPLY_PATH_MOVED = Entry(211, Level.INFO, "replies sent through another balancer")

    DATAGRAM_MALFORMED = Entry(300, Level.INFO, "datagram is not QUIC")
    DATAGRAM_UNROUTABLE = Entry(301, Level.INFO, "connection ID has no route")
    DATAGRAM_MISROUTED = Entry(302, Level.WARNING, "packet for another service")
    FRAME_REFUSED = Entry(303, Level.WARNING, "frame has an invalid tag or format")
    NO_CANDIDATE = Entry(304, Level.WARNING, "no upstream accepts the new flow")

    REQUEST_STARTED = Entry(400, Level.DEBUG, "request sent to the upstream")
    REQUEST_QUEUED = Entry(401, Level.DEBUG, "request queued until a slot is free")
    REQUEST_DONE = Entry(402, Level.DEBUG, "request answered")
    REQUEST_REFUSED = Entry(403, Level.INFO, "request refused before execution")
    REQUEST_UNKNOWN = Entry(404, Level.WARNING, "request may have been executed")
    REQUEST_CANCELLED = Entry(405, Level.INFO, "request cancelled by its caller")
    REQUEST_EXPIRED = Entry(406, Level.INFO, "request exceeded its deadline")
    REQUEST_REPLAYED = Entry(
        407, Level.INFO, "repeated request answered from the record"
    )
    REQUEST_JOINED = Entry(
        408, Level.INFO, "repeated request waits for the running one"
    )
    REQUEST_PASSED = Entry(409, Level.INFO, "request forwarded to the ticket's issuer")
    REQUEST_RETRIED = Entry(410, Level.INFO, "repeatable request retried")
    UPSTREAM_CALL_FAILED = Entry(
        412, Level.INFO, "upstream gave no complete answer to a request"
    )
    ANSWER_CUT = Entry(411, Level.WARNING, "response incomplete; stream reset")

    BREAKER_OPENED = Entry(
        420, Level.WARNING, "upstream is failing; no new requests accepted"
    )
    BREAKER_CLOSED = Entry(421, Level.INFO, "upstream has recovered")
    SLOTS_HELD = Entry(422, Level.INFO, "slots reserved after a start")
    SLOTS_RELEASED = Entry(423, Level.INFO, "reserved slots released")
    OUTCOMES_HANDED = Entry(430, Level.INFO, "record of outcomes sent to the successor")
    OUTCOMES_TAKEN = Entry(431, Level.INFO, "record of outcomes received")
    HANDOVER_FAILED = Entry(432, Level.WARNING, "record of outcomes could not be sent")

    CONFIGURATION_APPLIED = Entry(500, Level.INFO, "configuration applied")
    CONFIGURATION_STALE = Entry(501, Level.INFO, "older configuration ignored")
    CONFIGURATION_PULLED = Entry(
        502, Level.DEBUG, "configuration requested from a peer"
    )
    CONFIGURATION_ACCEPTED = Entry(510, Level.INFO, "configuration accepted")
    RESOURCE_REJECTED = Entry(511, Level.WARNING, "resource rejected")
    RESOURCES_MISSING = Entry(
        512, Level.ERROR, "platform has no service; keeping the current configuration"
    )
    LEASE_TAKEN = Entry(520, Level.INFO, "lease acquired")
    LEASE_LOST = Entry(521, Level.INFO, "lease lost")
    PLATFORM_FAILED = Entry(530, Level.WARNING, "platform unavailable")
    PLATFORM_BACK = Entry(531, Level.INFO, "platform available again")
    DRAIN_BEGAN = Entry(540, Level.INFO, "drain started: upstream accepts no new work")
    DRAIN_ENDED = Entry(541, Level.INFO, "drain complete: upstream has no flows left")
    DRAIN_CANCELLED = Entry(
        542, Level.INFO, "drain cancelled: upstream accepts new work"
    )
    CERTIFICATE_LOADED = Entry(550, Level.INFO, "certificate loaded")
    CERTIFICATE_FAILED = Entry(551, Level.WARNING, "certificate could not be read")

    FLOW_OFFERED = Entry(600, Level.INFO, "new flow offered to an upstream")
    FLOW_UNROUTED = Entry(601, Level.INFO, "flow reset: its endpoint has no route")
    PACKET_RETURNED = Entry(602, Level.INFO, "packet returned by an agent")
    PACKET_HANDED_BACK = Entry(603, Level.INFO, "packet returned to its balancer")
    FLOW_FOUND = Entry(604, Level.INFO, "flow located at an upstream")
    FLOW_RELEARNED = Entry(605, Level.INFO, "upstream has a flow that was unknown here")
    FLOW_ORPHANED = Entry(606, Level.INFO, "flow reset: no upstream holds it")
    SEARCH_ENDED = Entry(
        607, Level.WARNING, "flow not located; some agents did not answer"
    )
    SEARCH_DROPPED = Entry(608, Level.WARNING, "too many flows are being located")
    FLOWS_FREED = Entry(609, Level.INFO, "flows reset: the upstream no longer has them")
    REQUEST_HELD = Entry(610, Level.INFO, "request queued: no slot is free")
    REQUEST_PASSED_ON = Entry(611, Level.INFO, "queued request sent to the upstream")
    REQUEST_ANSWERED = Entry(612, Level.INFO, "upstream started to answer")
    FLOW_TAKEN = Entry(613, Level.INFO, "upstream accepted a new flow")
    REQUEST_ABANDONED = Entry(615, Level.INFO, "caller of a queued request is silent")
    FLOW_DENIED = Entry(614, Level.INFO, "agent no longer has a flow recorded for it")
    UPSTREAM_CHANGED = Entry(620, Level.INFO, "upstream state changed")
    UPSTREAM_SILENT = Entry(621, Level.WARNING, "upstream does not answer")
    UPSTREAM_UNREACHED = Entry(623, Level.INFO, "connection to the upstream failed")
    UPSTREAM_FAILING = Entry(627, Level.WARNING, "upstream answers too quickly")
    HEARTBEAT_OUTDATED = Entry(628, Level.INFO, "heartbeat of an earlier boot ignored")
    HEARTBEAT_STALE = Entry(637, Level.INFO, "heartbeat with an earlier serial")
    LEAVE_IGNORED = Entry(638, Level.INFO, "end of another boot ignored")
    UPSTREAM_LOST = Entry(622, Level.WARNING, "agent does not answer")
    HEARTBEAT_TAKEN = Entry(624, Level.INFO, "heartbeat changed the upstream's state")
    BALANCER_ISOLATED = Entry(
        625, Level.WARNING, "isolation from most agents started or ended"
    )
    SILENCE_RESTARTED = Entry(
        629, Level.INFO, "late answer: timeouts of other agents restarted"
    )
    EARLIER_REPORT = Entry(626, Level.INFO, "report of an earlier incarnation read")
    CHECKPOINT_READ = Entry(616, Level.INFO, "checkpoint of open flows read")
    TABLE_APPLIED = Entry(630, Level.INFO, "forwarding table applied")
    TABLE_REJECTED = Entry(631, Level.ERROR, "forwarding table is invalid")
    TABLE_SENT = Entry(634, Level.INFO, "forwarding table sent to a balancer")
    TABLE_NOT_READ = Entry(
        635, Level.INFO, "no forwarding table received from another balancer"
    )
    TABLE_AWAITED = Entry(
        636, Level.INFO, "packet dropped: a newer forwarding table is awaited"
    )
    SETTINGS_READ = Entry(632, Level.INFO, "changed settings applied")
    SETTINGS_REJECTED = Entry(633, Level.ERROR, "changed settings are invalid")
    MESSAGE_REFUSED = Entry(640, Level.WARNING, "message from a node is invalid")
    PACKET_MALFORMED = Entry(641, Level.INFO, "datagram is not a valid packet")
    SEND_FAILED = Entry(642, Level.WARNING, "datagram could not be sent")
    CALL_REFUSED = Entry(643, Level.INFO, "invalid HTTP call refused")
    NODE_FIGURES = Entry(645, Level.INFO, "store calls and messages since the start")
    EARLIER_REPORT_TOLD = Entry(
        648, Level.INFO, "report of an earlier incarnation received from a balancer"
    )
    HEARTBEAT_UNPROVEN = Entry(
        647, Level.INFO, "heartbeat refused until its sender calls again"
    )
    NODES_RECEIVED = Entry(646, Level.INFO, "known nodes received from a balancer")
    LINES_DROPPED = Entry(644, Level.WARNING, "log lines dropped")
