"""Entry point of the command line."""

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

`run` starts an instance. The other commands connect to the operators' listener of any instance.

Exit codes: 0 success, 2 invalid arguments or settings, 3 rejected by the instance, 4 instance
unreachable, 5 change with an unknown outcome, 6 version not yet in force at all instances, 7 burn
rate of a service level too high.
"""

app = cyclopts.App(
    name="bilberrystack",
    help=HELP,
    help_format="markdown",
    version=bilberrystack.__version__,
    result_action="return_value",
)
report_app = cyclopts.App(name="report", help="Report on service levels.")
for command_group in (
    declaring.group_app,
    declaring.caller_app,
    configuring.config_app,
    report_app,
):
    app.command(command_group)
app.register_install_completion_command()


@app.command
@flags.with_settings(settings.Settings)
def run(loaded: settings.Settings) -> int:
    """Run an instance until SIGTERM or SIGINT, which trigger a graceful shutdown."""
    # Imported here because the module loads uvloop and the adapters, which only `run` needs.
    from bilberrystack.proxy import process

    return process.run(loaded)


@app.command
@declaring.client_flags
def status(
    loaded: settings.ClientSettings,
    *,
    form: output.FormatOption = output.OutputFormat.TABLE,
) -> int:
    """Show the status of groups and instances with its age, and counts of failed requests.

    Parameters
    ----------
    form
        The output format.
    """

    async def command(connection: link.OperatorConnection) -> int:
        content = await connection.call("status")
        if form is output.OutputFormat.JSON:
            output.print_json(msgspec.json.decode(content))
        else:
            status_tables.show_status(msgspec.json.decode(content, type=reports.Status))
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
    form: output.FormatOption = output.OutputFormat.TABLE,
) -> int:
    """Show the burn rates of the error budgets of all service levels.

    The exit code is 7 if the burn rate of a service level exceeds 1 over both windows.

    Parameters
    ----------
    short_minutes
        The length of the short window, in minutes.
    long_minutes
        The length of the long window, in minutes.
    html
        Also write a page with plots to this HTML file.
    form
        The output format.
    """

    async def command(connection: link.OperatorConnection) -> int:
        content = await connection.call("report", short_minutes, long_minutes)
        burn_report = msgspec.json.decode(content, type=burn.BurnReport)
        if form is output.OutputFormat.JSON:
            output.print_json(burn_report)
        else:
            status_tables.show_burn(burn_report)
        if html is not None:
            burn_page.write(html, burn_report)
        return (
            exits.BURNING
            if any(objective_burn.is_alerting for objective_burn in burn_report.burns)
            else exits.OK
        )

    return link.run(loaded, command)


@app.command(name="docs")
def docs(page: Literal["settings", "errors"]) -> int:
    """Print a reference page.

    Parameters
    ----------
    page
        The name of the page.
    """
    print(settings.render_reference() if page == "settings" else error_page.render_page(), end="")
    return exits.OK


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
