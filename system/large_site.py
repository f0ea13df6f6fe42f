"""A site of many proxies and many database groups, for measurements."""

import asyncio
import asyncio.subprocess
import hashlib
import signal
import sys
from typing import Any

import msgspec

from bilberrystack_standins import launch
from bilberrystack_standins import store_server
from bilberrystack_standins import store_state
from system import acceptance
from system import farm
from system import proxies

CALLER = "measurement"
CALLER_SECRET = "secret-of-the-measurement"
MEMBERS_PER_FARM = 24


class LargeSite:
    """Proxies, members and a store. Use it as an asynchronous context manager.

    Attributes:
      proxies: The proxies.
      addresses: Addresses of the members; each three consecutive ones belong to a group.
      groups: Names of the groups.
    """

    def __init__(
        self,
        domains: int,
        slots: int = 2,
        connections: int = 16,
        members_per_farm: int = MEMBERS_PER_FARM,
    ) -> None:
        """Prepares a site without starting it.

        Args:
          domains: Number of failure domains.
          slots: Number of statements that each member executes concurrently.
          connections: Maximum number of connections of each member.
          members_per_farm: Number of members in one process; with fewer, members answer faster.
        """
        self.proxies: list[proxies.ProxyProcess] = []
        self.addresses: list[str] = []
        self.groups: list[str] = []
        self._domains = [f"domain-{number}" for number in range(domains)]
        self._slots = slots
        self._connections = connections
        self._members_per_farm = members_per_farm
        self._standins = launch.Standins()
        self._farm_processes: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> "LargeSite":
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await asyncio.gather(*(proxy.kill() for proxy in self.proxies))
        for child in self._farm_processes:
            child.send_signal(signal.SIGKILL)
            await child.wait()
        await self._standins.stop()

    @property
    def store(self) -> launch.StoreProcess:
        """The store process; only available once the site has been started."""
        assert self._standins.store is not None
        return self._standins.store

    async def start(self, proxy_count: int, group_count: int) -> None:
        """Starts all processes and declares the groups.

        Args:
          proxy_count: Number of proxies.
          group_count: Number of database groups, with three members each.
        """
        store = await self._standins.start_store()
        self.addresses = await self._start_members(3 * group_count)
        starts = [
            proxies.start_proxy(f"p{number}", self._domain(number), store.url)
            for number in range(proxy_count)
        ]
        self.proxies = list(await asyncio.gather(*starts))
        listed = [
            store_state.Instance(
                proxy.ready.instance, "proxy", proxy.ready.peers, proxy.failure_domain
            )
            for proxy in self.proxies
        ]
        await store.set_instances(store_server.InstanceList(instances=listed))
        await acceptance.declare(store.url, self._document(self.addresses))

    def _domain(self, number: int) -> str:
        return self._domains[number % len(self._domains)]

    async def _start_members(self, count: int) -> list[str]:
        full_farms, remainder = divmod(count, self._members_per_farm)
        sizes = [self._members_per_farm] * full_farms + ([remainder] if remainder else [])
        address_lists = await asyncio.gather(*(self._start_farm(size) for size in sizes))
        return [address for addresses in address_lists for address in addresses]

    async def _start_farm(self, count: int) -> list[str]:
        arguments = ["--count", count, "--slots", self._slots, "--connections", self._connections]
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            farm.__name__,
            *map(str, arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        self._farm_processes.append(child)
        assert child.stdout is not None
        return msgspec.json.decode(await child.stdout.readline(), type=farm.Ready).addresses

    def _document(self, addresses: list[str]) -> dict[str, Any]:
        groups = []
        for number in range(len(addresses) // 3):
            members = [
                {
                    "name": f"m{place}",
                    "address": addresses[3 * number + place],
                    "failure_domain": self._domain(place),
                    "connections": self._connections,
                    "slots": self._slots,
                }
                for place in range(3)
            ]
            groups.append({"name": f"group-{number}", "members": members})
        self.groups = [group["name"] for group in groups]
        digest = hashlib.sha256(CALLER_SECRET.encode()).hexdigest()
        caller = {"name": CALLER, "secret_sha256": [digest], "groups": self.groups}
        return {"groups": groups, "callers": [caller]}
