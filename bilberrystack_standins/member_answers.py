"""The answers of a stand-in member on one connection: whole, cut off, in pieces or sent twice."""

import asyncio
import contextlib
import dataclasses
import random

# Maximum number of pieces of an answer that is sent in pieces, and the maximum pause before the
# next one. Without a pause the kernel joins them again.
_MAX_PIECES = 4
_MAX_PIECE_PAUSE_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """How an answer is sent.

    Attributes:
      truncated: Whether it is cut off before its end. Nothing more is sent on the connection then,
        which the member closes or keeps open.
      split: Whether its bytes arrive in pieces.
      repeated: Whether it is sent a second time.
      repetition_truncated: Whether the second copy is cut off before its end.
    """

    truncated: bool = False
    split: bool = False
    repeated: bool = False
    repetition_truncated: bool = False


class AnswerSender:
    """Sends the answers of one connection.

    An answer that has begun ends before another one or a second copy begins, since the protocol has
    no way to tell interleaved bytes apart.
    """

    __slots__ = ("_ended", "_lock", "_random", "_repetition_delay_s", "_repetitions", "_writer")

    def __init__(
        self, writer: asyncio.StreamWriter, rng: random.Random, repetition_delay_s: float
    ) -> None:
        """Creates the sender of a connection.

        Args:
          writer: The connection's writer.
          rng: Source of delays and of the bytes at which answers are cut.
          repetition_delay_s: Maximum time until the second copy of an answer is sent.
        """
        self._writer = writer
        self._random = rng
        self._repetition_delay_s = repetition_delay_s
        self._lock = asyncio.Lock()
        self._ended = False
        self._repetitions: set[asyncio.Task[None]] = set()

    @property
    def ended(self) -> bool:
        """Whether an answer was cut off, so that nothing more is sent."""
        return self._ended

    async def send(self, data: bytes, delivery: Delivery) -> None:
        """Sends an answer; returns after its last piece, but before a second copy."""
        await self._write(data, delivery.truncated, delivery.split)
        if delivery.repeated:
            repetition = asyncio.create_task(self._repeat(data, delivery.repetition_truncated))
            self._repetitions.add(repetition)
            repetition.add_done_callback(self._repetitions.discard)

    async def _repeat(self, data: bytes, truncated: bool) -> None:
        await asyncio.sleep(self._random.uniform(0, self._repetition_delay_s))
        # The client may have closed the connection meanwhile.
        with contextlib.suppress(OSError):
            await self._write(data, truncated, False)

    async def _write(self, data: bytes, truncated: bool, split: bool) -> None:
        async with self._lock:
            if truncated:
                data = data[: self._random.randrange(1, len(data))]
            pieces = self._pieces(data) if split else [data]
            for number, piece in enumerate(pieces):
                if number:
                    await asyncio.sleep(self._random.uniform(0, _MAX_PIECE_PAUSE_S))
                if self._ended or self._writer.is_closing():
                    return
                self._writer.write(piece)
            if truncated:
                self._ended = True
                if self._random.random() < 0.5:
                    self._writer.close()

    def _pieces(self, data: bytes) -> list[bytes]:
        count = min(len(data), self._random.randint(2, _MAX_PIECES))
        cuts = sorted(self._random.sample(range(1, len(data)), count - 1))
        return [data[start:end] for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True)]

    def close(self) -> None:
        """Ends the sending; second copies that are due are dropped."""
        self._ended = True
        for repetition in self._repetitions:
            repetition.cancel()
