"""How soon a published version is staged when all agents fetch it at once.

The load pattern is the one of every rollout: no agent holds anything, the origin sends two or three
times what one link carries, and the links of all agents together carry about what they need. Until
a version is staged, engines may serve nothing once the older one has reached its limit.
"""

from __future__ import annotations

import pytest

from coltsfootshift_bench.staging_simulation import SITES, StagingFault, simulate_staging
from coltsfootshift_bench.targets import (
    MAX_ALL_STAGED_RATIO,
    MAX_FAULT_TIME_RATIO,
    MAX_HALF_STAGED_RATIO,
    MAX_STAGED_ORIGIN_COPIES,
)

SEED = 1


@pytest.mark.parametrize("name", SITES)
def test_half_of_the_agents_is_staged_in_about_the_time_of_one_copy(name: str) -> None:
    run = simulate_staging(SITES[name], SEED)
    assert run.find_share(0.5) <= MAX_HALF_STAGED_RATIO * SITES[name].floor_seconds


@pytest.mark.parametrize("name", SITES)
def test_all_agents_are_staged_soon_after(name: str) -> None:
    run = simulate_staging(SITES[name], SEED)
    assert max(run.staged) <= MAX_ALL_STAGED_RATIO * SITES[name].floor_seconds


# On the smallest deployment the origin alone sends half of what all need, and nobody waits long.
@pytest.mark.parametrize("name", [name for name in SITES if name != "tentline"])
def test_agents_that_load_first_are_staged_first(name: str) -> None:
    run = simulate_staging(SITES[name], SEED)
    first = sum(run.first_staged) / len(run.first_staged)
    others = sum(run.staged) - sum(run.first_staged)
    assert first < others / (len(run.staged) - len(run.first_staged))
    assert run.origin_copies <= MAX_STAGED_ORIGIN_COPIES


@pytest.mark.parametrize("name", ["tawfiq", "tentline-grown", "tentline-large"])
@pytest.mark.parametrize(
    "fault",
    [StagingFault(lost_agents=1), StagingFault(lost_agents=3), StagingFault(origin_down_for=1.0)],
    ids=["agent lost", "three agents lost", "origin down for a second"],
)
def test_staging_goes_on_beside_a_fault(name: str, fault: StagingFault) -> None:
    site = SITES[name]
    run = simulate_staging(site, SEED, fault)
    assert len(run.staged) == site.agents - fault.lost_agents
    limit = MAX_FAULT_TIME_RATIO * site.floor_seconds + fault.origin_down_for
    assert max(run.staged) <= limit
    assert run.origin_copies <= MAX_STAGED_ORIGIN_COPIES
