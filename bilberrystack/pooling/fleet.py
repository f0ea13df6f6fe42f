"""Datagrams between this instance and the coordinator."""

import asyncio
import collections
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
from bilberrystack.pooling import quota_gate
from bilberrystack.pooling import quota_messages
from bilberrystack.pooling import tasks
from bilberrystack.routing import freshness
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import running_time

_LOG = loguru.logger.bind(component="fleet")

# Interval between heartbeats of an instance that owns a group. Grants last 1.5 s, so that the loss
# of two datagrams in a row does no harm.
HEARTBEAT_INTERVAL_S = 0.4

# Interval between heartbeats of an instance that owns no group and needs no grants. Its heartbeats
# carry its configuration version, and show that it is alive: the coordinator removes its
# registration after 20 s without one.
IDLE_HEARTBEAT_INTERVAL_S = 2.0

# Number of heartbeat intervals without grants after which an instance reads the lease itself.
LEASE_CHECK_AFTER_INTERVALS = 2.5

# Delay of the heartbeat that follows the failure of a connection to a member, or a member's report
# that it is not the primary. Further failures within this time are reported in the same heartbeat.
URGENT_HEARTBEAT_DELAY_S = 0.01

# A withdrawal that no new grant has followed expires at this instance after this time.
WITHDRAWAL_EXPIRY_S = 4.0

# Members whose last contact is older than this are left out of the reports, unless their address
# refuses connections.
REPORTED_CONTACT_MAX_AGE_S = 5.0


class FleetProtocol(asyncio.DatagramProtocol):
    """Sends heartbeats to the coordinator and applies its grants and withdrawals.

    Attributes:
      registered: Whether the store has acknowledged the registration of this process.
    """

    __slots__ = (
        "_clock",
        "_coordinator",
        "_directory",
        "_granted_at_s",
        "_groups",
        "_ignored_coordinator",
        "_lease",
        "_own_instance",
        "_ownership_changed",
        "_quota",
        "_requested_at_s",
        "_running_time",
        "_tasks",
        "_transport",
        "_urgent_heartbeat",
        "_withdrawn_at_s",
        "_withdrawn_numbers",
        "registered",
    )

    def __init__(
        self,
        *,
        own_instance: model.Instance,
        lease: coordinator_lease.CoordinatorLease,
        local_coordinator: coordinator.Coordinator,
        groups: collections.abc.Mapping[str, group.Group],
        store_directory: directory.Directory,
        clock: interfaces.Clock,
        background_tasks: tasks.Tasks,
        quota: quota_gate.QuotaGate,
        running: running_time.RunningTime = running_time.ALWAYS_RUNNING,
    ) -> None:
        """Create a protocol without a socket.

        Args:
          own_instance: This instance.
          lease: This instance's view of the coordinator lease.
          local_coordinator: Receives the messages that are meant for the coordinator.
          groups: The groups by name.
          store_directory: The configuration, members and instances in the store.
          clock: Returns the current time in seconds.
          background_tasks: Runs the probes of members.
          quota: What this instance may use of the accounts' quotas.
          running: Time in which this process ran.
        """
        self._running_time = running
        self._own_instance = own_instance
        self._lease = lease
        self._directory = store_directory
        self._coordinator = local_coordinator
        self._groups = groups
        self._clock = clock
        self._tasks = background_tasks
        self._quota = quota
        self._quota.on_urgent = self.schedule_urgent_heartbeat
        self.registered = False
        self._transport: asyncio.DatagramTransport | None = None
        self._urgent_heartbeat: asyncio.TimerHandle | None = None
        self._withdrawn_at_s: dict[str, float] = {}
        # The incarnation whose grants were ignored last, so that each is logged once in a row.
        self._ignored_coordinator = ""
        # The newest acknowledged withdrawal of each group, also while the group is not configured.
        self._withdrawn_numbers: dict[str, permission.ChangeNumber] = {}
        self._granted_at_s = float("-inf")
        # When the heartbeats were sent whose answers may grant anything, the oldest first.
        self._requested_at_s: collections.deque[float] = collections.deque()
        self._ownership_changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        # uvloop's datagram transports don't derive from the standard library's class.
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Log that an earlier datagram was not delivered; the next heartbeat is a new attempt."""
        _LOG.debug("datagram not delivered", error=str(exc))

    def send(self, message: messages.Message, to: model.Endpoint) -> None:
        """Send a message as one datagram.

        Args:
          message: The message; it is dropped if the socket is closed.
          to: The receiver's address.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(messages.encode(message), (to.host, to.port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and handle a datagram."""
        try:
            message = messages.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            _LOG.warning("malformed datagram dropped", sender=addr[0], error=str(error))
            return
        try:
            self._handle(message, model.Endpoint(addr[0], addr[1]))
        except (ArithmeticError, LookupError, TypeError, ValueError) as error:
            # An exception here would close the socket, and with it end all grants to this instance.
            _LOG.opt(exception=error).error(
                "handling of a datagram failed; datagram dropped", sender=addr[0]
            )

    def _handle(self, message: messages.Message, sender: model.Endpoint) -> None:
        match message:
            case messages.Grants():
                self._apply_grants(message, sender)
            case messages.Withdrawal():
                self._apply_withdrawal(message, sender)
            case messages.ProbeRequest(service, member):
                self._start_probe(service, member)
            case messages.CoordinatorDeparture(incarnation):
                if self._is_coordinator(incarnation):
                    self._lease.coordinator_heard_at_s = float("-inf")
            case messages.CoordinatorAnnouncement(incarnation, token):
                self._answer_announcement(incarnation, token, sender)
            case messages.Heartbeat() | messages.Acknowledgement():
                if isinstance(message, messages.Heartbeat):
                    self._directory.observe_version(message.configuration_version, sender)
                self._coordinator.receive(message, sender)

    def _answer_announcement(self, incarnation: str, token: int, sender: model.Endpoint) -> None:
        """Send the quota claims to a new coordinator, and follow no earlier one in quotas."""
        now_s = self._clock()
        if not self._quota.allowances.apply(token, 0, (), now_s, now_s):
            return
        if not self._is_coordinator(incarnation) and self._owned_services():
            # Owners need its grants, and read the lease at once.
            self._lease.coordinator_heard_at_s = float("-inf")
        self._send_heartbeat_to(sender, now_s)

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._send_heartbeat()
            self._expire_withdrawals()
            interval_s = (
                HEARTBEAT_INTERVAL_S if self._owned_services() else IDLE_HEARTBEAT_INTERVAL_S
            )
            self._lease.check_after_s = interval_s * LEASE_CHECK_AFTER_INTERVALS
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._ownership_changed.wait()
            self._ownership_changed.clear()

    def notify_ownership_change(self) -> None:
        """Send a heartbeat at once, because the groups that this instance owns have changed."""
        self._ownership_changed.set()

    def _owned_services(self) -> list[str]:
        return [service for service, served_group in self._groups.items() if served_group.owned]

    def _send_heartbeat(self) -> None:
        receiver = self._lease.coordinator
        if receiver is None:
            return
        now_s = self._clock()
        if receiver.incarnation == self._own_instance.incarnation:
            self._exchange_own_quotas(now_s)
            return
        self._send_heartbeat_to(receiver.endpoint, now_s)

    def _send_heartbeat_to(self, receiver: model.Endpoint, now_s: float) -> None:
        reports = [
            member_report(member_pool, now_s)
            for served_group in self._groups.values()
            for member_pool in served_group.pools.values()
            if now_s - member_pool.observations.contact_at_s < REPORTED_CONTACT_MAX_AGE_S
            or member_pool.observations.refusing_since_s is not None
        ]
        while (
            self._requested_at_s and self._requested_at_s[0] < now_s - permission.GRANT_DURATION_S
        ):
            self._requested_at_s.popleft()
        self._requested_at_s.append(now_s)
        acknowledgement = self._lease.acknowledgement
        heartbeat = messages.Heartbeat(
            sender=self._own_instance.name,
            incarnation=self._own_instance.incarnation,
            sent_at_s=now_s,
            reports=reports,
            configuration_version=self._directory.version,
            owned_services=self._owned_services(),
            acknowledged_token=0 if acknowledgement is None else acknowledgement.token,
            acknowledged_at_s=0.0 if acknowledgement is None else acknowledgement.answered_at_s,
            registered=self.registered,
            quota_claims=quota_messages.encode_claims(self._quota.allowances.claims(now_s)),
        )
        self.send(heartbeat, receiver)

    def _exchange_own_quotas(self, now_s: float) -> None:
        """Claim and apply quotas at this instance, which is the coordinator itself."""
        token = self._lease.token
        if token is None:
            return
        claims = self._quota.allowances.claims(now_s)
        assignment = self._coordinator.assign_quotas(
            self._own_instance.incarnation, self._own_instance.name, claims, self.registered
        )
        if assignment is not None:
            self._quota.allowances.apply(
                token, assignment.number, assignment.shares, now_s, self._clock()
            )

    def release_quotas(self) -> None:
        """Give up all quotas at the end of the process, and tell the coordinator."""
        self._quota.allowances.release_all()
        self._send_heartbeat()

    def schedule_urgent_heartbeat(self) -> None:
        """Send a heartbeat after a short delay, because a member has failed or has stepped down."""
        if self._urgent_heartbeat is None:
            self._urgent_heartbeat = asyncio.get_running_loop().call_later(
                URGENT_HEARTBEAT_DELAY_S, self._send_urgent_heartbeat
            )

    def _send_urgent_heartbeat(self) -> None:
        self._urgent_heartbeat = None
        self._send_heartbeat()

    def _apply_grants(self, message: messages.Grants, sender: model.Endpoint) -> None:
        now_s = self._clock()
        if not self._is_coordinator(message.incarnation):
            self._log_ignored_grants(message, sender)
            return
        self._ignored_coordinator = ""
        self._lease.record_answer(
            message.token, message.answered_at_s, _to_told_renewal(message.renewal, now_s)
        )
        self._directory.observe_version(message.configuration_version, sender)
        if message.quotas is not None:
            self._quota.allowances.apply(
                message.token,
                message.quotas.number,
                quota_messages.decode_shares(message.quotas),
                message.requested_at_s,
                now_s,
            )
            if self._quota.allowances.urgent:
                self.schedule_urgent_heartbeat()
        if message.requested_at_s not in self._requested_at_s:
            # The answer to an earlier process at this address, whose clock may have been another
            # one, or an answer whose grants have ended.
            return
        for grant in message.grants:
            self._apply_grant(message, messages.ConditionalGrant(grant, []), now_s)
        for conditional in message.conditional_grants:
            self._apply_grant(message, conditional, now_s)

    def _log_ignored_grants(self, message: messages.Grants, sender: model.Endpoint) -> None:
        """Log grants of another coordinator than the one that this instance read in the store."""
        if message.incarnation == self._ignored_coordinator:
            return
        self._ignored_coordinator = message.incarnation
        known = self._lease.coordinator
        _LOG.warning(
            "grants ignored: their sender is not the known coordinator",
            sender=str(sender),
            coordinator=message.coordinator,
            token=message.token,
            known="" if known is None else known.name,
        )

    def _apply_grant(
        self,
        message: messages.Grants,
        conditional: messages.ConditionalGrant,
        now_s: float,
    ) -> None:
        """Apply a grant, whose condition may name no member."""
        grant = conditional.grant
        condition = frozenset(conditional.members)
        may_have_ended = frozenset(conditional.may_have_ended)
        served_group = self._groups.get(grant.service)
        if served_group is None:
            return
        leader = permission.Leader(grant.member, grant.term)
        until_s = message.requested_at_s + message.valid_s
        change_number = (message.token, grant.change_number)
        if change_number < self._withdrawn_numbers.get(grant.service, change_number):
            return
        if served_group.permission.grant(leader, until_s, change_number, condition, may_have_ended):
            _LOG.info(
                "grant names another primary than before",
                service=grant.service,
                member=grant.member,
                term=grant.term,
                token=message.token,
                change=grant.change_number,
            )
        self._withdrawn_at_s.pop(grant.service, None)
        served_group.relay = model.parse_endpoint(grant.relay_address)
        if grant.position is not None and served_group.permission.valid_at(leader, now_s):
            request_sent_at_s = message.requested_at_s - grant.position_age_s
            position = positions.Position(grant.position.term, grant.position.index)
            served_group.history.record(grant.term, freshness.Sample(request_sent_at_s, position))
        served_group.dispatch()

    def _is_coordinator(self, incarnation: str) -> bool:
        """Return whether a process is the coordinator, as this instance last read in the store."""
        current = self._lease.coordinator
        return current is not None and current.incarnation == incarnation

    def _apply_withdrawal(self, message: messages.Withdrawal, sender: model.Endpoint) -> None:
        if not self._is_coordinator(message.incarnation):
            # This instance accepts grants only from the coordinator that it knows, so that it uses
            # none of this sender.
            _LOG.warning(
                "withdrawal ignored: its sender is not the known coordinator",
                sender=str(sender),
                token=message.token,
            )
            return
        change_number = (message.token, message.change_number)
        self._withdrawn_numbers[message.service] = max(
            change_number, self._withdrawn_numbers.get(message.service, change_number)
        )
        served_group = self._groups.get(message.service)
        if served_group is not None:
            served_group.permission.withdraw(change_number)
            self._withdrawn_at_s.setdefault(message.service, self._clock())
            _LOG.info(
                "grant withdrawn",
                service=message.service,
                token=message.token,
                change=message.change_number,
            )
        acknowledgement = messages.Acknowledgement(
            self._own_instance.incarnation, message.token, message.service, message.change_number
        )
        self.send(acknowledgement, sender)

    def _expire_withdrawals(self) -> None:
        """End primary changes that no coordinator has ended, so that no group stays blocked."""
        now_s = self._clock()
        for service, withdrawn_at_s in list(self._withdrawn_at_s.items()):
            served_group = self._groups.get(service)
            withdrawn_for_s = self._running_time.elapsed_s(withdrawn_at_s, now_s)
            if served_group is None or withdrawn_for_s < WITHDRAWAL_EXPIRY_S:
                continue
            del self._withdrawn_at_s[service]
            served_group.permission.abandon_change()
            _LOG.warning(
                "primary change expired without a new grant; answers need confirmation",
                service=service,
            )
            served_group.dispatch()

    def _start_probe(self, service: str, member: str) -> None:
        served_group = self._groups.get(service)
        if served_group is not None and member in served_group.pools:
            self._tasks.start(self._probe_and_report(served_group, member))

    async def _probe_and_report(self, served_group: group.Group, member: str) -> None:
        await served_group.probe(member)
        self._send_heartbeat()


def member_report(member_pool: pool.MemberPool, now_s: float) -> messages.Report:
    """Return the report on a member that is sent to the coordinator.

    Args:
      member_pool: The connections to the member, and what is known about it.
      now_s: The current time.
    """
    observations = member_pool.observations
    status = observations.status
    received = None if status is None else status.received_position
    return messages.Report(
        member=member_pool.member.id,
        contact_age_s=min(now_s - observations.contact_at_s, 1e6),
        refused=observations.refusing_since_s is not None,
        status_age_s=min(now_s - observations.status_at_s, 1e6),
        primary=status is not None and status.primary,
        term=0 if status is None else status.term,
        received=None if received is None else messages.Position(received.term, received.index),
    )


def _to_told_renewal(
    renewal: messages.Renewal | None, now_s: float
) -> coordinator_lease.ToldRenewal | None:
    if renewal is None:
        return None
    revision = interfaces.Revision(renewal.era, renewal.revision)
    return coordinator_lease.ToldRenewal(
        revision, now_s - max(0.0, renewal.age_s), renewal.names_receiver
    )
