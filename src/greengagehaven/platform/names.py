"""Header names and paths of the platform's protocol."""

from greengagehaven.protocol import header_names

_HEADER_PREFIX = "x-greengagehaven-"
_PATH_PREFIX = "/greengagehaven"

READY_PATH = f"{_PATH_PREFIX}/readyz"
CONFIG_PATH = f"{_PATH_PREFIX}/config"
INSTANCES_PATH = f"{_PATH_PREFIX}/instances/"
EVACUATE_PATH = f"{_PATH_PREFIX}/evacuate/"
ROLLOUT_PATH = f"{_PATH_PREFIX}/rollouts/"

HEADERS = header_names.HeaderNames(
    request_id=f"{_HEADER_PREFIX}request-id",
    time_left=f"{_HEADER_PREFIX}deadline-ms",
    expected_upstream=f"{_HEADER_PREFIX}expect-instance",
    signature=f"{_HEADER_PREFIX}response-stamp",
    not_run=f"{_HEADER_PREFIX}not-executed",
    load=f"{_HEADER_PREFIX}server-load",
    part_signatures=f"{_HEADER_PREFIX}part-stamps",
    missing_parts=f"{_HEADER_PREFIX}missing-parts",
    key=f"{_HEADER_PREFIX}credential",
    team=f"{_HEADER_PREFIX}tenant",
)
