"""The whole path through separate processes."""

from __future__ import annotations

import asyncio

import pytest

from shedsill.testing.client import open_client, wait_for_body
from shedsill.testing.documents import (
    LJUBLJANA_LAYOUTS,
    PECAN_BOTTOM_LAYOUTS,
    ServiceLayout,
)
from shedsill.testing.processes import Cluster, run_cluster

UPLOAD_SIZE = 1_000_000


@pytest.mark.parametrize(
    ("layouts", "short", "bulk"),
    [
        (PECAN_BOTTOM_LAYOUTS, "dispatcher", "intake"),
        (LJUBLJANA_LAYOUTS, "watchtower", "ledger"),
    ],
)
def test_serves_stream_claim_and_upload(
    layouts: tuple[ServiceLayout, ...], short: str, bulk: str, tmp_path
) -> None:
    async def use(cluster: Cluster) -> None:
        async with open_client(cluster.service_addresses[short]) as client:
            stream_id, stream = client.send_request("GET", "/stream?interval=0.05")
            claim = await client.request("POST", "/claim", body=b"job-1")
            assert (claim.status, claim.outcome) == (200, "done")
            assert claim.body.startswith(short.encode())
            await wait_for_body(stream, 40)
            assert not stream.is_interrupted
            client.cancel(stream_id)
        async with open_client(cluster.service_addresses[bulk]) as client:
            body = b"x" * UPLOAD_SIZE
            upload = await client.request("POST", "/upload", body=body)
            assert upload.status == 200
            assert upload.body.startswith(bulk.encode())
            assert str(UPLOAD_SIZE).encode() in upload.body

    with run_cluster(Cluster(layouts, str(tmp_path))) as cluster:
        asyncio.run(use(cluster))
