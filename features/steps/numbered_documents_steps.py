"""Steps for documents with numbers that operators assign."""

import behave

from greengagehaven import clock, exceptions
from greengagehaven.coordination import change_entries
from greengagehaven.protocol import compression
from greengagehaven.state import changes, configuration
from greengagehaven.state import document as state_document

INVALID_DOCUMENT = b"mistake"


def check_document(document):
    if document == INVALID_DOCUMENT:
        error = exceptions.DocumentMistakeError(
            place="document", value="", expected="no mistake"
        )
        raise exceptions.DocumentError(mistakes=[error])


class NumberedLog:
    """The state machine of a log and the change writer of its leader."""

    def __init__(self):
        self.machine = changes.ConfigurationStateMachine()
        self.records = []
        self.writer = change_entries.EntryBuilder(
            environment="test",
            signer=None,
            verifier=None,
            clock=clock.ManualClock(),
            check_document=check_document,
        )

    def write(self, number, content):
        change = configuration.DocumentChange(
            change_id=f"{number}-{state_document.digest_of(content)}",
            author="operator",
            document=content,
            expected_revision=None,
            number=number,
        )
        return changes.encode(self.writer.build_entry(change, self.machine, ()))

    def write_and_apply(self, number, content=None):
        content = content or b"document %d" % number
        self.apply(self.write(number, content))

    def apply(self, payload):
        self.records.append(self.machine.apply(payload))


@behave.given("a log of numbered documents")
def given_log(context):
    context.log = NumberedLog()


@behave.when("the log gets document {first:d}, then document {second:d}")
def when_two_documents(context, first, second):
    context.log.write_and_apply(first)
    context.log.write_and_apply(second)


@behave.when("the log gets document 7, then other content as document 7")
def when_other_content(context):
    context.log.write_and_apply(7)
    context.log.write_and_apply(7, b"other content")


@behave.when("the log gets document 7, then document 7 again")
def when_resent(context):
    context.log.write_and_apply(7)
    context.log.write_and_apply(7)


@behave.when("documents 3 and 7 are written on the same state and applied in order")
def when_same_state(context):
    payloads = [context.log.write(3, b"document 3"), context.log.write(7, b"seven")]
    for payload in payloads:
        context.log.apply(payload)


@behave.when("the log gets an invalid document")
def when_invalid(context):
    context.log.write_and_apply(7, INVALID_DOCUMENT)


@behave.then("the log has document {number:d} in force")
def then_in_force(context, number):
    assert context.log.machine.state.number == number


@behave.then("both documents were accepted")
def then_accepted(context):
    assert [record.accepted for record in context.log.records] == [True, True]


@behave.then("the log keeps the first content of document 7")
def then_first_content(context):
    assert context.log.machine.state.document == b"document 7"


@behave.then("the log's revision increased once")
def then_increased_once(context):
    assert context.log.machine.state.revision == 1


@behave.then("the document is refused with {code}")
def then_refused(context, code):
    (record,) = context.log.records
    assert not record.accepted and record.code == code, record


@behave.then("the log has no document")
def then_no_document(context):
    assert context.log.machine.state.document == b""


def document_with_many_routes():
    return b"".join(
        b'{"name":"r-%d","host":"leno12.example","pathPrefix":"/nono%d/"}' % (n, n)
        for n in range(400)
    )


@behave.when("the log gets a document of 400 routes")
def when_many_routes(context):
    context.payload = context.log.write(8, document_with_many_routes())
    context.log.apply(context.payload)


@behave.then("its entry is smaller than a fifth of the document")
def then_compressed(context):
    assert len(context.payload) < len(document_with_many_routes()) / 5, len(
        context.payload
    )


@behave.then("the log has the document of 400 routes in force")
def then_many_routes(context):
    assert context.log.machine.state.document == document_with_many_routes()


@behave.when("the log holds document {number:d} as an earlier release wrote it")
def when_earlier_release(context, number):
    entry = changes.DocumentEntry(
        change_id="c-1",
        author="operator",
        made_at=1.0,
        expected_revision=None,
        digest=state_document.digest_of(b"document %d" % number),
        number=number,
        document=b"document %d" % number,
    )
    context.log.apply(changes.encode(entry))


@behave.when("truncated compressed bytes are unpacked")
def when_truncated(context):
    try:
        compression.decompress(
            compression.compress(document_with_many_routes())[:-20], place="entry"
        )
    except exceptions.InvalidRequestError as error:
        context.error = error


@behave.then("unpacking fails with an error that names the entry")
def then_unpacking_fails(context):
    assert context.error.place == "entry", context.error
