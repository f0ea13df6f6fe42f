"""A small site of real processes: a store, one database group and proxies."""

import asyncio
import hashlib
import pathlib
import ssl
from typing import Any

from bilberrystack import client
from bilberrystack_standins import launch
from bilberrystack_standins import store_server
from bilberrystack_standins import store_state
from system import acceptance
from system import proxies

DOMAINS = ("addis-bole", "addis-kirkos", "addis-yeka")
GROUP = "diary-store-1"
CALLER = "enumerator"
CALLER_SECRET = "secret-of-an-enumerator"

# Size of a member at the site in Addis Ababa.
SLOTS = 2
CONNECTIONS = 16

# Delay with which replicas receive log entries.
RECEIVE_LAG_MS = 5.0


class Site:
    """Real processes on the loopback interface. Use it as an asynchronous context manager.

    Attributes:
      standins: Processes of the store and the members.
      proxies: The proxies, by instance id.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Prepares a site without starting it.

        Args:
          folder: Folder for the data files of the members.
        """
        self.standins = launch.Standins()
        self.proxies: dict[str, proxies.ProxyProcess] = {}
        self._folder = folder

    async def __aenter__(self) -> "Site":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await asyncio.gather(*(proxy.kill() for proxy in self.proxies.values()))
        await self.standins.stop()

    @property
    def store(self) -> launch.StoreProcess:
        """The store process; only available once the site has been started."""
        assert self.standins.store is not None
        return self.standins.store

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses for callers of all proxies."""
        return [proxy.ready.callers for proxy in self.proxies.values()]

    async def start(self, proxy_count: int = 3) -> None:
        """Starts all processes and declares the group."""
        await self.start_undeclared(proxy_count)
        await self.declare()

    async def start_undeclared(self, proxy_count: int = 3) -> None:
        """Starts all processes without any declaration."""
        await self.standins.start_store()
        await self.standins.start_members(
            launch.MemberOptions(
                name=name,
                slots=SLOTS,
                connections=CONNECTIONS,
                data_file=self._folder / f"{name}.journal",
                faults={"receive_lag_ms": RECEIVE_LAG_MS},
            )
            for name in ("a", "b", "c")
        )
        await asyncio.gather(*(self.start_proxy(f"p{number}") for number in range(proxy_count)))
        await self.publish_list()

    async def start_proxy(self, instance: str) -> proxies.ProxyProcess:
        """Starts a proxy, or starts it again after its end.

        Args:
          instance: Id of the instance: the letter p and a number, which determines its failure
            domain.
        """
        domain = DOMAINS[int(instance[1:]) % len(DOMAINS)]
        proxy = await proxies.start_proxy(instance, domain, self.store.url)
        self.proxies[instance] = proxy
        return proxy

    async def publish_list(self) -> None:
        """Sets the platform's list of instances to all proxies that were started."""
        listed_instances = [
            store_state.Instance(
                id=name,
                kind="proxy",
                address=proxy.ready.peers,
                failure_domain=proxy.failure_domain,
                state="live",
            )
            for name, proxy in self.proxies.items()
        ]
        await self.store.set_instances(store_server.InstanceList(instances=listed_instances))

    async def declare(self) -> None:
        """Declares the group and its caller; instances read the declarations from the store."""
        await acceptance.declare(self.store.url, self._document())

    def _document(self) -> dict[str, Any]:
        members = [
            {
                "name": name,
                "address": member.address,
                "failure_domain": domain,
                "connections": CONNECTIONS,
                "slots": SLOTS,
            }
            for (name, member), domain in zip(
                sorted(self.standins.members.items()), DOMAINS, strict=True
            )
        ]
        digest = hashlib.sha256(CALLER_SECRET.encode()).hexdigest()
        return {
            "groups": [{"name": GROUP, "members": members, "default_max_age_ms": 0}],
            "callers": [{"name": CALLER, "secret_sha256": [digest], "groups": [GROUP]}],
        }

    def connect(self, tls: ssl.SSLContext | None = None) -> client.Client:
        """Returns a client that uses all proxies.

        Args:
          tls: TLS context for the connections; None for connections without TLS.
        """
        return client.connect(self.caller_addresses, CALLER, CALLER_SECRET, tls=tls)
