"""Requests through fabric, balancer and agent, each in a process of its own."""

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

UPLOAD_BYTES = 1_000_000


@pytest.mark.parametrize(
    ("layouts", "claim_service", "upload_service"),
    [
        (PECAN_BOTTOM_LAYOUTS, "dispatcher", "intake"),
        (LJUBLJANA_LAYOUTS, "watchtower", "ledger"),
    ],
)
def test_stream_claim_and_upload_are_served(
    layouts: tuple[ServiceLayout, ...],
    claim_service: str,
    upload_service: str,
    tmp_path,
) -> None:
    async def check_services(cluster: Cluster) -> None:
        async with open_client(cluster.service_addresses[claim_service]) as client:
            stream_id, stream = client.send_request("GET", "/stream?interval=0.05")
            claim = await client.request("POST", "/claim", body=b"job-1")
            assert (claim.status, claim.outcome) == (200, "done")
            assert claim.body.startswith(claim_service.encode())
            await wait_for_body(stream, 40)
            assert not stream.is_interrupted
            client.cancel(stream_id)
        async with open_client(cluster.service_addresses[upload_service]) as client:
            body = b"x" * UPLOAD_BYTES
            upload = await client.request("POST", "/upload", body=body)
            assert upload.status == 200
            assert upload.body.startswith(upload_service.encode())
            assert str(UPLOAD_BYTES).encode() in upload.body

    with run_cluster(Cluster(layouts, str(tmp_path))) as cluster:
        asyncio.run(check_services(cluster))
