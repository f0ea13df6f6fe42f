"""Objects of the platform's store: their formats, and conversion to and from the proxy's types."""

import re
import typing

import msgspec

from bilberrystack.accounts import accounts
from bilberrystack.pooling import interfaces
from bilberrystack.routing import model

# Kinds of objects that the platform defines.
CONFIGURATION_KIND = "config"
MEMBER_KIND = "servers"

# Kinds of objects that only the proxy uses.
INSTANCE_KIND = "bilberrystack-instances"
LEASE_KIND = "bilberrystack-duties"
PROMOTION_KIND = "bilberrystack-promotions"

# Name of the only object of kind CONFIGURATION_KIND.
CONFIGURATION_NAME = "main"

# Name of the only object of kind LEASE_KIND, the coordinator lease.
LEASE_NAME = "promotion"


class ObjectMetadata(msgspec.Struct):
    """Metadata that the store keeps with each object.

    Attributes:
      name: Name of the object, unique within its kind.
      rev: Revision of the object's last change.
      deletion_pending: Whether the deletion of the object is pending.
    """

    name: str
    rev: int = 0
    deletion_pending: bool = False


class StoredObject(msgspec.Struct):
    """An object as the store returns it.

    Attributes:
      meta: Metadata of the object.
      spec: Content of the object, not decoded yet.
    """

    meta: ObjectMetadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListPage(msgspec.Struct):
    """A page of a list of objects.

    Attributes:
      items: Objects of the page, not decoded yet.
      more: Whether further pages follow.
      current_rev: Revision of the store from which a watch continues the list.
    """

    items: list[msgspec.Raw]
    more: bool
    current_rev: int


class WatchEvent(msgspec.Struct):
    """A change of an object.

    Attributes:
      object: The object after the change, not decoded yet.
      deleted: Whether the object was deleted.
    """

    object: msgspec.Raw
    deleted: bool = False


class WatchResult(msgspec.Struct):
    """The result of a watch.

    Attributes:
      events: Changes since the revision that the watch started from.
      current_rev: Revision of the store from which the next watch continues.
    """

    events: list[WatchEvent]
    current_rev: int


# Era of a record whose writer's era is not known; lower than each era of the store.
UNKNOWN_ERA = -1

# Characters of the ids and names that are sent in lines of the members' protocol.
_ID = re.compile(r"[!-~]{1,256}")

# Numbers of other writers' entries, within what arithmetic and the messages between instances hold.
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**62)]
_Term = typing.Annotated[int, msgspec.Meta(ge=1, le=2**31)]
_Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=2**16)]
_Cores = typing.Annotated[float, msgspec.Meta(gt=0, le=2**16)]


class _RouteSpec(msgspec.Struct):
    # Name of the database. The route's own field `name` is only a label and is not decoded.
    host: str
    # Name of the database group.
    service: str
    # Consistency guarantee.
    kind: typing.Literal["primary", "bounded_staleness", "read_own_writes"]
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    max_staleness_ms: float | None = None
    anonymous: bool = False


class _ServiceSpec(msgspec.Struct):
    name: str
    # Limit of each member, for the connections of all instances together.
    max_connections: int
    sync_replicas: int = 0


class _LimitsSpec(msgspec.Struct):
    tx_idle_ms: float


class _AccountSpec(msgspec.Struct):
    """A client account, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    rate_per_s: float | None = None
    burst: float = 0.0
    priority: int = 0


class _ConfigurationSpec(msgspec.Struct):
    version: int
    routes: list[_RouteSpec]
    services: list[_ServiceSpec]
    limits: _LimitsSpec
    # Client accounts; without the field, sessions need no key.
    tenants: list[_AccountSpec] | None = None


class _MemberSpec(msgspec.Struct):
    # Name of the database group.
    service: str
    address: str
    # Failure domain.
    zone: str
    # Number of statements that the member runs concurrently.
    slots: _Slots
    state: typing.Literal["ready", "draining"]
    # Number of the liveness report that last changed the record.
    seq: _Count
    # Start time in Unix milliseconds.
    born: _Count
    # Role that the member reports for itself.
    db_role: typing.Literal["primary", "replica"]


class _InstanceSpec(msgspec.Struct):
    """The registration of an instance."""

    # Incarnation: identifier of the process, not a duration.
    lifetime: str
    address: str
    # Failure domain.
    zone: str
    cores: _Cores = 1.0


class _PromotionSpec(msgspec.Struct):
    """A promotion request that may be pending, or carried out once more."""

    # Name of the database group.
    service: str
    member: str
    replaced_term: _Count
    # Earlier versions leave it out, and wait for the effect of a request that has it.
    repeatable: bool = False


class _PrimarySpec(msgspec.Struct):
    """The primary of a term, in the same kind as promotion requests.

    It has none of the fields of a promotion request, so that versions of the program that do not
    know it leave it out.
    """

    # Name of the database group.
    group: str
    primary: str
    term: _Term


class _CoordinatorSpec(msgspec.Struct):
    name: str
    # Incarnation: identifier of the process, not a duration.
    lifetime: str
    address: str
    # Failure domain.
    zone: str


class _LeaseSpec(msgspec.Struct):
    """The coordinator lease."""

    # Coordinator; None if the lease was released.
    holder: _CoordinatorSpec | None
    # Fencing token.
    token: _Count
    # Number of writes by the coordinator's process. It makes each renewal a change of the object.
    count: int
    # Era of the store that the writer knew.
    era: int = 0
    # Incarnations that may acquire the lease soon after its last renewal.
    standbys: list[str] = []


_CONSISTENCY = {
    "primary": model.Consistency.PRIMARY,
    "bounded_staleness": model.Consistency.BOUNDED_AGE,
    "read_own_writes": model.Consistency.OWN_WRITES,
}
_ROLES = {"primary": model.Role.PRIMARY, "replica": model.Role.REPLICA}


def parse_endpoint(text: str) -> model.Endpoint:
    """Parse an address of the form IP:PORT.

    Raises:
      ValueError: The host is not an IP address, or the port is not one.
    """
    endpoint = model.parse_endpoint(text)
    if endpoint is None:
        raise ValueError(f"{text[:100]!r} is not an IP address and a port")
    return endpoint


def decode_named_configuration(name: str, encoded: bytes) -> model.Configuration:
    """Decode the configuration; no other object of its kind is one.

    Args:
      name: Name of the object.
      encoded: Content of the object, as JSON.
    Raises:
      msgspec.MsgspecError, ValueError: The content is malformed, or the object has another name.
    """
    if name != CONFIGURATION_NAME:
        raise ValueError("not the object with the configuration")
    return decode_configuration(encoded)


def decode_configuration(encoded: bytes) -> model.Configuration:
    """Decode a configuration.

    Args:
      encoded: Content of the object, as JSON.
    Raises:
      msgspec.MsgspecError, ValueError: The content is malformed.
    """
    spec = msgspec.json.decode(encoded, type=_ConfigurationSpec)
    routes = [
        model.Route(
            database=route.host,
            service=route.service,
            consistency=_CONSISTENCY[route.kind],
            timeout_s=route.timeout_ms / 1000,
            latency_objective_s=route.target_latency_ms / 1000,
            priority=route.priority,
            max_age_s=None if route.max_staleness_ms is None else route.max_staleness_ms / 1000,
            anonymous=route.anonymous,
        )
        for route in spec.routes
    ]
    services = [
        model.Service(service.name, service.max_connections, service.sync_replicas)
        for service in spec.services
    ]
    return model.Configuration(
        version=spec.version,
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        transaction_idle_timeout_s=spec.limits.tx_idle_ms / 1000,
        accounts=None if spec.tenants is None else _create_accounts(spec.tenants),
    )


def _create_accounts(specs: list[_AccountSpec]) -> accounts.Accounts:
    """Return the accounts of a configuration; raise ValueError if one can't be used."""
    declarations = [
        accounts.Declaration(
            accounts.Account(spec.name, spec.rate_per_s, spec.burst, spec.priority),
            tuple(spec.api_keys),
        )
        for spec in specs
    ]
    try:
        return accounts.create(declarations)
    except accounts.InvalidAccount as error:
        # The operator knows the fields under the platform's names.
        field = str(error).replace("accounts[", "tenants[", 1).replace(".keys[", ".api_keys[", 1)
        raise ValueError(field) from None


def decode_member(name: str, encoded: bytes) -> model.Member:
    """Decode a member's record.

    Args:
      name: Name of the object, which is the member's id.
      encoded: Content of the object, as JSON.
    Raises:
      msgspec.MsgspecError, ValueError: The content is malformed.
    """
    spec = msgspec.json.decode(encoded, type=_MemberSpec)
    if not (_ID.fullmatch(name) and _ID.fullmatch(spec.service)):
        raise ValueError("the name or the service can't be sent in a line")
    return model.Member(
        id=name,
        service=spec.service,
        endpoint=parse_endpoint(spec.address),
        failure_domain=spec.zone,
        slots=spec.slots,
        leaving=spec.state == "draining",
        role=_ROLES[spec.db_role],
        started_ms=spec.born,
        report_number=spec.seq,
    )


def decode_instance(name: str, encoded: bytes) -> model.Instance:
    """Decode an instance's registration.

    Args:
      name: Name of the object, which is the instance's name.
      encoded: Content of the object, as JSON.
    Raises:
      msgspec.MsgspecError, ValueError: The content is malformed.
    """
    spec = msgspec.json.decode(encoded, type=_InstanceSpec)
    return model.Instance(name, spec.lifetime, parse_endpoint(spec.address), spec.zone, spec.cores)


def encode_instance(instance: model.Instance) -> msgspec.Struct:
    """Return the content of an instance's registration."""
    return _InstanceSpec(
        instance.incarnation, str(instance.endpoint), instance.failure_domain, instance.cores
    )


def decode_promotion(
    name: str, encoded: bytes
) -> interfaces.PromotionRecord | interfaces.PrimaryRecord:
    """Decode the record of a promotion request, or of a primary.

    Args:
      name: Name of the object.
      encoded: Content of the object, as JSON.
    Raises:
      msgspec.MsgspecError: The content is malformed.
    """
    try:
        spec = msgspec.json.decode(encoded, type=_PromotionSpec)
    except msgspec.ValidationError:
        primary = msgspec.json.decode(encoded, type=_PrimarySpec)
        return interfaces.PrimaryRecord(name, primary.group, primary.primary, primary.term)
    return interfaces.PromotionRecord(
        name, spec.service, spec.member, spec.replaced_term, spec.repeatable
    )


def encode_promotion(record: interfaces.PromotionRecord) -> msgspec.Struct:
    """Return the content of a promotion request's record."""
    return _PromotionSpec(record.service, record.member, record.replaced_term, record.repeatable)


def encode_primary(record: interfaces.PrimaryRecord) -> msgspec.Struct:
    """Return the content of a primary's record."""
    return _PrimarySpec(record.service, record.member, record.term)


def decode_lease(stored: StoredObject, era: int) -> interfaces.LeaseRecord:
    """Decode the coordinator lease.

    Args:
      stored: The object as the store returned it.
      era: Era of the store that returned it.
    Raises:
      msgspec.MsgspecError, ValueError: The content is malformed.
    """
    spec = msgspec.json.decode(stored.spec, type=_LeaseSpec)
    coordinator = None
    if spec.holder is not None:
        coordinator = model.Instance(
            spec.holder.name,
            spec.holder.lifetime,
            parse_endpoint(spec.holder.address),
            spec.holder.zone,
        )
    revision = interfaces.Revision(era, stored.meta.rev)
    return interfaces.LeaseRecord(coordinator, spec.token, revision, spec.era, tuple(spec.standbys))


def encode_lease(
    coordinator: model.Instance | None,
    token: int,
    write_count: int,
    era: int,
    standbys: tuple[str, ...] = (),
) -> msgspec.Struct:
    """Return the content of the coordinator lease.

    Args:
      coordinator: The instance that holds the lease; None to release it.
      token: Fencing token of the coordinator.
      write_count: Number of writes by the coordinator's process, which makes each write a change.
      era: Era of the store that the writer knows.
      standbys: Incarnations that may acquire the lease soon after its last renewal.
    """
    if coordinator is None:
        return _LeaseSpec(None, token, write_count, era)
    holder = _CoordinatorSpec(
        coordinator.name,
        coordinator.incarnation,
        str(coordinator.endpoint),
        coordinator.failure_domain,
    )
    return _LeaseSpec(holder, token, write_count, era, list(standbys))
