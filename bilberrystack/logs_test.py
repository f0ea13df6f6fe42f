"""Tests of the log output."""

import json

import loguru
import pytest

from bilberrystack import logs


class Output:
    """Log sink that collects its lines and has a manual clock."""

    def __init__(self, **options):
        self.lines = []
        self.now_s = 0.0
        sink = logs.Sink(self.lines.append, clock=lambda: self.now_s, **options)
        self.handler_id = loguru.logger.add(
            sink, format="{exception}", diagnose=False, backtrace=False
        )


@pytest.fixture
def open_output():
    opened = []

    def create_output(**options):
        opened.append(Output(**options))
        return opened[-1]

    yield create_output
    for output in opened:
        loguru.logger.remove(output.handler_id)


def test_text_line_has_prefix_and_fields(open_output):
    """Guards against log lines without their component, and against forged lines."""
    output = open_output(json=False)
    loguru.logger.bind(component="peers", peer="a").info("Rejected {}", "x\nERROR y")
    assert output.lines[0].endswith("INFO peers: Rejected x\\nERROR y peer=a\n")


@pytest.mark.parametrize("as_json", [False, True])
def test_secrets_are_masked_also_in_tracebacks(open_output, as_json):
    """Guards against secrets in the logs that are part of an exception's message."""
    output = open_output(json=as_json, secrets=["secret", "secret-long", 'quo"ted', ""])
    try:
        raise ValueError("refused secret-long")
    except ValueError:
        loguru.logger.bind(token="a-secret").exception('Failed with secret, quo"ted')
    text = "".join(output.lines)
    assert "secret-long" not in text and "with secret" not in text and "a-secret" not in text
    assert "ted" not in text.replace("quoted", "")
    assert text.count(logs.MASK) >= 3 and "ValueError" in text


def test_json_lines_are_objects(open_output):
    """Guards against lines that a log collector can't parse."""
    output = open_output(json=True)
    loguru.logger.bind(component="peers", term=4).warning('A "quoted" text')
    line = json.loads(output.lines[0])
    assert (line["component"], line["level"], line["term"]) == ("peers", "warning", "4")
    assert line["message"] == 'A "quoted" text'


@pytest.mark.parametrize("as_json", [False, True])
def test_a_field_of_any_characters_stays_on_its_line(open_output, as_json):
    """Guards against a client's request id that ends a line, or can't be logged."""
    output = open_output(json=as_json)
    text = "a\r\nb\rc\n\u2028\x85\x0b\x00\t\x1e{}"
    loguru.logger.bind(id=text).info("request ended")
    assert len(output.lines) == 1 and output.lines[0].index("\n") == len(output.lines[0]) - 1
    if as_json:
        assert json.loads(output.lines[0])["id"] == text


def test_repeated_lines_are_counted_and_others_are_not_held_back(open_output):
    """Guards against a frequent message that fills the log or suppresses other messages."""
    output = open_output(json=True)
    for now_s in (0.0, logs.RATE_LIMIT_INTERVAL_S):
        output.now_s = now_s
        for _ in range(logs.DEFAULT_MAX_LINES + 5):
            loguru.logger.info("repeated")
    loguru.logger.info("other")
    repeated = [json.loads(line) for line in output.lines[:-1]]
    assert len(repeated) == 2 * logs.DEFAULT_MAX_LINES
    assert repeated[logs.DEFAULT_MAX_LINES]["left_out"] == "5"
    assert json.loads(output.lines[-1])["message"] == "other"
