"""The platform's settings file, decoded once into the product's settings."""

import os
import typing

import msgspec
from returns import result

from bilberrystack.platform import objects
from bilberrystack.pooling import settings
from bilberrystack.routing import model

VARIABLE = "BILBERRYSTACK_CONFIG"


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0


class _Store(msgspec.Struct):
    address: str
    history_s: float = 20.0


class _Cloud(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    # Part of one core, and how many times as fast as a usual one that core is.
    cpu_share: float = 1.0
    cores: float = 1.0


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    # First and last port that the product's instances may use among themselves.
    internal_ports: list[int]
    platform: _Store
    cloud: _Cloud
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


# Ports of the instances among themselves, counted from the first internal one.
_PEERS_PORT = 0
_METRICS_PORT = 1

Loaded = result.Result[settings.Settings, settings.InvalidSettings]


def load() -> Loaded:
    """Reads the file that the environment names.

    Returns:
      The settings, or all problems that were found.
    """
    path = os.environ.get(VARIABLE, "")
    if not path:
        return _invalid(f"{VARIABLE} is not set")
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        return _invalid(f"{path}: {error.strerror}")
    return parse(content)


def parse(content: bytes) -> Loaded:
    """Decodes the file's content; returns the settings, or all problems that were found."""
    try:
        values = msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _invalid(f"not JSON: {error}")
    if not isinstance(values, dict):
        return _invalid("not a JSON object")
    problems = []
    for field in msgspec.structs.fields(_File):
        if field.name not in values:
            if field.required:
                problems.append(f"{field.name}: missing")
            continue
        try:
            msgspec.convert(values[field.name], field.type)
        except msgspec.ValidationError as error:
            problems.append(f"{field.name}: {error}")
    if problems:
        return _invalid(*problems)
    return _checked(msgspec.convert(values, _File))


def _checked(found: _File) -> Loaded:
    problems: list[str] = []
    sessions = _endpoint("listen.front", found.listen.front, problems)
    ready = _endpoint("listen.ready", found.listen.ready, problems)
    store = _endpoint("platform.address", found.platform.address, problems)
    calls = _endpoint("cloud.address", found.cloud.address, problems)
    ports = found.internal_ports
    if len(ports) != 2 or ports[1] - ports[0] < _METRICS_PORT:
        problems.append("internal_ports: must be a first and a last port, with two ports or more")
    if found.bounds.grace_s <= 0:
        problems.append("bounds.grace_s: must be above 0")
    if found.limits.cpu_share <= 0 or found.limits.cores <= 0:
        problems.append("limits: cpu_share and cores must be above 0")
    if found.platform.history_s <= 0:
        problems.append("platform.history_s: must be above 0")
    if problems:
        return _invalid(*problems)
    return result.Success(
        settings.Settings(
            name=found.node_name,
            failure_domain=found.zone,
            sessions_endpoint=sessions,
            readiness_endpoint=ready,
            peers_endpoint=model.Endpoint(found.ip, ports[0] + _PEERS_PORT),
            metrics_endpoint=model.Endpoint(found.ip, ports[0] + _METRICS_PORT),
            store_endpoint=store,
            platform_endpoint=calls,
            store_history_s=found.platform.history_s,
            grace_s=found.bounds.grace_s,
            cores=found.limits.cpu_share * found.limits.cores,
        )
    )


def _endpoint(name: str, text: str, problems: list[str]) -> model.Endpoint:
    try:
        return objects.parse_endpoint(text)
    except ValueError:
        problems.append(f"{name}: {text!r} is not an IP number and a port")
        return model.Endpoint("", 0)


def _invalid(*problems: str) -> Loaded:
    return typing.cast(Loaded, result.Failure(settings.InvalidSettings(problems)))
