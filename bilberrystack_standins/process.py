"""Functions shared by the stand-in processes: addresses, HTTP server, signals, ready line."""

import asyncio
import signal
import sys

import msgspec
from aiohttp import web

# Time after which a stopping process aborts the calls that are still running.
SHUTDOWN_TIMEOUT_S = 0.1


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
      address: The address to listen on; port 0 chooses a free port.
    Returns:
      The runner, which the caller has to clean up, and the address in use.
    Raises:
      OSError: The address cannot be bound.
      ValueError: The address is malformed.
    """
    runner = web.AppRunner(
        web_app, access_log=None, handler_cancellation=True, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port).start()
    bound_host, bound_port = runner.addresses[0][:2]
    return runner, f"{bound_host}:{bound_port}"


async def wait_for_stop_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop.set)
    await stop.wait()


def print_line(value: msgspec.Struct) -> None:
    """Prints a value as one JSON line."""
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    sys.stdout.flush()
