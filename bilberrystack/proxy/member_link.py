"""Links to the members of database groups over schema/members.thrift."""

import asyncio
import collections.abc
import math
import ssl
from typing import Any
from typing import TypeVar

from thrift import Thrift

from bilberrystack.core import declarations
from bilberrystack.core import members
from bilberrystack.core import positions
from bilberrystack.core import requests
from bilberrystack.gen.members import Member as member_service
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import link_calls
from bilberrystack.proxy import member_messages
from bilberrystack.wire import codec
from bilberrystack.wire import failures
from bilberrystack.wire import rpc

SERVICE = codec.service(member_service)

_Result = TypeVar("_Result")

# A control connection that has answered nothing for this long is given up when a call on it is
# cancelled, since TCP can take minutes to notice a lost peer. A shorter time would pile up
# connections at a member that is only paused: its backlog accepts one for each attempt.
SILENT_CONTROL_S = 5.0


def open_member(
    declaration: declarations.MemberDeclaration,
    instance_id: str,
    tls: ssl.SSLContext | None = None,
) -> "MemberLink":
    """Returns a link to a declared member; it connects at first use.

    Args:
      declaration: The member.
      instance_id: The id of this instance, told to the member.
      tls: The TLS context, or None for plain TCP.
    Returns:
      The link. Raises ValueError if the declared address is not "number:port".
    """
    host, separator, port = declaration.address.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"member {declaration.name}: bad address {declaration.address!r}")
    return MemberLink(declaration, host.strip("[]"), int(port), instance_id, tls)


class MemberLink:
    """Implements interfaces.Member. The connection of the control calls opens at first use."""

    __slots__ = ("_control", "_declaration", "_heard_at", "_host", "_instance", "_port", "_tls")

    def __init__(
        self,
        declaration: declarations.MemberDeclaration,
        host: str,
        port: int,
        instance_id: str,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._declaration = declaration
        self._host = host
        self._port = port
        self._instance = instance_id
        self._tls = tls
        self._control: asyncio.Task[rpc.Connection] | None = None
        self._heard_at = 0.0

    @property
    def name(self) -> str:
        """The member's declared name."""
        return self._declaration.name

    @property
    def address(self) -> str:
        """The member's declared address."""
        return self._declaration.address

    @property
    def failure_domain(self) -> str:
        """The declared failure domain of the member's endpoint."""
        return self._declaration.failure_domain

    async def connect(self) -> "DataConnection":
        """Opens a data connection. Raises interfaces.ConnectionRefused and LinkLost."""
        return DataConnection(await self._open(control=False))

    async def status(self, wait_for: positions.Position, wait_s: float) -> members.MemberStatus:
        """Returns when last_log reaches wait_for, the promised term changes or wait_s passed."""
        wanted = member_messages.from_position(wait_for)
        answer = await self._call_control("status", wanted, _milliseconds(wait_s))
        return _translate(member_messages.to_status, answer)

    async def fence(self, term: int) -> tuple[bool, members.MemberStatus]:
        """Asks for a promise; the flag tells whether it was granted (term > promised term)."""
        answer = await self._call_control("fence", term)
        return bool(answer.granted), _translate(member_messages.to_status, answer.status)

    async def promote(self, term: int) -> members.MemberStatus:
        """Makes the member primary of term, if that is the term that it has promised."""
        answer = await self._call_control("promote", term)
        return _translate(member_messages.to_status, answer)

    async def follow(self, term: int, primary_address: str) -> members.MemberStatus:
        """Makes the member a replica in term, if it has not promised a newer one."""
        answer = await self._call_control("follow", term, primary_address)
        return _translate(member_messages.to_status, answer)

    def close(self) -> None:
        """Closes the control connection; data connections are closed by whoever opened them."""
        control, self._control = self._control, None
        if control is None:
            return
        if control.done():
            _close_result(control)
            return
        control.add_done_callback(_close_result)
        control.cancel()

    async def _call_control(self, method: str, *fields: Any) -> Any:
        try:
            connection = await self._control_connection()
            answer = await link_calls.call(connection, method, method, *fields)
        except asyncio.CancelledError:
            self._give_up_if_silent()
            raise
        self._heard_at = asyncio.get_running_loop().time()
        return answer

    async def _control_connection(self) -> rpc.Connection:
        """Returns the open control connection; simultaneous first calls share one attempt."""
        if self._control is None or _unusable(self._control):
            loop = asyncio.get_running_loop()
            self._heard_at = loop.time()
            self._control = loop.create_task(self._open(control=True))
        control = self._control
        try:
            return await asyncio.shield(control)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if control.cancelled() and task is not None and not task.cancelling():
                raise interfaces.LinkLost("closed by this side", sent=False) from None
            raise

    def _give_up_if_silent(self) -> None:
        silent_s = asyncio.get_running_loop().time() - self._heard_at
        if silent_s > SILENT_CONTROL_S:
            self.close()

    async def _open(self, *, control: bool) -> rpc.Connection:
        try:
            connection = await rpc.connect(SERVICE, self._host, self._port, tls=self._tls)
        except OSError as error:
            raise interfaces.LinkLost(f"{self.address}: {error}", sent=False) from error
        try:
            reply = _translate_reply(
                await link_calls.call(connection, "hello", "hello", self._instance, control)
            )
        except interfaces.LinkLost as lost:
            connection.close()
            # No request of a caller was on the connection yet.
            raise interfaces.LinkLost(str(lost), sent=False) from lost
        except BaseException:
            connection.close()
            raise
        if isinstance(reply, members.Refused):
            connection.close()
            raise interfaces.ConnectionRefused(f"{reply.refusal.name}: {reply.detail}")
        return connection


class DataConnection:
    """Implements interfaces.MemberConnection."""

    __slots__ = ("_connection",)

    def __init__(self, connection: rpc.Connection) -> None:
        self._connection = connection

    @property
    def closed(self) -> bool:
        """Whether the connection can carry no more calls."""
        return self._connection.closed

    async def read(
        self, body: bytes, min_position: positions.Position, wait_s: float
    ) -> members.MemberReply:
        """Runs a statement that only reads, once min_position is applied or wait_s passed."""
        wanted = member_messages.from_position(min_position)
        return await self._call("read", body, wanted, _milliseconds(wait_s))

    async def write(self, term: int, key: requests.RequestKey, body: bytes) -> members.MemberReply:
        """Runs a statement and records its key."""
        return await self._call("write", term, member_messages.from_key(key), body)

    async def begin(self, term: int) -> members.MemberReply:
        """Opens a transaction."""
        return await self._call("begin", term)

    async def statement(self, body: bytes) -> members.MemberReply:
        """Runs a statement inside the transaction."""
        return await self._call("statement", body)

    async def commit(self, key: requests.RequestKey) -> members.MemberReply:
        """Commits the transaction and records the key with it."""
        return await self._call("commit", member_messages.from_key(key))

    async def abort(self) -> members.MemberReply:
        """Aborts the transaction."""
        return await self._call("abort")

    async def resolve(self, term: int, key: requests.RequestKey) -> members.MemberReply:
        """Returns the key's recorded answer or cancels the key."""
        return await self._call("resolve", term, member_messages.from_key(key))

    def close(self) -> None:
        """Closes the connection, which aborts its transaction."""
        self._connection.close()

    async def _call(self, method: str, *fields: Any) -> members.MemberReply:
        try:
            return _translate_reply(
                await link_calls.call(self._connection, method, method, *fields)
            )
        except failures.FrameTooLarge as failure:
            # Nothing was sent, so the connection stays usable. The member promises no term by this.
            return members.Refused(members.Refusal.INVALID_STATEMENT, str(failure), 0)
        except BaseException:
            # A late answer must not meet the next statement, and a transaction whose state is
            # not known must not go on.
            self._connection.close()
            raise


def _translate(translation: collections.abc.Callable[[Any], _Result], message: Any) -> _Result:
    try:
        return translation(message)
    except Thrift.TException as malformed:
        raise interfaces.LinkLost(f"malformed answer: {malformed}", sent=True) from malformed


def _translate_reply(message: Any) -> members.MemberReply:
    return _translate(member_messages.to_reply, message)


def _unusable(control: asyncio.Task[rpc.Connection]) -> bool:
    if not control.done():
        return False
    return control.cancelled() or control.exception() is not None or control.result().closed


def _close_result(control: asyncio.Task[rpc.Connection]) -> None:
    if not control.cancelled() and control.exception() is None:
        control.result().close()


def _milliseconds(seconds: float) -> int:
    """Rounds up, so that a short wait does not become none."""
    return max(0, math.ceil(seconds * 1000))
