"""Guards against a checker that can't fail: each mutation must violate its guarantee."""

import dataclasses

import pytest

from faults import matrix
from faults import mutations

WRITE = "write: executed, not answered"


@dataclasses.dataclass(frozen=True)
class Case:
    """A mutation, and the cell of the matrix in which it must violate its guarantee.

    Attributes:
      guarantee: Code of the violated guarantee.
      detail_part: Text that the detail of the violation contains.
      mutation: Context manager that patches the proxy.
      step: Step of the cell.
      faults: Faults of the cell, joined by "+".
      seeds: Number of seeds to try until the guarantee is violated.
    """

    guarantee: str
    detail_part: str
    mutation: mutations.Mutation
    step: str
    faults: str
    seeds: int = 20


CASES = (
    Case("P1", "read-your-writes", mutations.ignore_watermarks, WRITE, "replica-far-behind"),
    Case("P1", "monotonic reads", mutations.ignore_watermarks, WRITE, "replica-far-behind"),
    Case("P1", "stated age", mutations.ignore_max_ages, WRITE, "replicas-far-behind"),
    Case(
        "P2",
        "acknowledged and is not in the log",
        mutations.acknowledge_before_majority,
        WRITE,
        "primary-cut-from-replicas+primary-isolated",
    ),
    Case(
        "P2",
        "acknowledged and is not in the log",
        mutations.promote_without_majority,
        WRITE,
        "replica-cut-from-primary+primary-isolated",
    ),
    Case(
        "P2",
        "returned",
        mutations.ignore_read_durability,
        WRITE,
        "replicas-far-behind+primary-cut-from-replicas+primary-isolated",
    ),
    Case("P3", "", mutations.share_transaction_connections, "transaction: begun", "none"),
    Case("P4", "got", mutations.reuse_outstanding_connections, WRITE, "late-answers"),
    Case("P5", "", mutations.report_sent_write_as_not_run, WRITE, "primary-isolated"),
    Case("P6", "", mutations.retry_every_write, WRITE, "owner-connections-reset"),
    Case("P7", "", mutations.use_leaving_endpoints, WRITE, "primary-leaves"),
    Case("P8", "", mutations.stop_without_draining, WRITE, "owner-stops"),
    Case("P9", "went back", mutations.apply_any_version, WRITE, "late-configuration"),
    Case("P9", "answered", mutations.serve_without_contact, WRITE, "entry-without-store-and-peers"),
    Case("P9", "", mutations.overwrite_the_head, WRITE, "racing-operators"),
)


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: f"{case.guarantee}-{case.mutation.__name__}"
)
def test_mutation_violates_its_guarantee(case):
    violations = []
    for seed in range(1, case.seeds + 1):
        cell = matrix.Cell(case.step, case.faults, seed)
        with case.mutation():
            violations += matrix.run_cell(cell).violations
        matching = [
            violation
            for violation in violations
            if violation.guarantee == case.guarantee and case.detail_part in violation.detail
        ]
        if matching:
            assert matrix.run_cell(cell).violations == []
            return
    raise AssertionError(f"no run broke {case.guarantee}: {violations}")
