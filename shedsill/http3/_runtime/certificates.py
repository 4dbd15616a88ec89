"""Loading and rotation of an agent's certificate.

A new certificate is used for new connections only.
"""

from __future__ import annotations

import hashlib
import pathlib
import random
from typing import Any

from aioquic.tls import load_pem_private_key, load_pem_x509_certificates
from attrs import define, frozen

from shedsill._catalogue import LogEvent
from shedsill.coordination.platform import Found, Get, Platform
from shedsill.errors import SettingError
from shedsill.http3._effects import WriteLog

CERTIFICATE_KIND = "certificate"
PLATFORM_PREFIX = "platform:"
PEM_PREFIX = "-----BEGIN"
REFRESH_SECONDS = 30.0


@frozen(kw_only=True)
class LoadedCertificate:
    """A certificate, the rest of its chain, and the private key."""

    certificate: Any
    chain: tuple[Any, ...]
    private_key: Any


@define
class CertificateLoader:
    """Loads the certificate from settings, files or a platform object.

    Attributes
    ----------
    certificate, private_key : str
        PEM text, the path of a PEM file, or ``platform:NAME`` for the platform object
        of that name, whose value has ``certificate`` and ``private_key``.
    """

    certificate: str
    private_key: str = ""
    _loaded_digest: str = ""

    def get_refresh_delay(self) -> float:
        """Return the seconds until the next refresh, with jitter."""
        return REFRESH_SECONDS * random.uniform(0.75, 1.25)

    async def load(
        self, platform: Platform
    ) -> tuple[WriteLog | None, LoadedCertificate | None]:
        """Return a log entry and the certificate, if it has changed."""
        try:
            texts = await self._read(platform)
            if texts is None:
                return _make_failure("the platform did not answer"), None
            certificate, private_key = texts
            digest = hashlib.blake2b((certificate + private_key).encode()).hexdigest()
            if digest == self._loaded_digest:
                return None, None
            loaded = parse_certificate(certificate, private_key)
        except (OSError, ValueError, IndexError, TypeError) as error:
            return _make_failure(str(error)), None
        self._loaded_digest = digest
        fields = {"digest": digest[:12]}
        return WriteLog(event=LogEvent.CERTIFICATE_LOADED, fields=fields), loaded

    async def _read(self, platform: Platform) -> tuple[str, str] | None:
        if self.certificate.startswith(PLATFORM_PREFIX):
            name = self.certificate.removeprefix(PLATFORM_PREFIX)
            outcome = await platform.call(Get(kind=CERTIFICATE_KIND, name=name))
            if not isinstance(outcome, Found) or outcome.object is None:
                return None
            value = outcome.object.value
            return str(value.get("certificate")), str(value.get("private_key"))
        return read_pem(self.certificate), read_pem(self.private_key)


def read_pem(source: str) -> str:
    """Return the PEM text that a setting contains or that its file holds."""
    if source.startswith(PEM_PREFIX):
        return source
    return pathlib.Path(source).read_text()


def parse_certificate(certificate: str, private_key: str) -> LoadedCertificate:
    """Parse PEM texts; raises ValueError if they are invalid."""
    chain = load_pem_x509_certificates(certificate.encode())
    return LoadedCertificate(
        certificate=chain[0],
        chain=tuple(chain[1:]),
        private_key=load_pem_private_key(private_key.encode()),
    )


def check_certificate(setting: str, certificate: str, private_key: str) -> None:
    """Raise `SettingError` if certificate settings are invalid."""
    if certificate.startswith(PLATFORM_PREFIX):
        return
    allowed = "PEM text, the path of a PEM file, or platform:NAME"
    try:
        parse_certificate(read_pem(certificate), read_pem(private_key))
    except (OSError, ValueError, IndexError, TypeError):
        shown = certificate if PEM_PREFIX not in certificate else "(PEM text)"
        raise SettingError(setting, shown, allowed) from None


def _make_failure(reason: str) -> WriteLog:
    return WriteLog(event=LogEvent.CERTIFICATE_FAILED, fields={"reason": reason})


__all__ = [
    "CertificateLoader",
    "LoadedCertificate",
    "check_certificate",
    "parse_certificate",
    "read_pem",
]
