"""Messages by which an entry host borrows budget for extra attempts."""

import msgspec


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Request for a loan.

    :param services: service of each extra attempt that the sender wants to make.
    """

    services: tuple[str, ...]


class Loan(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Granted part of a loan request.

    :param services: service of each granted attempt, out of the requested ones.
    """

    services: tuple[str, ...]
