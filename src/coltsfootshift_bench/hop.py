"""What the way through an entry and an agent costs, against direct to the stand-in.

The same requests go to the stand-in directly and through the system, in turns, so that both meet
the same machine. Callers pause at random between requests, so that they do not run in step.
Processor time is that of the entry and of the agent, from the kernel's account.
"""

from __future__ import annotations

import http.client
import json
import os
import threading
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

from coltsfootshift_bench import targets
from coltsfootshift_bench.deployments import TENTLINE, make_catalogue
from coltsfootshift_bench.fleet import CALLERS_PORT, ENDPOINT_PORT, Fleet
from coltsfootshift_bench.targets import Report, Target

__all__ = ["run_hop"]

ROUNDS = 10
QUICK_ROUNDS = 4
REQUESTS = 32
CALLERS = 4
MOST_PAUSE_SECONDS = 0.04
TOKENS = 30
TOKEN_SECONDS = 0.01
WORK_SECONDS = 0.02
MODEL_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024
READY_SECONDS = 20.0
CALL_SECONDS = 20.0
IDLE_SECONDS = 3.0
MILLISECONDS = 1_000.0
MICROSECONDS = 1_000_000.0
P50 = 0.50
P99 = 0.99
PORTAL = "portal-1"
ENGINE = "engine-1"
ENTRY = "entry-1"


@dataclass(slots=True)
class _Samples:
    """Latencies of one way in seconds: of whole requests, first tokens and between tokens."""

    request: list[float] = field(default_factory=list)
    first: list[float] = field(default_factory=list)
    between: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def summarise(self) -> dict[str, dict[str, float]]:
        """Return count and percentiles in milliseconds."""
        rows = {}
        for name in ("request", "first", "between"):
            values = sorted(getattr(self, name))
            if not values:
                continue
            rows[name] = {
                "count": len(values),
                "p50_ms": round(_pick(values, P50) * MILLISECONDS, 3),
                "p99_ms": round(_pick(values, P99) * MILLISECONDS, 3),
            }
        return rows


@dataclass(frozen=True, slots=True)
class _Way:
    """Where requests of one kind go: the address, the path and the body."""

    host: str
    port: int
    path: str
    body: dict[str, Any]
    operation: str = ""


def run_hop(seed: int, quick: bool) -> Report:
    """Measure the hop and return the report."""
    rounds = QUICK_ROUNDS if quick else ROUNDS
    with Fleet(seed=seed) as fleet:
        print("starting an entry, an engine and a plain service")
        _start(fleet, seed)
        plain = _measure(fleet, "plain request", rounds, *_list_plain_ways(fleet))
        stream = _measure(fleet, "stream", rounds, *_list_stream_ways(fleet))
    figures = {"plain": plain, "stream": stream, "tokens_per_stream": TOKENS}
    return Report(seed, figures, _hold(plain, stream))


def _start(fleet: Fleet, seed: int) -> None:
    fleet.start_platform()
    fleet.start_origin()
    digest = fleet.add_version(seed, MODEL_BYTES, CHUNK_BYTES)
    fleet.start_entry(ENTRY)
    fleet.start_engine(ENGINE, "kit-assistant", "--token-seconds", str(TOKEN_SECONDS))
    fleet.start_service(PORTAL, "member-portal", "--work-seconds", str(WORK_SECONDS))
    fleet.publish_instances()
    fleet.publish("catalogue", make_catalogue(TENTLINE, "v1", digest))
    fleet.wait_until_listening()

    def is_ready() -> bool:
        endpoints = fleet.read_status(ENTRY)["endpoints"]
        return sum(row["serving"] for row in endpoints.values()) == 2

    fleet.wait_until(is_ready, READY_SECONDS, "both endpoints serve")


def _list_plain_ways(fleet: Fleet) -> tuple[str, _Way, _Way]:
    body = {"name": "card"}
    direct = _Way(fleet.members[PORTAL].host, ENDPOINT_PORT, "/orders", body)
    path = "/v1/services/member-portal/requests"
    return PORTAL, direct, _Way(fleet.members[ENTRY].host, CALLERS_PORT, path, body, "read")


def _list_stream_ways(fleet: Fleet) -> tuple[str, _Way, _Way]:
    body = {"tokens": TOKENS}
    direct = _Way(fleet.members[ENGINE].host, ENDPOINT_PORT, "/orders", body)
    path = "/v1/services/kit-assistant/requests"
    return ENGINE, direct, _Way(fleet.members[ENTRY].host, CALLERS_PORT, path, body)


def _measure(
    fleet: Fleet, name: str, rounds: int, agent: str, direct: _Way, through: _Way
) -> dict[str, Any]:
    """Send the same requests both ways in turns; return latencies and processor time."""
    samples = {"direct": _Samples(), "through": _Samples()}
    cost = {ENTRY: 0.0, agent: 0.0}
    idle = _measure_idle(fleet, list(cost))
    for number in range(rounds):
        _call_all(direct, samples["direct"], fleet.seed + number)
        before = {key: _read_processor(fleet, key) for key in cost}
        started = time.monotonic()
        _call_all(through, samples["through"], fleet.seed + number)
        seconds = time.monotonic() - started
        for key in cost:
            cost[key] += _read_processor(fleet, key) - before[key] - idle[key] * seconds
        print(f"  {name}: round {number + 1} of {rounds}")
    sent = len(samples["through"].request)
    figures: dict[str, Any] = {key: row.summarise() for key, row in samples.items()}
    figures["entry_us_per_request"] = round(cost[ENTRY] / sent * MICROSECONDS, 1)
    figures["agent_us_per_request"] = round(cost[agent] / sent * MICROSECONDS, 1)
    figures["entry_idle_us_per_second"] = round(idle[ENTRY] * MICROSECONDS, 1)
    figures["agent_idle_us_per_second"] = round(idle[agent] * MICROSECONDS, 1)
    return figures


def _call_all(way: _Way, samples: _Samples, seed: int) -> None:
    threads = []
    for number in range(CALLERS):
        rng = Random(seed * CALLERS + number)
        threads.append(threading.Thread(target=_call_many, args=(way, samples, rng)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _call_many(way: _Way, samples: _Samples, rng: Random) -> None:
    count = REQUESTS // CALLERS
    connection = http.client.HTTPConnection(way.host, way.port, timeout=CALL_SECONDS)
    for _ in range(count):
        time.sleep(rng.uniform(0.0, MOST_PAUSE_SECONDS))
        _call(connection, way, samples)
    connection.close()


def _call(connection: http.client.HTTPConnection, way: _Way, samples: _Samples) -> None:
    headers = {"Coltsfootshift-Team": "staff", "Coltsfootshift-Operation": way.operation}
    started = time.monotonic()
    connection.request("POST", way.path, json.dumps(way.body), headers)
    response = connection.getresponse()
    times = []
    while response.readline():
        times.append(time.monotonic())
    ended = time.monotonic()
    with samples.lock:
        samples.request.append(ended - started)
        samples.first.append(times[0] - started)
        samples.between.extend(_list_gaps(times[:TOKENS]))


def _list_gaps(times: list[float]) -> list[float]:
    return [later - earlier for earlier, later in zip(times, times[1:], strict=False)]


def _measure_idle(fleet: Fleet, names: list[str]) -> dict[str, float]:
    """Return the processor time a second that processes take without requests."""
    before = {name: _read_processor(fleet, name) for name in names}
    time.sleep(IDLE_SECONDS)
    return {name: (_read_processor(fleet, name) - before[name]) / IDLE_SECONDS for name in names}


def _read_processor(fleet: Fleet, name: str) -> float:
    """Return the processor time of a process in seconds."""
    pid = fleet.members[name].process.pid
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _pick(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]


def _hold(plain: dict[str, Any], stream: dict[str, Any]) -> list[Target]:
    rows = []
    for name, figures, kinds in (
        ("plain", plain, ("request",)),
        ("stream", stream, ("request", "first", "between")),
    ):
        for kind in kinds:
            direct = figures["direct"][kind]["p99_ms"]
            ratio = round(figures["through"][kind]["p99_ms"] / direct, 3)
            label = f"p99 through / direct, {name}, {kind}"
            rows.append(Target.at_most(label, ratio, targets.MAX_HOP_LATENCY_RATIO))
    return rows
