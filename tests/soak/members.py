"""The fleet under test: entries and agents, simulated back ends and a fault proxy between them."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from enum import Enum
from pathlib import Path
from random import Random

from platform_standins import (
    ENGINE_SERVICE,
    HOST,
    MODEL,
    PLAIN_SERVICE,
    OriginStandIn,
    Program,
    StoreStandIn,
    hold_port,
    make_config,
    make_record,
    make_settings,
    send_request,
    wait_for,
    write_settings,
)

from soak.backends import SoakEndpoint, SoakEngine
from soak.ledger import SETTLE_SECONDS, Kind, Ledger

FIRST_PORT, LAST_PORT = 11_000, 31_000  # below the ephemeral port range
REVOCATION_SECONDS = 3.0  # `revoke_ms` of the stand-ins' settings
HEARTBEAT_INTERVAL_SECONDS = 1.2  # of an engine's heartbeats to the store, as specified
START_TIMEOUT_SECONDS = 20.0
# The team of each API key.
TEAMS = {f"key-{number}": f"team-{number % 3}" for number in range(12)}


class Taken(Enum):
    """What an operator takes away from all, or what is gone from the store."""

    KEYS = "keys"  # the teams stay, without keys
    TEAMS = "teams"
    ROUTES = "routes"
    ENGINES = "engines"


class PortPicker:
    """Allocates free ports, each at most once, and holds them for processes that start again."""

    def __init__(self, rng: Random) -> None:
        self._ports = list(range(FIRST_PORT, LAST_PORT))
        self._holders: list[socket.socket] = []
        rng.shuffle(self._ports)

    def pick(self, count: int) -> list[int]:
        """Return `count` ports that nothing listens on or is bound to."""
        found: list[int] = []
        while len(found) < count:
            port = self._ports.pop()
            holder = hold_port(port)
            if holder is None:
                continue
            self._holders.append(holder)
            found.append(port)
        return found

    def close(self) -> None:
        """Give up the ports."""
        for holder in self._holders:
            holder.close()


class Member:
    """An entry or agent process; each start writes its own log file."""

    def __init__(self, name: str, role: str, fields: dict, folder: Path) -> None:
        self.name = name
        self.role = role
        self.fields = fields
        self.ports = [int(address.rsplit(":", 1)[1]) for address in fields["listen"].values()]
        self.logs: list[Path] = []
        self.problems: list[str] = []
        self._exit_expected = True
        self._folder = folder
        self._program: Program | None = None

    def start(self) -> None:
        """Start the process unless it is already running."""
        if self.alive:
            return
        if self.exited_unexpectedly:
            self.problems.append(self._describe_exit())
        settings = self._write_settings()
        log = self._folder / f"{self.name}-{len(self.logs)}.log"
        self.logs.append(log)
        self._program = Program(self.role, settings, log)
        self._exit_expected = False

    def change_settings(self, **fields) -> None:
        """Change the settings, also in the file of the process that runs."""
        self.fields.update(fields)
        self._write_settings()

    def _write_settings(self) -> Path:
        return write_settings(self._folder / f"{self.name}.toml", self.fields)

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._program is not None and self._program.process.poll() is None

    @property
    def exited_unexpectedly(self) -> bool:
        """Whether the process has ended without a signal to do so."""
        return not self.alive and not self._exit_expected

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self._exit_expected = True
        if self.alive:
            assert self._program is not None
            self._program.process.send_signal(signal_number)

    def end(self) -> None:
        """Kill the process."""
        self._exit_expected = True
        if self._program is not None:
            self._program.kill()

    def describe_state(self) -> str:
        """Return what a process that should have ended does: state, threads, processor time."""
        if not self.alive:
            return "ended"
        assert self._program is not None
        folder = Path("/proc") / str(self._program.process.pid)
        fields = (folder / "stat").read_text("utf-8").rpartition(")")[2].split()
        waits = (folder / "wchan").read_text("utf-8")
        user, system, threads = fields[11], fields[12], fields[17]
        return f"state {fields[0]}, waits in {waits}, {threads} threads, ticks {user} + {system}"

    def _describe_exit(self) -> str:
        status = "no process" if self._program is None else self._program.process.poll()
        return f"{self.name} exited unexpectedly, with status {status}"

    def list_errors(self) -> list[str]:
        """Return the unexpected exits of the process and the errors in its logs."""
        found = list(self.problems)
        if self.exited_unexpectedly:
            found.append(self._describe_exit())
        for log in self.logs:
            for line in log.read_text("utf-8", "replace").splitlines():
                if not line.startswith("{"):
                    found.append(f"{log.name}: {line[:200]}")
                    continue
                try:
                    row = json.loads(line)
                except ValueError:
                    continue  # the last line of a killed process may be incomplete
                if row["level"] in ("ERROR", "CRITICAL"):
                    found.append(f"{log.name}: {line[:400]}")
        return found


class Proxy:
    """The process of the fault proxy and its admin interface."""

    def __init__(self, ports: PortPicker, folder: Path) -> None:
        self.port = ports.pick(1)[0]
        self._ports = ports
        with (folder / "proxy.log").open("wb") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "coltsfootshift_standins.faults",
                    *("--host", HOST, "--port", str(self.port)),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        wait_for(
            lambda: send_request(self.port, "GET", "/admin/counts")[0] == 200, START_TIMEOUT_SECONDS
        )

    def add(self, name: str, port: int, host: str = HOST) -> int:
        """Open a port on `host` that forwards to local port `port`; return the new port."""
        listen = self._ports.pick(1)[0]
        self.set(name, listen=[host, listen], target=[HOST, port])
        return listen

    def set(self, name: str, **fields) -> None:
        """Change the rule of a forwarded port."""
        body = json.dumps({"name": name, **fields}).encode()
        assert send_request(self.port, "POST", "/admin/rules", body=body)[0] == 200

    def end(self) -> None:
        """Kill the proxy."""
        self._process.kill()
        self._process.wait()


class SoakFleet:
    """Entries, agents with engines, and plain endpoints; the proxy has a rule per back end."""

    def __init__(self, folder: Path, rng: Random, entries: int, engines: int) -> None:
        self.rng = rng
        self.ledger = Ledger(TEAMS, REVOCATION_SECONDS)
        self.store = StoreStandIn()
        self.origin = OriginStandIn()
        self.ports = PortPicker(Random(os.getpid()))
        self.proxy = Proxy(self.ports, folder)
        self.keys = sorted(TEAMS)
        self.routes: list[str] = []
        self.taken: Taken | None = None
        self.config_version = 1
        self.weights_version = 1
        self._origin_port = self.proxy.add("origin", self.origin.port)
        self.endpoints = [SoakEndpoint(f"e-{n}", self.ledger, rng) for n in range(3)]
        self.engines = [SoakEngine(f"m-{n}", self.ledger, rng) for n in range(engines)]
        self.members: list[Member] = []
        self.seeds: list[str] = []
        self._folder = folder
        self._agents_net = f"127.{os.getpid() % 200 + 20}.1"
        self._addresses: dict[str, str] = {}
        self._listed: dict[str, dict] = {}
        self._config: dict = {}
        self._copy: tuple = self.store.copy()
        self._removed: set[str] = set()
        self._closed = threading.Event()
        self._heartbeats = threading.Thread(target=self._publish_heartbeats, daemon=True)
        self.put_config()
        for number in range(entries):
            self._add_entry(f"entry-{number}")
        agent_ports = self.ports.pick(2)
        for number, engine in enumerate(self.engines):
            self._add_agent(number, engine, agent_ports)
        for endpoint in self.endpoints:
            port = self.proxy.add(endpoint.name, endpoint.port)
            self._addresses[endpoint.name] = f"{HOST}:{port}"
            self.list_endpoint(endpoint.name)
        self._heartbeats.start()

    @property
    def entries(self) -> list[Member]:
        """The processes that serve callers."""
        return [member for member in self.members if member.role == "entry"]

    def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        for member in self.members:
            member.start()
        for member in self.entries:
            wait_for(lambda m=member: self._is_ready(m), START_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Kill all processes and close the simulated back ends."""
        self._closed.set()
        self._heartbeats.join()
        for member in self.members:
            member.end()
        self.proxy.end()
        for standin in (self.store, self.origin, *self.endpoints, *self.engines):
            standin.close()
        self.ports.close()

    def _is_ready(self, entry: Member) -> bool:
        """Return whether an entry is ready; raise AssertionError if any process has ended."""
        for member in self.members:
            assert not member.exited_unexpectedly, member.list_errors()
        return send_request(entry.ports[1], "GET", "/api/ready")[0] == 200

    def put_config(self) -> None:
        """Publish a configuration with the current API keys and routes."""
        self.config_version += self.rng.randint(1, 3)
        origin = f"{HOST}:{self._origin_port}"
        config = make_config(self.config_version, origin, routes=())
        for kind in Kind:
            config["routes"].append(_make_route(kind.value, kind))
        for name in self.routes:
            config["routes"].append(_make_route(name, Kind.LOOK))
        if self.taken is Taken.ROUTES:
            config["routes"] = []
        teams: dict[str, list[str]] = {}
        for key in self.keys if self.taken is not Taken.TEAMS else []:
            keys = teams.setdefault(TEAMS[key], [])
            keys += [key] if self.taken is not Taken.KEYS else []
        config["tenants"] = [{"name": n, "keys": k, "priority": 1} for n, k in teams.items()]
        self._config = config
        self.store.put("op/config", config)

    def take_away(self, taken: Taken) -> None:
        """Take away all keys, teams, routes or engines."""
        self.taken = taken
        for engine in self.engines if taken is Taken.ENGINES else []:
            self.drop_endpoint(engine.name)
        self.put_config()
        if taken in (Taken.KEYS, Taken.TEAMS):
            for key in self.keys:
                self.ledger.record_revocation(key)

    def give_back(self, taken: Taken) -> None:
        """Give back what was taken away."""
        self.taken = None
        for key in self.keys:
            self.ledger.record_return(key)
        self.put_config()
        for engine in self.engines if taken is Taken.ENGINES else []:
            self.list_endpoint(engine.name)

    def keep_copy(self) -> None:
        """Keep a copy of the store, from which it can come back."""
        self._copy = self.store.copy()

    def restore_store(self) -> None:
        """Bring the store back from the copy, without what was written since."""
        self.store.restore(self._copy)

    def write_again(self) -> None:
        """Write what the store may lack, as the operator, endpoints and engines do."""
        self.store.put("op/config", self._config)
        row = {"model": MODEL, "version": self.weights_version}
        self.store.put(f"op/version/{MODEL}", row)
        for name, fields in list(self._listed.items()):
            self.store.put(f"servers/{name}", fields or None)

    def put_version(self) -> None:
        """Publish the next version of the weights."""
        self.weights_version += 1
        row = {"model": MODEL, "version": self.weights_version}
        self.store.put(f"op/version/{MODEL}", row)
        self.ledger.record_version(self.weights_version)

    def list_endpoint(self, name: str, state: str = "ready") -> None:
        """Write the store's item of an endpoint or engine, as the endpoint itself would."""
        self._removed.discard(name)
        self._write(name, self._describe(name, state))

    def drop_endpoint(self, name: str) -> None:
        """Remove the store's item of an endpoint or engine."""
        self._removed.add(name)
        self._write(name, None)

    def record_disruption(self, name: str, seconds: float, planned: bool = False) -> None:
        """Record that a process, an endpoint's links or the store are disrupted from now on."""
        now = time.monotonic()
        self.ledger.record_disruption(name, now, now + seconds + SETTLE_SECONDS, planned)

    def record_planned_work(self, name: str, seconds: float) -> None:
        """Record that an entry is told to stop or to reload its settings."""
        now = time.monotonic()
        self.ledger.record_planned_work(name, now, now + seconds)

    def _describe(self, name: str, state: str) -> dict:
        for engine in self.engines:
            if engine.name == name:
                fields = {"born": engine.born, "models": engine.describe()["models"]}
                return make_record(ENGINE_SERVICE, self._addresses[name], state=state, **fields)
        born = next(endpoint.born for endpoint in self.endpoints if endpoint.name == name)
        return make_record(PLAIN_SERVICE, self._addresses[name], state=state, born=born)

    def _write(self, name: str, fields: dict | None) -> None:
        self._listed[name] = fields or {}
        self.store.put(f"servers/{name}", fields)

    def _publish_heartbeats(self) -> None:
        """Write the engines' items to the store when they change, unless the store is down."""
        while not self._closed.wait(HEARTBEAT_INTERVAL_SECONDS):
            for engine in self.engines:
                if engine.gate.closed:
                    continue
                fields = self._describe(engine.name, "ready")
                changed = fields != self._listed.get(engine.name)
                if changed and engine.name not in self._removed and not self.store.down:
                    self._write(engine.name, fields)

    def _add_entry(self, name: str) -> None:
        ports = self.ports.pick(6)
        store = self.proxy.add(f"store/{name}", self.store.port)
        self.seeds = [*self.seeds, f"{HOST}:{ports[2]}"][:3]
        fields = make_settings(name, f"{HOST}:{store}", ports, [])
        self.members.append(Member(name, "entry", fields, self._folder))
        for member in self.members:
            member.fields["seeds"] = self.seeds

    def _add_agent(self, number: int, engine: SoakEngine, ports: list[int]) -> None:
        host = f"{self._agents_net}.{number + 1}"
        port = self.proxy.add(engine.name, engine.port, host)
        self._addresses[engine.name] = f"{host}:{port}"
        self.list_endpoint(engine.name)
        fields = make_settings(f"agent-{number}", self.store.address, ports, self.seeds)
        fields.update(app=engine.address, service=ENGINE_SERVICE, ip=host, listen={})
        self.members.append(Member(f"agent-{number}", "agent", fields, self._folder))


def _make_route(name: str, kind: Kind) -> dict:
    row = {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "timeout_ms": 3000,
        "slo_ms": 300,
        "priority": 1,
        "service": PLAIN_SERVICE,
        "attempts": kind.max_attempts,
        "anonymous": False,
    }
    if kind is Kind.CHAT:
        chat = {"kind": "streaming", "service": ENGINE_SERVICE, "resumable": True}
        return {**row, **chat, "gap_slo_ms": 400}
    return {**row, "kind": "non_idempotent" if kind is Kind.BOOK else "idempotent"}
