"""The demo: rolls out a new version of weights on a fleet of real processes under load."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from coltsfootshift_bench import targets
from coltsfootshift_bench.caller import Caller
from coltsfootshift_bench.deployments import TENTLINE, Deployment, make_catalogue, make_model
from coltsfootshift_bench.fleet import CALLERS_PORT, Fleet, call_json
from coltsfootshift_bench.targets import Report, Target

__all__ = ["run_demo", "start_deployment", "wait_serving"]

ENTRY_COUNT = 4
CALLER_COUNT = 6
MODEL_BYTES = 8 * 1024 * 1024
CHUNK_BYTES = 128 * 1024
READY_TIMEOUT_SECONDS = 20.0
ROLLOUT_TIMEOUT_SECONDS = 15.0
REQUEST_PAUSE_SECONDS = 0.05
SETTLE_SECONDS = 2.0
TOKENS_PER_REQUEST = 12


@dataclass(slots=True)
class _CallerResults:
    """The results of all callers of the demo.

    `booked` and `not_run` have the names of bookings by outcome; `cut` and `mixed` count complete
    answers with a wrong number of tokens, or with tokens of more than one version. `lock` guards
    all fields.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    digests: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)
    booked: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    cut: int = 0
    mixed: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)


def start_deployment(fleet: Fleet, deployment: Deployment, entries: int = ENTRY_COUNT) -> list[str]:
    """Start the entries, agents and endpoints of a deployment; return its engine instances."""
    engines = []
    for number in range(entries):
        location = deployment.locations[number % len(deployment.locations)]
        fleet.start_entry(f"entry-{number + 1}", location.region, location.domain)
    for group in deployment.groups:
        for number in range(group.endpoints):
            name = f"{group.service}-{number + 1}"
            location = deployment.locations[number % len(deployment.locations)]
            location_options = {"region": location.region, "domain": location.domain}
            if group.kind == "engine":
                fleet.start_engine(name, group.service, **location_options)
                engines.append(name)
            else:
                fleet.start_service(name, group.service, **location_options)
    return engines


def wait_serving(fleet: Fleet, engines: list[str], digest: str, seconds: float) -> float:
    """Wait until all engines serve the version with a digest; return the seconds it took.

    Prints a line whenever the number of serving engines changes.
    """
    started = time.monotonic()
    serving = 0

    def check() -> bool:
        nonlocal serving
        count = count_serving(fleet, engines, digest)
        if count != serving:
            serving = count
            print(f"  {time.monotonic() - started:5.1f} s  {serving}/{len(engines)} replicas live")
        return serving == len(engines)

    fleet.wait_until(check, seconds, f"{len(engines)} replicas serve {digest[:12]}")
    return time.monotonic() - started


def count_serving(fleet: Fleet, engines: list[str], digest: str) -> int:
    """Return how many engines report that they serve the version with a digest."""
    count = 0
    for name in engines:
        endpoint = fleet.read_status(name).get("endpoint", {})
        if endpoint.get("serving") and endpoint.get("digest") == digest:
            count += 1
    return count


def run_demo(seed: int, path: Path | None) -> bool:
    """Run the demo, write its report and return whether every target holds."""
    started = time.monotonic()
    with Fleet(seed=seed) as fleet:
        print("starting platform, origin, entries, agents, engines and services")
        fleet.start_platform()
        fleet.start_origin()
        first = fleet.add_version(seed, MODEL_BYTES, CHUNK_BYTES)
        second = fleet.add_version(seed + 1, MODEL_BYTES, CHUNK_BYTES)
        engines = start_deployment(fleet, TENTLINE)
        fleet.publish_instances()
        fleet.publish("catalogue", make_catalogue(TENTLINE, "v1", first))
        fleet.wait_until_listening()
        print(f"{len(fleet.members)} processes are up; first version")
        first_seconds = wait_serving(fleet, engines, first, READY_TIMEOUT_SECONDS)
        results, rollout_seconds = _run_rollout(fleet, engines, seed, second)
        figures = _collect_figures(fleet, engines, results, first, second)
        figures["seconds_to_first_version"] = round(first_seconds, 3)
        figures["seconds_to_last_replica"] = round(rollout_seconds, 3)
        figures["seconds"] = round(time.monotonic() - started, 3)
    report = Report(seed, figures, _build_targets(figures, len(engines)))
    report.write(path)
    return report.holds()


def _run_rollout(
    fleet: Fleet, engines: list[str], seed: int, digest: str
) -> tuple[_CallerResults, float]:
    results = _CallerResults()
    stop = threading.Event()
    threads = []
    for number in range(CALLER_COUNT):
        rng = Random(seed * 1000 + number)
        thread = threading.Thread(target=_send_requests, args=(fleet, rng, number, results, stop))
        thread.start()
        threads.append(thread)
    try:
        time.sleep(SETTLE_SECONDS)
        print("publishing the second version while requests flow")
        key = f"model/{TENTLINE.groups[0].service}-model"
        fleet.publish("catalogue", {key: make_model(TENTLINE, "v2", digest)})
        seconds = wait_serving(fleet, engines, digest, ROLLOUT_TIMEOUT_SECONDS)
        time.sleep(SETTLE_SECONDS)
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    return results, seconds


def _send_requests(
    fleet: Fleet, rng: Random, number: int, results: _CallerResults, stop: threading.Event
) -> None:
    first = (fleet.members["entry-1"].host, CALLERS_PORT)
    caller = Caller(first, rng.choice(TENTLINE.teams), rng)
    sent = 0
    while not stop.is_set():
        sent += 1
        if rng.random() < 0.3:
            _book(caller, f"booking-{number}-{sent}", results)
        else:
            _request_engine(caller, results, f"{number}-{sent}")
        time.sleep(REQUEST_PAUSE_SECONDS)


def _request_engine(caller: Caller, results: _CallerResults, name: str) -> None:
    answer = caller.send("kit-assistant", {"tokens": TOKENS_PER_REQUEST, "prompt": name})
    digests = answer.list_digests()
    with results.lock:
        results.outcomes[answer.outcome] += 1
        results.seconds.append(answer.seconds)
        if answer.outcome != "complete":
            return
        results.digests[str(answer.last["digest"])] += 1
        results.cut += len(answer.lines) != TOKENS_PER_REQUEST
        results.mixed += len(digests) != 1


def _book(caller: Caller, name: str, results: _CallerResults) -> None:
    ticket = caller.request_ticket("booking-ledger")
    if not ticket:
        with results.lock:
            results.outcomes["not_run"] += 1
        return
    answer = caller.send("booking-ledger", {"name": name}, "book", ticket)
    with results.lock:
        results.outcomes[answer.outcome] += 1
        results.seconds.append(answer.seconds)
        if answer.outcome == "complete":
            results.booked.add(name)
        if answer.outcome == "not_run":
            results.not_run.add(name)


def _collect_figures(
    fleet: Fleet, engines: list[str], results: _CallerResults, first: str, second: str
) -> dict[str, Any]:
    executed: Counter[str] = Counter()
    for name in fleet.records:
        if name.startswith("booking-ledger"):
            executed.update(fleet.read_counts(name)["executed"])
    origin = _read_origin_copies(fleet)
    bad_loads = sum(fleet.read_counts(name)["bad_loads"] for name in engines)
    seconds = sorted(results.seconds)
    return {
        "replicas_live": count_serving(fleet, engines, second),
        "origin_copies": {"v1": origin[first], "v2": origin[second]},
        "requests_by_outcome": dict(results.outcomes),
        "answers_by_digest": dict(results.digests),
        "answers_cut": results.cut,
        "answers_mixed": results.mixed,
        "latency_seconds": {
            "p50": seconds[len(seconds) // 2],
            "p95": seconds[int(len(seconds) * 0.95)],
            "p99": seconds[int(len(seconds) * 0.99)],
        },
        "bookings_complete": len(results.booked),
        "bookings_executed_twice": sum(1 for count in executed.values() if count > 1),
        "bookings_lost": len(results.booked - set(executed)),
        "bookings_told_not_run_that_ran": len(results.not_run & set(executed)),
        "engine_bad_loads": bad_loads,
    }


def _read_origin_copies(fleet: Fleet) -> dict[str, float]:
    versions = call_json(f"{fleet.origin_url}/admin/counts")["versions"]
    return {digest: row["copies"] for digest, row in versions.items()}


def _build_targets(figures: dict[str, Any], engines: int) -> list[Target]:
    answered = figures["requests_by_outcome"]
    lost = sum(count for name, count in answered.items() if name in ("lost", "cut"))
    copies = max(figures["origin_copies"].values())
    return [
        Target.at_least("replicas live", figures["replicas_live"], engines),
        Target.at_most(
            "bookings executed twice",
            figures["bookings_executed_twice"],
            targets.MAX_DOUBLE_BOOKINGS,
        ),
        Target.at_most("bookings lost", figures["bookings_lost"], 0),
        Target.at_most(
            "bookings told not_run that ran", figures["bookings_told_not_run_that_ran"], 0
        ),
        Target.at_most("answers cut", figures["answers_cut"], targets.MAX_CUT_ANSWERS),
        Target.at_most("answers mixed", figures["answers_mixed"], targets.MAX_MIXED_ANSWERS),
        Target.at_most("requests without outcome", lost, 0),
        Target.at_most("engine loads of partial weights", figures["engine_bad_loads"], 0),
        Target.at_most("origin copies", copies, targets.MAX_DEMO_ORIGIN_COPIES),
        Target.at_most("seconds", figures["seconds"], targets.MAX_DEMO_SECONDS),
    ]
