"""Commands that declare database groups and callers."""

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
        The age in milliseconds that a read accepts when it states none.
    replace
        Replace the declared group; members change one at a time.
    """
    members = []
    for text in member:
        parts = text.split(",")
        if len(parts) != 5 or not (parts[3].isdecimal() and parts[4].isdecimal()):
            form = "NAME,ADDRESS,FAILURE_DOMAIN,CONNECTIONS,SLOTS"
            output.note(f"--member {text!r} does not have the form {form}")
            return exits.USAGE
        named, address, domain, connections, slots = parts
        members.append(
            declarations.MemberDeclaration(named, address, domain, int(connections), int(slots))
        )
    group = declarations.GroupDeclaration(name, tuple(members), default_max_age_ms)
    kind = ttypes.EditKind.REPLACE_GROUP if replace else ttypes.EditKind.ADD_GROUP
    return _send_edit(loaded, options, kind, name, group)


@group_app.command(name="remove")
@client_flags
def group_remove(
    loaded: settings.ClientSettings, name: str, *, options: Options | None = None
) -> int:
    """Remove a database group; no caller may be granted it any more.

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
    form: output.Form = output.Output.TABLE,
) -> int:
    """Show a declared database group.

    Parameters
    ----------
    name
        The group's name.
    form
        The form of the output.
    """

    def show(document: declarations.Declarations) -> int:
        group = document.groups.get(name)
        if group is None:
            output.note(f"group {name} is not declared in version {document.version}")
            return exits.REFUSED
        if form is output.Output.JSON:
            output.print_json(group)
            return exits.OK
        rows = [
            (one.name, one.address, one.failure_domain, one.connections, one.slots)
            for one in group.members
        ]
        columns = ("member", "address", "failure domain", "connections", "slots")
        output.print_table(f"{name}, default age {group.default_max_age_ms} ms", columns, rows)
        return exits.OK

    return _with_document(loaded, show)


@group_app.command(name="list")
@client_flags
def group_list(
    loaded: settings.ClientSettings,
    *,
    form: output.Form = output.Output.TABLE,
) -> int:
    """List the declared database groups.

    Parameters
    ----------
    form
        The form of the output.
    """

    def show(document: declarations.Declarations) -> int:
        groups = [one for _, one in sorted(document.groups.items())]
        if form is output.Output.JSON:
            output.print_json(groups)
            return exits.OK
        rows = [
            (one.name, [member.name for member in one.members], one.default_max_age_ms)
            for one in groups
        ]
        title = f"Groups of version {document.version}"
        output.print_table(title, ("group", "members", "default age ms"), rows)
        return exits.OK

    return _with_document(loaded, show)


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

    Without a digest a secret is generated and printed once; the system keeps only its digest. To
    repeat such a command, pass the printed digest.

    Parameters
    ----------
    name
        The caller's name.
    group
        A group that the caller may reach; repeat it for each group.
    secret_sha256
        The SHA-256 digest of an accepted secret; two during a change of secrets.
    replace
        Replace the declared caller.
    """
    options = options or Options()
    digests = secret_sha256
    if digests is None:
        secret = secrets.token_urlsafe(32)
        digests = [hashlib.sha256(secret.encode()).hexdigest()]
        if not options.dry_run:
            output.note(f"secret {secret}\nsecret-sha256 {digests[0]}")
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
    """Let a caller reach groups.

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
    """Let a caller reach groups no longer.

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
    form: output.Form = output.Output.TABLE,
) -> int:
    """List the declared callers.

    Parameters
    ----------
    form
        The form of the output.
    """

    def show(document: declarations.Declarations) -> int:
        callers = [one for _, one in sorted(document.callers.items())]
        if form is output.Output.JSON:
            output.print_json(callers)
            return exits.OK
        rows = [
            (one.name, one.groups, [digest[:8] for digest in one.secret_sha256]) for one in callers
        ]
        title = f"Callers of version {document.version}"
        output.print_table(title, ("caller", "groups", "secrets (digest)"), rows)
        return exits.OK

    return _with_document(loaded, show)


def _send_grants(
    loaded: settings.ClientSettings,
    options: Options | None,
    kind: int,
    name: str,
    groups: tuple[str, ...],
) -> int:
    if not groups:
        output.note("name at least one group")
        return exits.USAGE
    edit = ttypes.Edit(kind, name, None, list(groups))
    return changing.send(loaded, options or Options(), edits=[edit])


def _send_edit(
    loaded: settings.ClientSettings,
    options: Options | None,
    kind: int,
    name: str,
    declaration: Any = None,
) -> int:
    text = None if declaration is None else msgspec.json.encode(declaration).decode()
    edit = ttypes.Edit(kind, name, text)
    return changing.send(loaded, options or Options(), edits=[edit])


def _with_document(loaded: settings.ClientSettings, show: Any) -> int:
    """Runs a function with the declarations in force; returns its exit code."""

    async def command(connected: link.Link) -> int:
        shown = await connected.call("show")
        parsed = documents.parse(shown.json)
        if isinstance(parsed, result.Failure):
            output.note("the instance shows declarations that this program does not know")
            return exits.FAILED
        document = parsed.unwrap()
        code: int = show(
            declarations.Declarations(
                shown.version, document.groups, document.callers, document.targets
            )
        )
        return code

    return link.run(loaded, command)
