"""Calls on a framed connection whose failures are the typed ones of proxy/interfaces.py."""

from typing import Any

from thrift import Thrift

from bilberrystack.proxy import interfaces
from bilberrystack.wire import failures
from bilberrystack.wire import rpc


async def call(connection: rpc.Connection, label: str, method: str, *fields: Any) -> Any:
    """Calls a method of a member or a peer.

    Args:
      connection: The connection.
      label: What the failure's text begins with.
      method: The method's name.
      fields: Its arguments in the order of the schema.
    Returns:
      The answer. Raises interfaces.LinkLost, or failures.FrameTooLarge if nothing was sent because
      the call is longer than a frame may be.
    """
    try:
        return await connection.call(method, *fields)
    except failures.FrameTooLarge:
        raise
    except failures.ConnectionClosed as closed:
        raise interfaces.LinkLost(f"{label}: {closed}", closed.sent) from closed
    except (failures.WireFailure, Thrift.TException) as failure:
        # A failed handler may have run the request.
        raise interfaces.LinkLost(f"{label}: {failure}", sent=True) from failure
