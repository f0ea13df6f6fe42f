"""The lease of the promotion duty: who may call for promotions, and until when.

The lease lies in the store. Its end is counted by the holder from before it sent the last renewal
that succeeded, and by the others from when they first saw the object unchanged, so that no clocks
are compared. An instance takes a lease before its end only if the holder's process is gone for
certain.
"""

import asyncio
import enum
import random

import loguru

from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.routing import model
from bilberrystack.routing import primary_change

_LOG = loguru.logger.bind(component="duty")

# A holder rides out an outage of the store of nearly this length; one that went dark is replaced
# after it.
LEASE_S = 8.0

# A holder stops so long before the end of its lease: a call for a promotion takes up to 0.6 s.
MARGIN_S = 1.0

RENEW_S = 2.0
RETRY_S = 0.3

# A machine with less power leaves the duty to others at its start; the holder of 200 instances took
# a quarter of a core.
SMALL_CORES = 1.0
SMALL_WAIT_S = 1.0

# Spreads the instances that look after the duty at the same time.
SEEK_SPREAD_S = 0.25

# An instance that gave the duty up because it hears too few others leaves it to them for so long.
BARRED_S = 2.0

# Time for the holder's process to say that it lives.
PROBE_S = 0.5

# Grants and calls of the former holder have ended after this time.
SETTLE_S = primary_change.PROMOTION_EFFECT_S


class CoordinatorLease:
    """The promotion duty as this instance sees it."""

    __slots__ = (
        "_barred_until_s",
        "_clock",
        "_counters",
        "_held",
        "_own",
        "_platform",
        "_released",
        "_renewed_at_s",
        "_seen",
        "_seen_at_s",
        "seek_after_s",
        "served_at_s",
        "settled_at_s",
    )

    def __init__(
        self,
        own: model.Instance,
        platform: interfaces.Platform,
        clock: interfaces.Clock,
        counted: counters.Counters,
    ) -> None:
        self._own = own
        self._platform = platform
        self._clock = clock
        self._counters = counted
        self._held: interfaces.Duty | None = None
        self._renewed_at_s = 0.0
        self._seen: interfaces.Duty | None = None
        self._seen_at_s = 0.0
        self._released = False
        self._barred_until_s = float("-inf")
        # Without grants for so long, the instance looks after the duty itself.
        self.seek_after_s = 0.0
        self.served_at_s = float("-inf")
        self.settled_at_s = 0.0

    @property
    def ends_at_s(self) -> float:
        """When this instance stops acting on its lease."""
        return self._renewed_at_s + LEASE_S - MARGIN_S

    @property
    def token(self) -> int | None:
        """The token to act with now; None if this instance doesn't hold the duty."""
        if self._held is None or self._clock() >= self.ends_at_s:
            return None
        return self._held.token

    @property
    def holder(self) -> model.Instance | None:
        """The holder as last seen in the store; None if there is none."""
        if self._held is not None:
            return self._own
        return None if self._seen is None else self._seen.holder

    async def keep(self) -> None:
        """Keeps or seeks the duty until cancelled."""
        wait_s = SMALL_WAIT_S if self._own.cores < SMALL_CORES else 0.0
        await asyncio.sleep(wait_s + random.uniform(0, SEEK_SPREAD_S))
        while True:
            if self._released:
                # The process is about to end; another instance takes the duty.
                await asyncio.Event().wait()
            try:
                await (self._seek() if self._held is None else self._renew())
            except interfaces.StoreFailure as failure:
                _LOG.info(
                    "duty's object not reached",
                    failure=type(failure).__name__,
                    detail=str(failure),
                    holding=self._held is not None,
                )
                await asyncio.sleep(RETRY_S * random.uniform(0.7, 1.3))

    async def _renew(self) -> None:
        held = self._held
        assert held is not None
        pause_s = self._renewed_at_s + RENEW_S - self._clock()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        if self._clock() >= self.ends_at_s + MARGIN_S:
            self._drop("lease ended without a renewal")
            return
        asked_at_s = self._clock()
        try:
            renewed = await self._platform.renew_duty(held)
        except interfaces.Conflict:
            # An own renewal without an answer may have changed the object.
            found = await self._platform.read_duty()
            if self._held is not held:
                return
            if found is None or found.token != held.token or not self._is_own(found):
                self._drop("another instance holds the duty")
            else:
                self._held = found
            return
        if self._held is held:
            self._held = renewed
            self._renewed_at_s = asked_at_s

    def _drop(self, reason: str) -> None:
        assert self._held is not None
        _LOG.warning("duty lost", reason=reason, token=self._held.token)
        self._counters.leases.inc({"change": "lost"})
        self._seen, self._held = None, None

    def _is_own(self, duty: interfaces.Duty) -> bool:
        return duty.holder is not None and duty.holder.incarnation == self._own.incarnation

    async def _seek(self) -> None:
        barred_s = self._barred_until_s - self._clock()
        if barred_s > 0:
            await asyncio.sleep(barred_s)
            return
        silent_s = self._clock() - self.served_at_s
        if self._seen is not None and silent_s < self.seek_after_s:
            await asyncio.sleep(self.seek_after_s - silent_s + random.uniform(0, SEEK_SPREAD_S))
            return
        found = await self._platform.read_duty()
        seen = self._seen
        if found is not None and (seen is None or found.revision != seen.revision):
            self._seen_at_s = self._clock()
        self._seen = found
        reason = await self._why_take(found)
        if reason:
            await self._take(found, reason)
        else:
            await asyncio.sleep(random.uniform(SEEK_SPREAD_S, 3 * SEEK_SPREAD_S))

    async def _why_take(self, found: interfaces.Duty | None) -> str:
        if found is None:
            return "nobody held it before"
        if found.holder is None:
            return "released"
        if found.holder.name == self._own.name:
            return "held by a former process of this instance"
        if self._clock() - self._seen_at_s >= LEASE_S + MARGIN_S:
            return "not renewed"
        match await look(found.holder):
            case Life.GONE:
                return "the holder's process is gone"
            case Life.ALIVE:
                # It has just said that it lives, so that the next look can wait.
                self.served_at_s = self._clock()
        return ""

    async def _take(self, found: interfaces.Duty | None, reason: str) -> None:
        asked_at_s = self._clock()
        try:
            taken = await self._platform.take_duty(self._own, found)
        except interfaces.Conflict:
            # Another instance was faster; the next look shows it.
            self._seen = None
            return
        if self._released:
            await self._platform.release_duty(taken)
            return
        self._held = taken
        self._renewed_at_s = asked_at_s
        self.settled_at_s = self._clock() + (0.0 if found is None else SETTLE_S)
        self._counters.leases.inc({"change": "taken"})
        _LOG.info(
            "duty taken",
            reason=reason,
            token=taken.token,
            former="" if found is None or found.holder is None else found.holder.name,
        )

    async def release(self) -> None:
        """Gives the duty up at a graceful stop."""
        self._released = True
        await self._give_up("stopping")

    async def resign(self, reason: str) -> None:
        """Gives the duty up, so that an instance in a better position takes it."""
        self._barred_until_s = self._clock() + BARRED_S
        held = self._held
        if held is None:
            return
        try:
            await self._platform.release_duty(held)
        except interfaces.StoreFailure as failure:
            # Nobody else can take a duty that is not given up in the store; it is kept.
            _LOG.info("duty kept", reason=reason, failure=type(failure).__name__)
            return
        if self._held is held:
            self._held = None
            self._counters.leases.inc({"change": "released"})
            _LOG.info("duty released", token=held.token, reason=reason)

    async def _give_up(self, reason: str) -> None:
        held, self._held = self._held, None
        if held is None:
            return
        self._counters.leases.inc({"change": "released"})
        _LOG.info("duty released", token=held.token, reason=reason)
        try:
            await self._platform.release_duty(held)
        except interfaces.StoreFailure as failure:
            _LOG.warning("duty's release not stored", failure=type(failure).__name__)


class Life(enum.Enum):
    """What a look at another instance's process has shown."""

    ALIVE = "alive"
    GONE = "gone"
    SILENT = "silent"


async def look(holder: model.Instance) -> Life:
    """Looks whether a process lives; it is certain to have ended if its port refuses or another
    lifetime answers.
    """
    try:
        reader, writer = await member_link.connect(holder.endpoint, 256, PROBE_S)
    except member_link.Refused:
        return Life.GONE
    except member_link.LinkFailure:
        return Life.SILENT
    try:
        member_link.write(writer, b"lifetime\n")
        async with asyncio.timeout(PROBE_S):
            answer = await member_link.read_line(reader)
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return Life.SILENT
    finally:
        writer.close()
    return Life.ALIVE if answer.decode(errors="replace") == holder.incarnation else Life.GONE
