"""Starts and stops the processes of a fleet, daemons and stand-ins, on loopback addresses."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

__all__ = ["Fleet", "Member", "call_json"]

PEERS_PORT = 7000
CALLERS_PORT = 8080
ENDPOINT_PORT = 8500
OPERATORS_PORT = 9000
PLATFORM_PORT = 9100
ORIGIN_PORT = 9200
FAULTS_PORT = 9300
LOCK_PORT = 9400
FIRST_SUBNET = 16
LAST_SUBNET = 250
STOP_SECONDS = 8.0
START_SECONDS = 30.0
POLL_SECONDS = 0.05
CALL_SECONDS = 5.0
FLEET_KEY = "key-of-a-fleet-on-loopback-addresses"


@dataclass(slots=True)
class Member:
    """A started process; `host` is the loopback address on which it listens."""

    name: str
    host: str
    kind: str
    process: subprocess.Popen[bytes]
    command: list[str]
    log_path: Path

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal, unless it has ended."""
        if self.is_running():
            os.kill(self.process.pid, number)

    def read_log(self) -> list[dict[str, Any]]:
        """Return the JSON lines that the process has logged so far; skips all other lines."""
        rows = []
        for line in self.log_path.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows


@dataclass(slots=True)
class Fleet:
    """A set of processes, each on its own address under one loopback prefix.

    Use it as a context manager: on exit all processes are stopped and the folder is deleted.
    `platform_url_override` replaces the platform's URL in the settings of daemons, for instance by
    the address of a proxy. `streams`, `first_read_seconds`, `drain_seconds`, `store_region` and
    `keys` are settings of the daemons.
    """

    seed: int = 1
    streams: dict[str, float] = field(default_factory=dict)
    store_region: str = ""
    first_read_seconds: float = 0.5
    drain_seconds: float = 60.0
    platform_url_override: str = ""
    members: dict[str, Member] = field(default_factory=dict)
    records: dict[str, dict[str, Any]] = field(default_factory=dict)
    keys: dict[str, Any] = field(default_factory=lambda: {"values": {"prove": FLEET_KEY}})
    _prefix: str = ""
    _prefix_lock: socket.socket | None = None
    _host_count: int = 0
    _folder: tempfile.TemporaryDirectory[str] | None = None

    def __enter__(self) -> Fleet:
        self._folder = tempfile.TemporaryDirectory(prefix="coltsfootshift-")
        self._prefix, self._prefix_lock = _hold_prefix()
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()
        if self._prefix_lock is not None:
            self._prefix_lock.close()
        if self._folder is not None:
            self._folder.cleanup()

    @property
    def folder(self) -> Path:
        """The folder with the settings and logs of this fleet."""
        assert self._folder is not None
        return Path(self._folder.name)

    @property
    def platform_url(self) -> str:
        """The URL of the platform stand-in."""
        return f"http://{self.members['platform'].host}:{PLATFORM_PORT}"

    @property
    def origin_url(self) -> str:
        """The URL of the origin stand-in."""
        return f"http://{self.members['origin'].host}:{ORIGIN_PORT}"

    def next_host(self) -> str:
        """Return a loopback address that no member of this fleet uses."""
        self._host_count += 1
        return f"{self._prefix}.{self._host_count // 250}.{self._host_count % 250 + 1}"

    def start_platform(self, *options: str) -> Member:
        """Start the platform stand-in."""
        return self._start_stand_in("platform", "platform", PLATFORM_PORT, options)

    def start_origin(self, *options: str) -> Member:
        """Start the origin stand-in."""
        return self._start_stand_in("origin", "origin", ORIGIN_PORT, options)

    def start_faults(self, name: str = "faults") -> Member:
        """Start a fault proxy."""
        return self._start_stand_in(name, "faults", FAULTS_PORT, ())

    def start_entry(self, name: str, region: str = "north", domain: str = "north-1") -> Member:
        """Start an entry; its record is published by `publish_instances`."""
        host = self._find_host(name)
        settings = self._make_settings(name, host, region, domain)
        settings["callers"] = {"host": host, "port": CALLERS_PORT}
        self.records[name] = self._make_record(settings, "entry")
        return self._start_daemon(name, "coltsfootshift.entry.daemon", host, "entry", settings)

    def start_engine(self, name: str, service: str, *options: str, **place: str) -> Member:
        """Start an engine stand-in and its agent."""
        return self._start_endpoint(name, service, "engine", options, place)

    def start_service(self, name: str, service: str, *options: str, **place: str) -> Member:
        """Start a plain service stand-in and its agent."""
        return self._start_endpoint(name, service, "plain", options, place)

    def start_agent(
        self, name: str, service: str, kind: str, region: str = "north", domain: str = "north-1"
    ) -> Member:
        """Start the agent of an endpoint; it uses the address of the endpoint if there is one."""
        host = self._find_host(name)
        settings = self._make_settings(name, host, region, domain)
        url = f"http://{host}:{ENDPOINT_PORT}"
        settings["endpoint"] = {"kind": kind, "service": service, "url": url}
        origin = self.members.get("origin")
        settings["weight_store"] = self.origin_url if origin else url
        settings["weight_store_region"] = self.store_region
        self.records[name] = self._make_record(settings, "agent")
        return self._start_daemon(name, "coltsfootshift.agent.daemon", host, "agent", settings)

    def publish_instances(self) -> None:
        """Publish the records of all started instances on the platform."""
        self.publish("instances", self.records)

    def publish(self, table: str, changes: dict[str, Any]) -> int:
        """Publish changes of a table on the platform and return the new revision of the table."""
        url = f"{self.platform_url}/admin/publish/{table}"
        return int(call_json(url, changes)["revision"])

    def add_version(self, seed: int, size: int, chunk_bytes: int) -> str:
        """Add a version of weights to the origin and return its digest."""
        wanted = {"seed": seed, "bytes": size, "chunk_bytes": chunk_bytes}
        return str(call_json(f"{self.origin_url}/admin/versions", wanted)["digest"])

    def read_status(self, name: str) -> dict[str, Any]:
        """Return the status page of a daemon."""
        return call_json(f"http://{self.members[name].host}:{OPERATORS_PORT}/status")

    def read_metrics(self, name: str) -> dict[str, Any]:
        """Return the metrics page of a daemon."""
        return call_json(f"http://{self.members[name].host}:{OPERATORS_PORT}/metrics.json")

    def read_counts(self, name: str) -> dict[str, Any]:
        """Return the counters of the endpoint stand-in of an agent."""
        return call_json(f"http://{self.members[name].host}:{ENDPOINT_PORT}/admin/counts")

    def set_rule(self, rule: dict[str, Any], proxy: str = "faults") -> dict[str, Any]:
        """Add or change a rule of a fault proxy."""
        host = self.members[proxy].host
        return call_json(f"http://{host}:{FAULTS_PORT}/admin/rules", rule)

    def wait_until(self, check: Any, seconds: float, what: str) -> None:
        """Poll until `check()` is true.

        Raises `TimeoutError` with the text `what` after `seconds`.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if check():
                return
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"condition not met within {seconds:g} s: {what}")

    def wait_until_listening(self, names: list[str] | None = None) -> None:
        """Wait until the operators' ports of the named daemons, or of all, accept connections."""
        for name in names or [key for key in self.members if key in self.records]:
            address = (self.members[name].host, OPERATORS_PORT)
            self.wait_until(lambda at=address: _is_open(at), START_SECONDS, f"{name} listens")

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        member = self.members[name]
        member.send_signal(signal.SIGKILL)
        member.process.wait()

    def stop_all(self) -> None:
        """Stop every process; kills those that are still running after `STOP_SECONDS`.

        Stand-ins get SIGTERM. Daemons are killed at once, since they drain on SIGTERM. SIGCONT
        comes first, so that frozen processes handle the signal.
        """
        running = [member for member in self.members.values() if member.is_running()]
        for member in running:
            member.send_signal(signal.SIGCONT)
            stand_in = member.kind not in ("entry", "agent")
            member.send_signal(signal.SIGTERM if stand_in else signal.SIGKILL)
        deadline = time.monotonic() + STOP_SECONDS
        for member in running:
            try:
                member.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                member.process.kill()
                member.process.wait()

    def _find_host(self, name: str) -> str:
        member = self.members.get(name) or self.members.get(f"{name}.endpoint")
        return member.host if member else self.next_host()

    def _start_endpoint(
        self, name: str, service: str, kind: str, options: tuple[str, ...], place: dict[str, str]
    ) -> Member:
        self.start_endpoint(name, kind, *options)
        return self.start_agent(name, service, kind, **place)

    def start_endpoint(self, name: str, kind: str, *options: str) -> Member:
        """Start only the engine or plain service stand-in of an instance."""
        module = "engine" if kind == "engine" else "service"
        host = self._find_host(name)
        command = [sys.executable, "-m", f"coltsfootshift_standins.{module}"]
        command += ["--host", host, "--port", str(ENDPOINT_PORT), *options]
        member = self._spawn(f"{name}.endpoint", host, kind, command)
        self.wait_until(lambda: _is_open((host, ENDPOINT_PORT)), START_SECONDS, f"{name} serves")
        return member

    def start_engine_group(self, names: list[str], *options: str) -> None:
        """Start one stand-in process that runs the engines of several instances."""
        hosts = [self._find_host(name) for name in names]
        command = [sys.executable, "-m", "coltsfootshift_standins.engine"]
        command += ["--host", hosts[0], "--port", str(ENDPOINT_PORT)]
        command += ["--more-hosts", ",".join(hosts[1:]), *options]
        first = self._spawn(f"{names[0]}.endpoint", hosts[0], "engine", command)
        for name, host in zip(names, hosts, strict=True):
            member = Member(name, host, "engine", first.process, command, first.log_path)
            self.members[f"{name}.endpoint"] = member
        self.wait_until(lambda: _is_open((hosts[0], ENDPOINT_PORT)), START_SECONDS, "engines serve")

    def _start_stand_in(
        self, name: str, module: str, port: int, options: tuple[str, ...]
    ) -> Member:
        host = self.members[name].host if name in self.members else self.next_host()
        command = [sys.executable, "-m", f"coltsfootshift_standins.{module}"]
        command += ["--host", host, "--port", str(port), *options]
        member = self._spawn(name, host, module, command)
        self.wait_until(lambda: _is_open((host, port)), START_SECONDS, f"{name} listens")
        return member

    def _start_daemon(
        self, name: str, module: str, host: str, kind: str, settings: dict[str, Any]
    ) -> Member:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", module, "--settings", str(path)]
        return self._spawn(name, host, kind, command)

    def _spawn(self, name: str, host: str, kind: str, command: list[str]) -> Member:
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log, _defer_interrupts():
            process = subprocess.Popen(command, stdout=log, stderr=log, start_new_session=True)
            member = Member(name, host, kind, process, command, log_path)
            self.members[name] = member
        return member

    def _make_settings(self, name: str, host: str, region: str, domain: str) -> dict[str, Any]:
        return {
            "instance": name,
            "region": region,
            "failure_domain": domain,
            "platform": self.platform_url_override or self.platform_url,
            "peers": {"host": host, "port": PEERS_PORT},
            "operators": {"host": host, "port": OPERATORS_PORT},
            "keys": self.keys,
            "streams": self.streams,
            "first_read_seconds": self.first_read_seconds,
            "drain_seconds": self.drain_seconds,
        }

    def _make_record(self, settings: dict[str, Any], role: str) -> dict[str, Any]:
        record = {
            "instance": settings["instance"],
            "role": role,
            "region": settings["region"],
            "failure_domain": settings["failure_domain"],
            "peers": settings["peers"],
            "operators": settings["operators"],
            "state": "live",
        }
        if role == "entry":
            record["callers"] = settings["callers"]
        else:
            record["service"] = settings["endpoint"]["service"]
        return record


@contextmanager
def _defer_interrupts() -> Iterator[None]:
    """Defer interrupts, so that a process that is being started is recorded and stopped later."""
    if threading.current_thread() is not threading.main_thread():
        yield  # signals reach the main thread only
        return
    deferred: list[int] = []
    handlers = {}
    for number in (signal.SIGINT, signal.SIGTERM):
        handlers[number] = signal.signal(number, lambda received, _: deferred.append(received))
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
        if deferred:
            signal.raise_signal(deferred[0])


def call_json(url: str, content: Any = None, method: str | None = None) -> Any:
    """Send a request and return the parsed JSON response; a POST by default if there is content."""
    data = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=CALL_SECONDS) as response:
        return json.loads(response.read())


def _hold_prefix() -> tuple[str, socket.socket]:
    """Return a loopback prefix that no other fleet uses, and the socket that holds it.

    Fleets that start at the same time in several processes would else choose the same one.
    """
    rng = Random(os.getpid() * 1_000_003 + time.monotonic_ns())
    while True:
        prefix = f"127.{rng.randint(FIRST_SUBNET, LAST_SUBNET)}"
        lock = socket.socket()
        try:
            lock.bind((f"{prefix}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return prefix, lock


def _is_open(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, timeout=0.5):
            return True
    except OSError:
        return False
