"""Keys for proofs, the same in every run."""

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519


def key_pair(number):
    """Return the PEMs of a private and a public key."""
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
