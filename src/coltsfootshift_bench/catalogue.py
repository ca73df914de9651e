"""How catalogue changes come into force: spread time, reads, bytes, processor time and memory."""

from __future__ import annotations

import signal
import time
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

from coltsfootshift_bench import targets
from coltsfootshift_bench.catalogue_fleet import (
    READY_SECONDS,
    SPEED_UP,
    CatalogueFleet,
    Change,
    Sample,
)
from coltsfootshift_bench.fleet import Fleet, call_json
from coltsfootshift_bench.targets import Report, Target

__all__ = ["CatalogueFault", "run_catalogue"]

IDLE_SECONDS = 10.0
SETTLE_SECONDS = 8.0
CHANGES = 120
QUICK_CHANGES = 50
WAIT_SECONDS = 15.0
FAULT_SECONDS = 6.0
START_BATCH = 20
MEGABYTE = 1_000_000


class CatalogueFault(Enum):
    """What fails in the middle of a run."""

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
    """Run a fleet, write its report and return whether all targets hold."""
    figures: dict[str, Any] = {"nodes": nodes, "fault": fault.value}
    with Fleet(seed=seed) as fleet:
        run = CatalogueFleet(fleet, nodes, Random(seed), fault is CatalogueFault.PARTITION)
        started = time.monotonic()
        run.start()
        figures["seconds_to_start"] = round(time.monotonic() - started, 3)
        print(f"{nodes} nodes hold the catalogue")
        if fault is CatalogueFault.NONE:
            figures |= _measure_quiet_and_busy(run, quick)
        else:
            figures |= _measure_fault(run, fault)
        figures["reverts"] = run.reverts
        counts = call_json(f"{fleet.platform_url}/admin/counts")
        figures["most_platform_reads_in_a_second"] = counts["most_reads_in_a_second"]
    report = Report(seed, figures, _hold(figures))
    report.write(path)
    return report.holds()


def _measure_quiet_and_busy(run: CatalogueFleet, quick: bool) -> dict[str, Any]:
    time.sleep(SETTLE_SECONDS / 2 if quick else SETTLE_SECONDS)
    first = run.sample()
    time.sleep(IDLE_SECONDS / 2 if quick else IDLE_SECONDS)
    second = run.sample()
    print("publishing changes")
    begin = len(run.changes)
    run.publish_many(QUICK_CHANGES if quick else CHANGES)
    third = run.sample()
    run.wait_in_force(run.names, run.changes[-1].revision, WAIT_SECONDS)
    spread = run.read_spread(run.names, run.changes[begin:])
    return {
        "changes": len(spread),
        "spread_seconds": _summarise(spread),
        "idle": _subtract(first, second, len(run.names)),
        "busy": _subtract(second, third, len(run.names)),
    }


def _measure_fault(run: CatalogueFleet, fault: CatalogueFault) -> dict[str, Any]:
    """Break something, publish a change, and time it from when the path exists again."""
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
        path_at = time.time()
        run.publish("team/fault")
        print(f"killed {len(killed)} nodes, {len(watchers)} of them all watchers")
    elif fault is CatalogueFault.RESTART:
        for name in run.names:
            run.fleet.kill(name)
        run.publish("team/fault")
        for name in run.names:
            run.start_node(name)
        run.fleet.wait_until_listening(run.names)
        path_at = time.time()
    elif fault is CatalogueFault.PAUSE:
        path_at = _pause_watchers(run)
    elif fault is CatalogueFault.PARTITION:
        path_at = _part_regions(run)
    else:
        path_at = _break_platform(run, fault)
    run.wait_in_force(survivors, run.changes[-1].revision, READY_SECONDS)
    seconds = time.monotonic() - started
    if not survivors:
        raise ValueError("no node survives this fault; take more nodes")
    return {
        "fault_spread_seconds": _find_last(run, survivors, path_at),
        "seconds": round(seconds, 3),
        "platform_reads": run.count_reads() - reads,
        "survivors": len(survivors),
    }


def _pause_watchers(run: CatalogueFleet) -> float:
    """Stop all watchers, publish while they sleep, and wake them once all others have it."""
    watchers = run.list_watchers()
    for name in watchers:
        run.fleet.members[name].send_signal(signal.SIGSTOP)
    path_at = time.time()
    change = run.publish("team/fault")
    others = [name for name in run.names if name not in watchers]
    run.wait_in_force(others, change.revision, WAIT_SECONDS)
    for name in watchers:
        run.fleet.members[name].send_signal(signal.SIGCONT)
    return path_at


def _part_regions(run: CatalogueFleet) -> float:
    """Cut a region off, publish, restart one of its nodes, and heal the partition."""
    far = run.list_far()
    run.set_partition(True)
    change = run.publish("team/parted")
    near = [name for name in run.names if name not in far]
    run.wait_in_force(near, change.revision, WAIT_SECONDS)
    held = run.read_revisions(far)
    if max(held.values()) >= change.revision:
        raise RuntimeError("the partition lets changes through")
    restarted = run.rng.choice(far)
    run.fleet.kill(restarted)
    run.start_node(restarted)
    time.sleep(FAULT_SECONDS)
    run.note_first([restarted], held[restarted])
    path_at = time.time()
    run.set_partition(False)
    return path_at


def _break_platform(run: CatalogueFleet, fault: CatalogueFault) -> float:
    """Make the platform down or stale, restart a node meanwhile, and mend the platform."""
    url = f"{run.fleet.platform_url}/admin/mode"
    call_json(url, {"remember": True})
    held = run.publish("team/before").revision
    run.wait_in_force(run.names, held, WAIT_SECONDS)
    call_json(url, {"down": True} if fault is CatalogueFault.DOWN else {"stale": "remembered"})
    run.publish("team/fault")
    restarted = [run.rng.choice(run.names), run.list_watchers()[0]]
    for name in restarted:
        run.fleet.kill(name)
        run.start_node(name)
    run.wait_in_force(restarted, held, READY_SECONDS)
    run.note_first(restarted, held)
    time.sleep(FAULT_SECONDS)
    path_at = time.time()
    call_json(url, {"down": False, "stale": False})
    return path_at


def _find_last(run: CatalogueFleet, names: list[str], path_at: float) -> float:
    last = run.changes[-1]
    change = Change(last.revision, max(path_at, last.accepted_at))
    return round(run.read_spread(names, [change])[0], 4)


def _subtract(first: Sample, second: Sample, nodes: int) -> dict[str, float]:
    """Return rates for one node between two samples."""
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


def _extrapolate_share(figures: dict[str, Any]) -> float:
    """Return the processor share at the target's own rate of changes, from idle and busy."""
    slope = (figures["busy"]["core_share"] - figures["idle"]["core_share"]) / SPEED_UP
    return round(figures["idle"]["core_share"] + slope, 5)


def _summarise(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)

    def at(share: float) -> float:
        return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)

    return {"p50": at(0.5), "p99": at(0.99), "max": at(1.0)}


def _hold(figures: dict[str, Any]) -> list[Target]:
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
    share = _extrapolate_share(figures)
    figures["core_share_at_target"] = share
    rows.append(Target.at_most("core_share_at_target", share, targets.MAX_NODE_CORE_SHARE))
    for name in ("idle", "busy"):
        row = figures[name]
        held = (
            ("core_share", row["core_share"], targets.MAX_NODE_CORE_SHARE),
            ("resident_mb_most", row["resident_mb_most"], targets.MAX_NODE_RESIDENT_MB),
            ("bytes_out", row["bytes_out_per_second"], targets.MAX_NODE_BYTES_PER_SECOND),
            ("bytes_in", row["bytes_in_per_second"], targets.MAX_NODE_BYTES_PER_SECOND),
            ("reads", row["platform_reads_per_second"], targets.MAX_PLATFORM_READS_PER_SECOND),
        )
        for label, value, bound in held:
            rows.append(Target.at_most(f"{name}_{label}", value, bound))
    return rows
