"""HTTP client for other agents."""

from __future__ import annotations

import aiohttp
from attrs import frozen

from shedsill._addresses import Address
from shedsill.errors import DecodeError
from shedsill.http3._answers import RecordedAnswer
from shedsill.http3._keys import KeyRing
from shedsill.http3._peers import (
    Handover,
    PeerRequest,
    decode_peer_answer,
    encode_handover,
    encode_peer_request,
)

PEER_REQUEST_PATH = "/peer/request"
PEER_HANDOVER_PATH = "/peer/handover"
PEER_ANSWER_TIMEOUT_SECONDS = 60.0
PEER_CONNECT_TIMEOUT_SECONDS = 1.0
HTTP_OK = 200
HTTP_GONE = 410


@frozen
class PeerClient:
    """Sends requests and outcome records to other agents."""

    http: aiohttp.ClientSession
    keys: KeyRing

    async def forward_request(
        self, peer: Address, request: PeerRequest
    ) -> tuple[RecordedAnswer | None, bool]:
        """Return the answer, if any, and whether the request was not accepted."""
        url = f"http://{peer}{PEER_REQUEST_PATH}"
        limit = aiohttp.ClientTimeout(
            total=PEER_ANSWER_TIMEOUT_SECONDS, sock_connect=PEER_CONNECT_TIMEOUT_SECONDS
        )
        data = encode_peer_request(self.keys, request)
        try:
            async with self.http.post(url, data=data, timeout=limit) as response:
                if response.status == HTTP_GONE:
                    return None, True
                return decode_peer_answer(self.keys, await response.read()), False
        except aiohttp.ClientConnectorError:
            return None, True
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError):
            return None, False

    async def send_handover(self, peer: Address, handover: Handover) -> bool:
        """Send outcome records; return whether the successor confirmed them."""
        url = f"http://{peer}{PEER_HANDOVER_PATH}"
        data = encode_handover(self.keys, handover)
        try:
            async with self.http.post(url, data=data) as response:
                return response.status == HTTP_OK
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False
