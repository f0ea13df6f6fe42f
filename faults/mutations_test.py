"""Guards against a checker that can't fail: each promise breaks once its mechanism is naive."""

import dataclasses

import pytest

from faults import matrix
from faults import mutations

WRITE = "write: executed, not answered"


@dataclasses.dataclass(frozen=True)
class Case:
    """A naive mechanism and cells of the matrix in which it has to break its promise."""

    promise: str
    words: str
    mutation: mutations.Mutation
    step: str
    faults: str
    seeds: int = 20


CASES = (
    Case("P1", "read-your-writes", mutations.forget_watermarks, WRITE, "replica-far-behind"),
    Case("P1", "monotonic reads", mutations.forget_watermarks, WRITE, "replica-far-behind"),
    Case("P1", "stated age", mutations.forget_ages, WRITE, "replicas-far-behind"),
    Case(
        "P2",
        "acknowledged and is not in the log",
        mutations.acknowledge_at_once,
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
    Case("P5", "", mutations.deny_after_sending, WRITE, "primary-isolated"),
    Case("P6", "", mutations.retry_every_write, WRITE, "owner-connections-reset"),
    Case("P7", "", mutations.use_leaving_endpoints, WRITE, "primary-leaves"),
    Case("P8", "", mutations.stop_at_once, WRITE, "owner-stops"),
    Case("P9", "went back", mutations.apply_any_version, WRITE, "late-configuration"),
    Case("P9", "answered", mutations.serve_without_contact, WRITE, "entry-without-store-and-peers"),
    Case("P9", "", mutations.overwrite_the_head, WRITE, "racing-operators"),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case.promise}-{case.mutation.__name__}")
def test_a_naive_mechanism_breaks_its_promise(case):
    seen = []
    for seed in range(1, case.seeds + 1):
        cell = matrix.Cell(case.step, case.faults, seed)
        with case.mutation():
            seen += matrix.run(cell).violations
        broken = [one for one in seen if one.promise == case.promise and case.words in one.detail]
        if broken:
            assert matrix.run(cell).violations == []
            return
    raise AssertionError(f"no run broke {case.promise}: {seen}")
