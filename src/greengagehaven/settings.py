"""Validation of settings from options and environment variables."""

import ipaddress
from collections import abc

from greengagehaven import exceptions

MAX_PORT = 65_535


def parse_address(name: str, value: str) -> tuple[str, int]:
    """Parse an ``IP:PORT`` setting into (IP address, port).

    :param name: name of the setting, for the error.
    :param value: text of the setting; an IPv6 address is in brackets.
    :raises SettingError: the text isn't a valid address.
    """
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        # int() also takes signs, spaces and the digits of other scripts.
        number = int(port) if port.isascii() and port.isdigit() else -1
    except ValueError:
        number = -1
    if not 0 <= number <= MAX_PORT:
        raise exceptions.SettingError(
            place=name, value=value, expected="IP:PORT with a port from 0 to 65535"
        )
    return host, number


def format_address(host: str, port: int) -> str:
    """Return ``IP:PORT``, with brackets around an IPv6 address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_peer_address(name: str, value: str) -> tuple[str, int]:
    """Parse an ``IP:PORT`` that is advertised to other hosts.

    :raises SettingError: the text isn't a valid address, or is the unspecified
        address (``0.0.0.0`` or ``::``), by which other hosts would call themselves.
    """
    host, port = parse_address(name, value)
    if ipaddress.ip_address(host).is_unspecified:
        raise exceptions.SettingError(
            place=name, value=value, expected="an address that other hosts can call"
        )
    return host, port


def is_loopback(host: str) -> bool:
    """Return whether an IP address is a loopback address."""
    return ipaddress.ip_address(host).is_loopback


def parse_named_addresses(name: str, values: abc.Iterable[str]) -> dict[str, str]:
    """Parse ``HOST-ID=IP:PORT`` settings into addresses by host id.

    :param name: name of the setting, for the error.
    :raises SettingError: a value isn't such a pair, or a host id occurs twice.
    """
    addresses_by_id: dict[str, str] = {}
    for value in values:
        host_id, separator, address = value.partition("=")
        is_named = separator and host_id and "," not in host_id
        if not is_named or host_id in addresses_by_id:
            raise exceptions.SettingError(
                place=name, value=value, expected="HOST-ID=IP:PORT, each host once"
            )
        parse_address(name, address)
        addresses_by_id[host_id] = address
    return addresses_by_id


def check_peer_token(token: str | None, addresses: abc.Iterable[str]) -> None:
    """Require a peer token unless every peer address is loopback.

    Without one, any client that reaches the port could vote, replace the
    configuration, or announce hosts and upstreams.

    :raises SettingError: an address is invalid, or the token is missing.
    """
    for address in addresses:
        host, _ = parse_peer_address("peer address", address)
        if token is None and not is_loopback(host):
            raise exceptions.SettingError(
                place="peer token",
                value="none",
                expected=f"a secret, since {address} is not loopback",
            )
