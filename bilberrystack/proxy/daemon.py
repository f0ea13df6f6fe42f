"""The process of one proxy instance: listeners, signals and the graceful stop."""

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

# Time for the last answers to leave the buffers of closing connections.
FLUSH_LIMIT_S = 1.0

_POLL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """What the process needs to know at its start.

    Attributes:
      instance_id: The instance's id, unique among all instances.
      failure_domain: Its failure domain.
      advertised_host: The IP number under which peers reach it.
      callers_host: The IP number of the callers' listener.
      callers_port: Its port; 0 for any.
      peers_host: The IP number of the peers' listener.
      peers_port: Its port; 0 for any.
      token_keys: The keys of session tokens, the signing one first.
      peer_secret: The secret that instances prove to each other.
      server_tls: The TLS context of the listeners, None for plain TCP.
      peer_tls: The TLS context of links to peers, None for plain TCP.
      shutdown_grace_s: Seconds for open requests and transactions at a graceful stop.
      max_frame_bytes: The longest frame accepted.
      operator_side: The operators' side; None to serve neither operators nor metrics.
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
    shutdown_grace_s: float = owned_groups.GRACE_S
    max_frame_bytes: int = codec.MAX_FRAME_BYTES
    operator_side: operations.OperationsSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """The outside of one instance.

    Attributes:
      store: The platform's store.
      open_configuration: Opens the declarations in force, given the other instances.
      open_owner: Opens the owner role for a group with a rank.
      retries: The retry budget of the entry role.
      recorder: Takes what operators are shown.
    """

    store: interfaces.Store
    open_configuration: collections.abc.Callable[[discovery.Discovery], node.Configuration]
    open_owner: owned_groups.OpenOwner
    retries: entry.RetryBudget
    recorder: operations.Recorder = dataclasses.field(default_factory=operations.Recorder)


OpenAdapters = collections.abc.Callable[
    [DaemonSettings], contextlib.AbstractAsyncContextManager[Adapters]
]


@dataclasses.dataclass(eq=False, slots=True)
class Instance:
    """A running instance with its listeners.

    Attributes:
      node: The node.
      callers: The callers' listener.
      callers_server: Its server.
      peers_server: The peers' server.
      ports: The ports of the operators' side; None if it is not served.
    """

    node: node.Node
    callers: callers.Listener
    callers_server: rpc.Server
    peers_server: rpc.Server
    ports: operations.Ports | None = None

    @property
    def busy(self) -> bool:
        """Whether requests or transactions of callers are open."""
        return self.callers_server.calls_in_flight > 0 or self.callers.open_transactions > 0

    async def leave(self, grace_s: float) -> bool:
        """Ends gracefully; returns whether everything open ended within the grace."""
        self.callers_server.stop_listening()
        ended = await self.node.leave(grace_s, lambda: self.busy)
        self.callers_server.close()
        deadline = asyncio.get_running_loop().time() + FLUSH_LIMIT_S
        while self.callers_server.connections and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(_POLL_S)
        return ended


@contextlib.asynccontextmanager
async def running(
    settings: DaemonSettings, adapters: Adapters
) -> collections.abc.AsyncGenerator[Instance, None]:
    """Runs an instance with its listeners inside a context."""
    peers_listener = peers.Listener(settings.peer_secret)
    peers_server = peers_listener.server()
    await peers_server.start(
        settings.peers_host,
        settings.peers_port,
        tls=settings.server_tls,
        max_frame_bytes=settings.max_frame_bytes,
    )
    address = f"{settings.advertised_host}:{peers_server.port}"
    async with peers_server, _node(settings, adapters, address) as running_node:
        peers_listener.bind(running_node)
        callers_listener = callers.Listener(
            running_node.entry_role,
            settings.instance_id,
            lambda kind, outcome: adapters.recorder.counts.record_outcome(
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
            async with _operations(settings, adapters, instance) as ports:
                instance.ports = ports
                yield instance


def _operations(
    settings: DaemonSettings, adapters: Adapters, instance: Instance
) -> contextlib.AbstractAsyncContextManager[operations.Ports | None]:
    if settings.operator_side is None:
        return contextlib.nullcontext()
    return operations.serving(
        settings.operator_side,
        running=instance.node,
        store=adapters.store,
        recorder=adapters.recorder,
        listeners={"callers": instance.callers_server, "peers": instance.peers_server},
        tls=settings.server_tls,
    )


def _node(settings: DaemonSettings, adapters: Adapters, address: str) -> node.Node:
    def open_link(
        peer_address: str, on_lost: collections.abc.Callable[[], None]
    ) -> interfaces.Peer:
        return peers.Link(
            peer_address, settings.instance_id, settings.peer_secret, on_lost, settings.peer_tls
        )

    return node.Node(
        own=membership.Instance(settings.instance_id, settings.failure_domain, address),
        open_configuration=adapters.open_configuration,
        signer=tokens.Signer(settings.token_keys),
        retries=adapters.retries,
        store=adapters.store,
        open_owner=adapters.open_owner,
        open_link=open_link,
        chooser=random.Random(),
    )


async def serve(settings: DaemonSettings, open_adapters: OpenAdapters) -> int:
    """Runs an instance until a signal ends it.

    The first SIGTERM or SIGINT starts the graceful stop, a second one ends it at once.

    Args:
      settings: The settings.
      open_adapters: Opens the adapters to the outside.
    Returns:
      The exit code: 0 after a graceful stop, 1 if something open was cut off.
    """
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    async with open_adapters(settings) as adapters, running(settings, adapters) as instance:
        _announce(settings, instance)
        await signals.get()
        leaving = loop.create_task(instance.leave(settings.shutdown_grace_s))
        second = loop.create_task(signals.get())
        await asyncio.wait((leaving, second), return_when=asyncio.FIRST_COMPLETED)
        second.cancel()
        if leaving.done():
            return 0 if leaving.result() else 1
        leaving.cancel()
        loguru.logger.bind(component="daemon").warning("Stopped at once by a second signal")
        return 1


def run(settings: DaemonSettings, open_adapters: OpenAdapters) -> int:
    """Runs the process of an instance; returns its exit code."""
    _raise_file_limit()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve(settings, open_adapters))


def _announce(settings: DaemonSettings, instance: Instance) -> None:
    """Prints the addresses as one line of JSON, which scripts wait for."""
    host = settings.advertised_host
    line: dict[str, Any] = {
        "instance": settings.instance_id,
        "callers": f"{host}:{instance.callers_server.port}",
        "peers": f"{host}:{instance.peers_server.port}",
    }
    if instance.ports is not None:
        line["operators"] = f"{host}:{instance.ports.operators}"
        line["metrics"] = f"{host}:{instance.ports.metrics}"
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


def _raise_file_limit() -> None:
    """Allows as many open sockets as the system grants; the usual soft limit is 1,024."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
