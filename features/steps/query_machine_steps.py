"""Steps that run the state machine over the decision core."""

import behave
import hypothesis
from hypothesis import stateful

from fakes import query_machine


@behave.given("a query state machine that checks each action against its own records")
def given_machine(context):
    context.machine = query_machine.QueryMachine


@behave.then("the query state machine finds no sequence that breaks a promise")
def then_holds(context):
    settings = hypothesis.settings(
        database=None,
        derandomize=True,
        deadline=None,
        max_examples=150,
        stateful_step_count=60,
        # Without shrinking: what it would cost on a failure is minutes.
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(context.machine, settings=settings)
