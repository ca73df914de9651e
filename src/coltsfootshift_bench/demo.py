"""The demo: a whole fleet as real processes, a new version of weights while requests flow."""

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

ENTRIES = 4
CALLERS = 6
MODEL_BYTES = 8 * 1024 * 1024
CHUNK_BYTES = 128 * 1024
READY_SECONDS = 20.0
ROLLOUT_SECONDS = 15.0
PAUSE_SECONDS = 0.05
SETTLE_SECONDS = 2.0
TOKENS = 12


@dataclass(slots=True)
class _Tally:
    """What all callers of the demo saw together."""

    outcomes: Counter[str] = field(default_factory=Counter)
    digests: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)
    booked: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    cut: int = 0
    mixed: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)


def start_deployment(fleet: Fleet, deployment: Deployment, entries: int = ENTRIES) -> list[str]:
    """Start the processes of a deployment and return the names of its engine instances."""
    engines = []
    for number in range(entries):
        place = deployment.locations[number % len(deployment.locations)]
        fleet.start_entry(f"entry-{number + 1}", place.region, place.domain)
    for group in deployment.groups:
        for number in range(group.endpoints):
            name = f"{group.service}-{number + 1}"
            place = deployment.locations[number % len(deployment.locations)]
            at = {"region": place.region, "domain": place.domain}
            if group.kind == "engine":
                fleet.start_engine(name, group.service, **at)
                engines.append(name)
            else:
                fleet.start_service(name, group.service, **at)
    return engines


def wait_serving(fleet: Fleet, engines: list[str], digest: str, seconds: float) -> float:
    """Wait until all engines serve a digest; return how long it took, in seconds."""
    started = time.monotonic()
    live = 0

    def check() -> bool:
        nonlocal live
        count = count_serving(fleet, engines, digest)
        if count != live:
            live = count
            print(f"  {time.monotonic() - started:5.1f} s  {live}/{len(engines)} replicas live")
        return live == len(engines)

    fleet.wait_until(check, seconds, f"{len(engines)} replicas serve {digest[:12]}")
    return time.monotonic() - started


def count_serving(fleet: Fleet, engines: list[str], digest: str) -> int:
    """Return how many engines serve a digest, by their own report."""
    count = 0
    for name in engines:
        endpoint = fleet.read_status(name).get("endpoint", {})
        if endpoint.get("serving") and endpoint.get("digest") == digest:
            count += 1
    return count


def run_demo(seed: int, path: Path | None) -> bool:
    """Run the demo, write its report and return whether every promise held."""
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
        first_seconds = wait_serving(fleet, engines, first, READY_SECONDS)
        tally, rollout_seconds = _run_rollout(fleet, engines, seed, second)
        figures = _collect(fleet, engines, tally, first, second)
        figures["seconds_to_first_version"] = round(first_seconds, 3)
        figures["seconds_to_last_replica"] = round(rollout_seconds, 3)
        figures["seconds"] = round(time.monotonic() - started, 3)
    report = Report(seed, figures, _hold(figures, len(engines)))
    report.write(path)
    return report.holds()


def _run_rollout(fleet: Fleet, engines: list[str], seed: int, digest: str) -> tuple[_Tally, float]:
    tally = _Tally()
    stop = threading.Event()
    threads = []
    for number in range(CALLERS):
        rng = Random(seed * 1000 + number)
        thread = threading.Thread(target=_call_until, args=(fleet, rng, number, tally, stop))
        thread.start()
        threads.append(thread)
    try:
        time.sleep(SETTLE_SECONDS)
        print("publishing the second version while requests flow")
        key = f"model/{TENTLINE.groups[0].service}-model"
        fleet.publish("catalogue", {key: make_model(TENTLINE, "v2", digest)})
        seconds = wait_serving(fleet, engines, digest, ROLLOUT_SECONDS)
        time.sleep(SETTLE_SECONDS)
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    return tally, seconds


def _call_until(
    fleet: Fleet, rng: Random, number: int, tally: _Tally, stop: threading.Event
) -> None:
    first = (fleet.members["entry-1"].host, CALLERS_PORT)
    caller = Caller(first, rng.choice(TENTLINE.teams), rng)
    sent = 0
    while not stop.is_set():
        sent += 1
        if rng.random() < 0.3:
            _book(caller, f"booking-{number}-{sent}", tally)
        else:
            _ask(caller, tally, f"{number}-{sent}")
        time.sleep(PAUSE_SECONDS)


def _ask(caller: Caller, tally: _Tally, name: str) -> None:
    answer = caller.send("kit-assistant", {"tokens": TOKENS, "prompt": name})
    digests = answer.list_digests()
    with tally.lock:
        tally.outcomes[answer.outcome] += 1
        tally.seconds.append(answer.seconds)
        if answer.outcome != "complete":
            return
        tally.digests[str(answer.last["digest"])] += 1
        tally.cut += len(answer.lines) != TOKENS
        tally.mixed += len(digests) != 1


def _book(caller: Caller, name: str, tally: _Tally) -> None:
    ticket = caller.request_ticket("booking-ledger")
    if not ticket:
        with tally.lock:
            tally.outcomes["not_run"] += 1
        return
    answer = caller.send("booking-ledger", {"name": name}, "book", ticket)
    with tally.lock:
        tally.outcomes[answer.outcome] += 1
        tally.seconds.append(answer.seconds)
        if answer.outcome == "complete":
            tally.booked.add(name)
        if answer.outcome == "not_run":
            tally.not_run.add(name)


def _collect(
    fleet: Fleet, engines: list[str], tally: _Tally, first: str, second: str
) -> dict[str, Any]:
    executed: Counter[str] = Counter()
    for name in fleet.records:
        if name.startswith("booking-ledger"):
            executed.update(fleet.read_counts(name)["executed"])
    origin = _read_origin(fleet)
    bad_loads = sum(fleet.read_counts(name)["bad_loads"] for name in engines)
    seconds = sorted(tally.seconds)
    return {
        "replicas_live": count_serving(fleet, engines, second),
        "origin_copies": {"v1": origin[first], "v2": origin[second]},
        "requests_by_outcome": dict(tally.outcomes),
        "answers_by_digest": dict(tally.digests),
        "answers_cut": tally.cut,
        "answers_mixed": tally.mixed,
        "latency_seconds": {
            "p50": seconds[len(seconds) // 2],
            "p95": seconds[int(len(seconds) * 0.95)],
            "p99": seconds[int(len(seconds) * 0.99)],
        },
        "bookings_complete": len(tally.booked),
        "bookings_executed_twice": sum(1 for count in executed.values() if count > 1),
        "bookings_lost": len(tally.booked - set(executed)),
        "bookings_told_not_run_that_ran": len(tally.not_run & set(executed)),
        "engine_bad_loads": bad_loads,
    }


def _read_origin(fleet: Fleet) -> dict[str, float]:
    versions = call_json(f"{fleet.origin_url}/admin/counts")["versions"]
    return {digest: row["copies"] for digest, row in versions.items()}


def _hold(figures: dict[str, Any], engines: int) -> list[Target]:
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
