"""Print the messages and bytes per second that usage caps cost, from encoded sizes.

python tools/usage_report_sizes.py
"""

import sys

from greengagehaven.coordination.shared_budgets import report_schedule
from greengagehaven.protocol import codec, usage_caps

ACTIVE_TEAMS = 4
"""Teams with a request in the window at one host: 77 hosts share 60 requests per
second, so that each sees 4 requests in 5 s."""

ADDRESS = "10.128.0.9:18740"
DEPLOYMENTS = ((77, 6, 8), (133, 8, 8), (5400, 8, 81))
"""Entry hosts, control hosts, and teams that are busy enough to be in each reply."""


def main() -> int:
    """Print one line for each deployment."""
    report = size(make_report(ACTIVE_TEAMS))
    print(f"bytes of a report with {ACTIVE_TEAMS} teams: {report}")
    print(f"bytes of a further team in a report: {size(make_report(5)) - report}")
    print(f"bytes of totals with 12 teams: {size(make_totals(12))}")
    per_second = 1 / report_schedule.PERIOD_S
    for hosts, controls, busy in DEPLOYMENTS:
        totals = size(make_totals(min(81, ACTIVE_TEAMS + busy)))
        reports = hosts * per_second / controls
        others = controls - 1
        print(
            f"{hosts} entry hosts, {controls} control hosts: entry host "
            f"{per_second:.0f} calls/s, {per_second * report / 1000:.1f} kB/s out, "
            f"{per_second * totals / 1000:.1f} kB/s in; control host "
            f"{reports:.0f} reports/s, {reports * report / 1000:.1f} kB/s in, "
            f"{reports * totals / 1000:.1f} kB/s out, and {others * per_second:.0f} "
            f"exchanges/s each way with {others * reports * report / 1000:.1f} kB/s"
        )
    return 0


def make_report(teams: int) -> usage_caps.UsageReport:
    """Return a report of an entry host with one request of each team."""
    return usage_caps.UsageReport(
        host_id="front-midt-a-12",
        run="0123456789ab",
        sequence=5000,
        teams=make_usages(teams, requests=1),
        known_hosts=77,
        address=ADDRESS,
    )


def make_totals(teams: int) -> usage_caps.UsageTotals:
    """Return the reply to a report."""
    return usage_caps.UsageTotals(
        hosts=77,
        is_settled=True,
        teams=make_usages(teams, requests=300),
        substitutes=(ADDRESS,) * 5,
    )


def make_usages(teams: int, *, requests: int) -> tuple[usage_caps.TeamUsage, ...]:
    """Return usages of teams with names of 12 characters."""
    return tuple(
        usage_caps.TeamUsage(
            team=f"team-name-{number:02d}",
            offered=requests,
            admitted=requests,
            recent=requests // 10,
        )
        for number in range(teams)
    )


def size(message: object) -> int:
    """Return the bytes of an encoded message."""
    return len(codec.encode_msgpack(message))


if __name__ == "__main__":
    sys.exit(main())
