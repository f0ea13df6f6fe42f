"""Statements of the stand-in members: JSON lists of operations on key-value data.

A statement is a list such as [{"op": "get", "key": "a"}, {"op": "add", "key": "n", "amount": 2}].
Its answer is the JSON list of the operations' results, one for each operation, in order:

  get     the value; null if the key is absent
  put     the written value
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
    """Adds an integer to an integer value."""

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
    """A statement is malformed or does not match the type of a value; no data was changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """The effect of a statement.

    Attributes:
      results: The results, one for each operation.
      writes: The new values of the written keys.
    """

    results: list[Any]
    writes: dict[str, Any]


def encode(*operations: Operation) -> bytes:
    """Encodes operations as a statement."""
    return _ENCODER.encode(operations)


def get(*keys: str) -> bytes:
    """Returns a statement that reads keys."""
    return encode(*(Get(key) for key in keys))


def put(key: str, value: Any) -> bytes:
    """Returns a statement that writes a key."""
    return encode(Put(key, value))


def add(key: str, amount: int) -> bytes:
    """Returns a statement that adds an amount to an integer value."""
    return encode(Add(key, amount))


def append(key: str, value: Any) -> bytes:
    """Returns a statement that appends a value to a list."""
    return encode(Append(key, value))


def decode(body: bytes) -> list[Operation]:
    """Returns the operations of a statement. Raises InvalidStatement."""
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise InvalidStatement(str(error)) from error


def encode_results(results: list[Any]) -> bytes:
    """Encodes results as an answer."""
    return _ENCODER.encode(results)


def decode_results(answer: bytes) -> list[Any]:
    """Returns the results in an answer."""
    return msgspec.json.decode(answer, type=list[Any])


def contains_write(operations: collections.abc.Iterable[Operation]) -> bool:
    """Returns whether any of the operations writes."""
    return any(not isinstance(operation, Get) for operation in operations)


def evaluate(
    operations: collections.abc.Iterable[Operation],
    read: collections.abc.Callable[[str], Any],
) -> Effect:
    """Computes the effect of operations without changing the data.

    Args:
      operations: The operations, in order; later ones see the writes of earlier ones.
      read: Returns the value of a key before the statement; None if absent.
    Returns:
      The effect.
    Raises:
      InvalidStatement: An operation does not match the type of a value.
    """
    effect = Effect([], {})
    for operation in operations:
        effect.results.append(_evaluate_operation(operation, read, effect.writes))
    return effect


def _evaluate_operation(
    operation: Operation,
    read: collections.abc.Callable[[str], Any],
    written: dict[str, Any],
) -> Any:
    key = operation.key
    match operation:
        case Get():
            return _current_value(key, read, written)
        case Put():
            written[key] = operation.value
            return operation.value
        case Add():
            written[key] = (
                _integer_or_zero(key, _current_value(key, read, written)) + operation.amount
            )
            return written[key]
        case Append():
            written[key] = [
                *_list_or_empty(key, _current_value(key, read, written)),
                operation.value,
            ]
            return len(written[key])


def _current_value(
    key: str, read: collections.abc.Callable[[str], Any], written: dict[str, Any]
) -> Any:
    return written[key] if key in written else read(key)


def _integer_or_zero(key: str, value: Any) -> int:
    if value is None:
        return 0
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise InvalidStatement(f"add: {key!r} is not a whole number")


def _list_or_empty(key: str, value: Any) -> list[Any]:
    if value is None:
        return []
    if isinstance(value, list):
        return value
    raise InvalidStatement(f"append: {key!r} is not a list")
