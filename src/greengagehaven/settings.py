"""Checks of settings that come as flags or environment variables."""

import ipaddress

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


def is_loopback(host: str) -> bool:
    """Tell whether an IP number is reached only from this machine."""
    return ipaddress.ip_address(host).is_loopback
