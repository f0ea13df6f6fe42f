"""The promotion requests of all groups: makes them, stores them for successors, and logs them."""

import asyncio
import collections.abc
import dataclasses

import loguru

from bilberrystack.pooling import counters
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import tasks
from bilberrystack.routing import member_view
from bilberrystack.routing import pending_promotions
from bilberrystack.routing import primary_change
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="supervisor")

# Time limit for storing a promotion request before it is made. While the store does not answer, the
# request is made without: a group without a primary serves no writes.
RECORD_TIMEOUT_S = 0.2

# Pause before a promotion request that was made without a record is stored again.
RECORD_RETRY_DELAY_S = 0.5

# Pause before the record of a promotion request is removed again after a failure.
RECORD_REMOVAL_RETRY_DELAY_S = 2.0

# Maximum number of promotion requests that are remembered for log lines.
MAX_REMEMBERED_REQUESTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A promotion request that is about to be made.

    Attributes:
      service: Name of the database group.
      member: Id of the member to promote.
      number: Number of the request among the pending ones of the group.
      replaced_term: Term of the primary that it replaces; 0 if none is known.
      change_number: Number of the primary change.
      coordinator: Name of this instance.
      token: Its fencing token.
    """

    service: str
    member: str
    number: int
    replaced_term: int
    change_number: int
    coordinator: str
    token: int

    @property
    def record(self) -> interfaces.PromotionRecord:
        """The request as it is stored.

        Each record has a name of its own: the removal of an earlier one may be carried out late.
        """
        name = f"{self.service}.{self.member}.{self.token}.{self.number}"
        return interfaces.PromotionRecord(name, self.service, self.member, self.replaced_term)


@dataclasses.dataclass(frozen=True, slots=True)
class _RememberedRequest:
    """A promotion request that has not been seen to take effect, also if it is no longer pending.

    Attributes:
      replaced_term: Term of the primary that it replaces.
      requested_at_s: When it was sent, or when this instance learned of it.
      own: Whether this instance has sent it.
    """

    replaced_term: int
    requested_at_s: float
    own: bool


class PromotionRequests:
    """The promotion requests of all coordinators that this instance knows of."""

    __slots__ = (
        "_clock",
        "_metrics",
        "_pending",
        "_platform",
        "_records",
        "_remembered",
        "_running_time",
        "_tasks",
    )

    def __init__(
        self,
        platform: interfaces.Platform,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
        metrics: counters.Counters,
        running: running_time.RunningTime,
    ) -> None:
        """Create a collection that knows of no request.

        Args:
          platform: Takes the requests, and stores their records.
          clock: Returns the current time in seconds.
          background_tasks: Runs the removal of records.
          metrics: Counts the requests.
          running: Time in which this process ran.
        """
        self._platform = platform
        self._clock = clock
        self._tasks = background_tasks
        self._metrics = metrics
        self._running_time = running
        self._pending: dict[str, pending_promotions.PendingPromotions] = {}
        # The records in the store, by group and number of the request.
        self._records: dict[tuple[str, int], interfaces.PromotionRecord] = {}
        # The last request by group and member, for log lines and metrics only.
        self._remembered: dict[tuple[str, str], _RememberedRequest] = {}

    @property
    def pending_count(self) -> int:
        """Number of the members that may become the primary of their group at any moment."""
        return sum(len(requests.members) for requests in self._pending.values())

    def pending_of(self, service: str) -> pending_promotions.PendingPromotions:
        """Return the pending requests of a group."""
        return self._pending.setdefault(
            service, pending_promotions.PendingPromotions(self._running_time)
        )

    def load(self, records: collections.abc.Iterable[interfaces.PromotionRecord]) -> None:
        """Take account of the requests of earlier coordinators, which may still take effect."""
        known_names = {record.name for record in self._records.values()}
        for record in records:
            if record.name in known_names:
                continue
            pending, now_s = self.pending_of(record.service), self._clock()
            if record.repeatable:
                number = pending.add_repeatable(record.member, now_s)
            else:
                number = pending.add_earlier(record.member, record.replaced_term, now_s)
                self._remember(record, own=False)
            self._records[record.service, number] = record
            _LOG.info(
                "promotion request of an earlier coordinator may still take effect",
                service=record.service,
                member=record.member,
                replaced_term=record.replaced_term,
                repeatable=record.repeatable,
            )

    def add_unrecorded(self, service: str, members: frozenset[str]) -> None:
        """Take account of a request without a record, which may promote one of some members."""
        pending, now_s = self.pending_of(service), self._clock()
        for member in sorted(members):
            pending.add_repeatable(member, now_s)
        _LOG.info(
            "an earlier coordinator may have requested a promotion without a record",
            service=service,
            members=sorted(members),
        )

    async def make(
        self, request: Request, may_send: collections.abc.Callable[[], bool]
    ) -> primary_change.PromotionReply:
        """Store a request and send it to the platform.

        Args:
          request: The request.
          may_send: Checked right before the request is sent.
        """
        fields = {
            "service": request.service,
            "member": request.member,
            "token": request.token,
            "change": request.change_number,
            "replaced_term": request.replaced_term,
        }
        stored = await self._store(request)
        if not stored:
            self._tasks.start(self._store_while_pending(request))
        _LOG.info("promotion request sent", **fields, stored=stored)
        sent_at_s = self._clock()
        self._remember(request.record, own=True)
        reply = await self._send(request, may_send)
        self._metrics.promotion_calls.inc({"result": reply.value})
        _LOG.info(
            "promotion requested",
            **fields,
            answer=reply.value,
            took_ms=round((self._clock() - sent_at_s) * 1000),
        )
        return reply

    async def _store(self, request: Request) -> bool:
        """Store a request before it is made; return whether the store has acknowledged it.

        A coordinator that follows reads it.
        """
        record = request.record
        self._records[request.service, request.number] = record
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await self._platform.record_promotion(record)
        except (interfaces.StoreFailure, TimeoutError) as failure:
            _LOG.warning(
                "promotion request not stored; a successor would not know of it",
                service=record.service,
                member=record.member,
                failure=type(failure).__name__,
            )
            return False
        return True

    async def _store_while_pending(self, request: Request) -> None:
        """Try again to store a request that was made without a record, while it may act."""
        key, name = (request.service, request.number), request.record.name
        stored = False
        while not stored:
            await asyncio.sleep(RECORD_RETRY_DELAY_S)
            record = self._records.get(key)
            if record is None:
                break
            try:
                await self._platform.record_promotion(record)
                stored = True
            except interfaces.Conflict:
                # An earlier attempt without an answer has stored it.
                stored = True
            except interfaces.StoreFailure:
                pass
        if key not in self._records:
            # The removal may have been executed before an attempt to store it.
            await self._remove_record(name)
            return
        _LOG.info(
            "promotion request stored after it was made",
            service=request.service,
            member=request.member,
        )

    async def _send(
        self, request: Request, may_send: collections.abc.Callable[[], bool]
    ) -> primary_change.PromotionReply:
        """Send a request to the platform."""
        try:
            accepted = await self._platform.promote(
                request.service,
                request.member,
                request.coordinator,
                request.token,
                may_send=may_send,
            )
        except interfaces.NotDone as failure:
            _LOG.warning(
                "promotion request had no effect; the primary change tries again",
                service=request.service,
                detail=str(failure),
            )
            return primary_change.PromotionReply.NOT_MADE
        except interfaces.StoreFailure as failure:
            _LOG.warning(
                "promotion request has an unknown outcome; it may still take effect",
                service=request.service,
                detail=str(failure),
            )
            return primary_change.PromotionReply.UNKNOWN
        return (
            primary_change.PromotionReply.ACCEPTED
            if accepted
            else primary_change.PromotionReply.REJECTED
        )

    def record_resolved(self, service: str) -> None:
        """Update the records of a group's requests that are no longer pending or repeatable."""
        for resolved in self.pending_of(service).take_resolved():
            _LOG.info(
                "promotion request no longer pending",
                service=service,
                member=resolved.member,
                resolution=resolved.resolution.value,
                **self._describe(service, resolved.member),
            )
            if resolved.resolution is pending_promotions.Resolution.IN_EFFECT:
                self._remembered.pop((service, resolved.member), None)
            if self.pending_of(service).contains(resolved.number):
                self._tasks.start(self._mark_repeatable(service, resolved.number))
            else:
                self.remove_record(service, resolved.number)

    async def _mark_repeatable(self, service: str, number: int) -> None:
        """Store that a request is repeatable, so that a successor does not wait for its effect.

        It is not tried again: a successor that takes the request for pending grants too little.
        """
        record = self._records.get((service, number))
        if record is None:
            return
        record = self._records[service, number] = dataclasses.replace(record, repeatable=True)
        try:
            await self._platform.update_promotion_record(record)
        except interfaces.StoreFailure as failure:
            _LOG.info(
                "record of a promotion request not updated; a successor waits for its effect",
                record=record.name,
                failure=type(failure).__name__,
            )

    def remove_record(self, service: str, number: int) -> None:
        """Begin to remove the record of a request that can't take effect any more."""
        record = self._records.pop((service, number), None)
        if record is not None:
            self._tasks.start(self._remove_record(record.name))

    async def _remove_record(self, name: str) -> None:
        """Remove a record, also if the store is away for a time.

        A later coordinator would take the request for pending, and give no grants because of it.
        """
        while True:
            try:
                await self._platform.remove_promotion_record(name)
            except interfaces.StoreFailure as failure:
                _LOG.info(
                    "record of a promotion request not removed; trying again",
                    record=name,
                    failure=type(failure).__name__,
                )
                await asyncio.sleep(RECORD_REMOVAL_RETRY_DELAY_S)
            else:
                return

    def _remember(self, record: interfaces.PromotionRecord, *, own: bool) -> None:
        """Remember a request for later log lines."""
        key = (record.service, record.member)
        self._remembered.pop(key, None)
        self._remembered[key] = _RememberedRequest(record.replaced_term, self._clock(), own)
        if len(self._remembered) > MAX_REMEMBERED_REQUESTS:
            del self._remembered[next(iter(self._remembered))]

    def _describe(self, service: str, member: str) -> dict[str, int | bool]:
        """Return what is remembered of the last request that names a member, for a log line."""
        request = self._remembered.get((service, member))
        if request is None:
            return {}
        return {
            "replaced_term": request.replaced_term,
            "request_age_ms": round((self._clock() - request.requested_at_s) * 1000),
            "own_request": request.own,
        }

    def record_newer_primary(
        self, service: str, primary: member_view.MemberView, former_term: int, token: int | None
    ) -> None:
        """Log a primary of a newer term, with the request that may have led to it.

        It is called before pending requests are compared with the same reports.

        Args:
          service: Name of the database group.
          primary: The primary.
          former_term: Term of the primary before; 0 if it is the first one under a lease, which may
            have led before.
          token: The coordinator's fencing token.
        """
        key = (service, primary.id)
        request = "ended" if key in self._remembered else "none"
        if self.pending_of(service).names(primary.id):
            request = "pending"
        elif primary.id in self.pending_of(service).repeatable:
            request = "repeated"
        _LOG.info(
            "primary of a newer term seen",
            service=service,
            member=primary.id,
            term=primary.term,
            former_term=former_term,
            token=token,
            request=request,
            **self._describe(service, primary.id),
        )
        if request == "ended":
            del self._remembered[key]
        if former_term > 0:
            self._metrics.newer_primaries.inc({"request": request})
