"""Stand-in for a model engine with continuous batching.

It streams one JSON line per token. Each line names the digest of the weights that produced it, so
that tests can detect a response generated from mixed weights. Staged chunks are kept in memory; a
load joins them and recomputes the digest, so that loads of incomplete or wrong weights are counted.
The request header `Resume-From` gives the byte offset at which the response starts, and
`Weights-Digest` the required weights (status 409 if other weights are loaded).
"""

from __future__ import annotations

import heapq
import json
import os
from dataclasses import dataclass, field
from typing import Any

import defopt
from klein import Klein
from twisted.internet.defer import Deferred

from coltsfootshift.loop import reactor
from coltsfootshift.weightstore.manifest import compute_chunk_digest, make_manifest
from coltsfootshift_standins.common import listen, read_json, reply_json, serve, sleep

CRASH_MARKER = b"crash-engine"
CRASH_EXIT_STATUS = 70


@dataclass(slots=True)
class _Settings:
    slots: int
    token_seconds: float
    load_seconds: float
    status_lag: float
    check_fencing: bool


@dataclass(slots=True)
class _State:
    digest: str = ""
    fencing: int = 0
    loading: bool = False
    running: int = 0
    loads: int = 0
    bad_loads: int = 0
    executed: int = 0
    stopped: int = 0
    tokens: int = 0
    staging: dict[str, dict[int, bytes]] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)


class EngineStandIn:
    """A model engine with a bounded batch, a priority queue, chunk staging and fenced loads."""

    def __init__(self, settings: _Settings) -> None:
        self.app = Klein()
        self._settings = settings
        self._state = _State()
        self._queue: list[tuple[int, int, Deferred[None]]] = []
        self._queued_count = 0
        self._status_report: dict[str, Any] = {}
        self._reported_at = 0.0
        self.app.route("/orders", methods=["POST"])(self._handle_request)
        self.app.route("/orders/<request_id>/<attempt>", methods=["DELETE"])(self._cancel)
        self.app.route("/staging/<digest>/<int:index>", methods=["PUT"])(self._stage)
        self.app.route("/staging/<digest>/<int:index>", methods=["GET"])(self._read_staged)
        self.app.route("/staging/<digest>", methods=["GET"])(self._list_staged)
        self.app.route("/staging", methods=["DELETE"])(self._drop_staged)
        self.app.route("/load", methods=["POST"])(self._load)
        self.app.route("/status", methods=["GET"])(self._status)
        self.app.route("/admin/counts", methods=["GET"])(self._counts)

    async def _handle_request(self, request: Any) -> bytes:
        state = self._state
        if not state.digest:
            request.setResponseCode(503)
            return b""
        body = request.content.read()
        if CRASH_MARKER in body:
            reactor.callLater(0.05, os._exit, CRASH_EXIT_STATUS)
        name = f"{request.getHeader('Request')}/{request.getHeader('Attempt')}"
        await self._acquire_slot(int(request.getHeader("Priority") or 1))
        finished = True
        try:
            if request.getHeader("Weights-Digest") not in (None, state.digest):
                request.setResponseCode(409)
                return b""
            state.executed += 1
            finished = False
            finished = await self._generate(request, name, _parse_token_count(body))
        finally:
            state.stopped += not finished
            state.cancelled.discard(name)
            self._release_slot()
        return b""

    async def _generate(self, request: Any, name: str, tokens: int) -> bool:
        """Write the tokens; return False if the request was cancelled or its connection lost."""
        digest = self._state.digest
        request.setHeader("Weights-Digest", digest)
        bytes_to_skip = int(request.getHeader("Resume-From") or 0)
        disconnected: list[bool] = []
        request.notifyFinish().addErrback(lambda failure: disconnected.append(True))
        for index in range(tokens):
            content = {"token": index, "weights": self._state.digest[:12]}
            line = json.dumps(content).encode() + b"\n"
            if bytes_to_skip >= len(line):
                bytes_to_skip -= len(line)
                continue
            await sleep(self._settings.token_seconds)
            if disconnected or name in self._state.cancelled:
                return False
            self._state.tokens += 1
            request.write(line[bytes_to_skip:])
            bytes_to_skip = 0
        return True

    async def _acquire_slot(self, priority: int) -> None:
        if self._state.running < self._settings.slots and not self._state.loading:
            self._state.running += 1
            return
        self._queued_count += 1
        slot_granted: Deferred[None] = Deferred()
        heapq.heappush(self._queue, (priority, self._queued_count, slot_granted))
        await slot_granted

    def _release_slot(self) -> None:
        self._state.running -= 1
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and not self._state.loading:
            if self._state.running >= self._settings.slots:
                return
            self._state.running += 1
            heapq.heappop(self._queue)[2].callback(None)

    def _cancel(self, request: Any, request_id: str, attempt: str) -> bytes:
        self._state.cancelled.add(f"{request_id}/{attempt}")
        return b""

    def _stage(self, request: Any, digest: str, index: int) -> bytes:
        self._state.staging.setdefault(digest, {})[index] = request.content.read()
        return b""

    def _read_staged(self, request: Any, digest: str, index: int) -> bytes:
        data = self._state.staging.get(digest, {}).get(index)
        if data is None:
            request.setResponseCode(404)
            return b""
        return data

    def _list_staged(self, request: Any, digest: str) -> bytes:
        return reply_json(request, sorted(self._state.staging.get(digest, {})))

    def _drop_staged(self, request: Any) -> bytes:
        keep = request.args[b"keep"][0].decode()
        for digest in list(self._state.staging):
            if digest != keep:
                del self._state.staging[digest]
        return b""

    async def _load(self, request: Any) -> bytes:
        load_order = read_json(request)
        state = self._state
        if self._settings.check_fencing and load_order["fencing"] < state.fencing:
            request.setResponseCode(409)
            return b"fencing number is too low"
        if state.loading:
            request.setResponseCode(409)
            return b"a load is in progress"
        state.fencing = max(state.fencing, load_order["fencing"])
        state.loading = True
        reactor.callLater(0, self._begin_load, load_order)
        return reply_json(request, {"accepted": True})

    def _begin_load(self, load_order: dict[str, Any]) -> None:
        """Wait until the running batch has ended, then load."""
        if self._state.running:
            reactor.callLater(0.02, self._begin_load, load_order)
            return
        reactor.callLater(self._settings.load_seconds, self._finish_load, load_order)

    def _finish_load(self, load_order: dict[str, Any]) -> None:
        state = self._state
        staged = state.staging.get(load_order["digest"], {})
        state.loads += 1
        if len(staged) == load_order["chunks"] and _compute_digest(staged) == load_order["digest"]:
            state.digest = load_order["digest"]
        else:
            state.bad_loads += 1
        state.loading = False
        self._start_queued()

    def _status(self, request: Any) -> bytes:
        now = reactor.seconds()
        if not self._status_report or now - self._reported_at >= self._settings.status_lag:
            self._status_report = self._make_status_report()
            self._reported_at = now
        return reply_json(request, {**self._status_report, "age": now - self._reported_at})

    def _make_status_report(self) -> dict[str, Any]:
        state = self._state
        return {
            "running": state.running,
            "queued": len(self._queue),
            "capacity": self._settings.slots,
            "digest": state.digest,
            "serving": bool(state.digest) and not state.loading,
            "fencing": state.fencing,
        }

    def _counts(self, request: Any) -> bytes:
        state = self._state
        staged = {}
        for digest, chunks in state.staging.items():
            staged[digest] = [compute_chunk_digest(chunks[index]) for index in sorted(chunks)]
        content = {
            "loads": state.loads,
            "bad_loads": state.bad_loads,
            "executed": state.executed,
            "stopped": state.stopped,
            "tokens": state.tokens,
            "digest": state.digest,
            "staged": staged,
        }
        return reply_json(request, content)


def _compute_digest(staged: dict[int, bytes]) -> str:
    """Return the manifest digest of the joined chunks."""
    data = b"".join(staged[index] for index in sorted(staged))
    return make_manifest(data, len(staged[min(staged)])).digest


def _parse_token_count(body: bytes) -> int:
    """Return the number of tokens that a request body asks for, 8 by default."""
    try:
        return int(json.loads(body).get("tokens", 8))
    except (ValueError, AttributeError):
        return 8


def run(
    *,
    host: str,
    port: int,
    slots: int = 8,
    token_seconds: float = 0.01,
    load_seconds: float = 0.3,
    status_lag: float = 0.2,
    check_fencing: bool = True,
    more_hosts: str = "",
) -> None:
    """Run the engine stand-in.

    :param host: IP address to listen on
    :param more_hosts: further IP addresses, separated by commas; each gets a separate engine
    :param port: port to listen on
    :param slots: maximum number of requests in a batch
    :param token_seconds: time between the tokens of a request, in seconds
    :param load_seconds: duration of a load, in seconds
    :param status_lag: maximum age of a status report, in seconds
    :param check_fencing: refuse load requests with an outdated fencing number
    """
    settings = _Settings(slots, token_seconds, load_seconds, status_lag, check_fencing)
    for other in more_hosts.split(",") if more_hosts else []:
        listen(EngineStandIn(settings).app, other, port)
    serve(EngineStandIn(settings).app, host, port)


if __name__ == "__main__":
    defopt.run(run, cli_options="all")
