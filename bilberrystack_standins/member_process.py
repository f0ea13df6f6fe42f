"""A process that runs one stand-in member of a database group.

Once it accepts connections, it prints one JSON line with its name, its address and the address of
its fault switches. It exits on SIGTERM or SIGINT.
"""

import contextlib
import pathlib
from typing import Annotated

import cyclopts
import msgspec
import uvloop

from bilberrystack_standins import journal_file
from bilberrystack_standins import member_faults
from bilberrystack_standins import member_server
from bilberrystack_standins import member_state
from bilberrystack_standins import process

app = cyclopts.App(name="member_process", help=__doc__)


class ReadyLine(msgspec.Struct):
    """The line that the process prints once it accepts connections.

    Attributes:
      name: The member's declared name.
      address: Address of the service in schema/members.thrift.
      faults: Address of the fault switches, served over HTTP.
    """

    name: str
    address: str
    faults: str


async def run(
    state: member_state.MemberState, faults: member_faults.Faults, listen: str, control: str
) -> None:
    """Runs a member until SIGTERM or SIGINT."""
    async with member_server.MemberServer(state, faults) as server:
        host, port = process.split_address(listen)
        await server.start(host, port)
        runner, faults_address = await process.serve_http(
            member_faults.application(server.switches), control
        )
        try:
            process.print_line(ReadyLine(state.name, server.address, faults_address))
            await process.wait_for_stop_signal()
        finally:
            await runner.cleanup()


@app.default
def main(
    *,
    name: str,
    listen: str = "127.0.0.1:0",
    control: str = "127.0.0.1:0",
    slots: int = 4,
    connections: int = 64,
    data_file: pathlib.Path | None = None,
    faults: Annotated[member_faults.Faults, cyclopts.Parameter(name="*")] | None = None,
) -> None:
    """Runs a member.

    Args:
      name: The member's declared name.
      listen: Address to listen on for proxies and other members.
      control: Address to listen on for the fault switches.
      slots: Maximum number of concurrent statements.
      connections: Maximum number of connections.
      data_file: File that keeps promised terms and log across a restart; without it both are lost.
      faults: Initial fault switches.
    """
    with contextlib.ExitStack() as stack:
        file = stack.enter_context(journal_file.JournalFile(data_file)) if data_file else None
        state = member_state.MemberState(
            name,
            slots=slots,
            connection_limit=connections,
            journal=file.write if file else None,
        )
        if file is not None:
            state.restore(file.read())
        uvloop.run(run(state, faults or member_faults.Faults(), listen, control))


if __name__ == "__main__":
    app()
