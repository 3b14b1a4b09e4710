"""Compute the load of each role at the target size from measured unit costs.

    python tools/capacity.py            print the tables
    python tools/capacity.py --check    fail if docs/CAPACITY.md is out of date
    python tools/capacity.py --write    write the tables to docs/CAPACITY.md

The unit costs (slopes) are in docs/slopes.json, each with the command that measured
it.
"""

import dataclasses
import json
import pathlib
import sys
import typing

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
SLOPES = ROOT / "docs/slopes.json"
BEGIN_MARKER = "<!-- tables begin: python tools/capacity.py --write -->"
END_MARKER = "<!-- tables end -->"

# Target size and service levels.
HOSTS = 5_400
ZONES = 6
UPSTREAMS = 88_000
QUERIES_PER_S = 3_700_000
FAN_OUT = 310  # upstreams for each query
DEADLINE_S = 0.220
ON_TIME_SHARE = 0.99
CHANGES_PER_DAY = 75_000
MAX_PROPAGATION_S = 19.0
RESTARTS_PER_DAY = 10_000
FAILURES_PER_DAY = 200
CONTROL_HOSTS = 18
# Budget of the control plane for each entry host.
CORES_BUDGET = 0.038
MEMORY_BUDGET_MB = 64.0
BYTES_PER_S_BUDGET = 2_048.0
DAY_S = 86_400.0

# Current deployments.
CURRENT_HOSTS = 9
CONNECTIONS_PER_UPSTREAM = 25
SLOTS_PER_UPSTREAM = (2, 6)  # minimum and maximum
SERVICE_TIME_S = 0.005  # of a sub-request
BATCH_WINDOW_S = 0.005
UPSTREAM_RESTARTS_PER_DAY = RESTARTS_PER_DAY / HOSTS * UPSTREAMS
BYTES_PER_MB = 1_000_000.0
# An announcement and its response, with their HTTP headers.
ANNOUNCEMENT_BYTES = 650
CURRENT_RENEWAL_INTERVAL_S = 1.0
TARGET_RENEWAL_INTERVAL_S = 30.0
DOCUMENT_SUBSCRIBERS = 8_000
MAX_FOLLOWER_CORE_SHARE = 0.03
USAGE_REPORT_TARGETS = 3
VOTERS = 5
LEARNERS = 11


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A row of a table.

    :param what: the quantity that is computed.
    :param bound: the limit that the value has to meet, or an empty string.
    :param verdict: ``met``, ``not met``, or ``-`` if there is no requirement.
    :param carried_by: the mechanism that provides the value, or a remark on it.
    """

    what: str
    value: str
    bound: str
    verdict: str
    carried_by: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlCost:
    """The cost of one control plane function for each entry host.

    :param cores: CPU time as a share of one core.
    """

    what: str
    cores: float
    bytes_per_s: float
    memory_mb: float
    carried_by: str


class Slopes:
    """Measured unit costs by name; a missing name raises ``KeyError``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._values_by_name = json.loads(path.read_text(encoding="utf-8"))

    def __getitem__(self, name: str) -> float:
        return float(self._values_by_name[name]["value"])

    def rows(self) -> list[tuple[str, str, str]]:
        """Return the name, value and command of every unit cost, sorted by name."""
        return [
            (name, f"{entry['value']:g}", f"`{entry['command']}`")
            for name, entry in sorted(self._values_by_name.items())
        ]


def load_rows() -> list[Row]:
    """Return the rows on the load of one entry host and one upstream."""
    sub_requests = QUERIES_PER_S * FAN_OUT
    per_upstream = sub_requests / UPSTREAMS
    slots_needed = per_upstream * SERVICE_TIME_S
    on_time_quantile = ON_TIME_SHARE ** (1 / FAN_OUT)
    late_share = 1 - on_time_quantile
    hedged_late_share = late_share**0.5
    return [
        Row(
            what="queries for each node",
            value=f"{QUERIES_PER_S / HOSTS:.0f}/s",
            bound="",
            verdict="-",
            carried_by="the platform's balancer",
        ),
        Row(
            what="sub-requests for each node",
            value=f"{sub_requests / HOSTS:,.0f}/s",
            bound="",
            verdict="-",
            carried_by="one owner host for each upstream, batches",
        ),
        Row(
            what="sub-requests for each upstream",
            value=f"{per_upstream:,.0f}/s",
            bound="",
            verdict="-",
            carried_by="its owner host",
        ),
        Row(
            what=f"slots an upstream needs at {SERVICE_TIME_S * 1000:.0f} ms each",
            value=f"{slots_needed:.0f}",
            bound=f"{SLOTS_PER_UPSTREAM[0]} to {SLOTS_PER_UPSTREAM[1]} today",
            verdict="not met",
            carried_by="upstreams that take a batch in one slot",
        ),
        Row(
            what="late replies allowed, without hedges",
            value=f"1 in {1 / late_share:,.0f}",
            bound=f"{DEADLINE_S * 1000:.0f} ms",
            verdict="-",
            carried_by="the quantile of one upstream that 310 of them need",
        ),
        Row(
            what="late replies allowed, each hedged at half the time",
            value=f"1 in {1 / hedged_late_share:,.0f}",
            bound=f"{DEADLINE_S * 500:.0f} ms",
            verdict="-",
            carried_by=f"hedges: {hedged_late_share:.2%} extra load, budget 5%",
        ),
    ]


def data_path_rows(slopes: Slopes) -> list[Row]:
    """Return the rows on the CPU time of the query path for each entry host."""
    sub_requests = QUERIES_PER_S * FAN_OUT / HOSTS
    cell_count = UPSTREAMS / FAN_OUT
    hosts_per_cell = HOSTS / cell_count
    peer_hosts = hosts_per_cell - 1
    batches = peer_hosts / BATCH_WINDOW_S
    owned = UPSTREAMS / HOSTS
    upstream_batches = owned / BATCH_WINDOW_S
    direct = sub_requests * (slopes["h11_exchange_us"] / 2) / 1e6
    decisions = sub_requests * slopes["core_sub_request_us"] / 1e6
    grouped_decisions = (
        QUERIES_PER_S / HOSTS * hosts_per_cell * slopes["core_sub_request_us"] / 1e6
    )
    calls = batches * slopes["peer_call_30kb_us"] / 1e6
    codec = 2 * sub_requests * slopes["batch_codec_sub_request_us"] / 1e6
    upstream_calls = upstream_batches * (slopes["h11_exchange_us"] / 2) / 1e6
    zone_calls = HOSTS / ZONES / BATCH_WINDOW_S * slopes["peer_call_30kb_us"] / 1e6
    return [
        cores_row("direct exchanges with upstreams", direct, "today's direct way"),
        cores_row("one decision a sub-request", decisions, "today's core"),
        cores_row(
            "batches to every owner of the zone",
            zone_calls,
            f"{HOSTS // ZONES} owners, a batch each {BATCH_WINDOW_S * 1000:.0f} ms",
        ),
        cores_row(
            f"batches inside a cell of {hosts_per_cell:.0f} nodes",
            calls,
            "a register's upstreams owned by one cell of nodes",
        ),
        cores_row("encoding and decoding batches", codec, "msgpack"),
        cores_row(
            "one decision for each owner and query",
            grouped_decisions,
            "owners choose replicas",
        ),
        cores_row(
            "batches from an owner to its upstreams",
            upstream_calls,
            f"{owned:.1f} upstreams; the upstreams' interface has no batch yet",
        ),
        cores_row(
            "cell, in all",
            calls + codec + grouped_decisions + upstream_calls,
            "several processes for each node: one loop has one core",
        ),
    ]


def cores_row(what: str, cores: float, carried_by: str) -> Row:
    """Return a row of CPU time; the bound is one core, as a process runs one loop."""
    return Row(
        what=what,
        value=f"{cores:.2f} cores",
        bound="1 for each process",
        verdict="met" if cores <= 1 else "not met",
        carried_by=carried_by,
    )


def connection_rows() -> list[Row]:
    """Return the rows on the connections to each upstream."""
    current = CONNECTIONS_PER_UPSTREAM / CURRENT_HOSTS
    direct = CONNECTIONS_PER_UPSTREAM / HOSTS
    return [
        Row(
            what="connections for each host and upstream, 9 hosts",
            value=f"{current:.1f}",
            bound="1",
            verdict="met",
            carried_by="shares by live membership",
        ),
        Row(
            what="the same with 5,400 hosts, direct",
            value=f"{direct:.4f}",
            bound="1",
            verdict="not met",
            carried_by="not possible: 25 connections, 5,400 hosts",
        ),
        Row(
            what="the same with one owner for each upstream",
            value=f"{CONNECTIONS_PER_UPSTREAM}",
            bound="1",
            verdict="met",
            carried_by="ownership (coordination/ownership.py)",
        ),
    ]


def control_rows(costs: list[ControlCost]) -> list[Row]:
    """Return the rows on the control costs of an entry host, and their sums."""
    rows = []
    for cost in costs:
        rows.append(
            Row(
                what=cost.what,
                value=(
                    f"{cost.cores * 100:.3f}% core, {cost.bytes_per_s:.0f} B/s, "
                    f"{cost.memory_mb:.1f} MB"
                ),
                bound="",
                verdict="-",
                carried_by=cost.carried_by,
            )
        )
    cores = sum(cost.cores for cost in costs)
    sent = sum(cost.bytes_per_s for cost in costs)
    memory = sum(cost.memory_mb for cost in costs)
    rows.append(budget_row("processor time", cores * 100, CORES_BUDGET * 100, "% core"))
    rows.append(budget_row("bytes", sent, BYTES_PER_S_BUDGET, "B/s"))
    rows.append(budget_row("memory", memory, MEMORY_BUDGET_MB, "MB"))
    return rows


def control_host_rows(slopes: Slopes) -> list[Row]:
    """Return the rows on the load of the dedicated control hosts."""
    serving_hosts = VOTERS + LEARNERS
    followers = HOSTS / serving_hosts
    changes = CHANGES_PER_DAY / DAY_S
    per_follower = changes * slopes["follower_change_us"] / 2
    per_follower += slopes["follower_idle_us_per_s"] / 2
    pause_s = (
        DOCUMENT_SUBSCRIBERS
        * slopes["document_parse_subscriber_us"]
        / 1e6
        / MAX_FOLLOWER_CORE_SHARE
    )
    return [
        Row(
            what="control hosts",
            value=f"{VOTERS} voters, {LEARNERS} learners",
            bound=f"{CONTROL_HOSTS}",
            verdict="met" if serving_hosts <= CONTROL_HOSTS else "not met",
            carried_by="replicated log, learners serve entry hosts",
        ),
        Row(
            what="entry hosts that follow one of them",
            value=f"{followers:.0f}",
            bound="",
            verdict="-",
            carried_by="any control host or peer",
        ),
        Row(
            what="processor time of one of them",
            value=f"{followers * per_follower / 1e6 * 100:.0f}% of a core",
            bound="a host set aside",
            verdict="-",
            carried_by="changes of a pause travel as one answer",
        ),
        Row(
            what="a change is in force everywhere within",
            value=f"{2 * pause_s + 1:.1f} s",
            bound=f"{MAX_PROPAGATION_S:.0f} s",
            verdict="met" if 2 * pause_s + 1 <= MAX_PROPAGATION_S else "not met",
            carried_by="pause of at most two readings, 1 s for the log and the calls",
        ),
    ]


def budget_row(what: str, value: float, budget: float, unit: str) -> Row:
    """Return a row that compares a sum with its budget."""
    return Row(
        what=f"**sum: {what}**",
        value=f"{value:,.2f} {unit}",
        bound=f"{budget:,.1f} {unit}",
        verdict="met" if value <= budget else "not met",
        carried_by="",
    )


def current_control_costs(slopes: Slopes) -> list[ControlCost]:
    """Return the control costs at the target size with the current implementation."""
    upstream_changes = 2 * UPSTREAM_RESTARTS_PER_DAY / DAY_S
    owned = UPSTREAMS / HOSTS
    return [
        membership_cost(slopes),
        ControlCost(
            what="changes of all upstreams, known to every host",
            cores=upstream_changes * slopes["directory_change_us"] / 1e6,
            bytes_per_s=upstream_changes * slopes["upstream_change_body_bytes"],
            memory_mb=UPSTREAMS * slopes["directory_entry_bytes"] / BYTES_PER_MB,
            carried_by="gossip and anti-entropy by zone digests",
        ),
        lease_cost(slopes, owned / CURRENT_RENEWAL_INTERVAL_S, "renewed each second"),
        configuration_cost(slopes),
        usage_cost(slopes, others=HOSTS - 1, who="every other host"),
    ]


def target_control_costs(slopes: Slopes) -> list[ControlCost]:
    """Return the control costs at the target size with the planned mechanisms."""
    cell_share = FAN_OUT / UPSTREAMS
    upstream_changes = 2 * UPSTREAM_RESTARTS_PER_DAY / DAY_S * cell_share
    owned = UPSTREAMS / HOSTS
    return [
        membership_cost(slopes),
        ControlCost(
            what="changes of the upstreams of the own cell",
            cores=upstream_changes * slopes["directory_change_us"] / 1e6,
            bytes_per_s=upstream_changes * slopes["upstream_change_body_bytes"],
            memory_mb=FAN_OUT * slopes["directory_entry_bytes"] / BYTES_PER_MB,
            carried_by="directory by cell: not built",
        ),
        lease_cost(
            slopes,
            owned / TARGET_RENEWAL_INTERVAL_S,
            "renewed each 30 s, work as proof",
        ),
        configuration_cost(slopes),
        usage_cost(
            slopes, others=USAGE_REPORT_TARGETS, who="3 hosts that add up: not built"
        ),
    ]


def membership_cost(slopes: Slopes) -> ControlCost:
    """Return the cost of failure detection among hosts and of their restarts."""
    events = (2 * RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S
    wire = slopes["membership_calls_per_s"] * slopes["wire_bytes_per_call"]
    idle = slopes["membership_body_bytes_per_s"] + wire
    return ControlCost(
        what="membership of hosts",
        cores=slopes["membership_core_share"],
        bytes_per_s=idle + events / 2 * slopes["host_restart_body_bytes"],
        memory_mb=HOSTS * slopes["known_host_bytes"] / BYTES_PER_MB,
        carried_by="probes on rings inside the zone, gossip, thin contact beyond it",
    )


def lease_cost(slopes: Slopes, renewals_per_s: float, how: str) -> ControlCost:
    """Return the cost of renewing the leases that a host keeps."""
    return ControlCost(
        what=f"leases, {how}",
        cores=renewals_per_s * slopes["h11_exchange_us"] / 1e6,
        bytes_per_s=renewals_per_s * ANNOUNCEMENT_BYTES,
        memory_mb=0.0,
        carried_by="home host by rendezvous; the answer says when to renew",
    )


def usage_cost(slopes: Slopes, *, others: int, who: str) -> ControlCost:
    """Return the cost of reporting usage four times a second to ``others`` hosts."""
    scale = others / (CURRENT_HOSTS - 1)
    wire = slopes["usage_calls_per_s_9_hosts"] * slopes["wire_bytes_per_call"]
    return ControlCost(
        what="reports of usage",
        cores=scale * slopes["usage_core_share_9_hosts"],
        bytes_per_s=scale * (slopes["usage_body_bytes_per_s_9_hosts"] + wire),
        memory_mb=0.0,
        carried_by=f"to {who}",
    )


def configuration_cost(slopes: Slopes) -> ControlCost:
    """Return the cost of following the configuration, with many subscribers in it."""
    changes = CHANGES_PER_DAY / DAY_S
    calls = changes * slopes["follower_change_us"] + slopes["follower_idle_us_per_s"]
    parsing_cores = min(
        changes * DOCUMENT_SUBSCRIBERS * slopes["document_parse_subscriber_us"] / 1e6,
        MAX_FOLLOWER_CORE_SHARE,
    )
    return ControlCost(
        what=f"configuration, {DOCUMENT_SUBSCRIBERS:,} subscribers",
        cores=calls / 2 / 1e6 + parsing_cores,
        bytes_per_s=slopes["follower_wire_bytes_per_s"],
        memory_mb=DOCUMENT_SUBSCRIBERS
        * (
            slopes["document_subscriber_memory_bytes"]
            + slopes["document_subscriber_bytes"]
        )
        / BYTES_PER_MB,
        carried_by="deltas from 16 control hosts; a pause that follows the cost",
    )


def render(slopes: Slopes) -> str:
    """Return all tables as Markdown."""
    parts = [
        "### Load\n",
        table(load_rows()),
        "### Query path, for each node\n",
        table(data_path_rows(slopes)),
        "### Connections\n",
        table(connection_rows()),
        "### Control, for each node, as built today\n",
        table(control_rows(current_control_costs(slopes))),
        "### Control, for each node, with the mechanisms of the target\n",
        table(control_rows(target_control_costs(slopes))),
        "### Control hosts\n",
        table(control_host_rows(slopes)),
        "### Slopes\n",
        slope_table(slopes),
    ]
    return "\n".join(parts)


def table(rows: typing.Sequence[Row]) -> str:
    """Return rows as a Markdown table."""
    lines = ["| what | value | bound | verdict | carried by |", "|---|---|---|---|---|"]
    lines += [
        f"| {row.what} | {row.value} | {row.bound} | {row.verdict} | {row.carried_by} |"
        for row in rows
    ]
    return "\n".join(lines) + "\n"


def slope_table(slopes: Slopes) -> str:
    """Return the unit costs as a Markdown table."""
    lines = ["| slope | value | measured by |", "|---|---|---|"]
    for name, value, command in slopes.rows():
        lines.append(f"| {name} | {value} | {command} |")
    return "\n".join(lines) + "\n"


def main(arguments: list[str]) -> int:
    """Print the tables, write them to the page or check the page."""
    text = f"{BEGIN_MARKER}\n\n{render(Slopes(SLOPES))}\n{END_MARKER}"
    if not arguments:
        print(text)
        return 0
    page = PAGE.read_text(encoding="utf-8")
    start, end = page.index(BEGIN_MARKER), page.index(END_MARKER) + len(END_MARKER)
    if arguments == ["--write"]:
        PAGE.write_text(page[:start] + text + page[end:], encoding="utf-8")
        return 0
    if page[start:end] == text:
        return 0
    print(f"{PAGE}: the tables differ from tools/capacity.py; run it with --write")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
