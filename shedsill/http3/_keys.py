"""Keys derived from the cluster secret, connection IDs and tickets.

All keys are derived by HKDF from a secret that all nodes share.  A key rotation
only changes the epoch in the accepted configuration, from which each node derives
the new key; no key is transmitted.  Two secrets are valid while an operator
replaces one with the other.

Connection IDs follow the QUIC-LB draft: one byte (three bits of config ID,
five bits of length) and one AES-128 block.
"""

from __future__ import annotations

import base64
import functools
import hashlib
import hmac
import struct

from attrs import field, frozen
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.ciphers import (
    Cipher,
    CipherContext,
    algorithms,
    modes,
)
from cryptography.hazmat.primitives.ciphers.aead import AESSIV
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from shedsill.errors import DecodeError, SettingError

CONNECTION_ID_LENGTH = 17  # bytes
BLOCK_BYTES = 16
CONFIG_ID_COUNT = 7  # values of three bits; QUIC-LB reserves 0b111
LENGTH_MASK = 0x1F
CONFIG_ID_SHIFT = 5
SECRET_BYTES = 32
MAC_BYTES = 16
RESET_TOKEN_BYTES = 16

_BLOCK = struct.Struct(">IHI6s")
_TICKET = struct.Struct(">IIQd")


@frozen
class Route:
    """Content of a connection ID.

    Attributes
    ----------
    upstream, service : int
        Numbers from the accepted configuration; 32 and 16 bits.
    incarnation : int
        Incarnation of the agent's process; 32 bits.
    """

    upstream: int
    service: int
    incarnation: int


@frozen
class Ticket:
    """Token with which a caller can safely retry a request.

    Attributes
    ----------
    number : int
        Unique within one incarnation; 64 bits.
    expires_at : float
        Time on the issuer's monotonic clock, in seconds, after which a retry is
        answered as unknown.
    """

    upstream: int
    incarnation: int
    number: int
    expires_at: float


def parse_secret(setting: str, text: str) -> bytes:
    """Parse a cluster secret of 64 hexadecimal digits.

    Raises
    ------
    SettingError
        If `text` is not valid.
    """
    allowed = f"{2 * SECRET_BYTES} hexadecimal digits"
    try:
        secret = bytes.fromhex(text)
    except ValueError:
        raise SettingError(setting, "(hidden)", allowed) from None
    if len(secret) != SECRET_BYTES:
        raise SettingError(setting, f"(hidden, {len(secret)} bytes)", allowed)
    return secret


@frozen
class KeyRing:
    """Keys shared by all nodes.

    Parameters
    ----------
    secrets : tuple of bytes
        Cluster secrets.  The first one is used to create tags, connection IDs and
        tickets; all are used to verify and decode them.

    Examples
    --------
    >>> ring = KeyRing((bytes(32),))
    >>> cid = ring.make_connection_id(Route(7, 2, 99), epoch=1, nonce=b"abcdef")
    >>> len(cid)
    17
    >>> ring.decode_connection_id(cid)
    (Route(upstream=7, service=2, incarnation=99),)
    """

    secrets: tuple[bytes, ...] = field(repr=False)

    def make_connection_id(self, route: Route, *, epoch: int, nonce: bytes) -> bytes:
        """Create a connection ID; `nonce` has 6 bytes."""
        config_id = epoch % CONFIG_ID_COUNT
        block = _BLOCK.pack(route.upstream, route.service, route.incarnation, nonce)
        encryptor = _make_cipher(self.secrets[0], config_id).encryptor()
        first = (config_id << CONFIG_ID_SHIFT) | BLOCK_BYTES
        return bytes((first,)) + encryptor.update(block)

    def decode_connection_id(self, cid: bytes) -> tuple[Route, ...]:
        """Return one possible route per secret, that of the first secret first.

        An ID that no agent issued decodes to random numbers, which match a
        configured upstream with a probability of about one in a billion.
        """
        if len(cid) != CONNECTION_ID_LENGTH or cid[0] & LENGTH_MASK != BLOCK_BYTES:
            return ()
        config_id = cid[0] >> CONFIG_ID_SHIFT
        if config_id >= CONFIG_ID_COUNT:
            return ()
        return tuple(
            self._decode_route(secret, config_id, cid) for secret in self.secrets
        )

    def _decode_route(self, secret: bytes, config_id: int, cid: bytes) -> Route:
        block = _make_decryptor(secret, config_id).update(cid[1:])
        upstream, service, incarnation, _nonce = _BLOCK.unpack(block)
        return Route(upstream, service, incarnation)

    def make_reset_token(self, cid: bytes) -> bytes:
        """Return the stateless reset token of a connection ID."""
        key = _derive_key(self.secrets[0], b"reset", 32)
        digest = hashlib.blake2b(cid, key=key, digest_size=RESET_TOKEN_BYTES)
        return digest.digest()

    def make_tag(self, message: bytes) -> bytes:
        """Return the authentication tag of a message between nodes."""
        return _make_mac(self.secrets[0], message)

    def verify_tag(self, tag: bytes, message: bytes) -> bool:
        """Whether a tag was created with one of the secrets."""
        return any(
            hmac.compare_digest(_make_mac(secret, message), tag)
            for secret in self.secrets
        )

    def encrypt_ticket(self, ticket: Ticket) -> str:
        """Encrypt a ticket to base64url text for a header."""
        plain = _TICKET.pack(
            ticket.upstream, ticket.incarnation, ticket.number, ticket.expires_at
        )
        encrypted = AESSIV(_derive_key(self.secrets[0], b"ticket", 32)).encrypt(
            plain, None
        )
        return base64.urlsafe_b64encode(encrypted).decode().rstrip("=")

    def decrypt_ticket(self, text: str) -> Ticket | None:
        """Decrypt a ticket; None if no agent of this cluster issued it."""
        try:
            encrypted = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except ValueError:
            return None
        for secret in self.secrets:
            try:
                plain = AESSIV(_derive_key(secret, b"ticket", 32)).decrypt(
                    encrypted, None
                )
            except (InvalidTag, ValueError):
                continue
            return Ticket(*_TICKET.unpack(plain))
        return None


@functools.lru_cache(maxsize=64)
def _derive_key(secret: bytes, purpose: bytes, length: int) -> bytes:
    kdf = HKDF(algorithm=hashes.SHA256(), length=length, salt=None, info=purpose)
    return kdf.derive(secret)


@functools.lru_cache(maxsize=64)
def _make_cipher(secret: bytes, config_id: int) -> Cipher:
    key = _derive_key(secret, b"connection-id %d" % config_id, 16)
    return Cipher(algorithms.AES(key), modes.ECB())


@functools.lru_cache(maxsize=64)
def _make_decryptor(secret: bytes, config_id: int) -> CipherContext:
    """Return a reusable context; in ECB mode blocks are independent."""
    return _make_cipher(secret, config_id).decryptor()


def _make_mac(secret: bytes, message: bytes) -> bytes:
    key = _derive_key(secret, b"frame", 32)
    return hashlib.blake2b(message, key=key, digest_size=MAC_BYTES).digest()


def verify_message(ring: KeyRing, signed: bytes) -> bytes:
    """Verify the tag in front of a message and return the message.

    Raises
    ------
    DecodeError
        If the tag is missing or wrong.
    """
    tag, message = signed[:MAC_BYTES], signed[MAC_BYTES:]
    if len(tag) < MAC_BYTES or not ring.verify_tag(tag, message):
        raise DecodeError(f"message of {len(signed)} bytes has an invalid tag")
    return message


def sign_message(ring: KeyRing, message: bytes) -> bytes:
    """Return a message with its authentication tag in front."""
    return ring.make_tag(message) + message
