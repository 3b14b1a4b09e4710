"""Settings of the router."""

import dataclasses

from greengagehaven.coordination.routing import fleet, mechanisms, versions
from greengagehaven.coordination.shared_budgets import demand_shares


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Settings of the router.

    :param zone: availability zone of this host.
    :param host_id: id of this host, unique in its zone.
    :param retry_ratio: extra attempts allowed for each request of a service.
    :param retry_burst: extra attempts allowed in addition, over all hosts.
    :param retry_window: seconds over which they are counted.
    :param cold_bound: factor and slack on the request rate of cold upstreams, over all
        hosts.
    :param exposure_bound: limit, over all hosts, of the requests to a software version
        of a service that is not proved.
    :param usage_caps: how teams' usage is counted over all hosts, ``None`` for no caps.
    :param enabled_mechanisms: mechanisms that are enabled; all of them except in
        trials.
    :param revoke_within: seconds after the revocation of a key from which no host may
        accept it, ``None`` for no such limit.
    """

    zone: str
    host_id: str = ""
    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    retry_window: float = 10.0
    cold_bound: fleet.ColdRateLimit = fleet.ColdRateLimit()
    exposure_bound: versions.ExposureLimit = versions.ExposureLimit()
    usage_caps: demand_shares.CapSettings | None = None
    enabled_mechanisms: mechanisms.Mechanisms = mechanisms.Mechanisms()
    revoke_within: float | None = None
