"""Simulates days with many seeds on several cores, and compares the results."""

import concurrent.futures
import dataclasses
import pathlib
from collections import abc

import msgspec
import numpy

from greengagehaven.coordination.routing import mechanisms
from greengagehaven.experiment import checks, environment, outcomes, simulation

RESAMPLES = 2000
"""Bootstrap samples; with these, the ends of the interval vary by 1 % of its width."""

INTERVAL_PERCENTILES = (2.5, 97.5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SimulationParameters:
    """Parameters of one simulation.

    :param path: path of an environment, or name of a shipped one.
    :param day: name of the day to simulate.
    :param without: mechanisms to disable, separated by commas.
    :param load: factor by which the day's load is multiplied.
    :param hosts: factor by which the number of entry hosts is multiplied; traffic and
        upstreams are unchanged.
    """

    path: str
    day: str
    seed: int
    without: str = ""
    load: float = 1.0
    hosts: float = 1.0


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """Paired difference in earned worth between two policies.

    :param earned: mean share earned by the second policy.
    :param mean: mean over the seeds of what the second policy earns more.
    :param low: lower end of the 95 % bootstrap interval of the mean; ``high`` is the
        upper one.
    """

    label: str
    seeds: int
    earned: float
    mean: float
    low: float
    high: float


def run_one(run: SimulationParameters) -> outcomes.Result:
    """Simulate one day and return its summary.

    :raises PromiseBrokenError: the router violated an invariant.
    :raises InvalidEnvironmentError: the environment or its day is invalid.
    """
    declared = environment.load(pathlib.Path(run.path))
    day = declared.day(run.day)
    day = dataclasses.replace(day, load=day.load * run.load)
    if run.hosts != 1.0:
        hosts_by_zone = {
            zone: max(1, round(count * run.hosts))
            for zone, count in declared.hosts_by_zone.items()
        }
        declared = dataclasses.replace(declared, hosts_by_zone=hosts_by_zone)
    simulated = simulation.Simulation(
        declared=declared,
        day=day,
        seed=run.seed,
        enabled_mechanisms=mechanisms.all_except(run.without),
    )
    return simulated.run()


def run_all(
    runs: abc.Sequence[SimulationParameters],
    *,
    jobs: int,
    on_done: abc.Callable[[], None] = lambda: None,
) -> list[outcomes.Result]:
    """Simulate days and return their summaries in the order given.

    :param jobs: number of processes to use.
    :param on_done: called after each simulation.
    :raises PromiseBrokenError: the router violated an invariant.
    """
    if jobs == 1:
        results = []
        for each in runs:
            results.append(run_one(each))
            on_done()
        return results
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(_run_encoded, each) for each in runs]
        for future in futures:
            future.add_done_callback(lambda _: on_done())
        return [_decode(future.result()) for future in futures]


def _run_encoded(run: SimulationParameters) -> bytes:
    """Simulate in a worker process and encode the result or the error.

    Errors whose constructors have extra arguments cannot be unpickled.
    """
    try:
        return b"+" + msgspec.msgpack.encode(run_one(run))
    except checks.PromiseBrokenError as error:
        return b"-" + error.detail.encode()


def _decode(data: bytes) -> outcomes.Result:
    if data[:1] == b"-":
        raise checks.PromiseBrokenError.from_detail(data[1:].decode())
    return msgspec.msgpack.decode(data[1:], type=outcomes.Result)


def compare(
    label: str,
    base: abc.Sequence[outcomes.Result],
    other: abc.Sequence[outcomes.Result],
) -> Difference:
    """Compare the results of two policies, paired by seed.

    :param label: names the second policy in the result.
    :param base: results of the first policy.
    :param other: results of the second policy, with the same seeds.
    """
    differences = numpy.array(
        [
            second.earned - first.earned
            for first, second in zip(base, other, strict=True)
        ]
    )
    rng = numpy.random.Generator(numpy.random.PCG64(len(differences)))
    samples = rng.integers(len(differences), size=(RESAMPLES, len(differences)))
    low, high = numpy.percentile(
        differences[samples].mean(axis=1), INTERVAL_PERCENTILES
    )
    return Difference(
        label=label,
        seeds=len(differences),
        earned=round(float(numpy.mean([each.earned for each in other])), 4),
        mean=round(float(differences.mean()), 4),
        low=round(float(low), 4),
        high=round(float(high), 4),
    )
