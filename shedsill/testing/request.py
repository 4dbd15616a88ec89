"""Sends one HTTP/3 request from the command line."""

from __future__ import annotations

import asyncio

import click

from shedsill._addresses import parse_address
from shedsill.testing.client import open_client


async def _send(method: str, address: str, path: str, body: str, key: str) -> None:
    headers = {"idempotency-key": key} if key else {}
    async with open_client(parse_address(address)) as client:
        response = await client.request(
            method, path, body=body.encode(), headers=headers
        )
    for name, value in response.headers.items():
        click.echo(f"{name}: {value}")
    click.echo(response.body.decode(errors="replace"))


@click.command()
@click.argument("method")
@click.argument("address")
@click.argument("path")
@click.argument("body", default="")
@click.option(
    "--key",
    default="",
    help="Idempotency key, such as the ticket of an earlier response.",
)
def main(method: str, address: str, path: str, body: str, key: str) -> None:
    """Send one request to a service address and print the response."""
    asyncio.run(_send(method, address, path, body, key))


if __name__ == "__main__":
    main()
