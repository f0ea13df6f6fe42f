"""Execution of writes and resolution of unknown outcomes."""

import asyncio
import collections.abc
from typing import Any

from bilberrystack.core import admission
from bilberrystack.core import members
from bilberrystack.core import outcomes
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.proxy import confirmations
from bilberrystack.proxy import group_state
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import statements


class Writes:
    """Runs writes: each at most once, and acknowledged only once durable."""

    __slots__ = ("_loop", "_state")

    def __init__(self, state: group_state.GroupState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()

    async def run(self, request: requests.GroupRequest) -> outcomes.Outcome:
        """Runs a write. Sends it again after a lost answer only if it is idempotent."""
        self._state.retries.record_request(self._loop.time())
        answer_deadline = statements.resolution_start(self._loop.time(), request.deadline)
        result = await self._send(request, answer_deadline)
        outcome = await self._outcome_of_result(request, result)
        while outcome is None and self._take_retry(request):
            result = await self._send(request, request.deadline)
            outcome = await self._outcome_of_result(request, result)
            if isinstance(outcome, outcomes.NotRun) and not _is_cancelled(outcome):
                # This attempt did not run, but an earlier one may have run.
                return await self.resolve(request, _unknown_outcome(result))
        return outcome or await self.resolve(request, _unknown_outcome(result))

    async def resolve(
        self, request: requests.GroupRequest, unresolved_outcome: outcomes.Unknown | None = None
    ) -> outcomes.Outcome:
        """Resolves the outcome of a request by its key.

        The primary returns the recorded answer, or cancels the key if none is recorded.

        Args:
          request: The request.
          unresolved_outcome: The outcome to return if it can't be resolved by the deadline; if
            None, an outcome with the reason of the last attempt is returned.
        Returns:
          The recorded answer, NotRun if the key is cancelled, or Unknown.
        """
        self._state.counters.resolves += 1

        def call(
            connection: interfaces.MemberConnection, term: int
        ) -> collections.abc.Coroutine[Any, Any, members.MemberReply]:
            return connection.resolve(term, request.key)

        deadline = request.deadline
        while True:
            result = await statements.run_at_primary(
                self._state,
                admission.RequestClass.TRANSACTION,
                request.caller,
                call,
                deadline=deadline,
                answer_deadline=deadline,
            )
            outcome: outcomes.Outcome | None = None
            if isinstance(result, statements.Replied):
                outcome = await self.outcome_of_reply(request, result)
            if outcome is not None:
                return outcome
            if isinstance(result, outcomes.NotRun) or self._loop.time() >= deadline:
                return unresolved_outcome or _unknown_outcome(result)
            await statements.wait_before_retry(self._state, deadline)

    async def outcome_of_reply(
        self, request: requests.GroupRequest, replied: statements.Replied
    ) -> outcomes.Outcome | None:
        """Converts a member's reply to a write, commit or resolve into an outcome.

        An answer or a cancellation is returned only once its position is durable.

        Args:
          request: The request.
          replied: The reply.
        Returns:
          The outcome; None if the request has to be resolved.
        """
        match replied.reply:
            case members.Executed() as reply:
                self._state.record_executed(replied.member, reply)
                outcome: outcomes.Outcome = outcomes.Answer(
                    body=reply.body,
                    position=reply.position,
                    served_by=replied.member,
                    from_replica=False,
                    duplicate=reply.duplicate,
                )
                return await self._confirmed(request, reply.position, outcome)
            case members.Refused(members.Refusal.CANCELLED, detail, _, position):
                outcome = outcomes.NotRun(outcomes.NotRunReason.CANCELLED, detail)
                if position is None:
                    return None
                return await self._confirmed(request, position, outcome)
            case members.Refused(members.Refusal.KEY_TOO_OLD, detail):
                return outcomes.Unknown(outcomes.UnknownReason.KEY_TOO_OLD, detail)
            case members.Refused(members.Refusal.INVALID_STATEMENT, detail):
                return outcomes.NotRun(outcomes.NotRunReason.INVALID_STATEMENT, detail)
            case members.Refused(_, detail):
                return outcomes.NotRun(outcomes.NotRunReason.TRANSACTION_ABORTED, detail)

    async def _send(
        self, request: requests.GroupRequest, answer_deadline: float
    ) -> statements.Result:
        def call(
            connection: interfaces.MemberConnection, term: int
        ) -> collections.abc.Coroutine[Any, Any, members.MemberReply]:
            return connection.write(term, request.key, request.body)

        return await statements.run_at_primary(
            self._state,
            admission.RequestClass.WRITE,
            request.caller,
            call,
            deadline=request.deadline,
            answer_deadline=answer_deadline,
        )

    async def _confirmed(
        self,
        request: requests.GroupRequest,
        position: positions.Position,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome | None:
        """Returns the outcome once the position is durable; None if the position may be lost."""
        result = await self._state.confirmations.wait(position, request.deadline)
        match result:
            case confirmations.WaitResult.DURABLE:
                return outcome
            case confirmations.WaitResult.TIMED_OUT:
                detail = f"{position} is not on a majority yet"
                return outcomes.Unknown(outcomes.UnknownReason.NOT_CONFIRMED, detail)
            case _:
                return None

    async def _outcome_of_result(
        self, request: requests.GroupRequest, result: statements.Result
    ) -> outcomes.Outcome | None:
        """Returns the outcome of a write after an attempt; None if it may have run."""
        match result:
            case outcomes.NotRun():
                return result
            case statements.Replied():
                return await self.outcome_of_reply(request, result)
            case statements.Interrupted():
                return None

    def _take_retry(self, request: requests.GroupRequest) -> bool:
        if request.kind is not requests.Kind.IDEMPOTENT_WRITE:
            return False
        if self._state.retries.try_acquire(self._loop.time()):
            self._state.counters.retries += 1
            return True
        self._state.counters.denied_retries += 1
        return False


def _is_cancelled(outcome: outcomes.NotRun) -> bool:
    return outcome.reason is outcomes.NotRunReason.CANCELLED


def _unknown_outcome(result: statements.Result) -> outcomes.Unknown:
    match result:
        case statements.Interrupted(reason, detail):
            return outcomes.Unknown(reason, detail)
        case outcomes.NotRun(_, detail):
            detail = f"not resolved: {detail}"
            return outcomes.Unknown(outcomes.UnknownReason.DEADLINE_AFTER_SEND, detail)
        case _:
            detail = "its log entry was not confirmed"
            return outcomes.Unknown(outcomes.UnknownReason.NOT_CONFIRMED, detail)
