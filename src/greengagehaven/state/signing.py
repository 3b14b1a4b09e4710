"""Signing and verification of statements about documents.

A statement is signed in its encoded form (JSON bytes, Ed25519, RFC 8032, with the
``cryptography`` library), so that the signature is verified before it is decoded.
"""

import datetime
import hashlib
import typing

import cryptography.exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from greengagehaven import exceptions
from greengagehaven.protocol import codec
from greengagehaven.state import proofs

KEY_ID_LENGTH = 16


class Signer:
    """Signs statements with the trial environment's key.

    :param private_key_pem: Ed25519 key in PEM (PKCS 8), not encrypted.
    :raises SettingError: the key is invalid.
    """

    def __init__(self, *, private_key_pem: bytes) -> None:
        key = _load_key(private_key_pem, private=True)
        self._key = typing.cast(ed25519.Ed25519PrivateKey, key)
        self._key_id = _key_id(self._key.public_key())

    def sign(self, statement: proofs.Statement) -> bytes:
        """Return a signed statement, encoded as JSON."""
        data = codec.encode_json(statement)
        signed = proofs.Signed(
            key_id=self._key_id, statement=data, signature=self._key.sign(data)
        )
        return codec.encode_json(signed)


class Verifier:
    """Verifies statements with the keys that production trusts.

    :param public_keys_pem: Ed25519 keys in PEM.
    :param lifetime: maximum age of a proof.
    :raises SettingError: a key is invalid.
    """

    def __init__(
        self,
        *,
        public_keys_pem: typing.Sequence[bytes],
        lifetime: datetime.timedelta = proofs.DEFAULT_LIFETIME,
    ) -> None:
        keys = [_load_key(pem, private=False) for pem in public_keys_pem]
        self._keys_by_id = {_key_id(key): key for key in keys}
        self._lifetime = lifetime

    def check_proof(
        self, data: bytes, *, digest: str, now: datetime.datetime
    ) -> proofs.Proof:
        """Verify a signed proof of a digest and return it.

        :raises ProofError: the proof is missing, signed by an untrusted key, altered,
            for another digest or too old.
        """
        if not data:
            raise exceptions.ProofError(f"digest {digest} comes without a proof")
        proof = self._verify(data)
        if not isinstance(proof, proofs.Proof):
            raise exceptions.ProofError("the statement is not a proof")
        if proof.digest != digest:
            raise exceptions.ProofError(
                f"the proof is for digest {proof.digest}, the document has {digest}"
            )
        if now - proof.made_at > self._lifetime:
            made_at = proof.made_at.isoformat()
            raise exceptions.ProofError(
                f"the proof was made at {made_at}, longer than {self._lifetime} ago"
            )
        return proof

    def check_withdrawal(self, data: bytes, *, digest: str) -> proofs.Withdrawal:
        """Verify a signed withdrawal of a digest and return it.

        :raises ProofError: the statement isn't a withdrawal of the digest, or isn't
            signed by a trusted key.
        """
        withdrawal = self._verify(data)
        if not isinstance(withdrawal, proofs.Withdrawal) or withdrawal.digest != digest:
            raise exceptions.ProofError(f"the statement does not withdraw {digest}")
        return withdrawal

    def _verify(self, data: bytes) -> proofs.Statement:
        try:
            signed = codec.decode_json(data, proofs.Signed, place="proof")
        except exceptions.InvalidRequestError as error:
            raise exceptions.ProofError(error.detail) from error
        key = self._keys_by_id.get(signed.key_id)
        if key is None:
            raise exceptions.ProofError(
                f"the proof was signed by key {signed.key_id}, which is not trusted"
            )
        try:
            key.verify(signed.signature, signed.statement)
        except cryptography.exceptions.InvalidSignature as error:
            raise exceptions.ProofError("the signature does not match") from error
        return codec.decode_json(signed.statement, proofs.Statement, place="proof")


def _load_key(pem: bytes, *, private: bool):
    try:
        if private:
            key = serialization.load_pem_private_key(pem, password=None)
        else:
            key = serialization.load_pem_public_key(pem)
    except (ValueError, TypeError) as error:
        raise _invalid_key_error(private) from error
    key_type = ed25519.Ed25519PrivateKey if private else ed25519.Ed25519PublicKey
    if not isinstance(key, key_type):
        raise _invalid_key_error(private)
    return key


def _invalid_key_error(private: bool) -> exceptions.SettingError:
    name = "signing key" if private else "trusted key"
    expected = "an Ed25519 key in PEM, not encrypted"
    return exceptions.SettingError(place=name, value="...", expected=expected)


def _key_id(key: ed25519.Ed25519PublicKey) -> str:
    raw = key.public_bytes_raw()
    return hashlib.sha256(raw).hexdigest()[:KEY_ID_LENGTH]
