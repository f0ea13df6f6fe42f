"""Tests that text of any shape is split in time, and correctly wherever a step ends."""

import contextlib
import itertools
import json
import sys
import time

import pytest

from bilberrystack.pooling import json_parts
from bilberrystack.pooling import turns

TEXT_BYTES = 1_000_000

# A nested value of about TEXT_BYTES each. Its end is found, whether it can be decoded or not.
NESTED = {
    "one array inside the other": b"[" * (TEXT_BYTES // 2) + b"]" * (TEXT_BYTES // 2),
    "one object inside the other": b'{"a":' * (TEXT_BYTES // 6) + b"1" + b"}" * (TEXT_BYTES // 6),
    "empty arrays": b"[" + b"[]," * (TEXT_BYTES // 3) + b"[]]",
    "arrays five deep": b"[" + b"[[[[[]]]]]," * (TEXT_BYTES // 11) + b"[]]",
    "arrays 300 deep": b"[" + (b"[" * 300 + b"]" * 300 + b",") * (TEXT_BYTES // 601) + b"[]]",
    "numbers": b"[" + b"1," * (TEXT_BYTES // 2) + b"1]",
    "fields": b"{" + b'"a":1,' * (TEXT_BYTES // 6) + b'"a":1}',
    "empty strings": b"[" + b'"",' * (TEXT_BYTES // 3) + b'""]',
    "strings with a bracket": b"[" + b'"[",' * (TEXT_BYTES // 4) + b'"]"]',
    "escaped quotes": b'["' + b'\\"' * (TEXT_BYTES // 2) + b'"]',
    "one string": b'["' + b"[" * TEXT_BYTES + b'"]',
}

# Many parts at the outermost level of an array, which no page of the store has.
MANY_PARTS = {
    "numbers": b"[" + b"1," * (TEXT_BYTES // 2) + b"1]",
    "arrays without commas": b"[" + b"[[]]" * (TEXT_BYTES // 4) + b"]",
    "arrays": b"[" + b"[1]," * (TEXT_BYTES // 4) + b"[]]",
}

# Lines of Python that may be run for a text of TEXT_BYTES. With one line or more for each token
# they are hundreds of thousands.
MAX_LINES = 4_000

# Lines that may be run in one step on many parts; they take 5 ms on a development machine.
MAX_STEP_LINES = 50_000


class LineCounter:
    """Counts the lines of json_parts that run; a measure of work that is the same everywhere."""

    def __init__(self):
        self.count = 0

    def __enter__(self):
        self._previous = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(self, *_):
        sys.settrace(self._previous)

    def _trace(self, frame, event, _argument):
        if frame.f_code.co_filename != json_parts.__file__:
            return None
        self.count += event == "line"
        return self._trace


def _processor_time_s(function):
    times_s = []
    for _ in range(3):
        begun_s = time.process_time()
        function()
        times_s.append(time.process_time() - begun_s)
    return min(times_s)


@pytest.mark.parametrize("nested", NESTED.values(), ids=NESTED.keys())
def test_a_nested_value_is_passed_without_a_line_for_each_token(nested):
    """Guards against an entry that occupies the event loop for seconds."""
    text = b'{"before": 1, "nested": ' + nested + b', "after": 2}'
    with LineCounter() as lines:
        fields = turns.complete(json_parts.object_steps(text))
    assert fields == {"before": b"1", "nested": nested, "after": b"2"}
    assert lines.count < MAX_LINES


@pytest.mark.parametrize("nested", NESTED.values(), ids=NESTED.keys())
def test_passing_a_nested_value_takes_no_longer_than_decoding_one(nested):
    """Guards against library calls that take long for one shape, which no count of lines shows."""
    decodable = NESTED["empty arrays"]
    decoding_s = _processor_time_s(lambda: json.loads(decodable))
    assert (
        _processor_time_s(lambda: turns.complete(json_parts.array_steps(b"[%s]" % nested)))
        < 3 * decoding_s
    )


@pytest.mark.parametrize("nested", NESTED.values(), ids=NESTED.keys())
def test_the_work_on_a_nested_value_is_divided_into_steps(nested):
    """Guards against a step that occupies the event loop, whatever the whole text takes."""
    step_lines = _lines_of_steps(b"[%s]" % nested)
    assert len(step_lines) >= TEXT_BYTES // turns.MAX_STEP_BYTES
    assert max(step_lines) < MAX_LINES // 10


@pytest.mark.parametrize("text", MANY_PARTS.values(), ids=MANY_PARTS.keys())
def test_the_work_on_many_parts_is_divided_into_steps(text):
    """Guards against a step that goes through all parts of a long array."""
    assert max(_lines_of_steps(text)) < MAX_STEP_LINES


def _lines_of_steps(text):
    """Return the number of lines that run in each step of splitting an array."""
    step_lines = []
    steps = json_parts.array_steps(text)
    with LineCounter() as lines, contextlib.suppress(ValueError, StopIteration):
        while True:
            step_lines.append(lines.count)
            next(steps)
    step_lines.append(lines.count)
    return [after - before for before, after in itertools.pairwise(step_lines)]


@pytest.mark.parametrize("text", MANY_PARTS.values(), ids=MANY_PARTS.keys())
def test_a_text_with_too_many_parts_is_given_up(text):
    """Guards against seconds of work, in many steps, for a text that is nothing of the store's."""
    with LineCounter() as lines, pytest.raises(ValueError, match="too many parts"):
        turns.complete(json_parts.array_steps(text))
    assert lines.count < 30 * json_parts.MAX_TOKENS


@pytest.mark.parametrize("step_bytes", [1, 2, 3, 5, 8])
def test_the_parts_are_the_same_wherever_a_step_ends(step_bytes, monkeypatch):
    """Guards against a string, an escape or a bracket that is torn apart between two steps."""
    values = ['a"b', "\\", '\\"', "[", '"]"', "", [["]"], {"{": '"'}], {}, [], 'x\\\\"[', [[[]]], 1]
    text = json.dumps(values).encode()
    table = json.dumps({f"{number}\\": value for number, value in enumerate(values)}).encode()
    monkeypatch.setattr(turns, "MAX_STEP_BYTES", step_bytes)
    assert [json.loads(part) for part in turns.complete(json_parts.array_steps(text))] == values
    parts = turns.complete(json_parts.object_steps(table))
    assert [json.loads(part) for part in parts.values()] == values


@pytest.mark.parametrize(
    "text", [b"[[]", b"[]]", b"[[[", b'["]', b"[}]", b"{]", b"", b"[" * 90_000]
)
def test_text_whose_brackets_do_not_match_is_no_array(text):
    """Guards against a part that reaches beyond the end of its array."""
    with pytest.raises(ValueError):
        turns.complete(json_parts.array_steps(text))
