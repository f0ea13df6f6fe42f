"""Remote calls on a framed connection, with failures mapped to those of proxy/interfaces.py."""

from typing import Any

from thrift import Thrift

from bilberrystack.proxy import interfaces
from bilberrystack.wire import failures
from bilberrystack.wire import rpc


async def call(connection: rpc.Connection, label: str, method: str, *fields: Any) -> Any:
    """Calls a method of a member or a peer.

    Args:
      connection: The connection.
      label: The prefix of the failure's message.
      method: The method's name.
      fields: The method's arguments, in the order of the schema.
    Returns:
      The answer.
    Raises:
      interfaces.LinkLost: The connection broke, or the call failed at the remote end.
      failures.FrameTooLarge: The call exceeds the maximum frame size. Nothing was sent.
    """
    try:
        return await connection.call(method, *fields)
    except failures.FrameTooLarge:
        raise
    except failures.ConnectionClosed as closed:
        raise interfaces.LinkLost(f"{label}: {closed}", closed.sent) from closed
    except (failures.WireFailure, Thrift.TException) as failure:
        # The remote handler may have run the request before it failed.
        raise interfaces.LinkLost(f"{label}: {failure}", sent=True) from failure
