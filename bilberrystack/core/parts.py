"""Encoding of the declarations as 64 content-addressed parts and one head.

A part contains the declarations whose names hash to its number, so that a change of one declaration
changes one part. The content stored under a digest never changes; the head lists the digests of the
current parts.
"""

import collections.abc
import hashlib
from typing import Any

import msgspec
from returns import result

from bilberrystack.core import declarations
from bilberrystack.core import problems

PART_COUNT = 64

# Number of operation ids kept in the head. At 1,100 changes per day, an operator's command can be
# repeated safely for more than an hour.
MAX_OPERATIONS = 64
MAX_OPERATION_ID_LENGTH = 64

_DIGEST_BYTES = 20
_EMPTY_DIGEST = ""

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


class Part(msgspec.Struct, frozen=True, omit_defaults=True):
    """Declarations of one part.

    Attributes:
      groups: Database groups by name.
      callers: Callers by name.
      targets: Service-level targets; None if they are default values or belong to another part.
    """

    groups: dict[str, declarations.GroupDeclaration] = {}
    callers: dict[str, declarations.CallerDeclaration] = {}
    targets: declarations.Targets | None = None


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """An accepted change.

    Attributes:
      id: Operation id.
      version: Configuration version that the change produced.
      fingerprint: Digest of the change, which distinguishes a repetition from another change with
        the same id.
    """

    id: str
    version: int
    fingerprint: str


class Head(msgspec.Struct, frozen=True):
    """Head of one configuration version.

    Attributes:
      version: Configuration version, from 1; 0 without a configuration.
      digests: Hexadecimal digests of the 64 parts; empty for a part without declarations.
      operations: Latest accepted changes, oldest first.
    """

    version: int
    digests: tuple[str, ...]
    operations: tuple[Operation, ...] = ()

    def find_operation(self, operation_id: str) -> Operation | None:
        """Returns the accepted change with an operation id; None if the head has none."""
        return next(
            (operation for operation in self.operations if operation.id == operation_id), None
        )


EMPTY_HEAD = Head(0, (_EMPTY_DIGEST,) * PART_COUNT)

_HEAD_DECODER = msgspec.msgpack.Decoder(Head)
_PART_DECODER = msgspec.msgpack.Decoder(Part)


def digest(content: bytes) -> str:
    """Returns the hexadecimal digest under which a part is stored."""
    return hashlib.sha256(content).hexdigest()[: 2 * _DIGEST_BYTES]


def part_number(kind: str, name: str) -> int:
    """Returns the number of the part that contains a declaration, from 0."""
    return hashlib.sha256(f"{kind}/{name}".encode()).digest()[0] % PART_COUNT


def encode_parts(document: declarations.Declarations) -> tuple[tuple[str, ...], dict[str, bytes]]:
    """Encodes declarations.

    Args:
      document: The declarations.
    Returns:
      The digests of the 64 parts in order, and the content of each non-empty part by digest.
    """
    part_fields: list[dict[str, Any]] = [{"groups": {}, "callers": {}} for _ in range(PART_COUNT)]
    for name, group in document.groups.items():
        part_fields[part_number("group", name)]["groups"][name] = group
    for name, caller in document.callers.items():
        part_fields[part_number("caller", name)]["callers"][name] = caller
    if document.targets != declarations.Targets():
        part_fields[part_number("targets", "")]["targets"] = document.targets
    digests = []
    contents = {}
    for fields in part_fields:
        part = Part(**fields)
        if part == Part():
            digests.append(_EMPTY_DIGEST)
            continue
        content = _ENCODER.encode(part)
        digests.append(digest(content))
        contents[digests[-1]] = content
    return tuple(digests), contents


def encode_head(head: Head) -> bytes:
    return _ENCODER.encode(head)


def decode_head(content: bytes) -> result.Result[Head, problems.Problem]:
    """Returns the decoded head, or the reason why it is malformed."""
    try:
        head = _HEAD_DECODER.decode(content)
    except msgspec.DecodeError as error:
        return result.Failure(problems.Problem("head", "", f"is malformed: {error}"))
    if len(head.digests) != PART_COUNT or head.version < 0:
        return result.Failure(problems.Problem("head", "", f"must name {PART_COUNT} parts"))
    return result.Success(head)


def missing_digests(head: Head, known: collections.abc.Container[str]) -> list[str]:
    """Returns the digests of a head's non-empty parts that are not in known."""
    required = dict.fromkeys(key for key in head.digests if key != _EMPTY_DIGEST)
    return [key for key in required if key not in known]


def assemble(
    head: Head, contents: collections.abc.Mapping[str, bytes]
) -> result.Result[declarations.Declarations, tuple[problems.Problem, ...]]:
    """Decodes the declarations of a configuration version.

    Args:
      head: Head of the version.
      contents: Contents of the head's parts by digest; other contents are ignored.
    Returns:
      The declarations, or a problem for each part that is absent, altered or malformed.
    """
    groups: dict[str, declarations.GroupDeclaration] = {}
    callers: dict[str, declarations.CallerDeclaration] = {}
    targets = declarations.Targets()
    found_problems = []
    for key in missing_digests(head, ()):
        content = contents.get(key)
        if content is None or digest(content) != key:
            found_problems.append(problems.Problem("part", key, "is absent or altered"))
            continue
        try:
            part = _PART_DECODER.decode(content)
        except msgspec.DecodeError as error:
            found_problems.append(problems.Problem("part", key, f"is malformed: {error}"))
            continue
        groups |= part.groups
        callers |= part.callers
        targets = part.targets or targets
    if found_problems:
        return result.Failure(tuple(found_problems))
    return result.Success(declarations.Declarations(head.version, groups, callers, targets))


def next_head(head: Head, digests: tuple[str, ...], operation_id: str, fingerprint: str) -> Head:
    """Returns the head of the next version, including the operation that produced it."""
    version = head.version + 1
    operation = Operation(operation_id, version, fingerprint)
    previous_operations = head.operations[-(MAX_OPERATIONS - 1) :]
    return Head(version, digests, (*previous_operations, operation))
