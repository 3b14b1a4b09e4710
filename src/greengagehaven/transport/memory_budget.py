"""Limit of the memory that messages of all connections of a host take together."""

import typing


class Holder(typing.Protocol):
    """A connection that holds bytes of a message."""

    def abort(self, detail: str) -> typing.Any:
        """Close the connection immediately and discard what it holds."""


class MemoryBudget:
    """Counts the bytes that connections hold; aborts the largest above the limit.

    Each message has a limit of its own. Many that do not end, or that nobody reads,
    would exceed the memory of the process long before one of them reaches it.

    :param limit: bytes of all messages together.
    :param messages: what they are, for the reason of an abort.
    """

    def __init__(self, *, limit: int, messages: str) -> None:
        self._limit = limit
        self._messages = messages
        self._total = 0
        self._bytes_by_holder: dict[Holder, int] = {}

    @property
    def total(self) -> int:
        """Return the bytes that all connections hold."""
        return self._total

    def add(self, holder: Holder, count: int) -> None:
        """Count bytes, which may abort the connection that holds them or another."""
        self._total += count
        self._bytes_by_holder[holder] = self._bytes_by_holder.get(holder, 0) + count
        if self._total > self._limit:
            largest = max(self._bytes_by_holder, key=self._bytes_by_holder.__getitem__)
            self.release(largest)
            largest.abort(f"{self._messages} exceed {self._limit} bytes in all")

    def release(self, holder: Holder) -> None:
        """Forget the bytes of a message that is complete or discarded."""
        self._total -= self._bytes_by_holder.pop(holder, 0)
