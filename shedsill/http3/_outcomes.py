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
MAX_RECORDED_BODY_BYTES = 262_144
MAX_RECORDED_BYTES = 64 * 1024 * 1024
TICKET_LIFETIME_SECONDS = 120.0


@frozen(order=True)
class IssuerKey:
    """The agent incarnation that issued a ticket."""

    upstream: int
    incarnation: int


@frozen(kw_only=True)
class Running:
    """The request is waiting or at work; repeats in `waiters` get its answer."""

    fingerprint: bytes
    expires_at: float
    request: int
    waiters: tuple[int, ...] = ()


@frozen(kw_only=True)
class Done:
    """The request ran; this is its answer."""

    fingerprint: bytes
    expires_at: float
    answer: RecordedAnswer


@frozen(kw_only=True)
class MayHaveRun:
    """The request may have run; it never runs again."""

    fingerprint: bytes
    expires_at: float


@frozen(kw_only=True)
class Refused:
    """The request did not run and, under this ticket, never will.

    Nothing in a later copy shows that it was sent after the caller learned of
    the refusal.  A caller that goes on uses the ticket that came with it.
    """

    fingerprint: bytes
    expires_at: float


Record = Running | Done | MayHaveRun | Refused


@frozen(kw_only=True)
class IssuerRecords:
    """The records of one incarnation.

    Attributes
    ----------
    clock_offset : float
        Seconds from the issuer's monotonic clock to this node's.
    """

    clock_offset: float = 0.0
    records: immutables.Map[int, Record] = field(factory=immutables.Map)


@frozen(kw_only=True)
class OutcomeTable:
    """The records of one agent, its own and those it has taken over.

    Attributes
    ----------
    record_count, recorded_bytes : int
        Number of records, and octets of the answers in them.
    """

    issuers: immutables.Map[IssuerKey, IssuerRecords] = field(factory=immutables.Map)
    record_count: int = 0
    recorded_bytes: int = 0


def has_issuer(table: OutcomeTable, key: IssuerKey) -> bool:
    """Whether this agent answers for the tickets of an incarnation."""
    return key in table.issuers


def add_issuer(
    table: OutcomeTable, key: IssuerKey, *, clock_offset: float = 0.0
) -> OutcomeTable:
    """Begin to answer for the tickets of an incarnation."""
    if key in table.issuers:
        return table
    return evolve(
        table, issuers=table.issuers.set(key, IssuerRecords(clock_offset=clock_offset))
    )


def get_local_expiry(table: OutcomeTable, key: IssuerKey, expires: float) -> float:
    """Turn an expiry on the issuer's clock into one on this node's."""
    return expires + table.issuers.get(key, IssuerRecords()).clock_offset


def find_record(table: OutcomeTable, key: IssuerKey, number: int) -> Record | None:
    """Return the record of a ticket number, if there is one."""
    return table.issuers.get(key, IssuerRecords()).records.get(number)


def put_record(
    table: OutcomeTable, key: IssuerKey, number: int, record: Record
) -> OutcomeTable:
    """Add or replace a record.

    Examples
    --------
    >>> key = IssuerKey(7, 1)
    >>> record = MayHaveRun(fingerprint=b"", expires_at=10.0)
    >>> table = put_record(OutcomeTable(), key, 3, record)
    >>> find_record(table, key, 3) == record, table.record_count
    (True, 1)
    >>> drop_expired_records(table, 20.0).record_count
    0
    """
    issued = table.issuers.get(key, IssuerRecords())
    known = issued.records.get(number)
    issued = evolve(issued, records=issued.records.set(number, record))
    return OutcomeTable(
        issuers=table.issuers.set(key, issued),
        record_count=table.record_count + (known is None),
        recorded_bytes=table.recorded_bytes + _weigh(record) - _weigh(known),
    )


def _weigh(record: Record | None) -> int:
    return len(record.answer.body) if isinstance(record, Done) else 0


def is_full(table: OutcomeTable) -> bool:
    """Whether no further request with a ticket may run.

    Refusals are recorded all the same; they are small, and their number is
    bounded by the rate of requests and the lifetime of tickets.
    """
    return (
        table.record_count >= MAX_RECORDS or table.recorded_bytes >= MAX_RECORDED_BYTES
    )


def drop_expired_records(table: OutcomeTable, now: float) -> OutcomeTable:
    """Drop records whose ticket has expired, but for those still running."""
    issuers = table.issuers
    recorded_bytes = table.recorded_bytes
    for key, issued in table.issuers.items():
        kept = issued.records
        for number, record in issued.records.items():
            if record.expires_at < now and not isinstance(record, Running):
                kept = kept.delete(number)
                recorded_bytes -= _weigh(record)
        if kept is not issued.records:
            issuers = issuers.set(key, evolve(issued, records=kept))
    if issuers is table.issuers:
        return table
    record_count = sum(len(issued.records) for issued in issuers.values())
    return OutcomeTable(
        issuers=issuers, record_count=record_count, recorded_bytes=recorded_bytes
    )


@frozen(kw_only=True)
class Transfer:
    """The records of one incarnation on their way to a successor.

    Attributes
    ----------
    issuer_time : float
        The issuer's monotonic time when they were sent; `expires_at` of each
        record is on that clock too.
    """

    issuer: IssuerKey
    issuer_time: float
    records: tuple[tuple[int, Record], ...]


def make_transfers(table: OutcomeTable, now: float) -> tuple[Transfer, ...]:
    """Return all records in the form in which they are handed over."""
    return tuple(
        Transfer(
            issuer=key,
            issuer_time=now - issued.clock_offset,
            records=tuple(
                (number, _shift(finalize_record(record), -issued.clock_offset))
                for number, record in sorted(issued.records.items(), key=_get_number)
            ),
        )
        for key, issued in sorted(table.issuers.items(), key=_get_key)
    )


def merge_transfer(table: OutcomeTable, transfer: Transfer, now: float) -> OutcomeTable:
    """Answer for another incarnation's tickets from now on.

    Examples
    --------
    >>> key = IssuerKey(7, 1)
    >>> record = MayHaveRun(fingerprint=b"", expires_at=110.0)
    >>> leaver = put_record(OutcomeTable(), key, 3, record)
    >>> transfer, = make_transfers(leaver, 100.0)
    >>> taken = merge_transfer(OutcomeTable(), transfer, 5.0)
    >>> find_record(taken, key, 3).expires_at
    15.0
    """
    offset = now - transfer.issuer_time
    table = add_issuer(table, transfer.issuer, clock_offset=offset)
    offset = table.issuers[transfer.issuer].clock_offset
    for number, record in transfer.records:
        if find_record(table, transfer.issuer, number) is None:
            shifted = _shift(record, offset)
            table = put_record(table, transfer.issuer, number, shifted)
    return table


def _get_number(item: tuple[int, Record]) -> int:
    return item[0]


def _get_key(item: tuple[IssuerKey, IssuerRecords]) -> IssuerKey:
    return item[0]


def _shift(record: Record, offset: float) -> Record:
    return evolve(record, expires_at=record.expires_at + offset)


def finalize_record(record: Record) -> Record:
    """Return what a record becomes when its holder leaves."""
    match record:
        case Running(fingerprint=fingerprint, expires_at=expires):
            return MayHaveRun(fingerprint=fingerprint, expires_at=expires)
        case _:
            return record
