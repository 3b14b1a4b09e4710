"""Steps about the environment document."""

import behave

from greengagehaven import exceptions
from greengagehaven.state import document


@behave.given("the document")
def given_document(context):
    context.document = context.text.encode()


@behave.when("it is checked")
def when_checked(context):
    try:
        document.parse(context.document)
        context.mistakes = ()
    except exceptions.DocumentError as error:
        context.mistakes = error.mistakes


@behave.then("these mistakes are named")
def then_mistakes_named(context):
    expected = {row["place"] for row in context.table}
    named = {mistake.place for mistake in context.mistakes}
    assert expected <= named, f"{expected - named} missing in {named}"
