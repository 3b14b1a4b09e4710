"""Signing keys, and certificates for loopback listeners."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519

LOOPBACK = ipaddress.ip_address("127.0.0.1")
DAY = datetime.timedelta(days=1)


def write_certificate(folder):
    """Write a self-signed certificate; return (certificate, key) paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.oid.NameOID.COMMON_NAME, "loopback")])
    now = datetime.datetime.now(tz=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(LOOPBACK)]), critical=False
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    paths = (folder / "certificate.pem", folder / "key.pem")
    encoding = serialization.Encoding.PEM
    paths[0].write_bytes(certificate.public_bytes(encoding))
    paths[1].write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return paths


def key_pair(number):
    """Return a deterministic Ed25519 key pair as (private, public) PEM."""
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes([number]) * 32)
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    public = key.public_key().public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    return private, public
