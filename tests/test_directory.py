"""Tests of the directory: which entries it returns to callers."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from coltsfootshift.controllers.membership import InstanceRecord
from coltsfootshift.entry.directory import MAX_ENTRIES, Directory, EntryStatus
from coltsfootshift.settings import Address

LIFETIME = 5.0


def make_record(number: int, region: str = "north", weight: int = 1) -> InstanceRecord:
    address = Address(f"127.0.0.{number + 1}", 8080)
    return InstanceRecord(
        instance=f"entry-{number}",
        role="entry",
        region=region,
        failure_domain=f"{region}-{number % 3}",
        peers=address,
        operators=address,
        state="live",
        callers=address,
        weight=weight,
    )


def select_entries(facts: list[EntryStatus], leaving: bool = False, seed: int = 1) -> set[str]:
    directory = Directory(make_record(0), "north", LIFETIME)
    answer = directory.select_entries(facts, leaving, Random(seed))
    return {row.instance for row in answer.entries}


@pytest.mark.parametrize(
    ("facts", "leaving", "expected"),
    [
        ([], False, {"entry-0"}),
        ([EntryStatus(make_record(n)) for n in range(3)], False, {"entry-0", "entry-1", "entry-2"}),
        (
            [EntryStatus(make_record(0)), EntryStatus(make_record(1), leaving=True)],
            False,
            {"entry-0"},
        ),
        (
            [EntryStatus(make_record(0)), EntryStatus(make_record(1), unreachable=True)],
            False,
            {"entry-0"},
        ),
        ([EntryStatus(make_record(0), unreachable=True)], False, {"entry-0"}),
        ([EntryStatus(make_record(0)), EntryStatus(make_record(1))], True, {"entry-1"}),
        (
            [EntryStatus(make_record(0)), EntryStatus(make_record(1), unreachable=True)],
            True,
            {"entry-0", "entry-1"},
        ),
    ],
)
def test_answers(facts: list[EntryStatus], leaving: bool, expected: set[str]) -> None:
    assert select_entries(facts, leaving) == expected


def test_burst_of_callers_is_balanced() -> None:
    """Many callers are distributed over the entries in proportion to the entries' weights."""
    facts = [EntryStatus(make_record(n, weight=2 if n == 1 else 1)) for n in range(40)]
    directory = Directory(make_record(0), "north", LIFETIME)
    rng = Random(4)
    first: Counter[str] = Counter()
    lifetimes = set()
    for _ in range(4000):
        answer = directory.select_entries(facts, False, rng)
        assert len(answer.entries) == MAX_ENTRIES
        first[answer.entries[0].instance] += 1
        lifetimes.add(answer.lifetime)
    assert 1.5 <= first["entry-1"] / 100 <= 2.5
    assert all(0.6 <= first[f"entry-{n}"] / 98 <= 1.4 for n in range(2, 40))
    assert min(lifetimes) < 0.8 * LIFETIME and max(lifetimes) > 1.2 * LIFETIME


@pytest.mark.parametrize(("near", "expected"), [(12, {"north"}), (2, {"north", "south"})])
def test_own_region_goes_first_where_it_has_enough(near: int, expected: set[str]) -> None:
    facts = [EntryStatus(make_record(n)) for n in range(near)]
    facts += [EntryStatus(make_record(100 + n, "south")) for n in range(6)]
    regions = {"north" if int(name[6:]) < 100 else "south" for name in select_entries(facts)}
    assert regions == expected
