"""Free ports of loopback for hosts that need each other's addresses to start."""

import itertools
import os
import socket

MIN_PORT = 12_000
PORT_COUNT = 20_000
"""Ports below the ephemeral range, from which outgoing connections take theirs."""

PORTS_PER_PROCESS = 64

_offsets = itertools.count()


def find(count: int) -> list[int]:
    """Return free ports of 127.0.0.1, other ones at each call.

    The search starts at an offset by process id, so that no outgoing connection and no
    process started at the same time takes a port before its host binds it.
    """
    first = os.getpid() * PORTS_PER_PROCESS
    ports: list[int] = []
    for offset in itertools.islice(_offsets, PORT_COUNT):
        port = MIN_PORT + (first + offset) % PORT_COUNT
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            break
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
