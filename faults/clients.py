"""Callers' sessions that run programmes through the instances and keep their history."""

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

_KINDS = {
    programmes.Action.READ: requests.Kind.READ,
    programmes.Action.WRITE: requests.Kind.WRITE,
    programmes.Action.IDEMPOTENT_WRITE: requests.Kind.IDEMPOTENT_WRITE,
}
_RESOLVED = (requests.Kind.WRITE, requests.Kind.COMMIT)


class Instance(Protocol):
    """What a caller sees of an instance."""

    name: str

    @property
    def version(self) -> int: ...

    async def open_session(self, session: str) -> bytes: ...

    async def execute(self, request: entry.CallerRequest) -> entry.Reply | errors.CallerError: ...


class Fleet(Protocol):
    """The instances as the callers' load balancer sees them."""

    record: history.History
    net: network.Network

    @property
    def open_instances(self) -> list[str]:
        """The instances that run and are not leaving."""

    def instance(self, name: str) -> Instance: ...

    def impaired_since(self, instance: str, start: float) -> bool:
        """Tells whether an instance was down, paused or cut off at any time since start."""


class Client:
    """One session of one caller."""

    def __init__(self, fleet: Fleet, name: str, rng: random.Random) -> None:
        self.name = name
        self._fleet = fleet
        self._rng = rng
        self._sequence = 0
        self._tokens: list[bytes] = []
        self._instance = ""
        self._connections: dict[str, network.Connection] = {}
        self._background: list[asyncio.Task[Any]] = []

    @property
    def instance(self) -> str:
        """The instance that the session uses now."""
        return self._instance

    async def run(self, steps: list[programmes.Step]) -> None:
        """Runs a programme to its end."""
        await self.open()
        for step in steps:
            await asyncio.sleep(step.think_s)
            if step.roam:
                self.roam()
            work = asyncio.get_running_loop().create_task(self.take(step))
            if step.wait:
                await work
            else:
                self._background.append(work)
        await asyncio.gather(*self._background)

    async def open(self) -> None:
        """Opens the session at any instance."""
        self.roam()
        while not self._tokens:
            try:
                open_session = self._fleet.instance(self._instance).open_session
                self._tokens = [await self._call(functools.partial(open_session, self.name))]
            except (interfaces.LinkLost, TimeoutError):
                await asyncio.sleep(0.02)
                self.roam()

    def roam(self) -> None:
        """Moves the session to another open instance, if there is one."""
        choices = [name for name in self._fleet.open_instances if name != self._instance]
        if choices:
            self._instance = self._rng.choice(choices)
            self._fleet.net.emit("session.roamed", self.name, self._instance)

    async def take(self, step: programmes.Step) -> history.Call:
        """Runs one step; returns its last request."""
        group = f"g{step.group}"
        item = f"{group}.i{step.item}"
        if step.action is programmes.Action.TRANSACTION:
            return await self._transaction(group, step, requests.Kind.COMMIT)
        if step.action is programmes.Action.ABORTED_TRANSACTION:
            return await self._transaction(group, step, requests.Kind.ABORT)
        call = self._new_call(_KINDS[step.action], group, step.timeout_s, item, age=step.age)
        await self._complete(call, None)
        return call

    async def _transaction(
        self, group: str, step: programmes.Step, end_by: requests.Kind
    ) -> history.Call:
        begin = self._new_call(requests.Kind.BEGIN, group, step.timeout_s)
        await self._complete(begin, None)
        if not isinstance(begin.outcome, outcomes.Answer):
            return begin
        name, transaction = f"{self.name}/{begin.sequence}", begin.outcome.transaction
        for offset in (0, 1):
            written = f"{group}.i{(step.item + offset) % programmes.ITEMS}"
            statement = self._new_call(
                requests.Kind.STATEMENT, group, step.timeout_s, written, owner=name
            )
            await self._complete(statement, transaction)
            if not statement.answered:
                break
        ended = end_by if statement.answered else requests.Kind.ABORT
        end = self._new_call(ended, group, step.timeout_s, owner=name)
        await self._complete(end, transaction)
        return end

    def _new_call(
        self,
        kind: requests.Kind,
        group: str,
        timeout_s: float,
        item: str = "",
        *,
        age: float = 0.0,
        owner: str | None = None,
    ) -> history.Call:
        self._sequence += 1
        now = self._fleet.net.loop.time()
        writes = kind in checker.WRITES or kind is requests.Kind.STATEMENT
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
            age=age,
            transaction=owner,
        )
        self._fleet.record.calls.append(call)
        return call

    async def _complete(self, call: history.Call, transaction: str | None) -> None:
        outcome = await self._outcome(call, transaction)
        call.outcome = outcome
        call.outcomes += 1
        call.finished_at = self._fleet.net.loop.time()
        if isinstance(outcome, outcomes.Answer):
            call.answer = _parse(call, outcome.body)

    async def _outcome(self, call: history.Call, transaction: str | None) -> outcomes.Outcome:
        """Sends a request; after a lost link it moves to another instance."""
        kind, body = call.kind, _body(call)
        while True:
            now = self._fleet.net.loop.time()
            if now >= call.deadline:
                return outcomes.Unknown(outcomes.UnknownReason.DEADLINE_AFTER_SEND, "client")
            instance = self._instance
            try:
                return await self._send(call, kind, body, transaction)
            except interfaces.LinkLost as lost:
                if lost.sent:
                    call.cut_off_by.append(instance)
                if lost.sent and kind in _RESOLVED:
                    kind, body, transaction = requests.Kind.RESOLVE, b"", None
                elif lost.sent and kind is requests.Kind.STATEMENT:
                    return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, "client")
            except TimeoutError:
                call.overdue |= not self._fleet.impaired_since(instance, now)
                if kind not in _RESOLVED:
                    return outcomes.Unknown(outcomes.UnknownReason.DEADLINE_AFTER_SEND, "client")
                kind, body, transaction = requests.Kind.RESOLVE, b"", None
                call.deadline = self._fleet.net.loop.time() + RESOLVE_TIMEOUT_S
            await asyncio.sleep(0.01)
            if self._instance == instance:
                self.roam()

    async def _send(
        self, call: history.Call, kind: requests.Kind, body: bytes, transaction: str | None
    ) -> outcomes.Outcome:
        left = call.deadline - self._fleet.net.loop.time()
        request = entry.CallerRequest(
            call.sequence, tuple(self._tokens), call.group, kind, body, call.age, left, transaction
        )
        instance = self._fleet.instance(self._instance)
        patience = left + checker.DEADLINE_SLACK_S / 2

        async def execute() -> entry.Reply | errors.CallerError:
            call.received_at = call.received_at or self._fleet.net.loop.time()
            reply = await instance.execute(request)
            call.answered_under = (instance.name, instance.version)
            return reply

        reply = await self._call(execute, patience)
        if isinstance(reply, errors.CallerError):
            raise AssertionError(f"{call.name}: {errors.describe(reply)}")
        if reply.token is not None:
            sent = set(request.tokens)
            self._tokens = [one for one in self._tokens if one not in sent] + [reply.token]
        return reply.outcome

    async def _call(self, handler: Any, patience_s: float = 1.0) -> Any:
        net, name = self._fleet.net, self._instance
        async with asyncio.timeout(patience_s):
            connection = self._connections.get(name)
            if connection is None or connection.broken:
                connection = await net.open(self.name, name)
                self._connections[name] = connection
            return await net.call(connection, handler)


def _body(call: history.Call) -> bytes:
    if call.value:
        return statements.put(call.item, call.value)
    if call.kind is requests.Kind.READ:
        return statements.get(*[call.item] * call.arity)
    return b""


def _parse(call: history.Call, body: bytes) -> tuple[str, str] | None:
    """Returns the item and value that an answer holds; None for requests without any."""
    if not call.item:
        return None
    results = statements.decode_results(body)
    expected = 1 if call.value else call.arity
    if len(results) != expected or len(set(results)) != 1:
        return (f"an answer of {len(results)} results", str(results))
    value = results[0] or ""
    return (value.partition("=")[0] or call.item, value)
