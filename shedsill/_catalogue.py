"""The catalogue of numbered log events.

Each event is one line of the log and one counter of the metrics.  The numbers
are stable; `docs/events.md` is checked against this module by a test.
"""

from __future__ import annotations

import enum

from msgspec import Struct


class Level(enum.Enum):
    """Severity of a log line, by its name in loguru."""

    TRACE = "TRACE"
    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class Entry(Struct, frozen=True):
    """One catalogue entry."""

    number: int
    level: Level
    text: str


class LogEvent(enum.Enum):
    """Every event that a daemon can log."""

    NODE_STARTED = Entry(100, Level.INFO, "node started")
    NODE_STOPPING = Entry(101, Level.INFO, "planned stop began")
    NODE_STOPPED = Entry(102, Level.INFO, "planned stop is complete")
    INVARIANT_BROKEN = Entry(103, Level.ERROR, "an invariant does not hold; stopping")
    TASK_FAILED = Entry(104, Level.ERROR, "a call beside the loop failed")
    MEMBER_JOINED = Entry(110, Level.INFO, "a node was heard of")
    MEMBER_SILENT = Entry(111, Level.WARNING, "a node has fallen silent")

    FLOW_ROUTED = Entry(200, Level.TRACE, "datagram routed by its connection ID")
    FLOW_PLACED = Entry(201, Level.DEBUG, "new flow sent to its first candidate")
    FLOW_KEPT = Entry(202, Level.DEBUG, "new flow kept by this agent")
    FLOW_PASSED = Entry(203, Level.DEBUG, "new flow passed on to the alternate")
    FLOW_REFUSED = Entry(204, Level.INFO, "new flow refused: no room")
    FLOW_LIMITED = Entry(205, Level.INFO, "new flow dropped by a rate limit")
    FLOW_FAILED = Entry(212, Level.WARNING, "QUIC could not process a datagram")
    FLOW_RETRIED = Entry(206, Level.INFO, "address validation asked for by Retry")
    FLOW_OPENED = Entry(207, Level.DEBUG, "flow opened")
    FLOW_CLOSED = Entry(208, Level.DEBUG, "flow closed")
    FLOW_RESET = Entry(209, Level.INFO, "flow of an earlier incarnation reset")
    AGENT_SUSPECTED = Entry(210, Level.WARNING, "agent does not answer new flows")
    REPLY_PATH_MOVED = Entry(211, Level.INFO, "replies go through another balancer")

    DATAGRAM_MALFORMED = Entry(300, Level.INFO, "datagram is not QUIC")
    DATAGRAM_UNROUTABLE = Entry(301, Level.INFO, "connection ID leads nowhere")
    DATAGRAM_MISROUTED = Entry(302, Level.WARNING, "packet meant for another service")
    FRAME_REFUSED = Entry(303, Level.WARNING, "frame has a bad tag or form")
    NO_CANDIDATE = Entry(304, Level.WARNING, "no upstream can take a new flow")

    REQUEST_STARTED = Entry(400, Level.DEBUG, "request sent to the upstream")
    REQUEST_QUEUED = Entry(401, Level.DEBUG, "request waits for a slot")
    REQUEST_DONE = Entry(402, Level.DEBUG, "request answered")
    REQUEST_REFUSED = Entry(403, Level.INFO, "request refused; it did not run")
    REQUEST_UNKNOWN = Entry(404, Level.WARNING, "request may have run")
    REQUEST_CANCELLED = Entry(405, Level.INFO, "request cancelled by its caller")
    REQUEST_EXPIRED = Entry(406, Level.INFO, "request passed its deadline")
    REQUEST_REPLAYED = Entry(407, Level.INFO, "repeat answered from the record")
    REQUEST_JOINED = Entry(408, Level.INFO, "repeat waits for the running request")
    REQUEST_PASSED = Entry(409, Level.INFO, "request passed to the ticket's issuer")
    REQUEST_RETRIED = Entry(410, Level.INFO, "repeatable request sent again")
    ANSWER_CUT = Entry(411, Level.WARNING, "answer ended early; stream reset")

    BREAKER_OPENED = Entry(420, Level.WARNING, "upstream fails; taking no new work")
    BREAKER_CLOSED = Entry(421, Level.INFO, "upstream works again")
    SLOTS_HELD = Entry(422, Level.INFO, "slots held back after a start")
    SLOTS_RELEASED = Entry(423, Level.INFO, "slots released")
    OUTCOMES_HANDED = Entry(430, Level.INFO, "record of outcomes handed over")
    OUTCOMES_TAKEN = Entry(431, Level.INFO, "record of outcomes taken over")
    HANDOVER_FAILED = Entry(432, Level.WARNING, "record could not be handed over")

    CONFIGURATION_APPLIED = Entry(500, Level.INFO, "configuration in force")
    CONFIGURATION_STALE = Entry(501, Level.INFO, "older configuration passed over")
    CONFIGURATION_PULLED = Entry(502, Level.DEBUG, "configuration asked of a peer")
    CONFIGURATION_ACCEPTED = Entry(510, Level.INFO, "configuration accepted")
    RESOURCE_REJECTED = Entry(511, Level.WARNING, "resource rejected")
    RESOURCES_MISSING = Entry(
        512, Level.ERROR, "platform holds no service; keeping what is in force"
    )
    LEASE_TAKEN = Entry(520, Level.INFO, "lease taken")
    LEASE_LOST = Entry(521, Level.INFO, "lease lost")
    PLATFORM_FAILED = Entry(530, Level.WARNING, "platform gave no answer")
    PLATFORM_BACK = Entry(531, Level.INFO, "platform answers again")
    DRAIN_BEGAN = Entry(540, Level.INFO, "upstream leaves: no new work")
    DRAIN_ENDED = Entry(541, Level.INFO, "upstream has no flow left")
    DRAIN_CANCELLED = Entry(542, Level.INFO, "upstream takes new work again")
    CERTIFICATE_LOADED = Entry(550, Level.INFO, "certificate in use")
    CERTIFICATE_FAILED = Entry(551, Level.WARNING, "certificate could not be read")

    FLOW_OFFERED = Entry(600, Level.INFO, "new flow offered to an upstream")
    FLOW_UNROUTED = Entry(601, Level.INFO, "flow reset: its endpoint has no route")
    PACKET_RETURNED = Entry(602, Level.INFO, "an agent handed a packet back")
    PACKET_HANDED_BACK = Entry(603, Level.INFO, "packet handed back to its balancer")
    FLOW_FOUND = Entry(604, Level.INFO, "flow located at an upstream")
    FLOW_RELEARNED = Entry(605, Level.INFO, "upstream holds a flow not known here")
    FLOW_ORPHANED = Entry(606, Level.INFO, "flow reset: no upstream holds it")
    SEARCH_ENDED = Entry(607, Level.WARNING, "flow not located; some were silent")
    SEARCH_DROPPED = Entry(608, Level.WARNING, "too many flows are being located")
    FLOWS_FREED = Entry(609, Level.INFO, "flows of an ended upstream reset")
    REQUEST_HELD = Entry(610, Level.INFO, "request held: no slot is free")
    REQUEST_PASSED_ON = Entry(611, Level.INFO, "held request given to the upstream")
    REQUEST_ANSWERED = Entry(612, Level.INFO, "upstream has begun to answer")
    FLOW_TAKEN = Entry(613, Level.INFO, "upstream has taken a new flow")
    REQUEST_ABANDONED = Entry(615, Level.INFO, "caller of a held request is silent")
    FLOW_DENIED = Entry(614, Level.INFO, "agent does not hold a flow it was known for")
    UPSTREAM_CHANGED = Entry(620, Level.INFO, "upstream's state has changed")
    UPSTREAM_SILENT = Entry(621, Level.WARNING, "upstream does not answer")
    UPSTREAM_UNREACHED = Entry(623, Level.INFO, "upstream's port was not reached")
    UPSTREAM_FAILING = Entry(627, Level.WARNING, "upstream answers too quickly")
    HEARTBEAT_OUTDATED = Entry(628, Level.INFO, "heartbeat of an ended run passed over")
    UPSTREAM_LOST = Entry(622, Level.WARNING, "agent does not answer")
    HEARTBEAT_TAKEN = Entry(624, Level.INFO, "heartbeat with news of the upstream")
    BALANCER_ISOLATED = Entry(
        625, Level.WARNING, "cut off from most agents, or no longer"
    )
    SILENCE_RESTARTED = Entry(
        629, Level.INFO, "late answer: other agents' silence counts anew"
    )
    EARLIER_REPORT = Entry(626, Level.INFO, "report of an earlier run read")
    CHECKPOINT_READ = Entry(616, Level.INFO, "open flows of the last run read")
    TABLE_APPLIED = Entry(630, Level.INFO, "forwarding table in force")
    TABLE_REJECTED = Entry(631, Level.ERROR, "forwarding table cannot be read")
    TABLE_SENT = Entry(634, Level.INFO, "forwarding table sent to a balancer")
    TABLE_NOT_READ = Entry(635, Level.INFO, "no table from another balancer")
    TABLE_AWAITED = Entry(636, Level.INFO, "packet dropped until a newer table is read")
    SETTINGS_READ = Entry(632, Level.INFO, "settings read again")
    SETTINGS_REJECTED = Entry(633, Level.ERROR, "changed settings are not allowed")
    MESSAGE_REFUSED = Entry(640, Level.WARNING, "message from a node cannot be read")
    PACKET_MALFORMED = Entry(641, Level.INFO, "datagram is not a packet")
    SEND_FAILED = Entry(642, Level.WARNING, "datagram could not be sent")
    CALL_REFUSED = Entry(643, Level.INFO, "HTTP call refused")
    NODE_FIGURES = Entry(645, Level.INFO, "calls and messages since the start")
    LINES_DROPPED = Entry(644, Level.WARNING, "log lines left out")
