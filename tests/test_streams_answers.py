"""Tests of streamed answers with real processes: resumption, cancellation, backpressure."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from random import Random

import pytest
from conftest import CHUNK_BYTES, MODEL_BYTES, QUICK_STREAMS, SEED

from coltsfootshift_bench.caller import Answer, Caller
from coltsfootshift_bench.deployments import TENTLINE, make_catalogue, make_model
from coltsfootshift_bench.fault_proxy import route_through_proxy, set_proxy_mode
from coltsfootshift_bench.fleet import CALLERS_PORT, Fleet

ENGINES = ("engine-1", "engine-2")
TOKENS = 60
TOKEN_SECONDS = 0.02
LARGE_BYTES = 24_000_000
MAX_GROWTH_BYTES = 4_000_000


class StreamingFleet:
    """A fleet of an entry, two engines behind the fault proxy and a plain service."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.digest = ""

    def start(self) -> None:
        fleet = self.fleet
        fleet.start_platform()
        fleet.start_origin()
        fleet.start_faults()
        self.digest = fleet.add_version(SEED, MODEL_BYTES, CHUNK_BYTES)
        fleet.start_entry("entry-1")
        for name in ENGINES:
            fleet.start_engine(name, "kit-assistant", "--token-seconds", str(TOKEN_SECONDS))
        fleet.start_service("portal-1", "member-portal")
        route_through_proxy(fleet, list(ENGINES))
        fleet.publish_instances()
        fleet.publish("catalogue", make_catalogue(TENTLINE, "v1", self.digest))
        fleet.wait_until_listening()
        self.wait_ready(3)

    def wait_ready(self, count: int) -> None:
        self.fleet.wait_until(lambda: self.count_serving() >= count, 15, f"{count} serving")

    def count_serving(self) -> int:
        endpoints = self.fleet.read_status("entry-1")["endpoints"]
        return sum(row["serving"] for row in endpoints.values())

    def restore(self) -> None:
        for name in ENGINES:
            set_proxy_mode(self.fleet, name, "pass")
            self.fleet.members[name].send_signal(signal.SIGCONT)
            endpoint = self.fleet.members[f"{name}.endpoint"]
            if not endpoint.is_running():
                self.fleet.start_endpoint(name, "engine", "--token-seconds", str(TOKEN_SECONDS))
                self.fleet.kill(name)
            if not self.fleet.members[name].is_running():
                self.fleet.start_agent(name, "kit-assistant", "engine")
                route_through_proxy(self.fleet, list(ENGINES))
        self.fleet.wait_until_listening()
        self.wait_ready(3)

    @property
    def address(self) -> tuple[str, int]:
        return (self.fleet.members["entry-1"].host, CALLERS_PORT)

    def send_request(self, tokens: int = TOKENS) -> Answer:
        caller = Caller(self.address, "staff", Random(SEED))
        return caller.send("kit-assistant", {"tokens": tokens}, entry=self.address)

    def wait_busy_engine(self) -> str:
        """Wait until an engine runs a request and return its name."""
        busy: list[str] = []

        def check() -> bool:
            busy[:] = [name for name in ENGINES if self.fleet.read_status(name)["unfinished"]]
            return bool(busy)

        self.fleet.wait_until(check, 5, "a request at an engine")
        return busy[0]

    def read_counter(self, name: str, counter: str) -> int:
        return int(self.fleet.read_metrics(name)["counters"].get(counter, 0))

    def read_memory(self, name: str) -> int:
        """Return the resident memory of a process in bytes."""
        pid = self.fleet.members[name].process.pid
        with open(f"/proc/{pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        raise AssertionError(f"no memory figure of {name}")

    def open_request(self, service: str, operation: str, body: dict) -> socket.socket:
        """Send a request and return the connection without reading the answer."""
        text = json.dumps(body).encode()
        head = [
            f"POST /v1/services/{service}/requests HTTP/1.1",
            "Host: entry",
            "Coltsfootshift-Team: staff",
            f"Coltsfootshift-Operation: {operation}",
            f"Content-Length: {len(text)}",
            "",
            "",
        ]
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        connection.connect(self.address)
        connection.sendall("\r\n".join(head).encode() + text)
        return connection


@pytest.fixture(scope="module")
def streams() -> Iterator[StreamingFleet]:
    with Fleet(seed=SEED, streams=QUICK_STREAMS) as fleet:
        started = StreamingFleet(fleet)
        started.start()
        yield started


def kill_agent(streams: StreamingFleet, name: str) -> None:
    streams.fleet.kill(name)


def kill_endpoint(streams: StreamingFleet, name: str) -> None:
    streams.fleet.kill(f"{name}.endpoint")


def cut(streams: StreamingFleet, name: str) -> None:
    set_proxy_mode(streams.fleet, name, "refuse")


def stall(streams: StreamingFleet, name: str) -> None:
    set_proxy_mode(streams.fleet, name, "stall")


def freeze(streams: StreamingFleet, name: str) -> None:
    streams.fleet.members[name].send_signal(signal.SIGSTOP)


@pytest.mark.parametrize("fault", [cut, stall, freeze, kill_agent, kill_endpoint])
def test_broken_stream_is_resumed(
    streams: StreamingFleet, fault: Callable[[StreamingFleet, str], None]
) -> None:
    before = streams.read_counter("entry-1", "resumes")
    answers: list[Answer] = []
    thread = threading.Thread(target=lambda: answers.append(streams.send_request()))
    thread.start()
    busy = streams.wait_busy_engine()
    time.sleep(TOKENS * TOKEN_SECONDS / 3)
    fault(streams, busy)
    thread.join()
    resumed = streams.read_counter("entry-1", "resumes") - before
    streams.restore()
    answer = answers[0]
    assert answer.outcome == "complete", answer.last
    assert [line.get("token") for line in answer.lines] == list(range(TOKENS))
    assert answer.list_digests() == {answer.last["digest"][:12]}
    assert resumed >= 1


def test_caller_that_goes_away_stops_the_engine(streams: StreamingFleet) -> None:
    stopped = {name: streams.fleet.read_counts(name)["stopped"] for name in ENGINES}
    connection = streams.open_request("kit-assistant", "", {"tokens": 100_000})
    busy = streams.wait_busy_engine()
    connection.recv(100)
    connection.close()
    streams.fleet.wait_until(
        lambda: streams.fleet.read_counts(busy)["stopped"] > stopped[busy], 5, "the engine stops"
    )
    assert streams.fleet.read_status(busy)["unfinished"] == 0
    assert streams.fleet.read_status("entry-1")["unfinished"] == 0


def test_slow_caller_keeps_memory_bounded(streams: StreamingFleet) -> None:
    names = ("entry-1", "portal-1")
    streams.send_request(1)
    before = {name: streams.read_memory(name) for name in names}
    connection = streams.open_request("member-portal", "read", {"bytes": LARGE_BYTES})
    time.sleep(2.0)
    growth = {name: streams.read_memory(name) - before[name] for name in names}
    response = http.client.HTTPResponse(connection, method="POST")
    response.begin()
    lines = response.read().splitlines()
    connection.close()
    assert max(growth.values()) < MAX_GROWTH_BYTES, growth
    assert len(json.loads(lines[0])["padding"]) == LARGE_BYTES
    assert json.loads(lines[-1])["outcome"] == "complete"


def test_answer_is_never_resumed_by_other_weights(streams: StreamingFleet) -> None:
    """The engine that streams with the first version fails while the other serves the second."""
    fleet = streams.fleet
    second = fleet.add_version(SEED + 1, MODEL_BYTES, CHUNK_BYTES)
    answers: list[Answer] = []
    caller = Caller(streams.address, "staff", Random(SEED))

    def send_long_request() -> None:
        body = {"tokens": 1_000}
        answers.append(caller.send("kit-assistant", body, deadline=12.0, entry=streams.address))

    thread = threading.Thread(target=send_long_request)
    thread.start()
    busy = streams.wait_busy_engine()
    other = next(name for name in ENGINES if name != busy)
    fleet.publish("catalogue", {"model/kit-assistant-model": make_model(TENTLINE, "v2", second)})
    fleet.wait_until(lambda: fleet.read_counts(other)["digest"] == second, 10, "the other loads")
    fleet.kill(f"{busy}.endpoint")
    thread.join()
    answer = answers[0]
    assert answer.outcome == "unknown"
    assert "cut" in answer.last["reason"]
    assert answer.list_digests() == {streams.digest[:12]}
