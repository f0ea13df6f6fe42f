"""Checks of sites with several groups: each group has a trace of its own."""

import dataclasses

from bilberrystack_standins import line_site
from soak import account
from soak import callers
from soak import history

# Databases of three groups, whose operations `check` divides by group.
DATABASES = tuple(
    line_site.database_name(database, number)
    for number in range(len(line_site.MEMBER_IDS))
    for database in callers.DATABASES
)


def check(
    site: line_site.Site, record: list[history.Operation]
) -> dict[str, list[account.Violation]]:
    """Returns the violations of guarantees in a play, by the name of the group.

    The checks of promotion requests include the requests for all groups, since one coordinator
    sends them.
    """
    violations = {}
    for number, service in enumerate(site.groups):
        databases = {
            line_site.database_name(database, number): database for database in callers.DATABASES
        }
        operations = [
            dataclasses.replace(operation, database=databases[operation.database])
            for operation in record
            if operation.database in databases
        ]
        violations[service] = account.check(_trace(site, service, operations))
    return violations


def _trace(
    site: line_site.Site, service: str, operations: list[history.Operation]
) -> account.Trace:
    group = site.groups[service]
    last_primary = max(group.members.values(), key=lambda member: (member.is_primary, member.term))
    return account.Trace(
        operations=operations,
        executed_statements=[
            executed
            for executed in group.executed_statements
            if not executed.request_id.startswith(callers.PROBE_PREFIX)
        ],
        commit_counts=group.commit_counts,
        committed_entries=group.committed_entries,
        final_log=last_primary.log,
        promotion_requests=site.platform.promotion_requests,
        promotions=group.promotions,
        synchronous=bool(group.options.sync_replicas),
        varied_rows=group.options.varied_rows,
    )
