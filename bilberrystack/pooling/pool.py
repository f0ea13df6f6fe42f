"""This instance's connections to one member, and its observations of that member."""

import collections.abc
import dataclasses
import math

from bilberrystack.admission import window
from bilberrystack.core import positions
from bilberrystack.placement import selection
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.routing import model
from bilberrystack.routing import replica_lag
from bilberrystack.routing import statements

# Delay before the next attempt to connect to an address that refused or did not answer.
RETRY_OPEN_S = 0.15

# A member without a connection counts as one that can't serve for this long after an attempt to
# open one has failed, so that attempts each RETRY_OPEN_S don't make it a choice again and again.
UNUSABLE_S = 1.0

# After a member has rejected a connection because of its limit, no additional connection is tried
# for this long: connections of an instance that lost power stay open at the member for 3 s.
LIMIT_BACKOFF_S = 1.0

# Back-off after a rejection because of the limit, for an instance that has no connection to the
# member.
LIMIT_BACKOFF_WITHOUT_LINK_S = 0.25

# A connection beyond the number to keep is closed after it has been idle for this long.
SURPLUS_IDLE_S = 0.7

# How long connections are opened through another instance before a direct connection is tried
# again.
RELAY_PERIOD_S = 3.0

# For this long after its start, and after a member has rejected a connection because of its limit,
# an instance opens a single connection to the member: connections of instances that lost power
# stay open at the member for 3 s and leave few to share.
REDUCED_SHARE_S = 3.2

# The same where connections belong to client accounts, after a rejection only: few instances own a
# group there.
REDUCED_ACCOUNT_LINKS = 3

# Within REDUCED_SHARE_S a request that has waited this long may open a second connection: the first
# may be pinned by a transaction whose client is idle.
SECOND_LINK_WAIT_S = 0.1

# Weight of the newest statement in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1

# Service time that is assumed before the first statement has been measured.
INITIAL_SERVICE_TIME_S = 0.015


@dataclasses.dataclass(slots=True)
class Observations:
    """What a member's answers and connection attempts have shown.

    Instants are in seconds of the instance's clock.

    Attributes:
      contact_at_s: When the member last answered.
      refusing_since_s: Since when the member's address refuses connections; None if it doesn't.
      status: The member's last status report; None if it has sent none.
      status_at_s: When the query for that status report was sent.
      primary_position: The log position in the answer that contained that report, like in all other
        answers; None unless the member leads and has applied its log. A report's own position is
        that of the last entry received.
      position: The highest log position in any answer; None if no answer showed one.
      lag: Estimate of how far the member's log is behind the primary's.
      suspected: Whether a statement has waited long for its answer and nothing has arrived since.
      address_taken: Whether another member has answered at the member's address, and the member has
        accepted no connection since.
    """

    contact_at_s: float = float("-inf")
    refusing_since_s: float | None = None
    status: statements.MemberStatus | None = None
    status_at_s: float = float("-inf")
    primary_position: positions.Position | None = None
    position: positions.Position | None = None
    lag: replica_lag.LagEstimate = dataclasses.field(default_factory=replica_lag.LagEstimate)
    suspected: bool = False
    address_taken: bool = False


class MemberPool:
    """The connections to one member.

    Attributes:
      member: The member, as its record in the store says.
      leaving_since_s: When this instance learned that the member leaves; None if it doesn't leave.
      opening_links: Number of connections that are being opened.
      in_flight: Number of statements that the member has not answered.
      unsent: Number of requests that have a connection and have not sent their first statement.
      transactions: Number of connections that transactions hold.
      service_time_s: Moving average of the time that the member takes for a statement.
      limit_backoff_until_s: Until when no connection is opened because the member rejected one.
      relay_until_s: Until when connections are opened through another instance.
      observations: What the member's answers have shown.
      window: Limit of the statements that may be in flight.
    """

    __slots__ = (
        "_clock",
        "_limit_hit_at_s",
        "_links",
        "_reduced_share_until_s",
        "_retry_open_at_s",
        "in_flight",
        "leaving_since_s",
        "limit_backoff_until_s",
        "member",
        "observations",
        "opening_links",
        "relay_until_s",
        "service_time_s",
        "transactions",
        "unsent",
        "window",
    )

    def __init__(self, member: model.Member, clock: interfaces.Clock) -> None:
        self.member = member
        self.leaving_since_s = clock() if member.leaving else None
        self.opening_links = 0
        self.in_flight = 0
        self.unsent = 0
        self.transactions = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.limit_backoff_until_s = float("-inf")
        self.relay_until_s = float("-inf")
        self.observations = Observations()
        self.window = window.ConcurrencyWindow()
        self._clock = clock
        self._links: list[member_link.MemberLink] = []
        self._limit_hit_at_s = float("-inf")
        self._reduced_share_until_s = clock() + REDUCED_SHARE_S
        self._retry_open_at_s = float("-inf")

    def update(self, member: model.Member) -> None:
        """Apply a changed record of the member."""
        self.member = member
        if not member.leaving:
            self.leaving_since_s = None
        elif self.leaving_since_s is None:
            self.leaving_since_s = self._clock()

    @property
    def link_count(self) -> int:
        """Number of connections that are open or being opened.

        A transaction keeps a connection that has ended until its client's next statement; the
        member does not count it any more.
        """
        return sum(link.usable for link in self._links) + self.opening_links

    @property
    def connected(self) -> bool:
        """Whether there is any open connection, idle or in use."""
        return bool(self._links)

    def idle_links(
        self, ignore_window: bool = False, account: str | None = None
    ) -> list[member_link.MemberLink]:
        """Return the connections that are free to use, after discarding closed ones.

        Args:
          ignore_window: Whether the limit of statements in flight does not apply.
          account: Account whose connections are returned, empty for the instance's own; None for
            all.
        Returns:
          The idle connections; an empty list if the window has no room.
        """
        for link in [link for link in self._links if not link.in_use and not link.usable]:
            self.discard(link)
        if not ignore_window and not self.window.has_room(self.in_flight):
            return []
        return [
            link
            for link in self._links
            if not link.in_use and (account is None or link.account == account)
        ]

    def evict_other_account(self, account: str) -> None:
        """Close the connection of another account that has been idle for longest, if any is idle.

        Args:
          account: Account that a connection is about to be opened for.
        """
        others = [link for link in self._links if not link.in_use and link.account != account]
        if others:
            self.discard(min(others, key=lambda link: link.idle_since_s))

    def unreachable(self, now_s: float) -> bool:
        """Return whether there is no connection and the last attempt to open one just failed."""
        return not self._links and now_s < self._retry_open_at_s

    def connection_limit_reached(self, now_s: float) -> bool:
        """Return whether there is no connection and the member recently rejected one."""
        return not self._links and now_s < self.limit_backoff_until_s + RETRY_OPEN_S

    def may_open(self, max_links: int, waited_s: float, now_s: float, account: str = "") -> bool:
        """Return whether another connection may be opened now.

        Args:
          max_links: Number of connections that the instance may have to the member.
          waited_s: How long the request that requires the connection has waited.
          now_s: The current time.
          account: Account that the connection is for; it may take the place of an idle one of
            another account.
        """
        if now_s < self._retry_open_at_s or now_s < self.limit_backoff_until_s:
            return False
        if not self.window.has_room(self.in_flight + self.opening_links):
            return False
        if account:
            # A single connection would change hands with each statement of another account.
            reduced = now_s < self._limit_hit_at_s + REDUCED_SHARE_S
            max_links = min(max_links, REDUCED_ACCOUNT_LINKS) if reduced else max_links
            evictable = sum(not link.in_use and link.account != account for link in self._links)
            return self.link_count - evictable < max_links
        if now_s < self._reduced_share_until_s:
            max_links = 1 if waited_s < SECOND_LINK_WAIT_S else 2
        return self.link_count < max_links

    def can_add_link(self, max_links: int, now_s: float, account: str = "") -> bool:
        """Return whether a connection is being opened, or may be for a waiting request.

        Args:
          max_links: Number of connections that the instance may have to the member.
          now_s: The current time.
          account: Account that the connection is for.
        """
        return self.opening_links > 0 or self.may_open(max_links, math.inf, now_s, account)

    def add(self, link: member_link.MemberLink) -> None:
        """Add a connection that has just been opened."""
        self._links.append(link)
        self.observations.address_taken = False
        self.record_contact()

    def take_back(self, link: member_link.MemberLink) -> member_link.MemberLink:
        """Take a connection back from the request that acquired it.

        Args:
          link: The connection, which that request can't use any more.
        Returns:
          The connection, not in use.
        """
        returned = link.transfer()
        self._links = [returned if known is link else known for known in self._links]
        returned.idle_since_s = self._clock()
        return returned

    def discard(self, link: member_link.MemberLink) -> None:
        """Close a connection and remove it from the pool."""
        link.close()
        if link in self._links:
            self._links.remove(link)

    def close_surplus(self, max_links: int, now_s: float) -> None:
        """Close connections beyond a number that have been idle for `SURPLUS_IDLE_S`.

        Args:
          max_links: Number of connections to keep.
          now_s: The current time.
        """
        idle = sorted(self.idle_links(ignore_window=True), key=lambda link: link.idle_since_s)
        for link in idle[: max(0, len(self._links) - max_links)]:
            if now_s - link.idle_since_s >= SURPLUS_IDLE_S:
                self.discard(link)

    def close(self) -> None:
        """Close all connections."""
        for link in list(self._links):
            self.discard(link)

    def record_contact(self) -> None:
        """Record that the member has answered."""
        self.observations.contact_at_s = self._clock()
        self.observations.refusing_since_s = None
        self.observations.suspected = False

    def record_open_failure(self, failure: member_link.LinkFailure) -> None:
        """Record that a connection could not be opened, and delay the next attempt.

        Args:
          failure: Why the connection could not be opened.
        """
        now_s = self._clock()
        match failure:
            case member_link.Refused():
                self._retry_open_at_s = now_s + RETRY_OPEN_S
                if self.observations.refusing_since_s is None:
                    self.observations.refusing_since_s = now_s
            case member_link.Rejected(failure=reported) if (
                reported.code is statements.ErrorCode.WRONG_MEMBER
            ):
                # Addresses are used again. This is no sign of life of the member.
                self.observations.address_taken = True
                self._retry_open_at_s = now_s + RETRY_OPEN_S
            case member_link.Rejected(failure=reported):
                self.record_contact()
                limit_reached = reported.code is statements.ErrorCode.TOO_MANY_CONNECTIONS
                if limit_reached:
                    self._reduced_share_until_s = now_s + REDUCED_SHARE_S
                    self._limit_hit_at_s = now_s
                backoff_s = LIMIT_BACKOFF_S if self._links else LIMIT_BACKOFF_WITHOUT_LINK_S
                self.limit_backoff_until_s = now_s + (backoff_s if limit_reached else RETRY_OPEN_S)
            case _:
                self._retry_open_at_s = now_s + RETRY_OPEN_S

    def record_early_end(self) -> None:
        """Record that a connection ended before its first statement, and delay the next attempt."""
        self._retry_open_at_s = self._clock() + RETRY_OPEN_S

    def record_reply(self, reply: statements.Reply) -> None:
        """Update the window and the observations from an answer of the member."""
        self.record_contact()
        busy = reply.failure is not None and reply.failure.code is statements.ErrorCode.BUSY
        if busy:
            self.window.record_rejection(self.in_flight)
        else:
            self.window.record_completion()
        if reply.position is not None and (
            self.observations.position is None or reply.position > self.observations.position
        ):
            self.observations.position = reply.position

    def record_service_time(self, service_time_s: float) -> None:
        """Update the average service time with the time that one statement took."""
        self.service_time_s += SERVICE_TIME_WEIGHT * (service_time_s - self.service_time_s)

    def record_missing_position(self, age_s: float) -> None:
        """Record that the member's log did not contain the required position.

        Args:
          age_s: How long ago the primary is known to have had the position.
        """
        self.observations.lag.record_missing(age_s, self._clock())

    def record_present_position(self) -> None:
        """Record that the member's log contained the required position."""
        self.observations.lag.record_present(self._clock())

    def likely_has(self, position: positions.Position, age_s: float) -> bool:
        """Return whether the member's log is expected to contain a position.

        Args:
          position: The position.
          age_s: How long ago the primary is known to have had it.
        """
        known = self.observations.position
        if known is not None and known >= position:
            return True
        return age_s >= self.observations.lag.seconds(self._clock())

    def _usable(self, now_s: float) -> bool:
        """Return whether there is a connection, or no attempt to open one has failed recently."""
        return bool(self._links) or now_s >= UNUSABLE_S + max(
            self._retry_open_at_s, self.limit_backoff_until_s
        )

    def load(self, local_failure_domain: str, primary: bool) -> selection.MemberLoad:
        """Return the member's load as the input of placement.

        Args:
          local_failure_domain: This instance's failure domain.
          primary: Whether the member is the primary.
        """
        status = self.observations.status
        return selection.MemberLoad(
            member=self.member.id,
            slots=max(1, self.member.slots),
            in_flight=self.in_flight,
            others_in_flight=(
                0.0 if status is None else max(0.0, status.active_statements - self.in_flight)
            ),
            service_time_s=self.service_time_s,
            same_domain=self.member.failure_domain == local_failure_domain,
            primary=primary,
            domain=self.member.failure_domain,
            links=self.link_count,
            usable=self._usable(self._clock()),
            status_active=None if status is None else status.active_statements,
            status_at_s=self.observations.status_at_s,
        )


def choose_link(
    links: collections.abc.Iterable[member_link.MemberLink], values: dict[str, str]
) -> member_link.MemberLink | None:
    """Choose the connection that requires the least preparation for a session.

    Args:
      links: Idle connections of one member.
      values: The session's values.
    Returns:
      The connection; None if there is none.
    """

    def cost(link: member_link.MemberLink) -> int:
        if link.values == values:
            return 0
        return 1 if link.values.items() <= values.items() else 2

    return min(links, key=cost, default=None)
