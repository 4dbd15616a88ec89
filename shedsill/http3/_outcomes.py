"""Outcome records, by which a request with a ticket runs at most once.

A record is kept for each used ticket.  It says whether the request is running, has
been answered (with the complete answer), was refused, or may have run.  Records are
kept until their ticket expires and are never evicted early: when the table is full,
new requests with tickets are refused.
"""

from __future__ import annotations

import immutables
from attrs import evolve, field, frozen

from shedsill.http3._answers import RecordedAnswer

MAX_RECORDS = 20_000
MAX_RECORDED_BODY_BYTES = 262_144
MAX_RECORDED_BYTES = 64 * 1024 * 1024  # of all recorded bodies
TICKET_LIFETIME_SECONDS = 120.0


@frozen(order=True)
class IssuerKey:
    """Key of the agent incarnation that issued a ticket."""

    upstream: int
    incarnation: int


@frozen(kw_only=True)
class Running:
    """The request is queued or running; the repeats in `waiters` get its answer."""

    fingerprint: bytes
    expires_at: float
    request: int
    waiters: tuple[int, ...] = ()


@frozen(kw_only=True)
class Done:
    """The request was answered."""

    fingerprint: bytes
    expires_at: float
    answer: RecordedAnswer


@frozen(kw_only=True)
class MayHaveRun:
    """The request may have run and is never run again."""

    fingerprint: bytes
    expires_at: float


@frozen(kw_only=True)
class Refused:
    """The request did not run and is never run with this ticket.

    A delayed duplicate cannot be distinguished from a retry, so a caller that retries
    has to use the ticket that the refusal carries.
    """

    fingerprint: bytes
    expires_at: float


Record = Running | Done | MayHaveRun | Refused


@frozen(kw_only=True)
class IssuerRecords:
    """Records of the tickets of one incarnation.

    Attributes
    ----------
    clock_offset : float
        Seconds to add to the issuer's monotonic time to get this node's.
    """

    clock_offset: float = 0.0
    records: immutables.Map[int, Record] = field(factory=immutables.Map)


@frozen(kw_only=True)
class OutcomeTable:
    """Records of one agent: its own and those it has taken over.

    Attributes
    ----------
    record_count, recorded_bytes : int
        Number of records, and total size of the answer bodies in them.
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
    """Add an incarnation for whose tickets this agent answers."""
    if key in table.issuers:
        return table
    return evolve(
        table, issuers=table.issuers.set(key, IssuerRecords(clock_offset=clock_offset))
    )


def get_local_expiry(table: OutcomeTable, key: IssuerKey, expires_at: float) -> float:
    """Convert an expiry time from the issuer's clock to this node's."""
    return expires_at + table.issuers.get(key, IssuerRecords()).clock_offset


def find_record(table: OutcomeTable, key: IssuerKey, number: int) -> Record | None:
    """Return the record of a ticket, or None if there is none."""
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
    issuer = table.issuers.get(key, IssuerRecords())
    known = issuer.records.get(number)
    issuer = evolve(issuer, records=issuer.records.set(number, record))
    return OutcomeTable(
        issuers=table.issuers.set(key, issuer),
        record_count=table.record_count + (known is None),
        recorded_bytes=table.recorded_bytes
        + _count_body_bytes(record)
        - _count_body_bytes(known),
    )


def _count_body_bytes(record: Record | None) -> int:
    return len(record.answer.body) if isinstance(record, Done) else 0


def is_full(table: OutcomeTable) -> bool:
    """Whether requests with new tickets have to be refused.

    Refusals are recorded even then.  They are small, and their number is limited by
    the request rate and the lifetime of tickets.
    """
    return (
        table.record_count >= MAX_RECORDS or table.recorded_bytes >= MAX_RECORDED_BYTES
    )


def drop_expired_records(table: OutcomeTable, now: float) -> OutcomeTable:
    """Drop records of expired tickets, except those of running requests."""
    issuers = table.issuers
    recorded_bytes = table.recorded_bytes
    for key, issuer in table.issuers.items():
        kept = issuer.records
        for number, record in issuer.records.items():
            if record.expires_at < now and not isinstance(record, Running):
                kept = kept.delete(number)
                recorded_bytes -= _count_body_bytes(record)
        if kept is not issuer.records:
            issuers = issuers.set(key, evolve(issuer, records=kept))
    if issuers is table.issuers:
        return table
    record_count = sum(len(issuer.records) for issuer in issuers.values())
    return OutcomeTable(
        issuers=issuers, record_count=record_count, recorded_bytes=recorded_bytes
    )


@frozen(kw_only=True)
class Transfer:
    """Records of one incarnation, as sent to a successor.

    Attributes
    ----------
    issuer_time : float
        Time on the issuer's monotonic clock when the records were sent; `expires_at`
        of each record is on the same clock.
    """

    issuer: IssuerKey
    issuer_time: float
    records: tuple[tuple[int, Record], ...]


def make_transfers(table: OutcomeTable, now: float) -> tuple[Transfer, ...]:
    """Return all records, grouped by issuer, for a handover."""
    return tuple(
        Transfer(
            issuer=key,
            issuer_time=now - issuer.clock_offset,
            records=tuple(
                (number, _shift_expiry(finalize_record(record), -issuer.clock_offset))
                for number, record in sorted(issuer.records.items(), key=_get_number)
            ),
        )
        for key, issuer in sorted(table.issuers.items(), key=_get_key)
    )


def merge_transfer(table: OutcomeTable, transfer: Transfer, now: float) -> OutcomeTable:
    """Add the records of a transfer, without replacing known ones.

    Examples
    --------
    >>> key = IssuerKey(7, 1)
    >>> record = MayHaveRun(fingerprint=b"", expires_at=110.0)
    >>> source = put_record(OutcomeTable(), key, 3, record)
    >>> transfer, = make_transfers(source, 100.0)
    >>> target = merge_transfer(OutcomeTable(), transfer, 5.0)
    >>> find_record(target, key, 3).expires_at
    15.0
    """
    offset = now - transfer.issuer_time
    table = add_issuer(table, transfer.issuer, clock_offset=offset)
    offset = table.issuers[transfer.issuer].clock_offset
    for number, record in transfer.records:
        if find_record(table, transfer.issuer, number) is None:
            shifted = _shift_expiry(record, offset)
            table = put_record(table, transfer.issuer, number, shifted)
    return table


def _get_number(item: tuple[int, Record]) -> int:
    return item[0]


def _get_key(item: tuple[IssuerKey, IssuerRecords]) -> IssuerKey:
    return item[0]


def _shift_expiry(record: Record, offset: float) -> Record:
    return evolve(record, expires_at=record.expires_at + offset)


def finalize_record(record: Record) -> Record:
    """Return the record to hand over; running requests become `MayHaveRun`."""
    match record:
        case Running(fingerprint=fingerprint, expires_at=expires):
            return MayHaveRun(fingerprint=fingerprint, expires_at=expires)
        case _:
            return record
