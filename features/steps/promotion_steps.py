"""Steps for promoting a proved document from trial to production."""

import behave
import msgspec

from fakes import environment as environments
from fakes import keys
from greengagehaven.state import document

MONTH_S = 30 * 86_400.0


def start_environment(context, **settings):
    environment = environments.Environment(**settings)
    context.add_cleanup(environment.close)
    environment.start_controls(1)
    environment.start_entry("e1", "a")
    environment.start_entry("e2", "b")
    environment.wait(1.0)
    return environment


def prove(environment, data):
    """Put a document in force in a trial environment; return its proof."""
    status, result = environment.apply(data, "tried")
    assert status == 200, result
    environment.wait(1.0)
    status, result = environment.request("POST", "/v1/proofs", {"change_id": "proved"})
    assert status == 200, result
    status, body = environment.request("GET", f"/v1/proofs/{document.digest_of(data)}")
    assert status == 200, body
    return msgspec.json.decode(msgspec.json.encode(body["proof"]), type=bytes)


def promote(context, data, proof, change_id="promoted"):
    body = {
        "change_id": change_id,
        "document": data,
        "expected_revision": None,
        "proof": proof,
    }
    return context.production.request("POST", "/v1/changes", body)


@behave.given("a trial environment whose proofs production trusts")
def given_trial(context):
    private, public = keys.key_pair(1)
    context.trial = start_environment(context, environment="trial", signing_key=private)
    context.production = start_environment(context, trusted_keys=(public,))


@behave.given("a document that was proved in trial")
def given_proved(context):
    context.data = environments.document_with(7)
    context.proof = prove(context.trial, context.data)


@behave.when("it is promoted to production with its proof")
def when_promoted(context):
    context.answer = promote(context, context.data, context.proof)


@behave.when("it is promoted to production with a byte altered")
def when_altered(context):
    altered = context.data.replace(b"standing = 7", b"standing = 8")
    context.answer = promote(context, altered, context.proof)


@behave.when("it is promoted to production without its proof")
def when_unproved(context):
    context.answer = promote(context, context.data, b"")


@behave.when("it is promoted to production with a proof of an untrusted environment")
def when_untrusted(context):
    private, _ = keys.key_pair(2)
    untrusted = start_environment(context, environment="foreign", signing_key=private)
    context.answer = promote(context, context.data, prove(untrusted, context.data))


@behave.when("it is promoted to production with an altered statement")
def when_forged(context):
    signed = msgspec.json.decode(context.proof)
    statement = msgspec.convert(signed["statement"], bytes, strict=False)
    forged = statement.replace(b'"revision":1', b'"revision":9')
    assert forged != statement
    signed["statement"] = forged
    context.answer = promote(context, context.data, msgspec.json.encode(signed))


@behave.when("it is promoted to production after trial withdrew it")
def when_withdrawn(context):
    digest = document.digest_of(context.data)
    body = {"change_id": "withdrawn", "digest": digest}
    status, result = context.trial.request("POST", "/v1/withdrawals", body)
    assert status == 200, result
    status, problem = context.trial.request("GET", f"/v1/proofs/{digest}")
    assert (status, problem["code"]) == (403, "proof_refused"), problem
    status, withdrawal = context.trial.request("GET", f"/v1/withdrawals/{digest}")
    assert status == 200, withdrawal
    forwarded = {**body, "statement": withdrawal["statement"]}
    status, result = context.production.request("POST", "/v1/withdrawals", forwarded)
    assert status == 200, result
    context.answer = promote(context, context.data, context.proof)


@behave.when("it is promoted to production a month later")
def when_month_later(context):
    context.production.loop.clock.step_wall(
        document.datetime.timedelta(seconds=MONTH_S)
    )
    context.answer = promote(context, context.data, context.proof)


@behave.then("production has the same digest in force as trial")
def then_same_digest(context):
    status, result = context.answer
    assert status == 200, result
    _, trial = context.trial.request("GET", "/v1/status")
    _, production = context.production.request("GET", "/v1/status")
    assert trial["digest"] == production["digest"] == result["digest"]


@behave.then("going back to it later needs no new proof")
def then_restored(context):
    other = environments.document_with(8)
    status, result = promote(context, other, b"", "unproved")
    assert (status, result["code"]) == (403, "proof_refused"), result
    status, result = promote(context, context.data, b"", "back")
    assert status == 200, result


@behave.then('production refuses it, says "{reason}", and audits the refusal')
def then_refused(context, reason):
    status, problem = context.answer
    assert (status, problem["code"]) == (403, "proof_refused"), problem
    assert reason in problem["detail"], problem
    _, lines = context.production.request("GET", "/v1/audit")
    assert lines[0]["code"] == "proof_refused", lines[0]
    _, current = context.production.request("GET", "/v1/status")
    assert current["digest"] == "", current


@behave.when("a document is applied that one of its entry hosts cannot get")
def when_one_cut_off(context):
    context.trial.network.cut_off("10.0.1.2:1")
    status, result = context.trial.apply(environments.document_with(9), "tried")
    assert status == 200, result
    context.trial.wait(1.0)


@behave.then("trial refuses to prove it and names that host")
def then_names_host(context):
    status, problem = context.trial.request("POST", "/v1/proofs", {"change_id": "p"})
    assert (status, problem["code"]) == (403, "proof_refused"), problem
    assert "e2" in problem["detail"], problem
