"""Commands for whole configurations."""

import pathlib
import sys

import cyclopts
from returns import result

from bilberrystack import settings
from bilberrystack.cli import changing
from bilberrystack.cli import exits
from bilberrystack.cli import flags
from bilberrystack.cli import link
from bilberrystack.cli import output
from bilberrystack.core import declarations
from bilberrystack.core import documents

Options = changing.ChangeOptions

config_app = cyclopts.App(name="config", help="Apply, show and compare whole configurations.")

client_flags = flags.with_settings(settings.ClientSettings)


@config_app.command(name="apply")
@client_flags
def config_apply(
    loaded: settings.ClientSettings, file: pathlib.Path, *, options: Options | None = None
) -> int:
    """Replace the whole configuration.

    Parameters
    ----------
    file
        The configuration document: TOML with the suffix .toml, otherwise JSON.
    """
    document = _read_document(file)
    if document is None:
        return exits.USAGE
    text = documents.to_json(document)
    return changing.send_change(loaded, options or Options(), document=text)


@config_app.command(name="show")
@client_flags
def config_show(loaded: settings.ClientSettings) -> int:
    """Print the configuration in force as a JSON document that `apply` accepts."""

    async def command(connection: link.OperatorConnection) -> int:
        shown = await connection.call("show")
        output.print_note(f"version {shown.version}")
        print(shown.json)
        return exits.OK

    return link.run(loaded, command)


@config_app.command(name="diff")
@client_flags
def config_diff(
    loaded: settings.ClientSettings,
    file: pathlib.Path,
    *,
    form: output.FormatOption = output.OutputFormat.TABLE,
) -> int:
    """Show the differences between a document and the configuration in force.

    Parameters
    ----------
    file
        The configuration document: TOML with the suffix .toml, otherwise JSON.
    form
        The output format.
    """
    document = _read_document(file)
    if document is None:
        return exits.USAGE

    async def command(connection: link.OperatorConnection) -> int:
        differences = await connection.call("diff", documents.to_json(document))
        fields = [changing.difference_fields(difference) for difference in differences]
        if form is output.OutputFormat.JSON:
            output.print_json(fields)
        else:
            changing.show_differences("Differences", fields)
        return exits.OK

    return link.run(loaded, command)


@config_app.command(name="wait")
@client_flags
def config_wait(
    loaded: settings.ClientSettings,
    version: int,
    *,
    wait_s: float = 30.0,
    form: output.FormatOption = output.OutputFormat.TABLE,
) -> int:
    """Wait until a configuration version is in force at all live instances.

    Parameters
    ----------
    version
        The configuration version.
    wait_s
        The maximum time to wait, in seconds.
    form
        The output format.
    """

    async def command(connection: link.OperatorConnection) -> int:
        in_force = await connection.call("wait", version, int(wait_s * 1000), server_wait_s=wait_s)
        if form is output.OutputFormat.JSON:
            fields = {"version": version, "in_force": in_force.have, "instances": in_force.all}
            output.print_json({**fields, "lagging": in_force.lagging})
        else:
            print(f"version {version} is in force at {in_force.have} of {in_force.all} instances")
            for name in in_force.lagging:
                print(f"lagging: {name}")
        return exits.LAGGING if in_force.lagging else exits.OK

    return link.run(loaded, command)


def _read_document(file: pathlib.Path) -> declarations.Declarations | None:
    """Read a configuration document; on failure, print all problems and return None."""
    try:
        text = file.read_text()
    except OSError as error:
        print(f"{file}: {error.strerror}", file=sys.stderr)
        return None
    parsed = documents.parse(text, toml=file.suffix == ".toml")
    if isinstance(parsed, result.Failure):
        for problem in parsed.failure():
            print(problem, file=sys.stderr)
        return None
    return parsed.unwrap()
