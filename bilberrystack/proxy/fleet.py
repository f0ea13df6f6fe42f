"""Calls from one instance to all live instances, for configuration changes and operators."""

import asyncio
import collections.abc
from typing import Protocol
from typing import TypeVar

from returns import result

from bilberrystack.core import reports
from bilberrystack.proxy import interfaces

# Maximum number of concurrent calls to peers. A status of 660 instances takes about ten rounds.
MAX_CONCURRENT_CALLS = 64

CALL_TIMEOUT_S = 1.0

Answer = TypeVar("Answer")


class Instance(Protocol):
    """The identity of an instance; see core/membership.py."""

    @property
    def id(self) -> str: ...

    @property
    def failure_domain(self) -> str: ...


class MembershipView(Protocol):
    """The membership view of all instances; see core/membership.py."""

    @property
    def live(self) -> collections.abc.Mapping[str, Instance]: ...

    def majority_contact_at(self, now: float) -> float | None: ...


class LocalInstance(Protocol):
    """What this instance reports about itself."""

    def digest(self) -> interfaces.Digest: ...

    def report(self, minutes: int) -> reports.InstanceReport: ...


LinkLookup = collections.abc.Callable[[str], interfaces.Peer | None]


class Fleet:
    """Calls to all live instances. Implements acceptance.Fleet and operators.Fleet."""

    __slots__ = ("_find_link", "_known_versions", "_local_instance", "_view")

    def __init__(
        self, local_instance: LocalInstance, view: MembershipView, find_link: LinkLookup
    ) -> None:
        """Create a fleet.

        Args:
          local_instance: This instance.
          view: The membership view of all instances.
          find_link: Returns the link to an instance by its id; None if the instance is unknown.
        """
        self._local_instance = local_instance
        self._view = view
        self._find_link = find_link
        self._known_versions: dict[str, int] = {}

    @property
    def instance_count(self) -> int:
        """The number of live instances."""
        return len(self._view.live)

    @property
    def has_lowest_id(self) -> bool:
        """Whether no live instance has a lower id than this one."""
        return self._local_instance.digest().instance <= min(self._view.live, default="")

    def majority_contact_at(self, now: float) -> float | None:
        """Return the latest time since which a majority of failure domains has sent a message."""
        return self._view.majority_contact_at(now)

    def record_version(self, instance: str, version: int) -> None:
        """Record the configuration version that an instance announced in a digest."""
        self._known_versions[instance] = max(version, self._known_versions.get(instance, 0))

    async def lagging_instances(self, version: int) -> list[str]:
        """Return the ids of the live instances whose configuration is older than a version.

        Instances not known to have the version are called; those that don't answer are included.
        """
        digest = self._local_instance.digest()
        live = self._view.live
        self._known_versions = {
            name: self._known_versions[name] for name in self._known_versions if name in live
        }
        self._known_versions[digest.instance] = digest.configuration_version
        behind = [name for name in live if self._known_versions.get(name, 0) < version]
        called = [name for name in behind if name != digest.instance]
        answers = await self._call_instances(called, lambda peer: peer.digest(digest))
        for name, answer in zip(called, answers, strict=True):
            if answer is not None:
                self.record_version(name, answer.configuration_version)
        return [name for name in behind if self._known_versions.get(name, 0) < version]

    async def push_head(self, head: bytes) -> None:
        """Send a head to one instance of each failure domain.

        If the call of an instance fails, the next instance of its domain is tried.
        """
        digest = self._local_instance.digest()
        domains: dict[str, list[str]] = {}
        for name, instance in self._view.live.items():
            if name != digest.instance:
                domains.setdefault(instance.failure_domain, []).append(name)
        await asyncio.gather(*(self._push(names, digest, head) for names in domains.values()))

    async def collect_reports(self, minutes: int) -> list[reports.InstanceReply]:
        """Request the reports of all live instances.

        Args:
          minutes: The number of latest minutes to include in each report.
        Returns:
          One reply per live instance, including this one. The report of an instance that did not
          answer is None.
        """
        now = asyncio.get_running_loop().time
        own_report = self._local_instance.report(minutes)
        collected = [
            reports.InstanceReply(own_report.instance, own_report.failure_domain, own_report, now())
        ]
        others = {
            name: instance
            for name, instance in self._view.live.items()
            if name != own_report.instance
        }

        async def request_report(
            peer: interfaces.Peer,
        ) -> tuple[reports.InstanceReport | None, float]:
            requested_at = now()
            decoded = reports.decode(await peer.report(minutes))
            if isinstance(decoded, result.Failure):
                return None, requested_at
            return decoded.unwrap(), requested_at

        for (name, instance), answer in zip(
            others.items(), await self._call_instances(list(others), request_report), strict=True
        ):
            report, requested_at = answer or (None, now())
            collected.append(
                reports.InstanceReply(name, instance.failure_domain, report, requested_at)
            )
        return collected

    async def _push(self, names: list[str], digest: interfaces.Digest, head: bytes) -> None:
        async def push(peer: interfaces.Peer) -> bool:
            await peer.push_head(digest, head)
            return True

        for name in names:
            if (await self._call_instances([name], push))[0]:
                return

    async def _call_instances(
        self,
        names: list[str],
        call: collections.abc.Callable[[interfaces.Peer], collections.abc.Awaitable[Answer]],
    ) -> list[Answer | None]:
        """Call instances concurrently; the answer of an instance that can't be reached is None."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def call_instance(name: str) -> Answer | None:
            peer = self._find_link(name)
            if peer is None:
                return None
            async with semaphore:
                try:
                    async with asyncio.timeout(CALL_TIMEOUT_S):
                        return await call(peer)
                except (interfaces.LinkLost, TimeoutError):
                    return None

        return list(await asyncio.gather(*(call_instance(name) for name in names)))
