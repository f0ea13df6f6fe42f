"""The demonstration: traffic through three proxies while the primary of the group is killed."""

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

WRITERS = 6
WRITES_BEFORE = 200
WRITES_AFTER = 200


async def find_primary(where: site.Site) -> str:
    """Returns the name of the member that is primary in the highest term."""
    while True:
        found = [await _primary_term(name, where) for name in where.standins.members]
        term, name = max(found)
        if term:
            return name
        await asyncio.sleep(0.05)


async def _primary_term(name: str, where: site.Site) -> tuple[int, str]:
    """Returns the term in which a member is primary, 0 if it is not or does not answer."""
    address = where.standins.members[name].address
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
    """Runs the demonstration and prints its account; returns the exit code."""
    async with site.Site(folder) as where:
        await where.start()
        print(f"started: {len(where.proxies)} proxies, 3 members, 1 store")
        async with workload.Traffic(where, WRITERS) as traffic:
            await traffic.acknowledged(WRITES_BEFORE)
            primary = await find_primary(where)
            await where.standins.members[primary].kill()
            print(f"killed: member {primary}, the primary")
            await traffic.acknowledged(WRITES_AFTER)
        account = traffic.account
        verdict = await workload.judge(where, account, WRITERS)
    share = account.replica_reads / max(1, account.reads)
    print(f"reads served: {account.reads}, by replicas: {share:.1%}")
    print(f"writes acknowledged: {len(account.acknowledged)}")
    print(f"writes not run: {len(account.not_run)}, unknown: {len(account.unknown)}")
    print(f"writes lost: {len(verdict.lost)}")
    print(f"writes run after a refusal: {len(verdict.ran_after_refusal)}")
    print(f"duplicates: {len(verdict.duplicates)}")
    print(f"stale reads: {account.stale_reads}")
    print(f"failover gap: {account.longest_gap_s():.2f} s")
    broken = [*verdict.lost, *verdict.duplicates, *verdict.ran_after_refusal]
    return 1 if broken or account.stale_reads else 0


def main() -> None:
    """Runs the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(asyncio.run(demonstrate(pathlib.Path(folder))))


if __name__ == "__main__":
    main()
