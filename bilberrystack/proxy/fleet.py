"""All instances as one instance reaches them, for the configuration and for operators."""

import asyncio
import collections.abc
from typing import Protocol
from typing import TypeVar

from returns import result

from bilberrystack.core import reports
from bilberrystack.proxy import interfaces

# Calls to peers at the same time: a status of 660 instances takes about ten rounds.
MAX_CALLS = 64

CALL_LIMIT_S = 1.0

Answer = TypeVar("Answer")


class Instance(Protocol):
    """An instance, as core/membership.py describes it."""

    @property
    def id(self) -> str: ...

    @property
    def failure_domain(self) -> str: ...


class View(Protocol):
    """The view of all instances, as core/membership.py keeps it."""

    @property
    def live(self) -> collections.abc.Mapping[str, Instance]: ...

    def majority_contact_at(self, now: float) -> float | None: ...


class Own(Protocol):
    """This instance."""

    def digest(self) -> interfaces.Digest: ...

    def report(self, minutes: int) -> reports.InstanceReport: ...


Link = collections.abc.Callable[[str], interfaces.Peer | None]


class Fleet:
    """Calls to all live instances. Implements acceptance.Neighbours."""

    __slots__ = ("_link", "_own", "_versions", "_view")

    def __init__(self, own: Own, view: View, link: Link) -> None:
        """Creates a fleet.

        Args:
          own: This instance.
          view: The view of all instances.
          link: Returns the link to an instance by its id; None if it is not known.
        """
        self._own = own
        self._view = view
        self._link = link
        self._versions: dict[str, int] = {}

    @property
    def instance_count(self) -> int:
        """The number of live instances."""
        return len(self._view.live)

    @property
    def is_first(self) -> bool:
        """Whether no live instance has a lower id than this one."""
        return self._own.digest().instance <= min(self._view.live, default="")

    def majority_contact_at(self, now: float) -> float | None:
        """Returns the latest instant since which most failure domains were heard from."""
        return self._view.majority_contact_at(now)

    def note_version(self, instance: str, version: int) -> None:
        """Takes the configuration version that an instance named in a digest."""
        self._versions[instance] = max(version, self._versions.get(instance, 0))

    async def lagging(self, version: int) -> list[str]:
        """Returns the live instances that don't have at least a version.

        Instances that are not known to have it are asked; those that don't answer count as lagging.
        """
        digest = self._own.digest()
        live = self._view.live
        self._versions = {name: self._versions[name] for name in self._versions if name in live}
        self._versions[digest.instance] = digest.configuration_version
        behind = [name for name in live if self._versions.get(name, 0) < version]
        asked = [name for name in behind if name != digest.instance]
        answers = await self._call(asked, lambda peer: peer.digest(digest))
        for name, answer in zip(asked, answers, strict=True):
            if answer is not None:
                self.note_version(name, answer.configuration_version)
        return [name for name in behind if self._versions.get(name, 0) < version]

    async def push_head(self, head: bytes) -> None:
        """Sends a head to one instance of each failure domain.

        The next instance of a domain is tried if one doesn't take it.
        """
        digest = self._own.digest()
        domains: dict[str, list[str]] = {}
        for name, instance in self._view.live.items():
            if name != digest.instance:
                domains.setdefault(instance.failure_domain, []).append(name)
        await asyncio.gather(*(self._push(names, digest, head) for names in domains.values()))

    async def collect(self, minutes: int) -> list[reports.InstanceReply]:
        """Asks all live instances for their reports.

        Args:
          minutes: How many of their latest minutes to include.
        Returns:
          One answer for each instance, this one included.
        """
        now = asyncio.get_running_loop().time
        own = self._own.report(minutes)
        collected = [reports.InstanceReply(own.instance, own.failure_domain, own, now())]
        others = {name: one for name, one in self._view.live.items() if name != own.instance}

        async def ask(peer: interfaces.Peer) -> tuple[reports.InstanceReport | None, float]:
            asked_at = now()
            decoded = reports.decode(await peer.report(minutes))
            if isinstance(decoded, result.Failure):
                return None, asked_at
            return decoded.unwrap(), asked_at

        for (name, instance), answer in zip(
            others.items(), await self._call(list(others), ask), strict=True
        ):
            report, asked_at = answer or (None, now())
            collected.append(reports.InstanceReply(name, instance.failure_domain, report, asked_at))
        return collected

    async def _push(self, names: list[str], digest: interfaces.Digest, head: bytes) -> None:
        async def push(peer: interfaces.Peer) -> bool:
            await peer.push_head(digest, head)
            return True

        for name in names:
            if (await self._call([name], push))[0]:
                return

    async def _call(
        self,
        names: list[str],
        call: collections.abc.Callable[[interfaces.Peer], collections.abc.Awaitable[Answer]],
    ) -> list[Answer | None]:
        """Calls instances; the answer of one that can't be reached is None."""
        limit = asyncio.Semaphore(MAX_CALLS)

        async def one(name: str) -> Answer | None:
            peer = self._link(name)
            if peer is None:
                return None
            async with limit:
                try:
                    async with asyncio.timeout(CALL_LIMIT_S):
                        return await call(peer)
                except (interfaces.LinkLost, TimeoutError):
                    return None

        return list(await asyncio.gather(*(one(name) for name in names)))
