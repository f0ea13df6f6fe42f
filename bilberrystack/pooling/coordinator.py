"""What the holder of the promotion duty does: polls members, grants primaries, replaces them."""

import asyncio
import collections.abc
import dataclasses
import random

import loguru

from bilberrystack.core import positions
from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import counters
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import messages
from bilberrystack.pooling import pool
from bilberrystack.pooling import tasks
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import primary_change

_LOG = loguru.logger.bind(component="supervisor")

# How often decisions are taken; a change of primary goes forward by these steps.
STEP_S = 0.04

# How often the primary is asked for its status when nothing is amiss; a status takes a member's
# slot for 0.5 ms. Positions in the answers tell the instances what replicas need.
POLL_S = 0.4

# The same for replicas: a replica that has died is found by the requests that it doesn't answer.
POLL_REPLICA_S = 3.0

# The same during a change of primary.
POLL_CHANGE_S = 0.05

# A member that has not answered for so long, nor the last question, is looked at by others too.
SUSPECT_S = 0.4

# A question that has had no answer for so long is unanswered; members answer in milliseconds unless
# their slots are taken.
UNANSWERED_S = 0.2

# Instances that look at a suspected member at a time; a look is a connection that a member accepts.
WITNESSES = 8

# Instances whose heartbeat is older than this have no say.
REPORTER_S = 1.2

# Instances that were heard within this time speak for a primary that has gone silent; a heartbeat
# comes each 0.4 s, and at once when the holder asks.
VOICE_S = 0.6

# Instances that were heard within this time count for the majority that a holder has to hear.
MEMORY_S = 10.0

# An instance that has sent nothing for so long counts as gone, and its entry is removed: machines
# that are replaced leave theirs behind. One that returns announces itself anew.
GONE_S = 20.0

# Where more than this part is silent, the network is parted rather than the instances gone.
GONE_PART = 1 / 3

# A holder that hears less than half of them for so long gives the duty up.
ALONE_S = 1.0

# Repeats of a withdrawal until it is acknowledged.
WITHDRAW_AGAIN_S = 0.06


@dataclasses.dataclass(slots=True)
class _Reporter:
    """What another instance last reported."""

    name: str
    endpoint: model.Endpoint
    heard_at_s: float
    reports: dict[str, messages.Report]
    configuration: int
    owner: bool


@dataclasses.dataclass(slots=True)
class _Watched:
    """One group under the holder's eyes."""

    change: primary_change.PrimaryChange
    number: int = 0
    unacknowledged: dict[str, float] = dataclasses.field(default_factory=dict)
    granted: dict[str, float] = dataclasses.field(default_factory=dict)
    withdrawn_at_s: float = 0.0
    busy: bool = False


class Coordinator:
    """Acts for all groups while this instance holds the promotion duty."""

    __slots__ = (
        "_asked_at_s",
        "_clock",
        "_counters",
        "_dialect",
        "_groups",
        "_heard_at_s",
        "_held_since_s",
        "_lease",
        "_looking",
        "_own",
        "_platform",
        "_reporters",
        "_tasks",
        "_token",
        "_watched",
        "send",
    )

    def __init__(
        self,
        *,
        own: model.Instance,
        lease: coordinator_lease.CoordinatorLease,
        platform: interfaces.Platform,
        groups: collections.abc.Mapping[str, group.Group],
        dialect: interfaces.Dialect,
        clock: interfaces.Clock,
        running: tasks.Tasks,
        counted: counters.Counters,
    ) -> None:
        self._own = own
        self._lease = lease
        self._platform = platform
        self._groups = groups
        self._dialect = dialect
        self._clock = clock
        self._tasks = running
        self._counters = counted
        self._token: int | None = None
        self._heard_at_s = 0.0
        self._held_since_s = 0.0
        self._watched: dict[str, _Watched] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._asked_at_s: dict[str, float] = {}
        self._looking: set[str] = set()
        self.send: collections.abc.Callable[[messages.Message, model.Endpoint], None] = (
            lambda _message, _to: None
        )

    async def run(self) -> None:
        """Takes decisions until cancelled."""
        while True:
            self.step()
            await asyncio.sleep(STEP_S)

    def step(self) -> None:
        """Takes the decisions that are due, if this instance holds the duty."""
        token = self._lease.token
        if token != self._token:
            self._token = token
            self._watched.clear()
            self._reporters.clear()
            self._heard_at_s = self._held_since_s = self._clock()
        if token is None:
            return
        if self._is_alone():
            if self._clock() - self._heard_at_s > ALONE_S:
                self._heard_at_s = self._clock()
                self._tasks.start(self._lease.resign("too few instances are heard"))
        else:
            self._heard_at_s = self._clock()
        for service, served in list(self._groups.items()):
            watched = self._watched.get(service)
            if watched is None:
                change = primary_change.PrimaryChange(self._lease.settled_at_s)
                watched = self._watched[service] = _Watched(change)
            self._step_group(service, served, watched, token)
        for gone in self._watched.keys() - self._groups.keys():
            del self._watched[gone]

    def _is_alone(self) -> bool:
        """Tells whether less than half of the owners of late are heard now.

        Instances without connections to members see nothing of them, and send seldom.
        """
        now_s = self._clock()
        known = [
            one
            for one in self._reporters.values()
            if one.owner and now_s - one.heard_at_s < MEMORY_S
        ]
        heard = [one for one in known if now_s - one.heard_at_s < VOICE_S]
        return 2 * (len(heard) + 1) < len(known) + 1

    def gone(self, listed: collections.abc.Collection[model.Instance]) -> list[str]:
        """Returns the names of the instances that have left without a word.

        Args:
          listed: The instances in the store.
        """
        oldest_s = self._clock() - GONE_S
        if self._token is None or self._held_since_s > oldest_s or self._is_alone():
            return []
        heard = {one.name for one in self._reporters.values() if one.heard_at_s > oldest_s}
        silent = [one.name for one in listed if one.name not in heard | {self._own.name}]
        return silent if len(silent) <= len(listed) * GONE_PART else []

    def _step_group(self, service: str, served: group.Group, watched: _Watched, token: int) -> None:
        now_s = self._clock()
        self._poll(service, served, watched, now_s)
        self._repeat_withdrawal(service, watched, token, now_s)
        views = [self._view(served, one, now_s) for one in served.pools.values()]
        if watched.busy:
            return
        before = watched.change.phase
        grants_end_s = self._grants_end_s(watched)
        action = watched.change.step(views, grants_end_s, now_s, self._is_alone())
        if watched.change.phase is not before:
            _LOG.info(
                "change of primary goes on",
                service=service,
                phase=watched.change.phase.value,
                reason=watched.change.reason,
                token=token,
                members=[
                    f"{one.id} {'p' if one.primary else 'r'} {one.term} {one.received_position}"
                    f" {round(min(now_s - one.last_contact_at_s, 99) * 1000)}ms"
                    for one in views
                ],
            )
        match action:
            case primary_change.Withdraw():
                self._withdraw(service, served, watched, token, now_s)
            case primary_change.Fence(member, term):
                self._start(watched, self._fence(served, watched, member, term))
            case primary_change.Promote(member):
                self._start(watched, self._promote(service, watched, member))
        self._grant_self(served, watched, token, now_s)

    def _start(self, watched: _Watched, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Starts an action; the group's next step waits for its end."""
        watched.busy = True
        task = self._tasks.start(work)
        task.add_done_callback(lambda _: setattr(watched, "busy", False))

    def _poll(self, service: str, served: group.Group, watched: _Watched, now_s: float) -> None:
        change = watched.change
        steady = change.phase is primary_change.Phase.STEADY and not change.without_primary
        leader = watched.change.leader
        for member, one in served.pools.items():
            asked_at_s = self._asked_at_s.get(member, float("-inf"))
            leads = leader is None or leader.member == member
            pause_s = (POLL_S if leads else POLL_REPLICA_S) if steady else POLL_CHANGE_S
            if leads and steady and self._fresh(served, now_s):
                continue
            if member not in self._looking and now_s - asked_at_s >= pause_s:
                self._asked_at_s[member] = now_s
                self._looking.add(member)
                self._tasks.start(self._ask(served, member))
            if leads and _unanswered(one.observations.contact_at_s, asked_at_s, now_s):
                self._suspect(service, served, member, now_s)

    def _fresh(self, served: group.Group, now_s: float) -> bool:
        """Tells whether traffic alone has shown the primary's position lately."""
        age_s = served.history.newest_age_s(now_s)
        return age_s is not None and age_s < POLL_S

    async def _ask(self, served: group.Group, member: str) -> None:
        try:
            await served.query_member(member, self._dialect.status())
        finally:
            self._looking.discard(member)

    def _suspect(self, service: str, served: group.Group, member: str, now_s: float) -> None:
        """Lets this and some other instances look at a member that has gone silent."""
        self._asked_at_s[member] = now_s
        self._tasks.start(served.probe(member))
        reporters = [one for one in self._reporters.values() if one.owner]
        for reporter in random.sample(reporters, min(WITNESSES, len(reporters))):
            self.send(messages.Check(service, member), reporter.endpoint)

    def _view(
        self, served: group.Group, one: pool.MemberPool, now_s: float
    ) -> primary_change.MemberView:
        """Combines what this instance and the others see of a member."""
        sight = one.observations
        status = sight.status
        contact_at_s, status_at_s = sight.contact_at_s, sight.status_at_s
        primary = one.member.role is model.Role.PRIMARY if status is None else status.primary
        term = 0 if status is None else status.term
        received = None if status is None else status.received_position
        for reporter in self._reporters.values():
            found = reporter.reports.get(one.member.id)
            if found is None or now_s - reporter.heard_at_s > REPORTER_S:
                continue
            contact_at_s = max(contact_at_s, reporter.heard_at_s - found.contact_age_s)
            their_status_at_s = reporter.heard_at_s - found.status_age_s
            if found.term and their_status_at_s > status_at_s:
                status_at_s = their_status_at_s
                primary, term = found.primary, found.term
                received = _position(found.received)
        return primary_change.MemberView(
            id=one.member.id,
            in_store=one.member.id not in served.members_without_record,
            leaving=one.member.leaving,
            primary=primary,
            term=term,
            received_position=received,
            last_contact_at_s=contact_at_s,
            refusing_since_s=sight.refusing_since_s,
        )

    def _grants_end_s(self, watched: _Watched) -> float:
        return max(watched.unacknowledged.values(), default=float("-inf"))

    def _withdraw(
        self, service: str, served: group.Group, watched: _Watched, token: int, now_s: float
    ) -> None:
        watched.number += 1
        watched.unacknowledged = {
            lifetime: until_s for lifetime, until_s in watched.granted.items() if until_s > now_s
        }
        watched.granted.clear()
        served.permission.withdraw((token, watched.number))
        watched.withdrawn_at_s = float("-inf")
        self._repeat_withdrawal(service, watched, token, now_s)

    def _repeat_withdrawal(self, service: str, watched: _Watched, token: int, now_s: float) -> None:
        if not watched.unacknowledged or now_s - watched.withdrawn_at_s < WITHDRAW_AGAIN_S:
            return
        watched.withdrawn_at_s = now_s
        message = messages.Withdrawal(
            self._own.name, self._own.incarnation, token, service, watched.number
        )
        for lifetime, until_s in list(watched.unacknowledged.items()):
            if until_s < now_s:
                del watched.unacknowledged[lifetime]
            elif lifetime in self._reporters:
                self.send(message, self._reporters[lifetime].endpoint)

    async def _fence(self, served: group.Group, watched: _Watched, member: str, term: int) -> None:
        found = await served.query_member(member, self._dialect.demote(term))
        _LOG.info(
            "old primary asked to step back",
            service=served.service.name,
            member=member,
            term=term,
            stepped_back=found is not None and not found.primary,
        )
        if found is not None and not found.primary:
            watched.change.record_fenced()

    async def _promote(self, service: str, watched: _Watched, member: str) -> None:
        token = self._lease.token
        if token is None or token != self._token:
            watched.change.record_reply(
                member, primary_change.PromotionReply.NOT_MADE, self._clock()
            )
            return
        try:
            # A holder that was suspended meanwhile may have lost the duty to another instance.
            accepted = await self._platform.promote(
                service,
                member,
                self._own.name,
                token,
                may_send=lambda: self._lease.token == token,
            )
            answer = (
                primary_change.PromotionReply.ACCEPTED
                if accepted
                else primary_change.PromotionReply.REJECTED
            )
        except interfaces.NotDone as failure:
            answer = primary_change.PromotionReply.NOT_MADE
            _LOG.warning("promotion not called for", service=service, detail=str(failure))
        except interfaces.StoreFailure as failure:
            answer = primary_change.PromotionReply.UNKNOWN
            _LOG.warning("promotion not answered", service=service, detail=str(failure))
        self._counters.duty_calls.inc({"result": answer.value})
        _LOG.info(
            "promotion called for",
            service=service,
            member=member,
            token=token,
            answer=answer.value,
        )
        watched.change.record_reply(member, answer, self._clock())

    def _grant_self(self, served: group.Group, watched: _Watched, token: int, now_s: float) -> None:
        leader = watched.change.grantable_primary(now_s)
        if leader is None:
            return
        until_s = min(now_s + permission.GRANT_DURATION_S, self._lease.ends_at_s)
        if served.permission.grant(leader, until_s, (token, watched.number)):
            served.dispatch()

    def receive(
        self,
        message: messages.Heartbeat | messages.Acknowledgement,
        sender: model.Endpoint,
    ) -> None:
        """Takes a message of another instance to the holder."""
        if self._token is None or self._lease.token != self._token:
            return
        match message:
            case messages.Heartbeat():
                reports = {one.member: one for one in message.reports}
                now_s = self._clock()
                self._reporters[message.lifetime] = _Reporter(
                    name=message.sender,
                    endpoint=sender,
                    heard_at_s=now_s,
                    reports=reports,
                    configuration=message.configuration,
                    owner=bool(message.services),
                )
                self._grant(message, sender, self._token, now_s)
            case messages.Acknowledgement(lifetime, token, service, number):
                watched = self._watched.get(service)
                if watched is not None and (token, number) == (self._token, watched.number):
                    watched.unacknowledged.pop(lifetime, None)

    def _grant(
        self, beat: messages.Heartbeat, sender: model.Endpoint, token: int, now_s: float
    ) -> None:
        valid_s = min(permission.GRANT_DURATION_S, self._lease.ends_at_s - now_s)
        grants = []
        for service in beat.services:
            watched, served = self._watched.get(service), self._groups.get(service)
            leader = None if watched is None else watched.change.grantable_primary(now_s)
            if watched is None or served is None or leader is None:
                continue
            watched.granted[beat.lifetime] = now_s + valid_s
            grants.append(self._grant_of(served, leader, watched.number, beat, now_s))
        answer = messages.Grants(
            holder=self._own.name,
            lifetime=self._own.incarnation,
            token=token,
            asked_at_s=beat.sent_at_s,
            valid_s=valid_s,
            grants=grants,
            configuration=max(one.configuration for one in self._reporters.values()),
        )
        self.send(answer, sender)

    def _grant_of(
        self,
        served: group.Group,
        leader: permission.Leader,
        number: int,
        beat: messages.Heartbeat,
        now_s: float,
    ) -> messages.Grant:
        newest = served.history.newest_sample()
        position, age_s = None, 0.0
        if newest is not None and served.history.term == leader.term:
            position = messages.Position(newest.position.term, newest.position.index)
            age_s = now_s - newest.request_sent_at_s
        return messages.Grant(
            service=served.service.name,
            member=leader.member,
            term=leader.term,
            change=number,
            position=position,
            position_age_s=age_s,
            relay=self._relay(leader.member, beat.lifetime, now_s),
        )

    def _relay(self, member: str, asking: str, now_s: float) -> str:
        """Returns an instance that lately reached a member, for one that may not."""
        best, best_at_s = "", now_s - primary_change.UNRESPONSIVE_TIMEOUT_S
        for served in self._groups.values():
            one = served.pools.get(member)
            if one is not None and one.observations.contact_at_s > best_at_s:
                best, best_at_s = str(self._own.endpoint), one.observations.contact_at_s
        for lifetime, reporter in self._reporters.items():
            found = reporter.reports.get(member)
            if found is None or lifetime == asking:
                continue
            contact_at_s = reporter.heard_at_s - found.contact_age_s
            if contact_at_s > best_at_s:
                best, best_at_s = str(reporter.endpoint), contact_at_s
        return best

    def leave(self) -> None:
        """Tells the other instances that the duty is free."""
        if self._token is None:
            return
        message = messages.Leaving(self._own.incarnation, self._token)
        for reporter in self._reporters.values():
            self.send(message, reporter.endpoint)


def _unanswered(contact_at_s: float, asked_at_s: float, now_s: float) -> bool:
    """Tells whether a member is silent and owes the answer to a question."""
    return (
        now_s - contact_at_s >= SUSPECT_S
        and asked_at_s > contact_at_s
        and now_s - asked_at_s >= UNANSWERED_S
    )


def _position(found: messages.Position | None) -> positions.Position | None:
    return None if found is None else positions.Position(found.term, found.index)
