"""Decodes what the store returns, so that one unreadable object spoils no other.

The functions work in steps, since the store returns objects of any content of up to 1 MiB each.
What can be read takes 6 ms per MiB at most, in one step; only what can't be read is split.
"""

import collections.abc
import json
import typing
import urllib.parse

import msgspec

from bilberrystack.platform import objects
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import json_parts
from bilberrystack.pooling import turns

# What decoding raises for text that is malformed, or nested too deeply.
DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

# Work for one element of a list beside that for its bytes, in bytes that json_parts looks at in the
# same time. A malformed object costs a log line of 0.1 ms.
ELEMENT_WORK_BYTES = 1024

Decoded = typing.TypeVar("Decoded", bound=msgspec.Struct)


def list_page_steps(body: bytes) -> turns.Steps[objects.ListPage]:
    """Decode a page of a list, also if some of its items can't be decoded.

    Raises:
      interfaces.NotDone: The page itself is malformed.
    """
    return (yield from _result_steps(body, objects.ListPage, "items", _item_steps))


def watch_result_steps(body: bytes) -> turns.Steps[objects.WatchResult]:
    """Decode the result of a watch, also if some of its events can't be decoded.

    Raises:
      interfaces.NotDone: The result itself is malformed.
    """
    return (yield from _result_steps(body, objects.WatchResult, "events", _event_steps))


def _result_steps(
    body: bytes,
    result_type: type[Decoded],
    list_field: str,
    element_steps: collections.abc.Callable[[bytes], turns.Steps[object]],
) -> turns.Steps[Decoded]:
    """Decode a result in whole, or if that fails, each element of its list by itself.

    Args:
      body: The result, as JSON.
      result_type: The type of the result.
      list_field: Name of the field with the list.
      element_steps: Decodes an element of the list.
    Raises:
      interfaces.NotDone: The result is malformed outside the elements.
    """
    try:
        return msgspec.json.decode(body, type=result_type)
    except DECODING_ERRORS:
        pass
    try:
        parts = yield from json_parts.object_steps(body)
        values: dict[str, object] = {
            field.name: msgspec.json.decode(parts[field.name], type=field.type)
            for field in msgspec.structs.fields(result_type)
            if field.name != list_field
        }
        budget = turns.Budget()
        elements: list[object] = []
        for part in (yield from json_parts.array_steps(parts[list_field])):
            if budget.spend(len(part) + ELEMENT_WORK_BYTES):
                yield
            elements.append((yield from element_steps(part)))
        return result_type(**values, **{list_field: elements})
    except (LookupError, *DECODING_ERRORS) as error:
        raise interfaces.NotDone(f"malformed body: {error}") from error


def _item_steps(encoded: bytes) -> turns.Steps[msgspec.Raw]:
    yield from ()
    return msgspec.Raw(encoded)


def _event_steps(encoded: bytes) -> turns.Steps[objects.WatchEvent]:
    try:
        return msgspec.json.decode(encoded, type=objects.WatchEvent)
    except DECODING_ERRORS:
        parts = yield from json_parts.object_steps(encoded)
    deleted = parts.get("deleted") == b"true"
    return objects.WatchEvent(msgspec.Raw(parts["object"]), deleted)


def stored_object_steps(encoded: bytes) -> turns.Steps[objects.StoredObject]:
    """Decode an object's metadata; its content may be unreadable.

    Raises:
      msgspec.MsgspecError, ValueError, RecursionError: The metadata is malformed.
    """
    try:
        return msgspec.json.decode(encoded, type=objects.StoredObject)
    except DECODING_ERRORS:
        parts = yield from json_parts.object_steps(encoded)
    meta = msgspec.json.decode(parts.get("meta", b""), type=objects.ObjectMetadata)
    return objects.StoredObject(meta, msgspec.Raw(parts.get("spec", b"null")))


def cursor_steps(
    encoded: collections.abc.Sequence[msgspec.Raw],
) -> turns.Steps[str]:
    """Return the last name in a page whose names are all unreadable, for the call of the next page.

    The names may hold what no name of ours may: bytes that are not UTF-8, or half a surrogate pair.

    Args:
      encoded: The objects of the page.
    Returns:
      The name, quoted for a query; an empty string if there is none.
    """
    for raw in reversed(encoded):
        try:
            parts = yield from json_parts.object_steps(bytes(raw))
            meta = yield from json_parts.object_steps(parts["meta"])
            if meta["name"].startswith(b'"'):
                return _quote_name(meta["name"])
        except (LookupError, *DECODING_ERRORS):
            continue
    return ""


def _quote_name(encoded: bytes) -> str:
    try:
        name, errors = encoded.decode(), "surrogatepass"
    except UnicodeDecodeError:
        name, errors = encoded.decode(errors="surrogateescape"), "surrogateescape"
    return urllib.parse.quote(json.loads(name), safe="", errors=errors)
