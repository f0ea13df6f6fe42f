"""The serving process of the session mode: its assembly and its exit code."""

import asyncio
import sys

import uvloop
from returns import result

from bilberrystack.platform import client
from bilberrystack.platform import settings_file
from bilberrystack.platform import wire
from bilberrystack.pooling import counters
from bilberrystack.pooling import instance
from bilberrystack.pooling import log_output
from bilberrystack.pooling import settings

# Exit code for invalid settings; the command line uses the same code for invalid arguments.
EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Load the settings and serve until the process is asked to stop.

    Returns:
      The exit code of the process.
    """
    match settings_file.load():
        case result.Success(settings.Settings() as loaded_settings):
            uvloop.run(_serve(loaded_settings))
            return 0
        case result.Failure(settings.InvalidSettings(problems)):
            for problem in problems:
                print(f"settings: {problem}", file=sys.stderr)
            return EXIT_INVALID_SETTINGS
    return EXIT_INVALID_SETTINGS


async def _serve(loaded_settings: settings.Settings) -> None:
    metrics = counters.Counters()
    with log_output.log_to_stdout(metrics):
        platform = client.Client(
            loaded_settings.store_endpoint, loaded_settings.platform_endpoint, metrics
        )
        served_instance = instance.Instance(loaded_settings, platform, wire, metrics)
        try:
            await served_instance.run()
        finally:
            # Let the event loop complete the closing of the connections.
            await asyncio.sleep(0)
