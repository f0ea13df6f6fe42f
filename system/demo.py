"""Demonstration: traffic through three proxies while the primary of the group is killed."""

import asyncio
import pathlib
import sys
import tempfile

from bilberrystack.core import declarations
from bilberrystack.core import positions
from bilberrystack.proxy import interfaces
from bilberrystack.proxy import member_link
from system import site
from system import workload

WRITER_COUNT = 6

# Writes that have to be acknowledged before and after the primary is killed.
WRITES_BEFORE = 200
WRITES_AFTER = 200


async def find_primary(running_site: site.Site) -> str:
    """Waits for a primary and returns the name of the one with the highest term."""
    while True:
        terms = [await _primary_term(name, running_site) for name in running_site.standins.members]
        term, name = max(terms)
        if term:
            return name
        await asyncio.sleep(0.05)


async def _primary_term(name: str, running_site: site.Site) -> tuple[int, str]:
    """Returns the term in which a member is primary, with its name.

    The term is 0 if the member is not primary or does not answer.
    """
    address = running_site.standins.members[name].address
    declaration = declarations.MemberDeclaration(name, address, "", 1, 1)
    link = member_link.open_member(declaration, "demonstration")
    try:
        async with asyncio.timeout(1):
            status = await link.status(positions.ZERO, 0.0)
    except (interfaces.LinkLost, TimeoutError):
        return 0, name
    finally:
        link.close()
    return (status.promised_term if status.primary else 0), name


async def demonstrate(folder: pathlib.Path) -> int:
    """Runs the demonstration and prints its results.

    Args:
      folder: Folder for the data of the members.

    Returns:
      The exit code: 1 if data was lost, duplicated or stale, or if a write ran although its caller
      was told that it did not.
    """
    async with site.Site(folder) as running_site:
        await running_site.start()
        print(f"started: {len(running_site.proxies)} proxies, 3 members, 1 store")
        async with workload.Traffic(running_site, WRITER_COUNT) as traffic:
            await traffic.wait_for_acknowledgements(WRITES_BEFORE)
            primary = await find_primary(running_site)
            await running_site.standins.members[primary].kill()
            print(f"killed: member {primary}, the primary")
            await traffic.wait_for_acknowledgements(WRITES_AFTER)
        outcomes = traffic.outcomes
        violations = await workload.find_violations(running_site, outcomes, WRITER_COUNT)
    replica_share = outcomes.replica_reads / max(1, outcomes.reads)
    print(f"reads served: {outcomes.reads}, by replicas: {replica_share:.1%}")
    print(f"writes acknowledged: {len(outcomes.acknowledged)}")
    print(f"writes not run: {len(outcomes.not_run)}, unknown: {len(outcomes.unknown)}")
    print(f"writes lost: {len(violations.lost)}")
    print(f"writes run after a refusal: {len(violations.ran_although_not_run)}")
    print(f"duplicates: {len(violations.duplicates)}")
    print(f"stale reads: {outcomes.stale_reads}")
    print(f"failover gap: {outcomes.longest_gap_s():.2f} s")
    violating_writes = [*violations.lost, *violations.duplicates, *violations.ran_although_not_run]
    return 1 if violating_writes or outcomes.stale_reads else 0


def main() -> None:
    """Runs the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(asyncio.run(demonstrate(pathlib.Path(folder))))


if __name__ == "__main__":
    main()
