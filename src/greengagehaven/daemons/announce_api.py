"""Upstreams' announcements over HTTP (docs/PROTOCOL.md)."""

import datetime
import re
import sys
import typing

from greengagehaven import exceptions, settings
from greengagehaven.protocol import codec, upstream
from greengagehaven.transport import http

ANNOUNCE_PATH = "/v1/announce"
LEASE = datetime.timedelta(seconds=3)
RENEWALS_PER_LEASE = 3
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_SHARDS = 10_000
MAX_SNAPSHOTS = 100
_ID = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")


class Leases(typing.Protocol):
    """What keeps announcements and spreads them to the other hosts."""

    def announce(self, announcement: upstream.Announcement) -> None:
        """Take an announcement or renewal."""

    def withdraw(self, upstream_id: str, incarnation: int) -> None:
        """Take back what an upstream announced in one incarnation."""


class AnnounceApi:
    """Takes announcements, renewals and withdrawals.

    :param leases: where they go.
    :param lease: how long an announcement holds.
    """

    def __init__(self, *, leases: Leases, lease: datetime.timedelta = LEASE) -> None:
        self._leases = leases
        lease_ms = int(lease.total_seconds() * 1000)
        answer = upstream.Lease(
            lease_ms=lease_ms, renew_ms=lease_ms // RENEWALS_PER_LEASE
        )
        self._answer = codec.encode_json(answer)

    def serves(self, path: str) -> bool:
        """Tell whether a path belongs to this interface."""
        return path == ANNOUNCE_PATH or path.startswith(ANNOUNCE_PATH + "/")

    async def handle(self, request: http.Request) -> http.Response:
        """Answer one request.

        :raises RequestError: the request breaks the interface.
        """
        if request.path == ANNOUNCE_PATH:
            if request.method != "POST":
                raise exceptions.MethodNotAllowedError("use POST")
            announcement = codec.decode_json(request.body, upstream.Announcement)
            check(announcement)
            self._leases.announce(announcement)
            return http.Response(status=200, body=self._answer)
        if request.method != "DELETE":
            raise exceptions.MethodNotAllowedError("use DELETE")
        self._withdraw(request)
        return http.Response(status=200, body=b"{}")

    def _withdraw(self, request: http.Request) -> None:
        upstream_id = request.path.removeprefix(ANNOUNCE_PATH + "/")
        text = request.parameters.get("incarnation", "")
        if not (text.isascii() and text.isdigit() and len(text) <= 18):
            raise exceptions.InvalidRequestError(
                place="query string incarnation",
                value=text[:80],
                expected="the incarnation that was announced",
            )
        self._leases.withdraw(upstream_id, int(text))


def check(announcement: upstream.Announcement) -> None:
    """Refuse an announcement that cannot be true.

    :raises InvalidRequestError: naming the first mistake.
    """
    _require(bool(_ID.match(announcement.id)), "id", announcement.id, "a short name")
    zone = announcement.availability_zone
    _require(bool(_ID.match(zone)), "availability_zone", zone, "a short name")
    _check_number("incarnation", announcement.incarnation, 0, sys.maxsize)
    _check_number("sequence", announcement.sequence, 0, sys.maxsize - 1)
    _check_number("slots", announcement.slots, 1, MAX_SLOTS)
    _check_number("max_connections", announcement.max_connections, 1, MAX_CONNECTIONS)
    _check_number("snapshots", len(announcement.snapshots), 0, MAX_SNAPSHOTS)
    _check_number("shards", len(announcement.shards), 0, MAX_SHARDS)
    _check_address(announcement.address)
    for index, hosted in enumerate(announcement.shards):
        place = f"shards[{index}]"
        service = hosted.service
        _require(bool(_ID.match(service)), f"{place}.service", service, "a name")
        _check_number(f"{place}.shard_count", hosted.shard_count, 1, MAX_SHARDS)
        _check_number(f"{place}.shard", hosted.shard, 0, hosted.shard_count - 1)


def _check_address(address: str) -> None:
    try:
        _, port = settings.parse_address("address", address)
    except exceptions.SettingError:
        port = 0
    _require(port > 0, "address", address, "IP:PORT")


def _check_number(place: str, value: int, low: int, high: int) -> None:
    _require(low <= value <= high, place, value, f"{low} to {high}")


def _require(holds: bool, place: str, value: object, expected: str) -> None:
    if not holds:
        shown = value[:80] if isinstance(value, str) else value
        raise exceptions.InvalidRequestError(
            place=f"body.{place}", value=shown, expected=expected
        )
