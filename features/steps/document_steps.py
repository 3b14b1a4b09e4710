"""Steps for validating the environment document."""

import behave

from greengagehaven import exceptions
from greengagehaven.state import document


@behave.given("the document")
def given_document(context):
    context.document = context.text.encode()


@behave.when("it is validated")
def when_validated(context):
    try:
        document.parse(context.document)
        context.mistakes = ()
    except exceptions.DocumentError as error:
        context.mistakes = error.mistakes


@behave.then("these places are reported as invalid")
def then_places_reported(context):
    expected = {row["place"] for row in context.table}
    reported = {mistake.place for mistake in context.mistakes}
    assert expected <= reported, f"{expected - reported} missing in {reported}"
