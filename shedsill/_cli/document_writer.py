"""Conditional writes of resources to the platform."""

from __future__ import annotations

import asyncio
import secrets

from attrs import frozen

from shedsill.coordination.platform import (
    Conflict,
    Found,
    Get,
    Platform,
    Put,
    Stored,
    StoredObject,
)
from shedsill.coordination.update import CHANGE_ID_KEY
from shedsill.http3._resources import Document, encode_spec, get_kind

MAX_READ_BACKS = 5
READ_BACK_DELAY_SECONDS = 0.3


@frozen(kw_only=True)
class Written:
    """The resource was stored."""

    version: int


@frozen(kw_only=True)
class Unchanged:
    """The stored resource already has this specification."""

    version: int


@frozen(kw_only=True)
class VersionConflict:
    """The document is based on another version than the stored one."""

    document_version: int | None
    current: StoredObject | None


@frozen(kw_only=True)
class Unconfirmed:
    """It could not be confirmed whether the platform stored the resource."""

    reason: str


WriteResult = Written | Unchanged | VersionConflict | Unconfirmed


async def write_document(
    client: Platform, document: Document, *, force: bool = False
) -> WriteResult:
    """Write a resource if its stored version is the one the document names.

    A document without a version only creates a resource.  If the stored
    specification is already the same, nothing is written.  When the answer to a
    write is lost, the resource is read back and its change id compared.

    Parameters
    ----------
    force : bool
        Replace whatever version is stored.
    """
    kind, name = get_kind(document.resource), document.resource.name
    change_id = secrets.token_hex(8)
    value = {"spec": encode_spec(document.resource), CHANGE_ID_KEY: change_id}
    read = await client.call(Get(kind=kind, name=name))
    if not isinstance(read, Found):
        return Unconfirmed(reason=str(read))
    current = read.object
    if current is not None and current.value.get("spec") == value["spec"]:
        return Unchanged(version=current.version)
    stored = current.version if current else 0
    expected = stored if force else (document.version or 0)
    if expected != stored:
        return VersionConflict(document_version=document.version, current=current)
    outcome = await client.call(
        Put(kind=kind, name=name, value=value, expected=expected)
    )
    match outcome:
        case Stored(version=version):
            return Written(version=version)
        case Conflict(current=current):
            return VersionConflict(document_version=document.version, current=current)
        case _:
            return await _read_back(client, document, change_id)


async def _read_back(
    client: Platform, document: Document, change_id: str
) -> WriteResult:
    kind, name = get_kind(document.resource), document.resource.name
    for _ in range(MAX_READ_BACKS):
        await asyncio.sleep(READ_BACK_DELAY_SECONDS)
        read = await client.call(Get(kind=kind, name=name))
        if not isinstance(read, Found):
            continue
        if (
            read.object is not None
            and read.object.value.get(CHANGE_ID_KEY) == change_id
        ):
            return Written(version=read.object.version)
        return Unconfirmed(reason="the write has not taken effect")
    return Unconfirmed(
        reason="the platform does not answer; the write may have taken effect"
    )
