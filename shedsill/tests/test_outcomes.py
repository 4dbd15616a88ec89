"""The record of outcomes: bounds, expiry, handover."""

from __future__ import annotations

import pytest

from shedsill.http3 import _outcomes
from shedsill.http3._answers import RecordedAnswer
from shedsill.http3._keys import KeyRing
from shedsill.http3._outcomes import (
    Done,
    Ledger,
    MayHaveRun,
    OutcomeKey,
    Refused,
    Running,
    drop_expired,
    find_record,
    is_full,
    make_transfers,
    put_record,
    take_transfer,
)
from shedsill.http3._peers import Handover, decode_handover, encode_handover

KEY = OutcomeKey(7, 1)
KEYS = KeyRing((bytes(range(32)),))


def make_done(octets: int, *, expires: float = 10.0) -> Done:
    answer = RecordedAnswer(status=200, headers=(), body=bytes(octets))
    return Done(fingerprint=b"f", expires=expires, answer=answer)


def test_octets_follow_what_is_kept() -> None:
    ledger = put_record(Ledger(), KEY, 1, make_done(100))
    ledger = put_record(ledger, KEY, 2, make_done(50, expires=99.0))
    ledger = put_record(ledger, KEY, 1, make_done(30))
    assert (ledger.size, ledger.octets) == (2, 80)
    ledger = drop_expired(ledger, 20.0)
    assert (ledger.size, ledger.octets) == (1, 50)


@pytest.mark.parametrize(("name", "limit"), [("MAX_RECORDS", 2), ("MAX_OCTETS", 60)])
def test_record_is_full_by_number_or_by_octets(
    name: str, limit: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_outcomes, name, limit)
    ledger = put_record(Ledger(), KEY, 1, make_done(40))
    assert not is_full(ledger)
    assert is_full(put_record(ledger, KEY, 2, make_done(40)))


def test_running_record_outlives_its_ticket() -> None:
    running = Running(fingerprint=b"f", expires=10.0, request=3)
    ledger = drop_expired(put_record(Ledger(), KEY, 1, running), 99.0)
    assert find_record(ledger, KEY, 1) == running


def test_handover_moves_records_onto_the_successors_clock() -> None:
    ledger = put_record(Ledger(), KEY, 1, make_done(5, expires=110.0))
    refused = Refused(fingerprint=b"f", expires=120.0)
    ledger = put_record(ledger, KEY, 2, refused)
    running = Running(fingerprint=b"f", expires=130.0, request=3)
    ledger = put_record(ledger, KEY, 3, running)
    handover = Handover(upstream=9, transfers=make_transfers(ledger, 100.0))
    decoded = decode_handover(KEYS, encode_handover(KEYS, handover))
    taken = Ledger()
    for _twice in range(2):
        for transfer in decoded.transfers:
            taken = take_transfer(taken, transfer, 5.0)
    assert find_record(taken, KEY, 1) == make_done(5, expires=15.0)
    assert find_record(taken, KEY, 2) == Refused(fingerprint=b"f", expires=25.0)
    assert find_record(taken, KEY, 3) == MayHaveRun(fingerprint=b"f", expires=35.0)
    assert (taken.size, taken.octets) == (3, 5)


def test_successor_does_not_take_back_what_it_knows_better() -> None:
    ledger = put_record(Ledger(), KEY, 1, MayHaveRun(fingerprint=b"f", expires=110.0))
    (transfer,) = make_transfers(ledger, 100.0)
    taken = take_transfer(Ledger(), transfer, 5.0)
    taken = put_record(taken, KEY, 2, make_done(5))
    again = take_transfer(taken, transfer, 6.0)
    assert find_record(again, KEY, 2) == make_done(5)
