"""The process of one proxy instance: listeners, signals and graceful shutdown."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import random
import resource
import signal
import ssl
import sys
import time
from typing import Any

import loguru
import uvloop

from bilberrystack.core import membership
from bilberrystack.core import tokens
from bilberrystack.proxy import callers
from bilberrystack.proxy import discovery
from bilberrystack.proxy import entry
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import node
from bilberrystack.proxy import operations
from bilberrystack.proxy import owned_groups
from bilberrystack.proxy import peers
from bilberrystack.wire import codec
from bilberrystack.wire import rpc

# Maximum time for the last answers to be sent from the buffers of closing connections.
FLUSH_TIMEOUT_S = 1.0

_FLUSH_POLL_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """The settings of an instance's process.

    Attributes:
      instance_id: The instance's id, unique among all instances.
      failure_domain: The instance's failure domain.
      advertised_host: The IP address under which peers reach the instance.
      callers_host: The IP address of the callers' listener.
      callers_port: The port of the callers' listener; 0 for any free port.
      peers_host: The IP address of the peers' listener.
      peers_port: The port of the peers' listener; 0 for any free port.
      token_keys: The keys of session tokens, the signing key first.
      peer_secret: The secret whose knowledge instances prove to each other.
      server_tls: The TLS context of the listeners; None for plain TCP.
      peer_tls: The TLS context of links to peers; None for plain TCP.
      shutdown_grace_s: Maximum time in seconds for open requests and transactions to end during a
        graceful shutdown.
      max_frame_bytes: The maximum size of an accepted frame, in bytes.
      operations_settings: The settings of the operators' and metrics' listeners; None to start
        neither.
    """

    instance_id: str
    failure_domain: str
    advertised_host: str
    callers_host: str
    callers_port: int
    peers_host: str
    peers_port: int
    token_keys: tuple[bytes, ...]
    peer_secret: bytes
    server_tls: ssl.SSLContext | None = None
    peer_tls: ssl.SSLContext | None = None
    shutdown_grace_s: float = owned_groups.DRAIN_GRACE_S
    max_frame_bytes: int = codec.MAX_FRAME_BYTES
    operations_settings: operations.OperationsSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """The external dependencies of one instance.

    Attributes:
      store: The platform's store.
      open_configuration: Creates the instance's configuration, given the discovery of peers.
      open_owner: Opens the owner role for a group, given its declaration and the rank.
      retries: The retry budget of the entry role.
      recorder: Counts outcomes and primary changes for operators.
    """

    store: interfaces.Store
    open_configuration: collections.abc.Callable[[discovery.Discovery], node.Configuration]
    open_owner: owned_groups.OpenOwner
    retries: entry.RetryBudget
    recorder: operations.InstanceRecorder = dataclasses.field(
        default_factory=operations.InstanceRecorder
    )


OpenAdapters = collections.abc.Callable[
    [DaemonSettings], contextlib.AbstractAsyncContextManager[Adapters]
]


@dataclasses.dataclass(eq=False, slots=True)
class Instance:
    """A running instance with its listeners.

    Attributes:
      node: The node.
      callers: The handler of the callers' calls.
      callers_server: The server of the callers' listener.
      peers_server: The server of the peers' listener.
      operations_ports: The ports of the operators' and metrics' listeners; None if not started.
    """

    node: node.Node
    callers: callers.Listener
    callers_server: rpc.Server
    peers_server: rpc.Server
    operations_ports: operations.OperationsPorts | None = None

    @property
    def has_open_work(self) -> bool:
        """Whether requests or transactions of callers are open."""
        return self.callers_server.calls_in_flight > 0 or self.callers.open_transactions > 0

    async def leave(self, grace_s: float) -> bool:
        """Shut down gracefully.

        Args:
          grace_s: Maximum time in seconds for open requests and transactions to end.
        Returns:
          Whether all requests and transactions ended, and all departure notices were sent, within
          the grace period.
        """
        self.callers_server.stop_listening()
        ended = await self.node.leave(grace_s, lambda: self.has_open_work)
        self.callers_server.close()
        deadline = asyncio.get_running_loop().time() + FLUSH_TIMEOUT_S
        while self.callers_server.connections and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(_FLUSH_POLL_INTERVAL_S)
        return ended


@contextlib.asynccontextmanager
async def open_instance(
    settings: DaemonSettings, adapters: Adapters
) -> collections.abc.AsyncGenerator[Instance, None]:
    """Return a context manager that runs an instance with its listeners."""
    peers_listener = peers.Listener(settings.peer_secret)
    peers_server = peers_listener.server()
    await peers_server.start(
        settings.peers_host,
        settings.peers_port,
        tls=settings.server_tls,
        max_frame_bytes=settings.max_frame_bytes,
    )
    address = f"{settings.advertised_host}:{peers_server.port}"
    async with peers_server, _create_node(settings, adapters, address) as running_node:
        peers_listener.set_handler(running_node)
        callers_listener = callers.Listener(
            running_node.entry_role,
            settings.instance_id,
            lambda kind, outcome: adapters.recorder.outcome_counters.record_outcome(
                kind, outcome, time.time()
            ),
        )
        async with callers_listener.server() as callers_server:
            await callers_server.start(
                settings.callers_host,
                settings.callers_port,
                tls=settings.server_tls,
                max_frame_bytes=settings.max_frame_bytes,
            )
            instance = Instance(running_node, callers_listener, callers_server, peers_server)
            async with _serve_operations(settings, adapters, instance) as operations_ports:
                instance.operations_ports = operations_ports
                yield instance


def _serve_operations(
    settings: DaemonSettings, adapters: Adapters, instance: Instance
) -> contextlib.AbstractAsyncContextManager[operations.OperationsPorts | None]:
    if settings.operations_settings is None:
        return contextlib.nullcontext()
    return operations.serve(
        settings.operations_settings,
        running_node=instance.node,
        store=adapters.store,
        recorder=adapters.recorder,
        listeners={"callers": instance.callers_server, "peers": instance.peers_server},
        tls=settings.server_tls,
    )


def _create_node(settings: DaemonSettings, adapters: Adapters, address: str) -> node.Node:
    def open_link(
        peer_address: str, on_link_lost: collections.abc.Callable[[], None]
    ) -> interfaces.Peer:
        return peers.Link(
            peer_address,
            settings.instance_id,
            settings.peer_secret,
            on_link_lost,
            settings.peer_tls,
        )

    return node.Node(
        local_instance=membership.Instance(settings.instance_id, settings.failure_domain, address),
        open_configuration=adapters.open_configuration,
        signer=tokens.Signer(settings.token_keys),
        retries=adapters.retries,
        store=adapters.store,
        open_owner=adapters.open_owner,
        open_link=open_link,
        rng=random.Random(),
    )


async def serve(settings: DaemonSettings, open_adapters: OpenAdapters) -> int:
    """Run an instance until it receives a signal.

    The first SIGTERM or SIGINT starts a graceful shutdown; a second signal stops the instance
    immediately.

    Args:
      settings: The settings.
      open_adapters: Opens the external dependencies of the instance.
    Returns:
      The exit code: 0 after a graceful shutdown; 1 if the end of the grace period or a second
      signal interrupted requests, transactions or departure notices.
    """
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, signals.put_nowait, signal_number)
    async with open_adapters(settings) as adapters, open_instance(settings, adapters) as instance:
        _print_addresses(settings, instance)
        await signals.get()
        shutdown = loop.create_task(instance.leave(settings.shutdown_grace_s))
        second_signal = loop.create_task(signals.get())
        await asyncio.wait((shutdown, second_signal), return_when=asyncio.FIRST_COMPLETED)
        second_signal.cancel()
        if shutdown.done():
            return 0 if shutdown.result() else 1
        shutdown.cancel()
        loguru.logger.bind(component="daemon").warning(
            "A second signal interrupted the graceful shutdown"
        )
        return 1


def run(settings: DaemonSettings, open_adapters: OpenAdapters) -> int:
    """Run an instance in this process until it receives a signal; return the exit code."""
    _raise_file_limit()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve(settings, open_adapters))


def _print_addresses(settings: DaemonSettings, instance: Instance) -> None:
    """Print the listeners' addresses as one line of JSON, for scripts that start the process."""
    host = settings.advertised_host
    addresses: dict[str, Any] = {
        "instance": settings.instance_id,
        "callers": f"{host}:{instance.callers_server.port}",
        "peers": f"{host}:{instance.peers_server.port}",
    }
    if instance.operations_ports is not None:
        addresses["operators"] = f"{host}:{instance.operations_ports.operators}"
        addresses["metrics"] = f"{host}:{instance.operations_ports.metrics}"
    sys.stdout.write(json.dumps(addresses) + "\n")
    sys.stdout.flush()


def _raise_file_limit() -> None:
    """Raise the soft limit of open files, often 1,024, to the hard limit."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
