"""The declared environment of an experiment, read from TOML with checked fields."""

import dataclasses
import math
import pathlib
import tomllib
import typing
from collections import abc

from greengagehaven import exceptions

SHIPPED = pathlib.Path(__file__).parent / "environments"

TROUBLES = (
    "slow",
    "grey",
    "crash",
    "dark",
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
    """A declared environment has mistakes; all of them are told.

    :param mistakes: place, value and what is expected, a line each.
    """

    code = "environment_invalid"

    def __init__(self, mistakes: abc.Sequence[str]) -> None:
        self.mistakes = tuple(mistakes)
        super().__init__("; ".join(mistakes))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Upstreams that are alike.

    :param shards: how many services of this shape there are.
    :param replicas: upstreams of each.
    :param slots: requests that an upstream runs at a time.
    :param queue: requests that wait there, more are rejected.
    :param connections: that an upstream takes, more are reset.
    :param handshake_ms: that a new connection holds a slot.
    :param pause_ms: that it stands still each ``pause_every_s``.
    :param speeds: multiples of the work, a replica has one of them.
    :param zones: where its replicas stand, drawn among all where there are none.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests that are alike.

    :param service: all of its shards answer a sweep, one of them a single request.
    :param share: of the callers' requests.
    :param work_ms: mean; ``spread`` is the deviation of its logarithm, and a share
        ``tail`` takes ``tail_factor`` times as long.
    :param worth: of an answer in time; a late one keeps ``late_worth`` of it.
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
    """Something that goes wrong for a while.

    :param kind: one of ``TROUBLES``.
    :param at: seconds from the first request.
    :param share: of the upstreams or hosts, drawn by the seed.
    :param factor: how strong: multiple of the work, or of the load.
    :param rate: share of the requests concerned.
    :param zone: where; drawn by the seed if empty.
    """

    kind: str
    at: float
    for_s: float = 5.0
    share: float = 0.15
    factor: float = 5.0
    rate: float = 0.4
    zone: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Day:
    """A load with its troubles.

    :param load: multiple of the callers' usual rate.
    """

    name: str
    seconds: float = 20.0
    load: float = 1.0
    troubles: tuple[Trouble, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """Everything that a day is played with.

    :param way_ms: one way between two zones.
    :param caller_way_ms: one way between callers and hosts.
    :param news_ms: until hosts hear of a change of an upstream.
    :param hosts_by_zone: entry hosts.
    :param per_s_by_zone: requests a second of the zone's callers.
    :param swing: share by which the load rises and falls, each ``period_s``.
    :param keep_alive_s: after which an idle connection is closed.
    :param reply_ms: that a host takes for each reply, one after the other: what its
        link and its processor bear.
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

    def day(self, name: str) -> Day:
        """Return a day by name.

        :raises InvalidEnvironmentError: there is none of that name.
        """
        for day in self.days:
            if day.name == name:
                return day
        known = ", ".join(day.name for day in self.days)
        raise InvalidEnvironmentError([f"day: {name!r}, expected one of {known}"])

    @property
    def host_count(self) -> int:
        """Return how many entry hosts there are."""
        return sum(self.hosts_by_zone.values())


def load(path: pathlib.Path) -> Environment:
    """Read an environment from a file, or a shipped one by its name.

    :raises InvalidEnvironmentError: with every mistake.
    """
    shipped = SHIPPED / f"{path}.toml"
    if not path.exists() and shipped.exists():
        path = shipped
    try:
        declared = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidEnvironmentError([f"{path}: {error}"]) from error
    return read(declared)


def read(declared: abc.Mapping[str, typing.Any]) -> Environment:
    """Make an environment of what a file declares.

    :raises InvalidEnvironmentError: with every mistake.
    """
    reader = _Reader()
    fields = dict(declared)
    services = reader.entries("services", fields.pop("services", []), Service)
    kinds = reader.entries("kinds", fields.pop("kinds", []), Kind)
    days = []
    for place, entry in reader.tables("days", fields.pop("days", [])):
        entry = dict(entry)
        troubles = reader.entries(
            f"{place}.troubles", entry.pop("troubles", []), Trouble
        )
        day = reader.make(place, {**entry, "troubles": troubles}, Day)
        if day is not None:
            days.append(day)
    fields |= {"services": services, "kinds": kinds, "days": tuple(days)}
    made = reader.make("environment", fields, Environment)
    if made is not None:
        _check(made, reader.mistakes)
    if reader.mistakes or made is None:
        raise InvalidEnvironmentError(reader.mistakes)
    return made


class _Reader:
    """Makes data classes of tables and collects mistakes."""

    def __init__(self) -> None:
        self.mistakes: list[str] = []

    def tables(
        self, place: str, value: object
    ) -> abc.Iterator[tuple[str, abc.Mapping[str, typing.Any]]]:
        """Yield each table of a list with its place."""
        if not isinstance(value, list):
            self.mistakes.append(f"{place}: {value!r}, expected a list of tables")
            return
        for number, entry in enumerate(value):
            if isinstance(entry, dict):
                yield f"{place}[{number}]", entry
            else:
                self.mistakes.append(f"{place}[{number}]: expected a table")

    def entries(self, place: str, value: object, kind: type) -> tuple:
        """Return a data class for each table of a list."""
        made = [self.make(at, entry, kind) for at, entry in self.tables(place, value)]
        return tuple(each for each in made if each is not None)

    def make(
        self, place: str, fields: abc.Mapping[str, typing.Any], kind: type
    ) -> typing.Any:
        """Return a data class of a table, ``None`` where it has mistakes."""
        known = {field.name: field for field in dataclasses.fields(kind)}
        before = len(self.mistakes)
        for name in fields.keys() - known.keys():
            self.mistakes.append(f"{place}.{name}: unknown field")
        made = {}
        for name, field in known.items():
            if name in fields:
                made[name] = self._value(f"{place}.{name}", fields[name], field)
            elif field.default is dataclasses.MISSING:
                self.mistakes.append(f"{place}.{name}: missing")
        return None if len(self.mistakes) > before else kind(**made)

    def _value(
        self, place: str, value: typing.Any, field: dataclasses.Field
    ) -> typing.Any:
        if field.type is float or field.type is int:
            is_number = isinstance(value, int | float) and not isinstance(value, bool)
            if not is_number or not math.isfinite(value) or value < 0:
                self.mistakes.append(f"{place}: {value!r}, expected a number from 0 on")
            elif field.type is int and value != int(value):
                self.mistakes.append(f"{place}: {value!r}, expected a whole number")
        elif field.type is bool and not isinstance(value, bool):
            self.mistakes.append(f"{place}: {value!r}, expected true or false")
        elif field.type is str and not isinstance(value, str):
            self.mistakes.append(f"{place}: {value!r}, expected text")
        return tuple(value) if isinstance(value, list) else value


def _check(environment: Environment, mistakes: list[str]) -> None:
    """Collect what is wrong between fields."""
    zones = set(environment.zones)
    services = {service.name for service in environment.services}
    for name in ("hosts_by_zone", "per_s_by_zone"):
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
            mistakes.append(f"{place}: expected shards, replicas and slots from 1 on")
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
