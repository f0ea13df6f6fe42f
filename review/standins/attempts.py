"""Clients that run transactions, and the check of what members ran of them."""

import asyncio
import dataclasses
import random

import members
import sessions
from record import Record

# Pause of a client between two operations, and between two statements of a transaction.
OPERATION_PAUSE_S = 0.02
STATEMENT_PAUSE_S = 0.005

# How long a client waits for an answer beyond the route's time limit.
ANSWER_MARGIN_S = 3.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """What a client sent and received in one attempt at a transaction.

    Attributes:
      begin_id: Id of its BEGIN.
      texts: Its statements by id, without BEGIN and COMMIT.
      commit_id: Id of its COMMIT; empty if it sent none.
      promised: The error code that promised that nothing is kept; empty for none.
      answers: The successful answers by id.
    """

    begin_id: str
    texts: dict[str, str] = dataclasses.field(default_factory=dict)
    commit_id: str = ""
    promised: str = ""
    answers: dict[str, sessions.Answer] = dataclasses.field(default_factory=dict)


PROMISES = frozenset({"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGNODE", "TOOMANY"})


class Clients:
    """Clients that run transactions of some writes and reads.

    Attributes:
      attempts: All attempts.
    """

    def __init__(self, record: Record, database: str, port: int, timeout_s: float) -> None:
        self.attempts: list[Attempt] = []
        self.stopped = False
        self._record = record
        self._database = database
        self._port = port
        self._timeout_s = timeout_s

    @property
    def committed(self) -> int:
        """Number of transactions whose commit was acknowledged."""
        return sum(attempt.commit_id in attempt.answers for attempt in self.attempts)

    async def run(self, host: str, number: int) -> None:
        """Run transactions at one machine until stopped.

        Args:
          host: The machine's address.
          number: The client's number.
        """
        while not self.stopped:
            try:
                async with sessions.Session(
                    self._record, host, self._port, self._database
                ) as session:
                    while not self.stopped and await self._transaction(session, number):
                        await asyncio.sleep(OPERATION_PAUSE_S * random.uniform(0.5, 1.5))
            except sessions.Ended:
                # The client connects again, as to another machine.
                await asyncio.sleep(0.1)

    async def _transaction(self, session: sessions.Session, number: int) -> bool:
        """Run one transaction; return whether the session can go on."""
        attempt = Attempt(sessions.new_id("b"))
        self.attempts.append(attempt)
        texts = ["BEGIN"]
        for step in range(3):
            texts.append(f"WRITE item{number}.{step} {attempt.begin_id}.{step}")
            texts.append(f"READ item{number}.{step}")
        texts.append("COMMIT")
        state = "I"
        for text in texts:
            request_id = attempt.begin_id if text == "BEGIN" else sessions.new_id("q")
            if text == "COMMIT":
                attempt.commit_id = request_id
            elif text != "BEGIN":
                attempt.texts[request_id] = text
            answer = await session.query(request_id, text, self._timeout_s + ANSWER_MARGIN_S)
            state = answer.state
            if answer.error:
                attempt.promised = answer.error if answer.error in PROMISES else ""
                break
            attempt.answers[request_id] = answer
            await asyncio.sleep(STATEMENT_PAUSE_S)
        return state == "I"


def check(group: members.Group, attempts: list[Attempt], record: Record) -> None:
    """Compare what members ran with what clients sent and received; record violations."""
    by_statement = {request_id: attempt for attempt in attempts for request_id in attempt.texts} | {
        attempt.commit_id: attempt for attempt in attempts if attempt.commit_id
    }
    ran: dict[str, members.Run] = {}
    for run in group.runs:
        attempt = by_statement.get(run.request_id)
        if attempt is None:
            record.violation(f"UNASKED: nobody sent {run.request_id} {run.text}")
            continue
        ran[run.request_id] = run
        if run.transaction != attempt.begin_id:
            where = f"inside transaction {run.transaction}" if run.transaction else "outside any"
            record.violation(
                f"PINNED: {run.request_id} {run.text} of transaction {attempt.begin_id}"
                f" ran {where} on connection {run.connection}"
            )
    for entry in group.committed:
        for request_id, item, data in entry.writes:
            attempt = by_statement.get(request_id)
            if attempt is None:
                # Its run has been reported above.
                continue
            if not attempt.commit_id:
                record.violation(
                    f"UNASKED: write {request_id} {item} {data} was committed by"
                    f" {entry.request_id}, its client sent no COMMIT"
                )
            elif attempt.commit_id != entry.request_id:
                record.violation(
                    f"PINNED: write {request_id} of transaction {attempt.begin_id} was committed"
                    f" by {entry.request_id}"
                )
            if attempt.promised:
                record.violation(
                    f"REFUSED: write {request_id} {item} {data} was committed, though its client"
                    f" got {attempt.promised}"
                )
    for attempt in attempts:
        for request_id, answer in attempt.answers.items():
            if request_id == attempt.begin_id:
                continue
            sent = ran.get(request_id)
            expected = () if sent is None else sent.answer
            received = (*(f"ROW {row}" for row in answer.rows), f"DONE {answer.proof}")
            if expected != received:
                record.violation(f"MIXED: {request_id} was answered {received}, not {expected}")
