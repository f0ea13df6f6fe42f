"""Settings of processes, from environment variables and command-line flags.

Each field of a settings class is the one definition of a setting: its name, type, range, unit,
default and help text. The environment variable is the upper-case name after PREFIX, the flag is the
name with hyphens. A flag takes precedence over the variable. Secrets have no flag, since command
lines are visible to every user of a machine.
"""

import collections.abc
import dataclasses
import ipaddress
import os
import re
import typing
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import msgspec
from returns import result

PREFIX = "BILBERRYSTACK_"

# Shorter keys can be guessed from one token by trying all of them.
MIN_SECRET_LENGTH = 16

_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"


class Secret:
    """A text that is never shown; `reveal` returns it."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Returns the text itself."""
        return self._text

    def __repr__(self) -> str:
        return "Secret(****)"

    def __str__(self) -> str:
        return "****"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and other._text == self._text

    def __hash__(self) -> int:
        return hash(self._text)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port.

    Attributes:
      host: An IP number.
      port: From 0 to 65535; 0 lets the system choose a listener's port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses "127.0.0.1:7400" or "[::1]:7400". Raises ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError("must be an IP number and a port, as 127.0.0.1:7400")
    if int(port) > 65535:
        raise ValueError("the port must be from 0 to 65535")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return Address(host, int(port))


def _meta(description: str, unit: str = "", **rules: Any) -> msgspec.Meta:
    return msgspec.Meta(description=description, extra={"unit": unit}, **rules)


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one proxy instance."""

    instance_id: Annotated[
        str, _meta("Name of this instance, unique among all instances.", pattern=_NAME)
    ]
    failure_domain: Annotated[
        str, _meta("Failure domain that this instance runs in.", pattern=_NAME)
    ]
    advertised_host: Annotated[
        str, _meta("IP number under which other instances and callers reach this instance.")
    ]
    store_url: Annotated[
        str, _meta("Base URL of the platform's object API.", pattern=r"^https?://[^\s@]+$")
    ]
    callers_listen: Annotated[Address, _meta("Address on which callers are accepted.")] = Address(
        "0.0.0.0", 7400
    )
    peers_listen: Annotated[Address, _meta("Address on which other instances are accepted.")] = (
        Address("0.0.0.0", 7401)
    )
    operators_listen: Annotated[Address, _meta("Address on which operators are accepted.")] = (
        Address("0.0.0.0", 7402)
    )
    metrics_listen: Annotated[Address, _meta("Address on which metrics are served over HTTP.")] = (
        Address("0.0.0.0", 7403)
    )
    token_key: Annotated[Secret, _meta("Key that signs and verifies session tokens.")]
    token_key_previous: Annotated[
        Secret | None, _meta("Former key, still accepted for verification during a rotation.")
    ] = None
    peer_secret: Annotated[Secret, _meta("Secret that instances prove to each other.")]
    operator_secret: Annotated[Secret, _meta("Secret that operators prove to an instance.")]
    tls_certificate: Annotated[
        str | None, _meta("PEM file with the certificate of all listeners; absent for plain TCP.")
    ] = None
    tls_key: Annotated[str | None, _meta("PEM file with the certificate's private key.")] = None
    tls_ca: Annotated[
        str | None, _meta("PEM file with the authorities that other instances are verified with.")
    ] = None
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"], _meta("Lowest level that is logged.")
    ] = "info"
    log_format: Annotated[Literal["text", "json"], _meta("Format of log lines.")] = "text"
    shutdown_grace_s: Annotated[
        float,
        _meta(
            "Time for in-flight requests and transactions at a graceful stop.", "s", ge=0, le=600
        ),
    ] = 30.0
    max_frame_bytes: Annotated[
        int,
        _meta("Longest frame accepted on any connection.", "bytes", ge=65_536, le=67_108_864),
    ] = 4_194_304


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the operators' commands."""

    operator_address: Annotated[
        Address, _meta("Operators' address of any instance, for the operators' commands.")
    ] = Address("127.0.0.1", 7402)
    operator_secret: Annotated[Secret, _meta("Secret that operators prove to an instance.")]
    operator_name: Annotated[
        str, _meta("Name that the instance logs with an operator's changes.", pattern=_NAME)
    ] = "operator"
    operator_ca: Annotated[
        str | None,
        _meta("PEM file with the authorities of the instance's certificate; absent for plain TCP."),
    ] = None
    timeout_s: Annotated[
        float, _meta("Time that an operators' command waits for an answer.", "s", gt=0, le=600)
    ] = 10.0


AnySettings = TypeVar("AnySettings", Settings, ClientSettings)
_CLASSES: tuple[type[msgspec.Struct], ...] = (Settings, ClientSettings)


@dataclasses.dataclass(frozen=True, slots=True)
class Definition:
    """A setting as flags, help and the reference page show it.

    Attributes:
      name: The field's name.
      kind: The type in words.
      unit: The unit, empty for none.
      rule: The range or pattern in words, empty for none.
      default: The default as text; None if the setting is required.
      help: One sentence.
      secret: Whether the value is never shown.
    """

    name: str
    kind: str
    unit: str
    rule: str
    default: str | None
    help: str
    secret: bool

    @property
    def variable(self) -> str:
        """The environment variable."""
        return PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """The flag, empty for a secret."""
        return "" if self.secret else "--" + self.name.replace("_", "-")


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A setting that is missing, malformed, out of range or unknown.

    Attributes:
      name: The environment variable.
      rule: What is wrong, without the value of a secret.
    """

    name: str
    rule: str

    def __str__(self) -> str:
        return f"{self.name}: {self.rule}"


def definitions(settings_class: type[msgspec.Struct]) -> tuple[Definition, ...]:
    """Returns the definitions of all settings of a class in their order."""
    hints = typing.get_type_hints(settings_class, include_extras=True)
    return tuple(
        _definition(field, hints[field.name]) for field in msgspec.structs.fields(settings_class)
    )


def load(
    settings_class: type[AnySettings],
    environment: collections.abc.Mapping[str, str] | None = None,
    flags: collections.abc.Mapping[str, str] | None = None,
) -> result.Result[AnySettings, tuple[Problem, ...]]:
    """Reads and checks all settings of a process.

    Args:
      settings_class: Which settings.
      environment: The environment variables; None for those of the process.
      flags: Values of flags by setting name.
    Returns:
      The settings, or every problem.
    """
    environment = os.environ if environment is None else environment
    flags = flags or {}
    problems = _unknown_variables(environment)
    hints = typing.get_type_hints(settings_class, include_extras=True)
    values: dict[str, Any] = {}
    for definition in definitions(settings_class):
        text = flags.get(definition.name, environment.get(definition.variable))
        if text is None:
            if definition.default is None:
                problems.append(Problem(definition.variable, "is required"))
            continue
        try:
            values[definition.name] = _convert(text, hints[definition.name])
        except (msgspec.ValidationError, ValueError) as error:
            problems.append(Problem(definition.variable, _explain(definition, text, error)))
    problems += _cross_checks(values)
    if problems:
        return result.Failure(tuple(problems))
    return result.Success(settings_class(**values))


def reference() -> str:
    """Returns the reference page of all settings in Markdown."""
    lines = [
        "# Settings",
        "",
        "Generated from `bilberrystack/settings.py` by `bilberrystack docs settings`; do not edit.",
        "",
        "A flag takes precedence over the environment variable. Secrets have no flag. All problems",
        f"are reported at once at start, and an unknown variable that begins with `{PREFIX}` is an",
        "error.",
    ]
    titles = ("Instance (`bilberrystack run`)", "Operators' commands")
    for title, settings_class in zip(titles, _CLASSES, strict=True):
        lines += ["", f"## {title}", "", *_table(definitions(settings_class))]
    return "\n".join(lines) + "\n"


def _table(rows: collections.abc.Iterable[Definition]) -> list[str]:
    lines = ["| variable | flag | type | default | meaning |", "|---|---|---|---|---|"]
    for row in rows:
        flag = f"`{row.flag}`" if row.flag else "none"
        kind = ", ".join(part for part in (row.kind, row.unit, row.rule) if part)
        default = "required" if row.default is None else row.default or "none"
        lines.append(f"| `{row.variable}` | {flag} | {kind} | {default} | {row.help} |")
    return lines


def _definition(field: msgspec.structs.FieldInfo, hint: Any) -> Definition:
    kind, meta = typing.get_args(hint)[:2]
    secret = Secret in (kind, *typing.get_args(kind))
    default = None
    if not field.required:
        default = "" if field.default is None else f"{field.default}"
    return Definition(
        field.name,
        _kind(kind),
        (meta.extra or {}).get("unit", ""),
        _rule(meta),
        default,
        meta.description or "",
        secret,
    )


def _kind(kind: Any) -> str:
    if typing.get_origin(kind) is Literal:
        return "one of " + ", ".join(typing.get_args(kind))
    kinds = [one for one in typing.get_args(kind) if one is not type(None)] or [kind]
    words = {str: "text", int: "integer", float: "number", Address: "address", Secret: "secret"}
    return words[kinds[0]]


def _rule(meta: msgspec.Meta) -> str:
    if meta.ge is not None or meta.gt is not None:
        lower = meta.ge if meta.ge is not None else f"over {meta.gt}"
        return f"{lower} to {meta.le}"
    return ""


def _unknown_variables(environment: collections.abc.Mapping[str, str]) -> list[Problem]:
    known = {one.variable for each in _CLASSES for one in definitions(each)}
    return [
        Problem(name, "is not a known setting")
        for name in sorted(environment)
        if name.startswith(PREFIX) and name not in known
    ]


def _convert(text: str, hint: Any) -> Any:
    if typing.get_args(hint)[0] is Address:
        return parse_address(text)
    return msgspec.convert(text, hint, strict=False, dec_hook=_decode)


def _decode(kind: type, value: Any) -> Any:
    if kind is Secret:
        if len(value) < MIN_SECRET_LENGTH:
            raise ValueError(f"must have at least {MIN_SECRET_LENGTH} characters")
        return Secret(value)
    raise NotImplementedError


def _explain(definition: Definition, text: str, error: Exception) -> str:
    if definition.secret:
        return f"must have at least {MIN_SECRET_LENGTH} characters"
    # A URL may carry a password although the rule refuses it.
    shown = re.sub(r"//[^/]*@", "//****@", text)
    return f"{shown!r} is not valid: {error}"


def _cross_checks(values: collections.abc.Mapping[str, Any]) -> list[Problem]:
    problems = []
    if ("tls_certificate" in values) != ("tls_key" in values):
        rule = "is required when the other of certificate and key is set"
        missing = "tls_key" if "tls_certificate" in values else "tls_certificate"
        problems.append(Problem(PREFIX + missing.upper(), rule))
    host = values.get("advertised_host")
    if host is not None:
        try:
            ipaddress.ip_address(host)
        except ValueError:
            rule = f"{host!r} is not an IP number"
            problems.append(Problem(PREFIX + "ADVERTISED_HOST", rule))
    return problems
