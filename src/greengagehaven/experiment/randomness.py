"""Random number streams, one per part of the simulation.

Separate streams give all policies the same load: numbers drawn by one part don't shift
those of another.
"""

import typing
from collections import abc

import numpy

T = typing.TypeVar("T")

PARTS = ("places", "arrivals", "troubles", "hosts", "machines", "links")


def stream(seed: int, part: str, number: int = 0) -> numpy.random.Generator:
    """Return the generator of one part of the simulation.

    :param part: one of ``PARTS``.
    :param number: distinguishes the streams of one part, such as those of hosts.
    """
    key = numpy.random.SeedSequence((seed, PARTS.index(part), number))
    return numpy.random.Generator(numpy.random.PCG64(key))


class HostRng:
    """Random number generator of routers and upstreams; implements ``rng.Rng``.

    Floats are drawn in blocks, as drawing them one by one takes ten times as long.
    """

    BLOCK_SIZE = 1024

    def __init__(self, *, generator: numpy.random.Generator) -> None:
        self._generator = generator
        self._block: list[float] = []

    def random(self) -> float:
        """Return a float in [0, 1)."""
        if not self._block:
            self._block = self._generator.random(self.BLOCK_SIZE).tolist()
        return self._block.pop()

    def uniform(self, a: float, b: float) -> float:
        """Return a float between ``a`` and ``b``."""
        return a + (b - a) * self.random()

    def randrange(self, start: int, stop: int | None = None) -> int:
        """Return an integer in [start, stop)."""
        low, high = (0, start) if stop is None else (start, stop)
        return low + int(self.random() * (high - low))

    def choice(self, seq: abc.Sequence[T]) -> T:
        """Return one element of a non-empty sequence."""
        return seq[self.randrange(len(seq))]

    def sample(self, population: abc.Sequence[T], k: int) -> list[T]:
        """Return ``k`` distinct elements."""
        left = list(population)
        self.shuffle(left)
        return left[:k]

    def shuffle(self, x: list) -> None:
        """Shuffle a list in place."""
        for last in range(len(x) - 1, 0, -1):
            other = self.randrange(last + 1)
            x[last], x[other] = x[other], x[last]
