"""Quarantine of requests that crash endpoints; other requests must not be affected."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from random import Random

import pytest
from test_outcomes_agent import AgentTestBed

from coltsfootshift.controllers.quarantine import (
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    Quarantine,
    Standing,
)
from coltsfootshift_bench.caller import Answer, Caller
from coltsfootshift_bench.deployments import TENTLINE, make_catalogue
from coltsfootshift_bench.fleet import CALLERS_PORT, Fleet

ENGINES = 5
STREAMS = {"heartbeat": 0.2, "silence": 0.8, "retry_most": 0.5}
CRASHING_BODY = {"tokens": 8, "prompt": "crash-engine"}


@pytest.mark.parametrize(
    ("crashes", "seconds", "standing"),
    [
        (["a/1"], 1.0, Standing.SUSPECT),
        (["a/1", "a/1"], 1.0, Standing.SUSPECT),
        (["a/1", "b/1"], 1.0, Standing.QUARANTINED),
        (["a/1", "a/2"], 1.0, Standing.QUARANTINED),
        (["a/1"], SUSPECT_SECONDS + 1, Standing.CLEAR),
        (["a/1", "b/1"], SUSPECT_SECONDS + 1, Standing.QUARANTINED),
        (["a/1", "b/1"], QUARANTINE_SECONDS + 1, Standing.CLEAR),
    ],
)
def test_standing(crashes: list[str], seconds: float, standing: Standing) -> None:
    quarantine = Quarantine()
    for crash in crashes:
        quarantine.record_crashes(b"f", "kit", [crash], now=0.0)
    assert quarantine.find_standing(b"f", seconds) is standing


def test_notes_are_bounded_and_keep_the_quarantined() -> None:
    quarantine = Quarantine()
    quarantine.record_crashes(b"bad", "kit", ["a/1", "b/1"], now=0.0)
    for number in range(MAX_SUSPECTS + 10):
        quarantine.record_crashes(str(number).encode(), "kit", ["c/1"], now=1.0)
    assert len(quarantine) == MAX_SUSPECTS
    assert quarantine.find_standing(b"bad", 2.0) is Standing.QUARANTINED


def test_a_whole_answer_clears_a_suspect_only() -> None:
    quarantine = Quarantine()
    quarantine.record_crashes(b"f", "kit", ["a/1"], now=0.0)
    assert quarantine.clear(b"f")
    quarantine.record_crashes(b"f", "kit", ["a/1", "b/1"], now=0.0)
    assert not quarantine.clear(b"f")


@pytest.mark.parametrize(
    ("first", "second", "runs"), [(True, True, 1), (True, False, 2), (False, True, 2)]
)
def test_an_agent_runs_no_two_suspects_at_once(first: bool, second: bool, runs: int) -> None:
    bed = AgentTestBed()
    bed.submit(suspect=first)
    refused = bed.submit(suspect=second).find_end()[0] == "not_run"
    assert len(bed.endpoint.requests) == runs
    assert refused is (runs == 1)


@pytest.fixture(scope="module")
def engine_fleet() -> Iterator[Fleet]:
    """Four entries and five engines with two slots each."""
    with Fleet(seed=7, streams=STREAMS) as fleet:
        fleet.start_platform()
        fleet.start_origin()
        digest = fleet.add_version(7, 256 * 1024, 64 * 1024)
        for number in range(4):
            fleet.start_entry(f"entry-{number + 1}")
        for number in range(ENGINES):
            options = ("--token-seconds", "0.03", "--slots", "2")
            fleet.start_engine(f"engine-{number + 1}", "kit-assistant", *options)
        fleet.publish_instances()
        fleet.publish("catalogue", make_catalogue(TENTLINE, "v1", digest))
        fleet.wait_until_listening()
        fleet.wait_until(lambda: is_ready(fleet), 25, "all engines serve")
        yield fleet


def is_ready(fleet: Fleet) -> bool:
    for number in range(4):
        status = fleet.read_status(f"entry-{number + 1}")
        serving = [row for row in status["endpoints"].values() if row["serving"]]
        shares = status["shares"]
        if len(serving) < ENGINES or not shares["settled"] or len(shares["entries"]) < 3:
            return False
    return True


def count_stopped_endpoints(fleet: Fleet) -> int:
    names = [f"engine-{number + 1}.endpoint" for number in range(ENGINES)]
    return sum(1 for name in names if not fleet.members[name].is_running())


def test_one_request_costs_two_endpoints_whoever_sends_it(engine_fleet: Fleet) -> None:
    hosts = [engine_fleet.members[f"entry-{number + 1}"].host for number in range(4)]
    callers = [Caller((host, CALLERS_PORT), "staff", Random(3)) for host in hosts]
    other_answers: list[Answer] = []

    def send_other_requests(number: int) -> None:
        caller = callers[number % 4]
        at = (hosts[number % 4], CALLERS_PORT)
        for count in range(6):
            body = {"tokens": 12, "prompt": f"quote {number} {count}"}
            other_answers.append(caller.send("kit-assistant", body, entry=at))

    threads = [threading.Thread(target=send_other_requests, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    answers = []
    for team, host in zip(("staff", "campers", "organisers", "staff"), hosts, strict=True):
        caller = Caller((host, CALLERS_PORT), team, Random(4))
        answers.append(caller.send("kit-assistant", CRASHING_BODY, entry=(host, CALLERS_PORT)))
    for thread in threads:
        thread.join()
    assert count_stopped_endpoints(engine_fleet) == 2
    assert answers[0].outcome == "unknown"
    assert [(answer.status, answer.outcome) for answer in answers[1:]] == [(422, "not_run")] * 3
    assert [answer.outcome for answer in other_answers] == ["complete"] * 36
    for number in range(4):
        rows = engine_fleet.read_status(f"entry-{number + 1}")["suspects"]
        assert [row["standing"] for row in rows].count("quarantined") == 1


def test_a_plain_service_that_reports_no_load_is_used(engine_fleet: Fleet) -> None:
    engine_fleet.start_service("portal-1", "member-portal", "--no-status")
    engine_fleet.publish("instances", {"portal-1": engine_fleet.records["portal-1"]})
    address = (engine_fleet.members["entry-1"].host, CALLERS_PORT)
    caller = Caller(address, "staff", Random(5))
    answer = caller.send("member-portal", {"name": "hours"}, "read", entry=address)
    assert answer.outcome == "complete"
