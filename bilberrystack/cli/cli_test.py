"""Tests of the commands without an instance, and of the burn page."""

import pytest

from bilberrystack import settings
from bilberrystack.cli import burn_page
from bilberrystack.cli import changing
from bilberrystack.cli import exits
from bilberrystack.cli import main
from bilberrystack.cli import output
from bilberrystack.cli import status_tables
from bilberrystack.core import burn
from bilberrystack.core import declarations
from bilberrystack.gen.operators import ttypes

SECRET = "operator-secret-of-the-test"


@pytest.fixture(autouse=True)
def environment(monkeypatch):
    monkeypatch.setenv("BILBERRYSTACK_OPERATOR_SECRET", SECRET)
    monkeypatch.setenv("BILBERRYSTACK_OPERATOR_ADDRESS", "127.0.0.1:1")


def test_wrong_settings_are_all_printed_before_anything_runs(monkeypatch, capsys):
    """Guards against a command that runs although some of its settings are invalid."""
    monkeypatch.setenv("BILBERRYSTACK_OPERATOR_SECRET", "short")
    code = main.app(["status", "--timeout-s", "0"])
    printed = capsys.readouterr().err
    assert code == exits.USAGE
    assert "OPERATOR_SECRET" in printed and "TIMEOUT_S" in printed


def test_instance_settings_have_flags_and_secrets_have_none(capsys):
    """Guards against settings without a flag, and against secrets on the command line."""
    main.app(["run", "--help"])
    printed = capsys.readouterr().out
    for definition in settings.definitions(settings.Settings):
        flag = "--" + definition.name.replace("_", "-")
        assert (flag in printed) == (not definition.secret), flag
    assert SECRET not in printed


@pytest.mark.parametrize(
    "arguments",
    [
        ["group", "add", "g", "--member", "a,127.0.0.1:1"],
        ["config", "apply", "/nonexistent/file.json"],
        ["caller", "grant", "x"],
    ],
)
def test_malformed_arguments_are_usage_errors(arguments):
    """Guards against changes that are sent although their arguments are malformed."""
    assert main.app(arguments) == exits.USAGE


def test_document_with_problems_is_not_sent(tmp_path, capsys):
    """Guards against invalid documents that are rejected only by the instance."""
    file = tmp_path / "c.toml"
    file.write_text('[[callers]]\nname = "x"\n')
    assert main.app(["config", "apply", str(file)]) == exits.USAGE
    printed = capsys.readouterr().err
    assert "callers.x.secret_sha256" in printed and "callers.x.groups" in printed


def test_unsent_change_is_unreachable_and_prints_its_operation_id(capsys):
    """Guards against an unknown outcome of an unsent change, and against unrepeatable changes."""
    code = main.app(["caller", "add", "x", "--operation-id", "op-7"])
    printed = capsys.readouterr().err
    assert code == exits.UNREACHABLE and "op-7" in printed


@pytest.mark.parametrize(
    ("outcome", "code", "text"),
    [
        ({"accepted": ttypes.Accepted(4, [])}, exits.OK, "version 4"),
        ({"rejected": ttypes.Rejected([ttypes.Problem("f", "v", "r")])}, exits.REFUSED, "f"),
        ({"conflict": ttypes.Conflict(3, 5)}, exits.REFUSED, "5"),
        ({"undetermined": ttypes.Undetermined("lost")}, exits.UNKNOWN, "lost"),
    ],
)
@pytest.mark.parametrize("form", list(output.OutputFormat))
def test_each_outcome_has_its_exit_code(outcome, code, text, form, capsys):
    """Guards against exit codes by which scripts confuse an unknown and a rejected change."""
    options = changing.ChangeOptions(form=form)
    returned = changing.show_outcome(ttypes.ChangeOutcome(**outcome), "op", options)
    assert returned == code
    assert text.split()[-1] in capsys.readouterr().out


def make_burn_report(minutes, hours):
    burns = burn.evaluate(minutes, declarations.Targets(), 100)
    return burn.BurnReport(100, 5, 60, burns, declarations.Targets(), minutes, hours, 2, 3)


def test_burn_page_is_self_contained():
    """Guards against a page that needs network access or omits an alerting objective."""
    minutes = [burn.MinuteCounts(99, 10, 10, 10), burn.MinuteCounts(100, 10, 2, 10)]
    page = burn_page.render(make_burn_report(minutes, None))
    assert "http" not in page and "<script" not in page
    assert page.count("<svg") == 3 and "burning</span>" in page
    assert page.count("The store did not answer.") == 3
    assert burn_page.render(make_burn_report([], [])).count("No data.") == 6


def test_burn_table_shows_objectives_without_events(capsys):
    """Guards against a report that fails for a fleet without any requests."""
    status_tables.show_burn(make_burn_report([], []))
    assert "failover gap" in capsys.readouterr().out
