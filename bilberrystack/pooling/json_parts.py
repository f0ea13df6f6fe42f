"""Splits JSON text into its parts without decoding them, so that one bad part spoils no other.

A decoder rejects a whole text for one unreadable byte, number or depth in it. These functions look
at strings, brackets and commas only, and at one level.

Other writers choose how many strings, brackets and commas there are. A nested value is therefore
passed by functions of the interpreter that look at thousands of bytes in one call, and never token
by token: a megabyte of brackets took 3.5 s that way. What still takes long is done in steps.
"""

import itertools
import json
import re

from bilberrystack.pooling import turns

_STRUCTURE = re.compile(rb"[\[\]{},:]")
_OPENING, _CLOSING = b"[{", b"]}"

# Maps each bracket to the change of the depth, as a signed byte.
_DEPTH_CHANGES = bytes(
    1 if byte in _OPENING else 255 if byte in _CLOSING else 0 for byte in range(256)
)
_NO_BRACKETS = bytes(byte for byte in range(256) if byte not in _OPENING + _CLOSING)

# Bytes of a nested value that are looked at first. The number doubles up to MAX_STEP_BYTES, so that
# passing a value takes time in proportion to its length.
_FIRST_CHUNK_BYTES = 64

# Commas, colons and nested values at the outermost level of a text. A page of the store has about
# 500 objects and an object four fields; a text with more is unreadable and given up after 60 ms.
MAX_TOKENS = 20_000

# Work for one comma, colon or nested value at the outermost level, in bytes: 2 us.
_TOKEN_WORK_BYTES = 32


def array_steps(text: bytes) -> turns.Steps[list[bytes]]:
    """Return the elements of a JSON array as JSON text, in steps.

    Raises:
      ValueError: The text is not an array, as far as can be seen.
    """
    parts, _ = yield from _split(text, b"[", b"]")
    return parts


def object_steps(text: bytes) -> turns.Steps[dict[str, bytes]]:
    """Return the values of a JSON object as JSON text by key, in steps.

    An unreadable key is left out.

    Raises:
      ValueError: The text is not an object, as far as can be seen.
    """
    parts, colons = yield from _split(text, b"{", b"}")
    budget = turns.Budget()
    fields = {}
    for part, colon in zip(parts, colons, strict=True):
        if budget.spend(_TOKEN_WORK_BYTES):
            yield
        # A key that is no string is not decoded at all: it may be nested and long.
        if colon < 0 or not part.startswith(b'"'):
            continue
        try:
            key = json.loads(part[:colon])
        except ValueError:
            # Nothing is known by such a key.
            continue
        fields[str(key)] = part[colon + 1 :].strip()
    return fields


def _split(
    text: bytes, opening: bytes, closing: bytes
) -> turns.Steps[tuple[list[bytes], list[int]]]:
    """Return the parts between the commas of the outermost level, and the places of their colons.

    The place of a colon is counted from the begin of its part; it is negative if there is none.
    """
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ValueError(f"no text between {opening!r} and {closing!r}")
    blanked = yield from _blank_strings(text)
    budget = turns.Budget()
    parts, colons = [], []
    begin, colon, position = 1, -1, 1
    token_count = 0
    while position < len(text):
        searched_from = position
        found = _STRUCTURE.search(blanked, position, position + turns.MAX_STEP_BYTES)
        position = position + turns.MAX_STEP_BYTES if found is None else found.start()
        if budget.spend(position - searched_from + _TOKEN_WORK_BYTES):
            yield
        if found is None:
            continue
        token_count += 1
        if token_count > MAX_TOKENS:
            raise ValueError("too many parts")
        symbol = found.group()
        if symbol in _OPENING:
            position = yield from _pass_value(blanked, position, budget)
            continue
        if symbol == b":":
            colon = position if colon < 0 else colon
        else:
            part = text[begin:position].lstrip()
            if part:
                parts.append(part.rstrip())
                colons.append(-1 if colon < 0 else colon - position + len(part))
            begin, colon = position + 1, -1
        position += 1
        if symbol in _CLOSING:
            break
    if begin != len(text):
        raise ValueError("brackets do not match")
    return parts, colons


def _blank_strings(text: bytes) -> turns.Steps[bytes]:
    """Return the text with zeros inside its strings, so that all brackets left are structure."""
    # Of a run of backslashes, each second one is escaped; after that, so are the quotes.
    unescaped = text.replace(b"\\\\", b"__").replace(b'\\"', b"__")
    blanked = []
    in_string = False
    for begin in range(0, len(unescaped), turns.MAX_STEP_BYTES):
        pieces = unescaped[begin : begin + turns.MAX_STEP_BYTES].split(b'"')
        first = 0 if in_string else 1
        pieces[first::2] = map(bytes, map(len, pieces[first::2]))
        blanked.append(b'"'.join(pieces))
        # An odd number of quotes leaves an even number of pieces.
        in_string ^= len(pieces) % 2 == 0
        yield
    return b"".join(blanked)


def _pass_value(blanked: bytes, position: int, budget: turns.Budget) -> turns.Steps[int]:
    """Return the position behind a nested value.

    Args:
      blanked: The text without the contents of its strings.
      position: The position of the value's opening bracket.
      budget: Counts the work of the step.
    Raises:
      ValueError: The value has no end.
    """
    depth, chunk_bytes = 0, _FIRST_CHUNK_BYTES
    while position < len(blanked):
        chunk = blanked[position : position + chunk_bytes]
        if budget.spend(len(chunk) + _TOKEN_WORK_BYTES):
            yield
        changes = chunk.translate(_DEPTH_CHANGES, _NO_BRACKETS)
        closing_count = changes.count(255)
        # With fewer closing brackets than the depth, their order makes no difference.
        if closing_count >= max(depth, 1) and depth + _lowest(changes) <= 0:
            depths = list(_accumulate(chunk.translate(_DEPTH_CHANGES)))
            return position + depths.index(-depth) + 1
        depth += len(changes) - 2 * closing_count
        position += len(chunk)
        chunk_bytes = min(2 * chunk_bytes, turns.MAX_STEP_BYTES)
    raise ValueError("brackets do not match")


def _lowest(changes: bytes) -> int:
    """Return the lowest depth that a series of changes reaches, from a depth of 0."""
    return min(_accumulate(changes), default=0)


def _accumulate(changes: bytes) -> "itertools.accumulate[int]":
    return itertools.accumulate(memoryview(changes).cast("b"))
