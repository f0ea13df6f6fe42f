"""Commands for the declarations of database groups and callers."""

import hashlib
import secrets
from typing import Annotated
from typing import Any

import cyclopts
import msgspec
from returns import result

from bilberrystack import settings
from bilberrystack.cli import changing
from bilberrystack.cli import exits
from bilberrystack.cli import flags
from bilberrystack.cli import link
from bilberrystack.cli import output
from bilberrystack.core import declarations
from bilberrystack.core import documents
from bilberrystack.gen.operators import ttypes

Options = changing.ChangeOptions

group_app = cyclopts.App(name="group", help="Declare database groups.")
caller_app = cyclopts.App(name="caller", help="Declare callers and the groups they may reach.")

client_flags = flags.with_settings(settings.ClientSettings)


@group_app.command(name="add")
@client_flags
def group_add(
    loaded: settings.ClientSettings,
    name: str,
    *,
    member: Annotated[list[str], cyclopts.Parameter(negative="")],
    default_max_age_ms: int = 0,
    replace: Annotated[bool, cyclopts.Parameter(negative="")] = False,
    options: Options | None = None,
) -> int:
    """Declare a database group.

    Parameters
    ----------
    name
        The group's name.
    member
        A member as NAME,ADDRESS,FAILURE_DOMAIN,CONNECTIONS,SLOTS; repeat it for each member.
    default_max_age_ms
        The maximum age of data, in milliseconds, for reads without a maximum age of their own.
    replace
        Replace the declared group; only one member may be added or removed at a time.
    """
    members = []
    for text in member:
        parts = text.split(",")
        if len(parts) != 5 or not (parts[3].isdecimal() and parts[4].isdecimal()):
            member_format = "NAME,ADDRESS,FAILURE_DOMAIN,CONNECTIONS,SLOTS"
            output.print_note(f"--member {text!r} does not have the form {member_format}")
            return exits.USAGE
        member_name, address, failure_domain, connections, slots = parts
        members.append(
            declarations.MemberDeclaration(
                member_name, address, failure_domain, int(connections), int(slots)
            )
        )
    group = declarations.GroupDeclaration(name, tuple(members), default_max_age_ms)
    kind = ttypes.EditKind.REPLACE_GROUP if replace else ttypes.EditKind.ADD_GROUP
    return _send_edit(loaded, options, kind, name, group)


@group_app.command(name="remove")
@client_flags
def group_remove(
    loaded: settings.ClientSettings, name: str, *, options: Options | None = None
) -> int:
    """Remove a database group, which must not be granted to any caller.

    Parameters
    ----------
    name
        The group's name.
    """
    return _send_edit(loaded, options, ttypes.EditKind.REMOVE_GROUP, name)


@group_app.command(name="show")
@client_flags
def group_show(
    loaded: settings.ClientSettings,
    name: str,
    *,
    form: output.FormatOption = output.OutputFormat.TABLE,
) -> int:
    """Show a declared database group.

    Parameters
    ----------
    name
        The group's name.
    form
        The output format.
    """

    def show(document: declarations.Declarations) -> int:
        group = document.groups.get(name)
        if group is None:
            output.print_note(f"group {name} is not declared in version {document.version}")
            return exits.REFUSED
        if form is output.OutputFormat.JSON:
            output.print_json(group)
            return exits.OK
        rows = [
            (member.name, member.address, member.failure_domain, member.connections, member.slots)
            for member in group.members
        ]
        columns = ("member", "address", "failure domain", "connections", "slots")
        output.print_table(f"{name}, default age {group.default_max_age_ms} ms", columns, rows)
        return exits.OK

    return _show_declarations(loaded, show)


@group_app.command(name="list")
@client_flags
def group_list(
    loaded: settings.ClientSettings,
    *,
    form: output.FormatOption = output.OutputFormat.TABLE,
) -> int:
    """List the declared database groups.

    Parameters
    ----------
    form
        The output format.
    """

    def show(document: declarations.Declarations) -> int:
        groups = [group for _, group in sorted(document.groups.items())]
        if form is output.OutputFormat.JSON:
            output.print_json(groups)
            return exits.OK
        rows = [
            (group.name, [member.name for member in group.members], group.default_max_age_ms)
            for group in groups
        ]
        title = f"Groups of version {document.version}"
        output.print_table(title, ("group", "members", "default age ms"), rows)
        return exits.OK

    return _show_declarations(loaded, show)


@caller_app.command(name="add")
@client_flags
def caller_add(
    loaded: settings.ClientSettings,
    name: str,
    *,
    group: Annotated[list[str] | None, cyclopts.Parameter(negative="")] = None,
    secret_sha256: Annotated[list[str] | None, cyclopts.Parameter(negative="")] = None,
    replace: Annotated[bool, cyclopts.Parameter(negative="")] = False,
    options: Options | None = None,
) -> int:
    """Declare a caller.

    Without a digest, a secret is generated and printed; the system stores only its digest. To
    repeat such a command, pass the printed digest.

    Parameters
    ----------
    name
        The caller's name.
    group
        A group that the caller may access; repeat it for each group.
    secret_sha256
        The SHA-256 digest of an accepted secret; pass two digests during a change of secrets.
    replace
        Replace the declared caller.
    """
    options = options or Options()
    digests = secret_sha256
    if digests is None:
        secret = secrets.token_urlsafe(32)
        digests = [hashlib.sha256(secret.encode()).hexdigest()]
        if not options.dry_run:
            output.print_note(f"secret {secret}\nsecret-sha256 {digests[0]}")
    caller = declarations.CallerDeclaration(name, tuple(digests), tuple(group or ()))
    kind = ttypes.EditKind.REPLACE_CALLER if replace else ttypes.EditKind.ADD_CALLER
    return _send_edit(loaded, options, kind, name, caller)


@caller_app.command(name="remove")
@client_flags
def caller_remove(
    loaded: settings.ClientSettings, name: str, *, options: Options | None = None
) -> int:
    """Remove a caller.

    Parameters
    ----------
    name
        The caller's name.
    """
    return _send_edit(loaded, options, ttypes.EditKind.REMOVE_CALLER, name)


@caller_app.command(name="grant")
@client_flags
def caller_grant(
    loaded: settings.ClientSettings, name: str, *groups: str, options: Options | None = None
) -> int:
    """Grant a caller access to groups.

    Parameters
    ----------
    name
        The caller's name.
    groups
        The groups' names.
    """
    return _send_grants(loaded, options, ttypes.EditKind.GRANT, name, groups)


@caller_app.command(name="revoke")
@client_flags
def caller_revoke(
    loaded: settings.ClientSettings, name: str, *groups: str, options: Options | None = None
) -> int:
    """Revoke a caller's access to groups.

    Parameters
    ----------
    name
        The caller's name.
    groups
        The groups' names.
    """
    return _send_grants(loaded, options, ttypes.EditKind.REVOKE, name, groups)


@caller_app.command(name="list")
@client_flags
def caller_list(
    loaded: settings.ClientSettings,
    *,
    form: output.FormatOption = output.OutputFormat.TABLE,
) -> int:
    """List the declared callers.

    Parameters
    ----------
    form
        The output format.
    """

    def show(document: declarations.Declarations) -> int:
        callers = [caller for _, caller in sorted(document.callers.items())]
        if form is output.OutputFormat.JSON:
            output.print_json(callers)
            return exits.OK
        rows = [
            (caller.name, caller.groups, [digest[:8] for digest in caller.secret_sha256])
            for caller in callers
        ]
        title = f"Callers of version {document.version}"
        output.print_table(title, ("caller", "groups", "secrets (digest)"), rows)
        return exits.OK

    return _show_declarations(loaded, show)


def _send_grants(
    loaded: settings.ClientSettings,
    options: Options | None,
    kind: int,
    name: str,
    groups: tuple[str, ...],
) -> int:
    if not groups:
        output.print_note("name at least one group")
        return exits.USAGE
    edit = ttypes.Edit(kind, name, None, list(groups))
    return changing.send_change(loaded, options or Options(), edits=[edit])


def _send_edit(
    loaded: settings.ClientSettings,
    options: Options | None,
    kind: int,
    name: str,
    declaration: Any = None,
) -> int:
    text = None if declaration is None else msgspec.json.encode(declaration).decode()
    edit = ttypes.Edit(kind, name, text)
    return changing.send_change(loaded, options or Options(), edits=[edit])


def _show_declarations(loaded: settings.ClientSettings, show: Any) -> int:
    """Fetch the declarations in force and pass them to a function that returns the exit code."""

    async def command(connection: link.OperatorConnection) -> int:
        shown = await connection.call("show")
        parsed = documents.parse(shown.json)
        if isinstance(parsed, result.Failure):
            output.print_note("the instance returned declarations that this command can't parse")
            return exits.FAILED
        document = parsed.unwrap()
        code: int = show(
            declarations.Declarations(
                shown.version, document.groups, document.callers, document.targets
            )
        )
        return code

    return link.run(loaded, command)
