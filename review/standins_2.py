"""Stand-ins of the platform for the scripts of this review: store, engines, origin and clients.

All of them run in the event loop of the script, on loopback addresses. The project's own programs
are started as separate processes with the commands of `deploy/system.toml`.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODEL = "daka510000"
LLM, PLAIN, WEIGHTS = "huvo11a", "wuno96b", "kafi81c"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
CHUNKS, CHUNK_BYTES = 8, 4096
HEARTBEAT_SECONDS = 1.2
MAX_SECONDS = 110.0  # of a script; one that takes longer could not run
EXCUSED_SECONDS = 3.0  # WHOLE excuses pieces that turned bad within this time
ZONES = {"grand-baie": "north", "flic-en-flac": "west", "souillac": "south"}
FRONT_ZONES = ("grand-baie", "grand-baie", "flic-en-flac", "souillac")
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


def make_piece(version: int, number: int) -> bytes:
    """Return the bytes of a piece, which follow from its version and number."""
    seed = hashlib.sha256(f"{version}/{number}".encode()).digest()
    return (seed * (CHUNK_BYTES // len(seed) + 1))[:CHUNK_BYTES]


class Record:
    """The record of a case: what was sent, answered and run, with times since its start."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, headers and body of an HTTP message, None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                break
        body = b"".join(parts)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def make_head(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Return the head of a response; without a length its body is sent in chunks."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    handle = writer.get_extra_info("socket")
    if handle is not None:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class HttpServer:
    """An HTTP/1.1 server on one address, whose channels can all be reset at once."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.address = f"{host}:{port}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, reuse_address=True
        )

    @property
    def is_open(self) -> bool:
        """Whether the server listens."""
        return self._server is not None

    def crash(self) -> None:
        """Stop listening and reset all channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def handle(self, method, target, headers, body, writer) -> None:
        """Answer a request."""
        raise NotImplementedError


def split_target(target: str) -> tuple[str, dict[str, str]]:
    """Return the path and the query of a target."""
    path, _, query = target.partition("?")
    fields = {}
    for item in filter(None, query.split("&")):
        name, _, value = item.partition("=")
        fields[name] = value.replace("%2F", "/").replace("%2f", "/")
    return path, fields


class Store(HttpServer):
    """The platform's store; linearizable, loses nothing, and keeps all of its history."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value) -> int:
        """Write an item, or remove it if `value` is None; return the revision."""
        self.revision += 1
        if value is None:
            if self.items.pop(key, None) is None:
                return self.revision
            row = {"key": key, "rev": self.revision, "deleted": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            created = self.items.get(key, {}).get("created", self.revision)
            row = {"key": key, "value": text, "rev": self.revision, "created": created, "lease": 0}
            self.items[key] = row
        self.events.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    async def handle(self, method, target, headers, body, writer) -> None:
        path, query = split_target(target)
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > query.get("after", "")
            )
            rows = [self.items[key] for key in keys[:500]]
            fields = {"items": rows, "has_more": len(keys) > 500, "at": self.revision}
        elif path == "/api/kv-watch":
            fields = await self._watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        else:
            writer.write(make_head(404, {}, 0))
            return
        data = json.dumps(fields).encode()
        writer.write(make_head(200, {"Content-Type": "application/json"}, len(data)) + data)

    async def _watch(self, prefix: str, after: int, wait: float) -> dict:
        until = time.monotonic() + wait
        while True:
            rows = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if rows or left <= 0:
                return {"events": rows, "at": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue


class Origin(HttpServer):
    """The origin of weights."""

    async def handle(self, method, target, headers, body, writer) -> None:
        path, query = split_target(target)
        version = int(query.get("version", "1"))
        if path == f"/api/manifest/{MODEL}":
            digests = [hashlib.sha256(make_piece(version, n)).hexdigest() for n in range(CHUNKS)]
            fields = {"model": MODEL, "version": version, "chunk_bytes": CHUNK_BYTES}
            data = json.dumps({**fields, "layers": 16, "digests": digests}).encode()
        else:
            data = make_piece(version, int(query["num"]))
        writer.write(make_head(200, {}, len(data)) + data)


class Engine(HttpServer):
    """An engine that registers itself in the store; a plain service unless `service` is `LLM`.

    `on_run` is called with this engine and the request's headers, path and body when it begins to
    run a request; it returns whether that crashes the engine. A crash resets all channels, and the
    engine is back `back_after` seconds later with a new id.
    """

    def __init__(self, store: Store, host: str, port: int, service: str, zone: str, slots: int):
        super().__init__(host, port)
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.id = ""
        self.born = 0
        self.version = 1 if service == LLM else 0
        self.staged = {n: make_piece(1, n) for n in range(CHUNKS)} if service == LLM else {}
        self.sequence = 0
        self.busy = False
        self.back_after = 3.0
        self.work_seconds = 0.045
        self.first_seconds = 0.15
        self.events = 16
        self.step_seconds = 0.05
        self.events_before_crash = 0  # none: not even the head of the answer is sent
        self.awake = asyncio.Event()
        self.awake.set()
        self.bad_since: dict[int, float] = {}  # when staged pieces turned bad
        self.spoilt_load = ""  # what the layers that the engine holds were made of, if it was bad
        self.on_order = lambda engine, order: None
        self.on_run = lambda engine, headers, path, body: False
        self.on_fall = lambda engine: None
        self.on_end = lambda engine, headers, complete: None
        self._slots = asyncio.Semaphore(slots)
        self._rng = random.Random(self.address)
        self._jobs: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Begin a new boot under a new id, and register."""
        self.id = f"i-{self._rng.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = False
        self._slots = asyncio.Semaphore(self.slots)
        await self.open()
        self.register()

    def register(self) -> None:
        """Write the entry in the store."""
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.service == LLM:
            fields.update(phase="unified", models=self._list_models())
        self.store.put(f"servers/{self.id}", fields)

    def fall(self) -> None:
        """Crash now; the store removes the entry after three status reports of silence."""
        if not self.is_open:
            return
        name = self.id
        self.version = 0
        self.on_fall(self)
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_SECONDS, self.store.put, f"servers/{name}", None)
        loop.call_later(self.back_after, self._come_back)
        self.crash()

    def lose_power(self, seconds: float) -> None:
        """Lose power for some seconds; the layers and all staged pieces are gone then."""
        self.back_after = seconds
        self.fall()
        self.staged = {}

    def _come_back(self) -> None:
        job = asyncio.ensure_future(self.start())
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    def _list_models(self) -> list[dict]:
        if not self.version:
            return []
        return [
            {
                "name": MODEL,
                "version": self.version,
                "adapters": [],
                "layers": [{"from": 0, "to": 16, "version": self.version}],
            }
        ]

    def spoil(self, number: int) -> None:
        """Let a staged piece turn bad."""
        self.staged[number] = b"\0" * CHUNK_BYTES
        self.bad_since[number] = time.monotonic()

    async def handle(self, method, target, headers, body, writer) -> None:
        path, query = split_target(target)
        if path == "/api/order":
            self.on_order(self, json.loads(body))
        await self.awake.wait()
        if path == "/api/report":
            fields = {"phase": "unified", "models": self._list_models(), "busy": self.busy}
            fields.update(sequence=self.sequence, queued=0, running=0, kv_used=0)
            fields.update(kv_total=1_180_000, handles=0, pace=1.0, born=self.born)
            self._send_json(writer, 200, fields)
        elif path == "/health":
            writer.write(make_head(200, {"X-Instance-Id": self.id}, 0))
        elif path == f"/api/stage-get/{MODEL}":
            data = self.staged.get(int(query["num"])) if "num" in query else None
            if "num" not in query:
                self._send_json(writer, 200, {"held": sorted(self.staged)})
            elif data is None:
                writer.write(make_head(404, {}, 0))
            else:
                writer.write(make_head(200, {}, len(data)) + data)
        elif path == f"/api/stage-put/{MODEL}":
            self.staged[int(query["num"])] = body
            self.bad_since.pop(int(query["num"]), None)
            writer.write(make_head(200, {}, 0))
        elif path == "/api/order":
            self._take_order(writer, json.loads(body))
        else:
            await self._take_request(method, path, headers, body, writer)

    def _send_json(self, writer, status: int, fields: dict) -> None:
        data = json.dumps(fields).encode()
        writer.write(make_head(status, {"Content-Type": "application/json"}, len(data)) + data)

    def _take_order(self, writer, order: dict) -> None:
        if order.get("expect", self.sequence) != self.sequence or self.busy:
            writer.write(make_head(409, {}, 0))
            return
        if order["version"] == self.version:
            writer.write(make_head(200, {}, 0))
            return
        self.sequence += 1
        self.busy = True
        spoilt = self._find_spoilt(order["version"])
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, self._finish_load, order["version"], spoilt, self.id)
        writer.write(make_head(202, {}, 0))

    def _finish_load(self, version: int, spoilt: str, boot: str) -> None:
        if boot != self.id or not self.is_open:
            return
        self.busy = False
        self.version = version
        self.spoilt_load = spoilt
        self.register()

    def _find_spoilt(self, version: int) -> str:
        """Return what is wrong with the staged pieces; those bad for 3 s at most are excused."""
        found = []
        for number in range(CHUNKS):
            if self.staged.get(number) == make_piece(version, number):
                continue
            bad_for = time.monotonic() - self.bad_since.get(number, 0.0)
            if bad_for > EXCUSED_SECONDS:
                found.append(f"piece {number}, bad for {bad_for:.2f} s")
        return ", ".join(found)

    async def _take_request(self, method, path, headers, body, writer) -> None:
        request = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": request}
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(make_head(421, {**echo, "X-Instance-Id": self.id}, 0))
            return
        wanted = headers.get("x-expect-version", str(self.version))
        if self.service == LLM and (not self.version or wanted != str(self.version)):
            writer.write(make_head(421, echo, 0))
            return
        boot = self.id
        async with self._slots:
            if boot != self.id or not self.is_open:
                return
            if self.service == LLM:
                await asyncio.sleep(
                    self.first_seconds
                )  # reads the prompt; runs with the first token
            falls = self.on_run(self, headers, path, body)
            if falls and not self.events_before_crash:
                self.fall()
                return
            seal = hashlib.sha256(f"{request}{path}".encode()).hexdigest()[:16]
            echo["X-Response-Seal"] = seal
            done = False
            try:
                if self.service == LLM:
                    await self._stream(headers, echo, writer, falls)
                else:
                    await asyncio.sleep(self.work_seconds)
                    data = f"{self.id} {method} {path} ".encode() + body
                    writer.write(make_head(200, echo, len(data)) + data)
                done = True
            finally:
                self.on_end(self, headers, done)

    async def _stream(self, headers, echo, writer, falls: bool) -> None:
        echo["X-Weight-Versions"] = str(self.version)
        writer.write(make_head(200, {**echo, "Content-Type": "text/event-stream"}, None))
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {headers['x-attempt-id']}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.step_seconds)
            await self.awake.wait()
            if falls and number >= min(first + self.events_before_crash - 1, self.events):
                self.fall()
                return
        writer.write(b"0\r\n\r\n")


def make_config(version: int, origin: str, keys=(KEY,)) -> dict:
    """Return the operator's config."""
    route = {"priority": 1, "anonymous": False}
    routes = [
        {
            "name": "r-quote",
            "host": "jepu9.example",
            "prefix": "/lepu270/",
            "kind": "streaming",
            "timeout_ms": 6000,
            "slo_ms": 505,
            "service": LLM,
            "attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap_slo_ms": 400,
            **route,
        },
        {
            "name": "r-hold",
            "host": "voka93.example",
            "prefix": "/filo73/de11/",
            "kind": "non_idempotent",
            "timeout_ms": 1200,
            "slo_ms": 205,
            "service": PLAIN,
            "attempts": 1,
            **route,
        },
        {
            "name": "r-lookup",
            "host": "hulo84.example",
            "prefix": "/boye614/bo77/",
            "kind": "idempotent",
            "timeout_ms": 1200,
            "slo_ms": 204,
            "service": PLAIN,
            "attempts": 2,
            **route,
        },
    ]
    engine = {
        "slots": 16,
        "kv_capacity": 1180000,
        "kv_token_bytes": 163840,
        "link_mbps": 400000.0,
        "stride": 5,
        "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
        "mb": 266000.0,
        "step_ms": 8.87,
        "per_seq_ms": 0.0388,
        "context_per_k": 0.0227,
        "read_per_s": 19100.0,
        "pairs_per_m": 1.47,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 977, "answer": 94},
        "layers": 16,
        "layer_mb": 4540.0,
        "act_bytes": 16384,
        "chunks": CHUNKS,
        "chunk_bytes": CHUNK_BYTES,
    }
    common = {"health_path": "/health", "protocol": "h1", "tls": False}
    services = [
        {"name": LLM, "max_conns": 364, "engine": engine, **common},
        {"name": WEIGHTS, "origin": origin, "zone": "souillac", "link_mbps": 15.0, "max_conns": 48},
        {"name": PLAIN, "max_conns": 100, **common},
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    tenants = [{"name": TENANT, "keys": list(keys), "priority": 1}]
    fields = {"version": version, "routes": routes, "services": services}
    return {**fields, "limits": limits, "tenants": tenants}


class Answer:
    """What a client has received: `status` is 0 if the channel ended before a whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, complete: bool) -> None:
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def send(
    address: str,
    method: str,
    host: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 8.0,
) -> Answer:
    """Send a request on a new channel and return its answer."""
    name, port = address.rsplit(":", 1)
    fields = {"Host": host, **headers}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    status, answered, received = 0, {}, b""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            for line in head[1:]:
                key, _, value = line.partition(":")
                if key:
                    answered[key.lower()] = value.strip()
            if "content-length" in answered:
                received = await reader.readexactly(int(answered["content-length"]))
                return Answer(status, answered, received, True)
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"-1", 16)
                if size < 0:
                    return Answer(status, answered, received, False)
                received += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    return Answer(status, answered, received, True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(status, answered, received, False)
    finally:
        if writer is not None:
            writer.transport.abort()


def find_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all of the hosts."""
    rng = random.Random(os.getpid() * 7919 + int(time.time()))
    found: list[int] = []
    while len(found) < count:
        port = rng.randrange(15_000, 31_000)
        if port in found:
            continue
        for host in hosts:
            with socket.socket() as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    break
        else:
            found.append(port)
    return found


class Deployment:
    """A small deployment: a store, an origin, engines, four entries and the engines' agents."""

    engine_count = 5

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.programs: dict[str, asyncio.subprocess.Process] = {}
        self.settings: dict[str, Path] = {}
        self._commands = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        net = 64 + os.getpid() % 128
        self.front_hosts = [f"127.{net}.1.{n + 1}" for n in range(len(FRONT_ZONES))]
        self.side_hosts = [f"127.{net}.2.{n + 1}" for n in range(self.engine_count)]
        self.plain_hosts = [f"127.{net}.3.{n + 1}" for n in range(3)]
        self.other = f"127.{net}.4.1"
        hosts = [*self.front_hosts, *self.side_hosts, *self.plain_hosts, self.other]
        ports = find_ports(hosts, 11)
        self.front_port, self.ready_port, self.control_port, self.directory_port = ports[:4]
        self.range = [ports[4], ports[5]]
        self.seeds = [f"{host}:{self.control_port}" for host in self.front_hosts[:3]]
        self.app_port, plain_port, store_port, origin_port = ports[6:10]
        self.fronts = [f"{host}:{self.front_port}" for host in self.front_hosts]
        self.store = Store(self.other, store_port)
        self.origin = Origin(self.other, origin_port)
        zones = list(ZONES)
        self.engines = [
            Engine(self.store, host, self.app_port, LLM, zones[n % 3], 16)
            for n, host in enumerate(self.side_hosts)
        ]
        self.plain = [
            Engine(self.store, host, plain_port, PLAIN, zones[n], 6)
            for n, host in enumerate(self.plain_hosts)
        ]

    async def open(self, config: dict | None = None, agents: bool = True) -> None:
        """Start everything and wait until all entries are ready."""
        await self.store.open()
        await self.origin.open()
        self.store.put("op/config", config or make_config(7, self.origin.address))
        for engine in [*self.engines, *self.plain]:
            await engine.start()
        for number in range(len(self.front_hosts)):
            await self.start_entry(number)
        for number in range(len(self.side_hosts) if agents else 0):
            await self.start_agent(number)
        until = time.monotonic() + 20.0
        for host in self.front_hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise RuntimeError(f"{host} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, host: str) -> bool:
        """Return whether an entry says that it is ready."""
        answer = await send(f"{host}:{self.ready_port}", "GET", "x", "/api/ready", {}, seconds=1.0)
        return answer.status == 200

    async def start_entry(self, number: int, store: str = "") -> None:
        """Start an entry."""
        host, zone = self.front_hosts[number], FRONT_ZONES[number]
        listen = {
            "front": f"{host}:{self.front_port}",
            "ready": f"{host}:{self.ready_port}",
            "control": f"{host}:{self.control_port}",
            "directory": f"{host}:{self.directory_port}",
        }
        fields = {"machine_class": "front", "serves": ["front", "control", "directory"]}
        await self._start(f"front-{number + 1}", "entry", host, zone, fields, listen, store)

    async def start_agent(self, number: int) -> None:
        """Start the agent of an engine."""
        engine = self.engines[number]
        fields = {
            "machine_class": "side",
            "serves": ["side"],
            "app": engine.address,
            "service": LLM,
        }
        await self._start(f"side-{number + 1}", "agent", engine.host, engine.zone, fields, {}, "")

    async def _start(self, name, role, host, zone, fields, listen, store) -> None:
        top = {
            "node": name,
            "role": role,
            "ip": host,
            "zone": zone,
            "region": ZONES[zone],
            "port_range": self.range,
            "seeds": self.seeds,
            "bootstrap": True,
            "fault_counted": False,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            **fields,
        }
        side = role == "agent"
        tables = {
            "zones": ZONES,
            "listen": listen,
            "limits": {"memory_mb": 168 if side else 430, "link_mbps": 4.7 if side else 1500.0},
            "bounds": BOUNDS,
            "platform": {"address": store or self.store.address, "reads_per_s": 2000},
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
        for table, rows in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in rows.items()]
        settings = self.folder / f"{name}.toml"
        settings.write_text("\n".join(lines) + "\n")
        self.settings[name] = settings
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "COLTSFOOTSHIFT_BOOT": str(settings),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.programs[name] = await asyncio.create_subprocess_exec(
                *shlex.split(self._commands[role]["run"]),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )

    def name_seeds(self, seeds: list[str]) -> None:
        """Name other seeds in all settings files, without a signal."""
        for path in self.settings.values():
            lines = path.read_text().splitlines()
            new = [f"seeds = {json.dumps(seeds)}" if x.startswith("seeds = ") else x for x in lines]
            path.with_suffix(".new").write_text("\n".join(new) + "\n")
            path.with_suffix(".new").replace(path)
        self.seeds = seeds

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a program of this deployment."""
        self.programs[name].send_signal(number)

    async def close(self) -> None:
        """End all programs and stand-ins."""
        for program in self.programs.values():
            if program.returncode is None:
                program.kill()
        for program in self.programs.values():
            await program.wait()
        for server in [self.store, self.origin, *self.engines, *self.plain]:
            server.crash()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case) -> None:
    """Run `case(deployment, record, trouble)` and exit: 1 if it returns True (the rule is broken),
    0 if False, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")

    async def play() -> bool:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                return await case(deployment, record, trouble)
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(play())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        raise SystemExit(2) from error
    record.write("the rule is broken" if broken else "the rule is kept")
    record.close()
    raise SystemExit(1 if broken else 0)
