"""Mutations that replace mechanisms of the proxy by incorrect ones, to test the checker.

Each function returns a context manager that patches the proxy for the runs inside its block.
"""

import collections.abc
import contextlib
import dataclasses
from typing import Any
from unittest import mock

from bilberrystack.core import failover
from bilberrystack.core import outcomes
from bilberrystack.core import parts
from bilberrystack.core import positions
from bilberrystack.core import quorum
from bilberrystack.core import requests
from bilberrystack.core import routing
from bilberrystack.core import tokens
from bilberrystack.proxy import acceptance
from bilberrystack.proxy import configuration
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import node
from bilberrystack.proxy import reads
from bilberrystack.proxy import statements
from bilberrystack.proxy import supervisor
from bilberrystack.proxy import transactions
from bilberrystack.proxy import writes

Mutation = collections.abc.Callable[[], contextlib.AbstractContextManager[None]]


@contextlib.contextmanager
def _patched(*replacements: tuple[Any, str, Any]) -> collections.abc.Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in replacements:
            stack.enter_context(mock.patch.object(owner, name, replacement))
        yield


def no_mutation() -> contextlib.AbstractContextManager[None]:
    """Leave the proxy unchanged."""
    return contextlib.nullcontext()


def acknowledge_before_majority() -> contextlib.AbstractContextManager[None]:
    """Acknowledge a write as soon as the primary has executed it."""

    async def confirmed(_self: Any, _request: Any, _position: Any, outcome: Any) -> Any:
        return outcome

    return _patched((writes.Writes, "_confirmed", confirmed))


def promote_without_majority() -> contextlib.AbstractContextManager[None]:
    """Promote a member after a single member has granted the term."""
    won = property(lambda self: bool(self._granted))
    return _patched((failover.FencingRound, "won", won))


def reuse_outstanding_connections() -> contextlib.AbstractContextManager[None]:
    """Return a connection to the pool while a reply on it is outstanding."""

    def drain(state: Any, ticket: Any, lease: Any, _work: Any, _reusable: bool) -> None:
        lease.return_to_pool()
        state.slots.release(ticket)

    return _patched((statements, "_drain", drain))


def retry_every_write() -> contextlib.AbstractContextManager[None]:
    """Retry a write whose reply is lost under a new request key."""
    send = writes.Writes._send

    async def run(self: Any, request: requests.GroupRequest) -> outcomes.Outcome:
        answer_deadline = statements.resolution_start(self._loop.time(), request.deadline)
        attempt = request
        for attempt_number in range(1, 10):
            result = await send(self, attempt, answer_deadline)
            outcome = await self._outcome_of_result(attempt, result)
            if outcome is not None:
                return outcome
            key = requests.RequestKey(
                request.key.session, request.key.sequence + 10000 * attempt_number
            )
            attempt = dataclasses.replace(request, key=key)
        return outcomes.Unknown(outcomes.UnknownReason.CONNECTION_LOST, "")

    return _patched((writes.Writes, "run", run))


def ignore_watermarks() -> contextlib.AbstractContextManager[None]:
    """Ignore the positions that a session has observed."""
    return _patched((tokens.SessionWatermarks, "of", lambda _self, _group: positions.ZERO))


def ignore_max_ages() -> contextlib.AbstractContextManager[None]:
    """Serve reads with a maximum age from any position."""

    def index(_self: Any, _now: float, _max_age_s: float) -> positions.Position:
        return positions.ZERO

    return _patched((quorum.QuorumEvidence, "index_for_age", index))


def ignore_read_durability() -> contextlib.AbstractContextManager[None]:
    """Answer reads at any member from positions that a majority has not confirmed."""

    async def answer(self: Any, _progress: Any, name: str, reply: Any) -> outcomes.Outcome:
        replica = name != self._state.last_primary
        return outcomes.Answer(reply.body, reply.position, name, replica)

    return _patched((reads.Reads, "_answer", answer))


def report_sent_write_as_not_run() -> contextlib.AbstractContextManager[None]:
    """Report a request whose reply is lost as not run."""

    async def resolve(_self: Any, _request: Any, _unresolved: Any = None) -> outcomes.Outcome:
        return outcomes.NotRun(outcomes.NotRunReason.CANCELLED, "no answer")

    return _patched((writes.Writes, "resolve", resolve))


def share_transaction_connections() -> contextlib.AbstractContextManager[None]:
    """Execute all transactions of an owner on the connection of the first one."""
    opened = transactions.Transactions._opened

    def share(self: Any, request: Any, reply: Any, member: str, lease: Any) -> outcomes.Outcome:
        others = list(self._open.values())
        if not others or others[0].member != member:
            return opened(self, request, reply, member, lease)
        lease.discard()
        return opened(self, request, reply, member, others[0].lease)

    return _patched((transactions.Transactions, "_opened", share))


def use_leaving_endpoints() -> contextlib.AbstractContextManager[None]:
    """Ignore that endpoints are leaving."""
    return _patched(
        (routing.Router, "is_leaving", lambda _self, _name: False),
        (supervisor.Supervisor, "_is_leaving", lambda _self, _name: False),
    )


def stop_without_draining() -> contextlib.AbstractContextManager[None]:
    """Stop an instance without waiting for requests in flight."""

    async def leave(self: Any, _grace_s: float, _busy: Any) -> bool:
        self._entry.leave()
        return False

    async def end(_self: Any, *_exception: object) -> None:
        """Abandon all tasks, as the exit of a process does."""

    return _patched((node.Node, "leave", leave), (node.Node, "__aexit__", end))


def apply_any_version() -> contextlib.AbstractContextManager[None]:
    """Apply a configuration regardless of its version."""

    checked_apply = configuration.Configuration.apply

    def apply(self: Any, head: parts.Head, contents: Any) -> None:
        if head.version < self.version:
            self._head = parts.EMPTY_HEAD
        checked_apply(self, head, contents)

    async def apply_stored(self: Any, stored: Any) -> bool:
        head = self._decode_head(stored.value)
        self.apply(head, await self.fetch_parts(head))
        return True

    return _patched(
        (configuration.Configuration, "apply", apply),
        (configuration.Configuration, "apply_stored", apply_stored),
    )


def serve_without_contact() -> contextlib.AbstractContextManager[None]:
    """Serve under a configuration regardless of when it was last confirmed as current."""
    return _patched(
        (configuration.Configuration, "serving_allowed", lambda _self, _now: True),
    )


def overwrite_the_head() -> contextlib.AbstractContextManager[None]:
    """Store a configuration without checking the version that it replaces."""
    put = acceptance.Acceptor._put

    async def overwrite(self: Any, key: str, content: bytes, expected_version: int) -> None:
        while key == configuration.HEAD_KEY:
            current = await self._store.get(key)
            with contextlib.suppress(interfaces.VersionConflict):
                await put(self, key, content, current.version if current else 0)
                return
        await put(self, key, content, expected_version)

    return _patched((acceptance.Acceptor, "_put", overwrite))
