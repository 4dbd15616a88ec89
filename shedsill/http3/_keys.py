"""Keys derived from the cluster secret, connection IDs and tickets.

Every key is derived by HKDF from a secret that all nodes hold, so that a
rotation needs no secret to travel: the accepted configuration names an epoch,
and each node derives the key of that epoch.  Two secrets are valid while an
operator replaces one by the other.

A connection ID follows the published QUIC-LB draft: one octet (three bits of
configuration, five bits of length) and one AES-128 block.
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

CONNECTION_ID_LENGTH = 17
BLOCK_LENGTH = 16
KEY_SLOTS = 7
LENGTH_MASK = 0x1F
KEY_SLOT_SHIFT = 5
SECRET_LENGTH = 32
MAC_LENGTH = 16
RESET_TOKEN_LENGTH = 16

_BLOCK = struct.Struct(">IHI6s")
_TICKET = struct.Struct(">IIQd")


@frozen
class Route:
    """What a connection ID carries.

    Attributes
    ----------
    upstream, service : int
        Numbers of the accepted configuration; 32 and 16 bits.
    incarnation : int
        Drawn by an agent at each start; 32 bits.
    """

    upstream: int
    service: int
    incarnation: int


@frozen
class Ticket:
    """What an agent issues so that a caller may repeat a request.

    Attributes
    ----------
    number : int
        Unique within one incarnation; 64 bits.
    expires_at : float
        Wall-clock seconds after which a repeat is answered as unknown.
    """

    upstream: int
    incarnation: int
    number: int
    expires_at: float


def parse_secret(setting: str, text: str) -> bytes:
    """Read a cluster secret of 64 hexadecimal digits.

    Raises
    ------
    SettingError
        If `text` does not have that form.
    """
    allowed = f"{2 * SECRET_LENGTH} hexadecimal digits"
    try:
        secret = bytes.fromhex(text)
    except ValueError:
        raise SettingError(setting, "(hidden)", allowed) from None
    if len(secret) != SECRET_LENGTH:
        raise SettingError(setting, f"(hidden, {len(secret)} bytes)", allowed)
    return secret


@frozen
class KeyRing:
    """The keys that nodes share.

    Parameters
    ----------
    secrets : tuple of bytes
        The first one signs and mints; all of them verify and decode.

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
        """Make a connection ID; `nonce` has 6 octets."""
        slot = epoch % KEY_SLOTS
        block = _BLOCK.pack(route.upstream, route.service, route.incarnation, nonce)
        encryptor = _make_cipher(self.secrets[0], slot).encryptor()
        first = (slot << KEY_SLOT_SHIFT) | BLOCK_LENGTH
        return bytes((first,)) + encryptor.update(block)

    def decode_connection_id(self, cid: bytes) -> tuple[Route, ...]:
        """Return the routes that a connection ID may carry, likeliest first.

        An ID that no agent minted decodes to numbers that no configuration
        holds, but for a chance of about one in a billion.
        """
        if len(cid) != CONNECTION_ID_LENGTH or cid[0] & LENGTH_MASK != BLOCK_LENGTH:
            return ()
        slot = cid[0] >> KEY_SLOT_SHIFT
        if slot >= KEY_SLOTS:
            return ()
        return tuple(self._decode_route(secret, slot, cid) for secret in self.secrets)

    def _decode_route(self, secret: bytes, slot: int, cid: bytes) -> Route:
        block = _make_decryptor(secret, slot).update(cid[1:])
        upstream, service, incarnation, _nonce = _BLOCK.unpack(block)
        return Route(upstream, service, incarnation)

    def make_reset_token(self, cid: bytes) -> bytes:
        """Return the stateless reset token that belongs to a connection ID."""
        key = _derive_key(self.secrets[0], b"reset", 32)
        digest = hashlib.blake2b(cid, key=key, digest_size=RESET_TOKEN_LENGTH)
        return digest.digest()

    def make_tag(self, message: bytes) -> bytes:
        """Return the authentication tag of a frame between nodes."""
        return _make_mac(self.secrets[0], message)

    def verify_tag(self, tag: bytes, message: bytes) -> bool:
        """Whether a tag was made with one of the secrets."""
        return any(
            hmac.compare_digest(_make_mac(secret, message), tag)
            for secret in self.secrets
        )

    def encrypt_ticket(self, ticket: Ticket) -> str:
        """Encrypt a ticket into text that fits in a header."""
        plain = _TICKET.pack(
            ticket.upstream, ticket.incarnation, ticket.number, ticket.expires_at
        )
        sealed = AESSIV(_derive_key(self.secrets[0], b"ticket", 32)).encrypt(
            plain, None
        )
        return base64.urlsafe_b64encode(sealed).decode().rstrip("=")

    def decrypt_ticket(self, text: str) -> Ticket | None:
        """Decrypt a ticket; None where no agent of this cluster issued it."""
        try:
            sealed = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except ValueError:
            return None
        for secret in self.secrets:
            try:
                plain = AESSIV(_derive_key(secret, b"ticket", 32)).decrypt(sealed, None)
            except (InvalidTag, ValueError):
                continue
            return Ticket(*_TICKET.unpack(plain))
        return None


@functools.lru_cache(maxsize=64)
def _derive_key(secret: bytes, purpose: bytes, length: int) -> bytes:
    kdf = HKDF(algorithm=hashes.SHA256(), length=length, salt=None, info=purpose)
    return kdf.derive(secret)


@functools.lru_cache(maxsize=64)
def _make_cipher(secret: bytes, slot: int) -> Cipher:
    key = _derive_key(secret, b"connection-id %d" % slot, 16)
    return Cipher(algorithms.AES(key), modes.ECB())


@functools.lru_cache(maxsize=64)
def _make_decryptor(secret: bytes, slot: int) -> CipherContext:
    """Return a context to be kept: in ECB mode no block depends on another."""
    return _make_cipher(secret, slot).decryptor()


def _make_mac(secret: bytes, message: bytes) -> bytes:
    key = _derive_key(secret, b"frame", 32)
    return hashlib.blake2b(message, key=key, digest_size=MAC_LENGTH).digest()


def verify_message(ring: KeyRing, signed: bytes) -> bytes:
    """Check the tag in front of a message and return the message.

    Raises
    ------
    DecodeError
        If the tag is missing or wrong.
    """
    tag, message = signed[:MAC_LENGTH], signed[MAC_LENGTH:]
    if len(tag) < MAC_LENGTH or not ring.verify_tag(tag, message):
        raise DecodeError(f"an envelope of {len(signed)} octets has a bad tag")
    return message


def sign_message(ring: KeyRing, message: bytes) -> bytes:
    """Put the authentication tag in front of a message."""
    return ring.make_tag(message) + message
