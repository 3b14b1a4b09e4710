"""Steps for a control daemon that is stopped under a load of changes."""

import itertools
import os
import signal
import threading
import time

import behave

from fakes import environment as environments
from greengagehaven import exceptions
from greengagehaven.commands import client
from greengagehaven.protocol import operator

OPERATOR_COUNT = 3
CHANGE_INTERVAL_S = 0.02
TIMEOUT_S = 30.0
MAX_CHANGES = 1000
AWAITED_CHANGES = 20


class Operators:
    """Threads that change the document until they are stopped."""

    def __init__(self, addresses):
        self.addresses = addresses
        self.revisions_by_change_id = {}
        self.refusals = []
        self.is_stopping = False
        self.threads = [
            threading.Thread(target=self.send_changes, args=(number,))
            for number in range(OPERATOR_COUNT)
        ]
        for thread in self.threads:
            thread.start()

    def send_changes(self, number):
        rotated = self.addresses[number:] + self.addresses[:number]
        control = client.ControlClient(addresses=rotated)
        for count in itertools.count():
            if self.is_stopping or count * OPERATOR_COUNT >= MAX_CHANGES:
                return
            body = operator.DocumentBody(
                change_id=f"stop-{number}-{count}",
                document=environments.document_with(count % 50),
            )
            try:
                result = control.post("/v1/changes", body, operator.ChangeBody)
                self.revisions_by_change_id[body.change_id] = result.revision
            except exceptions.ControlUnreachableError:
                pass
            except exceptions.GreengagehavenError as error:
                self.refusals.append(error)
            time.sleep(CHANGE_INTERVAL_S)

    def wait_for_more(self):
        """Wait until ``AWAITED_CHANGES`` more changes are acknowledged."""
        target = len(self.revisions_by_change_id) + AWAITED_CHANGES
        deadline = time.monotonic() + TIMEOUT_S
        while len(self.revisions_by_change_id) < target:
            assert time.monotonic() < deadline, "too few changes acknowledged"
            time.sleep(CHANGE_INTERVAL_S)

    def stop(self):
        self.is_stopping = True
        for thread in self.threads:
            thread.join()


@behave.given("operators who change the document continuously")
def given_operators(context):
    addresses = [context.daemons.operator(number) for number in range(3)]
    context.operators = Operators(addresses)
    context.add_cleanup(context.operators.stop)
    context.operators.wait_for_more()


@behave.when("the leading control daemon is sent SIGTERM under this load")
def when_leader_stopped(context):
    members = context.daemons.status()["members"]
    leader = next(member for member in members if member["leader"])
    context.stopped = int(leader["host"][1:])
    context.process = context.daemons.processes[context.stopped]
    os.kill(context.process.pid, signal.SIGTERM)


@behave.then("the other control daemons keep accepting changes")
def then_others_accept(context):
    context.operators.wait_for_more()


@behave.then("the history has every acknowledged change under its revision")
def then_nothing_lost(context):
    context.operators.stop()
    assert not context.operators.refusals, context.operators.refusals
    addresses = [context.daemons.operator(number) for number in range(3)]
    lines = client.ControlClient(addresses=addresses).get(
        "/v1/history", tuple[operator.AuditLogEntry, ...], limit=MAX_CHANGES
    )
    recorded = {line.change_id: line.revision for line in lines}
    acknowledged = context.operators.revisions_by_change_id
    lost = {
        change_id: revision
        for change_id, revision in acknowledged.items()
        if recorded.get(change_id) != revision
    }
    assert not lost, (len(acknowledged), lost)
