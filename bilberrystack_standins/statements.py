"""Statements of the stand-in members: JSON lists of operations on a key-value store.

A statement is a list such as [{"op": "get", "key": "a"}, {"op": "add", "key": "n", "amount": 2}].
Its answer is the JSON list of the operations' results, one for each operation, in order:

  get     the value; null if the key is absent
  put     the value written
  add     the sum; an absent key counts as 0
  append  the new length of the list; an absent key counts as an empty list
"""

import collections.abc
import dataclasses
from typing import Any

import msgspec


class Get(msgspec.Struct, frozen=True, tag_field="op", tag="get"):
    """Reads a key."""

    key: str


class Put(msgspec.Struct, frozen=True, tag_field="op", tag="put"):
    """Writes a JSON value."""

    key: str
    value: Any


class Add(msgspec.Struct, frozen=True, tag_field="op", tag="add"):
    """Adds a whole number to a whole number."""

    key: str
    amount: int


class Append(msgspec.Struct, frozen=True, tag_field="op", tag="append"):
    """Appends a JSON value to a list."""

    key: str
    value: Any


Operation = Get | Put | Add | Append

_DECODER = msgspec.json.Decoder(list[Operation])
_ENCODER = msgspec.json.Encoder()


class InvalidStatement(Exception):
    """A statement can't be decoded or doesn't fit the data; nothing was changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """What a statement does.

    Attributes:
      results: The results, one for each operation.
      writes: The final values of the keys written.
    """

    results: list[Any]
    writes: dict[str, Any]


def encode(*operations: Operation) -> bytes:
    """Returns the statement of some operations."""
    return _ENCODER.encode(operations)


def get(*keys: str) -> bytes:
    """Returns a statement that reads keys."""
    return encode(*(Get(key) for key in keys))


def put(key: str, value: Any) -> bytes:
    """Returns a statement that writes a key."""
    return encode(Put(key, value))


def add(key: str, amount: int) -> bytes:
    """Returns a statement that adds to a number."""
    return encode(Add(key, amount))


def append(key: str, value: Any) -> bytes:
    """Returns a statement that appends to a list."""
    return encode(Append(key, value))


def decode(body: bytes) -> list[Operation]:
    """Returns the operations of a statement. Raises InvalidStatement."""
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise InvalidStatement(str(error)) from error


def encode_results(results: list[Any]) -> bytes:
    """Returns the answer that carries results."""
    return _ENCODER.encode(results)


def results(answer: bytes) -> list[Any]:
    """Returns the results that an answer carries."""
    return msgspec.json.decode(answer, type=list[Any])


def writes(operations: collections.abc.Iterable[Operation]) -> bool:
    """Tells whether any of the operations writes."""
    return any(not isinstance(operation, Get) for operation in operations)


def evaluate(
    operations: collections.abc.Iterable[Operation],
    read: collections.abc.Callable[[str], Any],
) -> Effect:
    """Computes what operations do, without changing the data.

    Args:
      operations: The operations, in order; later ones see the writes of earlier ones.
      read: Returns the value of a key before the statement, None if absent.
    Returns:
      The effect. Raises InvalidStatement.
    """
    effect = Effect([], {})
    for operation in operations:
        effect.results.append(_evaluate_one(operation, read, effect.writes))
    return effect


def _evaluate_one(
    operation: Operation,
    read: collections.abc.Callable[[str], Any],
    written: dict[str, Any],
) -> Any:
    key = operation.key
    match operation:
        case Get():
            return _current(key, read, written)
        case Put():
            written[key] = operation.value
            return operation.value
        case Add():
            written[key] = _number(key, _current(key, read, written)) + operation.amount
            return written[key]
        case Append():
            written[key] = [*_list(key, _current(key, read, written)), operation.value]
            return len(written[key])


def _current(key: str, read: collections.abc.Callable[[str], Any], written: dict[str, Any]) -> Any:
    return written[key] if key in written else read(key)


def _number(key: str, value: Any) -> int:
    if value is None:
        return 0
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise InvalidStatement(f"add: {key!r} is not a whole number")


def _list(key: str, value: Any) -> list[Any]:
    if value is None:
        return []
    if isinstance(value, list):
        return value
    raise InvalidStatement(f"append: {key!r} is not a list")
