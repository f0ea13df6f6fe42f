"""Compares the product with a naive proxy on random programmes, one request at a time."""

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

SESSIONS = 3

STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, SESSIONS - 1),
        strategies.builds(
            programmes.Step,
            action=strategies.sampled_from(list(programmes.Action)),
            item=strategies.integers(0, 2),
            age=strategies.sampled_from(programmes.AGES_S),
            think_s=strategies.sampled_from((0.0, 0.02, 1.5)),
            roam=strategies.booleans(),
        ),
    ),
    min_size=1,
    max_size=25,
)


async def _run(steps, policy, lag_s, seed):
    """Returns each step's last request; the programme's requests run one after the other."""
    world = fleet.Fleet(network.SIERRA, seed)
    await (naive.start(world, policy) if policy else world.start())
    for server in world.by_address.values():
        server.set_apply_lag(lag_s)
    sessions = [world.client() for _ in range(SESSIONS)]
    for session in sessions:
        await world.run_as(session.name, session.open)
    calls = []
    for number, step in steps:
        await asyncio.sleep(step.think_s)
        if step.roam:
            sessions[number].roam()
        take = sessions[number].take
        calls.append(await world.run_as(sessions[number].name, lambda take=take, s=step: take(s)))
    return calls


def _values_allowed(position, steps, calls, expected):
    """Returns what a read may return: anything from its oldest permitted state to the present."""
    number, _ = steps[position]
    call = calls[position]
    oldest = 0
    for earlier in range(position):
        seen = calls[earlier]
        in_session = steps[earlier][0] == number
        if in_session or seen.finished_at <= call.sent_at - call.age:
            writes = seen.kind in checker.WRITES or seen.kind.name == "COMMIT"
            oldest = earlier + 1 if writes else oldest
    return {_value_of(call.item, steps, expected[:end]) for end in range(oldest, position + 1)}


def _value_of(item, steps, calls):
    """Returns the value of an item after some steps, from the naive run's requests."""
    value = ""
    for (_, step), call in zip(steps, calls, strict=False):
        if call.kind in checker.WRITES and call.item == item:
            value = call.value
        if call.kind.name == "COMMIT":
            for offset, before in ((0, 2), (1, 1)):
                if item == f"g0.i{(step.item + offset) % programmes.ITEMS}":
                    value = f"{item}={call.session}/{call.sequence - before}"
    return value


@hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
@hypothesis.given(STEPS, strategies.sampled_from((0.0, 0.05, 0.5)), strategies.integers(1, 99))
def test_the_product_answers_as_a_naive_proxy_does(steps, lag_s, seed):
    expected = paused_loop.run(lambda: _run(steps, naive.Policy.ONE_AT_A_TIME, lag_s, seed))
    calls = paused_loop.run(lambda: _run(steps, None, lag_s, seed))
    for position, (call, reference) in enumerate(zip(calls, expected, strict=True)):
        assert call.answered and reference.answered, (call.outcome, reference.outcome)
        if call.kind.name == "READ" and call.age:
            allowed = _values_allowed(position, steps, calls, expected)
            assert call.answer[1] in allowed, (call.name, call.answer, allowed)
        else:
            assert call.answer == reference.answer, call.name


def test_programmes_repeat_for_a_seed():
    first = programmes.programme(random.Random(4), 50, 0.1)
    assert first == programmes.programme(random.Random(4), 50, 0.1)
