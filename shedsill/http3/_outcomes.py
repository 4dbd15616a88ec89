"""The record of outcomes that makes a request with a ticket run at most once.

For each ticket number that came back, a record says whether the request runs,
is done (with the whole answer), was refused, or may have run.  Records live
until their ticket expires and are never evicted early: when the table is full,
new requests with tickets are refused.
"""

from __future__ import annotations

import immutables
from attrs import evolve, field, frozen

from shedsill.http3._answers import RecordedAnswer

MAX_RECORDS = 20_000
MAX_RECORDED_BODY = 262_144
MAX_OCTETS = 64 * 1024 * 1024
TICKET_LIFETIME = 120.0


@frozen(order=True)
class OutcomeKey:
    """The agent incarnation that issued a ticket."""

    upstream: int
    incarnation: int


@frozen(kw_only=True)
class Running:
    """The request is waiting or at work; repeats in `waiters` get its answer."""

    fingerprint: bytes
    expires: float
    request: int
    waiters: tuple[int, ...] = ()


@frozen(kw_only=True)
class Done:
    """The request ran; this is its answer."""

    fingerprint: bytes
    expires: float
    answer: RecordedAnswer


@frozen(kw_only=True)
class MayHaveRun:
    """The request may have run; it never runs again."""

    fingerprint: bytes
    expires: float


@frozen(kw_only=True)
class Refused:
    """The request did not run and, under this ticket, never will.

    Nothing in a later copy shows that it was sent after the caller learned of
    the refusal.  A caller that goes on uses the ticket that came with it.
    """

    fingerprint: bytes
    expires: float


Record = Running | Done | MayHaveRun | Refused


@frozen(kw_only=True)
class Origin:
    """The records of one incarnation.

    Attributes
    ----------
    offset : float
        Seconds from the issuer's monotonic clock to this node's.
    """

    offset: float = 0.0
    records: immutables.Map[int, Record] = field(factory=immutables.Map)


@frozen(kw_only=True)
class Ledger:
    """The records of one agent, its own and those it has taken over.

    Attributes
    ----------
    size, octets : int
        Number of records, and octets of the answers in them.
    """

    origins: immutables.Map[OutcomeKey, Origin] = field(factory=immutables.Map)
    size: int = 0
    octets: int = 0


def has_origin(ledger: Ledger, key: OutcomeKey) -> bool:
    """Whether this agent answers for the tickets of an incarnation."""
    return key in ledger.origins


def add_origin(ledger: Ledger, key: OutcomeKey, *, offset: float = 0.0) -> Ledger:
    """Begin to answer for the tickets of an incarnation."""
    if key in ledger.origins:
        return ledger
    return evolve(ledger, origins=ledger.origins.set(key, Origin(offset=offset)))


def get_local_expiry(ledger: Ledger, key: OutcomeKey, expires: float) -> float:
    """Turn an expiry on the issuer's clock into one on this node's."""
    return expires + ledger.origins.get(key, Origin()).offset


def find_record(ledger: Ledger, key: OutcomeKey, number: int) -> Record | None:
    """Return the record of a ticket number, if there is one."""
    return ledger.origins.get(key, Origin()).records.get(number)


def put_record(ledger: Ledger, key: OutcomeKey, number: int, record: Record) -> Ledger:
    """Add or replace a record.

    Examples
    --------
    >>> key = OutcomeKey(7, 1)
    >>> record = MayHaveRun(fingerprint=b"", expires=10.0)
    >>> ledger = put_record(Ledger(), key, 3, record)
    >>> find_record(ledger, key, 3) == record, ledger.size
    (True, 1)
    >>> drop_expired(ledger, 20.0).size
    0
    """
    origin = ledger.origins.get(key, Origin())
    known = origin.records.get(number)
    origin = evolve(origin, records=origin.records.set(number, record))
    return Ledger(
        origins=ledger.origins.set(key, origin),
        size=ledger.size + (known is None),
        octets=ledger.octets + _weigh(record) - _weigh(known),
    )


def _weigh(record: Record | None) -> int:
    return len(record.answer.body) if isinstance(record, Done) else 0


def is_full(ledger: Ledger) -> bool:
    """Whether no further request with a ticket may run.

    Refusals are recorded all the same; they are small, and their number is
    bounded by the rate of requests and the lifetime of tickets.
    """
    return ledger.size >= MAX_RECORDS or ledger.octets >= MAX_OCTETS


def drop_expired(ledger: Ledger, now: float) -> Ledger:
    """Drop records whose ticket has expired, but for those still running."""
    origins = ledger.origins
    octets = ledger.octets
    for key, origin in ledger.origins.items():
        kept = origin.records
        for number, record in origin.records.items():
            if record.expires < now and not isinstance(record, Running):
                kept = kept.delete(number)
                octets -= _weigh(record)
        if kept is not origin.records:
            origins = origins.set(key, evolve(origin, records=kept))
    if origins is ledger.origins:
        return ledger
    size = sum(len(origin.records) for origin in origins.values())
    return Ledger(origins=origins, size=size, octets=octets)


@frozen(kw_only=True)
class Transfer:
    """The records of one incarnation on their way to a successor.

    Attributes
    ----------
    clock : float
        The issuer's monotonic time when they were sent; `expires` of each
        record is on that clock too.
    """

    key: OutcomeKey
    clock: float
    records: tuple[tuple[int, Record], ...]


def make_transfers(ledger: Ledger, now: float) -> tuple[Transfer, ...]:
    """Return all records in the form in which they are handed over."""
    return tuple(
        Transfer(
            key=key,
            clock=now - origin.offset,
            records=tuple(
                (number, _shift(settle(record), -origin.offset))
                for number, record in sorted(origin.records.items(), key=_get_number)
            ),
        )
        for key, origin in sorted(ledger.origins.items(), key=_get_key)
    )


def take_transfer(ledger: Ledger, transfer: Transfer, now: float) -> Ledger:
    """Answer for another incarnation's tickets from now on.

    Examples
    --------
    >>> key = OutcomeKey(7, 1)
    >>> record = MayHaveRun(fingerprint=b"", expires=110.0)
    >>> leaver = put_record(Ledger(), key, 3, record)
    >>> transfer, = make_transfers(leaver, 100.0)
    >>> taken = take_transfer(Ledger(), transfer, 5.0)
    >>> find_record(taken, key, 3).expires
    15.0
    """
    offset = now - transfer.clock
    ledger = add_origin(ledger, transfer.key, offset=offset)
    offset = ledger.origins[transfer.key].offset
    for number, record in transfer.records:
        if find_record(ledger, transfer.key, number) is None:
            shifted = _shift(record, offset)
            ledger = put_record(ledger, transfer.key, number, shifted)
    return ledger


def _get_number(item: tuple[int, Record]) -> int:
    return item[0]


def _get_key(item: tuple[OutcomeKey, Origin]) -> OutcomeKey:
    return item[0]


def _shift(record: Record, offset: float) -> Record:
    return evolve(record, expires=record.expires + offset)


def settle(record: Record) -> Record:
    """Return what a record becomes when its holder leaves."""
    match record:
        case Running(fingerprint=fingerprint, expires=expires):
            return MayHaveRun(fingerprint=fingerprint, expires=expires)
        case _:
            return record
