"""Datagrams between instances: member reports, grants of primaries, and withdrawals of grants."""

import msgspec

# Intended size limit of a datagram, beyond which reports wait for the next heartbeat. Nothing
# enforces it yet.
MAX_DATAGRAM_BYTES = 60_000


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A log position."""

    term: int
    index: int


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one instance knows about a member at the time of sending.

    Attributes:
      member: The member's id.
      contact_age_s: Seconds since the member last answered this instance.
      refused: Whether the member's address refuses connections.
      status_age_s: Seconds since the query for the member's last status was sent.
      primary: Whether that status names the member itself as the primary.
      term: The newest term in that status; 0 without a status.
      received: The last position that the member has received; None if unknown.
    """

    member: str
    contact_age_s: float
    refused: bool
    status_age_s: float
    primary: bool
    term: int
    received: Position | None


class QuotaClaim(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has and needs of an account's quota; see quotas.shares.Claim."""

    account: str
    fraction: float
    demand_per_s: float
    waiting_count: int


class QuotaClaims(msgspec.Struct, frozen=True, array_like=True):
    """All that the sender has and needs of quotas; see quotas.shares.Claims.

    Attributes:
      number: Increases with each claims of the process.
      token: The token of the last applied assignment.
      assignment_number: The number of the last applied assignment.
      entries: The claims by account.
    """

    number: int
    token: int
    assignment_number: int
    entries: list[QuotaClaim]


class QuotaShare(msgspec.Struct, frozen=True, array_like=True):
    """What the receiver may use of an account's quota; see quotas.shares.Share."""

    account: str
    fraction: float
    saturated: bool
    tokens: float


class QuotaAssignment(msgspec.Struct, frozen=True, array_like=True):
    """All that the receiver may use of quotas; see quotas.shares.Assignment.

    Attributes:
      number: Increases with each assignment under the coordinator's token.
      shares: The shares by account.
    """

    number: int
    shares: list[QuotaShare]


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", array_like=True):
    """Member reports of an instance to the coordinator, and its request for grants.

    Attributes:
      sender: The sender's instance name.
      incarnation: The sender's incarnation.
      sent_at_s: The time of sending on the sender's clock, which is returned with the grants.
      reports: The members that the sender has recently been in contact with, and those whose
        address refuses connections.
      configuration_version: The version in force at the sender; 0 for none.
      owned_services: The groups that the sender owns.
      acknowledged_token: The fencing token of the coordinator whose answer the sender acknowledges,
        so that it does not acquire the lease for a time; 0 if it acknowledges none.
      acknowledged_at_s: `answered_at_s` of that answer.
      registered: Whether the store has acknowledged the registration of the sender's process.
      quota_claims: What the sender has and needs of quotas; None where there are none.
    """

    sender: str
    incarnation: str
    sent_at_s: float
    reports: list[Report]
    configuration_version: int = 0
    owned_services: list[str] = []
    acknowledged_token: int = 0
    acknowledged_at_s: float = 0.0
    registered: bool = False
    quota_claims: QuotaClaims | None = None


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The permission to use a group's primary, and a position that the primary has shown.

    Attributes:
      service: The group.
      member: The id of the primary.
      term: The term of the primary.
      change_number: The coordinator's number of the group's last primary change.
      position: A position that the primary has shown; None if none is known.
      position_age_s: Seconds since the statement was sent whose answer showed that position.
      relay_address: HOST:PORT of an instance that reaches the primary; empty for none.
    """

    service: str
    member: str
    term: int
    change_number: int
    position: Position | None
    position_age_s: float
    relay_address: str


class ConditionalGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant under which some members have to confirm each answer of the primary.

    Attributes:
      grant: The grant.
      members: The ids of these members.
      may_have_ended: Those of them that confirm an answer also by the end of their process. An
        earlier version's process asks them all.
    """

    grant: Grant
    members: list[str]
    may_have_ended: list[str] = []


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """The last successful renewal of the coordinator lease.

    Attributes:
      era: The era of the record's revision.
      revision: The number of the record's revision.
      age_s: Seconds since the renewal was sent.
      names_receiver: Whether the record names the receiver as a standby.
    """

    era: int
    revision: int
    age_s: float
    names_receiver: bool


class Grants(msgspec.Struct, frozen=True, tag="grants", array_like=True):
    """The coordinator's answer to a heartbeat.

    Attributes:
      coordinator: The coordinator's instance name.
      incarnation: The coordinator's incarnation.
      token: The fencing token of its lease.
      requested_at_s: `sent_at_s` of the heartbeat.
      valid_s: How long the grants are valid from `requested_at_s` on, in seconds.
      grants: One grant for each group that has a usable primary.
      configuration_version: The newest version in force at the coordinator or at any instance that
        it hears.
      answered_at_s: The time of sending on the coordinator's clock.
      renewal: The coordinator's last renewal of its lease; None from an earlier version's process.
      quotas: What the receiver may use of quotas; None for no change.
      conditional_grants: One grant for each group that has a primary, and of which other members
        may become the primary at any moment. An earlier version's process ignores them.
    """

    coordinator: str
    incarnation: str
    token: int
    requested_at_s: float
    valid_s: float
    grants: list[Grant]
    configuration_version: int = 0
    answered_at_s: float = 0.0
    renewal: Renewal | None = None
    quotas: QuotaAssignment | None = None
    conditional_grants: list[ConditionalGrant] = []


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal", array_like=True):
    """The withdrawal of all grants of a group; it is repeated until acknowledged.

    Attributes:
      coordinator: The coordinator's instance name.
      incarnation: The coordinator's incarnation.
      token: The fencing token of its lease.
      service: The group.
      change_number: The number of the primary change that begins with this withdrawal.
    """

    coordinator: str
    incarnation: str
    token: int
    service: str
    change_number: int


class Acknowledgement(msgspec.Struct, frozen=True, tag="acknowledgement", array_like=True):
    """The confirmation that an instance no longer uses any grant older than a withdrawal.

    Attributes:
      incarnation: The sender's incarnation.
      token: The token of the withdrawal.
      service: The group.
      change_number: The change number of the withdrawal.
    """

    incarnation: str
    token: int
    service: str
    change_number: int


class ProbeRequest(msgspec.Struct, frozen=True, tag="check", array_like=True):
    """The coordinator's request to probe a member and to report the result.

    Attributes:
      service: The member's group.
      member: The member's id.
    """

    service: str
    member: str


class CoordinatorDeparture(msgspec.Struct, frozen=True, tag="leaving", array_like=True):
    """The coordinator's notice that it releases its lease, so that another instance acquires it.

    Attributes:
      incarnation: The coordinator's incarnation.
      token: The fencing token of its lease.
    """

    incarnation: str
    token: int


class CoordinatorAnnouncement(msgspec.Struct, frozen=True, tag="announcement", array_like=True):
    """A new coordinator's request for the quota claims of an instance, which may not know it yet.

    Attributes:
      incarnation: The coordinator's incarnation.
      token: The fencing token of its lease.
    """

    incarnation: str
    token: int


Message = (
    Heartbeat
    | Grants
    | Withdrawal
    | Acknowledgement
    | ProbeRequest
    | CoordinatorDeparture
    | CoordinatorAnnouncement
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
      msgspec.DecodeError: The datagram is not MessagePack.
      msgspec.ValidationError: The datagram is not a known message.
    """
    return _DECODER.decode(data)
