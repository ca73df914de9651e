"""Measures the latency and processor time that an entry and an agent add to a request.

The same requests are sent directly to the stand-in and through the system, in alternating rounds,
so that both are measured under the same load of the machine. Callers pause for a random time
between requests, so that they do not synchronise. The processor time of the entry and of the agent
is read from `/proc/PID/stat`.
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
REQUESTS_PER_ROUND = 32
CALLERS = 4
MAX_PAUSE_SECONDS = 0.04
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
    """Latencies of one route in seconds: whole requests, first tokens and gaps between tokens."""

    request: list[float] = field(default_factory=list)
    first: list[float] = field(default_factory=list)
    between: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def summarise(self) -> dict[str, dict[str, float]]:
        """Return the count and the percentiles in milliseconds for each kind that has samples."""
        rows = {}
        for name in ("request", "first", "between"):
            values = sorted(getattr(self, name))
            if not values:
                continue
            rows[name] = {
                "count": len(values),
                "p50_ms": round(_find_percentile(values, P50) * MILLISECONDS, 3),
                "p99_ms": round(_find_percentile(values, P99) * MILLISECONDS, 3),
            }
        return rows


@dataclass(frozen=True, slots=True)
class _Route:
    """The destination of requests: address, path, body and operation."""

    host: str
    port: int
    path: str
    body: dict[str, Any]
    operation: str = ""


def run_hop(seed: int, quick: bool) -> Report:
    """Measure plain requests and streams, direct and through the system; return the report."""
    rounds = QUICK_ROUNDS if quick else ROUNDS
    with Fleet(seed=seed) as fleet:
        print("starting an entry, an engine and a plain service")
        _start(fleet, seed)
        plain = _measure(fleet, "plain request", rounds, *_list_plain_routes(fleet))
        stream = _measure(fleet, "stream", rounds, *_list_stream_routes(fleet))
    figures = {"plain": plain, "stream": stream, "tokens_per_stream": TOKENS}
    return Report(seed, figures, _make_targets(plain, stream))


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


def _list_plain_routes(fleet: Fleet) -> tuple[str, _Route, _Route]:
    body = {"name": "card"}
    direct = _Route(fleet.members[PORTAL].host, ENDPOINT_PORT, "/orders", body)
    path = "/v1/services/member-portal/requests"
    return PORTAL, direct, _Route(fleet.members[ENTRY].host, CALLERS_PORT, path, body, "read")


def _list_stream_routes(fleet: Fleet) -> tuple[str, _Route, _Route]:
    body = {"tokens": TOKENS}
    direct = _Route(fleet.members[ENGINE].host, ENDPOINT_PORT, "/orders", body)
    path = "/v1/services/kit-assistant/requests"
    return ENGINE, direct, _Route(fleet.members[ENTRY].host, CALLERS_PORT, path, body)


def _measure(
    fleet: Fleet, name: str, rounds: int, agent: str, direct: _Route, through: _Route
) -> dict[str, Any]:
    """Send the same requests over both routes in alternating rounds.

    Returns latencies and the processor time per request, from which the idle share is subtracted.
    """
    samples = {"direct": _Samples(), "through": _Samples()}
    cpu_seconds = {ENTRY: 0.0, agent: 0.0}
    idle = _measure_idle_cpu(fleet, list(cpu_seconds))
    for number in range(rounds):
        _call_all(direct, samples["direct"], fleet.seed + number)
        before = {key: _read_cpu_seconds(fleet, key) for key in cpu_seconds}
        started = time.monotonic()
        _call_all(through, samples["through"], fleet.seed + number)
        seconds = time.monotonic() - started
        for key in cpu_seconds:
            cpu_seconds[key] += _read_cpu_seconds(fleet, key) - before[key] - idle[key] * seconds
        print(f"  {name}: round {number + 1} of {rounds}")
    sent = len(samples["through"].request)
    figures: dict[str, Any] = {key: row.summarise() for key, row in samples.items()}
    figures["entry_us_per_request"] = round(cpu_seconds[ENTRY] / sent * MICROSECONDS, 1)
    figures["agent_us_per_request"] = round(cpu_seconds[agent] / sent * MICROSECONDS, 1)
    figures["entry_idle_us_per_second"] = round(idle[ENTRY] * MICROSECONDS, 1)
    figures["agent_idle_us_per_second"] = round(idle[agent] * MICROSECONDS, 1)
    return figures


def _call_all(route: _Route, samples: _Samples, seed: int) -> None:
    threads = []
    for number in range(CALLERS):
        rng = Random(seed * CALLERS + number)
        threads.append(threading.Thread(target=_call_many, args=(route, samples, rng)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _call_many(route: _Route, samples: _Samples, rng: Random) -> None:
    count = REQUESTS_PER_ROUND // CALLERS
    connection = http.client.HTTPConnection(route.host, route.port, timeout=CALL_SECONDS)
    for _ in range(count):
        time.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))
        _call(connection, route, samples)
    connection.close()


def _call(connection: http.client.HTTPConnection, route: _Route, samples: _Samples) -> None:
    headers = {"Coltsfootshift-Team": "staff", "Coltsfootshift-Operation": route.operation}
    started = time.monotonic()
    connection.request("POST", route.path, json.dumps(route.body), headers)
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


def _measure_idle_cpu(fleet: Fleet, names: list[str]) -> dict[str, float]:
    """Return the processor seconds per second that each process uses without requests."""
    before = {name: _read_cpu_seconds(fleet, name) for name in names}
    time.sleep(IDLE_SECONDS)
    return {name: (_read_cpu_seconds(fleet, name) - before[name]) / IDLE_SECONDS for name in names}


def _read_cpu_seconds(fleet: Fleet, name: str) -> float:
    """Return the user and system processor time of a process in seconds."""
    pid = fleet.members[name].process.pid
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _find_percentile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]


def _make_targets(plain: dict[str, Any], stream: dict[str, Any]) -> list[Target]:
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
