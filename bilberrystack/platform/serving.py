"""Puts the serving process of the session mode together, and runs it."""

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

# Exit code for settings that can't be used, as the command line's.
EXIT_SETTINGS = 2


def main() -> int:
    """Reads the settings and serves until the process is asked to stop.

    Returns:
      The exit code.
    """
    match settings_file.load():
        case result.Success(settings.Settings() as loaded):
            uvloop.run(_serve(loaded))
            return 0
        case result.Failure(settings.InvalidSettings(problems)):
            for problem in problems:
                print(f"settings: {problem}", file=sys.stderr)
            return EXIT_SETTINGS
    return EXIT_SETTINGS


async def _serve(loaded: settings.Settings) -> None:
    counted = counters.Counters()
    with log_output.log_to_stdout(counted):
        platform = client.Client(loaded.store_endpoint, loaded.platform_endpoint, counted)
        served = instance.Instance(loaded, platform, wire, counted)
        try:
            await served.run()
        finally:
            platform.close()
            await asyncio.sleep(0)
