"""Bounds of the targets that experiments check, and the report that every run writes."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

__all__ = ["Report", "Target"]

MAX_DOUBLE_BOOKINGS = 0
MAX_CUT_ANSWERS = 0
MAX_MIXED_ANSWERS = 0
MAX_BAD_LOADS = 0
MAX_DEMO_SECONDS = 40.0
MAX_DEMO_ORIGIN_COPIES = 4.0
MAX_LAG_LATENCY_RATIO = 1.5  # p99 with reports 1 s old / p99 of the ideal choice
MAX_LIMIT_EXCESS_SHARE = 0.01
MIN_LIMIT_USED_SHARE = 0.95
MIN_OVERLOAD_GOODPUT_SHARE = 0.9
MIN_URGENT_IN_TIME_SHARE = 0.99
MAX_LOST_REQUESTS = 0
MAX_POISON_ENDPOINTS_LOST = 2
MAX_INNOCENT_FAILURES = 0
LEAVING_SECONDS = 3.0
MAX_REQUESTS_CUT_BY_LEAVING = 0
MAX_SUSPECTS_MEGABYTES = 8.0
# Times of a rollout, as multiples of the time that one copy takes over an instance's own link.
MAX_ROLLOUT_TIME_RATIO = 1.25
MAX_FAULT_TIME_RATIO = 2.0

# The first half of the agents, and all of them, with the requests of callers on the same links.
MAX_HALF_STAGED_RATIO = 1.10
MAX_ALL_STAGED_RATIO = 1.5
MAX_STAGED_ORIGIN_COPIES = 2.0

# Weights transferred, as multiples of the size of the version.
MAX_LEAN_ORIGIN_COPIES = 1.10
MAX_ORIGIN_COPIES = 4.0
MAX_REGION_LINK_COPIES = 1.10

MAX_AGENT_RESIDENT_MB = 128.0
MAX_IN_FORCE_SECONDS = 3.0
MAX_LEAVING_SEEN_SECONDS = 3.0
MAX_CATALOGUE_REVERTS = 0
MAX_NODE_CORE_SHARE = 0.017
MAX_NODE_RESIDENT_MB = 128.0
MAX_NODE_BYTES_PER_SECOND = 7_000.0
MAX_PLATFORM_READS_PER_SECOND = 200.0
MAX_RESTART_READS_PER_SECOND = 1_000.0
TARGET_INSTANCES = 5_130
TARGET_CHANGES_PER_DAY = 7_300
TARGET_INSTANCE_CHANGES_PER_DAY = 5_400
MAX_FALSE_NOT_RUN = 0
MAX_FALSE_COMPLETE = 0
MAX_WITHOUT_OUTCOME = 0
MAX_HOP_LATENCY_RATIO = 2.0  # p99 through entry and agent / p99 of direct requests


@dataclass(frozen=True, slots=True)
class Target:
    """A measured value and its bound; `holds` is true if the value is within the bound."""

    name: str
    value: float
    bound: float
    holds: bool

    @classmethod
    def at_most(cls, name: str, value: float, bound: float) -> Target:
        """Return a target with an upper bound, inclusive."""
        return cls(name, value, bound, value <= bound)

    @classmethod
    def at_least(cls, name: str, value: float, bound: float) -> Target:
        """Return a target with a lower bound, inclusive."""
        return cls(name, value, bound, value >= bound)


@dataclass(slots=True)
class Report:
    """The figures and the targets of one run."""

    seed: int
    figures: dict[str, Any]
    targets: list[Target]

    def holds(self) -> bool:
        """Return whether every target is met."""
        return all(target.holds for target in self.targets)

    def write(self, path: Path | None) -> None:
        """Write the report as JSON to `path`, if given, and print the targets."""
        content = {
            "command": " ".join(sys.argv),
            "seed": self.seed,
            **self.figures,
            "targets": [asdict(target) for target in self.targets],
        }
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(json.dumps(content, indent=2) + "\n")
        for target in self.targets:
            verdict = "holds" if target.holds else "BROKEN"
            print(f"  {verdict:7s}{target.name}: {target.value:g} (bound {target.bound:g})")
