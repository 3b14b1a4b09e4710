"""Parser for the platform's settings file of ``a.b=value`` lines."""

import dataclasses
import os
import pathlib
from collections import abc

from greengagehaven import exceptions, settings
from greengagehaven.coordination.routing import versions

PATH_VARIABLE = "GREENGAGEHAVEN_CONFIG"
DEFAULT_PATH = "/etc/greengagehaven/local.conf"
_DEFAULT_EXPOSURE_LIMIT = versions.ExposureLimit()
DEFAULT_REVOKE_MS = 5000
DEFAULT_QUOTA_OVERAGE = 0.1
DEFAULT_QUOTA_SLACK = 20.0
_FLAGS_BY_TEXT = {"true": True, "false": False}


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Settings of one process.

    :param node: unique id of this host.
    :param first_port: first port of the range for traffic between hosts.
    :param seeds: addresses of control hosts for upstreams, ``IP:PORT``.
    :param listen_addresses_by_name: ``IP:PORT`` to listen on, by name of the listener.
    :param retry_window: seconds over which the retry budget is counted.
    :param quota_window: seconds of the window in which teams' requests are counted,
        ``None`` without usage caps.
    :param quota_overage: share of a team's limit that is tolerated above it.
    :param quota_slack: requests that are tolerated in addition.
    :param grace_s: maximum seconds of a graceful shutdown.
    :param strict_revoke: whether every host, also one without contact to the control
        hosts, refuses a revoked key ``revoke_s`` after its revocation.
    :param revoke_s: seconds, counted from the acknowledgement of the revocation.
    """

    node: str
    ip: str
    zone: str
    first_port: int
    seeds: tuple[str, ...]
    listen_addresses_by_name: abc.Mapping[str, str]
    bootstrap: bool
    data_folder: str
    heartbeat_ms: int
    retry_ratio: float
    retry_burst: float
    retry_window: float
    grace_s: float
    cold_factor: float
    cold_slack: float
    canary_share: float
    canary_slack: float
    strict_revoke: bool = False
    revoke_s: float = DEFAULT_REVOKE_MS / 1000
    quota_window: float | None = None
    quota_overage: float = 0.0
    quota_slack: float = 0.0

    @property
    def peer_address(self) -> str:
        """Return the address of this host for other hosts, ``IP:PORT``."""
        return settings.format_address(self.ip, self.first_port)

    def listen_address(self, name: str) -> str:
        """Return the ``IP:PORT`` to listen on.

        :param name: name of the listener, as in ``listen.NAME``.
        :raises SettingError: the settings have no such listener.
        """
        address = self.listen_addresses_by_name.get(name)
        if address is None:
            raise exceptions.SettingError(
                place=f"listen.{name}", value="", expected="IP:PORT"
            )
        return address

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the seeds' addresses for other hosts; all hosts use the same port."""
        hosts = (settings.parse_address("seeds", seed)[0] for seed in self.seeds)
        return tuple(settings.format_address(host, self.first_port) for host in hosts)


def file_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(file: pathlib.Path) -> NodeSettings:
    """Read and parse the settings file.

    :raises SettingError: the file cannot be read, or a required field is missing
        or invalid.
    """
    try:
        return parse(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingError(
            place=PATH_VARIABLE, value=str(file), expected=f"a text file ({error})"
        ) from error


def parse(text: str) -> NodeSettings:
    """Return the settings in a text; unknown fields are ignored.

    :raises SettingError: a required field is missing or invalid.
    """
    fields = _Fields(text)
    listen_addresses_by_name = fields.under("listen.")
    for name, address in listen_addresses_by_name.items():
        settings.parse_address(f"listen.{name}", address)
    seeds = fields.items("seeds")
    for seed in seeds:
        settings.parse_address("seeds", seed)
    ip = fields.text("ip")
    settings.parse_address("ip", f"{ip}:0")
    return NodeSettings(
        node=fields.text("node"),
        ip=ip,
        zone=fields.text("zone"),
        first_port=round(fields.number("internalPorts", 0)),
        seeds=seeds,
        listen_addresses_by_name=listen_addresses_by_name,
        bootstrap=fields.flag("bootstrap"),
        data_folder=fields.get("dataDir"),
        heartbeat_ms=round(fields.number("heartbeatMs")),
        retry_ratio=fields.number("bounds.retryRatio"),
        retry_burst=fields.number("bounds.retryBurst"),
        retry_window=fields.number("bounds.budgetWindowS"),
        grace_s=fields.number("bounds.graceS"),
        cold_factor=fields.number("bounds.coldFactor"),
        cold_slack=fields.number("bounds.coldSlack"),
        canary_share=fields.number_or(
            "bounds.canaryShare", _DEFAULT_EXPOSURE_LIMIT.share
        ),
        canary_slack=fields.number_or(
            "bounds.canarySlack", _DEFAULT_EXPOSURE_LIMIT.slack
        ),
        strict_revoke=fields.flag_or("bounds.strictRevoke", False),
        revoke_s=fields.positive_or("bounds.revokeMs", DEFAULT_REVOKE_MS) / 1000,
        quota_window=fields.positive_or_none("bounds.quotaWindowS"),
        quota_overage=fields.number_or("bounds.quotaOverage", DEFAULT_QUOTA_OVERAGE),
        quota_slack=fields.number_or("bounds.quotaSlack", DEFAULT_QUOTA_SLACK),
    )


class _Fields:
    """Fields of a settings file with typed, checked access."""

    def __init__(self, text: str) -> None:
        self._values_by_name: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._values_by_name[name.strip()] = value.strip()

    def get(self, name: str) -> str:
        """Return a field, or an empty string if it is missing."""
        return self._values_by_name.get(name, "")

    def text(self, name: str) -> str:
        """Return a required field.

        :raises SettingError: it is missing or empty.
        """
        value = self.get(name)
        if not value:
            raise exceptions.SettingError(place=name, value=value, expected="a value")
        return value

    def items(self, name: str) -> tuple[str, ...]:
        """Return the items of a required comma-separated list."""
        return tuple(item.strip() for item in self.text(name).split(","))

    def number(self, name: str, position: int | None = None) -> float:
        """Return a required non-negative number.

        :param position: index in a comma-separated list; ``None`` for a single value.
        :raises SettingError: it is missing, negative or not a finite number.
        """
        value = self.text(name)
        if position is not None:
            value = self.items(name)[position]
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if not 0 <= number < float("inf"):
            raise exceptions.SettingError(
                place=name, value=value, expected="a number from 0 on"
            )
        return number

    def number_or(self, name: str, default: float) -> float:
        """Return an optional number; some installations do not have the field."""
        return self.number(name) if self.get(name) else default

    def positive_or(self, name: str, default: float) -> float:
        """Return an optional number above 0.

        :raises SettingError: it is present and not a finite number above 0.
        """
        number = self.positive_or_none(name)
        return default if number is None else number

    def positive_or_none(self, name: str) -> float | None:
        """Return an optional number above 0, ``None`` if it is missing.

        :raises SettingError: it is 0, negative or not a finite number.
        """
        if not self.get(name):
            return None
        number = self.number(name)
        if not number:
            raise exceptions.SettingError(
                place=name, value=self.get(name), expected="a number above 0"
            )
        return number

    def flag_or(self, name: str, default: bool) -> bool:
        """Return an optional boolean."""
        return self.flag(name) if self.get(name) else default

    def flag(self, name: str) -> bool:
        """Return a required boolean, ``true`` or ``false``."""
        value = self.text(name)
        if value not in _FLAGS_BY_TEXT:
            raise exceptions.SettingError(
                place=name, value=value, expected="true or false"
            )
        return _FLAGS_BY_TEXT[value]

    def under(self, prefix: str) -> dict[str, str]:
        """Return the non-empty fields with a prefix, without the prefix."""
        return {
            name.removeprefix(prefix): value
            for name, value in self._values_by_name.items()
            if name.startswith(prefix) and value
        }
