"""`coltsfootshift-bench`: the demo and the experiments."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Literal

import defopt

from coltsfootshift_bench.bookings import run_bookings
from coltsfootshift_bench.catalogue import CatalogueFault, run_catalogue
from coltsfootshift_bench.catalogue_state import run_catalogue_state
from coltsfootshift_bench.demo import run_demo
from coltsfootshift_bench.scenarios import SCENARIOS
from coltsfootshift_bench.staging import run_staging
from coltsfootshift_bench.staging_simulation import SITES, StagingFault
from coltsfootshift_bench.weights import plot_rollouts, run_weights
from coltsfootshift_bench.weights_faults import FAULTS
from coltsfootshift_bench.weights_fleet import RolloutPlan

__all__ = ["main"]

EXIT_TARGET_MISSED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130
QUICK_REPLICAS = 6


def demo(*, json: Path | None = None, seed: int = 1) -> None:
    """Start a whole fleet, publish a new version under load, and check the guarantees.

    Exit status 1 means that a guarantee was violated.

    :param json: file to write the report to
    :param seed: seed of the weights and of the callers
    """
    if not run_demo(seed, json):
        sys.exit(EXIT_TARGET_MISSED)


def weights(
    *,
    replicas: int = 24,
    profile: Literal["tentline", "cordas"] = "tentline",
    baseline: Literal["none", "origin"] = "none",
    fault: str = "",
    regions: int = 1,
    link_seconds: float = 16.0,
    quick: bool = False,
    json: Path | None = None,
    seed: int = 1,
) -> None:
    """Roll out a new version over rate-limited links under load, and check the targets.

    Exit status 1 means that a target is missed.

    :param replicas: number of engines
    :param profile: deployment whose catalogue is used
    :param baseline: let every agent pull from the origin instead
    :param fault: corrupt, corrupt-links, killed, stalled, origin-down, frozen or partition
    :param regions: number of regions, at most 3
    :param link_seconds: seconds in which a link carries two copies of the weights, the origin four
    :param quick: a smaller run with the same bounds
    :param json: file to write the report to
    :param seed: seed of the weights, the callers and the faults
    """
    if fault and fault not in FAULTS:
        print(f"unknown fault {fault!r}; one of {', '.join(FAULTS)}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    plan = RolloutPlan(
        replicas=min(replicas, QUICK_REPLICAS) if quick else replicas,
        profile=profile,
        seed=seed,
        link_seconds=link_seconds,
        regions=regions,
        baseline=baseline == "origin",
        proxies=bool(fault) and FAULTS[fault].needs_proxies,
    )
    if not run_weights(plan, fault, json):
        sys.exit(EXIT_TARGET_MISSED)


def staging(
    *,
    site: str = "",
    lost_agents: int = 0,
    origin_down: float = 0.0,
    json: Path | None = None,
    seed: int = 1,
) -> None:
    """Simulate how a version's chunks reach all agents, on the links of the users' deployments.

    Exit status 1 means that a target is missed.

    :param site: name of one deployment; all of them if empty
    :param lost_agents: how many agents end in mid-transfer
    :param origin_down: for how many seconds the origin refuses all requests
    :param json: file to write the report to
    :param seed: seed of the agents' choices
    """
    if site and site not in SITES:
        print(f"unknown site {site!r}; one of {', '.join(SITES)}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    fault = StagingFault(lost_agents=lost_agents, origin_down_for=origin_down)
    if not run_staging([site] if site else list(SITES), fault, seed, json):
        sys.exit(EXIT_TARGET_MISSED)


def weights_plot(ours: Path, baseline: Path, image: Path) -> None:
    """Plot the number of live replicas over time from two reports.

    :param ours: report of a run
    :param baseline: report of a run with `--baseline origin`
    :param image: file to write the plot to
    """
    plot_rollouts(ours, baseline, image)


def catalogue(
    *,
    nodes: int = 12,
    json: Path | None = None,
    fault: Literal["none", "kill", "down", "stale", "restart", "pause", "partition"] = "none",
    quick: bool = False,
    seed: int = 1,
) -> None:
    """Measure how fast catalogue changes come into force on a number of entry processes.

    Exit status 1 means that a target is missed.

    :param nodes: number of entry processes
    :param json: file to write the report to
    :param fault: fault injected in the middle of the run
    :param quick: a smaller run with the same bounds
    :param seed: seed of the choice of the process that fails
    """
    if not run_catalogue(nodes, CatalogueFault(fault), quick, seed, json):
        sys.exit(EXIT_TARGET_MISSED)


def catalogue_state(*, json: Path | None = None, seed: int = 1) -> None:
    """Measure the memory and processor time of one process at the target fleet size.

    Exit status 1 means that a target is missed.

    :param json: file to write the report to
    :param seed: seed of the instances' regions and failure domains
    """
    if not run_catalogue_state(seed, json):
        sys.exit(EXIT_TARGET_MISSED)


def bookings(
    *, count: int = 10_000, quick: bool = False, json: Path | None = None, seed: int = 1
) -> None:
    """Make bookings while random faults are injected, and check at-most-once execution.

    Faults are killed or frozen processes and refused, stalled or held connections.

    Exit status 1 means that a target is missed.

    :param count: number of bookings
    :param quick: a shorter run with the same bounds
    :param json: file to write the report to
    :param seed: seed of the faults and of the callers
    """
    if not run_bookings(count, quick, seed, json):
        sys.exit(EXIT_TARGET_MISSED)


def requests(
    *, scenario: str, quick: bool = False, json: Path | None = None, seed: int = 1
) -> None:
    """Run one routing scenario and check its targets.

    Exit status 1 means that a target is missed.

    :param scenario: hop, overload, loss, lag, limits, poison, leaving or state
    :param quick: a smaller run with the same bounds
    :param json: file to write the report to
    :param seed: seed of the random numbers
    """
    run = SCENARIOS.get(scenario)
    if run is None:
        print(f"unknown scenario {scenario!r}; one of {', '.join(SCENARIOS)}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    report = run(seed, quick)
    report.write(json)
    if not report.holds():
        sys.exit(EXIT_TARGET_MISSED)


def main() -> None:
    """Entry point of `coltsfootshift-bench`."""
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    commands = {
        "bookings": bookings,
        "catalogue": catalogue,
        "catalogue-state": catalogue_state,
        "demo": demo,
        "requests": requests,
        "staging": staging,
        "weights": weights,
        "weights-plot": weights_plot,
    }
    try:
        defopt.run(commands, cli_options="all")
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    main()
