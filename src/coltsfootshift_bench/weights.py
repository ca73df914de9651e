"""`coltsfootshift-bench weights`: time to N replicas and origin bytes of a rollout."""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import psutil

from coltsfootshift_bench import targets
from coltsfootshift_bench.caller import Caller
from coltsfootshift_bench.fleet import CALLERS_PORT, Fleet, call_json
from coltsfootshift_bench.targets import Report, Target
from coltsfootshift_bench.weights_faults import FAULTS, Fault
from coltsfootshift_bench.weights_fleet import Rollout, RolloutPlan

__all__ = ["plot_rollouts", "run_weights"]

CALLERS = 3
CALL_PAUSE_SECONDS = 0.05
TOKENS = 8
BEFORE_SECONDS = 3.0
POLL_SECONDS = 0.1
RUN_FLOORS = 3.5
BASELINE_FLOORS = 1.15
SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class _Calls:
    """Live requests: when each began, how long it took and what came of it."""

    seconds: list[tuple[float, float]] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    mixed: int = 0
    cut: int = 0
    stop: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def run(self, rollout: Rollout, number: int) -> None:
        """Send requests until told to stop."""
        host = rollout.fleet.members["entry-1"].host
        caller = Caller((host, CALLERS_PORT), "bench", Random(rollout.plan.seed * 100 + number))
        while not self.stop.is_set():
            began = time.monotonic()
            answer = caller.send(rollout.get_service_name(), {"tokens": TOKENS})
            with self.lock:
                self.seconds.append((began, answer.seconds))
                self.outcomes[answer.outcome] = self.outcomes.get(answer.outcome, 0) + 1
                if answer.outcome == "complete":
                    self.mixed += len(answer.list_digests()) != 1
                    self.cut += len(answer.lines) != TOKENS
            time.sleep(CALL_PAUSE_SECONDS)

    def find_p99(self, after: float, before: float) -> float:
        """Return the 99th percentile of requests begun between two times, in seconds."""
        values = sorted(took for began, took in self.seconds if after <= began < before)
        return values[int(len(values) * 0.99)] if values else 0.0


def run_weights(plan: RolloutPlan, fault_name: str, path: Path | None) -> bool:
    """Run one rollout, write its report and return whether every target held."""
    with Fleet(seed=plan.seed) as fleet:
        rollout = Rollout(fleet, plan)
        rollout.start()
        fault = None
        if fault_name:
            fault = FAULTS[fault_name](rollout, Random(plan.seed))
        calls = _Calls()
        threads = [
            threading.Thread(target=calls.run, args=(rollout, number)) for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        try:
            began = time.monotonic()
            time.sleep(BEFORE_SECONDS)
            timeline = _follow(rollout, fault)
            ended = time.monotonic()
            time.sleep(SETTLE_SECONDS)
        finally:
            calls.stop.set()
            for thread in threads:
                thread.join()
        figures = _collect(rollout, fault, timeline)
        figures["requests"] = {
            "outcomes": calls.outcomes,
            "mixed": calls.mixed,
            "cut": calls.cut,
            "p99_seconds_before": calls.find_p99(began, rollout.published_at),
            "p99_seconds_while_transferring": calls.find_p99(rollout.published_at, ended),
        }
    figures["fault"] = fault_name
    report = Report(plan.seed, figures, _hold(plan, figures))
    report.write(path)
    return report.holds()


def _follow(rollout: Rollout, fault: Fault | None) -> list[tuple[float, int]]:
    """Publish and follow the rollout; return (seconds, replicas live) at each change."""
    plan = rollout.plan
    limit = plan.floor_seconds * RUN_FLOORS
    if plan.baseline:
        limit = plan.floor_seconds * BASELINE_FLOORS * max(2.0, plan.replicas / 2)
    rollout.publish()
    timeline = [(0.0, 0)]
    while True:
        if fault is not None:
            fault.check()
        live = rollout.list_live(rollout.second)
        passed = time.monotonic() - rollout.published_at
        if len(live) != timeline[-1][1]:
            timeline.append((round(passed, 3), len(live)))
            print(f"  {passed:5.1f} s  {len(live)}/{plan.replicas} replicas live")
        dead = fault.dead if fault is not None else set()
        over = fault is None or fault.ended_at is not None
        if over and live >= set(rollout.engines) - dead:
            return timeline
        if passed > limit:
            print(f"  gave up after {passed:.1f} s")
            return timeline
        time.sleep(POLL_SECONDS)


def _collect(
    rollout: Rollout, fault: Fault | None, timeline: list[tuple[float, int]]
) -> dict[str, Any]:
    plan = rollout.plan
    dead = fault.dead if fault is not None else set()
    needed = plan.replicas - len(dead)
    seconds = timeline[-1][0] if timeline[-1][1] >= needed else plan.floor_seconds * 100
    after_fault = seconds
    if fault is not None and fault.ended_at is not None:
        after_fault = seconds - (fault.ended_at - rollout.published_at)
    return {
        "replicas": plan.replicas,
        "profile": plan.profile,
        "regions": plan.regions,
        "baseline": plan.baseline,
        "link_seconds": plan.link_seconds,
        "model_bytes": plan.model_bytes,
        "floor_seconds": plan.floor_seconds,
        "replicas_needed": needed,
        "replicas_live": timeline[-1][1],
        "seconds": seconds,
        "time_in_floors": seconds / plan.floor_seconds,
        "time_after_fault_in_floors": max(0.0, after_fault) / plan.floor_seconds,
        "origin_copies": rollout.read_origin_copies(),
        "timeline": timeline,
        **_read_agents(rollout, dead),
        **_read_engines(rollout),
    }


def _read_agents(rollout: Rollout, dead: set[str]) -> dict[str, Any]:
    links: dict[str, float] = {}
    counters: dict[str, int] = {}
    resident, busy = [], []
    for name in rollout.engines:
        if name in dead:
            continue
        process = psutil.Process(rollout.fleet.members[name].process.pid)
        resident.append(process.memory_info().rss / 1e6)
        times = process.cpu_times()
        busy.append(times.user + times.system)
        row = rollout.fleet.read_metrics(name)["counters"]
        region = rollout.fleet.records[name]["region"]
        for key, value in row.items():
            counters[key] = counters.get(key, 0) + value
            if key.startswith("weight_bytes_from_region_"):
                link = f"{key.removeprefix('weight_bytes_from_region_')}->{region}"
                links[link] = links.get(link, 0.0) + value / rollout.plan.model_bytes
    return {
        "region_link_copies": links,
        "agent_resident_mb_most": max(resident),
        "agent_processor_seconds_most": max(busy),
        "agent_counters": counters,
    }


def _read_engines(rollout: Rollout) -> dict[str, Any]:
    manifest = call_json(f"{rollout.fleet.origin_url}/admin/manifests/{rollout.second}")
    bad_loads, unverified = 0, 0
    for name in rollout.engines:
        counts = rollout.fleet.read_counts(name)
        bad_loads += counts["bad_loads"]
        staged = counts["staged"].get(rollout.second, [])
        unverified += len(set(staged) - set(manifest["chunks"]))
    return {"bad_loads": bad_loads, "unverified_chunks_staged": unverified}


def _hold(plan: RolloutPlan, figures: dict[str, Any]) -> list[Target]:
    rows = [
        Target.at_least("replicas live", figures["replicas_live"], figures["replicas_needed"]),
        Target.at_most(
            "engine loads of wrong weights", figures["bad_loads"], targets.MAX_BAD_LOADS
        ),
        Target.at_most("unverified chunks staged", figures["unverified_chunks_staged"], 0),
        Target.at_most("answers mixed", figures["requests"]["mixed"], targets.MAX_MIXED_ANSWERS),
        Target.at_most("answers cut", figures["requests"]["cut"], targets.MAX_CUT_ANSWERS),
    ]
    if plan.baseline:
        return rows
    copies = figures["origin_copies"]
    rows.append(Target.at_most("origin copies", copies, targets.MAX_ORIGIN_COPIES))
    resident = figures["agent_resident_mb_most"]
    rows.append(Target.at_most("resident MB of an agent", resident, targets.MAX_AGENT_RESIDENT_MB))
    for link, value in sorted(figures["region_link_copies"].items()):
        rows.append(Target.at_most(f"copies over {link}", value, targets.MAX_REGION_LINK_COPIES))
    if figures["fault"]:
        value = figures["time_after_fault_in_floors"]
        rows.append(Target.at_most("time after the fault", value, targets.MAX_FAULT_TIME_RATIO))
    elif plan.profile == "tentline":
        value = figures["time_in_floors"]
        rows.append(Target.at_most("time in floors", value, targets.MAX_ROLLOUT_TIME_RATIO))
    else:
        rows.append(Target.at_most("lean origin copies", copies, targets.MAX_LEAN_ORIGIN_COPIES))
    return rows


def plot_rollouts(ours: Path, baseline: Path, image: Path) -> None:
    """Draw the replicas live over time of two runs, in units of the floor."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for path, label in ((ours, "coltsfootshift"), (baseline, "every agent from the origin")):
        content = json.loads(path.read_text())
        floor = content["floor_seconds"]
        times = [seconds / floor for seconds, _ in content["timeline"]]
        counts = [count for _, count in content["timeline"]]
        axes.step(times, counts, where="post", label=f"{label}, N = {content['replicas']}")
    axes.axvline(1.0, color="grey", linestyle=":", label="floor")
    axes.set_xlabel("time since the catalogue change / floor")
    axes.set_ylabel("replicas that serve the new version")
    axes.legend(loc="center")
    figure.tight_layout()
    figure.savefig(image, dpi=110)
