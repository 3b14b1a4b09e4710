"""Signed statements that carry a document from trial to production.

``state.signing`` signs and checks them; it is apart because its library takes
2.8 MB of a control host that signs nothing (peak 28.6 MB with it, 25.8 without).
"""

import datetime

import msgspec

DEFAULT_LIFETIME = datetime.timedelta(days=7)


class Proof(msgspec.Struct, frozen=True, kw_only=True, tag="proof"):
    """A digest was in force on every host of the trial environment.

    :param environment: name of the trial environment.
    :param revision: in force there.
    :param hosts: entry hosts that reported it.
    :param made_at: when it was made; production takes it for a bounded time.
    """

    environment: str
    digest: str
    revision: int
    hosts: tuple[str, ...]
    made_at: datetime.datetime


class Withdrawal(msgspec.Struct, frozen=True, kw_only=True, tag="withdrawal"):
    """A digest must not be promoted any more."""

    environment: str
    digest: str
    made_at: datetime.datetime


Statement = Proof | Withdrawal


class Signed(msgspec.Struct, frozen=True, kw_only=True):
    """A statement as it travels, with its signature."""

    key_id: str
    statement: bytes
    signature: bytes
