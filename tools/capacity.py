"""Work out what each role carries at the target size, from measured slopes.

    python tools/capacity.py            print the tables
    python tools/capacity.py --check    fail where docs/CAPACITY.md differs
    python tools/capacity.py --write    put the tables into docs/CAPACITY.md

The slopes are in docs/slopes.json; each names the command that measured it.
"""

import dataclasses
import json
import pathlib
import sys
import typing

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
SLOPES = ROOT / "docs/slopes.json"
BEGIN = "<!-- tables begin: python tools/capacity.py --write -->"
END = "<!-- tables end -->"

NODES = 5_400
ZONES = 6
LEAFS = 88_000
QUERIES_PER_S = 3_700_000
FAN_OUT = 310
DEADLINE_S = 0.220
GOOD_SHARE = 0.99
CHANGES_PER_DAY = 75_000
IN_FORCE_S = 19.0
RESTARTS_PER_DAY = 10_000
FAILURES_PER_DAY = 200
CONTROL_HOSTS = 18
BUDGET_CORE = 0.038
BUDGET_MEMORY_MB = 64.0
BUDGET_BYTES_PER_S = 2_048.0
DAY_S = 86_400.0

TODAY_HOSTS = 9
LEAF_CONNECTIONS = 25
LEAF_SLOTS = (2, 6)
TODAY_SERVICE_S = 0.005
BATCH_WINDOW_S = 0.005
UPSTREAM_RESTARTS_PER_DAY = RESTARTS_PER_DAY / NODES * LEAFS
MB = 1_000_000.0
# An announcement and its answer with their heads.
ANNOUNCEMENT_BYTES = 650
TODAY_RENEW_S = 1.0
TARGET_RENEW_S = 30.0
DOCUMENT_SUBSCRIBERS = 8_000
FOLLOWER_MAX_SHARE = 0.03
USAGE_PARTNERS = 3
VOTERS = 5
LEARNERS = 11


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One line of a table.

    :param verdict: ``met``, ``not met`` or ``-`` where nothing is promised.
    """

    what: str
    value: str
    bound: str
    verdict: str
    carried_by: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlLine:
    """What one duty costs a node."""

    what: str
    cores: float
    bytes_per_s: float
    memory_mb: float
    carried_by: str


class Slopes:
    """Measured slopes by name; using one that is missing is an error."""

    def __init__(self, path: pathlib.Path) -> None:
        self._values_by_name = json.loads(path.read_text(encoding="utf-8"))

    def __getitem__(self, name: str) -> float:
        return float(self._values_by_name[name]["value"])

    def rows(self) -> list[tuple[str, str, str]]:
        """Return (name, value, command) of every slope."""
        return [
            (name, f"{entry['value']:g}", f"`{entry['command']}`")
            for name, entry in sorted(self._values_by_name.items())
        ]


def load_rows() -> list[Row]:
    """What arrives at one node and one upstream."""
    sub_requests = QUERIES_PER_S * FAN_OUT
    per_leaf = sub_requests / LEAFS
    slots_needed = per_leaf * TODAY_SERVICE_S
    quantile = GOOD_SHARE ** (1 / FAN_OUT)
    miss = 1 - quantile
    hedged_miss = miss**0.5
    return [
        Row(
            what="queries for each node",
            value=f"{QUERIES_PER_S / NODES:.0f}/s",
            bound="",
            verdict="-",
            carried_by="the platform's balancer",
        ),
        Row(
            what="sub-requests for each node",
            value=f"{sub_requests / NODES:,.0f}/s",
            bound="",
            verdict="-",
            carried_by="one owner host for each upstream, batches",
        ),
        Row(
            what="sub-requests for each upstream",
            value=f"{per_leaf:,.0f}/s",
            bound="",
            verdict="-",
            carried_by="its owner host",
        ),
        Row(
            what=f"slots an upstream needs at {TODAY_SERVICE_S * 1000:.0f} ms each",
            value=f"{slots_needed:.0f}",
            bound=f"{LEAF_SLOTS[0]} to {LEAF_SLOTS[1]} today",
            verdict="not met",
            carried_by="upstreams that take a batch in one slot",
        ),
        Row(
            what="late replies allowed, without hedges",
            value=f"1 in {1 / miss:,.0f}",
            bound=f"{DEADLINE_S * 1000:.0f} ms",
            verdict="-",
            carried_by="the quantile of one upstream that 310 of them need",
        ),
        Row(
            what="late replies allowed, each hedged at half the time",
            value=f"1 in {1 / hedged_miss:,.0f}",
            bound=f"{DEADLINE_S * 500:.0f} ms",
            verdict="-",
            carried_by=f"hedges: {hedged_miss:.2%} extra load, budget 5%",
        ),
    ]


def data_path_rows(slopes: Slopes) -> list[Row]:
    """Processor time of the query path for each node, in cores."""
    sub_requests = QUERIES_PER_S * FAN_OUT / NODES
    registers = LEAFS / FAN_OUT
    cell = NODES / registers
    peers = cell - 1
    batches = peers / BATCH_WINDOW_S
    leafs_owned = LEAFS / NODES
    leaf_batches = leafs_owned / BATCH_WINDOW_S
    direct = sub_requests * (slopes["h11_exchange_us"] / 2) / 1e6
    decisions = sub_requests * slopes["core_sub_request_us"] / 1e6
    grouped = QUERIES_PER_S / NODES * cell * slopes["core_sub_request_us"] / 1e6
    calls = batches * slopes["peer_call_30kb_us"] / 1e6
    codec = 2 * sub_requests * slopes["batch_codec_sub_request_us"] / 1e6
    leaf_calls = leaf_batches * (slopes["h11_exchange_us"] / 2) / 1e6
    spread_calls = NODES / ZONES / BATCH_WINDOW_S * slopes["peer_call_30kb_us"] / 1e6
    return [
        cores_row("direct exchanges with upstreams", direct, "today's direct way"),
        cores_row("one decision a sub-request", decisions, "today's core"),
        cores_row(
            "batches to every owner of the zone",
            spread_calls,
            f"{NODES // ZONES} owners, a batch each {BATCH_WINDOW_S * 1000:.0f} ms",
        ),
        cores_row(
            f"batches inside a cell of {cell:.0f} nodes",
            calls,
            "a register's upstreams owned by one cell of nodes",
        ),
        cores_row("encoding and decoding batches", codec, "msgpack"),
        cores_row(
            "one decision for each owner and query", grouped, "owners choose replicas"
        ),
        cores_row(
            "batches from an owner to its upstreams",
            leaf_calls,
            f"{leafs_owned:.1f} upstreams; the upstreams' interface has no batch yet",
        ),
        cores_row(
            "cell, in all",
            calls + codec + grouped + leaf_calls,
            "several processes for each node: one loop has one core",
        ),
    ]


def cores_row(what: str, cores: float, carried_by: str) -> Row:
    """Return a row of processor time; one process has one core."""
    return Row(
        what=what,
        value=f"{cores:.2f} cores",
        bound="1 for each process",
        verdict="met" if cores <= 1 else "not met",
        carried_by=carried_by,
    )


def connection_rows() -> list[Row]:
    """Connections for each upstream."""
    today = LEAF_CONNECTIONS / TODAY_HOSTS
    direct = LEAF_CONNECTIONS / NODES
    return [
        Row(
            what="connections for each host and upstream, 9 hosts",
            value=f"{today:.1f}",
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
            value=f"{LEAF_CONNECTIONS}",
            bound="1",
            verdict="met",
            carried_by="ownership (coordination/ownership.py)",
        ),
    ]


def control_rows(lines: list[ControlLine]) -> list[Row]:
    """Processor time, bytes and memory for control, for each node."""
    rows = []
    for line in lines:
        rows.append(
            Row(
                what=line.what,
                value=(
                    f"{line.cores * 100:.3f}% core, {line.bytes_per_s:.0f} B/s, "
                    f"{line.memory_mb:.1f} MB"
                ),
                bound="",
                verdict="-",
                carried_by=line.carried_by,
            )
        )
    cores = sum(line.cores for line in lines)
    sent = sum(line.bytes_per_s for line in lines)
    memory = sum(line.memory_mb for line in lines)
    rows.append(budget_row("processor time", cores * 100, BUDGET_CORE * 100, "% core"))
    rows.append(budget_row("bytes", sent, BUDGET_BYTES_PER_S, "B/s"))
    rows.append(budget_row("memory", memory, BUDGET_MEMORY_MB, "MB"))
    return rows


def control_host_rows(slopes: Slopes) -> list[Row]:
    """What the hosts that are set aside for control carry."""
    serving = VOTERS + LEARNERS
    followers = NODES / serving
    changes = CHANGES_PER_DAY / DAY_S
    per_follower = changes * slopes["follower_change_us"] / 2
    per_follower += slopes["follower_idle_us_per_s"] / 2
    pause = (
        DOCUMENT_SUBSCRIBERS
        * slopes["document_parse_subscriber_us"]
        / 1e6
        / FOLLOWER_MAX_SHARE
    )
    return [
        Row(
            what="control hosts",
            value=f"{VOTERS} voters, {LEARNERS} learners",
            bound=f"{CONTROL_HOSTS}",
            verdict="met" if serving <= CONTROL_HOSTS else "not met",
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
            value=f"{2 * pause + 1:.1f} s",
            bound=f"{IN_FORCE_S:.0f} s",
            verdict="met" if 2 * pause + 1 <= IN_FORCE_S else "not met",
            carried_by="pause of at most two readings, 1 s for the log and the calls",
        ),
    ]


def budget_row(what: str, value: float, budget: float, unit: str) -> Row:
    """Return the sum of a budget."""
    return Row(
        what=f"**sum: {what}**",
        value=f"{value:,.2f} {unit}",
        bound=f"{budget:,.1f} {unit}",
        verdict="met" if value <= budget else "not met",
        carried_by="",
    )


def control_lines(slopes: Slopes) -> list[ControlLine]:
    """Return the duties of an entry host at the target size, as built today."""
    upstream_changes = 2 * UPSTREAM_RESTARTS_PER_DAY / DAY_S
    owned = LEAFS / NODES
    return [
        membership_line(slopes),
        ControlLine(
            what="changes of all upstreams, known to every host",
            cores=upstream_changes * slopes["directory_change_us"] / 1e6,
            bytes_per_s=upstream_changes * slopes["upstream_change_body_bytes"],
            memory_mb=LEAFS * slopes["directory_entry_bytes"] / MB,
            carried_by="gossip and anti-entropy by zone digests",
        ),
        lease_line(slopes, owned / TODAY_RENEW_S, "renewed each second"),
        configuration_line(slopes),
        usage_line(slopes, others=NODES - 1, who="every other host"),
    ]


def target_lines(slopes: Slopes) -> list[ControlLine]:
    """Return the same duties with the mechanisms that the target asks for."""
    cell_share = FAN_OUT / LEAFS
    upstream_changes = 2 * UPSTREAM_RESTARTS_PER_DAY / DAY_S * cell_share
    owned = LEAFS / NODES
    return [
        membership_line(slopes),
        ControlLine(
            what="changes of the upstreams of the own cell",
            cores=upstream_changes * slopes["directory_change_us"] / 1e6,
            bytes_per_s=upstream_changes * slopes["upstream_change_body_bytes"],
            memory_mb=FAN_OUT * slopes["directory_entry_bytes"] / MB,
            carried_by="directory by cell: not built",
        ),
        lease_line(slopes, owned / TARGET_RENEW_S, "renewed each 30 s, work as proof"),
        configuration_line(slopes),
        usage_line(slopes, others=USAGE_PARTNERS, who="3 hosts that add up: not built"),
    ]


def membership_line(slopes: Slopes) -> ControlLine:
    """Failure detection among hosts and their restarts."""
    events = (2 * RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S
    wire = slopes["membership_calls_per_s"] * slopes["wire_bytes_per_call"]
    idle = slopes["membership_body_bytes_per_s"] + wire
    return ControlLine(
        what="membership of hosts",
        cores=slopes["membership_core_share"],
        bytes_per_s=idle + events / 2 * slopes["host_restart_body_bytes"],
        memory_mb=NODES * slopes["known_host_bytes"] / MB,
        carried_by="probes on rings inside the zone, gossip, thin contact beyond it",
    )


def lease_line(slopes: Slopes, renewals_per_s: float, how: str) -> ControlLine:
    """Renewals of the upstreams whose lease a host keeps."""
    return ControlLine(
        what=f"leases, {how}",
        cores=renewals_per_s * slopes["h11_exchange_us"] / 1e6,
        bytes_per_s=renewals_per_s * ANNOUNCEMENT_BYTES,
        memory_mb=0.0,
        carried_by="home host by rendezvous; the answer says when to renew",
    )


def usage_line(slopes: Slopes, *, others: int, who: str) -> ControlLine:
    """Reports of what subscribers used, four a second to each of some hosts."""
    each = others / (TODAY_HOSTS - 1)
    wire = slopes["usage_calls_per_s_9_hosts"] * slopes["wire_bytes_per_call"]
    return ControlLine(
        what="reports of usage",
        cores=each * slopes["usage_core_share_9_hosts"],
        bytes_per_s=each * (slopes["usage_body_bytes_per_s_9_hosts"] + wire),
        memory_mb=0.0,
        carried_by=f"to {who}",
    )


def configuration_line(slopes: Slopes) -> ControlLine:
    """Following the configuration, with a document of many subscribers."""
    changes = CHANGES_PER_DAY / DAY_S
    calls = changes * slopes["follower_change_us"] + slopes["follower_idle_us_per_s"]
    reading = min(
        changes * DOCUMENT_SUBSCRIBERS * slopes["document_parse_subscriber_us"] / 1e6,
        FOLLOWER_MAX_SHARE,
    )
    return ControlLine(
        what=f"configuration, {DOCUMENT_SUBSCRIBERS:,} subscribers",
        cores=calls / 2 / 1e6 + reading,
        bytes_per_s=slopes["follower_wire_bytes_per_s"],
        memory_mb=DOCUMENT_SUBSCRIBERS
        * (
            slopes["document_subscriber_memory_bytes"]
            + slopes["document_subscriber_bytes"]
        )
        / MB,
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
        table(control_rows(control_lines(slopes))),
        "### Control, for each node, with the mechanisms of the target\n",
        table(control_rows(target_lines(slopes))),
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
    """Return the slopes as a Markdown table."""
    lines = ["| slope | value | measured by |", "|---|---|---|"]
    for name, value, command in slopes.rows():
        lines.append(f"| {name} | {value} | {command} |")
    return "\n".join(lines) + "\n"


def main(arguments: list[str]) -> int:
    """Print, write or check the tables."""
    text = f"{BEGIN}\n\n{render(Slopes(SLOPES))}\n{END}"
    if not arguments:
        print(text)
        return 0
    page = PAGE.read_text(encoding="utf-8")
    start, end = page.index(BEGIN), page.index(END) + len(END)
    if arguments == ["--write"]:
        PAGE.write_text(page[:start] + text + page[end:], encoding="utf-8")
        return 0
    if page[start:end] == text:
        return 0
    print(f"{PAGE}: the tables differ from tools/capacity.py; run it with --write")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
