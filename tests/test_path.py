"""End-to-end tests with real processes: weights, requests, bookings, draining, settings."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import threading
from pathlib import Path
from random import Random
from typing import Any

import pytest

from coltsfootshift_bench.caller import Answer, Caller
from coltsfootshift_bench.fleet import CALLERS_PORT, Fleet


def make_caller(fleet: Fleet) -> Caller:
    return Caller((fleet.members["entry-1"].host, CALLERS_PORT), "staff", Random(fleet.seed))


def test_whole_path(small_fleet: Fleet) -> None:
    caller = make_caller(small_fleet)
    answer = caller.send("kit-assistant", {"tokens": 20})
    assert answer.outcome == "complete"
    assert len(answer.lines) == 20
    assert {answer.last["digest"][:12]} == answer.list_digests()

    ticket = caller.request_ticket("booking-ledger")
    first = caller.send("booking-ledger", {"name": "tent-1"}, "book", ticket)
    again = caller.send("booking-ledger", {"name": "tent-1"}, "book", ticket)
    assert (first.outcome, again.outcome) == ("complete", "complete")
    assert first.lines == again.lines
    runs = [small_fleet.read_counts(f"ledger-{n}")["executed"].get("tent-1", 0) for n in (1, 2)]
    assert sum(runs) == 1


@pytest.mark.parametrize(
    ("service", "team", "operation", "status"),
    [
        ("no-such", "staff", "", 404),
        ("kit-assistant", "no-such", "", 403),
        ("booking-ledger", "staff", "book", 428),
    ],
)
def test_refusals(small_fleet: Fleet, service: str, team: str, operation: str, status: int) -> None:
    caller = make_caller(small_fleet)
    caller.team = team
    answer = caller.send(service, {"name": "refused"}, operation)
    assert (answer.status, answer.outcome) == (status, "not_run")
    assert answer.last["reason"]


@pytest.mark.parametrize(
    ("service", "team", "status"),
    [("no-such", "staff", 404), ("booking-ledger", "no-such", 403), ("booking-ledger", "", 403)],
)
def test_tickets_are_for_known_teams_and_services(
    small_fleet: Fleet, service: str, team: str, status: int
) -> None:
    caller = make_caller(small_fleet)
    caller.team = team
    answer = caller.send_ticket_request(service)
    assert (answer.status, answer.outcome) == (status, "not_run")


@pytest.mark.parametrize("deadline", ["nan", "inf", "-1", "0", "soon"])
def test_wrong_deadlines_are_refused(small_fleet: Fleet, deadline: Any) -> None:
    answer = make_caller(small_fleet).send("kit-assistant", {"tokens": 1}, deadline=deadline)
    assert (answer.status, answer.outcome) == (400, "not_run")
    assert deadline in answer.last["reason"]


def test_leaving_agent_finishes_its_work(small_fleet: Fleet) -> None:
    caller = make_caller(small_fleet)
    answers: list[Answer] = []
    for _ in range(8):
        caller.pick_entry()
    threads = [
        threading.Thread(
            target=lambda: answers.append(caller.send("kit-assistant", {"tokens": 40}))
        )
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    small_fleet.wait_until(
        lambda: small_fleet.read_status("engine-1")["unfinished"] > 0, 5, "work at engine-1"
    )
    small_fleet.members["engine-1"].send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    assert [answer.outcome for answer in answers] == ["complete"] * 8
    assert all(len(answer.lines) == 40 for answer in answers)
    assert small_fleet.members["engine-1"].process.wait(5) == 0


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"instance": "UPPER"}, "instance"),
        ({"peers": {"host": "10.0.0.1", "port": 70000}}, "peers.port"),
        ({"streams": {"heartbeat": -1}}, "streams.heartbeat"),
        ({"unheard": 1}, "unheard"),
    ],
)
def test_wrong_settings(tmp_path: Path, change: dict, field: str) -> None:
    content = {
        "instance": "entry-1",
        "region": "north",
        "failure_domain": "north-1",
        "platform": "http://127.0.0.1:9100",
        "peers": {"host": "127.0.0.1", "port": 7000},
        "operators": {"host": "127.0.0.1", "port": 9000},
        "callers": {"host": "127.0.0.1", "port": 8080},
        "keys": {"values": {"prove": "k" * 32}},
    }
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(content | change))
    command = [sys.executable, "-m", "coltsfootshift.entry.daemon", "--settings", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)
    assert result.returncode == 2
    assert str(path) in result.stderr
    assert field in result.stderr
