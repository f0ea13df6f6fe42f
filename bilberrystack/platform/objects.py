"""Objects of the platform's store, decoded once into the product's types."""

import typing

import msgspec

from bilberrystack.pooling import interfaces
from bilberrystack.routing import model

# Kinds of objects: the first two are the platform's, the others the product's own.
CONFIGURATIONS = "config"
MEMBERS = "servers"
INSTANCES = "bilberrystack-instances"
DUTIES = "bilberrystack-duties"

# Name of the one configuration, and of the one duty.
MAIN = "main"
PROMOTION = "promotion"


class Meta(msgspec.Struct):
    """What the store says of an object."""

    name: str
    # Revision of the object's last change.
    rev: int = 0
    deletion_pending: bool = False


class Object(msgspec.Struct):
    """An object as the store sends it."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Listing(msgspec.Struct):
    """A page of a list."""

    items: list[msgspec.Raw]
    more: bool
    # The store's revision, where a watch continues.
    current_rev: int


class Event(msgspec.Struct):
    """A change of an object."""

    object: msgspec.Raw
    deleted: bool = False


class Events(msgspec.Struct):
    """What a watch returns."""

    events: list[Event]
    current_rev: int


class _Route(msgspec.Struct):
    # The database's name for clients; `name` is only the route's label.
    host: str
    service: str
    kind: typing.Literal["primary", "bounded_staleness", "read_own_writes"]
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    max_staleness_ms: float | None = None


class _Service(msgspec.Struct):
    name: str
    max_connections: int
    sync_replicas: int = 0


class _Limits(msgspec.Struct):
    tx_idle_ms: float


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Member(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: typing.Literal["ready", "draining"]
    born: int
    db_role: typing.Literal["primary", "replica"]


class _Instance(msgspec.Struct):
    """The product's own entry of an instance."""

    lifetime: str
    address: str
    zone: str
    cores: float = 1.0


class _Holder(msgspec.Struct):
    name: str
    lifetime: str
    address: str
    zone: str


class _Duty(msgspec.Struct):
    """The product's own object of the promotion duty; `count` makes each renewal a change."""

    holder: _Holder | None
    token: int
    count: int


_CONSISTENCY = {
    "primary": model.Consistency.PRIMARY,
    "bounded_staleness": model.Consistency.BOUNDED_AGE,
    "read_own_writes": model.Consistency.OWN_WRITES,
}
_ROLES = {"primary": model.Role.PRIMARY, "replica": model.Role.REPLICA}


def endpoint(text: str) -> model.Endpoint:
    """Parses IP:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is not an IP number and a port")
    return model.Endpoint(host, int(port))


def configuration(spec: bytes) -> model.Configuration:
    """Decodes a configuration. Raises msgspec.MsgspecError or ValueError."""
    found = msgspec.json.decode(spec, type=_Configuration)
    routes = [
        model.Route(
            database=one.host,
            service=one.service,
            consistency=_CONSISTENCY[one.kind],
            timeout_s=one.timeout_ms / 1000,
            latency_objective_s=one.target_latency_ms / 1000,
            priority=one.priority,
            max_age_s=None if one.max_staleness_ms is None else one.max_staleness_ms / 1000,
        )
        for one in found.routes
    ]
    services = [
        model.Service(one.name, one.max_connections, one.sync_replicas) for one in found.services
    ]
    return model.Configuration(
        version=found.version,
        routes={one.database: one for one in routes},
        services={one.name: one for one in services},
        transaction_idle_timeout_s=found.limits.tx_idle_ms / 1000,
    )


def member(name: str, spec: bytes) -> model.Member:
    """Decodes a member's entry. Raises msgspec.MsgspecError or ValueError."""
    found = msgspec.json.decode(spec, type=_Member)
    return model.Member(
        id=name,
        service=found.service,
        endpoint=endpoint(found.address),
        failure_domain=found.zone,
        slots=found.slots,
        leaving=found.state == "draining",
        role=_ROLES[found.db_role],
        started_ms=found.born,
    )


def instance(name: str, spec: bytes) -> model.Instance:
    """Decodes an instance's entry. Raises msgspec.MsgspecError or ValueError."""
    found = msgspec.json.decode(spec, type=_Instance)
    return model.Instance(name, found.lifetime, endpoint(found.address), found.zone, found.cores)


def encode_instance(found: model.Instance) -> msgspec.Struct:
    """Returns an instance's entry."""
    return _Instance(found.incarnation, str(found.endpoint), found.failure_domain, found.cores)


def duty(found: Object) -> interfaces.LeaseRecord:
    """Decodes the duty's object. Raises msgspec.MsgspecError or ValueError."""
    spec = msgspec.json.decode(found.spec, type=_Duty)
    holder = None
    if spec.holder is not None:
        holder = model.Instance(
            spec.holder.name,
            spec.holder.lifetime,
            endpoint(spec.holder.address),
            spec.holder.zone,
        )
    return interfaces.LeaseRecord(holder, spec.token, found.meta.rev)


def encode_duty(holder: model.Instance | None, token: int, count: int) -> msgspec.Struct:
    """Returns the duty's object."""
    if holder is None:
        return _Duty(None, token, count)
    named = _Holder(holder.name, holder.incarnation, str(holder.endpoint), holder.failure_domain)
    return _Duty(named, token, count)
