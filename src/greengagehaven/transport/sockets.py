"""TCP socket options for detecting dead connections."""

import datetime
import socket

KEEPALIVE_IDLE = datetime.timedelta(seconds=5)
KEEPALIVE_INTERVAL = datetime.timedelta(seconds=2)
KEEPALIVE_PROBES = 3
USER_TIMEOUT = datetime.timedelta(seconds=8)


def configure(sock: socket.socket | None) -> None:
    """Set TCP keepalive and user timeout on a connected socket.

    A firewall or router that loses the state of a connection drops its packets
    without a reset. Keepalive probes detect this on an idle connection, the user
    timeout on one with unacknowledged data; otherwise the socket would stay open
    for hours. Sockets that are not TCP are left unchanged.
    """
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    seconds = int(KEEPALIVE_IDLE.total_seconds())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    seconds = int(KEEPALIVE_INTERVAL.total_seconds())
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    milliseconds = int(USER_TIMEOUT.total_seconds() * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
