"""Callers: ask the directory, keep connections, send requests, note every answer."""

from __future__ import annotations

import hashlib
import http.client
import json
import threading
import time
from random import Random

from platform_standins import HOST, MODEL, send_request

from soak.ledger import Call, Kind
from soak.members import Member, SoakFleet

PAUSE_SECONDS = 0.06
DEADLINE_SECONDS = 2.5
GIVE_UP_SECONDS = 3.0  # beyond the deadline
KEEP_SHARE = 0.7  # of the requests stay on the open connection


class Caller(threading.Thread):
    """Sends one request after the other until it is stopped.

    A caller with `clings` keeps to an open connection until it is closed, whatever the directory
    says, as a pool of connections would.
    """

    def __init__(self, fleet: SoakFleet, name: str, seed: int, clings: bool) -> None:
        super().__init__(daemon=True)
        self.stopped = threading.Event()
        self._fleet = fleet
        self._name = name
        self._rng = Random(seed)
        self._clings = clings
        self._sent = 0
        self._connection: http.client.HTTPConnection | None = None
        self._entry = ""

    def run(self) -> None:
        while not self.stopped.is_set():
            member = self._choose_entry()
            if member is not None:
                self.send(member, self._rng.choice(list(Kind)))
            self.stopped.wait(PAUSE_SECONDS * self._rng.uniform(0.2, 1.8))
        self._drop()

    def send(self, member: Member, kind: Kind, route: str = "") -> Call:
        """Send one request to an entry and note how it ends."""
        self._sent += 1
        request = f"{self._name}-{self._sent}"
        body = b"" if kind is Kind.LOOK else hashlib.sha256(request.encode()).hexdigest().encode()
        keys = self._fleet.keys if self._rng.random() < 0.9 else sorted(self._fleet.ledger.teams)
        call = Call(
            request=request,
            kind=kind,
            route=route or kind.value,
            key=self._rng.choice(keys),
            entry=member.name,
            body=body,
            deadline=DEADLINE_SECONDS,
            sent_at=time.monotonic(),
        )
        self._fleet.ledger.note_call(call)
        try:
            self._exchange(member, call)
        except (OSError, http.client.HTTPException):
            self._drop()
        call.ended_at = time.monotonic()
        return call

    def _exchange(self, member: Member, call: Call) -> None:
        connection = self._connect(member)
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": call.request,
            "X-Api-Key": call.key,
            "X-Deadline-Ms": str(int(call.deadline * 1000)),
        }
        if call.kind is Kind.CHAT:
            headers.update({"X-Model": MODEL, "X-Token-Counts": "100,60"})
        method = "GET" if call.kind is Kind.LOOK else "POST"
        connection.request(method, f"/{call.route}/1", call.body or None, headers)
        response = connection.getresponse()
        call.status = response.status
        call.sealed = response.getheader("X-Response-Seal") is not None
        try:
            while piece := response.read1():
                call.answer += piece
            call.whole = not response.length
            response.close()
        except http.client.IncompleteRead as error:
            call.answer += error.partial
            raise
        if response.will_close:
            self._drop()

    def _connect(self, member: Member) -> http.client.HTTPConnection:
        keeps = self._clings or self._rng.random() < KEEP_SHARE
        if self._connection is None or self._entry != member.name or not keeps:
            self._drop()
            limit = DEADLINE_SECONDS + GIVE_UP_SECONDS
            self._connection = http.client.HTTPConnection(HOST, member.ports[0], timeout=limit)
            self._entry = member.name
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _choose_entry(self) -> Member | None:
        if self._connection is not None and self._clings:
            return self._find(self._entry)
        asked = self._rng.choice(self._fleet.entries)
        try:
            path = "/api/resolve?name=desk.example&region=north&zone=a"
            status, body, _ = send_request(asked.ports[3], "GET", path)
        except (OSError, http.client.HTTPException):
            return None
        if status != 200:
            return None
        chosen = self._rng.choice(json.loads(body)["addresses"])
        for member in self._fleet.entries:
            if member.ports[0] == int(chosen.rsplit(":", 1)[1]):
                return member
        raise AssertionError(f"the directory names {chosen}, which is no entry")

    def _find(self, name: str) -> Member:
        return next(member for member in self._fleet.entries if member.name == name)
