"""Flags of commands that come from the definitions of settings."""

import collections.abc
import inspect
import sys
from typing import Annotated
from typing import Any

import cyclopts
from returns import result

from bilberrystack import settings
from bilberrystack.cli import exits

Command = collections.abc.Callable[..., int]


def with_settings(
    settings_class: type[Any],
) -> collections.abc.Callable[[Command], Command]:
    """Gives a command the flags of a settings class.

    The command's first parameter gets the checked settings and is not a flag of its own. If
    settings are missing or wrong, all problems are printed and the command does not run.
    """
    defined = [one for one in settings.definitions(settings_class) if not one.secret]
    group = cyclopts.Group("Settings", sort_key=10)
    flags = [_parameter(one, group) for one in defined]

    def decorate(command: Command) -> Command:
        own = list(inspect.signature(command).parameters.values())[1:]

        def run(*arguments: Any, **options: Any) -> int:
            given = {one.name: options.pop(one.name, None) for one in defined}
            flag_values = {name: text for name, text in given.items() if text is not None}
            loaded = settings.load(settings_class, flags=flag_values)
            if isinstance(loaded, result.Failure):
                for problem in loaded.failure():
                    print(problem, file=sys.stderr)
                return exits.USAGE
            return command(loaded.unwrap(), *arguments, **options)

        run.__name__ = command.__name__
        run.__doc__ = command.__doc__
        signature = inspect.Signature([*own, *flags], return_annotation=int)
        run.__signature__ = signature  # type: ignore[attr-defined]
        run.__annotations__ = {one.name: one.annotation for one in (*own, *flags)}
        return run

    return decorate


def _parameter(definition: settings.Definition, group: cyclopts.Group) -> inspect.Parameter:
    default = "required" if definition.default is None else definition.default or "none"
    extent = ", ".join(part for part in (definition.kind, definition.unit, definition.rule) if part)
    text = f"{definition.help} ({extent}; variable {definition.variable}; default {default})"
    return inspect.Parameter(
        definition.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[
            str | None, cyclopts.Parameter(help=text, group=group, show_default=False)
        ],
    )
