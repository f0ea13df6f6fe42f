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

# A control connection without an answer for this long is closed when a call on it is cancelled, in
# seconds, since TCP can take minutes to detect a lost peer. With a shorter time, connections would
# accumulate at a member that is only paused: its listen backlog accepts one for each attempt.
CONTROL_SILENCE_TIMEOUT_S = 5.0


def open_member(
    declaration: declarations.MemberDeclaration,
    instance_id: str,
    tls: ssl.SSLContext | None = None,
) -> "MemberLink":
    """Returns a link to a declared member. It connects on first use.

    Args:
      declaration: The member's declaration.
      instance_id: The id of this instance, which is sent to the member.
      tls: The TLS context; None for plain TCP.
    Returns:
      The link.
    Raises:
      ValueError: The declared address is not of the form "host:port".
    """
    host, separator, port = declaration.address.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"member {declaration.name}: bad address {declaration.address!r}")
    return MemberLink(declaration, host.strip("[]"), int(port), instance_id, tls)


class MemberLink:
    """Implements interfaces.Member. The control connection is opened on first use."""

    __slots__ = (
        "_control",
        "_declaration",
        "_host",
        "_instance_id",
        "_last_answer_at",
        "_port",
        "_tls",
    )

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
        self._instance_id = instance_id
        self._tls = tls
        self._control: asyncio.Task[rpc.Connection] | None = None
        self._last_answer_at = 0.0

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
        """Opens a data connection.

        Raises:
          interfaces.ConnectionRefused: The member refuses the connection, normally because its
            connection limit is reached.
          interfaces.LinkLost: The member can't be reached.
        """
        return DataConnection(await self._open(control=False))

    async def status(self, wait_for: positions.Position, wait_s: float) -> members.MemberStatus:
        """Returns the member's status report (a long poll); see interfaces.Member."""
        encoded_position = member_messages.from_position(wait_for)
        answer = await self._call_control("status", encoded_position, _milliseconds(wait_s))
        return _decode(member_messages.to_status, answer)

    async def fence(self, term: int) -> tuple[bool, members.MemberStatus]:
        """Asks the member to promise a term. Returns whether it was granted, and the report."""
        answer = await self._call_control("fence", term)
        return bool(answer.granted), _decode(member_messages.to_status, answer.status)

    async def promote(self, term: int) -> members.MemberStatus:
        """Makes the member the primary of a term, if it has promised exactly this term."""
        answer = await self._call_control("promote", term)
        return _decode(member_messages.to_status, answer)

    async def follow(self, term: int, primary_address: str) -> members.MemberStatus:
        """Makes the member a replica in a term, if it has not promised a newer one."""
        answer = await self._call_control("follow", term, primary_address)
        return _decode(member_messages.to_status, answer)

    def close(self) -> None:
        """Closes the control connection. Data connections have to be closed separately."""
        control, self._control = self._control, None
        if control is None:
            return
        if control.done():
            _close_when_connected(control)
            return
        control.add_done_callback(_close_when_connected)
        control.cancel()

    async def _call_control(self, method: str, *fields: Any) -> Any:
        try:
            connection = await self._control_connection()
            answer = await link_calls.call(connection, method, method, *fields)
        except asyncio.CancelledError:
            self._close_if_unresponsive()
            raise
        self._last_answer_at = asyncio.get_running_loop().time()
        return answer

    async def _control_connection(self) -> rpc.Connection:
        """Returns the open control connection. Concurrent calls share one connection attempt."""
        if self._control is None or _is_unusable(self._control):
            loop = asyncio.get_running_loop()
            self._last_answer_at = loop.time()
            self._control = loop.create_task(self._open(control=True))
        control = self._control
        try:
            return await asyncio.shield(control)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if control.cancelled() and task is not None and not task.cancelling():
                raise interfaces.LinkLost("closed by this side", sent=False) from None
            raise

    def _close_if_unresponsive(self) -> None:
        silent_s = asyncio.get_running_loop().time() - self._last_answer_at
        if silent_s > CONTROL_SILENCE_TIMEOUT_S:
            self.close()

    async def _open(self, *, control: bool) -> rpc.Connection:
        try:
            connection = await rpc.connect(SERVICE, self._host, self._port, tls=self._tls)
        except OSError as error:
            raise interfaces.LinkLost(f"{self.address}: {error}", sent=False) from error
        try:
            reply = _decode_reply(
                await link_calls.call(connection, "hello", "hello", self._instance_id, control)
            )
        except interfaces.LinkLost as lost:
            connection.close()
            # The connection has not carried a request of a caller yet.
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
        """Whether the connection is closed and rejects further calls."""
        return self._connection.closed

    async def read(
        self, body: bytes, min_position: positions.Position, wait_s: float
    ) -> members.MemberReply:
        """Runs a read-only statement.

        Args:
          body: The statement.
          min_position: The position that the member has to apply before it runs the statement.
          wait_s: The longest time that the member waits for this position, in seconds.
        Returns:
          The reply.
        """
        encoded_position = member_messages.from_position(min_position)
        return await self._call("read", body, encoded_position, _milliseconds(wait_s))

    async def write(self, term: int, key: requests.RequestKey, body: bytes) -> members.MemberReply:
        """Runs a write and records its key."""
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
        """Returns the recorded answer of a key, or cancels the key if there is none."""
        return await self._call("resolve", term, member_messages.from_key(key))

    def close(self) -> None:
        """Closes the connection, which aborts its transaction."""
        self._connection.close()

    async def _call(self, method: str, *fields: Any) -> members.MemberReply:
        try:
            return _decode_reply(await link_calls.call(self._connection, method, method, *fields))
        except failures.FrameTooLarge as failure:
            # Nothing was sent, so the connection stays usable. Term 0: the refusal does not come
            # from the member and contains no promise.
            return members.Refused(members.Refusal.INVALID_STATEMENT, str(failure), 0)
        except BaseException:
            # A late answer must not be taken for the answer of the next statement, and a
            # transaction in an unknown state must not continue.
            self._connection.close()
            raise


def _decode(decoder: collections.abc.Callable[[Any], _Result], message: Any) -> _Result:
    try:
        return decoder(message)
    except Thrift.TException as malformed:
        raise interfaces.LinkLost(f"malformed answer: {malformed}", sent=True) from malformed


def _decode_reply(message: Any) -> members.MemberReply:
    return _decode(member_messages.to_reply, message)


def _is_unusable(control: asyncio.Task[rpc.Connection]) -> bool:
    if not control.done():
        return False
    return control.cancelled() or control.exception() is not None or control.result().closed


def _close_when_connected(control: asyncio.Task[rpc.Connection]) -> None:
    if not control.cancelled() and control.exception() is None:
        control.result().close()


def _milliseconds(seconds: float) -> int:
    """Converts seconds to milliseconds, rounded up so that a short wait does not become zero."""
    return max(0, math.ceil(seconds * 1000))
