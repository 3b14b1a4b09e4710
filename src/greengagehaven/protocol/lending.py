"""Messages by which an entry host borrows room for extra attempts."""

import msgspec


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask for room.

    :param services: one for each attempt that is wanted.
    """

    services: tuple[str, ...]


class Loan(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is lent.

    :param services: one for each attempt, of those that were asked for.
    """

    services: tuple[str, ...]
