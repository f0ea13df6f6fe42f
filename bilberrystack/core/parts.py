"""Encoding of declarations as 64 parts under their digests and one head.

A part holds the declarations whose names hash to its number, so that a change of one declaration
changes one part. Parts never change under their digest; the head names the current ones.
"""

import collections.abc
import hashlib
from typing import Any

import msgspec
from returns import result

from bilberrystack.core import declarations
from bilberrystack.core import problems

PART_COUNT = 64

# Operation ids kept in the head. At 1,100 changes a day an operator's command can be repeated
# safely for more than an hour.
MAX_OPERATIONS = 64
MAX_OPERATION_ID_LENGTH = 64

_DIGEST_BYTES = 20
_EMPTY_DIGEST = ""

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


class Part(msgspec.Struct, frozen=True, omit_defaults=True):
    """The declarations of one part."""

    groups: dict[str, declarations.GroupDeclaration] = {}
    callers: dict[str, declarations.CallerDeclaration] = {}
    targets: declarations.Targets | None = None


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """An accepted change.

    Attributes:
      id: The operation id.
      version: The configuration version that it produced.
      fingerprint: Digest of the change, which tells a repetition from another use of the id.
    """

    id: str
    version: int
    fingerprint: str


class Head(msgspec.Struct, frozen=True):
    """What names one configuration version.

    Attributes:
      version: The configuration version, from 1.
      digests: The digests of the 64 parts in hexadecimal; empty for a part without declarations.
      operations: The latest accepted changes, oldest first.
    """

    version: int
    digests: tuple[str, ...]
    operations: tuple[Operation, ...] = ()

    def operation(self, operation_id: str) -> Operation | None:
        """Returns the accepted change with an operation id, None if it is not known."""
        return next((one for one in self.operations if one.id == operation_id), None)


EMPTY_HEAD = Head(0, (_EMPTY_DIGEST,) * PART_COUNT)

_HEAD_DECODER = msgspec.msgpack.Decoder(Head)
_PART_DECODER = msgspec.msgpack.Decoder(Part)


def digest(content: bytes) -> str:
    """Returns the digest under which a part is stored, in hexadecimal."""
    return hashlib.sha256(content).hexdigest()[: 2 * _DIGEST_BYTES]


def part_number(kind: str, name: str) -> int:
    """Returns the number of the part that holds a declaration."""
    return hashlib.sha256(f"{kind}/{name}".encode()).digest()[0] % PART_COUNT


def encode_parts(document: declarations.Declarations) -> tuple[tuple[str, ...], dict[str, bytes]]:
    """Encodes declarations.

    Args:
      document: The declarations.
    Returns:
      The digests of the 64 parts in order, and the content of each by digest.
    """
    fields: list[dict[str, Any]] = [{"groups": {}, "callers": {}} for _ in range(PART_COUNT)]
    for name, group in document.groups.items():
        fields[part_number("group", name)]["groups"][name] = group
    for name, caller in document.callers.items():
        fields[part_number("caller", name)]["callers"][name] = caller
    if document.targets != declarations.Targets():
        fields[part_number("targets", "")]["targets"] = document.targets
    digests = []
    contents = {}
    for one in fields:
        part = Part(**one)
        if part == Part():
            digests.append(_EMPTY_DIGEST)
            continue
        content = _ENCODER.encode(part)
        digests.append(digest(content))
        contents[digests[-1]] = content
    return tuple(digests), contents


def encode_head(head: Head) -> bytes:
    """Encodes a head."""
    return _ENCODER.encode(head)


def decode_head(content: bytes) -> result.Result[Head, problems.Problem]:
    """Decodes a head, or returns why it is malformed."""
    try:
        head = _HEAD_DECODER.decode(content)
    except msgspec.DecodeError as error:
        return result.Failure(problems.Problem("head", "", f"is malformed: {error}"))
    if len(head.digests) != PART_COUNT or head.version < 0:
        return result.Failure(problems.Problem("head", "", f"must name {PART_COUNT} parts"))
    return result.Success(head)


def missing(head: Head, known: collections.abc.Container[str]) -> list[str]:
    """Returns the digests of a head's parts that are not known."""
    wanted = dict.fromkeys(one for one in head.digests if one != _EMPTY_DIGEST)
    return [one for one in wanted if one not in known]


def assemble(
    head: Head, contents: collections.abc.Mapping[str, bytes]
) -> result.Result[declarations.Declarations, tuple[problems.Problem, ...]]:
    """Decodes the declarations that a head names.

    Args:
      head: The head.
      contents: The contents of at least its parts, by digest.
    Returns:
      The declarations, or a problem for each part that is absent, altered or malformed.
    """
    groups: dict[str, declarations.GroupDeclaration] = {}
    callers: dict[str, declarations.CallerDeclaration] = {}
    targets = declarations.Targets()
    found = []
    for key in missing(head, ()):
        content = contents.get(key)
        if content is None or digest(content) != key:
            found.append(problems.Problem("part", key, "is absent or altered"))
            continue
        try:
            part = _PART_DECODER.decode(content)
        except msgspec.DecodeError as error:
            found.append(problems.Problem("part", key, f"is malformed: {error}"))
            continue
        groups |= part.groups
        callers |= part.callers
        targets = part.targets or targets
    if found:
        return result.Failure(tuple(found))
    return result.Success(declarations.Declarations(head.version, groups, callers, targets))


def next_head(head: Head, digests: tuple[str, ...], operation_id: str, fingerprint: str) -> Head:
    """Returns the head of the next version, which remembers the change that produced it."""
    version = head.version + 1
    operation = Operation(operation_id, version, fingerprint)
    kept = head.operations[-(MAX_OPERATIONS - 1) :]
    return Head(version, digests, (*kept, operation))
