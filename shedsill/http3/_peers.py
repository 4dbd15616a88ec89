"""Messages between agents over HTTP: forwarded requests and handovers."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator

import capnp
from attrs import frozen

from shedsill.errors import DecodeError
from shedsill.http3._answers import Header, RecordedAnswer
from shedsill.http3._frames import SCHEMA
from shedsill.http3._keys import KeyRing, sign_message, verify_message
from shedsill.http3._outcomes import (
    Done,
    IssuerKey,
    MayHaveRun,
    Record,
    Refused,
    Transfer,
)

MAX_MESSAGE_WORDS = 1 << 24  # Cap'n Proto words of 8 bytes


@frozen(kw_only=True)
class PeerRequest:
    """A request that one agent forwards to another."""

    service: int
    upstream: int
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    key: str


@frozen(kw_only=True)
class Handover:
    """A leaving agent's records, for the agent of upstream number `upstream`."""

    upstream: int
    transfers: tuple[Transfer, ...]


def encode_peer_request(ring: KeyRing, request: PeerRequest) -> bytes:
    """Encode and sign a forwarded request."""
    message = SCHEMA.PeerRequest.new_message(
        service=request.service,
        upstream=request.upstream,
        method=request.method,
        path=request.path,
        body=request.body,
        key=request.key,
    )
    _fill_headers(message.init("headers", len(request.headers)), request.headers)
    return sign_message(ring, message.to_bytes())


def decode_peer_request(ring: KeyRing, data: bytes) -> PeerRequest:
    """Verify and decode a forwarded request; raises `DecodeError`."""
    with _open_message(ring, data, SCHEMA.PeerRequest) as reader:
        return PeerRequest(
            service=reader.service,
            upstream=reader.upstream,
            method=reader.method,
            path=reader.path,
            headers=_read_headers(reader.headers),
            body=bytes(reader.body),
            key=reader.key,
        )


def encode_peer_answer(ring: KeyRing, answer: RecordedAnswer) -> bytes:
    """Encode and sign the answer to a forwarded request."""
    message = SCHEMA.PeerAnswer.new_message()
    _fill_answer(message, answer)
    return sign_message(ring, message.to_bytes())


def decode_peer_answer(ring: KeyRing, data: bytes) -> RecordedAnswer:
    """Verify and decode the answer; raises `DecodeError`."""
    with _open_message(ring, data, SCHEMA.PeerAnswer) as reader:
        return _read_answer(reader)


def encode_handover(ring: KeyRing, handover: Handover) -> bytes:
    """Encode and sign a handover."""
    message = SCHEMA.Handover.new_message(upstream=handover.upstream)
    entries = message.init("transfers", len(handover.transfers))
    for entry, transfer in zip(entries, handover.transfers, strict=True):
        entry.upstream = transfer.issuer.upstream
        entry.incarnation = transfer.issuer.incarnation
        entry.clock = transfer.issuer_time
        records = entry.init("records", len(transfer.records))
        for body, (number, record) in zip(records, transfer.records, strict=True):
            body.number = number
            _fill_record(body, record)
    return sign_message(ring, message.to_bytes())


def _fill_record(body: capnp._DynamicStructBuilder, record: Record) -> None:
    body.fingerprint = record.fingerprint
    body.expires = record.expires_at
    match record:
        case Done(answer=answer):
            _fill_answer(body.init("done"), answer)
        case Refused():
            body.refused = None
        case _:
            body.mayHaveRun = None


def decode_handover(ring: KeyRing, data: bytes) -> Handover:
    """Verify and decode a handover; raises `DecodeError`."""
    with _open_message(ring, data, SCHEMA.Handover) as reader:
        return Handover(
            upstream=reader.upstream,
            transfers=tuple(_read_transfer(entry) for entry in reader.transfers),
        )


def _read_transfer(entry: capnp._DynamicStructReader) -> Transfer:
    return Transfer(
        issuer=IssuerKey(entry.upstream, entry.incarnation),
        issuer_time=entry.clock,
        records=tuple((body.number, _read_record(body)) for body in entry.records),
    )


def _read_record(body: capnp._DynamicStructReader) -> Record:
    fingerprint = bytes(body.fingerprint)
    match str(body.which()):
        case "done":
            answer = _read_answer(body.done)
            return Done(fingerprint=fingerprint, expires_at=body.expires, answer=answer)
        case "refused":
            return Refused(fingerprint=fingerprint, expires_at=body.expires)
        case _:
            return MayHaveRun(fingerprint=fingerprint, expires_at=body.expires)


@contextlib.contextmanager
def _open_message(
    ring: KeyRing, data: bytes, schema: capnp._StructModule
) -> Iterator[capnp._DynamicStructReader]:
    """Verify a message and open a reader on it; raises `DecodeError`."""
    message = verify_message(ring, data)
    try:
        with schema.from_bytes(
            message, traversal_limit_in_words=MAX_MESSAGE_WORDS
        ) as reader:
            yield reader
    except (capnp.KjException, ValueError) as error:
        raise DecodeError(f"message is not valid: {error}") from error


def _fill_answer(body: capnp._DynamicStructBuilder, answer: RecordedAnswer) -> None:
    body.status = answer.status
    body.body = answer.body
    _fill_headers(body.init("headers", len(answer.headers)), answer.headers)


def _read_answer(body: capnp._DynamicStructReader) -> RecordedAnswer:
    return RecordedAnswer(
        status=body.status,
        headers=_read_headers(body.headers),
        body=bytes(body.body),
    )


def _fill_headers(entries: Iterable, headers: tuple[Header, ...]) -> None:
    for entry, header in zip(entries, headers, strict=True):
        entry.name = header.name
        entry.value = header.value


def _read_headers(entries: Iterable) -> tuple[Header, ...]:
    return tuple(Header(name=e.name, value=e.value) for e in entries)
