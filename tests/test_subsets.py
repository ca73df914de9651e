"""Tests of the subset of agents that each entry connects to: coverage, balance, stability."""

from __future__ import annotations

from collections import Counter

import pytest

from coltsfootshift.controllers.subsets import SubsetTable, count_entries_for


def choose_all(agents: list[str], entries: list[str]) -> dict[str, list[str]]:
    chosen = {}
    for own in entries:
        table = SubsetTable(own)
        table.update(agents, entries)
        chosen[own] = table.list_chosen()
    return chosen


@pytest.mark.parametrize(
    ("agents", "entries", "min_agents"), [(5, 4, 5), (3, 4, 3), (470, 43, 33), (20, 43, 2)]
)
def test_every_agent_is_reached_and_entries_have_a_choice(
    agents: int, entries: int, min_agents: int
) -> None:
    names = [f"agent-{n}" for n in range(agents)]
    chosen = choose_all(names, [f"entry-{n}" for n in range(entries)])
    reached = Counter(name for row in chosen.values() for name in row)
    count = count_entries_for(agents, entries)
    assert set(reached) == set(names)
    assert set(reached.values()) == {count}
    average = agents * count / entries
    assert max(len(row) for row in chosen.values()) <= 2 * average
    assert min(len(row) for row in chosen.values()) >= min_agents


@pytest.mark.parametrize(
    ("agents", "entries"),
    [(60, 11), (60, 13), (58, 12), (63, 12), (7, 12), (60, 3)],
)
def test_changes_are_taken_in_steps_as_if_new(agents: int, entries: int) -> None:
    table = SubsetTable("entry-1")
    table.update([f"agent-{n}" for n in range(60)], [f"entry-{n}" for n in range(12)])
    names = [f"agent-{n}" for n in range(agents)]
    entry_names = [f"entry-{n}" for n in range(entries)]
    table.update(names, entry_names)
    assert table.list_chosen() == choose_all(names, entry_names)["entry-1"]


def test_a_lost_entry_moves_only_its_agents() -> None:
    names = [f"agent-{n}" for n in range(470)]
    entries = [f"entry-{n}" for n in range(43)]
    before = choose_all(names, entries)
    after = choose_all(names, entries[:-1])
    for own in entries[:-1]:
        assert set(before[own]) <= set(after[own])
