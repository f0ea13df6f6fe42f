"""Work that is divided between turns of the event loop, so that one long input stops no other work.

The work on an input is a generator that yields wherever the loop may turn to something else.
"""

import asyncio
import collections.abc
import typing

# Work of one step, in bytes that are looked at. No input may occupy the event loop for more than
# about 50 ms. The slowest text that was found, strings and brackets of one or two bytes each, takes
# 0.15 us a byte on a development machine, so that a step takes 10 ms there. The rest is for slower
# machines, and for work that can't be divided, such as the decoding of a configuration of 1 MiB.
MAX_STEP_BYTES = 65_536

# Work for a message beside that for its bytes, in the same unit: a request that is answered without
# a member, or an entry that is logged, takes 15 to 60 us. Messages that have arrived together are
# read without a turn of the loop between them.
MESSAGE_WORK_BYTES = 512

Result = typing.TypeVar("Result")

# Work that yields between its steps and returns its result.
Steps = collections.abc.Generator[None, None, Result]


class Budget:
    """Counts the work of a step."""

    __slots__ = ("_spent_bytes",)

    def __init__(self) -> None:
        self._spent_bytes = 0

    def spend(self, byte_count: int) -> bool:
        """Count work; return whether it belongs to a new step, since the present one is full.

        Args:
          byte_count: Number of bytes to be looked at, or whose work is about as long.
        """
        self._spent_bytes += byte_count
        if self._spent_bytes <= MAX_STEP_BYTES:
            return False
        self._spent_bytes = byte_count
        return True


def complete(steps: Steps[Result]) -> Result:
    """Do all steps in this turn of the event loop; return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return typing.cast(Result, end.value)


async def run(steps: Steps[Result]) -> Result:
    """Do each step in a turn of the event loop of its own; return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return typing.cast(Result, end.value)
        await asyncio.sleep(0)
