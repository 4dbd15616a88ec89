"""Self-signed certificates for tests and the quickstart."""

from __future__ import annotations

import datetime

from attrs import frozen
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

TEST_HOST_NAME = "service.example"
VALIDITY = datetime.timedelta(days=30)


@frozen(kw_only=True)
class TestCertificate:
    """A self-signed certificate and its key, as PEM text."""

    certificate: str
    private_key: str


def make_certificate(host_name: str = TEST_HOST_NAME) -> TestCertificate:
    """Create a self-signed certificate, valid `VALIDITY` before and after now."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, host_name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(host_name)]), False)
        .sign(key, hashes.SHA256())
    )
    return TestCertificate(
        certificate=certificate.public_bytes(serialization.Encoding.PEM).decode(),
        private_key=key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ).decode(),
    )
