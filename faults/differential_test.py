"""Compares the proxy with a naive proxy on random programmes, one request at a time."""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from faults import checker
from faults import fleet
from faults import naive
from faults import network
from faults import paused_loop
from faults import programmes

SESSION_COUNT = 3

STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, SESSION_COUNT - 1),
        strategies.builds(
            programmes.ProgrammeStep,
            action=strategies.sampled_from(list(programmes.Action)),
            item=strategies.integers(0, 2),
            max_age_s=strategies.sampled_from(programmes.AGES_S),
            think_time_s=strategies.sampled_from((0.0, 0.02, 1.5)),
            roam=strategies.booleans(),
        ),
    ),
    min_size=1,
    max_size=25,
)


async def _run(steps, policy, lag_s, seed):
    """Run the steps sequentially and return the last request of each."""
    simulation = fleet.Simulation(network.SIERRA, seed)
    await (naive.start_simulation(simulation, policy) if policy else simulation.start())
    for server in simulation.servers_by_address.values():
        server.set_apply_lag(lag_s)
    sessions = [simulation.add_client() for _ in range(SESSION_COUNT)]
    for session in sessions:
        await simulation.run_in_process(session.name, session.open)
    calls = []
    for session_index, step in steps:
        await asyncio.sleep(step.think_time_s)
        if step.roam:
            sessions[session_index].roam()
        run_step = sessions[session_index].run_step
        calls.append(
            await simulation.run_in_process(
                sessions[session_index].name,
                lambda run_step=run_step, programme_step=step: run_step(programme_step),
            )
        )
    return calls


def _values_allowed(position, steps, calls, expected):
    """Return the values that a read may return, from its oldest permitted state to the latest."""
    session_index, _ = steps[position]
    call = calls[position]
    oldest = 0
    for earlier_position in range(position):
        earlier_call = calls[earlier_position]
        in_session = steps[earlier_position][0] == session_index
        if in_session or earlier_call.finished_at <= call.sent_at - call.max_age_s:
            writes = earlier_call.kind in checker.WRITE_KINDS or earlier_call.kind.name == "COMMIT"
            oldest = earlier_position + 1 if writes else oldest
    return {_value_of(call.item, steps, expected[:end]) for end in range(oldest, position + 1)}


def _value_of(item, steps, calls):
    """Return the value of an item after some steps, given the requests of the naive run."""
    value = ""
    for (_, step), call in zip(steps, calls, strict=False):
        if call.kind in checker.WRITE_KINDS and call.item == item:
            value = call.value
        if call.kind.name == "COMMIT":
            for offset, statement_offset in ((0, 2), (1, 1)):
                if item == f"g0.i{(step.item + offset) % programmes.ITEM_COUNT}":
                    value = f"{item}={call.session}/{call.sequence - statement_offset}"
    return value


@hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
@hypothesis.given(STEPS, strategies.sampled_from((0.0, 0.05, 0.5)), strategies.integers(1, 99))
def test_proxy_answers_as_a_naive_proxy_does(steps, lag_s, seed):
    expected = paused_loop.run(lambda: _run(steps, naive.Policy.ONE_AT_A_TIME, lag_s, seed))
    calls = paused_loop.run(lambda: _run(steps, None, lag_s, seed))
    for position, (call, reference) in enumerate(zip(calls, expected, strict=True)):
        assert call.answered and reference.answered, (call.outcome, reference.outcome)
        if call.kind.name == "READ" and call.max_age_s:
            allowed = _values_allowed(position, steps, calls, expected)
            assert call.answer[1] in allowed, (call.name, call.answer, allowed)
        else:
            assert call.answer == reference.answer, call.name


def test_programmes_are_reproducible_from_a_seed():
    first = programmes.random_programme(random.Random(4), 50, 0.1)
    assert first == programmes.random_programme(random.Random(4), 50, 0.1)
