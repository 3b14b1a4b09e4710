"""Test certificates for loopback and for the hosts of an environment."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid


def write_certificate(folder, name, issuer=None):
    """Write NAME.crt and NAME.key and return them as an issuer.

    Without an issuer the certificate is self-signed and a certificate authority.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    signer_name, signer_key = issuer or (subject, key)
    now = datetime.datetime.now(tz=datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    names = [address, x509.DNSName("greengagehaven")]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(signer_name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .add_extension(
            x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True
        )
        .sign(signer_key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / f"{name}.crt").write_bytes(certificate.public_bytes(pem))
    private = key.private_bytes(
        pem,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (folder / f"{name}.key").write_bytes(private)
    return subject, key
