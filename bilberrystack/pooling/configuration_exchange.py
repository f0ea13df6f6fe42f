"""Passes the configuration in force from one instance to another.

After a change, an instance that does not watch the store would read it there, at the price of a
call for each instance, and one that the store turns away would not learn of it at all. Keys of
accounts travel as digests.
"""

import asyncio
import collections.abc

import loguru
import msgspec

from bilberrystack.accounts import accounts
from bilberrystack.pooling import frames
from bilberrystack.pooling import instance_lines
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.pooling import tasks
from bilberrystack.routing import model

_LOG = loguru.logger.bind(component="directory")

# Time limit of one exchange; another instance in another region answers within 0.1 s.
EXCHANGE_TIMEOUT_S = 0.6

# An instance that could not give a newer configuration is not asked again for this long.
AVOID_PERIOD_S = 1.0


class _Route(msgspec.Struct, frozen=True, array_like=True):
    database: str
    service: str
    consistency: str
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_age_s: float | None
    anonymous: bool


class _Service(msgspec.Struct, frozen=True, array_like=True):
    name: str
    max_connections: int
    sync_replicas: int


class _Account(msgspec.Struct, frozen=True, array_like=True):
    name: str
    rate_per_s: float | None
    burst: float
    priority: int
    key_digests: list[bytes]


class _Configuration(msgspec.Struct, frozen=True, array_like=True):
    version: int
    transaction_idle_timeout_s: float
    routes: list[_Route]
    services: list[_Service]
    accounts: list[_Account] | None


_DECODER: msgspec.msgpack.Decoder[_Configuration] = msgspec.msgpack.Decoder(_Configuration)


def encode(configuration: model.Configuration) -> bytes:
    """Return a configuration as a frame."""
    declared = configuration.accounts
    return frames.pack(
        _Configuration(
            configuration.version,
            configuration.transaction_idle_timeout_s,
            [
                _Route(
                    *(route.database, route.service, route.consistency.value, route.timeout_s),
                    *(route.latency_objective_s, route.priority, route.max_age_s),
                    route.anonymous,
                )
                for route in configuration.routes.values()
            ],
            [
                _Service(service.name, service.max_connections, service.sync_replicas)
                for service in configuration.services.values()
            ],
            (
                None
                if declared is None
                else [
                    _Account(
                        *(account.name, account.rate_per_s, account.burst, account.priority),
                        declared.digests_of(account.name),
                    )
                    for account in declared.by_name.values()
                ]
            ),
        )
    )


def decode(body: bytes) -> model.Configuration:
    """Return the configuration in a frame's body.

    Raises:
      msgspec.MsgspecError, ValueError: The body is malformed.
    """
    received = _DECODER.decode(body)
    declared = None
    if received.accounts is not None:
        declared = accounts.from_digests(
            (
                accounts.Account(each.name, each.rate_per_s, each.burst, each.priority),
                each.key_digests,
            )
            for each in received.accounts
        )
    routes = [
        model.Route(
            database=route.database,
            service=route.service,
            consistency=model.Consistency(route.consistency),
            timeout_s=route.timeout_s,
            latency_objective_s=route.latency_objective_s,
            priority=route.priority,
            max_age_s=route.max_age_s,
            anonymous=route.anonymous,
        )
        for route in received.routes
    ]
    services = [
        model.Service(service.name, service.max_connections, service.sync_replicas)
        for service in received.services
    ]
    return model.Configuration(
        received.version,
        {route.database: route for route in routes},
        {service.name: service for service in services},
        received.transaction_idle_timeout_s,
        declared,
    )


class ConfigurationExchange:
    """Fetches newer configurations from other instances, and gives them this one's."""

    __slots__ = ("_adopt", "_avoided_until_s", "_clock", "_configuration", "_fetching", "_tasks")

    def __init__(
        self,
        configuration: collections.abc.Callable[[], model.Configuration | None],
        adopt: collections.abc.Callable[[model.Configuration], bool],
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
    ) -> None:
        """Create an exchange.

        Args:
          configuration: Returns the configuration in force here.
          adopt: Puts a configuration in force if it is newer; returns whether it was.
          clock: Returns the current time in seconds.
          background_tasks: Holds the tasks that fetch.
        """
        self._configuration = configuration
        self._adopt = adopt
        self._clock = clock
        self._tasks = background_tasks
        self._fetching = False
        self._avoided_until_s: dict[model.Endpoint, float] = {}

    def serve(self, writer: asyncio.StreamWriter) -> None:
        """Send the configuration in force, if there is one."""
        configuration = self._configuration()
        if configuration is not None:
            member_link.write(writer, encode(configuration))

    def request(
        self, source: model.Endpoint, on_failure: collections.abc.Callable[[], None]
    ) -> None:
        """Fetch the configuration of another instance in the background.

        Args:
          source: Address at which that instance serves others.
          on_failure: Called if it has none that is newer than this instance's.
        """
        if self._fetching:
            return
        if self._avoided_until_s.get(source, float("-inf")) > self._clock():
            on_failure()
            return
        self._fetching = True
        self._tasks.start(self._fetch(source, on_failure))

    async def _fetch(
        self, source: model.Endpoint, on_failure: collections.abc.Callable[[], None]
    ) -> None:
        failure = ""
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                if not self._adopt(await _receive(source)):
                    failure = "not newer"
        except (OSError, EOFError, TimeoutError, ValueError, msgspec.MsgspecError) as error:
            failure = type(error).__name__
        finally:
            self._fetching = False
        if failure:
            self._avoided_until_s[source] = self._clock() + AVOID_PERIOD_S
            _LOG.info("no newer configuration from an instance", source=str(source), reason=failure)
            on_failure()


async def _receive(source: model.Endpoint) -> model.Configuration:
    reader, writer = await member_link.connect(source, frames.MAX_FRAME_BYTES)
    try:
        member_link.write(writer, instance_lines.encode_configuration_request())
        return decode(await frames.read_body(reader))
    finally:
        writer.close()
