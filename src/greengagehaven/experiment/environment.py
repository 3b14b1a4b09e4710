"""Environments of experiments, read from TOML and validated."""

import dataclasses
import math
import pathlib
import tomllib
import typing
from collections import abc

from greengagehaven import exceptions

SHIPPED_FOLDER = pathlib.Path(__file__).parent / "environments"

TROUBLES = (
    "slow",
    "grey",
    "crash",
    "dark",
    "hang",
    "lost",
    "shed",
    "burst",
    "zone_cut",
    "power_off",
    "kill_hosts",
    "freeze_hosts",
    "drain",
)


class InvalidEnvironmentError(exceptions.GreengagehavenError):
    """An environment is invalid; all its mistakes are reported.

    :param mistakes: one line for each, with place, value and what is expected.
    """

    code = "environment_invalid"

    def __init__(self, mistakes: abc.Sequence[str]) -> None:
        self.mistakes = tuple(mistakes)
        super().__init__("; ".join(mistakes))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Configuration of a service; its shards are services of their own.

    :param shards: number of shards.
    :param replicas: upstreams per shard.
    :param slots: requests that an upstream runs concurrently.
    :param queue: length of an upstream's queue; further requests are rejected.
    :param connections: connections that an upstream accepts; further ones are reset.
    :param handshake_ms: time that opening a connection takes beyond the round trip.
    :param pause_ms: length of the pauses of an upstream, one each ``pause_every_s``.
    :param speeds: factors of the work; each replica gets a random one of them.
    :param zones: zones over which replicas are spread at random; all zones if empty.
    :param slow_share: share of the time for which each machine is slow; 0 for never.
    :param slow_factor: factor of the work on a machine that is slow.
    :param slow_ms: mean length of the periods for which a machine is slow.
    :param machine_upstreams: upstreams that share a machine.
    :param reports_work_time: whether load reports have the fourth value.
    """

    name: str
    shards: int = 1
    replicas: int = 3
    slots: int = 4
    queue: int = 16
    connections: int = 64
    handshake_ms: float = 0.0
    pause_ms: float = 0.0
    pause_every_s: float = 0.0
    speeds: tuple[float, ...] = (1.0,)
    zones: tuple[str, ...] = ()
    slow_share: float = 0.0
    slow_factor: float = 2.5
    slow_ms: float = 600.0
    machine_upstreams: int = 1
    reports_work_time: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Configuration of a kind of request.

    :param service: all its shards answer a sweep, one of them any other request.
    :param is_sweep: whether requests go to all shards of the service.
    :param share: weight of the kind among the callers' requests.
    :param work_ms: mean work at an upstream; ``spread`` is the standard deviation of
        its logarithm, and a share ``tail`` takes ``tail_factor`` times as long.
    :param objective_ms: latency above which an answer is late.
    :param deadline_ms: time after which the caller gives up.
    :param least_coverage: minimum share of the shards in a partial answer.
    :param attempts: maximum number of upstreams that run a request, or each shard of a
        sweep.
    :param worth: worth of a complete answer in time; a late one keeps the share
        ``late_worth`` of it.
    :param returns: how often a caller retries after a refusal or a lost connection.
    """

    name: str
    service: str
    is_sweep: bool = False
    is_idempotent: bool = True
    share: float = 1.0
    work_ms: float = 10.0
    spread: float = 0.0
    tail: float = 0.0
    tail_factor: float = 1.0
    objective_ms: float = 100.0
    deadline_ms: float = 1000.0
    least_coverage: float = 1.0
    attempts: int = 2
    priority: int = 1
    worth: float = 1.0
    late_worth: float = 0.1
    returns: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trouble:
    """Configuration of an injected fault or a burst of load.

    :param kind: one of ``TROUBLES``.
    :param at: start, in seconds from the start of the day.
    :param for_s: duration in seconds.
    :param share: share of the upstreams or hosts affected, selected by the seed.
    :param factor: factor of the work (``slow``) or of the load (``burst``).
    :param rate: share of the requests affected (``grey``, ``lost``, ``shed``).
    :param shards: number of shards of which all upstreams are affected, instead of a
        share of all upstreams; only for ``hang`` and ``dark``.
    :param zone: the zone affected; if empty, upstreams and hosts of all zones can be,
        and the seed selects the zone of a ``zone_cut``.
    """

    kind: str
    at: float
    for_s: float = 5.0
    share: float = 0.15
    factor: float = 5.0
    rate: float = 0.4
    shards: int = 0
    zone: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Day:
    """Configuration of a simulated period.

    :param seconds: duration in simulated seconds.
    :param load: factor of the callers' normal rate.
    """

    name: str
    seconds: float = 20.0
    load: float = 1.0
    troubles: tuple[Trouble, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """Configuration of an experiment.

    :param hosts_by_zone: number of entry hosts in each zone.
    :param per_s_by_zone: requests per second from callers in each zone.
    :param way_ms: one-way delay between two zones.
    :param caller_way_ms: one-way delay between callers and hosts.
    :param news_ms: delay until hosts learn of a change of an upstream.
    :param retry_ratio: extra attempts allowed, as a share of a service's requests.
    :param retry_burst: extra attempts allowed beyond ``retry_ratio``.
    :param retry_window_s: period over which both are counted.
    :param callers_per_host: one request in this many opens a new connection.
    :param keep_alive_s: idle time after which a connection is closed.
    :param swing: share by which the load rises and falls in each ``period_s``.
    :param restart_s: time that a crashed host takes to restart after its trouble ends.
    :param reply_ms: time that a host takes to process a reply; replies are processed
        serially, which models the capacity of its link and processor.
    :param send_ms: time that a host takes to write each sub-request of its own.
    :param answer_ms: mean of the exponentially distributed time that a host takes to
        merge and write an answer. Unless it is zero, requests and answers wait for the
        host's earlier work like replies, and hosts measure how late they write them.
    :param caller_jitter_ms: mean of the exponentially distributed time by which a
        message between callers and hosts takes longer than ``caller_way_ms``.
    :param phase_by_zone: phase of the wave of each zone's callers, as a share of
        ``period_s``.
    """

    name: str
    zones: tuple[str, ...]
    hosts_by_zone: abc.Mapping[str, int]
    per_s_by_zone: abc.Mapping[str, float]
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    days: tuple[Day, ...]
    way_ms: float = 1.0
    caller_way_ms: float = 2.0
    news_ms: float = 150.0
    retry_ratio: float = 0.2
    retry_burst: float = 50.0
    retry_window_s: float = 10.0
    callers_per_host: int = 5
    keep_alive_s: float = 4.0
    swing: float = 0.15
    period_s: float = 11.0
    restart_s: float = 0.6
    reply_ms: float = 0.0
    send_ms: float = 0.0
    answer_ms: float = 0.0
    caller_jitter_ms: float = 0.0
    phase_by_zone: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)

    def day(self, name: str) -> Day:
        """Return a day by name.

        :raises InvalidEnvironmentError: there is no day of that name.
        """
        for day in self.days:
            if day.name == name:
                return day
        known = ", ".join(day.name for day in self.days)
        raise InvalidEnvironmentError([f"day: {name!r}, expected one of {known}"])

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts."""
        return sum(self.hosts_by_zone.values())


def load(path: pathlib.Path) -> Environment:
    """Return the environment in a file, or the shipped one of that name.

    :raises InvalidEnvironmentError: the file cannot be read or is invalid.
    """
    shipped = SHIPPED_FOLDER / f"{path}.toml"
    if not path.exists() and shipped.exists():
        path = shipped
    try:
        declared = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidEnvironmentError([f"{path}: {error}"]) from error
    return read(declared)


def read(declared: abc.Mapping[str, typing.Any]) -> Environment:
    """Return the environment that a TOML document declares.

    :raises InvalidEnvironmentError: it is invalid; the error has all mistakes.
    """
    reader = _Reader()
    fields = dict(declared)
    services = reader.convert_tables("services", fields.pop("services", []), Service)
    kinds = reader.convert_tables("kinds", fields.pop("kinds", []), Kind)
    days = []
    for place, entry in reader.iterate_tables("days", fields.pop("days", [])):
        entry = dict(entry)
        troubles = reader.convert_tables(
            f"{place}.troubles", entry.pop("troubles", []), Trouble
        )
        day = reader.convert_table(place, {**entry, "troubles": troubles}, Day)
        if day is not None:
            days.append(day)
    fields |= {"services": services, "kinds": kinds, "days": tuple(days)}
    converted = reader.convert_table("environment", fields, Environment)
    if converted is not None:
        _check(converted, reader.mistakes)
    if reader.mistakes or converted is None:
        raise InvalidEnvironmentError(reader.mistakes)
    return converted


class _Reader:
    """Converts tables to data classes and collects mistakes."""

    def __init__(self) -> None:
        self.mistakes: list[str] = []

    def iterate_tables(
        self, place: str, value: object
    ) -> abc.Iterator[tuple[str, abc.Mapping[str, typing.Any]]]:
        """Yield each table of a list with its place in the document."""
        if not isinstance(value, list):
            self.mistakes.append(f"{place}: {value!r}, expected a list of tables")
            return
        for number, entry in enumerate(value):
            if isinstance(entry, dict):
                yield f"{place}[{number}]", entry
            else:
                self.mistakes.append(f"{place}[{number}]: expected a table")

    def convert_tables(self, place: str, value: object, data_class: type) -> tuple:
        """Return a data class instance for each valid table of a list."""
        converted = [
            self.convert_table(at, entry, data_class)
            for at, entry in self.iterate_tables(place, value)
        ]
        return tuple(each for each in converted if each is not None)

    def convert_table(
        self, place: str, fields: abc.Mapping[str, typing.Any], data_class: type
    ) -> typing.Any:
        """Return a data class instance for a table, ``None`` if it has mistakes."""
        known = {field.name: field for field in dataclasses.fields(data_class)}
        earlier_mistakes = len(self.mistakes)
        for name in fields.keys() - known.keys():
            self.mistakes.append(f"{place}.{name}: unknown field")
        converted = {}
        for name, field in known.items():
            if name in fields:
                converted[name] = self._check_value(
                    f"{place}.{name}", fields[name], field
                )
            elif _is_required(field):
                self.mistakes.append(f"{place}.{name}: missing")
        return (
            None if len(self.mistakes) > earlier_mistakes else data_class(**converted)
        )

    def _check_value(
        self, place: str, value: typing.Any, field: dataclasses.Field
    ) -> typing.Any:
        if field.type is float or field.type is int:
            is_number = isinstance(value, int | float) and not isinstance(value, bool)
            if not is_number or not math.isfinite(value) or value < 0:
                self.mistakes.append(
                    f"{place}: {value!r}, expected a finite number of at least 0"
                )
            elif field.type is int and value != int(value):
                self.mistakes.append(f"{place}: {value!r}, expected a whole number")
        elif field.type is bool and not isinstance(value, bool):
            self.mistakes.append(f"{place}: {value!r}, expected true or false")
        elif field.type is str and not isinstance(value, str):
            self.mistakes.append(f"{place}: {value!r}, expected text")
        return tuple(value) if isinstance(value, list) else value


def _is_required(field: dataclasses.Field) -> bool:
    has_default = field.default is not dataclasses.MISSING
    return not has_default and field.default_factory is dataclasses.MISSING


def _check(environment: Environment, mistakes: list[str]) -> None:
    """Collect mistakes in the relations of fields, and values outside their limits."""
    zones = set(environment.zones)
    services = {service.name for service in environment.services}
    for name in ("hosts_by_zone", "per_s_by_zone", "phase_by_zone"):
        for zone in getattr(environment, name).keys() - zones:
            mistakes.append(f"{name}.{zone}: unknown zone")
    if not environment.kinds or not environment.services:
        mistakes.append("environment: expected kinds and services")
    for number, kind in enumerate(environment.kinds):
        if kind.service not in services:
            mistakes.append(f"kinds[{number}].service: {kind.service!r} is unknown")
        for name in ("least_coverage", "tail", "late_worth"):
            if getattr(kind, name) > 1:
                mistakes.append(f"kinds[{number}].{name}: expected a share up to 1")
    for number, service in enumerate(environment.services):
        if min(service.shards, service.replicas, service.slots) < 1:
            place = f"services[{number}]"
            mistakes.append(
                f"{place}: expected shards, replicas and slots of at least 1"
            )
        if service.slow_share >= 1 or min(service.slow_factor, service.slow_ms) <= 0:
            mistakes.append(
                f"services[{number}]: expected a slow_share below 1, and a slow_factor "
                "and slow_ms above 0"
            )
        if service.machine_upstreams < 1:
            mistakes.append(
                f"services[{number}].machine_upstreams: expected at least 1"
            )
        for zone in set(service.zones) - zones:
            mistakes.append(f"services[{number}].zones: unknown zone {zone!r}")
    for day in environment.days:
        for number, trouble in enumerate(day.troubles):
            place = f"days {day.name} troubles[{number}]"
            if trouble.kind not in TROUBLES:
                expected = ", ".join(TROUBLES)
                mistakes.append(
                    f"{place}.kind: {trouble.kind!r}, expected one of {expected}"
                )
            if max(trouble.share, trouble.rate) > 1:
                mistakes.append(f"{place}: expected share and rate up to 1")
            if trouble.zone and trouble.zone not in zones:
                mistakes.append(f"{place}.zone: unknown zone {trouble.zone!r}")
