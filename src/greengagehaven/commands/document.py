"""``check``, ``diff``, ``apply``, ``prove``, ``withdraw`` and ``promote``."""

import difflib
import pathlib
import typing

import click

from greengagehaven import exceptions
from greengagehaven.commands import client, zone
from greengagehaven.protocol import operator
from greengagehaven.state import configuration, document

PATH = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.command()
@click.argument("path", type=PATH, metavar="DOCUMENT")
@client.json_option
def check(path: pathlib.Path, as_json: bool) -> None:
    """Check a document and name every mistake with its place."""
    try:
        environment = document.parse(path.read_bytes())
    except exceptions.DocumentError as error:
        mistakes = [mistake.detail for mistake in error.mistakes]
        if as_json:
            client.print_json({"valid": False, "mistakes": mistakes})
        else:
            click.echo("\n".join(mistakes))
        raise click.exceptions.Exit(1) from error
    if as_json:
        client.print_json({"valid": True, "digest": environment.digest})
        return
    click.echo(f"valid, digest {environment.digest}")


@click.command()
@click.argument("path", type=PATH, metavar="DOCUMENT")
@client.options
def diff(path: pathlib.Path, controls: tuple[str, ...], token: str) -> None:
    """Show how a document differs from the one in force.

    Exit code 0 where they are the same bytes, 1 where they are not.
    """
    control = client.chosen(controls, token)
    current = _document_in_force(control)
    proposed = path.read_bytes()
    if proposed == current.document:
        click.echo(f"no difference to revision {current.revision}")
        return
    lines = difflib.unified_diff(
        _lines_of(current.document),
        _lines_of(proposed),
        f"revision {current.revision}",
        str(path),
        lineterm="",
    )
    click.echo("\n".join(lines))
    raise click.exceptions.Exit(1)


@click.command()
@click.argument("path", type=PATH, metavar="DOCUMENT")
@click.option(
    "--expect-revision",
    type=click.IntRange(min=0),
    help="Revision that the change is based on; it is refused on any other.",
)
@click.option("--force", is_flag=True, help="Apply it to whatever is in force.")
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

    Without --expect-revision the revision in force now is expected; --force
    takes whatever there is when the change is decided.
    """
    control = client.chosen(controls, token)
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
@click.option("--digest", default="", help="Digest to prove; the one in force.")
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
    """Record in the trial environment that a digest proved itself.

    It has to be in force on every entry host. With --withdraw it can not be
    promoted any more; tell production with `promote --withdrawn`.
    """
    control = client.chosen(controls, token)
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
    help="Operators' address of a control host of the trial environment.",
)
@click.option("--from-token", default="", help="The operator's secret there.")
@click.option("--from-ca", type=PATH, help="PEM authority of those there.")
@click.option("--digest", default="", help="Digest to promote; the one in force.")
@click.option("--withdrawn", is_flag=True, help="Carry the withdrawal instead.")
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
    """Carry the proved document, unchanged, from trial to production."""
    trial = client.ControlClient(addresses=trials, token=from_token, authority=from_ca)
    control = client.chosen(controls, token)
    change_id = client.new_change_id(change_id)
    if withdrawn:
        _carry_withdrawal(trial, control, digest, change_id, as_json)
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


def _carry_withdrawal(
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


def _document_in_force(
    control: client.ControlClient,
) -> configuration.ConfigurationState:
    try:
        return control.get("/v1/document", configuration.ConfigurationState)
    except exceptions.ChangeRefusedError as error:
        if error.code == exceptions.NotFoundError.code:
            return configuration.ConfigurationState()
        raise


def _lines_of(data: bytes) -> list[str]:
    return data.decode(errors="replace").splitlines()
