"""The stand-in store as a process.

Prints one JSON line with its address once it serves, and ends at SIGTERM or SIGINT.
"""

import cyclopts
import msgspec
import uvloop

from bilberrystack_standins import process
from bilberrystack_standins import store_server
from bilberrystack_standins import store_state

app = cyclopts.App(name="store_process", help=__doc__)


class Ready(msgspec.Struct):
    """What the process prints once it serves.

    Attributes:
      address: Where it serves the object API and the control endpoints.
    """

    address: str


async def run(listen: str) -> None:
    """Serves a store until a stop signal."""
    server = store_server.StoreServer(store_state.StoreState())
    runner, address = await process.serve_http(server.application(), listen)
    try:
        process.print_line(Ready(address))
        await process.wait_for_stop_signal()
    finally:
        await runner.cleanup()


@app.default
def main(*, listen: str = "127.0.0.1:0") -> None:
    """Runs a store.

    Args:
      listen: Where to serve.
    """
    uvloop.run(run(listen))


if __name__ == "__main__":
    app()
