"""Datagrams between this instance and the holder of the promotion duty."""

import asyncio
import collections.abc
import contextlib
import typing

import loguru
import msgspec

from bilberrystack.core import positions
from bilberrystack.pooling import coordinator
from bilberrystack.pooling import coordinator_lease
from bilberrystack.pooling import directory
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import messages
from bilberrystack.pooling import pool
from bilberrystack.pooling import tasks
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission

_LOG = loguru.logger.bind(component="fleet")

# Grants last 1.5 s, so that two lost datagrams in a row do no harm.
HEARTBEAT_S = 0.4

# The same for an instance that owns no group and needs no grants: it says that it lives, which the
# holder doubts after 20 s, and which configuration it has.
IDLE_HEARTBEAT_S = 2.0

# Without grants for so many heartbeats, an instance looks after the duty itself.
SEEK_AFTER_PERIODS = 2.5

# Pause between a sight that the holder should know at once and its heartbeat.
URGENT_S = 0.01

# A change of primary that the holder doesn't end is over after this time for this instance.
LAPSE_S = 4.0

# Members' sights are reported while they are this young.
REPORT_S = 5.0


class Fleet(asyncio.DatagramProtocol):
    """Sends heartbeats to the duty's holder and takes its grants."""

    __slots__ = (
        "_clock",
        "_coordinator",
        "_directory",
        "_granted_at_s",
        "_groups",
        "_lease",
        "_own",
        "_shared_out",
        "_tasks",
        "_transport",
        "_urgent",
        "_withdrawn_at_s",
    )

    def __init__(
        self,
        *,
        own: model.Instance,
        lease: coordinator_lease.CoordinatorLease,
        watch: coordinator.Coordinator,
        groups: collections.abc.Mapping[str, group.Group],
        known: directory.Directory,
        clock: interfaces.Clock,
        running: tasks.Tasks,
    ) -> None:
        self._own = own
        self._lease = lease
        self._directory = known
        self._coordinator = watch
        self._groups = groups
        self._clock = clock
        self._tasks = running
        self._transport: asyncio.DatagramTransport | None = None
        self._urgent: asyncio.TimerHandle | None = None
        self._withdrawn_at_s: dict[str, float] = {}
        self._granted_at_s = float("-inf")
        self._shared_out = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open socket."""
        # uvloop's datagram transports don't derive from the standard library's class.
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Takes that an earlier datagram found nobody; the next heartbeat tries again."""
        _LOG.debug("datagram not delivered", error=str(exc))

    def send(self, message: messages.Message, to: model.Endpoint) -> None:
        """Sends a datagram."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(messages.encode(message), (to.host, to.port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a datagram."""
        try:
            message = messages.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            _LOG.warning("malformed datagram", sender=addr[0], error=str(error))
            return
        try:
            self._take(message, model.Endpoint(addr[0], addr[1]))
        except (ArithmeticError, LookupError, TypeError, ValueError) as error:
            # An exception here would close the socket, and with it all grants to this instance.
            _LOG.opt(exception=error).error("datagram not taken", sender=addr[0])

    def _take(self, message: messages.Message, sender: model.Endpoint) -> None:
        match message:
            case messages.Grants():
                self._take_grants(message)
            case messages.Withdrawal():
                self._withdraw(message, sender)
            case messages.Check(service, member):
                self._check(service, member)
            case messages.Leaving(lifetime):
                if self._is_holder(lifetime):
                    self._lease.served_at_s = float("-inf")
            case messages.Heartbeat() | messages.Acknowledgement():
                if isinstance(message, messages.Heartbeat):
                    self._directory.learn_version(message.configuration)
                self._coordinator.receive(message, sender)

    async def beat(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self._beat()
            self._end_lapsed()
            period_s = HEARTBEAT_S if self._owned() else IDLE_HEARTBEAT_S
            self._lease.seek_after_s = period_s * SEEK_AFTER_PERIODS
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s):
                    await self._shared_out.wait()
            self._shared_out.clear()

    def shared_out(self) -> None:
        """Sends a heartbeat at once, because this instance owns other groups than before."""
        self._shared_out.set()

    def _owned(self) -> list[str]:
        return [service for service, served in self._groups.items() if served.owned]

    def _beat(self) -> None:
        holder = self._lease.holder
        if holder is None or holder.incarnation == self._own.incarnation:
            return
        now_s = self._clock()
        reports = [
            report(one, now_s)
            for served in self._groups.values()
            for one in served.pools.values()
            if now_s - one.observations.contact_at_s < REPORT_S
            or one.observations.refusing_since_s is not None
        ]
        version = self._directory.version
        beat = messages.Heartbeat(
            self._own.name, self._own.incarnation, now_s, reports, version, self._owned()
        )
        self.send(beat, holder.endpoint)

    def beat_soon(self) -> None:
        """Sends a heartbeat at once, because a connection to a member was lost."""
        if self._urgent is None:
            self._urgent = asyncio.get_running_loop().call_later(URGENT_S, self._beat_now)

    def _beat_now(self) -> None:
        self._urgent = None
        self._beat()

    def _take_grants(self, message: messages.Grants) -> None:
        now_s = self._clock()
        if not self._is_holder(message.lifetime):
            return
        self._lease.served_at_s = now_s
        self._directory.learn_version(message.configuration)
        until_s = message.asked_at_s + message.valid_s
        for grant in message.grants:
            served = self._groups.get(grant.service)
            if served is None:
                continue
            leader = permission.Leader(grant.member, grant.term)
            if served.permission.grant(leader, until_s, (message.token, grant.change)):
                _LOG.info(
                    "primary by grant",
                    service=grant.service,
                    member=grant.member,
                    term=grant.term,
                    token=message.token,
                    change=grant.change,
                )
            self._withdrawn_at_s.pop(grant.service, None)
            served.relay = _relay(grant.relay)
            if grant.position is not None and served.permission.valid_at(leader, now_s):
                asked_at_s = message.asked_at_s - grant.position_age_s
                position = positions.Position(grant.position.term, grant.position.index)
                served.history.record(grant.term, freshness.Sample(asked_at_s, position))
            served.dispatch()

    def _is_holder(self, lifetime: str) -> bool:
        """Tells whether a process holds the duty, as this instance has last seen in the store."""
        holder = self._lease.holder
        return holder is not None and holder.incarnation == lifetime

    def _withdraw(self, message: messages.Withdrawal, sender: model.Endpoint) -> None:
        if not self._is_holder(message.lifetime):
            # An instance has grants only of the holder that it knows, so that none is in use here.
            _LOG.warning("withdrawal of another process", sender=str(sender), token=message.token)
            return
        served = self._groups.get(message.service)
        if served is not None:
            served.permission.withdraw((message.token, message.change))
            self._withdrawn_at_s.setdefault(message.service, self._clock())
            _LOG.info(
                "grant withdrawn",
                service=message.service,
                token=message.token,
                change=message.change,
            )
        done = messages.Acknowledgement(
            self._own.incarnation, message.token, message.service, message.change
        )
        self.send(done, sender)

    def _end_lapsed(self) -> None:
        """Ends changes that no holder has ended, so that the group isn't blocked for good."""
        now_s = self._clock()
        for service, since_s in list(self._withdrawn_at_s.items()):
            served = self._groups.get(service)
            if served is None or now_s - since_s < LAPSE_S:
                continue
            del self._withdrawn_at_s[service]
            served.permission.abandon_change()
            _LOG.warning("change of primary lapsed", service=service)
            served.dispatch()

    def _check(self, service: str, member: str) -> None:
        served = self._groups.get(service)
        if served is not None and member in served.pools:
            self._tasks.start(self._look(served, member))

    async def _look(self, served: group.Group, member: str) -> None:
        await served.probe(member)
        self._beat()


def report(one: pool.MemberPool, now_s: float) -> messages.Report:
    """Returns what the holder is told of a member."""
    sight = one.observations
    status = sight.status
    received = None if status is None else status.received_position
    return messages.Report(
        member=one.member.id,
        contact_age_s=min(now_s - sight.contact_at_s, 1e6),
        refused=sight.refusing_since_s is not None,
        status_age_s=min(now_s - sight.status_at_s, 1e6),
        primary=status is not None and status.primary,
        term=0 if status is None else status.term,
        received=None if received is None else messages.Position(received.term, received.index),
    )


def _relay(text: str) -> model.Endpoint | None:
    host, _, port = text.rpartition(":")
    return model.Endpoint(host, int(port)) if host and port.isdecimal() else None
