"""Commands ``check``, ``diff``, ``apply``, ``prove``, ``promote`` for documents."""

import difflib
import pathlib
import typing

import click

from greengagehaven import exceptions
from greengagehaven.commands import client, zone
from greengagehaven.protocol import operator
from greengagehaven.state import configuration, document

_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.command()
@click.argument("path", type=_EXISTING_FILE, metavar="DOCUMENT")
@client.json_option
def check(path: pathlib.Path, as_json: bool) -> None:
    """Validate a document and report every error with its location."""
    try:
        environment = document.parse(path.read_bytes())
    except exceptions.DocumentError as error:
        details = [mistake.detail for mistake in error.mistakes]
        if as_json:
            client.print_json({"valid": False, "mistakes": details})
        else:
            click.echo("\n".join(details))
        raise click.exceptions.Exit(1) from error
    if as_json:
        client.print_json({"valid": True, "digest": environment.digest})
        return
    click.echo(f"valid, digest {environment.digest}")


@click.command()
@click.argument("path", type=_EXISTING_FILE, metavar="DOCUMENT")
@client.options
def diff(path: pathlib.Path, controls: tuple[str, ...], token: str) -> None:
    """Show the differences between a document and the one in force.

    Exits with 0 if they are byte for byte the same, else with 1.
    """
    control = client.from_options(controls, token)
    current = _fetch_document_in_force(control)
    proposed = path.read_bytes()
    if proposed == current.document:
        click.echo(f"no difference to revision {current.revision}")
        return
    lines = difflib.unified_diff(
        _split_lines(current.document),
        _split_lines(proposed),
        f"revision {current.revision}",
        str(path),
        lineterm="",
    )
    click.echo("\n".join(lines))
    raise click.exceptions.Exit(1)


@click.command()
@click.argument("path", type=_EXISTING_FILE, metavar="DOCUMENT")
@click.option(
    "--expect-revision",
    type=click.IntRange(min=0),
    help="Revision that must be in force; the change is refused on any other.",
)
@click.option("--force", is_flag=True, help="Apply it whatever revision is in force.")
@client.wait_options
@client.change_id_option
@client.json_option
@client.options
def apply(
    path: pathlib.Path,
    expect_revision: int | None,
    force: bool,
    wait: bool,
    timeout: float,
    change_id: str,
    as_json: bool,
    controls: tuple[str, ...],
    token: str,
) -> None:
    """Put a document in force.

    Without --expect-revision the change expects the revision in force now; with
    --force it replaces whichever revision is in force when it commits.
    """
    control = client.from_options(controls, token)
    data = path.read_bytes()
    document.parse(data)
    if expect_revision is None and not force:
        expect_revision = control.get("/v1/status", operator.Status).revision
    body = operator.DocumentBody(
        change_id=client.new_change_id(change_id),
        document=data,
        expected_revision=expect_revision,
    )
    result = control.post("/v1/changes", body, operator.ChangeBody)
    zone.print_result(result, as_json)
    if wait:
        zone.wait_in_force(control, result.revision, timeout)


@click.command()
@click.option(
    "--digest", default="", help="Digest to prove; default: the one in force."
)
@click.option("--withdraw", is_flag=True, help="Withdraw the proof of --digest.")
@client.change_id_option
@client.json_option
@client.options
def prove(
    digest: str,
    withdraw: bool,
    change_id: str,
    as_json: bool,
    controls: tuple[str, ...],
    token: str,
) -> None:
    """Record a proof that a document works in the trial environment.

    Its digest must be in force on every entry host. With --withdraw the digest
    can no longer be promoted; `promote --withdrawn` tells production.
    """
    control = client.from_options(controls, token)
    change_id = client.new_change_id(change_id)
    body: typing.Any = operator.ProofBody(change_id=change_id, digest=digest)
    path = "/v1/proofs"
    if withdraw:
        if not digest:
            raise click.UsageError("--withdraw needs --digest")
        body = operator.WithdrawalBody(change_id=change_id, digest=digest)
        path = "/v1/withdrawals"
    zone.print_result(control.post(path, body, operator.ChangeBody), as_json)


@click.command()
@click.option(
    "--from",
    "trials",
    multiple=True,
    required=True,
    metavar="IP:PORT",
    help="Operator address of a control host of the trial environment.",
)
@click.option(
    "--from-token",
    default="",
    help="Bearer token of the operator in the trial environment.",
)
@click.option(
    "--from-ca", type=_EXISTING_FILE, help="PEM CA of the trial control hosts."
)
@click.option(
    "--digest", default="", help="Digest to promote; default: the one in force."
)
@click.option(
    "--withdrawn",
    is_flag=True,
    help="Promote the withdrawal of --digest instead.",
)
@click.option("--expect-revision", type=click.IntRange(min=0))
@client.wait_options
@client.change_id_option
@client.json_option
@client.options
def promote(
    trials: tuple[str, ...],
    from_token: str,
    from_ca: pathlib.Path | None,
    digest: str,
    withdrawn: bool,
    expect_revision: int | None,
    wait: bool,
    timeout: float,
    change_id: str,
    as_json: bool,
    controls: tuple[str, ...],
    token: str,
) -> None:
    """Apply the proved document of the trial environment in production, unchanged."""
    trial = client.ControlClient(addresses=trials, token=from_token, authority=from_ca)
    control = client.from_options(controls, token)
    change_id = client.new_change_id(change_id)
    if withdrawn:
        _promote_withdrawal(trial, control, digest, change_id, as_json)
        return
    proved = trial.get(f"/v1/proofs/{digest}", operator.ProofDocument)
    if not proved.document:
        raise exceptions.ProofError(
            f"digest {proved.digest} is no longer in force in the trial environment"
        )
    if expect_revision is None:
        expect_revision = control.get("/v1/status", operator.Status).revision
    body = operator.DocumentBody(
        change_id=change_id,
        document=proved.document,
        expected_revision=expect_revision,
        proof=proved.proof,
    )
    result = control.post("/v1/changes", body, operator.ChangeBody)
    zone.print_result(result, as_json)
    if wait:
        zone.wait_in_force(control, result.revision, timeout)


def _promote_withdrawal(
    trial: client.ControlClient,
    control: client.ControlClient,
    digest: str,
    change_id: str,
    as_json: bool,
) -> None:
    path = f"/v1/withdrawals/{digest}"
    withdrawal = trial.get(path, operator.WithdrawalDocument)
    body = operator.WithdrawalBody(
        change_id=change_id, digest=digest, statement=withdrawal.statement
    )
    result = control.post("/v1/withdrawals", body, operator.ChangeBody)
    zone.print_result(result, as_json)


def _fetch_document_in_force(
    control: client.ControlClient,
) -> configuration.ConfigurationState:
    try:
        return control.get("/v1/document", configuration.ConfigurationState)
    except exceptions.ChangeRefusedError as error:
        if error.code == exceptions.NotFoundError.code:
            return configuration.ConfigurationState()
        raise


def _split_lines(data: bytes) -> list[str]:
    return data.decode(errors="replace").splitlines()
