"""The bilberrystack command."""

import sys
from typing import Literal

import cyclopts
import msgspec

import bilberrystack
from bilberrystack import settings
from bilberrystack.cli import burn_page
from bilberrystack.cli import configuring
from bilberrystack.cli import declaring
from bilberrystack.cli import exits
from bilberrystack.cli import flags
from bilberrystack.cli import link
from bilberrystack.cli import output
from bilberrystack.cli import status_tables
from bilberrystack.core import burn
from bilberrystack.core import error_page
from bilberrystack.core import reports

HELP = """A database proxy with session consistency.

`run` starts an instance. All other commands call the operators' address of any one instance and
exit with 0 when done, 2 for wrong usage or settings, 3 when refused, 4 when the instance is
unreachable, 5 when it is unknown whether a change took effect, 6 when instances lag, 7 when a
service level burns.
"""

app = cyclopts.App(
    name="bilberrystack",
    help=HELP,
    help_format="markdown",
    version=bilberrystack.__version__,
    result_action="return_value",
)
report_app = cyclopts.App(name="report", help="Report on service levels.")
for part in (declaring.group_app, declaring.caller_app, configuring.config_app, report_app):
    app.command(part)
app.register_install_completion_command()


@app.command
@flags.with_settings(settings.Settings)
def run(loaded: settings.Settings) -> int:
    """Run an instance until SIGTERM or SIGINT, which start a graceful stop."""
    # The process imports uvloop and the adapters, which the other commands don't need.
    from bilberrystack.proxy import process

    return process.run(loaded)


@app.command
@declaring.client_flags
def status(
    loaded: settings.ClientSettings,
    *,
    form: output.Form = output.Output.TABLE,
) -> int:
    """Show groups, instances and refusals, and how old each part is.

    Parameters
    ----------
    form
        The form of the output.
    """

    async def command(connected: link.Link) -> int:
        content = await connected.call("status")
        if form is output.Output.JSON:
            output.print_json(msgspec.json.decode(content))
        else:
            status_tables.show(msgspec.json.decode(content, type=reports.Status))
        return exits.OK

    return link.run(loaded, command)


@report_app.command(name="burn")
@declaring.client_flags
def report_burn(
    loaded: settings.ClientSettings,
    *,
    short_minutes: int = burn.SHORT_WINDOW_MINUTES,
    long_minutes: int = burn.LONG_WINDOW_MINUTES,
    html: str | None = None,
    form: output.Form = output.Output.TABLE,
) -> int:
    """Show how fast the error budgets of the service levels are used.

    A service level burns if its rate exceeds 1 over both windows; the exit code is then 7.

    Parameters
    ----------
    short_minutes
        The length of the short window.
    long_minutes
        The length of the long window.
    html
        Write a page with plots to this file too.
    form
        The form of the output.
    """

    async def command(connected: link.Link) -> int:
        content = await connected.call("report", short_minutes, long_minutes)
        found = msgspec.json.decode(content, type=burn.BurnReport)
        if form is output.Output.JSON:
            output.print_json(found)
        else:
            status_tables.show_burn(found)
        if html is not None:
            burn_page.write(html, found)
        return exits.BURNING if any(one.is_alerting for one in found.burns) else exits.OK

    return link.run(loaded, command)


@app.command(name="docs")
def docs(page: Literal["settings", "errors"]) -> int:
    """Print a reference page.

    Parameters
    ----------
    page
        The page.
    """
    print(settings.render_reference() if page == "settings" else error_page.render_page(), end="")
    return exits.OK


def main() -> None:
    """Runs the command line and exits."""
    sys.exit(app())


if __name__ == "__main__":
    main()
