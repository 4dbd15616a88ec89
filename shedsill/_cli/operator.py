"""Operators' commands, which read and write resources on the platform."""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import click
import yaml

from shedsill._catalogue import LogEvent
from shedsill._cli.document_writer import (
    Unchanged,
    Unconfirmed,
    VersionConflict,
    Written,
    write_document,
)
from shedsill._cli.exit_codes import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_REJECTED,
    EXIT_UNAVAILABLE,
)
from shedsill._cli.settings import check_url
from shedsill.coordination.backoff import Backoff
from shedsill.coordination.platform import (
    Conflict,
    Delete,
    Found,
    Get,
    List,
    Listing,
    Platform,
    Stored,
    StoredObject,
    Unavailable,
)
from shedsill.coordination.watch import watch_kinds
from shedsill.errors import DocumentError
from shedsill.http3._acceptor import CLUSTER_STATUS_NAME, STATUS_KIND
from shedsill.http3._node import CONFIGURATION_KIND, CONFIGURATION_NAME
from shedsill.http3._resources import (
    RESOURCE_KINDS,
    Document,
    decode_spec,
    encode_spec,
    get_kind,
    parse_documents,
)
from shedsill.http3._runtime.platform import HttpPlatform
from shedsill.http3._status import NODE_KIND

FINAL_PHASES = ("done", "rejected")
ACCEPTED_PHASES = ("accepted", *FINAL_PHASES)

platform_option = click.option(
    "--platform",
    required=True,
    envvar="SHEDSILL_PLATFORM",
    help="URL of the platform's API.",
)
output_option = click.option(
    "-o", "--output", type=click.Choice(["text", "json"]), default="text"
)


def run_with_platform(
    platform: str, command: Callable[[Platform], Awaitable[int]]
) -> None:
    """Run a command with a client of the platform and exit with its code."""
    url = check_url("--platform", platform)

    async def run_with_client() -> int:
        client = HttpPlatform(url)
        try:
            return await command(client)
        finally:
            await client.close()

    sys.exit(asyncio.run(run_with_client()))


def _print_value(value: Any, output: str) -> None:
    if output == "json":
        click.echo(json.dumps(value))
    else:
        click.echo(yaml.safe_dump(value, sort_keys=False).rstrip())


def _get_resource_view(
    item: StoredObject, status: StoredObject | None
) -> dict[str, Any]:
    view = {
        "kind": item.kind,
        "name": item.name,
        "version": item.version,
        "spec": item.value.get("spec", item.value),
    }
    if status is not None:
        view["status"] = status.value
    return view


@click.command()
@platform_option
@output_option
@click.option(
    "-f",
    "--file",
    "source",
    type=click.File("r"),
    required=True,
    help="YAML or JSON documents; - for stdin.",
)
@click.option("--dry-run", is_flag=True, help="Check the documents and write nothing.")
@click.option("--force", is_flag=True, help="Replace whatever version is stored.")
@click.option(
    "--wait/--no-wait", default=False, help="Wait until all resources are accepted."
)
@click.option("--timeout", type=float, default=30.0, show_default=True)
def apply(
    platform: str,
    output: str,
    source: Any,
    dry_run: bool,
    force: bool,
    wait: bool,
    timeout: float,
) -> None:
    """Write resources from YAML or JSON documents.

    All documents are checked before any is written.  A document that replaces a
    resource has to name the `version` that `get` showed.  If another version is
    stored, the resource is not written, both are shown, and the exit code is 3.
    """
    documents = parse_documents(source.read())
    if dry_run:
        for document in documents:
            name = f"{get_kind(document.resource)}/{document.resource.name}"
            _print_value({"resource": name, "result": "valid"}, output)
        sys.exit(EXIT_OK)

    async def execute(client: Platform) -> int:
        for document in documents:
            code = await _apply_document(client, document, output, force=force)
            if code != EXIT_OK:
                return code
        if not wait:
            return EXIT_OK
        for document in documents:
            code = await follow_resource(
                client, document, output, phases=ACCEPTED_PHASES, timeout=timeout
            )
            if code != EXIT_OK:
                return code
        return EXIT_OK

    run_with_platform(platform, execute)


async def _apply_document(
    client: Platform, document: Document, output: str, *, force: bool
) -> int:
    name = f"{get_kind(document.resource)}/{document.resource.name}"
    result = await write_document(client, document, force=force)
    match result:
        case Written(version=version):
            view = {"resource": name, "result": "written", "version": version}
            _print_value(view, output)
            return EXIT_OK
        case Unchanged(version=version):
            view = {"resource": name, "result": "unchanged", "version": version}
            _print_value(view, output)
            return EXIT_OK
        case VersionConflict(document_version=document_version, current=current):
            view = {
                "resource": name,
                "result": "conflict",
                "your_version": document_version,
                "your_spec": encode_spec(document.resource),
                "stored": _get_resource_view(current, None) if current else None,
            }
            _print_value(view, output)
            return EXIT_CONFLICT
        case Unconfirmed(reason=reason):
            _print_value(
                {"resource": name, "result": "unknown", "reason": reason}, output
            )
            return EXIT_UNAVAILABLE


async def follow_resource(
    client: Platform,
    document: Document,
    output: str,
    *,
    phases: tuple[str, ...],
    timeout: float,
) -> int:
    """Print each new status of a resource until it reaches one of some phases."""
    kind, name = get_kind(document.resource), document.resource.name
    status_name = f"{kind}.{name}"
    backoff = Backoff(max_delay=1.0)
    last = None
    try:
        async with asyncio.timeout(timeout or None):
            async for listing in watch_kinds(
                client, (STATUS_KIND, kind), sleep=asyncio.sleep, backoff=backoff
            ):
                index = {(o.kind, o.name): o for o in listing.objects}
                item = index.get((kind, name))
                current_status = index.get((STATUS_KIND, status_name))
                if item is None or current_status is None:
                    continue
                if current_status.value.get("observed_version") != item.version:
                    continue
                if current_status.value != last:
                    last = current_status.value
                    _print_value(
                        {"resource": f"{kind}/{name}", **current_status.value}, output
                    )
                phase = str(current_status.value.get("phase"))
                if phase in phases:
                    return EXIT_REJECTED if phase == "rejected" else EXIT_OK
    except TimeoutError:
        click.echo(f"shedsill: {kind}/{name} is not done after {timeout} s", err=True)
    return EXIT_FAILED


def _check_kind(kind: str) -> str:
    kind = kind.lower().rstrip("s")
    if kind not in (*RESOURCE_KINDS, NODE_KIND, STATUS_KIND, CONFIGURATION_KIND):
        allowed = ", ".join(
            (*RESOURCE_KINDS, NODE_KIND, STATUS_KIND, CONFIGURATION_KIND)
        )
        raise DocumentError("kind", kind, f"one of {allowed}")
    return kind


@click.command()
@platform_option
@output_option
@click.argument("kind")
@click.argument("name", required=False)
def get(platform: str, output: str, kind: str, name: str | None) -> None:
    """Show the resources of a KIND, or the one named NAME, with version and status."""
    kind = _check_kind(kind)

    async def execute(client: Platform) -> int:
        listing = await client.call(List(kinds=(kind, STATUS_KIND)))
        if not isinstance(listing, Listing):
            click.echo(f"shedsill: {listing}", err=True)
            return EXIT_UNAVAILABLE
        index = {(o.kind, o.name): o for o in listing.objects}
        matches = [
            _get_resource_view(item, index.get((STATUS_KIND, f"{kind}.{item.name}")))
            for item in listing.objects
            if item.kind == kind and name in (None, item.name)
        ]
        if name is not None and not matches:
            click.echo(f"shedsill: there is no {kind} {name!r}", err=True)
            return EXIT_FAILED
        if output == "json":
            click.echo(json.dumps(matches[0] if name else matches))
        else:
            click.echo(yaml.safe_dump_all(matches, sort_keys=False).rstrip())
        return EXIT_OK

    run_with_platform(platform, execute)


@click.command()
@platform_option
@output_option
@click.argument("kind")
@click.argument("name")
@click.option(
    "--timeout", type=float, default=0.0, help="Seconds to follow it; 0 for no limit."
)
def watch(platform: str, output: str, kind: str, name: str, timeout: float) -> None:
    """Show each new status of a resource until it is done or rejected.

    A service or a set of upstreams is done when it is accepted.
    """
    kind = _check_kind(kind)
    phases = FINAL_PHASES if kind == "change" else ACCEPTED_PHASES

    async def execute(client: Platform) -> int:
        document = await _find_document(client, kind, name)
        if document is None:
            click.echo(f"shedsill: there is no {kind} {name!r}", err=True)
            return EXIT_FAILED
        return await follow_resource(
            client, document, output, phases=phases, timeout=timeout
        )

    run_with_platform(platform, execute)


async def _find_document(client: Platform, kind: str, name: str) -> Document | None:
    read = await client.call(Get(kind=kind, name=name))
    if not isinstance(read, Found) or read.object is None:
        return None
    resource = decode_spec(kind, name, read.object.value.get("spec", {}))
    return Document(resource=resource, version=read.object.version)


@click.command()
@platform_option
@click.argument("kind")
@click.argument("name")
@click.option(
    "--version", type=int, default=None, help="Delete only if this version is stored."
)
def delete(platform: str, kind: str, name: str, version: int | None) -> None:
    """Delete a resource; its upstreams are drained before they are removed."""
    kind = _check_kind(kind)

    async def execute(client: Platform) -> int:
        read = await client.call(Get(kind=kind, name=name))
        if isinstance(read, Unavailable):
            click.echo(f"shedsill: {read.reason}", err=True)
            return EXIT_UNAVAILABLE
        current = read.object if isinstance(read, Found) else None
        if current is None:
            click.echo(f"shedsill: there is no {kind} {name!r}", err=True)
            return EXIT_FAILED
        expected = current.version if version is None else version
        outcome = await client.call(Delete(kind=kind, name=name, expected=expected))
        match outcome:
            case Stored():
                click.echo(f"{kind}/{name} deleted")
                return EXIT_OK
            case Conflict(current=stored_object):
                stored = stored_object.version if stored_object else None
                text = (
                    f"shedsill: conflict: expected version {expected}, stored {stored}"
                )
                click.echo(text, err=True)
                return EXIT_CONFLICT
            case _:
                click.echo(f"shedsill: {outcome}", err=True)
                return EXIT_UNAVAILABLE

    run_with_platform(platform, execute)


def _make_change(action: str, target: str) -> Document:
    name = f"{action}-{target or secrets.token_hex(4)}"
    spec: dict[str, Any] = {"action": action}
    if target:
        spec["target"] = target
    text = json.dumps({"kind": "Change", "name": name, "spec": spec})
    return parse_documents(text)[0]


def _submit_change(
    platform: str, output: str, document: Document, *, wait: bool, timeout: float
) -> None:
    async def execute(client: Platform) -> int:
        code = await _apply_document(client, document, output, force=False)
        if code != EXIT_OK or not wait:
            return code
        return await follow_resource(
            client, document, output, phases=FINAL_PHASES, timeout=timeout
        )

    run_with_platform(platform, execute)


wait_option = click.option("--wait/--no-wait", default=True, show_default=True)
timeout_option = click.option(
    "--timeout", type=float, default=0.0, help="Seconds to wait; 0 for no limit."
)


@click.command()
@platform_option
@output_option
@wait_option
@timeout_option
@click.argument("upstream")
def drain(
    platform: str, output: str, wait: bool, timeout: float, upstream: str
) -> None:
    """Send an upstream no new work and wait until its open flows have ended."""
    document = _make_change("drain", upstream)
    _submit_change(platform, output, document, wait=wait, timeout=timeout)


@click.command()
@platform_option
@click.argument("upstream")
def undrain(platform: str, upstream: str) -> None:
    """Send an upstream new work again by deleting the change that drains it."""

    async def execute(client: Platform) -> int:
        name = f"drain-{upstream}"
        read = await client.call(Get(kind="change", name=name))
        if isinstance(read, Unavailable):
            click.echo(f"shedsill: {read.reason}", err=True)
            return EXIT_UNAVAILABLE
        if not isinstance(read, Found) or read.object is None:
            click.echo(f"shedsill: there is no change {name!r}", err=True)
            return EXIT_FAILED
        version = read.object.version
        outcome = await client.call(Delete(kind="change", name=name, expected=version))
        if not isinstance(outcome, Stored):
            click.echo(f"shedsill: {outcome}", err=True)
            return EXIT_CONFLICT
        click.echo(f"change/{name} deleted")
        return EXIT_OK

    run_with_platform(platform, execute)


@click.command("stop-balancer")
@platform_option
@output_option
@wait_option
@timeout_option
@click.argument("balancer")
def stop_balancer(
    platform: str, output: str, wait: bool, timeout: float, balancer: str
) -> None:
    """Stop a balancer once it receives no more packets from the fabric."""
    document = _make_change("stop-balancer", balancer)
    _submit_change(platform, output, document, wait=wait, timeout=timeout)


@click.command("rotate-keys")
@platform_option
@output_option
@wait_option
@timeout_option
def rotate_keys(platform: str, output: str, wait: bool, timeout: float) -> None:
    """Issue connection IDs under the next key; open flows keep their IDs."""
    document = _make_change("rotate-keys", "")
    _submit_change(platform, output, document, wait=wait, timeout=timeout)


@click.command()
@platform_option
@output_option
def status(platform: str, output: str) -> None:
    """Show the accepted generation, the cluster, each upstream and each node."""

    async def execute(client: Platform) -> int:
        kinds = (STATUS_KIND, CONFIGURATION_KIND, NODE_KIND)
        listing = await client.call(List(kinds=kinds))
        if not isinstance(listing, Listing):
            click.echo(f"shedsill: {listing}", err=True)
            return EXIT_UNAVAILABLE
        index = {(o.kind, o.name): o.value for o in listing.objects}
        accepted = index.get((CONFIGURATION_KIND, CONFIGURATION_NAME), {})
        view = {
            "accepted_generation": accepted.get("generation", 0),
            "cluster": index.get((STATUS_KIND, CLUSTER_STATUS_NAME), {}),
            "upstreams": [
                {key: u[key] for key in ("number", "name", "address", "state")}
                for u in accepted.get("upstreams", [])
            ],
            "nodes": {
                name: value.get("status")
                for (kind, name), value in index.items()
                if kind == NODE_KIND
            },
        }
        _print_value(view, output)
        return EXIT_OK

    run_with_platform(platform, execute)


@click.command()
@output_option
def events(output: str) -> None:
    """List the log events with their numbers, levels and texts."""
    rows = [
        {
            "number": event.value.number,
            "level": event.value.level.value,
            "name": event.name.lower(),
            "text": event.value.text,
        }
        for event in LogEvent
    ]
    if output == "json":
        click.echo(json.dumps(rows))
        return
    for row in rows:
        click.echo("{number} {level:<7} {name}: {text}".format(**row))
