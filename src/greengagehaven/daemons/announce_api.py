"""HTTP API for the announcements of upstreams (docs/PROTOCOL.md)."""

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


class AnnouncementStore(typing.Protocol):
    """Stores announcements and propagates them to the other hosts."""

    def announce(self, announcement: upstream.Announcement) -> None:
        """Apply an announcement or a renewal."""

    def withdraw(self, upstream_id: str, incarnation: int) -> None:
        """Withdraw the announcement of one incarnation of an upstream."""


class AnnounceApi:
    """Handles announcements, renewals and withdrawals.

    :param store: receives the valid requests.
    :param lease: time for which an announcement is valid without a renewal.
    """

    def __init__(
        self, *, store: AnnouncementStore, lease: datetime.timedelta = LEASE
    ) -> None:
        self._store = store
        lease_ms = int(lease.total_seconds() * 1000)
        granted = upstream.Lease(
            lease_ms=lease_ms, renew_ms=lease_ms // RENEWALS_PER_LEASE
        )
        self._lease_body = codec.encode_json(granted)

    def serves(self, path: str) -> bool:
        """Return whether a path belongs to this API."""
        return path == ANNOUNCE_PATH or path.startswith(ANNOUNCE_PATH + "/")

    async def handle(self, request: http.Request) -> http.Response:
        """Handle one request.

        :raises RequestError: the request is invalid.
        """
        if request.path == ANNOUNCE_PATH:
            if request.method != "POST":
                raise exceptions.MethodNotAllowedError("use POST")
            announcement = codec.decode_json(request.body, upstream.Announcement)
            validate(announcement)
            self._store.announce(announcement)
            return http.Response(status=200, body=self._lease_body)
        if request.method != "DELETE":
            raise exceptions.MethodNotAllowedError("use DELETE")
        self._withdraw(request)
        return http.Response(status=200, body=b"{}")

    def _withdraw(self, request: http.Request) -> None:
        upstream_id = request.path.removeprefix(ANNOUNCE_PATH + "/")
        incarnation = request.parameters.get("incarnation", "")
        if not (
            incarnation.isascii() and incarnation.isdigit() and len(incarnation) <= 18
        ):
            raise exceptions.InvalidRequestError(
                place="query string incarnation",
                value=incarnation[:80],
                expected="the incarnation of the announcement, up to 18 digits",
            )
        self._store.withdraw(upstream_id, int(incarnation))


def validate(announcement: upstream.Announcement) -> None:
    """Check the values of an announcement.

    :raises InvalidRequestError: names the first invalid field.
    """
    _require(
        bool(_ID.match(announcement.id)),
        "id",
        announcement.id,
        "1 to 128 of A-Z a-z 0-9 . _ : -",
    )
    zone = announcement.availability_zone
    _require(
        bool(_ID.match(zone)),
        "availability_zone",
        zone,
        "1 to 128 of A-Z a-z 0-9 . _ : -",
    )
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
        _require(
            bool(_ID.match(service)),
            f"{place}.service",
            service,
            "1 to 128 of A-Z a-z 0-9 . _ : -",
        )
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


def _require(is_valid: bool, place: str, value: object, expected: str) -> None:
    if not is_valid:
        excerpt = value[:80] if isinstance(value, str) else value
        raise exceptions.InvalidRequestError(
            place=f"body.{place}", value=excerpt, expected=expected
        )
