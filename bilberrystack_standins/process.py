"""What the stand-in processes share: addresses, the HTTP server, signals, the ready line."""

import asyncio
import signal
import sys

import msgspec
from aiohttp import web

# Calls still waiting when a process stops are cut after this time.
STOP_S = 0.1


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of "host:port". Raises ValueError."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"bad address {address!r}")
    return host, int(port)


async def serve_http(web_app: web.Application, address: str) -> tuple[web.AppRunner, str]:
    """Serves an HTTP application.

    Args:
      web_app: The application.
      address: Where to listen; port 0 chooses one.
    Returns:
      The runner, to be cleaned up, and the address. Raises OSError and ValueError.
    """
    runner = web.AppRunner(
        web_app, access_log=None, handler_cancellation=True, shutdown_timeout=STOP_S
    )
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port).start()
    bound_host, bound_port = runner.addresses[0][:2]
    return runner, f"{bound_host}:{bound_port}"


async def wait_for_stop_signal() -> None:
    """Returns at SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def print_line(value: msgspec.Struct) -> None:
    """Prints a value as one JSON line."""
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    sys.stdout.flush()
