"""A demonstration of the session mode: writes go on while the primary is replaced."""

import asyncio
import time

import loguru

from bilberrystack_standins import line_group
from bilberrystack_standins import line_site

WRITES = 120
PAUSE_S = 0.03

# The primary leaves after this many writes.
LEAVES_AFTER = 40


async def run() -> tuple[int, int, float]:
    """Runs two instances before a group of three members whose primary leaves.

    Returns:
      Writes acknowledged, those of them that were lost, and the longest gap in seconds.
    """
    async with line_site.Site(2, line_group.GroupOptions(apply_lag_s=0.05)) as site:
        session = await site.connect("own", 1)
        acknowledged: list[int] = []
        last_at_s, gap_s = time.monotonic(), 0.0
        for number in range(WRITES):
            if number == LEAVES_AFTER:
                await site.platform.register_member(site.group.members["a"], "draining")
            if (await session.query(f"WRITE k{number} {number}"))[0].startswith("DONE"):
                acknowledged.append(number)
                gap_s = max(gap_s, time.monotonic() - last_at_s)
                last_at_s = time.monotonic()
            await asyncio.sleep(PAUSE_S)
        lost = 0
        for number in acknowledged:
            lost += (await session.query(f"READ k{number}"))[0] != f"ROW {number}"
        return len(acknowledged), lost, gap_s


def main() -> None:
    """Prints the account of one run."""
    loguru.logger.remove()
    acknowledged, lost, gap_s = asyncio.run(run())
    print(f"writes acknowledged: {acknowledged} of {WRITES}")
    print(f"of these lost: {lost}")
    print(f"longest gap: {gap_s * 1000:.0f} ms")


if __name__ == "__main__":
    main()
