"""Command-line flags generated from the definitions of settings."""

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
    """Create a decorator that adds the flags of a settings class to a command.

    The decorated command receives the loaded settings as its first argument, which is not a flag.
    If settings are missing or invalid, all problems are printed and the command does not run.

    Args:
      settings_class: Class of the settings; its secrets have no flags.
    Returns:
      The decorator.
    """
    flag_definitions = [
        definition for definition in settings.definitions(settings_class) if not definition.secret
    ]
    group = cyclopts.Group("Settings", sort_key=10)
    flag_parameters = [_flag_parameter(definition, group) for definition in flag_definitions]

    def decorate(command: Command) -> Command:
        own_parameters = list(inspect.signature(command).parameters.values())[1:]

        def wrapper(*arguments: Any, **options: Any) -> int:
            flag_texts = {
                definition.name: options.pop(definition.name, None)
                for definition in flag_definitions
            }
            flag_values = {name: text for name, text in flag_texts.items() if text is not None}
            loaded = settings.load(settings_class, flags=flag_values)
            if isinstance(loaded, result.Failure):
                for problem in loaded.failure():
                    print(problem, file=sys.stderr)
                return exits.USAGE
            return command(loaded.unwrap(), *arguments, **options)

        wrapper.__name__ = command.__name__
        wrapper.__doc__ = command.__doc__
        signature = inspect.Signature([*own_parameters, *flag_parameters], return_annotation=int)
        wrapper.__signature__ = signature  # type: ignore[attr-defined]
        wrapper.__annotations__ = {
            parameter.name: parameter.annotation
            for parameter in (*own_parameters, *flag_parameters)
        }
        return wrapper

    return decorate


def _flag_parameter(definition: settings.Definition, group: cyclopts.Group) -> inspect.Parameter:
    default = "required" if definition.default is None else definition.default or "none"
    constraints = ", ".join(
        part for part in (definition.kind, definition.unit, definition.rule) if part
    )
    help_text = (
        f"{definition.help} ({constraints}; variable {definition.variable}; default {default})"
    )
    return inspect.Parameter(
        definition.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[
            str | None, cyclopts.Parameter(help=help_text, group=group, show_default=False)
        ],
    )
