"""Steps that run the state machine for the decision core."""

import behave
import hypothesis
from hypothesis import stateful

from fakes import query_machine


@behave.given("a query state machine that checks each action against its own records")
def given_machine(context):
    context.machine = query_machine.QueryMachine


@behave.then("the query state machine finds no sequence that violates an invariant")
def then_invariants_hold(context):
    settings = hypothesis.settings(
        database=None,
        derandomize=True,
        deadline=None,
        max_examples=150,
        stateful_step_count=60,
        # No shrinking: after a failure it would take minutes.
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(context.machine, settings=settings)
