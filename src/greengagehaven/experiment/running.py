"""Plays days of many seeds, on several cores, and compares them."""

import concurrent.futures
import dataclasses
import pathlib
from collections import abc

import msgspec
import numpy

from greengagehaven.coordination.routing import mechanisms
from greengagehaven.experiment import checks, environment, outcomes, world

RESAMPLES = 2000
"""Bootstrap samples; the interval's ends then vary by a hundredth of its width."""

INTERVAL = (2.5, 97.5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Play:
    """One day to play.

    :param path: of the environment, or the name of a shipped one.
    :param without: mechanisms to leave out.
    :param load: multiple of the day's load.
    :param hosts: multiple of the entry hosts, traffic and upstreams stay.
    """

    path: str
    day: str
    seed: int
    without: str = ""
    load: float = 1.0
    hosts: float = 1.0


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """What one policy earns more than another, seed by seed.

    :param low: end of the bootstrap interval of the mean, 95 in 100.
    """

    label: str
    seeds: int
    earned: float
    mean: float
    low: float
    high: float


def play(asked: Play) -> outcomes.Result:
    """Play one day.

    :raises PromiseBrokenError: the router broke what always holds.
    """
    declared = environment.load(pathlib.Path(asked.path))
    day = declared.day(asked.day)
    day = dataclasses.replace(day, load=day.load * asked.load)
    if asked.hosts != 1.0:
        by_zone = {
            zone: max(1, round(count * asked.hosts))
            for zone, count in declared.hosts_by_zone.items()
        }
        declared = dataclasses.replace(declared, hosts_by_zone=by_zone)
    played = world.World(
        declared=declared,
        day=day,
        seed=asked.seed,
        used=mechanisms.without(asked.without),
    )
    return played.play()


def play_all(
    asked: abc.Sequence[Play],
    *,
    jobs: int,
    on_done: abc.Callable[[], None] = lambda: None,
) -> list[outcomes.Result]:
    """Play days in the order given, some at a time.

    :param on_done: called after each.
    :raises PromiseBrokenError: the router broke what always holds.
    """
    if jobs == 1:
        results = []
        for each in asked:
            results.append(play(each))
            on_done()
        return results
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(_play_encoded, each) for each in asked]
        for future in futures:
            future.add_done_callback(lambda _: on_done())
        return [_decode(future.result()) for future in futures]


def _play_encoded(asked: Play) -> bytes:
    """Play in another process; errors with arguments of their own don't travel."""
    try:
        return b"+" + msgspec.msgpack.encode(play(asked))
    except checks.PromiseBrokenError as error:
        return b"-" + error.detail.encode()


def _decode(data: bytes) -> outcomes.Result:
    if data[:1] == b"-":
        raise checks.PromiseBrokenError.told(data[1:].decode())
    return msgspec.msgpack.decode(data[1:], type=outcomes.Result)


def compare(
    label: str,
    base: abc.Sequence[outcomes.Result],
    other: abc.Sequence[outcomes.Result],
) -> Difference:
    """Compare results seed by seed."""
    differences = numpy.array(
        [
            second.earned - first.earned
            for first, second in zip(base, other, strict=True)
        ]
    )
    rng = numpy.random.Generator(numpy.random.PCG64(len(differences)))
    picks = rng.integers(len(differences), size=(RESAMPLES, len(differences)))
    low, high = numpy.percentile(differences[picks].mean(axis=1), INTERVAL)
    return Difference(
        label=label,
        seeds=len(differences),
        earned=round(float(numpy.mean([each.earned for each in other])), 4),
        mean=round(float(differences.mean()), 4),
        low=round(float(low), 4),
        high=round(float(high), 4),
    )
