"""Settings of processes, from environment variables and command-line flags.

The fields of the settings classes are the only definitions of the settings: name, type, range,
unit, default and help text. The environment variable is PREFIX with the upper-case name, the flag
is the name with hyphens. A flag takes precedence over the variable. Secrets have no flag, because
command lines are visible to all users of a machine.
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

# Minimum number of characters of a secret. Shorter token keys could be found from a single token by
# a brute-force search.
MIN_SECRET_LENGTH = 16

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"


class Secret:
    """Secret text that is masked in output; `reveal` returns the text."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Return the text."""
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
    """IP address and port.

    Attributes:
      host: IP address.
      port: Port from 0 to 65535; 0 selects a free port for a listener.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an IP address and a port.

    Args:
      text: An address such as "127.0.0.1:7400" or "[::1]:7400".
    Returns:
      The address.
    Raises:
      ValueError: The text is no address of this form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError("must be an IP address and a port, for example 127.0.0.1:7400")
    if int(port) > 65535:
        raise ValueError("the port must be from 0 to 65535")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return Address(host, int(port))


def _describe(description: str, unit: str = "", **rules: Any) -> msgspec.Meta:
    return msgspec.Meta(description=description, extra={"unit": unit}, **rules)


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a proxy instance."""

    instance_id: Annotated[
        str, _describe("Name of this instance, unique among all instances.", pattern=_NAME_PATTERN)
    ]
    failure_domain: Annotated[
        str, _describe("Failure domain that this instance runs in.", pattern=_NAME_PATTERN)
    ]
    advertised_host: Annotated[
        str, _describe("IP address at which other instances and callers reach this instance.")
    ]
    store_url: Annotated[
        str, _describe("Base URL of the platform's object API.", pattern=r"^https?://[^\s@]+$")
    ]
    callers_listen: Annotated[Address, _describe("Listen address for callers.")] = Address(
        "0.0.0.0", 7400
    )
    peers_listen: Annotated[Address, _describe("Listen address for other instances.")] = Address(
        "0.0.0.0", 7401
    )
    operators_listen: Annotated[Address, _describe("Listen address for operators.")] = Address(
        "0.0.0.0", 7402
    )
    metrics_listen: Annotated[Address, _describe("Listen address for metrics over HTTP.")] = (
        Address("0.0.0.0", 7403)
    )
    token_key: Annotated[Secret, _describe("Key that signs and verifies session tokens.")]
    token_key_previous: Annotated[
        Secret | None,
        _describe("Previous token key, accepted for verification during a key rotation."),
    ] = None
    peer_secret: Annotated[
        Secret, _describe("Shared secret for the authentication between instances.")
    ]
    operator_secret: Annotated[
        Secret, _describe("Shared secret for the authentication of operators.")
    ]
    tls_certificate: Annotated[
        str | None,
        _describe("PEM file with the TLS certificate of all listeners; unset for plain TCP."),
    ] = None
    tls_key: Annotated[
        str | None, _describe("PEM file with the private key of the TLS certificate.")
    ] = None
    tls_ca: Annotated[
        str | None,
        _describe("PEM file with the CA certificates that verify other instances."),
    ] = None
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"], _describe("Minimum level of logged messages.")
    ] = "info"
    log_format: Annotated[Literal["text", "json"], _describe("Format of log lines.")] = "text"
    shutdown_grace_s: Annotated[
        float,
        _describe(
            "Maximum time that a graceful shutdown waits for requests and transactions.",
            "s",
            ge=0,
            le=600,
        ),
    ] = 30.0
    max_frame_bytes: Annotated[
        int,
        _describe(
            "Maximum size of a frame that callers and other instances may send.",
            "bytes",
            ge=65_536,
            le=67_108_864,
        ),
    ] = 4_194_304


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the operators' commands, which are clients of an instance."""

    operator_address: Annotated[
        Address, _describe("Address of the operators' listener of any instance.")
    ] = Address("127.0.0.1", 7402)
    operator_secret: Annotated[
        Secret, _describe("Shared secret for the authentication of operators.")
    ]
    operator_name: Annotated[
        str,
        _describe(
            "Name of the operator, which the instance logs with each change.", pattern=_NAME_PATTERN
        ),
    ] = "operator"
    operator_ca: Annotated[
        str | None,
        _describe(
            "PEM file with the CA certificates that verify the instance; unset for plain TCP."
        ),
    ] = None
    timeout_s: Annotated[
        float, _describe("Maximum time that a command waits for an answer.", "s", gt=0, le=600)
    ] = 10.0


AnySettings = TypeVar("AnySettings", Settings, ClientSettings)
_SETTINGS_CLASSES: tuple[type[msgspec.Struct], ...] = (Settings, ClientSettings)


@dataclasses.dataclass(frozen=True, slots=True)
class Definition:
    """Description of a setting for flags, help texts and the reference page.

    Attributes:
      name: Name of the field.
      kind: Type in words.
      unit: Unit; empty for none.
      rule: Range in words; empty for none.
      default: Default value as text; None if the setting is required.
      help: Help text, one sentence.
      secret: Whether the value is a secret.
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
        """Name of the environment variable."""
        return PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """Command-line flag; empty for a secret."""
        return "" if self.secret else "--" + self.name.replace("_", "-")


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Missing, malformed, out-of-range or unknown setting.

    Attributes:
      name: Name of the environment variable.
      rule: Violated rule; never contains the value of a secret.
    """

    name: str
    rule: str

    def __str__(self) -> str:
        return f"{self.name}: {self.rule}"


def definitions(settings_class: type[msgspec.Struct]) -> tuple[Definition, ...]:
    """Return the definitions of all settings of a class, in order."""
    hints = typing.get_type_hints(settings_class, include_extras=True)
    return tuple(
        _define(field, hints[field.name]) for field in msgspec.structs.fields(settings_class)
    )


def load(
    settings_class: type[AnySettings],
    environment: collections.abc.Mapping[str, str] | None = None,
    flags: collections.abc.Mapping[str, str] | None = None,
) -> result.Result[AnySettings, tuple[Problem, ...]]:
    """Load and validate all settings of a process.

    Args:
      settings_class: Class of the settings.
      environment: Environment variables; None for those of the process.
      flags: Values of command-line flags by setting name.
    Returns:
      The settings, or all problems.
    """
    environment = os.environ if environment is None else environment
    flags = flags or {}
    problems = _find_unknown_variables(environment)
    hints = typing.get_type_hints(settings_class, include_extras=True)
    values: dict[str, Any] = {}
    for definition in definitions(settings_class):
        text = flags.get(definition.name, environment.get(definition.variable))
        if text is None:
            if definition.default is None:
                problems.append(Problem(definition.variable, "is required"))
            continue
        try:
            values[definition.name] = _parse_value(text, hints[definition.name])
        except (msgspec.ValidationError, ValueError) as error:
            problems.append(Problem(definition.variable, _problem_text(definition, text, error)))
    problems += _check_combinations(values)
    if problems:
        return result.Failure(tuple(problems))
    return result.Success(settings_class(**values))


def render_reference() -> str:
    """Render the reference page of all settings in Markdown."""
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
    for title, settings_class in zip(titles, _SETTINGS_CLASSES, strict=True):
        lines += ["", f"## {title}", "", *_render_table(definitions(settings_class))]
    return "\n".join(lines) + "\n"


def _render_table(rows: collections.abc.Iterable[Definition]) -> list[str]:
    lines = ["| variable | flag | type | default | meaning |", "|---|---|---|---|---|"]
    for row in rows:
        flag = f"`{row.flag}`" if row.flag else "none"
        kind = ", ".join(part for part in (row.kind, row.unit, row.rule) if part)
        default = "required" if row.default is None else row.default or "none"
        lines.append(f"| `{row.variable}` | {flag} | {kind} | {default} | {row.help} |")
    return lines


def _define(field: msgspec.structs.FieldInfo, hint: Any) -> Definition:
    kind, meta = typing.get_args(hint)[:2]
    secret = Secret in (kind, *typing.get_args(kind))
    default = None
    if not field.required:
        default = "" if field.default is None else f"{field.default}"
    return Definition(
        field.name,
        _type_text(kind),
        (meta.extra or {}).get("unit", ""),
        _range_text(meta),
        default,
        meta.description or "",
        secret,
    )


def _type_text(kind: Any) -> str:
    if typing.get_origin(kind) is Literal:
        return "one of " + ", ".join(typing.get_args(kind))
    kinds = [member for member in typing.get_args(kind) if member is not type(None)] or [kind]
    words = {str: "text", int: "integer", float: "number", Address: "address", Secret: "secret"}
    return words[kinds[0]]


def _range_text(meta: msgspec.Meta) -> str:
    if meta.ge is not None or meta.gt is not None:
        lower = meta.ge if meta.ge is not None else f"over {meta.gt}"
        return f"{lower} to {meta.le}"
    return ""


def _find_unknown_variables(environment: collections.abc.Mapping[str, str]) -> list[Problem]:
    known = {
        definition.variable
        for settings_class in _SETTINGS_CLASSES
        for definition in definitions(settings_class)
    }
    return [
        Problem(name, "is not a known setting")
        for name in sorted(environment)
        if name.startswith(PREFIX) and name not in known
    ]


def _parse_value(text: str, hint: Any) -> Any:
    if typing.get_args(hint)[0] is Address:
        return parse_address(text)
    return msgspec.convert(text, hint, strict=False, dec_hook=_decode_secret)


def _decode_secret(kind: type, value: Any) -> Any:
    if kind is Secret:
        if len(value) < MIN_SECRET_LENGTH:
            raise ValueError(f"must have at least {MIN_SECRET_LENGTH} characters")
        return Secret(value)
    raise NotImplementedError


def _problem_text(definition: Definition, text: str, error: Exception) -> str:
    if definition.secret:
        return f"must have at least {MIN_SECRET_LENGTH} characters"
    # Mask the password of a URL that the pattern has rejected because of it.
    masked_text = re.sub(r"//[^/]*@", "//****@", text)
    return f"{masked_text!r} is not valid: {error}"


def _check_combinations(values: collections.abc.Mapping[str, Any]) -> list[Problem]:
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
            rule = f"{host!r} is not an IP address"
            problems.append(Problem(PREFIX + "ADVERTISED_HOST", rule))
    return problems
