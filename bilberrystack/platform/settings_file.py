"""The platform's settings file, which is decoded into the settings of the session mode."""

import os
import typing

import msgspec
from returns import result

from bilberrystack.accounts import authorization
from bilberrystack.budget import limits
from bilberrystack.platform import objects
from bilberrystack.pooling import environment
from bilberrystack.pooling import settings
from bilberrystack.routing import model

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "BILBERRYSTACK_CONFIG"


class _Listen(msgspec.Struct):
    # Address for client sessions.
    front: str
    # Address for the platform's readiness probe.
    ready: str


class _Bounds(msgspec.Struct):
    # Time between the request to stop and the end of the process.
    grace_s: float = 6.0
    # Whether keys are refused while the configuration can't be verified.
    strict_revoke: bool = False
    # Time within which a revoked key is out of use.
    revoke_ms: float = 5_000
    # Operations by which an account may exceed its quota in a window.
    quota_slack: float = 0.0


class _Store(msgspec.Struct):
    address: str
    # How long the store keeps its history.
    history_s: float = 20.0


class _PlatformApi(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    # Share of one core that the process may use.
    cpu_share: float = 1.0
    # Speed of that core relative to a standard one, despite its name not a number of cores.
    cores: float = 1.0
    # Memory of the machine.
    memory_mb: float | None = None
    # Descriptors that the process may open, of which 200 are reserved for files.
    max_fds: int | None = None


class _SettingsFile(msgspec.Struct):
    # Name of the machine, which is also the name of the instance.
    node_name: str
    # IP address that the instance listens at for other instances and for metrics.
    ip: str
    # Failure domain.
    zone: str
    listen: _Listen
    # First and last port of the range that is reserved for the instances themselves.
    internal_ports: list[int]
    # The platform's store.
    platform: _Store
    # The platform's own API.
    cloud: _PlatformApi
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Region of the failure domain.
    region: str = ""
    # Region of each failure domain.
    zones: dict[str, str] = msgspec.field(default_factory=dict)
    # Whether the whole system starts for the first time.
    bootstrap: bool = False


# Offsets from the first internal port.
_PEERS_PORT_OFFSET = 0
_METRICS_PORT_OFFSET = 1

SettingsResult = result.Result[settings.Settings, settings.InvalidSettings]


def load() -> SettingsResult:
    """Read the settings file whose path is in the environment variable PATH_VARIABLE.

    Returns:
      The settings, or all problems that were found.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        return _failure(f"{PATH_VARIABLE} is not set")
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        return _failure(f"{path}: {error.strerror}")
    return parse(content)


def parse(content: bytes) -> SettingsResult:
    """Decode and validate the content of the settings file. Unknown fields are ignored.

    Args:
      content: Content of the file, as JSON.
    Returns:
      The settings, or all problems that were found.
    """
    try:
        values = msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return _failure(f"not valid JSON: {error}")
    if not isinstance(values, dict):
        return _failure("not a JSON object")
    problems = []
    for field in msgspec.structs.fields(_SettingsFile):
        if field.name not in values:
            if field.required:
                problems.append(f"{field.name}: missing")
            continue
        try:
            msgspec.convert(values[field.name], field.type)
        except msgspec.ValidationError as error:
            problems.append(f"{field.name}: {error}")
    if problems:
        return _failure(*problems)
    return _validate(msgspec.convert(values, _SettingsFile))


def _validate(file: _SettingsFile) -> SettingsResult:
    problems: list[str] = []
    sessions_endpoint = _parse_endpoint("listen.front", file.listen.front, problems)
    readiness_endpoint = _parse_endpoint("listen.ready", file.listen.ready, problems)
    store_endpoint = _parse_endpoint("platform.address", file.platform.address, problems)
    platform_endpoint = _parse_endpoint("cloud.address", file.cloud.address, problems)
    problems += _find_problems(file)
    memory_bytes = limits.default_memory_bytes()
    if file.limits.memory_mb is not None:
        memory_bytes = int(file.limits.memory_mb * environment.BYTES_PER_MB)
    variables, variable_problems = environment.load(memory_bytes)
    if problems or variable_problems:
        return _failure(*problems, *variable_problems)
    ports = file.internal_ports
    return result.Success(
        settings.Settings(
            name=file.node_name,
            first_start=file.bootstrap,
            crossing_price_s_per_mb=variables.crossing_price_s_per_mb,
            failure_domain=file.zone,
            sessions_endpoint=sessions_endpoint,
            readiness_endpoint=readiness_endpoint,
            peers_endpoint=model.Endpoint(file.ip, ports[0] + _PEERS_PORT_OFFSET),
            metrics_endpoint=model.Endpoint(file.ip, ports[0] + _METRICS_PORT_OFFSET),
            store_endpoint=store_endpoint,
            platform_endpoint=platform_endpoint,
            store_history_s=file.platform.history_s,
            grace_s=file.bounds.grace_s,
            cores=file.limits.cpu_share * file.limits.cores,
            quota_slack=file.bounds.quota_slack,
            region=file.region,
            regions=file.zones | ({file.zone: file.region} if file.region else {}),
            revocation=authorization.RevocationTerms(
                file.bounds.strict_revoke, file.bounds.revoke_ms / 1000
            ),
            memory_bytes=memory_bytes,
            budget_bytes=variables.budget_bytes,
            descriptors=file.limits.max_fds or limits.default_descriptors(),
        )
    )


def _find_problems(file: _SettingsFile) -> list[str]:
    """Return a line for each value out of its range; addresses are checked when they are parsed."""
    problems = []
    # Members and the platform receive the name as one field of a message.
    if not file.node_name or any(char == " " or not char.isprintable() for char in file.node_name):
        problems.append("node_name: must have neither blanks nor control characters")
    ports = file.internal_ports
    if len(ports) != 2 or ports[1] - ports[0] < _METRICS_PORT_OFFSET:
        problems.append(
            "internal_ports: must be the first and the last port of a range of at least two ports"
        )
    if not file.bounds.grace_s > 0:
        problems.append("bounds.grace_s: must be greater than 0")
    if not file.bounds.revoke_ms > 0:
        problems.append("bounds.revoke_ms: must be greater than 0")
    if not file.bounds.quota_slack >= 0:
        problems.append("bounds.quota_slack: must be at least 0")
    if file.limits.cpu_share <= 0 or file.limits.cores <= 0:
        problems.append("limits: cpu_share and cores must be greater than 0")
    if file.limits.memory_mb is not None and not file.limits.memory_mb > 0:
        problems.append("limits.memory_mb: must be greater than 0")
    if file.limits.max_fds is not None and file.limits.max_fds < limits.MIN_DESCRIPTORS:
        problems.append(f"limits.max_fds: must be at least {limits.MIN_DESCRIPTORS}")
    if file.platform.history_s <= 0:
        problems.append("platform.history_s: must be greater than 0")
    return problems


def _parse_endpoint(name: str, text: str, problems: list[str]) -> model.Endpoint:
    """Parse an address; if it is malformed, append a problem and return a placeholder."""
    try:
        return objects.parse_endpoint(text)
    except ValueError:
        problems.append(f"{name}: {text!r} is not an IP address and a port")
        return model.Endpoint("", 0)


def _failure(*problems: str) -> SettingsResult:
    return typing.cast(SettingsResult, result.Failure(settings.InvalidSettings(problems)))
