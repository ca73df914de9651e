"""`coltsfootshift-bench weights`: measures the duration and the origin traffic of a rollout.

The "floor" of a rollout is its shortest possible duration: the time to send one copy of the version
over the link of an instance. Durations are compared in units of the floor.
"""

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

CALLER_COUNT = 3
REQUEST_PAUSE_SECONDS = 0.05
TOKENS_PER_REQUEST = 8
PRE_ROLLOUT_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.1
TIMEOUT_FLOORS = 3.5
BASELINE_TIMEOUT_FLOORS = 1.15
SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class _LiveRequests:
    """Requests sent during a rollout and their results.

    `seconds` has a tuple (monotonic start time, duration) for each request; `mixed` and `cut` count
    complete answers with tokens of more than one version, or with a wrong number of tokens.
    """

    seconds: list[tuple[float, float]] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    mixed: int = 0
    cut: int = 0
    stop: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def run(self, rollout: Rollout, number: int) -> None:
        """Send requests as caller `number` until `stop` is set."""
        host = rollout.fleet.members["entry-1"].host
        caller = Caller((host, CALLERS_PORT), "bench", Random(rollout.plan.seed * 100 + number))
        while not self.stop.is_set():
            started_at = time.monotonic()
            answer = caller.send(rollout.get_service_name(), {"tokens": TOKENS_PER_REQUEST})
            with self.lock:
                self.seconds.append((started_at, answer.seconds))
                self.outcomes[answer.outcome] = self.outcomes.get(answer.outcome, 0) + 1
                if answer.outcome == "complete":
                    self.mixed += len(answer.list_digests()) != 1
                    self.cut += len(answer.lines) != TOKENS_PER_REQUEST
            time.sleep(REQUEST_PAUSE_SECONDS)

    def compute_p99(self, after: float, before: float) -> float:
        """Return the 99th percentile of the durations of requests started between two times.

        The result is in seconds, and 0 if there were no requests.
        """
        values = sorted(
            duration for started_at, duration in self.seconds if after <= started_at < before
        )
        return values[int(len(values) * 0.99)] if values else 0.0


def run_weights(plan: RolloutPlan, fault_name: str, path: Path | None) -> bool:
    """Run one rollout, write its report and return whether every target holds."""
    with Fleet(seed=plan.seed) as fleet:
        rollout = Rollout(fleet, plan)
        rollout.start()
        fault = None
        if fault_name:
            fault = FAULTS[fault_name](rollout, Random(plan.seed))
        requests = _LiveRequests()
        threads = [
            threading.Thread(target=requests.run, args=(rollout, number))
            for number in range(CALLER_COUNT)
        ]
        for thread in threads:
            thread.start()
        try:
            started_at = time.monotonic()
            time.sleep(PRE_ROLLOUT_SECONDS)
            timeline = _run_rollout(rollout, fault)
            ended_at = time.monotonic()
            time.sleep(SETTLE_SECONDS)
        finally:
            requests.stop.set()
            for thread in threads:
                thread.join()
        figures = _collect_figures(rollout, fault, timeline)
        figures["requests"] = {
            "outcomes": requests.outcomes,
            "mixed": requests.mixed,
            "cut": requests.cut,
            "p99_seconds_before": requests.compute_p99(started_at, rollout.published_at),
            "p99_seconds_while_transferring": requests.compute_p99(rollout.published_at, ended_at),
        }
    figures["fault"] = fault_name
    report = Report(plan.seed, figures, _build_targets(plan, figures))
    report.write(path)
    return report.holds()


def _run_rollout(rollout: Rollout, fault: Fault | None) -> list[tuple[float, int]]:
    """Publish the second version and poll until all replicas serve it or the time limit passes.

    Returns a tuple (seconds since publication, replicas live) for each change. Killed agents are
    not waited for.
    """
    plan = rollout.plan
    limit = plan.floor_seconds * TIMEOUT_FLOORS
    if plan.baseline:
        limit = plan.floor_seconds * BASELINE_TIMEOUT_FLOORS * max(2.0, plan.replicas / 2)
    rollout.publish()
    timeline = [(0.0, 0)]
    while True:
        if fault is not None:
            fault.update()
        live = rollout.list_live(rollout.second_digest)
        elapsed = time.monotonic() - rollout.published_at
        if len(live) != timeline[-1][1]:
            timeline.append((round(elapsed, 3), len(live)))
            print(f"  {elapsed:5.1f} s  {len(live)}/{plan.replicas} replicas live")
        killed = fault.killed if fault is not None else set()
        fault_ended = fault is None or fault.ended_at is not None
        if fault_ended and live >= set(rollout.engines) - killed:
            return timeline
        if elapsed > limit:
            print(f"  gave up after {elapsed:.1f} s")
            return timeline
        time.sleep(POLL_INTERVAL_SECONDS)


def _collect_figures(
    rollout: Rollout, fault: Fault | None, timeline: list[tuple[float, int]]
) -> dict[str, Any]:
    plan = rollout.plan
    killed = fault.killed if fault is not None else set()
    needed = plan.replicas - len(killed)
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
        **_read_agents(rollout, killed),
        **_read_engines(rollout),
    }


def _read_agents(rollout: Rollout, killed: set[str]) -> dict[str, Any]:
    links: dict[str, float] = {}
    counters: dict[str, int] = {}
    resident_mb, processor_seconds = [], []
    for name in rollout.engines:
        if name in killed:
            continue
        process = psutil.Process(rollout.fleet.members[name].process.pid)
        resident_mb.append(process.memory_info().rss / 1e6)
        times = process.cpu_times()
        processor_seconds.append(times.user + times.system)
        row = rollout.fleet.read_metrics(name)["counters"]
        region = rollout.fleet.records[name]["region"]
        for key, value in row.items():
            counters[key] = counters.get(key, 0) + value
            if key.startswith("weight_bytes_from_region_"):
                link = f"{key.removeprefix('weight_bytes_from_region_')}->{region}"
                links[link] = links.get(link, 0.0) + value / rollout.plan.model_bytes
    return {
        "region_link_copies": links,
        "agent_resident_mb_most": max(resident_mb),
        "agent_processor_seconds_most": max(processor_seconds),
        "agent_counters": counters,
    }


def _read_engines(rollout: Rollout) -> dict[str, Any]:
    manifest = call_json(f"{rollout.fleet.origin_url}/admin/manifests/{rollout.second_digest}")
    bad_loads, unverified = 0, 0
    for name in rollout.engines:
        counts = rollout.fleet.read_counts(name)
        bad_loads += counts["bad_loads"]
        staged = counts["staged"].get(rollout.second_digest, [])
        unverified += len(set(staged) - set(manifest["chunks"]))
    return {"bad_loads": bad_loads, "unverified_chunks_staged": unverified}


def _build_targets(plan: RolloutPlan, figures: dict[str, Any]) -> list[Target]:
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
    resident_mb = figures["agent_resident_mb_most"]
    rows.append(
        Target.at_most("resident MB of an agent", resident_mb, targets.MAX_AGENT_RESIDENT_MB)
    )
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
    """Plot the live replicas of two runs over time, in units of the floor, to an image file.

    `ours` and `baseline` are report files.
    """
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
