"""The adapter's programs, run as real processes against stand-ins for the platform."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from platform_fleet import Fleet, book, is_ready
from platform_standins import (
    CHUNKS,
    HOST,
    KEY,
    MODEL,
    EngineStandIn,
    OriginStandIn,
    StoreStandIn,
    find_ports,
    make_chunk,
    make_config,
    make_settings,
    send_request,
    wait_for,
)

MAX_CONFIG_DELAY_SECONDS = 2.0
MAX_REVOKE_DELAY_SECONDS = 3.0
LONG_BODY_BYTES = 1_000_000
LONG_ANSWERS = 8  # together more than the system buffers for a slow caller


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(tmp_path)
    yield started
    started.close()


def test_entry_serves_callers_by_the_catalogue(fleet):
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    status, body, headers = book(ports)
    assert (status, body) == (200, b"e-1 POST /book/1tent")
    assert headers["x-response-seal"] == "seal"
    assert fleet.endpoint.orders[0]["x-tenant"] == "team-1"
    status, body, _ = send_request(ports[3], "GET", "/api/resolve?name=x&region=north&zone=a")
    assert json.loads(body)["addresses"] == [f"{HOST}:{ports[0]}"]
    assert book(ports, key="other")[0] == 401
    assert book(ports, route="new")[0] == 404
    config = make_config(7, fleet.origin.address, routes=("book", "new"))
    fleet.store.put("op/config", config)
    wait_for(lambda: book(ports, route="new")[0] == 200, MAX_CONFIG_DELAY_SECONDS)


@pytest.mark.parametrize("lost", ["history", "connection"])
def test_changes_arrive_after_the_store_was_lost(fleet, lost):
    """A revoked key is rejected in time although the history or the connection was lost before."""
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    if lost == "history":
        fleet.store.compact_history()
    else:
        fleet.store.down = 503
        time.sleep(0.5)
    fleet.store.put("op/config", make_config(7, fleet.origin.address, keys=("key-2",)))
    fleet.store.down = 0
    wait_for(lambda: book(ports)[0] == 401, MAX_REVOKE_DELAY_SECONDS)
    assert book(ports, key="key-2")[0] == 200


def test_keys_are_refused_once_the_store_is_silent_for_too_long(fleet):
    """A key that may have been revoked must not be accepted without contact to the store."""
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    wait_for(lambda: book(ports)[0] == 200)
    fleet.store.down = 503
    refused_from = time.monotonic() + MAX_REVOKE_DELAY_SECONDS
    # What is sent before may still be open then, as its endpoint may take its time.
    time.sleep(MAX_REVOKE_DELAY_SECONDS)
    while time.monotonic() < refused_from + 1.0:
        assert book(ports)[0] == 503
    fleet.store.down = 0
    wait_for(lambda: book(ports)[0] == 200)


def test_entry_that_the_store_refuses_learns_from_another(fleet):
    """An entry that the store rejects gets its tables, and all changes, from another entry."""
    first = fleet.start_entry("entry-1")
    wait_for(lambda: is_ready(first))
    refusing = StoreStandIn()
    refusing.down = 429
    second = fleet.start_entry("entry-2", refusing.address, [f"{HOST}:{first[2]}"])
    wait_for(lambda: is_ready(second))
    assert book(second)[0] == 200
    time.sleep(MAX_REVOKE_DELAY_SECONDS + 0.5)
    assert book(second)[0] == 200
    fleet.store.put("op/config", make_config(9, fleet.origin.address, keys=("key-2",)))
    wait_for(lambda: book(second)[0] == 401, MAX_CONFIG_DELAY_SECONDS)
    for ports in (first, second):
        body = send_request(ports[3], "GET", "/api/resolve?name=x&region=north&zone=a")[1]
        assert len(json.loads(body)["addresses"]) == 2
    refusing.close()


def test_homes_of_the_catalogue_bind_entries_and_the_directory(fleet):
    """The endpoint is in the north, with one entry; the other entry is in the south."""
    first = fleet.start_entry("entry-1")
    second = find_ports(6)
    seeds = [f"{HOST}:{first[2]}"]
    settings = make_settings("entry-2", fleet.store.address, second, seeds)
    settings.update(zone="b", region="south", zones={"a": "north", "b": "south"})
    fleet.start("entry-2", "entry", settings)
    wait_for(lambda: is_ready(first) and is_ready(second))

    def resolve(name, region):
        page = f"/api/resolve?name={name}&region={region}&zone=x"
        body = json.loads(send_request(second[3], "GET", page)[1])
        return [int(address.rpartition(":")[2]) for address in body["addresses"]]

    def put(version, homes):
        config = make_config(version, fleet.origin.address)
        config["routes"][0]["allowed_regions"] = homes
        fleet.store.put("op/config", config)

    wait_for(lambda: len(resolve("desk.example", "south")) == 2)
    assert book(second)[0] == 200
    put(7, ["south"])
    wait_for(lambda: book(second)[0] == 503, MAX_CONFIG_DELAY_SECONDS)
    count = len(fleet.endpoint.orders)
    status, _, headers = book(second)
    assert status == 503 and float(headers["retry-after"]) > 0
    assert len(fleet.endpoint.orders) == count
    assert resolve("Desk.Example", "south") == [second[0]]
    assert sorted(resolve("desk.example", "north")) == sorted([first[0], second[0]])
    assert len(resolve("other.example", "south")) == 2
    put(8, ["north"])
    wait_for(lambda: book(second)[0] == 200, MAX_CONFIG_DELAY_SECONDS)
    assert resolve("desk.example", "west") == [first[0]]


def test_leaving_entry_finishes_its_requests(fleet):
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    fleet.endpoint.delay = 1.0
    answers = []
    thread = threading.Thread(target=lambda: answers.append(book(ports)))
    thread.start()
    wait_for(lambda: fleet.endpoint.orders)
    fleet.programs[0].terminate()
    wait_for(lambda: send_request(ports[1], "GET", "/api/ready")[0] == 503, 1.0)
    thread.join(5)
    assert answers[0][0] == 200 and answers[0][2]["connection"] == "close"
    assert fleet.programs[0].process.wait(8) == 0
    messages = [row["message"] for row in fleet.programs[0].read_lines()]
    assert messages[0] == "started" and messages[-1] == "stopped"


def test_leaving_entry_answers_what_it_cannot_finish(fleet):
    """A request that its endpoint did not answer in the time to stop was cut without an answer."""
    ports = fleet.start_entry(grace_s=3)
    wait_for(lambda: is_ready(ports))
    fleet.endpoint.delay = 5.0
    with ThreadPoolExecutor() as pool:
        answer = pool.submit(book, ports)
        wait_for(lambda: fleet.endpoint.orders)
        fleet.programs[0].terminate()
        began_at = time.monotonic()
        assert answer.result(5)[0] == 504
        assert time.monotonic() - began_at >= 3.0 * 5 / 6 - 0.1
    assert fleet.programs[0].process.wait(5) == 0


def test_leaving_entry_sends_all_of_its_answers_to_a_slow_caller(fleet):
    """The process stopped while the caller had yet to take the last of its answers."""
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        caller.connect((HOST, ports[0]))
        caller.settimeout(5.0)
        for number in range(LONG_ANSWERS):
            lines = ["POST /book/1 HTTP/1.1", "Host: desk.example", f"X-Attempt-Id: r-{number}"]
            lines += [f"X-Api-Key: {KEY}", f"Content-Length: {LONG_BODY_BYTES}", "", ""]
            caller.sendall("\r\n".join(lines).encode() + bytes(LONG_BODY_BYTES))
        log = fleet.programs[0].output
        wait_for(lambda: log.read_text("utf-8").count("request ended") == LONG_ANSWERS)
        fleet.programs[0].terminate()
        time.sleep(4.6)
        answer = b""
        while data := caller.recv(65536):
            answer += data
    assert answer.count(b"HTTP/1.1 200 ") == LONG_ANSWERS
    assert len(answer) > LONG_ANSWERS * LONG_BODY_BYTES
    assert fleet.programs[0].process.wait(5) == 0


def test_distance_to_the_store_is_that_of_small_answers(fleet):
    """The reads of a start are slow; an entry near the store would not read for the others."""
    fleet.store.delay = 0.2
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    fleet.store.delay = 0.0

    def list_distances():
        rows = fleet.programs[0].read_lines()
        return [r["milliseconds"] for r in rows if r["message"] == "distance to the store changed"]

    wait_for(lambda: min(list_distances(), default=200.0) < 200.0)
    assert list_distances()[0] >= 200.0


def blocks_hangups(program) -> bool:
    status = Path(f"/proc/{program.process.pid}/status").read_text("ascii")
    mask = next(line for line in status.splitlines() if line.startswith("SigBlk"))
    return bool(int(mask.split()[1], 16) & 1 << (signal.SIGHUP - 1))


def test_settings_change_signalled_during_the_start_is_read(fleet):
    """SIGHUP ended a process that had not set its handler yet."""
    ports = fleet.start_entry()
    program = fleet.programs[0]
    wait_for(lambda: blocks_hangups(program), 5.0)
    program.process.send_signal(signal.SIGHUP)
    wait_for(lambda: is_ready(ports))
    assert [row["message"] for row in program.read_lines()].count("settings reloaded") == 1
    assert not blocks_hangups(program)


def test_request_can_be_followed_in_the_log(fleet):
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    book(ports, request="r-77")
    rows = wait_for(
        lambda: [r for r in fleet.programs[0].read_lines() if r.get("request") == "r-77"][1:]
        and [r for r in fleet.programs[0].read_lines() if r.get("request") == "r-77"]
    )
    assert [row["message"] for row in rows] == ["request placed", "request ended"]
    assert rows[0]["endpoint"] == "e-1" and rows[1]["outcome"] == "status 200"


def start_agents(fleet, engines, corrupt=0):
    """Start an entry, and one agent on its own loopback address for each engine.

    Return the entry's ports. The origin corrupts the first `corrupt` chunks that it sends.
    """
    fleet.origin.close()
    fleet.origin = OriginStandIn(corrupt)
    fleet.store.put("op/config", make_config(4, fleet.origin.address))
    entry = fleet.start_entry()
    wait_for(lambda: is_ready(entry))
    port = find_ports(1)[0]
    for number, engine in enumerate(engines):
        fleet.start_agent(number, engine, entry, port)
    return entry


@pytest.mark.parametrize("corrupt", [0, 3], ids=["sound origin", "corrupt origin"])
def test_version_reaches_all_engines_whole(fleet, corrupt):
    engines = [EngineStandIn(staged=1), EngineStandIn(staged=1), EngineStandIn()]
    start_agents(fleet, engines, corrupt)
    wait_for(lambda: engines[2].version == 1, 20.0)
    assert engines[0].orders == [] and engines[1].orders == []
    fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
    wait_for(lambda: all(engine.version == 2 for engine in engines), 20.0)
    for engine in engines:
        assert engine.loaded == {index: make_chunk(2, index) for index in range(CHUNKS)}
        assert engine.orders[-1]["fencing_token"] == 2
    assert fleet.origin.sent <= 3 * CHUNKS + corrupt


def test_chunk_that_rots_before_the_order_is_staged_again(fleet):
    """A chunk that is corrupted in staging memory must be replaced before the engine loads it."""
    engines = [EngineStandIn(staged=1)]
    start_agents(fleet, engines)
    engines[0].corrupt_next_version = True
    fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
    wait_for(lambda: engines[0].version == 2, 20.0)
    assert engines[0].loaded == {index: make_chunk(2, index) for index in range(CHUNKS)}


def test_engine_that_restarts_empty_is_filled_again(fleet):
    """An engine that has restarted without weights gets its version again."""
    engines = [EngineStandIn(staged=1)]
    start_agents(fleet, engines)
    wait_for(lambda: fleet.store.calls > 4)
    time.sleep(1.0)
    engines[0].staged, engines[0].version, engines[0].orders = {}, 0, []
    engines[0].born += 5000
    wait_for(lambda: engines[0].version == 1, 20.0)
    assert engines[0].loaded == {index: make_chunk(1, index) for index in range(CHUNKS)}


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"ip": 5}, "ip: 5 is not of type str"),
        ({"port_range": [7700]}, "port_range"),
        ({"platform": {"address": "nowhere"}}, "platform.address: 'nowhere'"),
        ({"bounds": {}}, "bounds.contact_ms: missing"),
    ],
)
def test_wrong_settings_end_the_process(fleet, change, text):
    fields = make_settings("bad", fleet.store.address, find_ports(6), [])
    fields.update(change)
    program = fleet.start("bad", "entry", fields)
    assert program.process.wait(10) == 2
    assert text in program.output.read_text("utf-8")
