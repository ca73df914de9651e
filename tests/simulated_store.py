"""A store on a simulated clock that is silent, refuses, resets, loses answers or is slow."""

from __future__ import annotations

import json
from base64 import b64encode
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from coltsfootshift.gateway.table_cache import Table, TableConsumer, TablePosition

STEP_SECONDS = 0.02
TRANSIT_SECONDS = 0.002
ANSWER_SECONDS = 0.002
PIECE_SECONDS = 0.9
PIECES = 8
ROW = {"key": "op/config", "value": b64encode(b"{}").decode()}


@dataclass(frozen=True)
class Outage:
    """What happens to requests from `start` until `end`.

    `kind` is `silent`, `reset`, a status such as `503`, `lossy` (each answer is lost with the
    probability `x`), `slow` (answers take `x` times as long), `stalled` (the answer stops in the
    middle) or `pieces` (the answers of reads arrive in pieces, `x` of them in all, the eighth of
    which is the last if no more follow).
    """

    kind: str
    start: float
    end: float
    x: float = 1.0


class FollowingConsumer(TableConsumer):
    """Reads both tables, and keeps when each revision of the operator's table arrived."""

    def __init__(self, clock, readers=1):
        self.clock = clock
        self.readers = readers
        self.positions = dict.fromkeys(Table, TablePosition())
        self.arrivals = {}
        self.confirmations = []
        self.contacts = []

    def choose_start(self, table):
        return self.positions[table]

    def handle_answer(self, answer):
        self.positions[answer.table] = max(self.positions[answer.table], answer.position)
        if answer.table is Table.OPERATOR:
            self.arrivals.setdefault(answer.revision, self.clock.seconds())
            self.confirmations.append((self.clock.seconds(), answer.confirmed_at))

    def record_contact(self, reached, seconds=0.0):
        self.contacts.append(reached)

    def count_readers(self):
        return self.readers

    def find_arrival(self, revision):
        """Return when a revision, or a later one, was first in force; infinite if never."""
        times = [at for known, at in self.arrivals.items() if known >= revision]
        return min(times, default=float("inf"))


class _Transport:
    def __init__(self, request):
        self._request = request

    def loseConnection(self):
        self._request.closed = True

    abortConnection = loseConnection


class _Response:
    def __init__(self, clock, request, status, body):
        self.code, self.headers = status, Headers({})
        self._clock, self._request, self._body = clock, request, body

    def deliverBody(self, protocol):
        protocol.transport = _Transport(self._request)
        self._request.protocol = protocol
        if self._request.pieces is not None:
            self._clock.callLater(PIECE_SECONDS, self._deliver_piece, protocol, 1)
            return
        if self._request.stalls:
            protocol.dataReceived(self._body[:1])
            return
        protocol.dataReceived(self._body)
        protocol.connectionLost(Failure(ResponseDone()))

    def _deliver_piece(self, protocol, number):
        """Deliver a piece; all but the last hold a blank each, which JSON ignores."""
        if self._request.closed or number > self._request.pieces:
            return
        if self._request.pieces == number == PIECES:
            protocol.dataReceived(self._body)
            protocol.connectionLost(Failure(ResponseDone()))
            return
        protocol.dataReceived(b" ")
        self._clock.callLater(PIECE_SECONDS, self._deliver_piece, protocol, number + 1)


class _Request:
    def __init__(self, store, path, query, timeout):
        self.path, self.query = path, query
        self.closed = self.stalls = False
        self.pieces = None
        self.protocol = None
        self.done = Deferred(self._cancel)
        self.arrived_at = store.clock.seconds() + TRANSIT_SECONDS
        self.due_at = self.arrived_at + float(query.get("wait_ms", 0)) / 1000
        if timeout is not None:
            store.clock.callLater(timeout, self.fail, TimeoutError())

    def _cancel(self, deferred):
        self.closed = True
        deferred.errback(CancelledError())

    def fail(self, error):
        if not self.closed and not self.done.called:
            self.closed = True
            self.done.errback(error)


class SimulatedStore:
    """Takes the place of `treq` for a reader; `outages` are in seconds of the clock."""

    def __init__(self, clock, seed, outages=()):
        self.clock = clock
        self.rng = Random(seed)
        self.outages = list(outages)
        self.changes = [(-1.0, 5)]
        self.calls = []
        self.sent_in_pieces = []

    def change(self, at):
        """Plan a change of the operator's table; return its revision."""
        revision = self.changes[-1][1] + 1
        self.changes.append((at, revision))
        return revision

    def get(self, url, params, agent, reactor, unbuffered, timeout=None):
        request = _Request(self, url.rpartition("/")[2], params, timeout)
        self.calls.append(self.clock.seconds())
        self.clock.callLater(TRANSIT_SECONDS, self._serve, request)
        return request.done

    def _find_outage(self):
        now = self.clock.seconds()
        return next((o for o in self.outages if o.start <= now < o.end), Outage("", 0, 0))

    def _serve(self, request):
        """Answer once there is a change or the wait is over, if no outage prevents it."""
        if request.closed:
            return
        outage = self._find_outage()
        if outage.kind == "silent":
            return
        if outage.kind == "reset":
            request.fail(ConnectionLost())
            return
        if outage.kind.isdigit():
            self._answer(request, int(outage.kind), b"{}")
            return
        revision = self._find_revision()
        watches = request.path == "kv-watch"
        known = int(request.query.get("after", 0))
        changed = request.query["prefix"] == "op/" and revision > known
        if watches and not changed and self.clock.seconds() < request.due_at:
            self.clock.callLater(STEP_SECONDS, self._serve, request)
            return
        if outage.kind == "lossy" and self.rng.random() < outage.x:
            return
        request.stalls = outage.kind == "stalled"
        if outage.kind == "pieces" and request.query["prefix"] == "op/":
            request.pieces = int(outage.x)
            self.sent_in_pieces.append(request)
        rows = [dict(ROW, rev=revision)] if changed or not watches else []
        body = {"at": revision, "events" if watches else "items": rows}
        delay = ANSWER_SECONDS * (outage.x if outage.kind == "slow" else 1.0)
        self.clock.callLater(delay, self._answer, request, 200, json.dumps(body).encode())

    def _find_revision(self):
        return max(number for at, number in self.changes if at <= self.clock.seconds())

    def _answer(self, request, status, body):
        if not request.closed and not request.done.called:
            request.done.callback(_Response(self.clock, request, status, body))


class RawStore:
    """Takes the place of `treq`; answers with a body after a delay, never if that is None."""

    def __init__(self, clock, body, find_delay):
        self.clock, self._body, self._find_delay = clock, body, find_delay
        self.calls = self.open = self.most_open = 0

    def get(self, url, agent, reactor, unbuffered, timeout=None):
        request = _Request(self, url, {}, timeout)
        self.calls += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        request.done.addBoth(self._close)
        delay = self._find_delay(self.clock.seconds())
        if delay is not None:
            self.clock.callLater(delay, self._answer, request)
        return request.done

    def _close(self, result):
        self.open -= 1
        return result

    def _answer(self, request):
        if not request.closed and not request.done.called:
            request.done.callback(_Response(self.clock, request, 200, self._body))
