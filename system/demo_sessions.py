"""Demonstration of the session mode: writes continue while the primary is replaced."""

import asyncio
import time

import loguru

from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

WRITE_COUNT = 120
WRITE_PAUSE_S = 0.03

# Number of writes after which the primary starts to leave.
WRITES_BEFORE_LEAVING = 40


async def run() -> tuple[int, int, float]:
    """Runs two instances with a group of three members whose primary leaves.

    Returns:
      The number of acknowledged writes, the number of those that were lost, and the longest time
      between two acknowledgements in seconds.
    """
    async with line_site.Site(2, line_group.GroupOptions(apply_lag_s=0.05)) as site:
        session = await site.connect("own", 1)
        acknowledged: list[int] = []
        last_acknowledged_at_s, longest_gap_s = time.monotonic(), 0.0
        for number in range(WRITE_COUNT):
            if number == WRITES_BEFORE_LEAVING:
                await site.platform.register_member(site.group.members["a"], "draining")
            if (await session.query(f"WRITE k{number} {number}"))[0].startswith("DONE"):
                acknowledged.append(number)
                longest_gap_s = max(longest_gap_s, time.monotonic() - last_acknowledged_at_s)
                last_acknowledged_at_s = time.monotonic()
            await asyncio.sleep(WRITE_PAUSE_S)
        lost = 0
        for number in acknowledged:
            lost += (await session.query(f"READ k{number}"))[0] != f"ROW {number}"
        return len(acknowledged), lost, longest_gap_s


def main() -> None:
    """Runs the demonstration and prints its results."""
    loguru.logger.remove()
    acknowledged, lost, longest_gap_s = asyncio.run(run())
    print(f"writes acknowledged: {acknowledged} of {WRITE_COUNT}")
    print(f"of these lost: {lost}")
    print(f"longest gap: {longest_gap_s * 1000:.0f} ms")


if __name__ == "__main__":
    main()
