"""Positions in the replicated log of a database group."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A log position, ordered by term and then by index.

    Attributes:
      term: Term of the primary that appended the entry.
      index: Index of the entry in the log, from 1; 0 denotes the position before the first entry.
    """

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}/{self.index}"


ZERO = Position(0, 0)
