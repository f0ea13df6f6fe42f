"""The connections of this instance to one member, and what is known of that member."""

import collections.abc
import dataclasses
import math

from bilberrystack.core import positions
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import member_link
from bilberrystack.routing import admission
from bilberrystack.routing import model
from bilberrystack.routing import placement
from bilberrystack.routing import replica_lag
from bilberrystack.routing import statements

# A refused or unreachable address is tried again after this time.
RETRY_OPEN_S = 0.15

# After the member has turned a connection away for its limit, no extra one is tried for so long;
# connections of an instance that lost power linger for 3 s.
FULL_S = 1.0

# The same for an instance that has no connection to the member at all.
FULL_WITHOUT_LINK_S = 0.25

# A connection beyond those that are kept is closed after resting for so long.
EXTRA_REST_S = 0.7

# How long connections are opened through another instance before the direct way is tried again.
RELAY_S = 3.0

# After its start, and after a member has turned a connection away, an instance keeps to one
# connection for so long: those of instances that lost power linger for 3 s and leave few to share.
SCARCE_S = 3.2

# A request that has waited so long may open a second one all the same: a transaction whose client
# thinks may hold the first.
SCARCE_PATIENCE_S = 0.1

# Weight of the newest statement in the average service time.
SERVICE_WEIGHT = 0.1

# Service time that is assumed before the first statement.
FIRST_SERVICE_S = 0.015


@dataclasses.dataclass(slots=True)
class Sight:
    """What a member's answers have shown.

    Attributes:
      contact_at_s: When it last answered.
      refused_at_s: Since when its address refuses connections; None if it doesn't.
      status: Its last word about itself; None if it was never asked.
      status_at_s: When that was asked.
      position: The highest position that an answer showed.
      lag: How far behind its log is thought to be.
      suspect: Whether a statement has waited long for its answer and nothing has come since.
    """

    contact_at_s: float = float("-inf")
    refused_at_s: float | None = None
    status: statements.MemberStatus | None = None
    status_at_s: float = float("-inf")
    position: positions.Position | None = None
    lag: replica_lag.LagEstimate = dataclasses.field(default_factory=replica_lag.LagEstimate)
    suspect: bool = False


class MemberPool:
    """The connections to one member."""

    __slots__ = (
        "_clock",
        "_links",
        "_retry_at_s",
        "_scarce_until_s",
        "full_until_s",
        "member",
        "opening",
        "relayed_until_s",
        "running",
        "service_s",
        "sight",
        "window",
    )

    def __init__(self, member: model.Member, clock: interfaces.Clock) -> None:
        self.member = member
        self.opening = 0
        self.running = 0
        self.service_s = FIRST_SERVICE_S
        self.full_until_s = float("-inf")
        self.relayed_until_s = float("-inf")
        self.sight = Sight()
        self.window = admission.ConcurrencyWindow()
        self._clock = clock
        self._links: list[member_link.MemberLink] = []
        self._scarce_until_s = clock() + SCARCE_S
        self._retry_at_s = float("-inf")

    @property
    def size(self) -> int:
        """Connections that are open or being opened."""
        return len(self._links) + self.opening

    @property
    def connected(self) -> bool:
        """Whether there are connections, free or not."""
        return bool(self._links)

    def idle(self, control: bool = False) -> list[member_link.MemberLink]:
        """Returns the connections that are free to use; closed ones are dropped.

        Args:
          control: Whether the window for statements of clients doesn't count.
        """
        for link in [one for one in self._links if not one.in_use and not one.usable]:
            self.discard(link)
        if not control and not self.window.has_room(self.running):
            return []
        return [link for link in self._links if not link.in_use]

    def unreachable(self, now_s: float) -> bool:
        """Tells whether there is no connection and the last try to open one has just failed."""
        return not self._links and now_s < self._retry_at_s

    def shut_out(self, now_s: float) -> bool:
        """Tells whether there is no connection and the member has lately accepted none."""
        return not self._links and now_s < self.full_until_s + RETRY_OPEN_S

    def may_open(self, share: int, waited_s: float, now_s: float) -> bool:
        """Tells whether another connection may be opened now.

        Args:
          share: Connections that the instance may have to the member.
          waited_s: How long the request that needs it has waited.
          now_s: The present.
        """
        if now_s < self._retry_at_s or now_s < self.full_until_s:
            return False
        if not self.window.has_room(self.running + self.opening):
            return False
        if now_s < self._scarce_until_s:
            share = 1 if waited_s < SCARCE_PATIENCE_S else 2
        return self.size < share

    def may_grow(self, share: int, now_s: float) -> bool:
        """Tells whether a connection is being opened, or may be for a request that waits.

        Args:
          share: Connections that the instance may have to the member.
          now_s: The present.
        """
        return self.opening > 0 or self.may_open(share, math.inf, now_s)

    def add(self, link: member_link.MemberLink) -> None:
        """Takes a connection that has just been opened."""
        self._links.append(link)
        self.contacted()

    def discard(self, link: member_link.MemberLink) -> None:
        """Closes a connection."""
        link.close()
        if link in self._links:
            self._links.remove(link)

    def trim(self, keep: int, now_s: float) -> None:
        """Closes connections beyond a number that have rested for long."""
        resting = sorted(self.idle(control=True), key=lambda link: link.rested_since_s)
        for link in resting[: max(0, len(self._links) - keep)]:
            if now_s - link.rested_since_s >= EXTRA_REST_S:
                self.discard(link)

    def close(self) -> None:
        """Closes all connections."""
        for link in list(self._links):
            self.discard(link)

    def contacted(self) -> None:
        """Takes that the member has answered."""
        self.sight.contact_at_s = self._clock()
        self.sight.refused_at_s = None
        self.sight.suspect = False

    def failed_to_open(self, failure: member_link.LinkFailure) -> None:
        """Takes why a connection could not be opened."""
        now_s = self._clock()
        match failure:
            case member_link.Refused():
                self._retry_at_s = now_s + RETRY_OPEN_S
                if self.sight.refused_at_s is None:
                    self.sight.refused_at_s = now_s
            case member_link.Rejected(failure=found):
                self.contacted()
                full = found.code is statements.ErrorCode.TOO_MANY_CONNECTIONS
                if full:
                    self._scarce_until_s = now_s + SCARCE_S
                wait_s = FULL_S if self._links else FULL_WITHOUT_LINK_S
                self.full_until_s = now_s + (wait_s if full else RETRY_OPEN_S)
            case _:
                self._retry_at_s = now_s + RETRY_OPEN_S

    def answered(self, reply: statements.Reply) -> None:
        """Takes an answer of the member."""
        self.contacted()
        full = reply.failure is not None and reply.failure.code is statements.ErrorCode.BUSY
        if full:
            self.window.record_rejection(self.running)
        else:
            self.window.record_completion()
        if reply.position is not None and (
            self.sight.position is None or reply.position > self.sight.position
        ):
            self.sight.position = reply.position

    def took(self, seconds: float) -> None:
        """Takes how long a statement took."""
        self.service_s += SERVICE_WEIGHT * (seconds - self.service_s)

    def lacks(self, age_s: float) -> None:
        """Takes that the member's log lacked a position that was so old."""
        self.sight.lag.record_missing(age_s, self._clock())

    def has(self) -> None:
        """Takes that the member's log had the position that was asked for."""
        self.sight.lag.record_present(self._clock())

    def may_have(self, position: positions.Position, age_s: float) -> bool:
        """Tells whether the member's log is thought to have a position.

        Args:
          position: The position.
          age_s: How long ago the primary is known to have had it.
        """
        known = self.sight.position
        if known is not None and known >= position:
            return True
        return age_s >= self.sight.lag.seconds(self._clock())

    def load(self, near_domain: str, primary: bool) -> placement.MemberLoad:
        """Returns the member's load as placement takes it."""
        status = self.sight.status
        return placement.MemberLoad(
            member=self.member.id,
            slots=max(1, self.member.slots),
            in_flight=self.running,
            others_in_flight=(
                0.0 if status is None else max(0.0, status.active_statements - self.running)
            ),
            service_time_s=self.service_s,
            same_domain=self.member.failure_domain == near_domain,
            primary=primary,
        )


def pick(
    links: collections.abc.Iterable[member_link.MemberLink], values: dict[str, str]
) -> member_link.MemberLink | None:
    """Chooses the connection that needs the least preparation for a session.

    Args:
      links: Free connections of one member.
      values: The session's values.
    """

    def cost(link: member_link.MemberLink) -> int:
        if link.values == values:
            return 0
        return 1 if link.values.items() <= values.items() else 2

    return min(links, key=cost, default=None)
