"""Tests of peer keys and stalled streams with real processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from random import Random

import psutil
import pytest

from coltsfootshift.codec import decode_handshake, encode_message
from coltsfootshift.frames import FrameReader, make_prefix
from coltsfootshift.handshake import Handshake, OpenStream, Role, SendFrame
from coltsfootshift.keys import NONCE_BYTES, FileKeySource, KeyManager, KeyRing, KeysError
from coltsfootshift.messages import Hello, PullTable
from coltsfootshift.metrics import Metrics
from coltsfootshift_bench.caller import Caller
from coltsfootshift_bench.deployments import TENTLINE, make_catalogue
from coltsfootshift_bench.fleet import CALLERS_PORT, PEERS_PORT, Fleet

SEED = 11
OLD, NEW = "old-" * 8, "new-" * 8
DAEMONS = ("entry-1", "entry-2", "ledger-1", "portal-1")
PROXY_PORT = 7100
STREAMS = {"heartbeat": 0.5, "slow_heartbeat": 2.0, "silence": 2.0, "retry_most": 0.5}
SETTLED_SECONDS = 1.5
MAX_GROWTH_BYTES = 48 * 1024 * 1024


def write_keys(path: Path, prove: str, *accept: str) -> None:
    """Replace a key file atomically, as operators should."""
    draft = path.with_suffix(".draft")
    draft.write_text(json.dumps({"prove": prove, "accept": accept}))
    os.replace(draft, path)


@pytest.fixture(scope="module")
def keyed() -> Iterator[Fleet]:
    """Start two entries and two plain services with one key file, one of them behind a proxy."""
    with Fleet(seed=SEED, streams=STREAMS) as fleet:
        write_keys(fleet.folder / "keys", OLD)
        fleet.keys = {"file": str(fleet.folder / "keys")}
        fleet.start_platform()
        fleet.start_faults()
        for name in ("entry-1", "entry-2"):
            fleet.start_entry(name)
        fleet.start_service("ledger-1", "booking-ledger")
        fleet.start_service("portal-1", "member-portal")
        proxy, target = fleet.members["faults"].host, fleet.members["portal-1"].host
        rule = {"name": "portal", "listen": [proxy, PROXY_PORT], "target": [target, PEERS_PORT]}
        fleet.set_rule(rule)
        fleet.records["portal-1"]["peers"] = {"host": proxy, "port": PROXY_PORT}
        fleet.publish_instances()
        fleet.publish("catalogue", make_catalogue(TENTLINE, "v1", "0" * 64))
        fleet.wait_until_listening()
        fleet.wait_until(lambda: is_ready(fleet), 15, "the fleet serves")
        wait_settled(fleet)
        yield fleet


def is_ready(fleet: Fleet) -> bool:
    rows = [fleet.read_status(name)["endpoints"] for name in ("entry-1", "entry-2")]
    return all(len(row) == 2 and all(item["usable"] for item in row.values()) for row in rows)


def wait_settled(fleet: Fleet) -> None:
    """Wait until no process has opened a stream for `SETTLED_SECONDS`."""
    seen = list_opened(fleet)
    since = time.monotonic()

    def check() -> bool:
        nonlocal seen, since
        opened = list_opened(fleet)
        if opened != seen:
            seen, since = opened, time.monotonic()
        return time.monotonic() - since > SETTLED_SECONDS

    fleet.wait_until(check, 15, "no more streams open")


def list_opened(fleet: Fleet) -> dict[str, int]:
    return {name: read_counter(fleet, name, "streams_opened") for name in DAEMONS}


def read_counter(fleet: Fleet, name: str, counter: str) -> int:
    return fleet.read_metrics(name)["counters"].get(counter, 0)


def send_until(fleet: Fleet, stop: threading.Event, outcomes: Counter[str]) -> None:
    caller = Caller((fleet.members["entry-1"].host, CALLERS_PORT), "staff", Random(SEED))
    while not stop.is_set():
        answer = caller.send("booking-ledger", {"name": "stock"}, "stock")
        outcomes[answer.outcome] += 1


def test_rotation_closes_no_stream_and_loses_no_request(keyed: Fleet) -> None:
    stop, outcomes = threading.Event(), Counter()
    thread = threading.Thread(target=send_until, args=(keyed, stop, outcomes))
    thread.start()
    opened = list_opened(keyed)
    try:
        for prove, accept in ((OLD, [NEW]), (NEW, [OLD]), (NEW, [])):
            write_keys(keyed.folder / "keys", prove, *accept)
            for name in DAEMONS:
                keyed.members[name].send_signal(signal.SIGHUP)
            ring = KeyRing.make(prove, accept)
            keyed.wait_until(partial(accepts_keys, keyed, ring), 5, f"{ring}")
            target = outcomes["complete"] + 5
            keyed.wait_until(partial(has_answers, outcomes, target), 5, "more answers")
    finally:
        stop.set()
        thread.join()
    assert set(outcomes) == {"complete"}
    assert list_opened(keyed) == opened
    for reason in ("wrong_key", "key_dropped"):
        assert all(read_counter(keyed, name, f"streams_refused_{reason}") == 0 for name in DAEMONS)


def has_answers(outcomes: Counter[str], target: int) -> bool:
    return outcomes["complete"] >= target


def accepts_keys(fleet: Fleet, ring: KeyRing) -> bool:
    names = ring.list_fingerprints()
    return all(fleet.read_status(name)["keys"]["accepted"] == names for name in DAEMONS)


def test_old_key_is_refused_and_bad_file_changes_nothing(keyed: Fleet) -> None:
    """A process with a dropped key is refused; an invalid key file leaves the keys in force."""
    write_keys(keyed.folder / "old", OLD)
    keys, keyed.keys = keyed.keys, {"file": str(keyed.folder / "old")}
    keyed.start_entry("entry-9")
    keyed.keys = keys
    keyed.publish_instances()
    keyed.wait_until_listening(["entry-9"])
    keyed.wait_until(lambda: count_refused(keyed) > 0, 10, "the old key is refused")
    assert keyed.read_status("entry-9")["open_streams"] == 0
    keyed.kill("entry-9")
    del keyed.records["entry-9"]
    keyed.publish("instances", {"entry-9": None})
    before = keyed.read_status("entry-1")["keys"]
    (keyed.folder / "keys").write_text("{")
    keyed.wait_until(
        lambda: read_counter(keyed, "entry-1", "key_reloads_failed") > 0,
        5,
        "the invalid file is refused",
    )
    after = keyed.read_status("entry-1")["keys"]
    assert after["accepted"] == before["accepted"]
    assert "keys" in after["problem"]
    write_keys(keyed.folder / "keys", NEW)


def count_refused(fleet: Fleet) -> int:
    rows = [
        read_counter(fleet, name, "streams_refused_wrong_key") for name in (*DAEMONS, "entry-9")
    ]
    return sum(rows)


def test_strangers_cost_nothing_while_requests_flow(keyed: Fleet) -> None:
    stop, outcomes = threading.Event(), Counter()
    thread = threading.Thread(target=send_until, args=(keyed, stop, outcomes))
    thread.start()
    host = keyed.members["ledger-1"].host
    opened = read_counter(keyed, "ledger-1", "streams_opened")
    rng = Random(SEED)
    held = []
    try:
        for number in range(150):
            connection = socket.create_connection((host, PEERS_PORT), timeout=2)
            if number % 2:
                connection.sendall(rng.randbytes(200))
            held.append(connection)
    finally:
        stop.set()
        thread.join()
        for connection in held:
            connection.close()
    assert set(outcomes) == {"complete"}
    assert read_counter(keyed, "ledger-1", "streams_refused") >= 75
    assert read_counter(keyed, "ledger-1", "streams_opened") == opened


def test_stalled_streams_are_noticed_and_replaced(keyed: Fleet) -> None:
    """Open connections stop carrying data for good while new ones work."""
    silent = read_counter(keyed, "entry-1", "streams_silent")
    opened = read_counter(keyed, "entry-1", "streams_opened")
    keyed.set_rule({"name": "portal", "mode": "stall"})
    keyed.wait_until(
        lambda: read_counter(keyed, "entry-1", "streams_silent") > silent,
        4,
        "the silent stream is detected",
    )
    keyed.wait_until(
        lambda: read_counter(keyed, "entry-1", "streams_opened") > opened, 3, "a new stream opens"
    )
    keyed.wait_until(lambda: is_ready(keyed), 3, "the endpoint is usable")


def test_request_on_a_stalled_stream_completes(keyed: Fleet) -> None:
    """A request on an idle stream that has stalled is retried after the silence timeout."""
    wait_settled(keyed)
    time.sleep(2 * STREAMS["silence"])
    silent = read_counter(keyed, "entry-1", "streams_silent")
    keyed.set_rule({"name": "portal", "mode": "stall"})
    caller = Caller((keyed.members["entry-1"].host, CALLERS_PORT), "staff", Random(SEED))
    address = (keyed.members["entry-1"].host, CALLERS_PORT)
    answer = caller.send("member-portal", {"name": "stalled"}, "read", deadline=8.0, entry=address)
    assert answer.outcome == "complete", answer.last
    assert read_counter(keyed, "entry-1", "streams_silent") > silent
    assert answer.seconds < STREAMS["silence"] + 2.0


def open_as_peer(host: str, key: str) -> socket.socket:
    """Perform the handshake of a control stream and return the open connection."""
    own = Hello("greedy", "greedy-1", "entry", "control", "", "r", "d", 0.0, bytes(NONCE_BYTES))
    handshake = Handshake(Role.DIALLER, own, KeyRing.make(key))
    connection = socket.create_connection((host, PEERS_PORT), timeout=5)
    reader = FrameReader(max_frame_bytes=4096)
    actions = handshake.start()
    while not any(isinstance(action, OpenStream) for action in actions):
        send_frames(connection, [action.frame for action in actions])
        actions = []
        for data in reader.feed(connection.recv(4096)):
            actions += handshake.receive(decode_handshake(data), data)
    send_frames(connection, [action.frame for action in actions if isinstance(action, SendFrame)])
    return connection


def send_frames(connection: socket.socket, frames: list[bytes]) -> None:
    for data in frames:
        connection.sendall(make_prefix(data) + data)


def test_peer_that_does_not_read_costs_bounded_memory(keyed: Fleet) -> None:
    """A peer with a valid key requests the whole catalogue repeatedly and reads no answer."""
    operations = {f"operation-{number:05}": {"idempotent": True} for number in range(20_000)}
    service = make_catalogue(TENTLINE, "v1", "0" * 64)["service/member-portal"]
    keyed.publish("catalogue", {"service/large": service | {"operations": operations}})
    keyed.wait_until(lambda: has_large_entry(keyed), 5, "the large entry is in force")
    process = psutil.Process(keyed.members["entry-2"].process.pid)
    before = process.memory_info().rss
    with open_as_peer(keyed.members["entry-2"].host, NEW) as connection:
        pull = encode_message(PullTable("catalogue", 0))
        for _ in range(100):
            try:
                send_frames(connection, [pull])
            except OSError:
                break
        keyed.wait_until(
            lambda: read_counter(keyed, "entry-2", "streams_refused_backlog") == 1,
            5,
            "it is refused",
        )
    assert process.memory_info().rss - before < MAX_GROWTH_BYTES


def has_large_entry(fleet: Fleet) -> bool:
    keys = fleet.read_status("entry-2")["mesh"]["entries_in_force"]
    return keys == fleet.read_status("entry-1")["mesh"]["entries_in_force"] and keys >= 8


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{}", '{"prove": "short"}', '{"prove": 7}', f'{{"prove": "{OLD}", "more": 1}}'],
)
def test_wrong_key_files(tmp_path: Path, text: str) -> None:
    path = tmp_path / "keys"
    path.write_text(text)
    with pytest.raises(KeysError, match="keys"):
        FileKeySource(path).read()


def test_keeper_tells_of_changes_only(tmp_path: Path) -> None:
    path = tmp_path / "keys"
    write_keys(path, OLD)
    calls: list[None] = []
    manager = KeyManager(FileKeySource(path), Metrics(), lambda: calls.append(None))
    manager.reload()
    assert not calls
    write_keys(path, NEW, OLD)
    manager.reload()
    assert manager.ring == KeyRing.make(NEW, [OLD])
    path.unlink()
    manager.reload()
    assert manager.ring == KeyRing.make(NEW, [OLD])
    assert len(calls) == 1
    assert OLD not in repr(manager.ring)
