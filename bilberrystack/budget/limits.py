"""What the connections of a process may take together, computed from the limits of its machine."""

import dataclasses
import enum
import os
import resource

# Memory of a machine whose settings name none; the largest machines of the fleets have 552 MB.
DEFAULT_MEMORY_BYTES = 512_000_000

# Fewer descriptors leave none for connections.
MIN_DESCRIPTORS = 256

# Fraction of the machine's memory for what connections make the process hold. The interpreter with
# all modules takes 33 MB, and what is held has a cost in the allocator beside its size.
MEMORY_FRACTION = 0.4

# Fraction of the budget that connections of one kind may use, so that clients leave room for other
# instances, and these for clients.
KIND_FRACTION = 0.75

# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200

# Fractions of the other descriptors: for clients, and for connections of other instances. The rest
# is for connections to members, instances and the store, and for probes.
CLIENT_DESCRIPTOR_FRACTION = 0.6
INSTANCE_DESCRIPTOR_FRACTION = 0.25

# Connections of probes and of the collection of metrics.
MAX_PROBE_CONNECTIONS = 16

# Smallest number of connections of a kind, however few descriptors there are.
MIN_CONNECTIONS = 8

# Fraction of a kind's part of the budget that idle connections may take.
IDLE_FRACTION = 0.7

# What a connection may hold without a permit: a message of an ordinary client. It is included in
# CONNECTION_BYTES.
FLOOR_BYTES = 8_192

# Memory that an open connection takes before it has sent anything, 8 KB as measured with 400
# connections, and its floor.
CONNECTION_BYTES = 12_288 + FLOOR_BYTES


class Kind(enum.Enum):
    """Who opens connections of a kind."""

    CLIENT = "client"
    INSTANCE = "instance"
    PROBE = "probe"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits of a process.

    Attributes:
      budget_bytes: What all connections together may hold.
      connections: Largest number of connections of each kind.
    """

    budget_bytes: int
    connections: dict[Kind, int]

    @property
    def kind_bytes(self) -> int:
        """What the connections of one kind may hold together."""
        return int(self.budget_bytes * KIND_FRACTION)


def default_memory_bytes() -> int:
    """Return the memory of a machine whose settings name none."""
    installed_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return min(DEFAULT_MEMORY_BYTES, installed_bytes)


def default_descriptors() -> int:
    """Return the descriptors of a process whose settings name no number."""
    return max(MIN_DESCRIPTORS, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def compute(memory_bytes: int, descriptors: int, budget_bytes: int = 0) -> Limits:
    """Compute the limits of a process.

    Args:
      memory_bytes: Memory that the process may take.
      descriptors: Descriptors that the process may open, including those for files.
      budget_bytes: What connections may make it hold; 0 for MEMORY_FRACTION of the memory.
    Returns:
      The limits.
    """
    budget_bytes = budget_bytes or int(memory_bytes * MEMORY_FRACTION)
    by_memory = int(budget_bytes * KIND_FRACTION * IDLE_FRACTION) // CONNECTION_BYTES
    sockets = descriptors - FILE_DESCRIPTORS

    def count(fraction: float) -> int:
        return max(MIN_CONNECTIONS, min(by_memory, int(sockets * fraction)))

    return Limits(
        budget_bytes,
        {
            Kind.CLIENT: count(CLIENT_DESCRIPTOR_FRACTION),
            Kind.INSTANCE: count(INSTANCE_DESCRIPTOR_FRACTION),
            Kind.PROBE: MAX_PROBE_CONNECTIONS,
        },
    )
