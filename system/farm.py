"""Runs many stand-in members in one process, so that a large site fits on one machine.

Prints one JSON line with the members' addresses once they serve, and exits on SIGTERM or SIGINT.
"""

import contextlib

import cyclopts
import msgspec
import uvloop

from bilberrystack_standins import member_faults
from bilberrystack_standins import member_server
from bilberrystack_standins import member_state
from bilberrystack_standins import process

app = cyclopts.App(name="farm", help=__doc__)


class Ready(msgspec.Struct):
    """Line that the process prints once it serves.

    Attributes:
      addresses: Addresses of the members, in the order of their numbers.
    """

    addresses: list[str]


async def run(count: int, slots: int, connections: int) -> None:
    """Serves members until a stop signal arrives.

    Args:
      count: Number of members.
      slots: Number of statements that each member executes concurrently.
      connections: Maximum number of connections of each member.
    """
    async with contextlib.AsyncExitStack() as stack:
        servers = []
        for number in range(count):
            state = member_state.MemberState(
                f"m{number % 3}", slots=slots, connection_limit=connections
            )
            server = member_server.MemberServer(state, member_faults.Faults())
            servers.append(await stack.enter_async_context(server))
            await server.start("127.0.0.1", 0)
        process.print_line(Ready([server.address for server in servers]))
        await process.wait_for_stop_signal()


@app.default
def main(*, count: int, slots: int = 2, connections: int = 16) -> None:
    """Runs members until SIGTERM or SIGINT.

    Args:
      count: Number of members; each three consecutive members form a group.
      slots: Number of statements that each member executes concurrently.
      connections: Maximum number of connections of each member.
    """
    uvloop.run(run(count, slots, connections))


if __name__ == "__main__":
    app()
