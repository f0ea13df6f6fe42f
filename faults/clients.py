"""Client sessions that run programmes through the instances and record their history."""

import asyncio
import functools
import random
from typing import Any
from typing import Protocol

from bilberrystack.core import errors
from bilberrystack.core import outcomes
from bilberrystack.core import requests
from bilberrystack.proxy import entry
from bilberrystack.proxy import interfaces
from bilberrystack_standins import statements
from faults import checker
from faults import history
from faults import network
from faults import programmes

CALLER = "caller"
RESOLVE_TIMEOUT_S = 3.0

_REQUEST_KINDS = {
    programmes.Action.READ: requests.Kind.READ,
    programmes.Action.WRITE: requests.Kind.WRITE,
    programmes.Action.IDEMPOTENT_WRITE: requests.Kind.IDEMPOTENT_WRITE,
}
_RESOLVABLE_KINDS = (requests.Kind.WRITE, requests.Kind.COMMIT)


class SessionInstance(Protocol):
    """The interface of an instance to client sessions."""

    name: str

    @property
    def version(self) -> int: ...

    async def open_session(self, session: str) -> bytes: ...

    async def execute(self, request: entry.CallerRequest) -> entry.Reply | errors.CallerError: ...


class ClientEnvironment(Protocol):
    """The instances as the clients' load balancer sees them."""

    record: history.History
    net: network.Network

    @property
    def open_instances(self) -> list[str]:
        """The instances that are neither impaired nor leaving."""

    def instance(self, name: str) -> SessionInstance: ...

    def impaired_since(self, instance: str, start: float) -> bool:
        """Return whether an instance was down, paused or isolated at any time since start."""


class Client:
    """A client with one session."""

    def __init__(self, environment: ClientEnvironment, name: str, rng: random.Random) -> None:
        self.name = name
        self._environment = environment
        self._rng = rng
        self._sequence = 0
        self._tokens: list[bytes] = []
        self._instance = ""
        self._connections: dict[str, network.Connection] = {}
        self._background_tasks: list[asyncio.Task[Any]] = []

    @property
    def instance(self) -> str:
        """Name of the instance that the session currently uses."""
        return self._instance

    async def run(self, steps: list[programmes.ProgrammeStep]) -> None:
        """Run a programme to its end."""
        await self.open()
        for step in steps:
            await asyncio.sleep(step.think_time_s)
            if step.roam:
                self.roam()
            step_task = asyncio.get_running_loop().create_task(self.run_step(step))
            if step.awaited:
                await step_task
            else:
                self._background_tasks.append(step_task)
        await asyncio.gather(*self._background_tasks)

    async def open(self) -> None:
        """Open the session at a random instance; retry until one accepts it."""
        self.roam()
        while not self._tokens:
            try:
                open_session = self._environment.instance(self._instance).open_session
                self._tokens = [await self._call(functools.partial(open_session, self.name))]
            except (interfaces.LinkLost, TimeoutError):
                await asyncio.sleep(0.02)
                self.roam()

    def roam(self) -> None:
        """Move the session to another open instance, if there is one."""
        choices = [name for name in self._environment.open_instances if name != self._instance]
        if choices:
            self._instance = self._rng.choice(choices)
            self._environment.net.emit("session.roamed", self.name, self._instance)

    async def run_step(self, step: programmes.ProgrammeStep) -> history.Call:
        """Run one step and return its last request."""
        group = f"g{step.group}"
        item = f"{group}.i{step.item}"
        if step.action is programmes.Action.TRANSACTION:
            return await self._transaction(group, step, requests.Kind.COMMIT)
        if step.action is programmes.Action.ABORTED_TRANSACTION:
            return await self._transaction(group, step, requests.Kind.ABORT)
        call = self._new_call(
            _REQUEST_KINDS[step.action], group, step.timeout_s, item, max_age_s=step.max_age_s
        )
        await self._complete(call, None)
        return call

    async def _transaction(
        self, group: str, step: programmes.ProgrammeStep, end_kind: requests.Kind
    ) -> history.Call:
        begin = self._new_call(requests.Kind.BEGIN, group, step.timeout_s)
        await self._complete(begin, None)
        if not isinstance(begin.outcome, outcomes.Answer):
            return begin
        name, transaction = f"{self.name}/{begin.sequence}", begin.outcome.transaction
        for offset in (0, 1):
            item = f"{group}.i{(step.item + offset) % programmes.ITEM_COUNT}"
            statement = self._new_call(
                requests.Kind.STATEMENT, group, step.timeout_s, item, transaction_name=name
            )
            await self._complete(statement, transaction)
            if not statement.answered:
                break
        final_kind = end_kind if statement.answered else requests.Kind.ABORT
        final_call = self._new_call(final_kind, group, step.timeout_s, transaction_name=name)
        await self._complete(final_call, transaction)
        return final_call

    def _new_call(
        self,
        kind: requests.Kind,
        group: str,
        timeout_s: float,
        item: str = "",
        *,
        max_age_s: float = 0.0,
        transaction_name: str | None = None,
    ) -> history.Call:
        self._sequence += 1
        now = self._environment.net.loop.time()
        writes = kind in checker.WRITE_KINDS or kind is requests.Kind.STATEMENT
        call = history.Call(
            session=self.name,
            sequence=self._sequence,
            instance=self._instance,
            group=group,
            kind=kind,
            sent_at=now,
            deadline=now + timeout_s,
            item=item,
            value=f"{item}={self.name}/{self._sequence}" if writes else "",
            max_age_s=max_age_s,
            transaction=transaction_name,
        )
        self._environment.record.calls.append(call)
        return call

    async def _complete(self, call: history.Call, transaction: str | None) -> None:
        outcome = await self._send_until_outcome(call, transaction)
        call.outcome = outcome
        call.outcome_count += 1
        call.finished_at = self._environment.net.loop.time()
        if isinstance(outcome, outcomes.Answer):
            call.answer = _parse_answer(call, outcome.body)

    async def _send_until_outcome(
        self, call: history.Call, transaction: str | None
    ) -> outcomes.Outcome:
        """Send a request and return its outcome; after a lost link, retry at another instance."""
        kind, body = call.kind, _encode_body(call)
        while True:
            now = self._environment.net.loop.time()
            if now >= call.deadline:
                return outcomes.Unknown(outcomes.UnknownReason.DEADLINE_AFTER_SEND, "client")
            instance = self._instance
            try:
                return await self._send(call, kind, body, transaction)
            except interfaces.LinkLost as lost:
                if lost.sent:
                    call.interrupted_by.append(instance)
                if lost.sent and kind in _RESOLVABLE_KINDS:
                    kind, body, transaction = requests.Kind.RESOLVE, b"", None
                elif lost.sent and kind is requests.Kind.STATEMENT:
                    return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, "client")
            except TimeoutError:
                call.overdue |= not self._environment.impaired_since(instance, now)
                if kind not in _RESOLVABLE_KINDS:
                    return outcomes.Unknown(outcomes.UnknownReason.DEADLINE_AFTER_SEND, "client")
                kind, body, transaction = requests.Kind.RESOLVE, b"", None
                call.deadline = self._environment.net.loop.time() + RESOLVE_TIMEOUT_S
            await asyncio.sleep(0.01)
            if self._instance == instance:
                self.roam()

    async def _send(
        self, call: history.Call, kind: requests.Kind, body: bytes, transaction: str | None
    ) -> outcomes.Outcome:
        remaining_s = call.deadline - self._environment.net.loop.time()
        request = entry.CallerRequest(
            call.sequence,
            tuple(self._tokens),
            call.group,
            kind,
            body,
            call.max_age_s,
            remaining_s,
            transaction,
        )
        instance = self._environment.instance(self._instance)
        max_wait_s = remaining_s + checker.DEADLINE_TOLERANCE_S / 2

        async def execute() -> entry.Reply | errors.CallerError:
            call.received_at = call.received_at or self._environment.net.loop.time()
            reply = await instance.execute(request)
            call.answering_version = (instance.name, instance.version)
            return reply

        reply = await self._call(execute, max_wait_s)
        if isinstance(reply, errors.CallerError):
            raise AssertionError(f"{call.name}: {errors.describe(reply)}")
        if reply.token is not None:
            sent = set(request.tokens)
            self._tokens = [token for token in self._tokens if token not in sent] + [reply.token]
        return reply.outcome

    async def _call(self, handler: Any, max_wait_s: float = 1.0) -> Any:
        net, name = self._environment.net, self._instance
        async with asyncio.timeout(max_wait_s):
            connection = self._connections.get(name)
            if connection is None or connection.broken:
                connection = await net.open(self.name, name)
                self._connections[name] = connection
            return await net.call(connection, handler)


def _encode_body(call: history.Call) -> bytes:
    if call.value:
        return statements.put(call.item, call.value)
    if call.kind is requests.Kind.READ:
        return statements.get(*[call.item] * call.item_repetitions)
    return b""


def _parse_answer(call: history.Call, body: bytes) -> tuple[str, str] | None:
    """Return the item and value in an answer; None for requests without an item."""
    if not call.item:
        return None
    results = statements.decode_results(body)
    expected = 1 if call.value else call.item_repetitions
    if len(results) != expected or len(set(results)) != 1:
        return (f"an answer of {len(results)} results", str(results))
    value = results[0] or ""
    return (value.partition("=")[0] or call.item, value)
