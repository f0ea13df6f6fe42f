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
    """Put a whole configuration in force.

    Parameters
    ----------
    file
        The document, JSON or TOML by its suffix.
    """
    document = _read_document(file)
    if document is None:
        return exits.USAGE
    text = documents.to_json(document)
    return changing.send(loaded, options or Options(), document=text)


@config_app.command(name="show")
@client_flags
def config_show(loaded: settings.ClientSettings) -> int:
    """Print the configuration in force as a document that can be applied."""

    async def command(connected: link.Link) -> int:
        shown = await connected.call("show")
        output.note(f"version {shown.version}")
        print(shown.json)
        return exits.OK

    return link.run(loaded, command)


@config_app.command(name="diff")
@client_flags
def config_diff(
    loaded: settings.ClientSettings,
    file: pathlib.Path,
    *,
    form: output.Form = output.Output.TABLE,
) -> int:
    """Show what applying a document would change.

    Parameters
    ----------
    file
        The document, JSON or TOML by its suffix.
    form
        The form of the output.
    """
    document = _read_document(file)
    if document is None:
        return exits.USAGE

    async def command(connected: link.Link) -> int:
        found = await connected.call("diff", documents.to_json(document))
        fields = [changing.difference_fields(one) for one in found]
        if form is output.Output.JSON:
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
    form: output.Form = output.Output.TABLE,
) -> int:
    """Wait until a version is in force at every live instance.

    Parameters
    ----------
    version
        The configuration version.
    wait_s
        How long to wait, in seconds.
    form
        The form of the output.
    """

    async def command(connected: link.Link) -> int:
        found = await connected.call("wait", version, int(wait_s * 1000), extra_s=wait_s)
        if form is output.Output.JSON:
            fields = {"version": version, "in_force": found.have, "instances": found.all}
            output.print_json({**fields, "lagging": found.lagging})
        else:
            print(f"version {version} is in force at {found.have} of {found.all} instances")
            for name in found.lagging:
                print(f"lagging: {name}")
        return exits.LAGGING if found.lagging else exits.OK

    return link.run(loaded, command)


def _read_document(file: pathlib.Path) -> declarations.Declarations | None:
    """Reads a document; prints its problems and returns None if it has any."""
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
