"""Decodes what the store returns, so that one unreadable object spoils no other."""

import collections.abc
import typing

import msgspec

from bilberrystack.platform import json_parts
from bilberrystack.platform import objects
from bilberrystack.pooling import interfaces

# What decoding raises for text that is malformed, or nested too deeply.
DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

Decoded = typing.TypeVar("Decoded", bound=msgspec.Struct)


def decode_list_page(body: bytes) -> objects.ListPage:
    """Decode a page of a list, also if some of its items can't be decoded.

    Raises:
      interfaces.NotDone: The page itself is malformed.
    """
    return _decode_result(body, objects.ListPage, "items", msgspec.Raw)


def decode_watch_result(body: bytes) -> objects.WatchResult:
    """Decode the result of a watch, also if some of its events can't be decoded.

    Raises:
      interfaces.NotDone: The result itself is malformed.
    """
    return _decode_result(body, objects.WatchResult, "events", _decode_event)


def _decode_result(
    body: bytes,
    result_type: type[Decoded],
    list_field: str,
    decode_element: collections.abc.Callable[[bytes], object],
) -> Decoded:
    """Decode a result in whole, or if that fails, each element of its list by itself.

    Args:
      body: The result, as JSON.
      result_type: The type of the result.
      list_field: Name of the field with the list.
      decode_element: Decodes an element of the list.
    Raises:
      interfaces.NotDone: The result is malformed outside the elements.
    """
    try:
        return msgspec.json.decode(body, type=result_type)
    except DECODING_ERRORS:
        pass
    try:
        parts = json_parts.split_object(body)
        values: dict[str, object] = {
            field.name: msgspec.json.decode(parts[field.name], type=field.type)
            for field in msgspec.structs.fields(result_type)
            if field.name != list_field
        }
        elements = json_parts.split_array(parts[list_field])
        values[list_field] = [decode_element(element) for element in elements]
        return result_type(**values)
    except (LookupError, *DECODING_ERRORS) as error:
        raise interfaces.NotDone(f"malformed body: {error}") from error


def _decode_event(encoded: bytes) -> objects.WatchEvent:
    parts = json_parts.split_object(encoded)
    deleted = parts.get("deleted") == b"true"
    return objects.WatchEvent(msgspec.Raw(parts["object"]), deleted)


def decode_stored_object(encoded: bytes) -> objects.StoredObject:
    """Decode an object's metadata; its content may be unreadable.

    Raises:
      msgspec.MsgspecError, ValueError, RecursionError: The metadata is malformed.
    """
    try:
        return msgspec.json.decode(encoded, type=objects.StoredObject)
    except DECODING_ERRORS:
        parts = json_parts.split_object(encoded)
    meta = msgspec.json.decode(parts.get("meta", b""), type=objects.ObjectMetadata)
    return objects.StoredObject(meta, msgspec.Raw(parts.get("spec", b"null")))
