"""An entry that no agent knows introduces itself to agents, soon at first and then seldom."""

from __future__ import annotations

import pytest

from coltsfootshift.controllers.introductions import (
    AGENTS_PER_ROUND,
    MAX_PAUSE_SECONDS,
    ROUND_SECONDS,
    IntroductionPlanner,
)

TICK_SECONDS = 0.5
# Of the 12 s from a return until requests are served, an agent needs some to load its engine.
FOUND_SECONDS = 5.0


def run(planner, agents, seconds, is_known=lambda now: False, began_at=0.0):
    """Return when each round began, and the agents that it dialled."""
    rounds, before = [], []
    for tick in range(round(seconds / TICK_SECONDS)):
        now = began_at + tick * TICK_SECONDS
        chosen = planner.choose(agents, is_known(now), now)
        if chosen and chosen != before:
            rounds.append((now, chosen))
        before = chosen
    return rounds


@pytest.mark.parametrize("count", [1, 2, 6, 46, 4700])
def test_first_agents_are_dialled_soon(count):
    rounds = run(IntroductionPlanner(), [f"a-{n}" for n in range(count)], FOUND_SECONDS)
    dialled = {name for _, names in rounds for name in names}
    assert len(rounds) >= 2
    assert len(dialled) == min(count, AGENTS_PER_ROUND * len(rounds))


@pytest.mark.parametrize("count", [1, 6, 46])
def test_entry_that_no_agent_needs_dials_seldom(count):
    """In a fleet of many entries some have no agent for as long as it runs."""
    planner, agents = IntroductionPlanner(), [f"a-{n}" for n in range(count)]
    run(planner, agents, 100.0)
    rounds = run(planner, agents, 600.0, began_at=100.0)
    assert len(rounds) <= 600.0 / MAX_PAUSE_SECONDS
    assert all(len(names) <= AGENTS_PER_ROUND for _, names in rounds)


@pytest.mark.parametrize("count", [3, 10])
def test_all_agents_are_dialled_in_turn(count):
    agents = [f"a-{n}" for n in range(count)]
    rounds = run(IntroductionPlanner(), agents, (count + 5) * (MAX_PAUSE_SECONDS + 1.0))
    dialled = [name for _, names in rounds for name in names]
    assert set(dialled[:count]) == set(agents)


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        ([(0.0, 60.0)], []),
        ([(0.0, 20.0)], [21.5, 23.5, 26.5, 31.5, 40.5, 57.5]),
        ([(1.0, 1.5)], [3.0, 5.0, 8.0, 13.0, 22.0, 39.0]),
        ([(2.0, 30.0)], [1.5, 31.5, 33.5, 36.5, 41.5, 50.5]),
    ],
)
def test_rounds_begin_while_no_agent_knows_the_entry(known, expected):
    """`known` are the times from and to which an agent is connected."""

    def is_known(now):
        return any(since <= now < until for since, until in known)

    rounds = run(IntroductionPlanner(), ["a", "b", "c"], 60.0, is_known)
    assert [at for at, _ in rounds] == expected


@pytest.mark.parametrize(("agents", "chosen"), [([], []), (["b"], ["b"]), (["b", "c"], ["b"])])
def test_agents_that_are_not_listed_any_more_are_not_dialled(agents, chosen):
    planner = IntroductionPlanner()
    planner.choose(["a", "b"], False, 0.0)
    assert planner.choose(["a", "b"], False, 1.5) == ["a", "b"]
    assert planner.choose(agents, False, 1.5 + ROUND_SECONDS / 2) == chosen
