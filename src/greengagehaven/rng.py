"""Interface of the random number generator that is passed to the decision core.

``random.Random`` implements it; replays and tests pass a seeded one.
"""

import typing
from collections import abc

T = typing.TypeVar("T")


class Rng(typing.Protocol):
    """Methods of ``random.Random`` that the project uses."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Return a float between ``a`` and ``b``."""

    def randrange(self, start: int, stop: int | None = None) -> int:
        """Return an integer in [start, stop)."""

    def choice(self, seq: abc.Sequence[T]) -> T:
        """Return a random element of a non-empty sequence."""

    def sample(self, population: abc.Sequence[T], k: int) -> list[T]:
        """Return ``k`` elements sampled without replacement."""

    def shuffle(self, x: list) -> None:
        """Shuffle a list in place."""
