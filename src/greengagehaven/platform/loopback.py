"""Formats of the platform for hosts that a measurement runs on loopback."""

import json
import typing

from greengagehaven.daemons.measure import platform_hosts, revoked_key
from greengagehaven.platform import names, settings


def make_settings(host: platform_hosts.HostSettings) -> str:
    """Return the text of a host's settings file."""
    is_strict = host.revoke_ms is not None
    lines = [
        f"node={host.name}",
        f"ip={host.ip}",
        f"zone={host.zone}",
        f"listen.control={host.ip}:{platform_hosts.OPERATOR_PORT}",
        f"listen.front={host.ip}:{platform_hosts.CALLER_PORT}",
        f"listen.ready={host.ip}:{platform_hosts.READY_PORT}",
        f"internalPorts={platform_hosts.PEER_PORT},{platform_hosts.LAST_INTERNAL_PORT}",
        f"seeds={','.join(host.control_addresses)}",
        f"dataDir={host.data_folder}",
        "bootstrap=true",
        "heartbeatMs=1200",
        "bounds.retryRatio=0.2",
        "bounds.retryBurst=50",
        "bounds.budgetWindowS=10",
        "bounds.graceS=1",
        "bounds.coldFactor=1.5",
        "bounds.coldSlack=5",
        f"bounds.strictRevoke={str(is_strict).lower()}",
    ]
    if is_strict:
        lines.append(f"bounds.revokeMs={host.revoke_ms}")
    return "\n".join(lines) + "\n"


def make_document(document: revoked_key.Document) -> bytes:
    """Return the body of an operator's document."""
    route = {
        "name": "records",
        "host": document.host,
        "pathPrefix": document.path_prefix,
        "type": "idempotent",
        "timeoutMs": 1000,
        "sloMs": 500,
        "priority": 1,
        "backend": document.service,
        "attempts": 2,
    }
    service = {
        "name": document.service,
        "healthPath": "/healthz",
        "maxConns": 200,
        "protocol": "h1",
    }
    return _encode(
        {
            "version": document.version,
            "routes": [route],
            "services": [service],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [{"name": "north", "apiKeys": [document.key]}],
        }
    )


def make_announcement(announcement: revoked_key.Announcement) -> bytes:
    """Return the body of an upstream's announcement."""
    return _encode(
        {
            "backend": announcement.service,
            "addr": announcement.address,
            "zone": announcement.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": announcement.sequence,
            "born": announcement.born,
        }
    )


def _encode(fields: dict[str, typing.Any]) -> bytes:
    return json.dumps(fields).encode()


PLATFORM = revoked_key.Platform(
    names=names.HEADERS,
    config_path=names.CONFIG_PATH,
    instances_path=names.INSTANCES_PATH,
    settings_variable=settings.PATH_VARIABLE,
    make_settings=make_settings,
    make_document=make_document,
    make_announcement=make_announcement,
)
