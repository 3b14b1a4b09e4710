"""Steps about control hosts that notice the end of entry hosts."""

import asyncio
import datetime
import socket
import struct

import behave

from greengagehaven import clock
from greengagehaven.coordination.shared_budgets import (
    report_forwarding,
    report_sums,
)
from greengagehaven.protocol import usage_caps
from greengagehaven.transport import http_peers

WINDOW_S = 5.0
PERIOD_S = 0.2
START = 100.0
METHOD = "usage/report"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ControlHost:
    """The sums of one control host and the reports that it forwards."""

    def __init__(self):
        self.sums = report_sums.ReportSums(window=WINDOW_S, started_at=0.0)
        self.forwarder = report_forwarding.ReportForwarder(window=WINDOW_S)
        self.forwarder.set_addresses(("other",))

    def add(self, report, now, connection):
        if self.sums.add(report, now):
            self.forwarder.add(report, now, connection=connection)

    def end(self, connection, now):
        report = self.forwarder.end(connection, now)
        if report is not None:
            self.sums.add(report, now, has_ended=True)

    def exchange(self, other, now):
        exchange = report_forwarding.make_exchange(self.forwarder.take("other"), now)
        other.sums.add_exchange(exchange, now)
        self.forwarder.record_reply("other", "run-1")
        for each in (self, other):
            each.sums.expire(now)
            each.forwarder.expire(now)

    def count(self, host_id, now):
        """Return the requests counted at one host alone."""
        asked = usage_caps.UsageReport(host_id=host_id, run="1", sequence=0)
        without = self.sums.totals_for(asked, now).teams[0].offered
        nobody = usage_caps.UsageReport(host_id="nobody", run="1", sequence=0)
        return self.sums.totals_for(nobody, now).teams[0].offered - without


def make_report(host_id, sequence):
    recent = round(100 * usage_caps.RECENT_S / WINDOW_S)
    counts = usage_caps.TeamUsage(team="t", offered=100, admitted=100, recent=recent)
    return usage_caps.UsageReport(
        host_id=host_id, run="1", sequence=sequence, teams=(counts,)
    )


def pass_time(context, seconds, *, silent=()):
    """Let all hosts but the silent ones report, and control hosts exchange."""
    for _ in range(round(seconds / PERIOD_S)):
        context.now += PERIOD_S
        context.sequence += 1
        for host_id in context.connections_by_host:
            if host_id not in silent:
                send_report(context, host_id)
        context.first.exchange(context.second, context.now)


def send_report(context, host_id):
    connection = context.connections_by_host[host_id]
    report = make_report(host_id, context.sequence)
    context.first.add(report, context.now, connection)


@behave.given(
    "two control hosts, the first with reports of {hosts:d} hosts with 100 requests "
    "each"
)
def given_control_hosts(context, hosts):
    context.first, context.second = ControlHost(), ControlHost()
    context.now, context.sequence = START, 0
    context.connections_by_host = {
        f"h{number}": f"127.0.0.1:{40000 + number}" for number in range(hosts)
    }
    pass_time(context, 2.0)


def close_connection(context, host_id):
    context.first.end(context.connections_by_host[host_id], context.now)


@behave.when("host h0 closes its connection and {seconds:d} seconds pass")
def when_closed(context, seconds):
    close_connection(context, "h0")
    pass_time(context, seconds, silent=("h0",))


@behave.when("host h0 closes its connection and reports on another")
def when_reconnected(context):
    close_connection(context, "h0")
    pass_time(context, 0.4, silent=("h0",))
    context.connections_by_host["h0"] = "127.0.0.1:50000"
    pass_time(context, 1.0)


@behave.when("that host is cut off for {seconds:d} seconds")
def when_cut_off(context, seconds):
    pass_time(context, seconds, silent=("h0",))


@behave.when("host h0 reports on another connection and closes the first")
def when_older_closed(context):
    first = context.connections_by_host["h0"]
    context.connections_by_host["h0"] = "127.0.0.1:50000"
    context.sequence += 1
    send_report(context, "h0")
    context.first.end(first, context.now)
    pass_time(context, 0.6, silent=("h0",))


@behave.when("hosts h0 to h9 close their connections and {seconds:d} seconds pass")
def when_closed_together(context, seconds):
    silent = [f"h{number}" for number in range(10)]
    for host_id in silent:
        close_connection(context, host_id)
    pass_time(context, seconds, silent=silent)


@behave.when("no host reports for {seconds:d} seconds")
def when_all_silent(context, seconds):
    pass_time(context, seconds, silent=context.connections_by_host)


@behave.then("the {which} counts {count:d} requests at {bound} for host h0")
def then_counted(context, which, count, bound):
    control = context.first if which == "first" else context.second
    counted = control.count("h0", context.now)
    assert counted <= count if bound == "most" else counted >= count, counted


@behave.then("the first remembers no connection")
def then_none_remembered(context):
    assert context.first.forwarder.connection_count == 0


@behave.given("an HTTP peer server and a client that has called it")
def given_server(context):
    context.peer_loop = asyncio.new_event_loop()
    context.add_cleanup(context.peer_loop.close)
    context.closed, context.callers = [], []

    async def answer(body, connection):
        context.callers.append(connection)
        return body

    context.server = http_peers.HttpPeerServer(
        handlers_by_method={},
        clock=clock.SystemClock(),
        connection_handlers_by_method={METHOD: answer},
        on_connection_closed=context.closed.append,
    )
    address = run(context, context.server.start("127.0.0.1", 0))
    context.add_cleanup(lambda: run(context, context.server.stop(datetime.timedelta())))
    host, _, port = address.rpartition(":")
    opening = asyncio.open_connection(host, int(port))
    context.reader, context.writer = run(context, opening)
    context.add_cleanup(context.writer.close)
    call(context, "")


def run(context, awaitable):
    return context.peer_loop.run_until_complete(awaitable)


def call(context, header):
    head = f"POST /{METHOD} HTTP/1.1\r\nHost: h\r\n{header}Content-Length: 1\r\n\r\n"
    context.writer.write(head.encode() + b"x")
    run(context, context.reader.readuntil(b"\r\n\r\nx"))


@behave.when("the client closes")
def when_client_closes(context):
    context.writer.close()


@behave.when("the client resets")
def when_client_resets(context):
    sock = context.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    context.writer.transport.abort()


@behave.when("the server closes")
def when_server_closes(context):
    run(context, context.server.stop(datetime.timedelta()))


@behave.when("the server asks it to close")
def when_server_asks(context):
    call(context, "Connection: close\r\n")
    context.writer.close()


@behave.then("the server reports {count:d} connections that were closed by the client")
def then_reported(context, count):
    run(context, asyncio.sleep(0.1))
    assert context.closed == context.callers[:count], (context.closed, context.callers)


@behave.when("the second entry host closes")
def when_second_closes(context):
    context.runner_loop.run_until_complete(context.platform.second.close())


@behave.then("a control host logs that the second entry host has ended")
def then_end_logged(context):
    async def is_logged():
        lines = [line for line in context.lines if "usage_host_ended" in line]
        return any("host=front-2" in line for line in lines)

    context.runner_loop.run_until_complete(context.platform.wait_until(is_logged))
