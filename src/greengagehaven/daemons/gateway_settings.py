"""Settings of an entry host that routes requests."""

import dataclasses
import datetime

from greengagehaven.coordination.routing import router


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of an entry host that routes requests.

    :param listen: ``IP:PORT`` for callers.
    :param ready_listen: ``IP:PORT`` for readiness checks of the load balancer.
    :param ready_path: path of the readiness checks.
    :param control_addresses: peer addresses of control hosts to start from.
    :param metrics_listen: ``IP:PORT`` for metrics, ``None`` for no metrics.
    :param peer_listen: ``IP:PORT`` where other entry hosts of the zone delegate
        attempts of sweeps to this one, ``None`` if they can't.
    :param grace: longest time from the stop signal to the end of the process.
    """

    host_id: str
    zone: str
    listen: str
    ready_listen: str
    ready_path: str = "/readyz"
    control_addresses: tuple[str, ...]
    grace: datetime.timedelta
    router: router.Options
    metrics_listen: str | None = None
    peer_listen: str | None = None
