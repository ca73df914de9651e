"""Open-loop load generator: Poisson arrivals that do not wait for earlier responses.

It runs in a separate process: `python -m coltsfootshift_bench.load --plan FILE --out FILE`.
Latency is measured from the time at which a request was due, so that delays of the generator count.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import defopt
import treq
from hdrh.histogram import HdrHistogram
from twisted.internet.defer import Deferred, DeferredList
from twisted.web.client import HTTPConnectionPool

from coltsfootshift.loop import reactor

__all__ = ["LoadResult", "LoadStream", "WARM_UP_SECONDS", "run_load", "start_load"]

MAX_LATENCY_MILLISECONDS = 120_000
SIGNIFICANT_DIGITS = 2
MAX_CONNECTIONS_PER_HOST = 512
TIMEOUT_MARGIN_SECONDS = 4.0
WARM_UP_SECONDS = 1.0
STATUS_TOO_MANY_REQUESTS = 429
MAX_RUN_SECONDS = 100.0
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(slots=True)
class LoadStream:
    """Requests of one team and class; times are in seconds, `rate` is in requests per second.

    Each request goes to a random one of `entries`. Requests due within the first `lead` seconds are
    left out of `LoadResult.passed_in_window`.
    """

    name: str
    entries: list[tuple[str, int]]
    team: str
    service: str
    class_: str
    rate: float
    seconds: float
    body: dict[str, Any]
    deadline: float = 10.0
    operation: str = ""
    lead: float = 0.0


@dataclass(slots=True)
class LoadResult:
    """The results of one stream.

    `complete_in_time` counts complete answers within the deadline. `complete_in_window` counts
    those of them that ended while the stream was sending, after `WARM_UP_SECONDS`.
    `passed_in_window` counts requests that were due after the stream's `lead` and got a response
    other than status 429.
    """

    sent: int = 0
    complete_in_time: int = 0
    complete_in_window: int = 0
    passed_in_window: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)
    retry_after_missing: int = 0
    latency_seconds: dict[str, float] = field(default_factory=dict)


class _Sender:
    """Sends the requests of one stream."""

    def __init__(self, reactor: Any, stream: LoadStream, rng: Random, pool: Any) -> None:
        self._reactor = reactor
        self._stream = stream
        self._rng = rng
        self._pool = pool
        self._pending: list[Deferred[None]] = []
        self._histogram = HdrHistogram(1, MAX_LATENCY_MILLISECONDS, SIGNIFICANT_DIGITS)
        self._outcomes: Counter[str] = Counter()
        self._statuses: Counter[str] = Counter()
        self._reasons: Counter[str] = Counter()
        self._started_at = 0.0
        self.result = LoadResult()

    def run(self) -> Deferred[Any]:
        """Send for the stream's duration; the result fires when all requests have ended."""
        started_at = self._started_at = self._reactor.seconds()
        due = started_at
        while True:
            due += self._rng.expovariate(self._stream.rate)
            if due > started_at + self._stream.seconds:
                break
            ended: Deferred[None] = Deferred()
            self._pending.append(ended)
            self._reactor.callLater(due - started_at, self._start_request, due, ended)
        return DeferredList(self._pending).addCallback(lambda ignored: self._fill_result())

    def _start_request(self, due: float, ended: Deferred[None]) -> None:
        deferred = Deferred.fromCoroutine(self._send(due))
        deferred.addErrback(self._record_failure)
        deferred.addCallback(lambda ignored: ended.callback(None))

    async def _send(self, due: float) -> None:
        stream = self._stream
        self.result.sent += 1
        host, port = self._rng.choice(stream.entries)
        body = stream.body | {"prompt": f"{stream.name}-{self.result.sent}"}
        headers: dict[bytes | str, bytes | str] = {
            "Coltsfootshift-Team": stream.team,
            "Coltsfootshift-Class": stream.class_,
            "Coltsfootshift-Operation": stream.operation,
            "Coltsfootshift-Deadline-Seconds": str(stream.deadline),
        }
        response = await treq.post(
            f"http://{host}:{port}/v1/services/{stream.service}/requests",
            data=json.dumps(body).encode(),
            headers=headers,
            pool=self._pool,
            timeout=stream.deadline + TIMEOUT_MARGIN_SECONDS,
            reactor=self._reactor,
        )
        content = await treq.content(response)
        last = json.loads(content.splitlines()[-1])
        outcome = str(last.get("outcome", "cut"))
        self._outcomes[outcome] += 1
        self._statuses[str(response.code)] += 1
        passed = response.code != STATUS_TOO_MANY_REQUESTS
        if passed and due - self._started_at >= stream.lead:
            self.result.passed_in_window += 1
        seconds = self._reactor.seconds() - due
        if outcome == "complete":
            self._histogram.record_value(max(1, int(seconds * 1000)))
            self._record_complete(seconds <= stream.deadline)
            return
        self._reasons[str(last.get("reason", ""))[:60]] += 1
        if last.get("retry") and not response.headers.hasHeader("Retry-After"):
            self.result.retry_after_missing += 1

    def _record_complete(self, in_time: bool) -> None:
        self.result.complete_in_time += in_time
        elapsed = self._reactor.seconds() - self._started_at
        if in_time and WARM_UP_SECONDS <= elapsed <= self._stream.seconds:
            self.result.complete_in_window += 1

    def _record_failure(self, failure: Any) -> None:
        self._outcomes["lost"] += 1
        self._reasons[failure.getErrorMessage()[:60]] += 1

    def _fill_result(self) -> None:
        self.result.outcomes = dict(self._outcomes)
        self.result.statuses = dict(self._statuses)
        self.result.reasons = dict(self._reasons)
        for percentile in PERCENTILES:
            value = self._histogram.get_value_at_percentile(percentile)
            self.result.latency_seconds[f"p{percentile:g}"] = value / 1000


def start_load(
    folder: Path, name: str, streams: list[LoadStream], seed: int
) -> tuple[subprocess.Popen[bytes], Path]:
    """Start the load generator; return its process and the path of its results file."""
    plan = folder / f"{name}-plan.json"
    out = folder / f"{name}-out.json"
    plan.write_text(json.dumps({"seed": seed, "streams": [asdict(item) for item in streams]}))
    command = [sys.executable, "-m", "coltsfootshift_bench.load"]
    command += ["--plan", str(plan), "--out", str(out)]
    return subprocess.Popen(command), out


def run_load(
    folder: Path, name: str, streams: list[LoadStream], seed: int
) -> dict[str, LoadResult]:
    """Run the load generator to its end and return the results by stream name.

    It is killed, and `subprocess.TimeoutExpired` raised, after `MAX_RUN_SECONDS`.
    """
    process, out = start_load(folder, name, streams, seed)
    try:
        process.wait(MAX_RUN_SECONDS)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    rows = json.loads(out.read_text())
    return {key: LoadResult(**row) for key, row in rows.items()}


def main(*, plan: Path, out: Path) -> None:
    """Send the request streams of a plan.

    :param plan: JSON file with the seed and the streams
    :param out: file to write the results to
    """
    content = json.loads(plan.read_text())
    rng = Random(content["seed"])
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
    senders = {}
    for row in content["streams"]:
        row["entries"] = [(host, port) for host, port in row["entries"]]
        stream = LoadStream(**row)
        senders[stream.name] = _Sender(reactor, stream, Random(rng.random()), pool)

    def write_results(ignored: Any) -> None:
        rows = {name: asdict(sender.result) for name, sender in senders.items()}
        out.write_text(json.dumps(rows))
        reactor.stop()

    def start_senders() -> None:
        DeferredList([sender.run() for sender in senders.values()]).addCallback(write_results)

    reactor.callWhenRunning(start_senders)
    reactor.run()


if __name__ == "__main__":
    defopt.run(main, cli_options="all")
