"""Tests of validation, documents, parts, differences and changes of declarations."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies

from bilberrystack.core import changes
from bilberrystack.core import declarations
from bilberrystack.core import differences
from bilberrystack.core import documents
from bilberrystack.core import parts
from bilberrystack.core import validation


def member(name, port=7001, **fields):
    defaults = {"failure_domain": "addis-bole", "connections": 16, "slots": 2}
    return declarations.MemberDeclaration(name, f"127.0.0.1:{port}", **{**defaults, **fields})


def group(name, first_port, names="abc"):
    members = tuple(member(letter, first_port + offset) for offset, letter in enumerate(names))
    return declarations.GroupDeclaration(name, members)


def caller(name, *groups):
    return declarations.CallerDeclaration(name, ("0" * 64,), groups)


def document(group_count=2, version=1):
    groups = {
        f"g{number}": group(f"g{number}", 7000 + 10 * number) for number in range(group_count)
    }
    return declarations.Declarations(version, groups, {"app": caller("app", *groups)})


def with_group(base, added):
    return dataclasses.replace(base, groups={**base.groups, added.name: added})


def problems(new, current=declarations.EMPTY):
    return {problem.field: problem.rule for problem in validation.validate(new, current).failure()}


def test_every_problem_is_reported():
    """Guards against a report of only the first problem, and against accepting an invalid set."""
    bad = declarations.GroupDeclaration(
        "G!",
        (
            member("a", 7000, connections=6, slots=2),
            member("a", 99999, slots=0),
            member("c", 7001, failure_domain="", connections=16, slots=9),
        ),
        default_max_age_ms=-1,
    )
    new = dataclasses.replace(
        with_group(document(), bad),
        callers={"app": declarations.CallerDeclaration("app", ("secret",), ("none", "g1", "g1"))},
        targets=declarations.Targets(1.5, 0, -1),
    )
    assert sorted(problems(new)) == [
        "callers.app.groups",
        "callers.app.secret_sha256",
        "groups.G!.default_max_age_ms",
        "groups.G!.members.a.address",
        "groups.G!.members.a.connections",
        "groups.G!.members.a.name",
        "groups.G!.members.a.slots",
        "groups.G!.members.c.address",
        "groups.G!.members.c.connections",
        "groups.G!.members.c.failure_domain",
        "groups.G!.name",
        "targets.failover_gap_ms",
        "targets.replica_read_share",
        "targets.unknown_outcome_share",
    ]


def test_problem_does_not_show_an_unhashed_secret():
    """Guards against an error message that contains a secret declared in place of its digest."""
    new = dataclasses.replace(
        document(), callers={"app": declarations.CallerDeclaration("app", ("my-secret",), ())}
    )
    assert "my-secret" not in str(validation.validate(new, declarations.EMPTY).failure())


@pytest.mark.parametrize(
    ("names", "allowed"),
    [("abc", True), ("abcd", True), ("ab", True), ("abd", False), ("abcde", False), ("a", False)],
)
def test_one_member_changes_at_a_time(names, allowed):
    """Guards against a change between member sets whose majorities do not intersect."""
    current = document(1)
    new = with_group(current, group("g0", 7000, names))
    result = validation.validate(new, current)
    assert (result.value_or(None) is not None) == allowed


def test_member_keeps_its_address():
    """Guards against an empty member that takes over the name of an existing member."""
    current = document(1)
    moved = (member("a", 7999), *current.groups["g0"].members[1:])
    new = with_group(current, declarations.GroupDeclaration("g0", moved))
    assert list(problems(new, current)) == ["groups.g0.members.a.address"]


@given(strategies.sets(strategies.from_regex(r"[a-z0-9][a-z0-9.-]{0,8}", fullmatch=True)))
def test_parts_and_head_restore_the_declarations(names):
    """Guards against declarations that are lost by the encoding as parts."""
    groups = {name: group(name, 7000) for name in names}
    targets = declarations.Targets(replica_read_share=0.8)
    original = declarations.Declarations(1, groups, {"app": caller("app")}, targets)
    digests, contents = parts.encode_parts(original)
    head = parts.next_head(parts.EMPTY_HEAD, digests, "op", "f")
    read = parts.decode_head(parts.encode_head(head)).unwrap()
    assert parts.assemble(read, contents).unwrap() == original


def test_one_changed_declaration_changes_one_part():
    """Guards against a change that makes every instance fetch all parts."""
    before, _ = parts.encode_parts(document(200))
    changed = with_group(document(200), declarations.GroupDeclaration("g7", (member("a", 7070),)))
    after, _ = parts.encode_parts(changed)
    assert sum(old != new for old, new in zip(before, after, strict=True)) == 1


def test_altered_or_absent_part_is_refused():
    """Guards against applying a configuration with a truncated or missing part."""
    digests, contents = parts.encode_parts(document())
    head = parts.next_head(parts.EMPTY_HEAD, digests, "op", "f")
    key = next(iter(contents))
    assert parts.assemble(head, {**contents, key: contents[key][:-1]}).failure()
    del contents[key]
    assert [problem.value for problem in parts.assemble(head, contents).failure()] == [key]


def test_head_discards_the_oldest_operation():
    """Guards against a head that grows with every change."""
    head = parts.EMPTY_HEAD
    for number in range(100):
        head = parts.next_head(head, head.digests, str(number), "f")
    assert len(head.operations) == parts.MAX_OPERATIONS
    assert head.find_operation("99").version == 100
    assert head.find_operation("35") is None


def test_document_text_restores_the_declarations():
    """Guards against a displayed document that can't be applied again."""
    original = document(version=0)
    assert documents.parse(documents.to_json(original)).unwrap() == original


def test_toml_document_with_defaults():
    """Guards against documents that have to specify every default value."""
    text = """
    [[groups]]
    name = "g0"
    [[groups.members]]
    name = "a"
    address = "127.0.0.1:7001"
    failure_domain = "z"
    connections = 16
    slots = 2
    """
    read = documents.parse(text, toml=True).unwrap()
    assert read.groups["g0"].default_max_age_ms == 0


def test_every_malformed_value_is_reported():
    """Guards against a report of only the first malformed value."""
    text = """{"groups": [{"name": "g", "members": [{"name": "a", "slots": "2", "size": 1}]},
        {"name": "h", "members": []}, {"name": "h", "members": []}], "limits": 1}"""
    fields = [problem.field for problem in documents.parse(text).failure()]
    assert sorted(fields) == [
        "groups.g.members.a.address",
        "groups.g.members.a.connections",
        "groups.g.members.a.failure_domain",
        "groups.g.members.a.size",
        "groups.g.members.a.slots",
        "groups.h",
        "limits",
    ]


def test_difference_names_the_field_of_the_member():
    """Guards against a diff that does not show which field of a member changed."""
    before = document()
    members = (member("a", 7000, connections=32), *before.groups["g0"].members[1:])
    after = with_group(before, declarations.GroupDeclaration("g0", members))
    after = dataclasses.replace(after, callers={})
    found_differences = differences.between(before, after)
    assert [(difference.field, difference.after) for difference in found_differences] == [
        ("callers.app", None),
        ("groups.g0.members.a.connections", "32"),
    ]


def test_edits_that_do_not_fit_are_refused():
    """Guards against additions that replace declarations and removals of undeclared names."""
    edits = (
        changes.Edit(changes.EditKind.ADD_GROUP, "g0", group("g0", 1)),
        changes.Edit(changes.EditKind.REMOVE_CALLER, "none"),
        changes.Edit(changes.EditKind.GRANT, "none", groups=("g0",)),
        changes.Edit(changes.EditKind.ADD_CALLER, "x", group("g0", 1)),
    )
    found_problems = changes.apply(changes.Change("op", edits=edits), document()).failure()
    assert [problem.field for problem in found_problems] == [
        "groups.g0",
        "callers.none",
        "callers.none",
        "edit",
    ]


def test_edits_do_not_modify_the_current_set():
    """Guards against a change that modifies the current set before it is accepted."""
    current = document()
    edits = (
        changes.Edit(changes.EditKind.REVOKE, "app", groups=("g0",)),
        changes.Edit(changes.EditKind.REMOVE_GROUP, "g0"),
    )
    new = changes.apply(changes.Change("op", edits=edits), current).unwrap()
    assert (list(new.groups), new.callers["app"].groups, new.version) == (["g1"], ("g1",), 2)
    assert current == document()


def test_fingerprint_ignores_the_base_version_and_distinguishes_changes():
    """Guards against a repeated change that counts as a different one, and the reverse."""
    first = changes.Change("op", replacement=document(), expected_version=3)
    repeated = changes.Change("op", replacement=document(version=9), expected_version=4)
    assert first.fingerprint == repeated.fingerprint
    assert first.fingerprint != changes.Change("op", replacement=document(3)).fingerprint
