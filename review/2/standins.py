"""Stand-ins of the users' platform for the scripts of this review.

They follow PROTOCOL.md: a store that is read by range and by watch, plain services, model engines
with staging memory, and an origin of weights. `Run` starts the project's programs as the deploy
file does and writes the record of a case.
"""

from __future__ import annotations

import base64
import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MODEL = "daka510000"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The bounds of the site mfcha-tentline.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "downgrade_ms": 250,
    "stretch_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 102,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
    "ttl_max_s": 5,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class NotStartedError(Exception):
    """The case could not run."""


class Server:
    """An HTTP/1.1 server in a thread; subclasses implement `handle`.

    `handle` returns status, body and headers, or None to close the connection. A body that is not
    bytes is an iterable of its chunks.
    """

    def __init__(self, host: str = HOST) -> None:
        owner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def answer(self):
                parts = urlsplit(self.path)
                query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                headers = {name.lower(): value for name, value in self.headers.items()}
                answer = owner.handle(self.command, parts.path, query, body, headers)
                if answer is None:
                    self.close_connection = True
                    return
                status, data, fields = answer
                self.send_response(status)
                for name, value in fields.items():
                    self.send_header(name, value)
                if isinstance(data, bytes):
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                    return
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for part in data:
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(part), part))
                self.wfile.write(b"0\r\n\r\n")

            do_GET = do_POST = do_PUT = answer

        class Listener(ThreadingHTTPServer):
            request_queue_size = 256
            daemon_threads = True

            def handle_error(self, request, client_address):
                if not isinstance(sys.exc_info()[1], OSError):
                    super().handle_error(request, client_address)

        self._server = Listener((host, 0), Handler)
        self.host = host
        self.port = self._server.server_address[1]
        self.address = f"{host}:{self.port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def handle(self, method, path, query, body, headers):
        raise NotImplementedError

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class Store(Server):
    """The platform's store, as far as the system reads it.

    While `down` is set, all calls but those that wait get that status.
    """

    def __init__(self) -> None:
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 10
        self._changed = threading.Condition()
        self.down = 0
        super().__init__()

    def put(self, key: str, value: dict) -> float:
        """Write an item; return the time of the acknowledgement on the steady clock."""
        with self._changed:
            self._revision += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            created = self._items.get(key, {}).get("created", self._revision)
            row = {"key": key, "value": text, "rev": self._revision, "created": created, "lease": 0}
            self._items[key] = row
            self._events.append(row)
            self._changed.notify_all()
            return time.monotonic()

    def handle(self, method, path, query, body, headers):
        if self.down:
            return self.down, b"", {}
        if path == "/api/kv-range":
            fields = self._read_range(query)
        elif path == "/api/kv-watch":
            fields = self._watch(query)
        else:
            return 404, b"", {}
        return 200, json.dumps(fields).encode(), {"Content-Type": "application/json"}

    def _read_range(self, query):
        with self._changed:
            keys = sorted(key for key in self._items if key.startswith(query["prefix"]))
            rows = [self._items[key] for key in keys if key > query.get("after", "")]
            return {"items": rows, "has_more": False, "at": self._revision}

    def _watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        with self._changed:
            while True:
                events = [
                    row
                    for row in self._events
                    if row["rev"] > after and row["key"].startswith(query["prefix"])
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "at": self._revision}
                self._changed.wait(left)


class PlainService(Server):
    """An engine of a plain service; `runs` holds the time and the headers of all that has run."""

    def __init__(self, name: str, work_seconds: float = 0.03) -> None:
        self.name = name
        self.runs: list[tuple[float, dict]] = []
        self._work_seconds = work_seconds
        super().__init__()

    def handle(self, method, path, query, body, headers):
        if headers.get("x-expect-instance") != self.name:
            return 421, b"", {"X-Instance-Id": self.name}
        self.runs.append((time.monotonic(), headers))
        time.sleep(self._work_seconds)
        fields = {"X-Attempt-Id": headers["x-attempt-id"], "X-Response-Seal": "3e1b.07.5a2"}
        return 200, f"{method} {path} done".encode(), fields


class Origin(Server):
    """The origin of weights, with `pieces` pieces of `size` bytes of each version."""

    def __init__(self, pieces: int = 48, size: int = 4096) -> None:
        self.pieces, self.size = pieces, size
        super().__init__()

    def handle(self, method, path, query, body, headers):
        version = int(query.get("version", 1))
        if path.startswith("/api/manifest/"):
            digests = [
                hashlib.sha256(make_piece(version, number, self.size)).hexdigest()
                for number in range(self.pieces)
            ]
            fields = {"model": MODEL, "version": version, "chunk_bytes": self.size, "layers": 16}
            return 200, json.dumps({**fields, "digests": digests}).encode(), {}
        if path.startswith("/api/piece/"):
            return 200, make_piece(version, int(query["num"]), self.size), {}
        return 404, b"", {}


class ModelEngine(Server):
    """A model engine: staging memory, orders, its report, and requests that are answered at once.

    It writes its entry into the store. `version` is 0 while it holds no layers.
    """

    def __init__(self, name: str, service: str, store: Store, origin: Origin, host: str) -> None:
        self.name = name
        self.version = 1
        self.orders: list[dict] = []
        self.loaded: dict[int, bytes] = {}
        self.runs: list[tuple[float, dict]] = []
        self.staged = {n: make_piece(1, n, origin.size) for n in range(origin.pieces)}
        self._service, self._store = service, store
        self._born = int(time.time() * 1000)
        super().__init__(host)
        self.register()

    def register(self) -> None:
        """Write the entry of this engine into the store."""
        fields = {"slots": 16, "sequence": len(self.orders), "born": self._born}
        record = make_record(self._service, self.address, models=self._list_models(), **fields)
        self._store.put(f"servers/{self.name}", record)

    def lose_power(self) -> None:
        """Lose all layers and all that is staged, and start again."""
        self.version, self.orders, self.staged, self.loaded = 0, [], {}, {}
        self._born = int(time.time() * 1000)
        self.register()

    def handle(self, method, path, query, body, headers):
        number = int(query["num"]) if "num" in query else -1
        if path == "/api/report":
            return 200, json.dumps(self._describe()).encode(), {"Content-Type": "application/json"}
        if path.startswith("/api/stage-put/"):
            self.staged[number] = body
            return 200, b"", {}
        if path.startswith("/api/stage-get/"):
            return self._read_staged(number)
        if path == "/api/order":
            return self._take_order(json.loads(body))
        return self._generate(headers)

    def _list_models(self) -> list[dict]:
        if not self.version:
            return []
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def _describe(self) -> dict:
        return {
            "phase": "unified",
            "models": self._list_models(),
            "busy": False,
            "sequence": len(self.orders),
            "queued": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 1180000,
            "handles": 0,
            "born": self._born,
        }

    def _read_staged(self, number):
        if number < 0:
            return 200, json.dumps({"held": sorted(self.staged)}).encode(), {}
        data = self.staged.get(number)
        return (404, b"", {}) if data is None else (200, data, {})

    def _take_order(self, order):
        if order.get("expect", len(self.orders)) != len(self.orders):
            return 409, b"", {}
        self.orders.append(order)
        self.loaded = dict(self.staged)
        self.version = order["version"]
        self.register()
        return 202, b"", {}

    def _generate(self, headers):
        echo = {"X-Attempt-Id": headers.get("x-attempt-id", "")}
        wanted = headers.get("x-expect-version")
        if headers.get("x-expect-instance") != self.name:
            return 421, b"", {**echo, "At-Server": self.address}
        if not self.version or (wanted is not None and int(wanted) != self.version):
            return 421, b"", {**echo, "At-Server": self.address}
        self.runs.append((time.monotonic(), headers))
        fields = {"X-Response-Seal": "3e1b.07.5a2", "X-Weight-Versions": str(self.version)}
        fields["Content-Type"] = "text/event-stream"
        events = "".join(f"id: {number}\ndata: five tokens\n\n" for number in range(1, 4))
        return 200, events.encode(), {**echo, **fields}


class Run:
    """A run of one case: its record, its folder, the programs and what they talk to."""

    def __init__(self, folder: Path, title: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._processes: dict[str, subprocess.Popen] = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        self._commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        self.note(f"{title}; disruption: {'yes' if self.trouble else 'no'}")

    def note(self, text: str) -> None:
        """Write a line to the record."""
        with self._lock:
            self._record.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
            self._record.flush()

    def start(self, name: str, role: str, fields: dict) -> subprocess.Popen:
        """Start a program of the deploy file with settings of its own."""
        path = self._folder / f"{name}.toml"
        path.write_text(_format_settings(fields), "utf-8")
        command = self._commands[role]
        if command[0] == "python3":
            command = [sys.executable, *command[1:]]
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COLTSFOOTSHIFT_BOOT": str(path),
        }
        with (self._folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=subprocess.STDOUT
            )
        self._processes[name] = process
        self.note(f"started {name}")
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a program of this run."""
        self._processes[name].send_signal(number)
        self.note(f"{number.name} to {name}")

    def read_log(self, name: str) -> list[dict]:
        """Return the log lines of a program."""
        text = (self._folder / f"{name}.log").read_text("utf-8")
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def check_alive(self, name: str) -> bool:
        """Return whether a program runs."""
        return self._processes[name].poll() is None

    def close(self) -> None:
        """End all programs of this run, and remove its folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
        self._record.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def run_case(file: str, title: str, play) -> None:
    """Play a case, and exit with its result: `play` returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    run = Run(Path(file).resolve().parent, title)
    try:
        result = HELD if play(run) else BROKEN
        run.note("the rule held" if result == HELD else "THE RULE WAS BROKEN")
    except Exception as error:
        run.note(f"the case could not run: {error!r}")
        result = COULD_NOT_RUN
    finally:
        run.close()
    # Threads of the stand-ins may still wait for connections.
    os._exit(result)


def wait_until(check, seconds: float, what: str) -> None:
    """Wait until `check` returns a true value."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise NotStartedError(f"not within {seconds} s: {what}")


def find_ports(count: int, host: str = HOST) -> list[int]:
    """Return free ports."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def make_entry_settings(
    name: str, store: Store, ports: list[int], seeds: list[str], host: str = HOST
) -> dict:
    """Return the settings of a process on a `front` machine; six ports are used."""
    purposes = ("front", "ready", "control", "directory")
    fields = _make_settings(name, "entry", "front", store, ports[4:6], seeds)
    fields.update(ip=host, serves=["front", "control", "directory"])
    fields["listen"] = {purpose: f"{host}:{ports[i]}" for i, purpose in enumerate(purposes)}
    return fields


def make_agent_settings(
    name: str, store: Store, host: str, ports: list[int], seeds: list[str], app: str, service: str
) -> dict:
    """Return the settings of a process on a `side` machine; two ports are used."""
    fields = _make_settings(name, "agent", "side", store, ports, seeds)
    fields.update(ip=host, serves=["side"], app=app, service=service, listen={})
    fields["limits"].update(memory_mb=168, max_fds=1124, link_mbps=4.7)
    return fields


def _make_settings(
    name: str, role: str, machine_class: str, store: Store, ports: list[int], seeds: list[str]
) -> dict:
    return {
        "node": name,
        "role": role,
        "machine_class": machine_class,
        "ip": HOST,
        "zone": "grand-baie",
        "region": "north",
        "port_range": list(ports),
        "seeds": seeds,
        "bootstrap": True,
        "fault_counted": False,
        "discovery": "platform",
        "entry": "directory",
        "heartbeat_ms": 1200,
        "zones": {"grand-baie": "north", "flic-en-flac": "west", "souillac": "south"},
        "limits": {"cpu_share": 0.817, "cores": 2, "memory_mb": 430, "link_mbps": 1500.0},
        "tolerate": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": BOUNDS,
        "platform": {"address": store.address, "form": "read", "reads_per_s": 2000},
    }


def make_record(service: str, address: str, zone: str = "grand-baie", **fields) -> dict:
    """Return the entry of an engine in the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
        **fields,
    }


def make_route(name: str, service: str, kind: str, **fields) -> dict:
    """Return a route of the config."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeout_ms": 1200,
        "slo_ms": 150,
        "priority": 2,
        "attempts": 1,
        "anonymous": False,
        **fields,
    }


def make_model_service(name: str, origin: Origin) -> dict:
    """Return the service of the model engines, with the figures of the site."""
    engine = {
        "slots": 16,
        "stride": 5,
        "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
        "step_ms": 8.87,
        "per_seq_ms": 0.0388,
        "read_per_s": 19100.0,
        "usual": {"prompt": 977, "answer": 94},
        "layers": 16,
        "chunks": origin.pieces,
        "chunk_bytes": origin.size,
    }
    return {"name": name, "health_path": "/health", "max_conns": 364, "engine": engine}


def send(
    port: int,
    method: str,
    path: str,
    headers: dict | None = None,
    body: bytes | None = None,
    host: str = HOST,
) -> tuple[int, bytes, dict]:
    """Send a request on a new connection; return status, body and headers."""
    connection = http.client.HTTPConnection(host, port, timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read(), {k.lower(): v for k, v in answer.getheaders()}
    finally:
        connection.close()


def is_ready(port: int, host: str = HOST) -> bool:
    """Return whether an entry says on its port for checks that it is ready."""
    return send(port, "GET", "/api/ready", host=host)[0] == 200


def make_piece(version: int, number: int, size: int) -> bytes:
    """Return the bytes of a piece of weights, derived from its version and number."""
    seed = hashlib.sha256(f"{version}/{number}".encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


def _format_settings(fields: dict) -> str:
    lines, tables = [], []
    for name, value in fields.items():
        if not isinstance(value, dict):
            lines.append(f"{name} = {json.dumps(value)}")
            continue
        tables.append(f"[{name}]")
        tables += [f"{key} = {json.dumps(item)}" for key, item in value.items()]
    return "\n".join(lines + tables) + "\n"
