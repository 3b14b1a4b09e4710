"""Generate the traces in features/traces from deployments and failure scenarios.

    python tools/write_traces.py

Traces can also be written by hand. This script avoids repeating the announcements
of every upstream of a deployment in each trace.
"""

import dataclasses
import json
import pathlib

TRACES_DIR = pathlib.Path(__file__).parent.parent / "features/traces"
KEY_SHA256 = "0" * 64
SECOND_KEY_SHA256 = "1" * 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceGroup:
    """A group of services that share a name prefix and a size.

    :param replicas: number of replicas of each service; every replica is an upstream
        that holds all shards of the service.
    :param slots: sub-requests that an upstream runs at a time.
    :param max_connections: maximum connections to an upstream.
    :param shards: number of shards of each service.
    """

    prefix: str
    services: int
    replicas: int
    slots: int
    max_connections: int
    shards: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A deployment at its current size.

    :param zones: the availability zones, one letter each.
    :param hop_ms: latency of a network hop in milliseconds.
    :param document: the sections on request kinds of its configuration document.
    """

    name: str
    zones: str
    hop_ms: float
    groups: tuple[ServiceGroup, ...]
    document: str


GEORGIA = Deployment(
    name="georgia",
    zones="abcd",
    hop_ms=0.5,
    groups=(
        ServiceGroup(
            prefix="buyer", services=10, replicas=3, slots=2, max_connections=25
        ),
        ServiceGroup(
            prefix="clerk", services=15, replicas=3, slots=2, max_connections=25
        ),
        ServiceGroup(
            prefix="viewer", services=1, replicas=4, slots=6, max_connections=110
        ),
        ServiceGroup(
            prefix="audit", services=1, replicas=4, slots=6, max_connections=110
        ),
    ),
    document="""
[kinds.sweep]
deadline_ms = 2000
[kinds.lookup]
fan_out = "key"
deadline_ms = 1000
[kinds.browse]
coverage = "partial"
answer_after_ms = 400
deadline_ms = 1000
[kinds.retire]
fan_out = "key"
idempotent = false
deadline_ms = 2000
""",
)
NORWAY = Deployment(
    name="norway",
    zones="abc",
    hop_ms=1.5,
    groups=(
        ServiceGroup(
            prefix="screening", services=10, replicas=3, slots=2, max_connections=25
        ),
        ServiceGroup(
            prefix="billing", services=15, replicas=3, slots=2, max_connections=25
        ),
        ServiceGroup(
            prefix="bailiff", services=1, replicas=4, slots=4, max_connections=45
        ),
        ServiceGroup(
            prefix="intake", services=1, replicas=3, slots=4, max_connections=45
        ),
    ),
    document="""
[kinds.sweep]
standing = 10
deadline_ms = 3000
[kinds.name-check]
standing = -10
deadline_ms = 1000
[kinds.case-lookup]
fan_out = "key"
deadline_ms = 1000
[kinds.scan]
coverage = "partial"
answer_after_ms = 900
deadline_ms = 2000
[kinds.billed]
fan_out = "key"
idempotent = false
deadline_ms = 2000
""",
)
ENTRY_HOSTS = 9


def services_of(group: ServiceGroup) -> list[str]:
    """Return the names of the services of a group."""
    return [f"{group.prefix}-{number}" for number in range(group.services)]


def header_with_control_hosts(deployment: Deployment, story: str, seed: int) -> dict:
    """Return the header of a trace with three control hosts."""
    control_hosts = [
        {"id": f"c-{number}", "zone": deployment.zones[number]} for number in range(3)
    ]
    return {**header(deployment, story, seed), "control_hosts": control_hosts}


def document_with_share(deployment: Deployment, seed: int, share: float) -> str:
    """Return the deployment's document with a share set for one subscriber."""
    text = header(deployment, "", seed)["document"]
    return text.replace(
        "[subscribers.bulk]\n", f"[subscribers.bulk]\nshare = {share}\n"
    )


def change(change_id: str, at: float, **fields) -> dict:
    """Return the line of a change that an operator submits."""
    fields.setdefault("author", f"operator-{change_id}")
    return {"type": "change", "at": at, "change_id": change_id, **fields}


def header(deployment: Deployment, story: str, seed: int) -> dict:
    """Return the header, the first line of a trace."""
    zones = deployment.zones
    services = [name for group in deployment.groups for name in services_of(group)]
    text = "version = 1\n"
    text += f'[subscribers.verifier]\nkey_sha256 = ["{KEY_SHA256}"]\n'
    text += f'[subscribers.bulk]\nkey_sha256 = ["{SECOND_KEY_SHA256}"]\n'
    text += "".join(f"[services.{name}]\n" for name in services)
    return {
        "version": 1,
        "seed": seed,
        "story": " ".join(story.split()),
        "hop_ms": deployment.hop_ms,
        "entry_hosts": [
            {"id": f"h-{number}", "zone": zones[number % len(zones)]}
            for number in range(ENTRY_HOSTS)
        ],
        "document": text + deployment.document,
    }


def announce(
    upstream_id: str,
    *,
    at: float = 0.0,
    service: str,
    group: ServiceGroup,
    zone: str,
    shards: tuple[int, ...] | None = None,
    shard_count: int | None = None,
    partitioning: int = 1,
    snapshots: tuple[int, ...] = (41,),
    incarnation: int = 1,
    sequence: int = 1,
    state: str = "ready",
) -> dict:
    """Return the line of an upstream's announcement."""
    count = shard_count or group.shards
    held_shards = range(count) if shards is None else shards
    return {
        "type": "announce",
        "at": at,
        "announcement": {
            "id": upstream_id,
            "incarnation": incarnation,
            "sequence": sequence,
            "address": "127.0.0.1:9",
            "availability_zone": zone,
            "state": state,
            "slots": group.slots,
            "max_connections": group.max_connections,
            "snapshots": list(snapshots),
            "shards": [
                {
                    "service": service,
                    "shard": shard,
                    "shard_count": count,
                    "partitioning": partitioning,
                }
                for shard in held_shards
            ],
        },
    }


def announce_all(deployment: Deployment, **options) -> list[dict]:
    """Return the announcement lines of all upstreams of a deployment."""
    lines = []
    for group in deployment.groups:
        for service in services_of(group):
            for replica in range(group.replicas):
                zone = deployment.zones[replica % len(deployment.zones)]
                lines.append(
                    announce(
                        f"{service}-{replica}",
                        service=service,
                        group=group,
                        zone=zone,
                        **options,
                    )
                )
    return lines


def search(request: str, **fields) -> dict:
    """Return the line of one or more requests of a caller."""
    fields.setdefault("subscriber", "verifier")
    return {"type": "search", "request": request, **fields}


def line(kind: str, **fields) -> dict:
    """Return a line of the given type."""
    return {"type": kind, **fields}


def save_trace(name: str, lines: list[dict]) -> None:
    """Write a trace to ``features/traces/NAME.jsonl``."""
    text = "".join(json.dumps(item, separators=(",", ":")) + "\n" for item in lines)
    (TRACES_DIR / f"{name}.jsonl").write_text(text, encoding="utf-8")


SWEEP = {"kind": "sweep", "count": 200, "every_ms": 10}
GEORGIA_WARM_UP_SEARCH = search(
    "warm-", at=0.1, services=["buyer-0", "clerk-0"], **SWEEP
)
NORWAY_WARM_UP_SEARCH = search(
    "warm-", at=0.1, services=["screening-0", "billing-0"], **SWEEP
)


def write_georgia_straggler() -> None:
    """One replica of each service is ten times slower than the others."""
    story = """One upstream in three answers ten times slower than its peers. The
    buyers' sweeps still have to come back whole and soon: every sale waits for
    the slowest shard."""
    slow_upstreams = ["buyer-*-0", "clerk-*-0"]
    services = [f"buyer-{number}" for number in range(5)]
    save_trace(
        "georgia-straggler",
        [
            header(GEORGIA, story, 11),
            *announce_all(GEORGIA),
            search("warm-", at=0.1, services=services, **SWEEP),
            line("behave", at=2.5, upstreams=slow_upstreams, latency_ms=50),
            search("slow-", at=2.6, services=services, **SWEEP),
            line("expect_answer", at=6.0, request="", complete=True),
            line("expect_latency", request="slow-", quantile=0.99, at_most_ms=60),
            line("expect_extra_load", at_most=0.06),
        ],
    )


def write_georgia_lost_replicas() -> None:
    """All replicas of a service crash during sweeps."""
    story = """All replicas of one service die without a word while sweeps run. A
    browse must say that the service is missing, a sweep must be refused; neither
    may look complete."""
    services = ["buyer-0", "buyer-1"]
    save_trace(
        "georgia-lost-replicas",
        [
            header(GEORGIA, story, 12),
            *announce_all(GEORGIA),
            search("before-", at=0.5, services=services, **SWEEP),
            line("behave", at=3.0, upstreams=["buyer-0-*"], mode="crash"),
            search("browse-", at=8.0, kind="browse", services=services, count=20),
            search("sweep-", at=8.0, kind="sweep", services=services, count=20),
            line("expect_answer", at=3.0, request="before-", complete=True),
            line(
                "expect_answer",
                at=8.5,
                request="browse-",
                complete=False,
                answered=1,
                total=2,
            ),
            line(
                "expect_refusal", at=8.5, request="sweep-", code="incomplete", ran="no"
            ),
        ],
    )


def write_georgia_snapshot_change() -> None:
    """The upstreams load a new index version one by one."""
    story = """The index of the whole register moves from 41 to 42 while sweeps
    run; upstreams load the new version one after the other and then drop the old
    one. No answer may hold rows of both."""
    lines = [header(GEORGIA, story, 13), *announce_all(GEORGIA)]
    group = GEORGIA.groups[0]
    for step, snapshots in enumerate(((41, 42), (42,))):
        for number in range(group.services):
            for replica in range(group.replicas):
                lines.append(
                    announce(
                        f"buyer-{number}-{replica}",
                        at=1.0 + step + 0.03 * number + 0.01 * replica,
                        service=f"buyer-{number}",
                        group=group,
                        zone=GEORGIA.zones[replica],
                        snapshots=snapshots,
                        sequence=2 + step,
                    )
                )
    services = [f"buyer-{number}" for number in range(10)]
    lines += [
        search(
            "sweep-", at=0.5, services=services, kind="sweep", count=300, every_ms=8
        ),
        search("last-", at=4.0, services=services, kind="sweep", count=20),
        line("expect_answer", at=4.0, request="sweep-", complete=True, total=10),
        line("expect_answer", at=4.5, request="last-", complete=True, snapshot=42),
    ]
    save_trace("georgia-snapshot-change", lines)


def write_georgia_zone_drain() -> None:
    """A zone is drained under load and restored."""
    story = """Operators take availability zone b out of service at short notice
    and bring it back. No query may fail or be incomplete for it, no new work may
    reach the zone meanwhile, and its upstreams work again afterwards."""
    services = [f"clerk-{number}" for number in range(5)]
    drained_upstreams = ["clerk-*-1", "buyer-*-1"]
    save_trace(
        "georgia-zone-drain",
        [
            header(GEORGIA, story, 14),
            *announce_all(GEORGIA),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=900,
                every_ms=10,
            ),
            line("drain", at=2.0, zones=["b"]),
            line("drain", at=6.0, zones=[]),
            line("expect_answer", at=12.0, request="sweep-", complete=True),
            line(
                "expect_work",
                at=0.5,
                until=2.0,
                upstreams=drained_upstreams,
                at_least=20,
            ),
            line("expect_no_work", at=2.5, until=6.0, upstreams=drained_upstreams),
            line(
                "expect_work",
                at=6.5,
                until=9.5,
                upstreams=drained_upstreams,
                at_least=20,
            ),
        ],
    )


def write_norway_poison() -> None:
    """A query that crashes every upstream running it is retried by its caller."""
    story = """A name check with a peculiar name crashes the upstream that runs it.
    The caller sends it again every 100 ms through other hosts. At most two
    upstreams may be lost to it, and everyone else's checks go on."""
    services = ["bailiff-0"]
    save_trace(
        "norway-poison",
        [
            header(NORWAY, story, 21),
            *announce_all(NORWAY),
            line("behave", upstreams=["*"], poison="Bobby"),
            search(
                "good-",
                at=0.5,
                services=services,
                kind="name-check",
                count=500,
                every_ms=10,
            ),
            search(
                "bad-",
                at=1.0,
                services=services,
                kind="name-check",
                query={"name": "Bobby"},
                count=40,
                every_ms=100,
                subscriber="bulk",
            ),
            line("expect_crashes", at=6.0, at_most=2),
            line("expect_answer", at=7.0, request="good-", complete=True, share=0.99),
            line(
                "expect_refusal",
                at=7.0,
                request="bad-",
                code="quarantined",
                share=0.9,
            ),
        ],
    )


def write_norway_billed_resend() -> None:
    """A non-idempotent query is resent through other hosts while it runs."""
    story = """A debt collector's billed query is slow. Its caller gives up and
    sends it again with the same key through every other host. The client must be
    billed once."""
    lines = [header(NORWAY, story, 22), *announce_all(NORWAY), NORWAY_WARM_UP_SEARCH]
    lines.append(line("behave", upstreams=["billing-3-*"], latency_ms=400))
    for number in range(ENTRY_HOSTS):
        lines.append(
            search(
                f"billed-{number}",
                at=3.0 + 0.1 * number,
                host=f"h-{number}",
                services=["billing-3"],
                kind="billed",
                query={"key": "19750412-1234"},
                idempotency_key="invoice-77",
            )
        )
    lines.append(line("expect_runs", idempotency_key="invoice-77", at_most=1))
    lines.append(line("expect_answer", at=4.0, request="billed-0", complete=True))
    save_trace("norway-billed-resend", lines)


def write_norway_cold_start() -> None:
    """An upstream restarts with a cold cache and little capacity."""
    story = """An upstream of a service restarts and bears one sub-request at a
    time for its first seconds; above that it falls over. Nine hosts that do not
    see each other's work must not topple it, and once it is warm it is used
    again."""
    group = NORWAY.groups[0]
    restarted = announce(
        "screening-0-0",
        at=3.0,
        service="screening-0",
        group=group,
        zone="a",
        incarnation=2,
    )
    save_trace(
        "norway-cold-start",
        [
            header(NORWAY, story, 23),
            *announce_all(NORWAY),
            search(
                "sweep-",
                at=0.5,
                services=["screening-0"],
                kind="sweep",
                count=1200,
                every_ms=8,
            ),
            line("behave", at=2.0, upstreams=["screening-0-0"], mode="crash"),
            line("behave", at=2.9, upstreams=["screening-0-0"], cold_slots=1),
            restarted,
            line("behave", at=6.0, upstreams=["screening-0-0"]),
            line("expect_crashes", at=12.0, at_most=1),
            line("expect_answer", at=13.0, request="sweep-", complete=True),
            line(
                "expect_work",
                at=8.0,
                until=10.0,
                upstreams=["screening-0-0"],
                at_least=40,
            ),
        ],
    )


def write_norway_silent_connections() -> None:
    """A third of the upstreams stop replying but keep announcing themselves."""
    story = """Connections to a third of the upstreams go silent for good, with
    neither reset nor reply, while the upstreams go on announcing themselves.
    Sweeps in flight must recover within their deadline through other replicas."""
    services = [f"screening-{number}" for number in range(5)]
    save_trace(
        "norway-silent-connections",
        [
            header(NORWAY, story, 24),
            *announce_all(NORWAY),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=600,
                every_ms=10,
            ),
            line("behave", at=3.0, upstreams=["screening-*-0"], mode="silent"),
            line("expect_answer", at=10.0, request="sweep-", complete=True),
        ],
    )


def write_norway_wrong_echo() -> None:
    """An upstream sends replies that belong to other requests."""
    story = """A proxy between a host and an upstream mixes up replies, so that one
    upstream answers with other callers' rows. They must be thrown away and the
    shard answered by a replica."""
    save_trace(
        "norway-wrong-echo",
        [
            header(NORWAY, story, 25),
            *announce_all(NORWAY),
            line("behave", upstreams=["billing-*-1"], mode="wrong_echo"),
            search(
                "sweep-",
                at=0.5,
                services=["billing-0", "billing-1"],
                kind="sweep",
                count=200,
                every_ms=20,
            ),
            line("expect_answer", at=6.0, request="sweep-", complete=True, rows=2),
        ],
    )


def write_georgia_repartition_with_loss() -> None:
    """A replica crashes while its service is split into more shards."""
    story = """A service goes from one shard to two while queries run, and in the
    middle of it a replica of the old partitioning dies. Answers come from one
    partitioning, and their total is that partitioning's."""
    group = GEORGIA.groups[0]
    lines = [header(GEORGIA, story, 15), *announce_all(GEORGIA)]
    for replica, zone in enumerate("abcd"):
        lines.append(
            announce(
                f"buyer-0-new-{replica}",
                at=1.0 + 0.4 * replica,
                service="buyer-0",
                group=group,
                zone=zone,
                shards=(replica % 2,),
                shard_count=2,
                partitioning=2,
            )
        )
    lines += [
        line("behave", at=1.2, upstreams=["buyer-0-0"], mode="crash"),
        line("withdraw", at=3.0, upstream="buyer-0-1"),
        line("withdraw", at=3.0, upstream="buyer-0-2"),
        search(
            "old-", at=0.2, services=["buyer-0"], kind="sweep", count=70, every_ms=10
        ),
        search(
            "new-", at=4.0, services=["buyer-0"], kind="sweep", count=100, every_ms=10
        ),
        search(
            "all-", at=0.2, services=["buyer-0"], kind="sweep", count=480, every_ms=10
        ),
        line("expect_answer", at=2.0, request="old-", complete=True, total=1),
        line("expect_answer", at=6.0, request="new-", complete=True, total=2),
        line("expect_answer", at=6.0, request="all-", complete=True),
    ]
    save_trace("georgia-repartition-with-loss", lines)


def write_georgia_leaving_upstream() -> None:
    """One upstream withdraws and another one announces that it is draining."""
    story = """One upstream takes its announcement back and another one announces
    that it is draining. Both finish what they have; neither may get new work."""
    group = GEORGIA.groups[1]
    draining = announce(
        "clerk-0-1",
        at=2.0,
        service="clerk-0",
        group=group,
        zone="b",
        sequence=2,
        state="draining",
    )
    save_trace(
        "georgia-leaving-upstream",
        [
            header(GEORGIA, story, 16),
            *announce_all(GEORGIA),
            search(
                "sweep-",
                at=0.5,
                services=["clerk-0"],
                kind="sweep",
                count=400,
                every_ms=10,
            ),
            line("withdraw", at=2.0, upstream="clerk-0-0"),
            draining,
            line("expect_answer", at=6.0, request="sweep-", complete=True),
            line("expect_work", at=0.5, until=2.0, upstreams=["clerk-0-0"]),
            line(
                "expect_no_work",
                at=2.5,
                until=20.0,
                upstreams=["clerk-0-0", "clerk-0-1"],
            ),
        ],
    )


def write_norway_partition() -> None:
    """Zones are partitioned and heal; each side continues with its own upstreams."""
    story = """Availability zone c is cut off from the other two and comes back.
    Each side has a replica of every shard and must go on from the first second,
    within the deadline and with complete answers."""
    services = [f"screening-{number}" for number in range(3)]
    save_trace(
        "norway-partition",
        [
            header(NORWAY, story, 26),
            *announce_all(NORWAY),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=1500,
                every_ms=10,
            ),
            line("partition", at=3.0, groups=[["a", "b"], ["c"]]),
            line("partition", at=10.0, groups=[]),
            line("expect_answer", at=20.0, request="sweep-", complete=True),
            line("expect_work", at=11.0, until=15.0, upstreams=["*-2"], at_least=100),
        ],
    )


def write_norway_partition_one_way() -> None:
    """A one-way partition: a zone can send to the others but not receive from them."""
    story = """Messages from zone a still arrive in b and c, but nothing gets back
    to a. Its hosts send work that is run and never answered; queries must recover
    on replicas that do answer, and no billed query may run twice."""
    services = [f"screening-{number}" for number in range(3)]
    save_trace(
        "norway-partition-one-way",
        [
            header(NORWAY, story, 27),
            *announce_all(NORWAY),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=1000,
                every_ms=10,
            ),
            line("partition", at=3.0, groups=[["a"], ["b", "c"]], one_way=True),
            line("partition", at=8.0, groups=[]),
            line("expect_answer", at=15.0, request="sweep-", complete=True),
        ],
    )


def write_georgia_zone_alone() -> None:
    """A partitioned zone has replicas of only some services."""
    story = """Zone d is cut off. It has a replica of the viewer's service and none
    of the clerks'. Its hosts must answer what they can at once and say truthfully
    what is missing, never that a partial search is whole."""
    save_trace(
        "georgia-zone-alone",
        [
            header(GEORGIA, story, 17),
            *announce_all(GEORGIA),
            search("warm-", at=0.1, services=["viewer-0", "clerk-0"], **SWEEP),
            line("partition", at=3.0, groups=[["a", "b", "c"], ["d"]]),
            search(
                "viewer-",
                at=9.0,
                host="h-3",
                services=["viewer-0"],
                kind="sweep",
                count=50,
                every_ms=20,
            ),
            search(
                "both-",
                at=9.0,
                host="h-3",
                services=["viewer-0", "clerk-0"],
                kind="browse",
                count=50,
                every_ms=20,
            ),
            line("expect_answer", at=11.0, request="viewer-", complete=True),
            line(
                "expect_answer",
                at=11.0,
                request="both-",
                complete=False,
                answered=1,
                total=2,
            ),
        ],
    )


def write_norway_restart_in_partition() -> None:
    """An entry host restarts inside a partitioned zone."""
    story = """Zone c is cut off, and one of its entry hosts restarts with nothing
    in memory. It has to start from a peer in its zone and serve what the zone's
    upstreams cover."""
    services = ["screening-0", "billing-0"]
    save_trace(
        "norway-restart-in-partition",
        [
            header(NORWAY, story, 28),
            *announce_all(NORWAY),
            search("warm-", at=0.1, services=services, **SWEEP),
            line("partition", at=3.0, groups=[["a", "b"], ["c"]]),
            line("lose_host", at=5.0, host="h-2"),
            line("restart_host", at=6.0, host="h-2"),
            search(
                "after-",
                at=11.0,
                host="h-2",
                services=services,
                kind="sweep",
                count=100,
                every_ms=10,
            ),
            line("expect_answer", at=13.0, request="after-", complete=True),
        ],
    )


def write_georgia_second_loss_after_repair() -> None:
    """A second entry host fails just after the first one has come back."""
    story = """An entry host is lost and comes back; a moment later its neighbour
    is lost, home of other leases. Callers of the hosts that live must notice
    nothing, and no upstream may drop out of the directory."""
    services = [f"buyer-{number}" for number in range(6)]
    save_trace(
        "georgia-second-loss-after-repair",
        [
            header(GEORGIA, story, 18),
            *announce_all(GEORGIA),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=800,
                every_ms=10,
            ),
            line("lose_host", at=2.0, host="h-0"),
            line("restart_host", at=4.0, host="h-0"),
            line("lose_host", at=4.3, host="h-4"),
            search("last-", at=9.0, services=services, kind="sweep", count=50),
            line("expect_answer", at=12.0, request="sweep-", complete=True, share=0.99),
            line("expect_answer", at=12.0, request="last-", complete=True, total=6),
        ],
    )


def write_georgia_planned_stop() -> None:
    """Three entry hosts are shut down gracefully, one after the other."""
    story = """Operators replace entry hosts one after the other under load. A
    planned stop cuts off nothing that is in flight, and nobody notices it."""
    services = [f"buyer-{number}" for number in range(6)]
    save_trace(
        "georgia-planned-stop",
        [
            header(GEORGIA, story, 19),
            *announce_all(GEORGIA),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=900,
                every_ms=10,
            ),
            line("stop_host", at=2.0, host="h-0"),
            line("stop_host", at=3.0, host="h-1"),
            line("restart_host", at=4.5, host="h-0"),
            line("stop_host", at=5.0, host="h-2"),
            line("expect_answer", at=12.0, request="sweep-", complete=True),
        ],
    )


def write_georgia_late_announcements() -> None:
    """Old announcements arrive after an upstream has withdrawn."""
    story = """An upstream leaves and its last announcements arrive late, through
    another host. They must not revive it: its callers would be sent to a process
    that is gone."""
    group = GEORGIA.groups[1]
    late_announcements = [
        announce(
            "clerk-0-0",
            at=moment,
            service="clerk-0",
            group=group,
            zone="a",
            sequence=1,
        )
        for moment in (2.2, 2.6, 3.4)
    ]
    save_trace(
        "georgia-late-announcements",
        [
            header(GEORGIA, story, 31),
            *announce_all(GEORGIA),
            search(
                "sweep-",
                at=0.5,
                services=["clerk-0"],
                kind="sweep",
                count=500,
                every_ms=10,
            ),
            line("withdraw", at=2.0, upstream="clerk-0-0"),
            *late_announcements,
            line("expect_answer", at=7.0, request="sweep-", complete=True),
            line("expect_no_work", at=2.5, until=20.0, upstreams=["clerk-0-0"]),
        ],
    )


def write_georgia_clock_steps() -> None:
    """The wall clocks of the hosts are stepped forward and back."""
    story = """Time synchronisation sets the hosts' wall clocks an hour forward and
    then two hours back. Leases and deadlines must not notice."""
    services = [f"clerk-{number}" for number in range(4)]
    save_trace(
        "georgia-clock-steps",
        [
            header(GEORGIA, story, 32),
            *announce_all(GEORGIA),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=500,
                every_ms=10,
            ),
            line("step_clock", at=2.0, seconds=3600),
            line("step_clock", at=4.0, seconds=-7200),
            line("expect_answer", at=7.0, request="sweep-", complete=True),
            line("expect_latency", request="sweep-", quantile=0.99, at_most_ms=40),
        ],
    )


def write_norway_straggler_and_loss() -> None:
    """One replica of each service is slow when another one crashes."""
    story = """One replica of each service has become ten times slower when another
    one dies without a word. One good replica is left, and the sweeps at the credit
    desk have to come back whole."""
    services = [f"screening-{number}" for number in range(4)]
    save_trace(
        "norway-straggler-and-loss",
        [
            header(NORWAY, story, 33),
            *announce_all(NORWAY),
            search(
                "sweep-",
                at=0.5,
                services=services,
                kind="sweep",
                count=700,
                every_ms=12,
            ),
            line("behave", at=2.0, upstreams=["screening-*-0"], latency_ms=50),
            line("behave", at=4.0, upstreams=["screening-*-1"], mode="crash"),
            line("expect_answer", at=14.0, request="sweep-", complete=True),
            line("expect_latency", request="sweep-", quantile=0.99, at_most_ms=500),
        ],
    )


def write_norway_heavy_subscriber() -> None:
    """One subscriber sends ten times the load that the upstreams can handle."""
    story = """One subscriber floods a service through all hosts with far more than
    its upstreams can do. Everyone else's checks must stay prompt and complete;
    the flood is refused truthfully."""
    save_trace(
        "norway-heavy-subscriber",
        [
            header(NORWAY, story, 34),
            *announce_all(NORWAY),
            search(
                "light-",
                at=0.5,
                services=["screening-0"],
                kind="name-check",
                count=300,
                every_ms=20,
            ),
            search(
                "flood-",
                at=1.5,
                services=["screening-0"],
                kind="name-check",
                subscriber="bulk",
                count=8000,
                every_ms=0.5,
            ),
            line("expect_answer", at=9.0, request="light-", complete=True, share=0.99),
            line("expect_latency", request="light-", quantile=0.95, at_most_ms=150),
            line(
                "expect_refusal",
                at=9.0,
                request="flood-",
                code="share_exceeded",
                ran="no",
                share=0.1,
            ),
        ],
    )


def write_norway_warm_turns_cold() -> None:
    """A warm upstream becomes cold without a restart."""
    story = """An upstream reloads its index: it answers slowly, and half a second
    later it falls over under more than one sub-request at a time. It announces
    nothing of this."""
    save_trace(
        "norway-warm-turns-cold",
        [
            header(NORWAY, story, 35),
            *announce_all(NORWAY),
            search(
                "sweep-",
                at=0.5,
                services=["screening-0"],
                kind="sweep",
                count=900,
                every_ms=10,
            ),
            line("behave", at=3.0, upstreams=["screening-0-0"], latency_ms=60),
            line(
                "behave",
                at=3.6,
                upstreams=["screening-0-0"],
                latency_ms=60,
                cold_slots=1,
            ),
            line("behave", at=6.0, upstreams=["screening-0-0"]),
            line("expect_crashes", at=12.0, at_most=0),
            line("expect_answer", at=13.0, request="sweep-", complete=True),
        ],
    )


def write_georgia_racing_operators() -> None:
    """Two operators change the same revision, and both retry after lost replies."""
    story = """Two operators send changes with the same number at the same moment,
    and both send them again because they saw no reply, one of them after the
    leading control host was lost. Exactly one may win, each gets its first result
    again, and no host may go back."""
    one, two = (document_with_share(GEORGIA, 51, share) for share in (2.0, 3.0))
    save_trace(
        "georgia-racing-operators",
        [
            header_with_control_hosts(GEORGIA, story, 51),
            change("one", 1.0, document=one, expected_revision=1),
            change("two", 1.0, document=two, expected_revision=1),
            change("one", 1.5, document=one, expected_revision=1),
            line("lose_control_host", at=2.0, host="c-0"),
            change("two", 2.1, document=two, expected_revision=1),
            line("restart_control_host", at=5.0, host="c-0"),
            line(
                "expect_changes",
                at=8.0,
                change_ids=["one", "two"],
                accepted=1,
                results=2,
                refused_code="revision_conflict",
            ),
            line("expect_revision", at=3.0, revision=2),
        ],
    )


def write_norway_control_host_cut_off() -> None:
    """A control host is partitioned for half a minute and comes back."""
    story = """Something between the hosts drops all packets of one control host for
    half a minute. Changes go on, every entry host has them within seconds though
    some followed the lost one, and its return disturbs nothing."""
    lines = [
        header_with_control_hosts(NORWAY, story, 52),
        *announce_all(NORWAY),
        search(
            "check-",
            at=0.5,
            services=["screening-0"],
            kind="name-check",
            count=900,
            every_ms=50,
        ),
        line("cut_hosts", at=2.0, hosts=["c-1"]),
    ]
    for number in range(10):
        text = document_with_share(NORWAY, 52, 2.0 + number)
        lines.append(change(f"n-{number}", 3.0 + 3 * number, document=text, via="c-2"))
    lines += [
        line("cut_hosts", at=35.0, hosts=[]),
        line("expect_revision", at=8.0, revision=2),
        line("expect_revision", at=34.0, revision=11),
        line(
            "expect_changes",
            at=34.0,
            change_ids=[f"n-{number}" for number in range(10)],
            accepted=10,
        ),
        line("expect_answer", at=50.0, request="check-", complete=True),
    ]
    save_trace("norway-control-host-cut-off", lines)


def write_norway_second_control_loss_after_repair() -> None:
    """A second control host fails just after the first one has come back."""
    story = """A control host is lost while changes go on and comes back on its disk;
    a second one fails just after the repair. Nothing that was accepted may be
    lost, and changes go on with the two that are left."""
    documents = [document_with_share(NORWAY, 53, 2.0 + number) for number in range(3)]
    save_trace(
        "norway-second-control-loss-after-repair",
        [
            header_with_control_hosts(NORWAY, story, 53),
            line("lose_control_host", at=1.0, host="c-0"),
            change("first", 2.0, document=documents[0]),
            line("restart_control_host", at=5.0, host="c-0"),
            line("lose_control_host", at=5.3, host="c-1"),
            change("second", 5.4, document=documents[1], expected_revision=2),
            line("restart_control_host", at=9.0, host="c-1"),
            line("lose_control_host", at=9.3, host="c-2"),
            change("third", 9.4, document=documents[2], expected_revision=3),
            line(
                "expect_changes",
                at=14.0,
                change_ids=["first", "second", "third"],
                accepted=3,
            ),
            line("expect_revision", at=15.0, revision=4),
        ],
    )


def write_georgia_restart_after_many_changes() -> None:
    """Every host restarts after hundreds of changes."""
    story = """Three hundred changes have accumulated when a power failure restarts
    every control host and every entry host. All of them must come back to the last
    revision and answer again."""
    lines = [header_with_control_hosts(GEORGIA, story, 54), *announce_all(GEORGIA)]
    for number in range(300):
        text = document_with_share(GEORGIA, 54, 1.0 + number / 100)
        lines.append(change(f"n-{number}", 1.0 + 0.02 * number, document=text))
    for number in range(3):
        lines.append(line("lose_control_host", at=9.0, host=f"c-{number}"))
        lines.append(line("restart_control_host", at=10.0, host=f"c-{number}"))
    for number in range(ENTRY_HOSTS):
        lines.append(line("lose_host", at=9.0, host=f"h-{number}"))
        lines.append(line("restart_host", at=10.0, host=f"h-{number}"))
    lines += [
        search(
            "after-",
            at=15.0,
            services=["buyer-0", "clerk-0"],
            kind="sweep",
            count=100,
            every_ms=10,
        ),
        line(
            "expect_changes",
            at=9.0,
            change_ids=[f"n-{number}" for number in range(300)],
            accepted=300,
        ),
        line("expect_revision", at=9.0, revision=301),
        line("expect_revision", at=13.0, revision=301),
        line("expect_answer", at=18.0, request="after-", complete=True),
    ]
    save_trace("georgia-restart-after-many-changes", lines)


def write_georgia_drain_in_partition() -> None:
    """A zone is drained while another one is partitioned."""
    story = """Zone d is cut off when operators drain zone b. The others stop sending
    work to b within seconds; d learns of it when it comes back, and only then may
    it reach b again. Nobody's answer is incomplete for it."""
    services = [f"buyer-{number}" for number in range(4)]
    drained_upstreams = ["buyer-*-1", "clerk-*-1"]
    save_trace(
        "georgia-drain-in-partition",
        [
            header_with_control_hosts(GEORGIA, story, 55),
            *announce_all(GEORGIA),
            search(
                "sweep-",
                at=0.5,
                host="h-0",
                services=services,
                kind="sweep",
                count=900,
                every_ms=15,
            ),
            search(
                "viewer-",
                at=0.5,
                host="h-3",
                services=["viewer-0"],
                kind="sweep",
                count=900,
                every_ms=15,
            ),
            line("partition", at=2.0, groups=[["a", "b", "c"], ["d"]]),
            change("drain-b", 3.0, zone="b"),
            line("partition", at=8.0, groups=[]),
            search("last-", at=12.0, services=services, **SWEEP),
            change("restore-b", 11.0, zone="b", drained=False),
            line(
                "expect_changes",
                at=14.0,
                change_ids=["drain-b", "restore-b"],
                accepted=2,
            ),
            line("expect_no_work", at=4.0, until=11.0, upstreams=drained_upstreams),
            line("expect_work", at=12.0, until=14.0, upstreams=drained_upstreams),
            line("expect_answer", at=18.0, request="sweep-", complete=True),
            line("expect_answer", at=18.0, request="viewer-", complete=True),
        ],
    )


def write_norway_owner_stopped() -> None:
    """Owner hosts are shut down gracefully while non-idempotent queries run."""
    story = """Billed queries run at upstreams whose owners are other entry hosts, when
    operators stop two of these. A planned stop cuts off nothing: each query must be
    answered, and none may end as unknown."""
    billed_searches = [
        search(
            f"billed-{number}",
            at=3.0,
            host="h-0",
            services=[f"billing-{number}"],
            kind="billed",
            query={"key": "19750412-1234"},
            idempotency_key=f"invoice-{number}",
        )
        for number in range(12)
    ]
    save_trace(
        "norway-owner-stopped",
        [
            header(NORWAY, story, 36),
            *announce_all(NORWAY),
            NORWAY_WARM_UP_SEARCH,
            line("behave", at=2.5, upstreams=["billing-*"], latency_ms=400),
            *billed_searches,
            line("stop_host", at=3.1, host="h-3"),
            line("stop_host", at=3.1, host="h-6"),
            line("expect_answer", at=4.0, request="billed-", complete=True),
        ],
    )


def main() -> None:
    """Write every trace."""
    for name, write_trace in sorted(globals().items()):
        if name.startswith("write_"):
            write_trace()


if __name__ == "__main__":
    main()
