"""Positions in the replicated log of a database group."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A log position; ordered by term first, then by index.

    Attributes:
      term: The term of the primary that appended the entry.
      index: The number of the entry in the log, from 1; 0 stands before the first entry.
    """

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}/{self.index}"


ZERO = Position(0, 0)
