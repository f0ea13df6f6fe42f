"""Tests of the log output."""

import json

import loguru
import pytest

from bilberrystack import logs


class Output:
    """Collects the lines of a logger on a clock of its own."""

    def __init__(self, **options):
        self.lines = []
        self.now = 0.0
        sink = logs.Sink(self.lines.append, clock=lambda: self.now, **options)
        self.id = loguru.logger.add(sink, format="{exception}", diagnose=False, backtrace=False)


@pytest.fixture
def output():
    made = []

    def make(**options):
        made.append(Output(**options))
        return made[-1]

    yield make
    for one in made:
        loguru.logger.remove(one.id)


def test_text_line_has_prefix_and_fields(output):
    """Guards against lines whose origin can't be told, and against forged lines."""
    one = output(json=False)
    loguru.logger.bind(component="peers", peer="a").info("Rejected {}", "x\nERROR y")
    assert one.lines[0].endswith("INFO peers: Rejected x\\nERROR y peer=a\n")


@pytest.mark.parametrize("as_json", [False, True])
def test_secrets_are_masked_also_in_tracebacks(output, as_json):
    """Guards against a secret in the logs by way of an error's text."""
    one = output(json=as_json, secrets=["secret", "secret-long", 'quo"ted', ""])
    try:
        raise ValueError("refused secret-long")
    except ValueError:
        loguru.logger.bind(token="a-secret").exception('Failed with secret, quo"ted')
    text = "".join(one.lines)
    assert "secret-long" not in text and "with secret" not in text and "a-secret" not in text
    assert "ted" not in text.replace("quoted", "")
    assert text.count(logs.MASK) >= 3 and "ValueError" in text


def test_json_lines_are_objects(output):
    """Guards against lines that a collector can't read."""
    one = output(json=True)
    loguru.logger.bind(component="peers", term=4).warning('A "quoted" text')
    line = json.loads(one.lines[0])
    assert (line["component"], line["level"], line["term"]) == ("peers", "warning", "4")
    assert line["message"] == 'A "quoted" text'


def test_repeated_lines_are_counted_and_others_are_not_held_back(output):
    """Guards against a flood of one message that fills the log or hides other messages."""
    one = output(json=True)
    for second in (0.0, logs.INTERVAL_S):
        one.now = second
        for _ in range(logs.MAX_LINES + 5):
            loguru.logger.info("repeated")
    loguru.logger.info("other")
    repeated = [json.loads(line) for line in one.lines[:-1]]
    assert len(repeated) == 2 * logs.MAX_LINES
    assert repeated[logs.MAX_LINES]["left_out"] == "5"
    assert json.loads(one.lines[-1])["message"] == "other"
