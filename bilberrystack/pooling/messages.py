"""Datagrams between instances: reports of members, grants of primaries, and their withdrawal."""

import msgspec

# Largest datagram that is sent; reports beyond it are left out until the next heartbeat.
MAX_DATAGRAM_BYTES = 60_000


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A log position."""

    term: int
    index: int


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What an instance sees of a member; ages are in seconds at the time of sending."""

    member: str
    contact_age_s: float
    refused: bool
    status_age_s: float
    primary: bool
    term: int
    received: Position | None


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", array_like=True):
    """An instance tells the holder what it sees and asks for grants.

    `sent_at_s` is on the sender's clock and comes back with the grants. `configuration` is the
    version in force at the sender, 0 for none. `services` are the groups that it owns.
    """

    sender: str
    lifetime: str
    sent_at_s: float
    reports: list[Report]
    configuration: int = 0
    services: list[str] = []


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The use of a group's primary, and a position that it has shown."""

    service: str
    member: str
    term: int
    change: int
    position: Position | None
    position_age_s: float
    relay: str


class Grants(msgspec.Struct, frozen=True, tag="grants", array_like=True):
    """The holder's answer to a heartbeat; grants last `valid_s` from `asked_at_s` on.

    `configuration` is the newest version that the holder or any instance it hears has in force.
    """

    holder: str
    lifetime: str
    token: int
    asked_at_s: float
    valid_s: float
    grants: list[Grant]
    configuration: int = 0


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal", array_like=True):
    """The holder withdraws a group's grants; it is repeated until acknowledged."""

    holder: str
    lifetime: str
    token: int
    service: str
    change: int


class Acknowledgement(msgspec.Struct, frozen=True, tag="acknowledgement", array_like=True):
    """An instance uses no grant from before the withdrawal any more."""

    lifetime: str
    token: int
    service: str
    change: int


class Check(msgspec.Struct, frozen=True, tag="check", array_like=True):
    """The holder asks whether anyone reaches a member."""

    service: str
    member: str


class Leaving(msgspec.Struct, frozen=True, tag="leaving", array_like=True):
    """The holder gives up its duty, so that another instance takes it."""

    lifetime: str
    token: int


Message = Heartbeat | Grants | Withdrawal | Acknowledgement | Check | Leaving

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a datagram; raises msgspec.DecodeError or msgspec.ValidationError."""
    return _DECODER.decode(data)
