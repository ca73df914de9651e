"""Measures how catalogue changes reach all nodes: delay, platform reads, bytes, CPU and memory."""

from __future__ import annotations

import signal
import time
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

from coltsfootshift_bench import targets
from coltsfootshift_bench.catalogue_fleet import (
    READY_TIMEOUT_SECONDS,
    SPEEDUP,
    CatalogueFleet,
    Change,
    Sample,
)
from coltsfootshift_bench.fleet import Fleet, call_json
from coltsfootshift_bench.targets import Report, Target

__all__ = ["CatalogueFault", "run_catalogue"]

IDLE_SAMPLE_SECONDS = 10.0
SETTLE_SECONDS = 8.0
CHANGE_COUNT = 120
QUICK_CHANGE_COUNT = 50
IN_FORCE_TIMEOUT_SECONDS = 15.0
FAULT_SECONDS = 6.0
START_BATCH = 20
MEGABYTE = 1_000_000


class CatalogueFault(Enum):
    """The fault to inject during a run."""

    NONE = "none"
    KILL = "kill"
    DOWN = "down"
    STALE = "stale"
    RESTART = "restart"
    PAUSE = "pause"
    PARTITION = "partition"


def run_catalogue(
    nodes: int, fault: CatalogueFault, quick: bool, seed: int, path: Path | None
) -> bool:
    """Run a fleet of `nodes` entries, write the report and return whether all targets hold.

    Raises `TimeoutError` if a change does not reach all nodes in time.
    """
    figures: dict[str, Any] = {"nodes": nodes, "fault": fault.value}
    with Fleet(seed=seed) as fleet:
        run = CatalogueFleet(fleet, nodes, Random(seed), fault is CatalogueFault.PARTITION)
        started = time.monotonic()
        run.start()
        figures["seconds_to_start"] = round(time.monotonic() - started, 3)
        print(f"{nodes} nodes hold the catalogue")
        if fault is CatalogueFault.NONE:
            figures |= _measure_idle_and_busy(run, quick)
        else:
            figures |= _measure_fault(run, fault)
        figures["reverts"] = run.reverts
        counts = call_json(f"{fleet.platform_url}/admin/counts")
        figures["most_platform_reads_in_a_second"] = counts["most_reads_in_a_second"]
    report = Report(seed, figures, _build_targets(figures))
    report.write(path)
    return report.holds()


def _measure_idle_and_busy(run: CatalogueFleet, quick: bool) -> dict[str, Any]:
    time.sleep(SETTLE_SECONDS / 2 if quick else SETTLE_SECONDS)
    first = run.sample()
    time.sleep(IDLE_SAMPLE_SECONDS / 2 if quick else IDLE_SAMPLE_SECONDS)
    second = run.sample()
    print("publishing changes")
    begin = len(run.changes)
    run.publish_many(QUICK_CHANGE_COUNT if quick else CHANGE_COUNT)
    third = run.sample()
    run.wait_in_force(run.names, run.changes[-1].revision, IN_FORCE_TIMEOUT_SECONDS)
    spread = run.measure_spread(run.names, run.changes[begin:])
    return {
        "changes": len(spread),
        "spread_seconds": _compute_percentiles(spread),
        "idle": _compute_rates(first, second, len(run.names)),
        "busy": _compute_rates(second, third, len(run.names)),
    }


def _measure_fault(run: CatalogueFleet, fault: CatalogueFault) -> dict[str, Any]:
    """Inject a fault, publish a change and measure how long it takes to reach all survivors.

    The time counts from publication or, if the fault keeps the change from reaching the survivors,
    from the end of the fault. Raises `ValueError` if no node survives.
    """
    time.sleep(SETTLE_SECONDS / 2)
    reads = run.count_reads()
    started = time.monotonic()
    survivors = list(run.names)
    if fault is CatalogueFault.KILL:
        watchers = run.list_watchers()
        others = [name for name in run.names if name not in watchers]
        killed = watchers + run.rng.sample(others, max(0, len(run.names) // 3 - len(watchers)))
        for name in killed:
            run.fleet.kill(name)
        survivors = [name for name in run.names if name not in killed]
        reachable_at = time.time()
        run.publish("team/fault")
        print(f"killed {len(killed)} nodes, {len(watchers)} of them all watchers")
    elif fault is CatalogueFault.RESTART:
        for name in run.names:
            run.fleet.kill(name)
        run.publish("team/fault")
        for name in run.names:
            run.start_node(name)
        run.fleet.wait_until_listening(run.names)
        reachable_at = time.time()
    elif fault is CatalogueFault.PAUSE:
        reachable_at = _pause_watchers(run)
    elif fault is CatalogueFault.PARTITION:
        reachable_at = _partition_regions(run)
    else:
        reachable_at = _fail_platform(run, fault)
    run.wait_in_force(survivors, run.changes[-1].revision, READY_TIMEOUT_SECONDS)
    seconds = time.monotonic() - started
    if not survivors:
        raise ValueError("no node survives this fault; increase the number of nodes")
    return {
        "fault_spread_seconds": _compute_fault_spread(run, survivors, reachable_at),
        "seconds": round(seconds, 3),
        "platform_reads": run.count_reads() - reads,
        "survivors": len(survivors),
    }


def _pause_watchers(run: CatalogueFleet) -> float:
    """Suspend all watchers, publish a change and resume them once all other nodes hold it.

    Returns the wall-clock time just before the change is published.
    """
    watchers = run.list_watchers()
    for name in watchers:
        run.fleet.members[name].send_signal(signal.SIGSTOP)
    reachable_at = time.time()
    change = run.publish("team/fault")
    others = [name for name in run.names if name not in watchers]
    run.wait_in_force(others, change.revision, IN_FORCE_TIMEOUT_SECONDS)
    for name in watchers:
        run.fleet.members[name].send_signal(signal.SIGCONT)
    return reachable_at


def _partition_regions(run: CatalogueFleet) -> float:
    """Cut off a region, publish a change, restart a node in the region and end the partition.

    Returns the wall-clock time just before the partition ends.
    """
    far_nodes = run.list_far_nodes()
    run.set_partition(True)
    change = run.publish("team/parted")
    near_nodes = [name for name in run.names if name not in far_nodes]
    run.wait_in_force(near_nodes, change.revision, IN_FORCE_TIMEOUT_SECONDS)
    revisions = run.read_revisions(far_nodes)
    if max(revisions.values()) >= change.revision:
        raise RuntimeError("a node in the partitioned region received a change")
    restarted = run.rng.choice(far_nodes)
    run.fleet.kill(restarted)
    run.start_node(restarted)
    time.sleep(FAULT_SECONDS)
    run.record_first_reverts([restarted], revisions[restarted])
    reachable_at = time.time()
    run.set_partition(False)
    return reachable_at


def _fail_platform(run: CatalogueFleet, fault: CatalogueFault) -> float:
    """Make the platform unavailable or stale, restart two nodes and restore the platform.

    Returns the wall-clock time just before the platform is restored.
    """
    url = f"{run.fleet.platform_url}/admin/mode"
    call_json(url, {"remember": True})
    revision = run.publish("team/before").revision
    run.wait_in_force(run.names, revision, IN_FORCE_TIMEOUT_SECONDS)
    call_json(url, {"down": True} if fault is CatalogueFault.DOWN else {"stale": "remembered"})
    run.publish("team/fault")
    restarted = [run.rng.choice(run.names), run.list_watchers()[0]]
    for name in restarted:
        run.fleet.kill(name)
        run.start_node(name)
    run.wait_in_force(restarted, revision, READY_TIMEOUT_SECONDS)
    run.record_first_reverts(restarted, revision)
    time.sleep(FAULT_SECONDS)
    reachable_at = time.time()
    call_json(url, {"down": False, "stale": False})
    return reachable_at


def _compute_fault_spread(run: CatalogueFleet, names: list[str], reachable_at: float) -> float:
    """Return the seconds until all nodes applied the last change, from when it could reach them."""
    last = run.changes[-1]
    change = Change(last.revision, max(reachable_at, last.accepted_at))
    return round(run.measure_spread(names, [change])[0], 4)


def _compute_rates(first: Sample, second: Sample, nodes: int) -> dict[str, float]:
    """Return the resource use per node between two samples."""
    seconds = second.at - first.at

    def rate(name: str) -> float:
        change = second.counters.get(name, 0) - first.counters.get(name, 0)
        return round(change / seconds / nodes, 3)

    processor = (second.processor_seconds - first.processor_seconds) / seconds / nodes
    return {
        "seconds": round(seconds, 3),
        "core_share": round(processor, 5),
        "bytes_out_per_second": rate("stream_bytes_sent"),
        "bytes_in_per_second": rate("stream_bytes_received"),
        "messages_out_per_second": rate("stream_messages_sent"),
        "resident_mb_mean": round(sum(second.resident_bytes) / nodes / MEGABYTE, 2),
        "resident_mb_most": round(max(second.resident_bytes) / MEGABYTE, 2),
        "platform_reads_per_second": round((second.reads - first.reads) / seconds, 3),
    }


def _interpolate_core_share(figures: dict[str, Any]) -> float:
    """Return the share of a CPU core used at the target's rate of changes.

    The busy phase publishes changes `SPEEDUP` times as fast, so the share is interpolated linearly
    between the idle and the busy phase.
    """
    slope = (figures["busy"]["core_share"] - figures["idle"]["core_share"]) / SPEEDUP
    return round(figures["idle"]["core_share"] + slope, 5)


def _compute_percentiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)

    def at(share: float) -> float:
        return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)

    return {"p50": at(0.5), "p99": at(0.99), "max": at(1.0)}


def _build_targets(figures: dict[str, Any]) -> list[Target]:
    """Return the targets of a run; without a fault, adds `core_share_at_target`."""
    rows = [Target.at_most("reverts", figures["reverts"], targets.MAX_CATALOGUE_REVERTS)]
    most = figures["most_platform_reads_in_a_second"]
    bound = targets.MAX_RESTART_READS_PER_SECOND
    rows.append(Target.at_most("most_platform_reads_in_a_second", most, bound))
    if "fault_spread_seconds" in figures:
        value = figures["fault_spread_seconds"]
        rows.append(Target.at_most("fault_spread_seconds", value, targets.MAX_IN_FORCE_SECONDS))
        return rows
    value = figures["spread_seconds"]["max"]
    rows.append(Target.at_most("spread_seconds_max", value, targets.MAX_IN_FORCE_SECONDS))
    share = _interpolate_core_share(figures)
    figures["core_share_at_target"] = share
    rows.append(Target.at_most("core_share_at_target", share, targets.MAX_NODE_CORE_SHARE))
    for name in ("idle", "busy"):
        row = figures[name]
        checks = (
            ("core_share", row["core_share"], targets.MAX_NODE_CORE_SHARE),
            ("resident_mb_most", row["resident_mb_most"], targets.MAX_NODE_RESIDENT_MB),
            ("bytes_out", row["bytes_out_per_second"], targets.MAX_NODE_BYTES_PER_SECOND),
            ("bytes_in", row["bytes_in_per_second"], targets.MAX_NODE_BYTES_PER_SECOND),
            ("reads", row["platform_reads_per_second"], targets.MAX_PLATFORM_READS_PER_SECOND),
        )
        for label, value, bound in checks:
            rows.append(Target.at_most(f"{name}_{label}", value, bound))
    return rows
