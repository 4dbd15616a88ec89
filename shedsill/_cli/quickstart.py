"""Command ``shedsill quickstart``: the whole system in one process, on loopback.

It applies a configuration, sends claims and a stream through two balancers and
three agents, drains the upstream that serves the stream, and prints the results.
"""

from __future__ import annotations

import asyncio
import sys

import click

from shedsill._cli.document_writer import Written, write_document
from shedsill._cli.exit_codes import EXIT_FAILED, EXIT_OK
from shedsill.http3._resources import parse_documents
from shedsill.http3._runtime.log import configure_logging

SERVICE = "dispatcher"
STREAM_PATH = "/stream?interval=0.05"
STATUS_TIMEOUT_SECONDS = 20.0
STREAM_BYTES = 60


@click.command()
@click.option("--serve", is_flag=True, help="Keep running and print commands to try.")
@click.option(
    "--log-level",
    type=click.Choice(["TRACE", "DEBUG", "INFO", "WARNING", "ERROR"]),
    default="WARNING",
    show_default=True,
)
def quickstart(serve: bool, log_level: str) -> None:
    """Run the system in one process, with a test platform and test upstreams."""
    configure_logging(level=log_level, as_json=False)
    sys.exit(asyncio.run(_run(serve=serve, log_level=log_level)))


async def _run(*, serve: bool, log_level: str) -> int:
    # Imported here so that balancers and agents do not load the testing modules.
    from shedsill.testing.documents import make_layout
    from shedsill.testing.embedded import EmbeddedSystem

    system = EmbeddedSystem(
        (make_layout(SERVICE, count=3, slots=3),), log_level=log_level
    )
    await system.start()
    try:
        await _apply_documents(system)
        if serve:
            return await _serve(system)
        return await _run_demonstration(system)
    finally:
        await system.stop()


async def _apply_documents(system) -> None:
    platform = system.make_platform_client()
    for document in parse_documents(system.documents):
        result = await write_document(platform, document)
        kind = type(document.resource).__name__
        assert isinstance(result, Written), result
        click.echo(f"applied   {kind} {document.resource.name}")
    await system.wait_ready()
    generation = next(iter(system.balancers.values())).get_status()["generation"]
    click.echo(f"accepted  generation {generation}, in force on all nodes")


async def _run_demonstration(system) -> int:
    from shedsill.testing.client import open_client, wait_for_body

    address = system.service_addresses[SERVICE]
    async with open_client(address) as client:
        stream_id, stream = client.send_request("GET", STREAM_PATH)
        claim = await client.request("POST", "/claim", body=b"job-1")
        click.echo(f"claim     {claim.status} {claim.body.decode().strip()}")
        headers = {"idempotency-key": claim.ticket}
        first = await client.request("POST", "/claim", body=b"job-2", headers=headers)
        repeated = await client.request(
            "POST", "/claim", body=b"job-2", headers=headers
        )
        same_body = first.body == repeated.body
        click.echo(f"repeat    same answer, run once: {same_body}")
        await wait_for_body(stream, STREAM_BYTES)
        name = stream.body.split()[0].decode()
        draining = await _start_drain(system, name)
        received_bytes = len(stream.body)
        await wait_for_body(stream, received_bytes + STREAM_BYTES)
        refused = await client.request("POST", "/claim", body=b"job-3")
        click.echo(
            f"drain     {name}: stream still open: {not stream.is_interrupted}; "
            f"new claim on its connection: {refused.status} {refused.outcome}"
        )
        stream_open = not stream.is_interrupted
        client.cancel(stream_id)
    async with open_client(address) as client:
        reconnected = await client.request("POST", "/claim", body=b"job-3")
        click.echo(
            f"moved     {reconnected.status} {reconnected.body.decode().strip()}"
        )
    drained = await _wait_until_drained(system, name)
    click.echo(f"drained   {name}: {drained}")
    succeeded = (
        same_body and draining and drained and stream_open and reconnected.status == 200
    )
    return EXIT_OK if succeeded else EXIT_FAILED


async def _start_drain(system, name: str) -> bool:
    text = f"{{kind: Change, name: drain-{name}, spec: "
    text += f"{{action: drain, target: {name}}}}}"
    document = parse_documents(text)[0]
    await write_document(system.make_platform_client(), document)
    return await _wait_for_status(system, name, "leaving")


async def _wait_until_drained(system, name: str) -> bool:
    return await _wait_for_status(system, name, "drained")


async def _wait_for_status(system, name: str, field: str) -> bool:
    try:
        async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
            while not system.agents[name].get_status()[field]:
                await asyncio.sleep(0.05)
    except TimeoutError:
        return False
    return True


async def _serve(system) -> int:
    address = system.service_addresses[SERVICE]
    click.echo(f"service   {SERVICE} at {address} (HTTP/3)")
    click.echo(f"platform  {system.platform_url}")
    for name, balancer in system.balancers.items():
        click.echo(f"control   {name} at http://{balancer.control.address}/status")
    click.echo("certificate (self-signed, for service.example):")
    click.echo(system.certificate.certificate.rstrip())
    click.echo("try:")
    click.echo(f"  python -m shedsill.testing.request POST {address} /claim job-1")
    click.echo(f"  shedsill status --platform {system.platform_url}")
    click.echo("press ctrl-c to stop", nl=True)
    sys.stdout.flush()
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        return EXIT_OK
    return EXIT_OK
