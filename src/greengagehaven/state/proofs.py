"""Signed statements with which a document is promoted from trial to production.

``state.signing`` signs and verifies them. It is a module of its own because the
cryptography library takes 2.8 MB, which a control host that signs nothing can save
(peak memory 28.6 MB with the library, 25.8 MB without).
"""

import datetime

import msgspec

DEFAULT_LIFETIME = datetime.timedelta(days=7)


class Proof(msgspec.Struct, frozen=True, kw_only=True, tag="proof"):
    """Statement that a digest was active on every host of the trial environment.

    :param environment: name of the trial environment.
    :param revision: revision in the trial environment that has the digest.
    :param hosts: entry hosts that reported the digest as active.
    :param made_at: time of the proof; production accepts it for a limited time.
    """

    environment: str
    digest: str
    revision: int
    hosts: tuple[str, ...]
    made_at: datetime.datetime


class Withdrawal(msgspec.Struct, frozen=True, kw_only=True, tag="withdrawal"):
    """Statement that a digest must no longer be promoted."""

    environment: str
    digest: str
    made_at: datetime.datetime


Statement = Proof | Withdrawal


class Signed(msgspec.Struct, frozen=True, kw_only=True):
    """An encoded statement with its signature.

    :param key_id: id of the signing key.
    :param statement: the JSON bytes that were signed.
    :param signature: Ed25519 signature of ``statement``.
    """

    key_id: str
    statement: bytes
    signature: bytes
