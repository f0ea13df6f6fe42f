"""Splits JSON text into its parts without decoding them, so that one bad part spoils no other.

A decoder rejects a whole text for one unreadable byte, number or depth in it. These functions look
at strings, brackets and commas only, and at one level.
"""

import collections.abc
import json
import re

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


def split_array(text: bytes) -> list[bytes]:
    """Return the elements of a JSON array as JSON text.

    Raises:
      ValueError: The text is not an array, as far as can be seen.
    """
    return [part for part, _ in _split(text, b"[", b"]") if part]


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the values of a JSON object as JSON text by key; an unreadable key is left out.

    Raises:
      ValueError: The text is not an object, as far as can be seen.
    """
    fields = {}
    for part, colon in _split(text, b"{", b"}"):
        if colon < 0:
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
) -> collections.abc.Iterator[tuple[bytes, int]]:
    """Yield the parts between the commas of the outermost level, and the place of their colon."""
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ValueError(f"no text between {opening!r} and {closing!r}")
    depth, begin, colon = 0, 1, -1
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        if symbol in _OPENING:
            depth += 1
        elif symbol in _CLOSING:
            depth -= 1
        elif symbol == b":" and depth == 1 and colon < 0:
            colon = token.start()
        if (symbol == b"," and depth == 1) or depth == 0:
            part = text[begin : token.start()]
            offset = len(part) - len(part.lstrip())
            yield part.strip(), -1 if colon < 0 else colon - begin - offset
            begin, colon = token.end(), -1
        if depth == 0:
            break
    if depth != 0 or begin != len(text):
        raise ValueError("brackets do not match")
