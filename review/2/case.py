"""Freezes an agent while it checks the staged pieces; checked pieces turn bad meanwhile."""

from __future__ import annotations

import signal
import threading
import time

from standins import (
    LIMITS,
    MODEL,
    ModelEngine,
    Origin,
    Run,
    Store,
    find_ports,
    is_ready,
    make_agent_settings,
    make_entry_settings,
    make_model_service,
    make_piece,
    make_route,
    run_case,
    send,
    wait_until,
)

SERVICE = "kit-assistant"
MACHINES = 9  # of which one is frozen: 0.11 of them
PIECES, PIECE_BYTES = 48, 49152
LAST_VERSION = 7
LAST_START_SECONDS = 85.0  # a version is named no later than this
FREEZE_SECONDS = 4.0
EXCUSED_SECONDS = 3.0
SPOILT_PIECES = 2  # 0.06 of the pieces of one engine
FREEZE_AT_PIECE = 24
# Until the agent has read the answer and not yet asked for the next piece.
FREEZE_DELAYS = (0.0002, 0.0006, 0.0010, 0.0014)
MAX_SWITCH_SECONDS = 22.0


class WatchedEngine(ModelEngine):
    """A model engine that tells when all staged pieces of a version are being read back.

    `taken` lists for each accepted order its version, and for each bad piece since when it was bad.
    """

    def __init__(self, *args) -> None:
        self.on_read = None
        self.tokens_on: set[int] = set()
        self.bad_since: dict[int, float] = {}
        self.taken: list[tuple[int, dict[int, float]]] = []
        self._puts = 0
        super().__init__(*args)

    def handle(self, method, path, query, body, headers):
        if path.startswith("/api/stage-put/"):
            self.bad_since.pop(int(query["num"]), None)
        answer = super().handle(method, path, query, body, headers)
        if path.startswith("/pitch-answer/") and answer[0] == 200:
            self.tokens_on.add(self.version)
        if path == "/api/order" and answer[0] == 202:
            now = time.monotonic()
            ages = {number: now - since for number, since in self.bad_since.items()}
            self.taken.append((self.version, ages))
        if path.startswith("/api/stage-get/") and self.on_read is not None:
            self.on_read(int(query.get("num", -1)))
        return answer

    def spoil(self, numbers) -> None:
        for number in numbers:
            data = self.staged[number]
            self.staged[number] = bytes([data[0] ^ 1]) + data[1:]
            self.bad_since[number] = time.monotonic()


def play(run: Run) -> bool:
    store, origin = Store(), Origin(PIECES, PIECE_BYTES)
    weights = {"name": "member-portal", "origin": origin.address, "link_mbps": 15.0}
    config = {
        "version": 7,
        "routes": [make_route("pitch-answer", SERVICE, "streaming", timeout_ms=6000)],
        "services": [make_model_service(SERVICE, origin), {**weights, "max_conns": 48}],
        "tenants": [{"name": "firm-a", "keys": ["key-of-firm-a"], "priority": 1}],
        "limits": LIMITS,
    }
    store.put("op/config", config)
    ports = find_ports(8)
    engine = WatchedEngine("engine-1", SERVICE, store, origin, "127.0.3.1")
    engines = [engine]
    for number in range(2, MACHINES + 1):
        host = f"127.0.3.{number}"
        engines.append(ModelEngine(f"engine-{number}", SERVICE, store, origin, host))
    seeds = [f"127.0.0.1:{ports[2]}"]
    run.start("front-1", "entry", make_entry_settings("front-1", store, ports, seeds))
    for number, item in enumerate(engines, 1):
        name = f"side-{number}"
        fields = make_agent_settings(
            name, store, item.host, ports[6:8], seeds, item.address, SERVICE
        )
        run.start(name, "agent", fields)
    wait_until(lambda: is_ready(ports[1]), 20.0, "the entry is ready")
    time.sleep(2.0)

    def ask(request: str) -> None:
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": request,
            "X-Deadline-Ms": "6060",
            "X-Api-Key": "key-of-firm-a",
            "X-Model": MODEL,
            "X-Token-Counts": "607,70",
        }
        status, _, _ = send(ports[0], "POST", "/pitch-answer/1", headers, b"pitch")
        run.note(f"sent {request}: {status}")

    def ask_until_run(version: int) -> None:
        for number in range(60):
            if version in engine.tokens_on:
                run.note(f"{engine.name} has made tokens with version {version}")
                return
            ask(f"r-{version}-{number}")
            time.sleep(0.05)

    began_at = time.monotonic()
    for version in range(2, LAST_VERSION + 1):
        if time.monotonic() > began_at + LAST_START_SECONDS:
            break
        delay = FREEZE_DELAYS[version % len(FREEZE_DELAYS)]
        frozen = threading.Event()

        def freeze(delay=delay) -> None:
            time.sleep(delay)
            run.signal("side-1", signal.SIGSTOP)
            engine.spoil(range(SPOILT_PIECES))
            run.note(f"pieces 0 to {SPOILT_PIECES - 1} have turned bad, and stay bad")
            time.sleep(FREEZE_SECONDS)
            run.signal("side-1", signal.SIGCONT)

        def handle_read(number: int, version=version, frozen=frozen, freeze=freeze) -> None:
            if number != FREEZE_AT_PIECE or frozen.is_set() or not run.trouble:
                return
            if engine.staged.get(PIECES - 1) != make_piece(version, PIECES - 1, PIECE_BYTES):
                return
            frozen.set()
            threading.Thread(target=freeze, daemon=True).start()

        engine.on_read = handle_read
        store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
        run.note(f"version {version} named")
        wait_until(lambda v=version: engine.version == v, MAX_SWITCH_SECONDS, "the load")
        _, ages = engine.taken[-1]
        run.note(f"version {version} taken; seconds for which bad pieces were bad: {ages}")
        ask_until_run(version)
        time.sleep(2.0)
    spoilt = [v for v, ages in engine.taken if any(age > EXCUSED_SECONDS for age in ages.values())]
    broken = [version for version in spoilt if version in engine.tokens_on]
    run.note(f"{len(engine.taken)} loads, with pieces that were spoilt for long: {spoilt}")
    run.note(f"tokens were made with these: {broken}")
    return not broken


run_case(__file__, "an agent is frozen while it checks the staged pieces", play)
