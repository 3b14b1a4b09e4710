"""Checks of settings that come as flags or environment variables."""

import ipaddress
from collections import abc

from greengagehaven import exceptions

MAX_PORT = 65_535


def parse_address(name: str, value: str) -> tuple[str, int]:
    """Return (IP number, port) of an ``IP:PORT`` setting.

    :param name: the setting, for the error.
    :param value: the text; an IPv6 number stands in brackets.
    :raises SettingError: it is no such address.
    """
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        number = -1
    if not 0 <= number <= MAX_PORT:
        raise exceptions.SettingError(
            place=name, value=value, expected="IP:PORT with a port from 0 to 65535"
        )
    return host, number


def format_address(host: str, port: int) -> str:
    """Return ``IP:PORT``, with brackets around an IPv6 number."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_reachable(name: str, value: str) -> tuple[str, int]:
    """Return (IP number, port) of an address that other hosts are told.

    :raises SettingError: it is none, or one that stands for every interface:
        each host that is told it would call itself.
    """
    host, port = parse_address(name, value)
    if ipaddress.ip_address(host).is_unspecified:
        raise exceptions.SettingError(
            place=name, value=value, expected="an address that other hosts can call"
        )
    return host, port


def is_loopback(host: str) -> bool:
    """Tell whether an IP number is reached only from this machine."""
    return ipaddress.ip_address(host).is_loopback


def parse_named_addresses(name: str, values: abc.Iterable[str]) -> dict[str, str]:
    """Return addresses by host id, from settings ``HOST-ID=IP:PORT``.

    :param name: the setting, for the error.
    :raises SettingError: one is no such pair, or a name stands twice.
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
    """Refuse to call or serve other hosts beyond loopback without a secret.

    Whoever reaches the port could otherwise vote, replace the configuration, or
    announce hosts and upstreams.

    :raises SettingError: an address is wrong, or the secret is missing.
    """
    for address in addresses:
        host, _ = parse_reachable("peer address", address)
        if token is None and not is_loopback(host):
            raise exceptions.SettingError(
                place="peer token",
                value="none",
                expected=f"a secret, since {address} is not loopback",
            )
