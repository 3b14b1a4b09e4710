"""Limit of the memory that the replies of all connections of a host take together."""

import typing


class Receiver(typing.Protocol):
    """A connection that receives a reply."""

    def abort(self, detail: str) -> None:
        """Close the connection immediately and discard what it received."""


class ReceiveBudget:
    """Counts the bytes of incomplete replies; aborts the largest above the limit.

    Each reply has a limit of its own. Many that do not end would exceed the memory of
    the process long before one of them reaches it.

    :param limit: bytes of all incomplete replies together.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._total = 0
        self._bytes_by_receiver: dict[Receiver, int] = {}

    def add(self, receiver: Receiver, count: int) -> None:
        """Count received bytes, which may abort this receiver or another one."""
        self._total += count
        self._bytes_by_receiver[receiver] = (
            self._bytes_by_receiver.get(receiver, 0) + count
        )
        if self._total > self._limit:
            largest = max(
                self._bytes_by_receiver, key=self._bytes_by_receiver.__getitem__
            )
            self.release(largest)
            largest.abort(f"incomplete replies exceed {self._limit} bytes in all")

    def release(self, receiver: Receiver) -> None:
        """Forget the bytes of a receiver whose reply is complete or discarded."""
        self._total -= self._bytes_by_receiver.pop(receiver, 0)
