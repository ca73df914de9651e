"""Reports how soon a version is staged on the links of the users' deployments."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from coltsfootshift_bench.staging_simulation import SITES, StagingFault, simulate_staging
from coltsfootshift_bench.targets import (
    MAX_ALL_STAGED_RATIO,
    MAX_HALF_STAGED_RATIO,
    MAX_STAGED_ORIGIN_COPIES,
    Report,
    Target,
)

__all__ = ["run_staging"]


def run_staging(names: Sequence[str], fault: StagingFault, seed: int, path: Path | None) -> bool:
    """Simulate a rollout on each deployment; return whether all targets are met.

    Times are multiples of the time that one copy takes over an agent's link.
    """
    targets = []
    figures: dict[str, Any] = {}
    for name in names:
        site = SITES[name]
        run = simulate_staging(site, seed, fault)
        floor = site.floor_seconds
        half, last = run.find_share(0.5) / floor, max(run.staged) / floor
        figures[name] = {
            "agents": site.agents,
            "floor_seconds": round(floor, 2),
            "first": round(min(run.staged) / floor, 3),
            "half": round(half, 3),
            "last": round(last, 3),
            "last_seconds": round(max(run.staged), 2),
            "origin_copies": round(run.origin_copies, 2),
            "region_copies": round(run.region_copies, 2),
        }
        print(f"{name}: {figures[name]}")
        targets += [
            Target.at_most(f"{name}: half staged, floors", half, MAX_HALF_STAGED_RATIO),
            Target.at_most(f"{name}: all staged, floors", last, MAX_ALL_STAGED_RATIO),
            Target.at_most(
                f"{name}: copies from the origin", run.origin_copies, MAX_STAGED_ORIGIN_COPIES
            ),
        ]
    report = Report(seed, figures, targets)
    report.write(path)
    return report.holds()
