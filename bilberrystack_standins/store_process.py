"""A process that runs the stand-in store.

Once it accepts connections, it prints one JSON line with its address. It exits on SIGTERM or
SIGINT.
"""

import cyclopts
import msgspec
import uvloop

from bilberrystack_standins import process
from bilberrystack_standins import store_server
from bilberrystack_standins import store_state

app = cyclopts.App(name="store_process", help=__doc__)


class ReadyLine(msgspec.Struct):
    """The line that the process prints once it accepts connections.

    Attributes:
      address: Address of the object API and of the control endpoints.
    """

    address: str


async def run(listen: str) -> None:
    """Runs a store until SIGTERM or SIGINT."""
    server = store_server.StoreServer(store_state.StoreState())
    runner, address = await process.serve_http(server.application(), listen)
    try:
        process.print_line(ReadyLine(address))
        await process.wait_for_stop_signal()
    finally:
        await runner.cleanup()


@app.default
def main(*, listen: str = "127.0.0.1:0") -> None:
    """Runs a store.

    Args:
      listen: Address to listen on.
    """
    uvloop.run(run(listen))


if __name__ == "__main__":
    app()
