"""The scenarios of the `requests` command, by name."""

from __future__ import annotations

from coltsfootshift_bench import scenarios_routing
from coltsfootshift_bench.hop import run_hop
from coltsfootshift_bench.scenarios_routing import Scenario

__all__ = ["SCENARIOS"]

SCENARIOS: dict[str, Scenario] = {"hop": run_hop, **scenarios_routing.SCENARIOS}
