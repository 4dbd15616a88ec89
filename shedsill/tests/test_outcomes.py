"""Outcome records: limits, expiry and handover."""

from __future__ import annotations

import pytest

from shedsill.http3 import _outcomes
from shedsill.http3._answers import RecordedAnswer
from shedsill.http3._keys import KeyRing
from shedsill.http3._outcomes import (
    Done,
    IssuerKey,
    MayHaveRun,
    OutcomeTable,
    Refused,
    Running,
    drop_expired_records,
    find_record,
    is_full,
    make_transfers,
    merge_transfer,
    put_record,
)
from shedsill.http3._peers import Handover, decode_handover, encode_handover

KEY = IssuerKey(7, 1)
KEYS = KeyRing((bytes(range(32)),))


def make_done(size: int, *, expires_at: float = 10.0) -> Done:
    answer = RecordedAnswer(status=200, headers=(), body=bytes(size))
    return Done(fingerprint=b"f", expires_at=expires_at, answer=answer)


def test_recorded_bytes_match_the_kept_answers() -> None:
    table = put_record(OutcomeTable(), KEY, 1, make_done(100))
    table = put_record(table, KEY, 2, make_done(50, expires_at=99.0))
    table = put_record(table, KEY, 1, make_done(30))
    assert (table.record_count, table.recorded_bytes) == (2, 80)
    table = drop_expired_records(table, 20.0)
    assert (table.record_count, table.recorded_bytes) == (1, 50)


@pytest.mark.parametrize(
    ("name", "limit"), [("MAX_RECORDS", 2), ("MAX_RECORDED_BYTES", 60)]
)
def test_table_is_full_by_number_or_by_bytes(
    name: str, limit: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_outcomes, name, limit)
    table = put_record(OutcomeTable(), KEY, 1, make_done(40))
    assert not is_full(table)
    assert is_full(put_record(table, KEY, 2, make_done(40)))


def test_running_record_is_kept_after_its_ticket_expires() -> None:
    running = Running(fingerprint=b"f", expires_at=10.0, request=3)
    table = drop_expired_records(put_record(OutcomeTable(), KEY, 1, running), 99.0)
    assert find_record(table, KEY, 1) == running


def test_handover_converts_expiry_to_the_successors_clock() -> None:
    table = put_record(OutcomeTable(), KEY, 1, make_done(5, expires_at=110.0))
    refused = Refused(fingerprint=b"f", expires_at=120.0)
    table = put_record(table, KEY, 2, refused)
    running = Running(fingerprint=b"f", expires_at=130.0, request=3)
    table = put_record(table, KEY, 3, running)
    handover = Handover(upstream=9, transfers=make_transfers(table, 100.0))
    decoded = decode_handover(KEYS, encode_handover(KEYS, handover))
    target = OutcomeTable()
    for _ in range(2):
        for transfer in decoded.transfers:
            target = merge_transfer(target, transfer, 5.0)
    assert find_record(target, KEY, 1) == make_done(5, expires_at=15.0)
    assert find_record(target, KEY, 2) == Refused(fingerprint=b"f", expires_at=25.0)
    assert find_record(target, KEY, 3) == MayHaveRun(fingerprint=b"f", expires_at=35.0)
    assert (target.record_count, target.recorded_bytes) == (3, 5)


def test_repeated_handover_keeps_the_successors_records() -> None:
    table = put_record(
        OutcomeTable(), KEY, 1, MayHaveRun(fingerprint=b"f", expires_at=110.0)
    )
    (transfer,) = make_transfers(table, 100.0)
    target = merge_transfer(OutcomeTable(), transfer, 5.0)
    target = put_record(target, KEY, 2, make_done(5))
    again = merge_transfer(target, transfer, 6.0)
    assert find_record(again, KEY, 2) == make_done(5)
